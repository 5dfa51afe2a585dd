package gateway

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// newRelayedExchanger returns an exchanger whose replica is at revision 7, after the
// coordinator has relayed an update.
func newRelayedExchanger(update table.Update) *exchanger {
	replica := &table.Replica{}
	replica.ApplyPage(table.Page{Position: table.Position{Revision: 7}}, true, clock.SinceBoot())
	e := &exchanger{settings: &Settings{}, elector: &lease.Elector{}, replicas: map[string]*table.Replica{"t": replica}}
	now := clock.SinceBoot()
	e.applyTables(&coordinator.ExchangeReply{Tables: map[string]table.Update{"t": update}}, now, now)
	return e
}

// Guards against a host that reads the table service again and again: after one such
// read its replica is ahead of the coordinator's, and it did not count as relayed
// (170 calls in 4 s in the scenario tokachi grown quiet-1, without faults).
func TestHostAheadOfCoordinatorIsRelayed(t *testing.T) {
	if !newRelayedExchanger(table.Update{Position: table.Position{Revision: 5}, AgeMS: 100}).Relayed() {
		t.Error("the host does not count as relayed although the coordinator is up to date")
	}
}

func TestOutdatedRelayIsNotUsed(t *testing.T) {
	outdated := table.Update{Position: table.Position{Revision: 8}, AgeMS: maxRelayAge.Milliseconds() + int64(time.Second/time.Millisecond)}
	for name, update := range map[string]table.Update{"old": outdated, "empty": {Position: table.Position{Revision: -1}}} {
		if newRelayedExchanger(update).Relayed() {
			t.Errorf("%s relayed table counts as up to date", name)
		}
	}
}

// Guards against a coordinator whose table counts as outdated while the upstreams do
// not change, so that all 69 hosts of a fleet watched the table themselves (tokachi
// grown quiet-1). A table is as old as the call before the pending one.
func TestCoordinatorConfirmsTablesWithinRelayAge(t *testing.T) {
	for name, maxAge := range map[string]time.Duration{
		"configuration": 2 * configWatchTimeout,
		"upstreams":     2*upstreamWatchTimeout + upstreamWatchPause,
	} {
		if maxAge+exchangeInterval > maxRelayAge {
			t.Errorf("%s: confirmed up to %v ago, hosts accept %v", name, maxAge, maxRelayAge)
		}
	}
}

// Guards against intervals at which hosts of a large fleet count as disconnected
// between two exchanges: 300 hosts spent from their local shares, read the tables
// themselves and served 0.21 of the requests (sweep of tokachi-seedvault-grown).
func TestExchangeIntervalOfLargeFleets(t *testing.T) {
	for hosts := range 2000 {
		for _, waiting := range []bool{false, true} {
			interval := exchangeIntervalFor(hosts, waiting)
			if interval > maxExchangeInterval || interval < busyExchangeInterval {
				t.Fatalf("interval %v for %d hosts is out of range", interval, hosts)
			}
			if interval+minExchangeGap >= reachedTimeout || interval+minExchangeGap >= allowance.ContactTimeout {
				t.Fatalf("hosts of a fleet of %d count as disconnected between two exchanges", hosts)
			}
		}
	}
}
