package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// newStatementRegistry returns a registry of the plain service "ledger", whose entries are
// what the test puts into entries, and its boot clock.
func newStatementRegistry() (r *Registry, entries map[string]catalog.Upstream, now *time.Duration) {
	entries = map[string]catalog.Upstream{}
	decode := func(row table.Row) (*catalog.Upstream, error) {
		entry := entries[row.Key]
		return &entry, nil
	}
	r = NewRegistry(decode, func(string) {}, logr.Discard())
	now = new(time.Duration)
	*now = time.Hour
	r.now = func() time.Duration { return *now }
	return r, entries, now
}

func ledger(id string, born int64) catalog.Upstream {
	return catalog.Upstream{ID: id, Service: "ledger", Address: id + ":1", StartedMS: born}
}

func (r *Registry) candidateIDs() map[string]bool {
	ids := map[string]bool{}
	for _, candidate := range r.Candidates("ledger", "", "") {
		ids[candidate.Upstream.ID] = true
	}
	return ids
}

// Guards against using an upstream that has said that it leaves because its entry, which
// lags behind, says that it is ready, is read again or comes back (check DRAIN).
func TestEntryDoesNotTakeBackThatAnUpstreamLeaves(t *testing.T) {
	r, entries, _ := newStatementRegistry()
	entries["s1"], entries["s2"] = ledger("s1", 1), ledger("s2", 1)
	rows := []table.Row{{Key: "s1"}, {Key: "s2"}}
	r.Apply(table.Change{Rows: rows, Full: true})
	chosen := r.Candidates("ledger", "", "")
	first := entries["s1"]
	r.RecordStatement(&first, call.Statement{Leaving: true})
	check := func(when string) {
		t.Helper()
		if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] {
			t.Errorf("%s: candidates %v, want s2", when, ids)
		}
	}
	check("told")
	r.Apply(table.Change{Rows: rows, Full: true})
	check("read again")
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1", Deleted: true}}})
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}}})
	check("entry back")
	for _, candidate := range chosen {
		if sent := r.BeginSend(candidate.Upstream); sent != (candidate.Upstream.ID == "s2") {
			t.Errorf("%s was chosen before: sent %v", candidate.Upstream.ID, sent)
		}
	}
	for _, upstream := range r.Upstreams() {
		if upstream.Draining != (upstream.ID == "s1") {
			t.Errorf("%s: draining %v for the coordinator", upstream.ID, upstream.Draining)
		}
	}
	entries["s1"] = ledger("s1", 2)
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}}})
	if !r.candidateIDs()["s1"] {
		t.Error("s1 is not used after it has started again")
	}
}

// Guards against hosts that each learn by a request of their own that an upstream leaves.
func TestLeavingUpstreamOfAnotherHost(t *testing.T) {
	r, entries, _ := newStatementRegistry()
	entries["s1"] = ledger("s1", 7)
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}}, Full: true})
	r.ApplyExchange(&coordinator.ExchangeReply{Leaving: []coordinator.Incarnation{{Upstream: "s1", StartedMS: 6}, {Upstream: "unknown", StartedMS: 7}}})
	if !r.candidateIDs()["s1"] {
		t.Error("s1 is not used although its predecessor left")
	}
	r.ApplyExchange(&coordinator.ExchangeReply{Leaving: []coordinator.Incarnation{{Upstream: "s1", StartedMS: 7}}})
	if r.candidateIDs()["s1"] {
		t.Error("s1 is used although it told another host that it leaves")
	}
	if len(r.leavingReport()) != 0 {
		t.Error("hearsay is reported again, so it would never end")
	}
}

// Guards against requests to an upstream that asked for a pause: least-loaded selection
// would send it everything (check BUDGET).
func TestPausedUpstreamIsNoCandidate(t *testing.T) {
	r, entries, now := newStatementRegistry()
	entries["s1"], entries["s2"] = ledger("s1", 1), ledger("s2", 1)
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}, {Key: "s2"}}, Full: true})
	first, second := entries["s1"], entries["s2"]
	r.RecordStatement(&first, call.Statement{PauseFor: 3 * time.Second})
	if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] {
		t.Errorf("candidates %v, want s2", ids)
	}
	r.RecordStatement(&second, call.Statement{PauseFor: time.Second})
	if in, paused := r.ResumesIn("ledger", ""); !paused || in != time.Second {
		t.Errorf("resumes in %v, %v; want 1 s", in, paused)
	}
	if report := r.pausedReport(); len(report) != 2 {
		t.Errorf("reported as paused: %v", report)
	}
	*now += 2 * time.Second // also while the host is suspended
	if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] {
		t.Errorf("candidates %v after 2 s, want s2", ids)
	}
}
