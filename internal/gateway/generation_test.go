package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// entry returns the row of upstream s1, started at born, in a state.
func entry(revision, born int64, state string) table.Row {
	return table.Row{Key: "s1", Revision: revision, Value: fmt.Appendf(nil, "%d %s", born, state)}
}

func decodeTestEntry(row table.Row) (*catalog.Upstream, error) {
	upstream := &catalog.Upstream{ID: row.Key, Service: "ledger", Address: row.Key + ":1"}
	var state string
	_, err := fmt.Sscan(string(row.Value), &upstream.StartedMS, &state)
	upstream.Draining = state == "draining"
	return upstream, err
}

// Guards against an upstream that is used again, or no more, because the table service has come
// back from a copy that is older than what this host has acknowledged (check DRAIN): its leaving,
// its removal, its start.
func TestUpstreamsAfterRestore(t *testing.T) {
	removed := table.Row{Key: "s1", Revision: 9, Deleted: true}
	for name, form := range map[string]struct {
		before []table.Row // changes in generation 1 after s1 was found at start 1
		copied []table.Row // the copy, of revision 5
		after  []table.Row // changes in generation 2
		used   bool
	}{
		"nothing lost":                           {nil, []table.Row{entry(3, 1, "ready")}, nil, true},
		"the copy doesn't know that it leaves":   {[]table.Row{entry(8, 1, "draining")}, []table.Row{entry(3, 1, "ready")}, nil, false},
		"it says so again":                       {[]table.Row{entry(8, 1, "draining")}, []table.Row{entry(3, 1, "ready")}, []table.Row{entry(7, 1, "draining")}, false},
		"it left, and has started again":         {[]table.Row{entry(8, 1, "draining")}, []table.Row{entry(3, 1, "ready")}, []table.Row{entry(7, 2, "ready")}, true},
		"the copy doesn't know that it is gone":  {[]table.Row{removed}, []table.Row{entry(3, 1, "ready")}, nil, false},
		"gone, and removed again":                {[]table.Row{removed}, []table.Row{entry(3, 1, "ready")}, []table.Row{{Key: "s1", Revision: 6, Deleted: true}}, false},
		"its entry had expired, and it is there": {[]table.Row{removed}, []table.Row{entry(3, 1, "ready")}, []table.Row{entry(6, 1, "ready")}, true},
		"the copy has its start before":          {[]table.Row{entry(8, 2, "ready")}, []table.Row{entry(3, 1, "ready")}, nil, true},
		"the copy lacks it":                      {nil, nil, nil, true},
		"the copy lacks it, and it leaves":       {nil, nil, []table.Row{entry(7, 1, "draining")}, false},
	} {
		for _, relayed := range []bool{false, true} {
			r := NewRegistry(decodeTestEntry, func(string) {}, logr.Discard())
			now := clock.SinceBoot()
			r.Replica.ApplyPage(table.Page{Rows: []table.Row{entry(3, 1, "ready")}, Position: table.Position{Generation: 1, Revision: 4}}, true, now)
			r.Replica.ApplyPage(table.Page{Rows: form.before, Position: table.Position{Generation: 1, Revision: 9}}, false, now)
			restored, later := table.Position{Generation: 2, Revision: 5}, table.Position{Generation: 2, Revision: 8}
			if relayed {
				r.Replica.ApplyUpdate(table.Update{Full: true, Rows: form.copied, Position: restored, RestoredUpTo: 5}, now)
				r.Replica.ApplyUpdate(table.Update{Rows: form.after, Position: later}, now)
			} else {
				r.Replica.ApplyPage(table.Page{Rows: form.copied, Position: restored}, true, now)
				r.Replica.ApplyPage(table.Page{Rows: form.after, Position: later}, false, now)
			}
			if used := r.candidateIDs()["s1"]; used != form.used {
				t.Errorf("%s, relayed %v: used %v", name, relayed, used)
			}
		}
	}
}

// Guards against an upstream that is kept for good although nobody writes its entry again.
func TestEntryThatTheCopyLacksIsKeptForAMoment(t *testing.T) {
	r := NewRegistry(decodeTestEntry, func(string) {}, logr.Discard())
	now := clock.SinceBoot()
	r.Replica.ApplyPage(table.Page{Rows: []table.Row{entry(3, 1, "ready")}, Position: table.Position{Generation: 1, Revision: 4}}, true, now)
	r.Replica.ApplyPage(table.Page{Position: table.Position{Generation: 2, Revision: 2}}, true, now)
	r.mu.Lock()
	dropped := r.removeExpiredLocked(time.Now().Add(missingEntryGrace))
	r.mu.Unlock()
	if !dropped || r.candidateIDs()["s1"] {
		t.Error("an upstream whose entry is missing is used after the grace period")
	}
}

// Guards against an evacuation that ends because the copy lacks it, or that never ends.
func TestEvacuationThatTheCopyLacks(t *testing.T) {
	z0 := []table.Row{{Key: "z0"}}
	for name, form := range map[string]struct {
		copied, after []table.Row
		atOnce, later bool
	}{
		"lost":                   {nil, nil, true, false},
		"lost and written again": {nil, z0, true, true},
		"lost and ended":         {nil, []table.Row{{Key: "z0", Deleted: true}}, false, false},
		"known to the copy":      {z0, nil, true, true},
	} {
		e := evacuations{bound: time.Second}
		e.apply(time.Hour, decodeTestEvacuation, table.Change{Rows: z0, Full: true}, 0)
		e.apply(time.Hour, decodeTestEvacuation, table.Change{Rows: form.copied, Full: true, NewGeneration: true}, 0)
		e.apply(time.Hour, decodeTestEvacuation, table.Change{Rows: form.after}, 0)
		atOnce := e.requested("z0")
		e.expire(time.Hour + restoredGrace)
		if later := e.requested("z0"); atOnce != form.atOnce || later != form.later {
			t.Errorf("%s: in force %v at once, %v later", name, atOnce, later)
		}
	}
}
