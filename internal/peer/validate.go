package peer

import (
	"math"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
)

// Bounds of messages. Senders truncate lists to them; receivers reject messages that
// exceed them.
const (
	// MaxMessageBytes is the maximum size of any message. A full configuration
	// document with 5,600 adapters takes about 1 MiB.
	MaxMessageBytes = 8 << 20
	MaxSpares       = 64
	MaxSuspicions   = 64
	// MaxCrashedRuns bounds each list of a crash report, MaxSegments the segments of a run.
	MaxCrashedRuns  = 64
	MaxSegments     = 32
	MaxSigns        = 64
	MaxLeavingHosts = 64
	MaxDeltas       = 256
	MaxSlots        = 4096
	MaxReplicas     = 256
	MaxUpstreams    = 16384
	maxNameBytes    = 256
	maxHashBytes    = 128
	// maxDurationMS is the maximum duration in ms, which fits a time.Duration.
	maxDurationMS = int64(30 * 24 * time.Hour / time.Millisecond)
)

// checker records the first field of a message that is out of bounds.
type checker struct {
	message string
	field   string
}

func (c *checker) require(field string, ok bool) {
	if !ok && c.field == "" {
		c.field = field
	}
}

func (c *checker) name(field, value string) { c.require(field, len(value) <= maxNameBytes) }

func (c *checker) tokens(field string, value float64) {
	c.require(field, value >= 0 && !math.IsInf(value, 1)) // the comparison is false for NaN
}

func (c *checker) duration(field string, ms int64) {
	c.require(field, ms >= 0 && ms <= maxDurationMS)
}

func (c *checker) sender(from *peerpb.Sender) {
	c.name("from.host", from.GetHost())
	c.name("from.data_center", from.GetDataCenter())
}

func (c *checker) err() error {
	if c.field == "" {
		return nil
	}
	return &InvalidMessageError{Message: c.message, Field: c.field}
}

// validate checks that a decoded message is within bounds. It returns
// *InvalidMessageError if not. Types without bounds are valid.
func validate(message any) error {
	c := &checker{}
	switch m := message.(type) {
	case *peerpb.HeartbeatMessage:
		c.heartbeat(m)
	case *peerpb.Deltas:
		c.deltas(m)
	case *peerpb.LoanRequest:
		c.loanRequest(m)
	case *peerpb.LoanGrant:
		c.loanGrant(m)
	case *peerpb.LoanReturn:
		c.loanReturn(m)
	case *peerpb.SlotRelease:
		c.message = "SlotRelease"
		c.sender(m.GetFrom())
		c.require("slots", len(m.GetSlots()) <= MaxSlots)
	case *peerpb.DemandReport:
		c.message = "DemandReport"
		c.sender(m.GetFrom())
		c.name("model", m.GetModel())
		c.name("adapter", m.GetAdapter())
		c.duration("oldest_remaining_ms", m.GetOldestRemainingMs())
	case *peerpb.DemandReply:
		c.message = "DemandReply"
		c.require("replicas", len(m.GetReplicas()) <= MaxReplicas)
	case *peerpb.Suspicions:
		c.message = "Suspicions"
		c.sender(m.GetFrom())
		c.suspicions(m.GetSuspicions())
		c.isolatedRuns(m.GetIsolatedRuns())
		c.crashReport(m.GetCrashReport())
	case *peerpb.UpstreamsRequest:
		c.message = "UpstreamsRequest"
		c.sender(m.GetFrom())
	case *peerpb.UpstreamList:
		c.message = "UpstreamList"
		c.upstreams(m.GetUpstreams())
	case *peerpb.ExplainRequest:
		c.message = "ExplainRequest"
		c.sender(m.GetFrom())
		c.name("request_id", m.GetRequestId())
	case *peerpb.UpstreamSigns:
		c.message = "UpstreamSigns"
		c.sender(m.GetFrom())
		c.signs(m.GetSigns())
	}
	return c.err()
}

func (c *checker) heartbeat(m *peerpb.HeartbeatMessage) {
	c.message = "HeartbeatMessage"
	c.sender(m.GetFrom())
	c.require("config_hash", len(m.GetConfigHash()) <= maxHashBytes)
	c.require("spare", len(m.GetSpare()) <= MaxSpares)
	c.require("leaving_hosts", len(m.GetLeavingHosts()) <= MaxLeavingHosts)
	c.require("platform_age_ms", m.GetPlatformAgeMs() >= -1 && m.GetPlatformAgeMs() <= maxDurationMS)
	c.require("confirmed_age_ms", m.GetConfirmedAgeMs() >= -1 && m.GetConfirmedAgeMs() <= maxDurationMS)
	for _, host := range m.GetLeavingHosts() {
		c.name("leaving_hosts", host)
	}
	for _, spare := range m.GetSpare() {
		c.name("spare.workspace", spare.GetWorkspace())
		c.tokens("spare.tokens", spare.GetTokens())
		c.tokens("spare.demand_per_s", spare.GetDemandPerS())
	}
	c.suspicions(m.GetSuspicions())
	c.isolatedRuns(m.GetIsolatedRuns())
	c.crashReport(m.GetCrashReport())
	c.signs(m.GetSigns())
}

func (c *checker) crashReport(report *peerpb.CrashReport) {
	c.require("crash_report.runs", len(report.GetRuns()) <= MaxCrashedRuns)
	for _, run := range report.GetRuns() {
		c.name("crash_report.runs.upstream", run.GetUpstream())
		c.name("crash_report.runs.boot_id", run.GetBootId())
		c.require("crash_report.runs.segments", len(run.GetSegments()) <= MaxSegments)
		c.duration("crash_report.runs.age_ms", run.GetAgeMs())
	}
	c.require("crash_report.answered", len(report.GetAnswered()) <= MaxCrashedRuns)
	for _, answered := range report.GetAnswered() {
		c.duration("crash_report.answered.age_ms", answered.GetAgeMs())
	}
	c.require("crash_report.quarantined", len(report.GetQuarantined()) <= MaxCrashedRuns)
	for _, quarantined := range report.GetQuarantined() {
		c.duration("crash_report.quarantined.left_ms", quarantined.GetLeftMs())
	}
}

func (c *checker) suspicions(suspicions []*peerpb.Suspicion) {
	c.require("suspicions", len(suspicions) <= MaxSuspicions)
	for _, suspicion := range suspicions {
		c.require("suspicions.fingerprint", len(suspicion.GetFingerprint()) <= maxHashBytes)
		c.name("suspicions.upstream", suspicion.GetUpstream())
		c.name("suspicions.boot_id", suspicion.GetBootId())
		c.duration("suspicions.left_ms", suspicion.GetLeftMs())
	}
}

func (c *checker) isolatedRuns(runs []*peerpb.IsolatedRun) {
	c.require("isolated_runs", len(runs) <= MaxSuspicions)
	for _, run := range runs {
		c.require("isolated_runs.fingerprint", len(run.GetFingerprint()) <= maxHashBytes)
		c.name("isolated_runs.upstream", run.GetUpstream())
	}
}

func (c *checker) upstreams(upstreams []*peerpb.Upstream) {
	c.require("upstreams", len(upstreams) <= MaxUpstreams)
	for _, upstream := range upstreams {
		c.name("upstreams.address", upstream.GetAddress())
		c.name("upstreams.kind", upstream.GetKind())
		c.name("upstreams.service", upstream.GetService())
		c.name("upstreams.data_center", upstream.GetDataCenter())
		c.name("upstreams.state", upstream.GetState())
	}
}

func (c *checker) signs(signs []*peerpb.Sign) {
	c.require("signs", len(signs) <= MaxSigns)
	for _, sign := range signs {
		c.name("signs.service", sign.GetService())
		c.name("signs.address", sign.GetAddress())
		c.name("signs.boot_id", sign.GetBootId())
		c.name("signs.source", sign.GetSource())
		c.duration("signs.age_ms", sign.GetAgeMs())
	}
}

func (c *checker) deltas(m *peerpb.Deltas) {
	c.message = "Deltas"
	c.sender(m.GetFrom())
	c.require("deltas", len(m.GetDeltas()) <= MaxDeltas)
	c.require("document_hash", len(m.GetDocumentHash()) <= maxHashBytes)
	for _, delta := range m.GetDeltas() {
		c.require("deltas.hash", len(delta.GetHash()) <= maxHashBytes)
	}
}

func (c *checker) loanRequest(m *peerpb.LoanRequest) {
	c.message = "LoanRequest"
	c.name("workspace", m.GetWorkspace())
	c.name("taker", m.GetTaker())
	c.require("taker", m.GetTaker() != "")
	c.tokens("amount", m.GetAmount())
	c.duration("remaining_ms", m.GetRemainingMs())
}

func (c *checker) loanGrant(m *peerpb.LoanGrant) {
	c.message = "LoanGrant"
	c.name("workspace", m.GetWorkspace())
	c.name("lender", m.GetLender())
	c.name("taker", m.GetTaker())
	c.tokens("amount", m.GetAmount())
	c.tokens("spare", m.GetSpare())
	c.duration("hold_ms", m.GetHoldMs())
}

func (c *checker) loanReturn(m *peerpb.LoanReturn) {
	c.message = "LoanReturn"
	c.name("workspace", m.GetWorkspace())
	c.name("lender", m.GetLender())
	c.name("taker", m.GetTaker())
	c.tokens("unused", m.GetUnused())
	c.tokens("used", m.GetUsed())
}

// truncateHeartbeat truncates the lists of a heartbeat to the message bounds.
func truncateHeartbeat(m *peerpb.HeartbeatMessage) {
	m.Spare = m.Spare[:min(len(m.Spare), MaxSpares)]
	m.Suspicions = m.Suspicions[:min(len(m.Suspicions), MaxSuspicions)]
	m.IsolatedRuns = m.IsolatedRuns[:min(len(m.IsolatedRuns), MaxSuspicions)]
	m.Signs = m.Signs[:min(len(m.Signs), MaxSigns)]
	m.LeavingHosts = m.LeavingHosts[:min(len(m.LeavingHosts), MaxLeavingHosts)]
}
