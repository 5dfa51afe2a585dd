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

// settle is long enough for every recovery rule to act after faults end.
const settle = 20 * time.Second

// TestInvariantsUnderFaults guards against excess replicas, overcommitted
// memory and loads beyond the weight store's limits while hosts race and pause,
// commit answers are lost, orders arrive late and engines crash. It also guards
// against reservations and permits that are never given back.
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
			silent:     probability.Draw(rt, "silent"),
			outage:     probability.Draw(rt, "outage") / 10,
		}
		const models = 6
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 4).Draw(rt, "engines"),
			rapid.IntRange(1, 3).Draw(rt, "hosts"), models, f)
		for range rapid.IntRange(5, 30).Draw(rt, "bursts") {
			w.demand(w.random.IntN(len(w.hosts)), w.random.IntN(models), w.random.IntN(3) == 0, 3*time.Second)
			w.advance(time.Duration(w.random.Int64N(int64(2 * time.Second))))
		}
		w.faults = faults{}
		w.advance(settle)
		w.checkSettled()
		if w.problem != "" {
			rt.Fatal(w.problem)
		}
	})
}

func (w *world) demand(host, model int, adapter bool, within time.Duration) {
	name := ""
	if adapter {
		name = fmt.Sprintf("a%d", model)
	}
	w.hosts[host].manager.RecordDemand(fmt.Sprintf("m%d", model), name, 1+w.random.IntN(20), w.now().Add(within))
}

// checkSettled compares rows with engines after the faults ended.
func (w *world) checkSettled() {
	for _, e := range w.engines {
		row, err := loading.DecodeUpstream(w.table.rows[loading.UpstreamKey(e.address)])
		if err != nil {
			w.fail("row of %s: %v", e.address, err)
		}
		for _, r := range row.Reservations {
			if _, ok := e.resident[r.Weights]; !ok || r.State != loading.StateLoaded || r.Permit {
				w.fail("%s: reservation %+v, resident %v", e.address, r, ok)
			}
		}
	}
	row := w.table.rows[weightstore.RowKey]
	weight, err := weightstore.Decode(platform.Row{Key: weightstore.RowKey, Value: row.Value, Revision: row.Revision})
	if err != nil || len(weight.Permits) > 0 {
		w.fail("permits %v, error %v", weight.Permits, err)
	}
}

// TestRaceLoadsOnce guards against one burst at several hosts ending in several
// loads of a model.
func TestRaceLoadsOnce(t *testing.T) {
	w := newWorld(1, 4, 3, 2, faults{})
	w.advance(time.Second)
	for host := range w.hosts {
		w.demand(host, 1, false, 20*time.Second)
	}
	w.advance(5 * time.Second)
	loads := 0
	for _, e := range w.engines {
		loads += e.loads
	}
	if loads != 1 || w.problem != "" {
		t.Fatalf("%d loads, want 1; %s", loads, w.problem)
	}
}

// TestEvictsForWaitingRequest guards against a request that waits for ever
// because idle models fill all memory.
func TestEvictsForWaitingRequest(t *testing.T) {
	w := newWorld(1, 1, 1, 5, faults{})
	w.advance(time.Second)
	for model := range 5 {
		w.demand(0, model, true, 20*time.Second)
		w.advance(6 * time.Second)
		replicas := w.hosts[0].manager.Replicas(fmt.Sprintf("m%d", model), fmt.Sprintf("a%d", model))
		if len(replicas) != 1 || replicas[0].State != loading.StateLoaded {
			t.Fatalf("model %d: replicas %+v", model, replicas)
		}
	}
	if w.problem != "" {
		t.Fatal(w.problem)
	}
}

// TestSilentEngineReturnsPermit guards against silent engines that hold all
// permits of the weight store, and against dropping the memory and replica of
// an engine that may only be cut off.
func TestSilentEngineReturnsPermit(t *testing.T) {
	w := newWorld(1, 1, 1, 1, faults{})
	w.advance(time.Second)
	w.demand(0, 0, false, 20*time.Second)
	w.advance(200 * time.Millisecond)
	w.hosts[0].cutOff = true
	w.advance(2 * time.Minute)
	weight, err := weightstore.Decode(w.table.rows[weightstore.RowKey])
	row, rowErr := loading.DecodeUpstream(w.table.rows[loading.UpstreamKey("e0")])
	if err != nil || rowErr != nil || len(weight.Permits) != 0 || len(row.Reservations) != 1 {
		t.Fatalf("permits %v, reservations %+v, errors %v %v", weight.Permits, row.Reservations, err, rowErr)
	}
}
