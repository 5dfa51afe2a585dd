package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
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
		e.apply(time.Hour, decodeTestEvacuation, table.Change{Rows: form.copied, Full: true, PreviousGeneration: 1}, 0)
		e.apply(time.Hour, decodeTestEvacuation, table.Change{Rows: form.after}, 0)
		atOnce := e.requested("z0")
		e.expire(time.Hour + restoredGrace)
		if later := e.requested("z0"); atOnce != form.atOnce || later != form.later {
			t.Errorf("%s: in force %v at once, %v later", name, atOnce, later)
		}
	}
}

// versionRow returns the row of a version of the configuration.
func versionRow(revision, version int64) table.Row {
	return table.Row{Key: "config", Revision: revision, Value: fmt.Append(nil, version)}
}

// newTestConfiguration returns the configuration of a host that has just started.
func newTestConfiguration() *configuration {
	c := &configuration{log: logr.Discard()}
	c.decode = func(rows []table.Row) (*catalog.Config, error) {
		var version int64
		_, err := fmt.Sscan(string(rows[0].Value), &version)
		return catalog.NewConfig(version, nil, nil, catalog.Limits{}), err
	}
	c.replica.OnChange = c.apply
	c.settlement.begin(0, 0)
	return c
}

// read applies a read of the whole table.
func (c *configuration) read(generation, version int64, age time.Duration) {
	page := table.Page{Rows: []table.Row{versionRow(1, version)}, Position: table.Position{Generation: generation, Revision: 5}}
	c.replica.ApplyPage(page, true, clock.SinceBoot()-age)
}

// Guards against a key that is in use although a version which the copy lacks has taken it away
// (check CONFIG): on a host that had that version, on one that had not heard of it, and on one that
// starts. Versions 7 and 12 are the one in the copy and the one that was lost.
func TestVersionThatTheCopyLacks(t *testing.T) {
	const seen = 800 * time.Millisecond // age of the last confirmation before the drill
	settled := func(c *configuration) { c.settlement.settle(2) }
	for name, form := range map[string]struct {
		before  int64 // version in force in generation 1; 0: the host starts in generation 2
		learn   func(c *configuration)
		version int64
		// confirmed reports that the confirmation of generation 2 counts, old that only the one
		// before does.
		confirmed, old bool
	}{
		"had the lost version":                         {12, settled, 12, true, false},
		"had the lost version, nobody has told it":     {12, func(*configuration) {}, 12, false, true},
		"never had it, nobody has told it":             {7, func(*configuration) {}, 7, false, true},
		"never had it, the coordinator neither":        {7, settled, 7, true, false},
		"never had it, and hears that there is one":    {7, func(c *configuration) { c.require(12); settled(c) }, 7, false, true},
		"never had it, and gets it":                    {7, func(c *configuration) { c.require(12); c.adopt(versionRow(0, 12)); settled(c) }, 12, true, false},
		"never had it, and it is written again":        {7, func(c *configuration) { c.require(12); settled(c); c.read(2, 12, 0) }, 12, true, false},
		"starts, nobody has told it":                   {0, func(*configuration) {}, 7, false, false},
		"starts, and the lease row is of before":       {0, func(c *configuration) { c.settlement.settle(1) }, 7, false, false},
		"starts, and the lease row names the lost one": {0, func(c *configuration) { c.require(12); settled(c) }, 7, false, false},
		"starts, and gets the lost version":            {0, func(c *configuration) { c.require(12); settled(c); c.adopt(versionRow(0, 12)) }, 12, true, false},
		"a second drill before the first is settled":   {7, func(c *configuration) { c.read(3, 7, 0); settled(c) }, 7, false, true},
		"heard of it, then a second drill":             {7, func(c *configuration) { c.require(12); settled(c); c.read(3, 7, 0) }, 7, false, true},
		"starts, hears of it, then a second drill":     {0, func(c *configuration) { c.settlement.settle(1); c.require(12); c.read(3, 7, 0) }, 7, false, false},
		"a late word of the generation before":         {7, func(c *configuration) { c.settlement.settle(1) }, 7, false, true},
	} {
		c := newTestConfiguration()
		if form.before != 0 {
			c.settlement.settle(1)
			c.read(1, form.before, seen)
		}
		c.read(2, 7, 0)
		form.learn(c)
		snapshot := c.snapshot()
		if snapshot.config.Version != form.version {
			t.Errorf("%s: version %d in force", name, snapshot.config.Version)
		}
		confirmed := snapshot.age() < seen
		old := !confirmed && snapshot.age() < 2*seen
		if confirmed != form.confirmed || old != form.old {
			t.Errorf("%s: confirmed %v, only before %v (%v ago)", name, confirmed, old, snapshot.age())
		}
	}
}

// Guards against a host that refuses keys for good because no coordinator tells it whether it has
// the newest version.
func TestGenerationCountsWithoutACoordinator(t *testing.T) {
	c := newTestConfiguration()
	c.settlement.settle(1)
	c.read(1, 7, time.Hour)
	c.read(2, 7, 0)
	if c.age() < time.Hour {
		t.Fatal("confirmed although nobody has said whether the version is the newest")
	}
	c.settlement.since -= maxUnsettled
	if c.age() > time.Second {
		t.Error("not confirmed without a coordinator")
	}
}

// Guards against a coordinator that lacks a version that a host has, or that passes on one which
// hosts find in the table.
func TestCoordinatorCollectsTheNewestVersion(t *testing.T) {
	known, lacking := newTestConfiguration(), newTestConfiguration()
	for _, c := range []*configuration{known, lacking} {
		c.settlement.settle(1)
		c.read(1, 7, 0)
	}
	known.read(1, 12, 0)
	if known.missing(7) != nil {
		t.Error("a version of the table is passed on")
	}
	known.read(2, 7, 0)
	lacking.read(2, 7, 0)
	host, coordinating := &exchanger{config: known}, &exchanger{config: lacking, elector: &lease.Elector{}}
	for round, wanted := range []bool{true, false, false} {
		request, reply := &coordinator.ExchangeRequest{Generations: map[string]int64{}}, &coordinator.ExchangeReply{}
		host.reportConfig(request)
		coordinating.exchangeConfig(request, reply)
		host.applyConfig(reply)
		if reply.ConfigWanted != wanted || reply.ConfigVersion != 12 {
			t.Errorf("round %d: wanted %v, newest %d", round, reply.ConfigWanted, reply.ConfigVersion)
		}
	}
	late, reply := &coordinator.ExchangeRequest{Generations: map[string]int64{}, ConfigVersion: 7}, &coordinator.ExchangeReply{}
	coordinating.exchangeConfig(late, reply)
	if lacking.version() != 12 || reply.Config == nil || reply.SettledGeneration != 0 {
		t.Errorf("the coordinator has version %d, passes on %v, settled for generation %d without the lease", lacking.version(), reply.Config, reply.SettledGeneration)
	}
}
