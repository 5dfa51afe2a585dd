package coordinator

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// Guards against grants beyond the rate of a cold upstream over all hosts, grants for services
// without a rate, and coldness that is not relayed or does not end.
func TestColdUpstreamsInExchanges(t *testing.T) {
	now := time.Hour
	services := []*catalog.Service{{Name: "ledger", ColdStart: 3 * time.Second, ColdPerS: 14}, {Name: "free"}}
	fleetState := &fakeFleetState{config: catalog.NewConfig(1, nil, services, catalog.Limits{})}
	c := NewWithClock("host", &fakeLease{}, fleetState, nil, logr.Discard(), func() time.Duration { return now })
	s1 := Incarnation{Upstream: "s1", StartedMS: 7}
	granted, seats := 0, 0
	for _, host := range []string{"a", "b", "c", "d", "e"} {
		reply := c.Exchange(1, &ExchangeRequest{
			Host: host, Cold: []ColdUpstream{{s1, 2000}},
			ColdNeeds: []ColdNeed{{Incarnation: s1, Service: "ledger", Waiting: 9}, {Incarnation: Incarnation{"f", 1}, Service: "free", Waiting: 9}, {Service: "gone"}},
		})
		for _, grant := range reply.ColdGrants {
			if grant.Upstream != "s1" {
				t.Errorf("granted %+v", grant)
			}
			granted += grant.Requests
		}
		if reply.ColdSeat {
			seats++
		}
	}
	if granted != 2 || seats != 3 {
		t.Errorf("%d requests granted at once and %d seats, want 2 and 3", granted, seats)
	}
	c.tick(t.Context())
	now += 500 * time.Millisecond
	if reply := c.Exchange(1, &ExchangeRequest{Host: "z"}); len(reply.Cold) != 1 || reply.Cold[0].Incarnation != s1 || reply.Cold[0].LeftMS != 1501 {
		t.Errorf("relayed %+v, want s1 cold for 1.5 s", reply.Cold)
	}
	now += 1500 * time.Millisecond
	if reply := c.Exchange(1, &ExchangeRequest{Host: "z"}); len(reply.Cold) != 0 {
		t.Errorf("relayed %+v after the end", reply.Cold)
	}
}

// Guards against a planner that counts on a cold replica as on any other.
func TestColdReplicaCarriesLess(t *testing.T) {
	for _, c := range []struct {
		perS    float64
		actions int
	}{{0, 0}, {14, 0}, {0.5, 1}} {
		service := testService(1)
		engines := []*Engine{
			{ID: "e1", Holdings: catalog.Holdings{Models: map[string][]string{"m0": nil}}, ColdPerS: c.perS},
			{ID: "e2", Holdings: catalog.Holdings{Models: map[string][]string{}, OnDisk: []string{"m0"}}},
		}
		input := PlanInput{Now: time.Hour, Service: service, Engines: engines, Demand: map[string]*Demand{"m0": {Rate: 0.9}}, StoreStarts: 5}
		if actions := Plan(input); len(actions) != c.actions {
			t.Errorf("cold at %g per s: %d loads, want %d", c.perS, len(actions), c.actions)
		}
	}
}
