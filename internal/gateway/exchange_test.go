package gateway

import (
	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// relayedBy returns an exchanger whose table is at revision 7, after the
// coordinator has told of it.
func relayedBy(update table.Update) *exchanger {
	replica := &table.Replica{}
	replica.ApplyPage(table.Page{Revision: 7}, true, clock.SinceBoot())
	e := &exchanger{settings: &Settings{}, keeper: &lease.Elector{}, replicas: map[string]*table.Replica{"t": replica}}
	now := clock.SinceBoot()
	e.acceptTables(&coordinator.ExchangeReply{Tables: map[string]table.Update{"t": update}}, now, now)
	return e
}

// A host that had once asked the table service itself was ahead of the
// coordinator, did not count as relayed, and asked again and again: 170 calls in
// 4 s of a calm fleet (tokachi grown quiet-1).
func TestHostAheadOfTheCoordinatorIsRelayed(t *testing.T) {
	if !relayedBy(table.Update{Revision: 5, AgeMS: 100}).Relayed() {
		t.Error("the host asks the table service although the coordinator is up to date")
	}
}

func TestHostAsksTheTableServiceItself(t *testing.T) {
	tooOld := table.Update{Revision: 8, AgeMS: relayAge.Milliseconds() + int64(time.Second/time.Millisecond)}
	for name, update := range map[string]table.Update{"old": tooOld, "empty": {Revision: -1}} {
		if relayedBy(update).Relayed() {
			t.Errorf("%s table of the coordinator counts as up to date", name)
		}
	}
}

// While upstreams were quiet, the coordinator's watch of them lasted so long that
// its table counted as old, and all of 69 hosts watched for themselves (tokachi
// grown quiet-1). A table is as old as the call before the one that is waiting.
func TestCoordinatorConfirmsTablesInTime(t *testing.T) {
	for name, oldest := range map[string]time.Duration{
		"configuration": 2 * configWait,
		"upstreams":     2*upstreamWait + upstreamPause,
	} {
		if oldest+exchangeEvery > relayAge {
			t.Errorf("%s: confirmed up to %v ago, hosts accept %v", name, oldest, relayAge)
		}
	}
}

// Hosts of a large fleet asked so rarely that they counted as cut off between two
// exchanges: 300 hosts lived on their shares and read the store's tables themselves
// (sweep of tokachi-seedvault-grown, served 0.21).
func TestExchangesOfLargeFleets(t *testing.T) {
	for hosts := range 2000 {
		for _, waiting := range []bool{false, true} {
			period := exchangePeriod(hosts, waiting)
			if period > exchangeSlow || period < exchangeBusy {
				t.Fatalf("%v between exchanges of %d hosts", period, hosts)
			}
			if period+exchangeGap >= reachedFor || period+exchangeGap >= allowance.ContactTimeout {
				t.Fatalf("%d hosts count as cut off between two exchanges", hosts)
			}
		}
	}
}
