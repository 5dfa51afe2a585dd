package gateway

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// newColdRegistry returns a registry of the plain service "ledger", whose upstreams are cold
// for 3 s, with s1 and s2, which have long been running; the entries; and the boot clock.
func newColdRegistry() (r *Registry, entries map[string]catalog.Upstream, now *time.Duration, service *catalog.Service) {
	r, entries, now = newStatementRegistry()
	service = &catalog.Service{Name: "ledger", ColdStart: 3 * time.Second, ColdPerS: 14}
	r.cold.configure("host", func(string) *catalog.Service { return service }, func() bool { return true })
	entries["s1"], entries["s2"] = ledger("s1", 1), ledger("s2", 1)
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}, {Key: "s2"}}, Full: true})
	return r, entries, now, service
}

func grantTo(id string, born int64, requests int) *coordinator.ExchangeReply {
	return &coordinator.ExchangeReply{ColdGrants: []coordinator.ColdGrant{
		{Incarnation: coordinator.Incarnation{Upstream: id, StartedMS: born}, Requests: requests, PerS: 12},
	}}
}

// Guards against requests to a new incarnation beyond what the coordinator granted, and
// against waiting for it while another upstream takes requests.
func TestNewIncarnationGetsWhatWasGranted(t *testing.T) {
	r, entries, now, _ := newColdRegistry()
	if ids := r.candidateIDs(); !ids["s1"] || !ids["s2"] {
		t.Fatalf("candidates %v: upstreams that ran before this host started are not cold", ids)
	}
	entries["s1"] = ledger("s1", 2)
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}}})
	if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] {
		t.Errorf("candidates %v, want s2: s1 has just started", ids)
	}
	request := &coordinator.ExchangeRequest{}
	r.fillCold(request)
	if len(request.ColdNeeds) != 1 || request.ColdNeeds[0].Upstream != "s1" || request.ColdNeeds[0].Service != "ledger" {
		t.Errorf("asked for %+v", request.ColdNeeds)
	}
	r.cold.applyReply(grantTo("s1", 2, 1), *now)
	if !r.candidateIDs()["s1"] {
		t.Error("s1 is not used although the coordinator granted a request")
	}
	permit, ok := r.cold.take("s1")
	if _, second := r.cold.take("s1"); !ok || second {
		t.Errorf("sent with a grant for one request: %v, then %v", ok, second)
	}
	r.cold.giveBack(permit) // refused as not its own
	if _, ok := r.cold.take("s1"); !ok {
		t.Error("the permit of a request that does not count is lost")
	}
	*now += 6 * time.Second
	r.cold.expire()
	if !r.candidateIDs()["s1"] || r.cold.active.Load() {
		t.Error("limited after the cold period")
	}
}

// Guards against hosts that each learn by themselves that an upstream has become cold again.
func TestStatedColdnessIsRelayed(t *testing.T) {
	r, entries, now, _ := newColdRegistry()
	s1 := entries["s1"]
	r.RecordStatement(&s1, call.Statement{ColdFor: 2 * time.Second})
	if r.candidateIDs()["s1"] {
		t.Error("s1 is used although it said that it is cold")
	}
	request := &coordinator.ExchangeRequest{}
	r.fillCold(request)
	other, _, _, _ := newColdRegistry()
	other.ApplyExchange(&coordinator.ExchangeReply{Cold: request.Cold})
	if other.candidateIDs()["s1"] {
		t.Error("the other host uses s1")
	}
	relayed := &coordinator.ExchangeRequest{}
	other.fillCold(relayed)
	if len(request.Cold) != 1 || len(relayed.Cold) != 0 {
		t.Errorf("told %v, hearsay told on %v", request.Cold, relayed.Cold)
	}
	*now += 1500 * time.Millisecond
	cold := entries["s1"]
	cold.ColdFor = time.Second
	entries["s1"] = cold
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}}})
	if dump := r.cold.dump(); len(dump) != 1 || dump[0].ColdForMS != 1000 {
		t.Errorf("dump %+v, want s1 cold for 1 s", dump)
	}
}

// Guards against coldness that is missed because the entries were read before the first
// configuration, and against limits where the configuration has none.
func TestColdEntriesBeforeTheConfiguration(t *testing.T) {
	r, entries, _, service := newColdRegistry()
	*service = catalog.Service{Name: "ledger"}
	entries["s3"] = ledger("s3", time.Now().UnixMilli())
	r.Apply(table.Change{Rows: []table.Row{{Key: "s3"}}})
	if !r.candidateIDs()["s3"] || r.cold.active.Load() {
		t.Error("limited without a configured rate")
	}
	*service = catalog.Service{Name: "ledger", ColdStart: 3 * time.Second, ColdPerS: 14}
	r.reviewCold()
	if ids := r.candidateIDs(); ids["s3"] || !ids["s1"] {
		t.Errorf("candidates %v, want s1 and s2: s3 has just started", ids)
	}
}

// Guards against full traffic to upstreams that were evacuated: they had none and are cold.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	r, entries, now, _ := newColdRegistry()
	s1 := entries["s1"]
	s1.DataCenter = "z0"
	entries["s1"] = s1
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}}})
	r.evacuateZ0()
	*now += time.Minute
	r.applyEvacuations(decodeTestEvacuation, table.Change{Rows: nil, Full: true}, *now)
	if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] {
		t.Errorf("candidates %v right after the evacuation, want s2", ids)
	}
}

// Guards against full traffic to an upstream that could not be reached and is back: it may have
// started again, which its entry says later.
func TestUnreachableUpstreamIsExpectedToBeCold(t *testing.T) {
	r, _, now, _ := newColdRegistry()
	r.learnUnreachable("s1")
	r.learnUnreachable("unknown")
	if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] {
		t.Errorf("candidates %v, want s2", ids)
	}
	request := &coordinator.ExchangeRequest{}
	if r.fillCold(request); len(request.Cold) != 0 {
		t.Errorf("told others %v, which is a guess", request.Cold)
	}
	*now += 4 * time.Second
	if !r.candidateIDs()["s1"] {
		t.Error("limited although its entry does not say that it is cold")
	}
}
