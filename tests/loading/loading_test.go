package loading_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// recoveryTime is long enough for every recovery rule to take effect after the faults
// end.
const recoveryTime = 20 * time.Second

// TestInvariantsUnderFaults guards against excess replicas, overcommitted memory and
// more concurrent loads than the weight store's limits allow, while hosts race and
// pause, responses to commits are lost, orders arrive late and engines crash. It also
// guards against reservations and permits that are never released.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		probability := rapid.SampledFrom([]float64{0, 0, 0.05, 0.3})
		f := faults{
			loseAnswer: probability.Draw(rt, "loseAnswer"),
			lateCommit: probability.Draw(rt, "lateCommit") / 3,
			pause:      probability.Draw(rt, "pause") / 3,
			lateOrder:  probability.Draw(rt, "lateOrder"),
			loseOrder:  probability.Draw(rt, "loseOrder"),
			crash:      probability.Draw(rt, "crash") / 100,
			// The draw label "silent" stays because the drawn sequences depend on it.
			losePoll: probability.Draw(rt, "silent"),
			outage:   probability.Draw(rt, "outage") / 10,
		}
		const models = 6
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "engines"),
			rapid.IntRange(1, 3).Draw(rt, "hosts"), models, f)
		for range rapid.IntRange(5, 30).Draw(rt, "bursts") {
			sim.recordDemand(sim.random.IntN(len(sim.hosts)), sim.random.IntN(models), sim.random.IntN(3) == 0, 3*time.Second)
			sim.advance(time.Duration(sim.random.Int64N(int64(2 * time.Second))))
		}
		sim.faults = faults{}
		sim.advance(recoveryTime)
		sim.checkRecovered()
		if sim.violation != "" {
			rt.Fatal(sim.violation)
		}
	})
}

func (sim *simulation) recordDemand(host, model int, adapter bool, within time.Duration) {
	name := ""
	if adapter {
		name = fmt.Sprintf("a%d", model)
	}
	sim.hosts[host].manager.RecordDemand(fmt.Sprintf("m%d", model), name, 1+sim.random.IntN(20), sim.now().Add(within))
}

// checkRecovered checks, after the faults have ended, that all reservations are loaded
// on their engines and all permits have been released.
func (sim *simulation) checkRecovered() {
	for _, e := range sim.engines {
		row, err := loading.DecodeUpstream(sim.table.rows[loading.UpstreamKey(e.address)])
		if err != nil {
			sim.fail("row of %s: %v", e.address, err)
		}
		for _, r := range row.Reservations {
			if _, ok := e.resident[r.Weights]; !ok || r.State != loading.StateLoaded || r.Permit {
				sim.fail("%s: reservation %+v, resident %v", e.address, r, ok)
			}
		}
	}
	row := sim.table.rows[weightstore.RowKey]
	weight, err := weightstore.Decode(platform.Row{Key: weightstore.RowKey, Value: row.Value, Revision: row.Revision})
	if err != nil || len(weight.Permits) > 0 {
		sim.fail("permits %v, error %v", weight.Permits, err)
	}
}

// TestRaceLoadsOnce guards against several loads of a model when requests for it
// arrive at several hosts at the same time.
func TestRaceLoadsOnce(t *testing.T) {
	sim := newSimulation(1, 4, 3, 2, faults{})
	sim.advance(time.Second)
	for host := range sim.hosts {
		sim.recordDemand(host, 1, false, 20*time.Second)
	}
	sim.advance(5 * time.Second)
	loads := 0
	for _, e := range sim.engines {
		loads += e.loads
	}
	if loads != 1 || sim.violation != "" {
		t.Fatalf("%d loads, want 1; %s", loads, sim.violation)
	}
}

// TestEvictsForWaitingRequest guards against a request that is never served because
// idle models occupy all memory.
func TestEvictsForWaitingRequest(t *testing.T) {
	sim := newSimulation(1, 1, 1, 5, faults{})
	sim.advance(time.Second)
	for model := range 5 {
		sim.recordDemand(0, model, true, 20*time.Second)
		sim.advance(6 * time.Second)
		replicas := sim.hosts[0].manager.Replicas(fmt.Sprintf("m%d", model), fmt.Sprintf("a%d", model))
		if len(replicas) != 1 || replicas[0].State != loading.StateLoaded {
			t.Fatalf("model %d: replicas %+v", model, replicas)
		}
	}
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
}

// TestUnresponsiveEngineReleasesPermit guards against unresponsive engines that hold
// all permits of the weight store, and against releasing the memory and replica of an
// engine that may only be unreachable from this host.
func TestUnresponsiveEngineReleasesPermit(t *testing.T) {
	sim := newSimulation(1, 1, 1, 1, faults{})
	sim.advance(time.Second)
	sim.recordDemand(0, 0, false, 20*time.Second)
	sim.advance(200 * time.Millisecond)
	sim.hosts[0].partitioned = true
	sim.advance(2 * time.Minute)
	weight, err := weightstore.Decode(sim.table.rows[weightstore.RowKey])
	row, rowErr := loading.DecodeUpstream(sim.table.rows[loading.UpstreamKey("e0")])
	if err != nil || rowErr != nil || len(weight.Permits) != 0 || len(row.Reservations) != 1 {
		t.Fatalf("permits %v, reservations %+v, errors %v %v", weight.Permits, row.Reservations, err, rowErr)
	}
}
