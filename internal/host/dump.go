package host

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/explain"
	"github.com/arbutusbank/arbutusbank/internal/inference"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/membership"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

// recentDecisions is the number of recent decision records in a dump.
const recentDecisions = 32

// Dump is a snapshot of the state of one host, for operators.
type Dump struct {
	Host          string                  `json:"host"`
	DataCenter    string                  `json:"data_center"`
	Incarnation   string                  `json:"incarnation"`
	TakenAt       time.Time               `json:"taken_at"`
	UptimeMS      int64                   `json:"uptime_ms"`
	Ready         bool                    `json:"ready"`
	Draining      bool                    `json:"draining"`
	Configuration HostStatus              `json:"configuration"`
	PlatformAgeMS int64                   `json:"platform_age_ms"` // since the platform's last response
	InFlight      int64                   `json:"in_flight"`
	Quota         quota.State             `json:"quota"`
	Queues        admission.Dump          `json:"queues"`
	Upstreams     []membership.Upstream   `json:"upstreams"`
	Engines       []EngineDump            `json:"engines"`
	Loading       loading.Dump            `json:"loading"`
	Routing       []routing.Dump          `json:"routing"`
	Streams       []inference.StreamState `json:"streams"`
	Suspects      []retry.SuspectDump     `json:"suspects"`
	Segments      []retry.SegmentDump     `json:"quarantined_segments"`
	Budgets       []retry.BudgetDump      `json:"retry_budgets"`
	Peers         []peer.State            `json:"peers"`
	Recent        []*explain.Record       `json:"recent"`
}

// EngineDump is the state of an engine as this host last observed it.
type EngineDump struct {
	Address      string `json:"address"`
	BootID       string `json:"boot_id,omitempty"`
	Reachable    bool   `json:"reachable"`
	ReportAgeMS  int64  `json:"report_age_ms"` // -1: no report yet
	MemoryBytes  int64  `json:"memory_bytes"`
	UsedBytes    int64  `json:"used_bytes"`
	Resident     int    `json:"resident"`
	Running      int    `json:"running"`
	QueueDepth   int    `json:"queue_depth"`
	Restarts     int    `json:"restarts"`
	ChecksFence  bool   `json:"checks_fence"`
	MaxBatchSize int    `json:"max_batch"`
}

// Dump returns a snapshot of the state of this host.
func (h *Host) Dump() Dump {
	now := time.Now()
	view := h.replicas.view.Load()
	return Dump{
		Host: h.settings.Host, DataCenter: h.settings.DataCenter,
		Incarnation: incarnationName(h.settings.Host, h.incarnation),
		TakenAt:     now, UptimeMS: now.Sub(h.started).Milliseconds(),
		Ready: h.ready.Load(), Draining: h.draining.Load(),
		Configuration: h.ownStatus(), PlatformAgeMS: h.platformAge().Milliseconds(),
		InFlight: h.callers.InFlight(), Quota: h.quota.Dump(), Queues: h.admission.Dump(),
		Upstreams: view.all(), Engines: h.engineDumps(now), Loading: h.loading.State(),
		Routing: h.tracker.Dump(), Streams: h.watcher.Streams(),
		Suspects: h.suspects.Dump(now), Segments: h.suspects.Segments().Dump(now), Budgets: h.budgets.Dump(),
		Peers: h.mesh.Peers(), Recent: h.explain.Recent(recentDecisions),
	}
}

func (h *Host) engineDumps(now time.Time) []EngineDump {
	view := h.monitor.View()
	dumps := make([]EngineDump, 0, len(view.Engines))
	for _, state := range view.Engines {
		dump := EngineDump{Address: state.Address, Reachable: state.Reachable, ReportAgeMS: -1, Restarts: state.Restarts}
		if report := state.Report; report != nil {
			dump.BootID, dump.ReportAgeMS = report.BootID, now.Sub(state.ReceivedAt).Milliseconds()
			dump.MemoryBytes, dump.UsedBytes = report.MemoryBytes, report.MemoryUsedBytes
			dump.Resident, dump.Running, dump.QueueDepth = len(report.Resident), len(report.Running), report.QueueDepth
			dump.ChecksFence, dump.MaxBatchSize = report.ChecksFence, report.MaxBatch
		}
		dumps = append(dumps, dump)
	}
	return dumps
}
