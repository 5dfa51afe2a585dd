package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

func decodeTestEvacuation(row table.Row) (catalog.Evacuation, bool) {
	return catalog.Evacuation{DataCenter: row.Key}, row.Key != "config"
}

// Guards against a last use that exceeds the bound, counted from the write, because the host
// learned late, or half of it, counted from the moment at which the host learned.
func TestLastUseEndsWithinTheBound(t *testing.T) {
	const bound = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		e := evacuations{bound: bound}
		written := time.Hour
		learned := written + ms("learned after the write", 4000)
		notBefore := written - ms("confirmed before the write", 4000)
		if rapid.Bool().Draw(t, "restarted") {
			notBefore = 0
		}
		e.apply(learned, decodeTestEvacuation, table.Change{Rows: []table.Row{{Key: "z0"}}, Full: rapid.Bool().Draw(t, "full")}, notBefore)
		later := learned + ms("read again after", 3000)
		e.apply(later, decodeTestEvacuation, table.Change{Rows: []table.Row{{Key: "config"}, {Key: "z0"}}, Full: true}, later)
		upstream := &catalog.Upstream{DataCenter: "z0"}
		at := func(now time.Duration) evacuationsNow { return e.at(func() time.Duration { return now }) }
		if notBefore == 0 && !at(learned).closed(upstream) {
			t.Fatal("in use although the host does not know since when the request is in force")
		}
		for _, end := range []time.Duration{written + bound - evacuationMargin, learned + bound/2} {
			if !at(max(learned, end)).closed(upstream) {
				t.Fatalf("in use %v after the write, %v after the host learned", end-written, end-learned)
			}
		}
	})
}

// Guards against an evacuation that is lost or kept by mistake: rows of a change leave the
// others in force, a whole table replaces them.
func TestEvacuationsFollowTheTable(t *testing.T) {
	e := evacuations{bound: time.Second}
	for i, step := range []struct {
		rows []table.Row
		full bool
		want []string
	}{
		{[]table.Row{{Key: "config"}, {Key: "z0"}}, true, []string{"z0"}},
		{[]table.Row{{Key: "z1"}}, false, []string{"z0", "z1"}},
		{[]table.Row{{Key: "config"}}, false, []string{"z0", "z1"}},
		{[]table.Row{{Key: "z0", Deleted: true}}, false, []string{"z1"}},
		{[]table.Row{{Key: "z0", Deleted: true}, {Key: "z0"}}, false, []string{"z0", "z1"}},
		{[]table.Row{{Key: "z2"}, {Key: "z1"}}, true, []string{"z1", "z2"}},
		{nil, true, nil},
	} {
		e.apply(time.Hour, decodeTestEvacuation, table.Change{Rows: step.rows, Full: step.full}, 0)
		if got := len(e.load()); got != len(step.want) {
			t.Errorf("step %d: %d evacuations, want %v", i, got, step.want)
		}
		for _, dataCenter := range step.want {
			if !e.requested(dataCenter) {
				t.Errorf("step %d: %s is not evacuated", i, dataCenter)
			}
		}
	}
}

// evacuate begins the evacuation of z0, which the registry's host learns at once.
func (r *Registry) evacuateZ0() {
	r.evacuations.bound = 5 * time.Second
	r.applyEvacuations(decodeTestEvacuation, table.Change{Rows: []table.Row{{Key: "z0"}}}, r.now()-100*time.Millisecond)
}

// Guards against requests of a plain service that go on to an evacuated data centre although
// there are upstreams elsewhere, also those that were chosen before.
func TestPlainUpstreamsAreLeftAtOnce(t *testing.T) {
	r, entries, now := newStatementRegistry()
	first, second := ledger("s1", 1), ledger("s2", 1)
	first.DataCenter, second.DataCenter = "z0", "z1"
	entries["s1"], entries["s2"] = first, second
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1"}, {Key: "s2"}}, Full: true})
	r.evacuateZ0()
	if ids := r.candidateIDs(); ids["s1"] || !ids["s2"] || r.BeginSend(&first) || !r.BeginSend(&second) {
		t.Errorf("candidates %v, want s2; or a chosen request is sent to s1", ids)
	}
	r.Apply(table.Change{Rows: []table.Row{{Key: "s2", Deleted: true}}})
	if !r.candidateIDs()["s1"] || !r.BeginSend(&first) || r.evacuatedWhole("ledger") {
		t.Error("the last replica is not used although the bound has not passed")
	}
	*now += 2500 * time.Millisecond
	if r.candidateIDs()["s1"] || r.BeginSend(&first) || !r.evacuatedWhole("ledger") {
		t.Error("the last replica is used for more than half of the bound")
	}
	r.applyEvacuations(decodeTestEvacuation, table.Change{Rows: []table.Row{{Key: "z0", Deleted: true}}}, r.now())
	if !r.candidateIDs()["s1"] || !r.BeginSend(&first) || r.evacuatedWhole("ledger") {
		t.Error("not used after the end of the evacuation")
	}
}

// Guards against a model whose last replica is left before another engine has it, and is used
// on afterwards.
func TestLastReplicaIsUsedUntilThereIsAnother(t *testing.T) {
	r, entries, _ := newStatementRegistry()
	for id, zone := range map[string]string{"e1": "z0", "e2": "z1"} {
		entries[id] = catalog.Upstream{ID: id, Service: "llm", Address: id + ":1", DataCenter: zone, StartedMS: 1,
			Holdings: catalog.Holdings{Models: map[string][]string{"m-" + id: nil}}}
	}
	r.Apply(table.Change{Rows: []table.Row{{Key: "e1"}, {Key: "e2"}}, Full: true})
	r.evacuateZ0()
	chosen := func() string {
		candidates := r.Candidates("llm", "m-e1", "")
		if len(candidates) != 1 {
			return ""
		}
		return candidates[0].Upstream.ID
	}
	e1 := entries["e1"]
	if chosen() != "e1" || !r.BeginSend(&e1) {
		t.Error("the last replica is left although no other engine has the model")
	}
	r.ApplyExchange(&coordinator.ExchangeReply{Epoch: 1, View: &coordinator.View{Version: 1, Engines: []coordinator.EngineView{
		{Upstream: "e2", StartedMS: 1, Ready: map[string][]string{"m-e1": nil}},
	}}})
	if chosen() != "e2" {
		t.Errorf("%q chosen although e2 has the model", chosen())
	}
}
