package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const testNow = 100 * time.Second

// testService has the given number of models of 60 GB; an engine holds three.
func testService(models int) *catalog.Service {
	engine := &catalog.Engine{Models: map[string]catalog.Model{}, WeightsMB: 200_000, MaxAdapters: 8, LoadsPerS: 6}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		engine.Models[name] = catalog.Model{
			Name: name, WeightsMB: 60_000, AdapterMB: 50,
			Load: 6 * time.Second, LoadDisk: 700 * time.Millisecond, LoadMemory: 500 * time.Millisecond,
		}
	}
	return &catalog.Service{Name: "llm", Engine: engine}
}

func testEngine(id string, models ...string) *Engine {
	e := &Engine{
		ID: id, Holdings: catalog.Holdings{Models: map[string][]string{}},
		Running: map[string]int{}, LoadedAt: map[string]time.Duration{},
	}
	for _, model := range models {
		e.Holdings.Models[model] = nil
		e.Holdings.OnDisk = append(e.Holdings.OnDisk, model)
	}
	return e
}

func testState(service *catalog.Service, engines ...*Engine) State {
	return State{Now: testNow, Service: service, Engines: engines, Demand: map[string]*Demand{}, StoreStarts: 30}
}

// checkMemory fails if the actions could put more on an engine than it holds.
func checkMemory(t *testing.T, state State, actions []Action) {
	t.Helper()
	for _, action := range actions {
		for _, engine := range state.Engines {
			if engine.ID != action.Engine {
				continue
			}
			used := state.Service.Engine.Models[action.Load].WeightsMB
			for model := range engine.Holdings.Models {
				if !slices.Contains(action.Unload, model) {
					used += state.Service.Engine.Models[model].WeightsMB
				}
			}
			for _, model := range engine.Reserved {
				if engine.Holdings.Holds(model) && !slices.Contains(action.Unload, model) {
					continue // counted above
				}
				used += state.Service.Engine.Models[model].WeightsMB
			}
			if used > state.Service.Engine.WeightsMB {
				t.Errorf("engine %s would hold %.0f MB", engine.ID, used)
			}
		}
	}
}

func TestColdModelGoesWhereItsCopyIs(t *testing.T) {
	state := testState(testService(8), testEngine("e1", "m0"), testEngine("e2", "m1"))
	state.Engines[1].Holdings.OnDisk = append(state.Engines[1].Holdings.OnDisk, "m5")
	state.Demand["m5"] = &Demand{Waiting: 1}
	actions := Plan(state)
	if len(actions) != 1 || actions[0].Engine != "e2" || actions[0].Source != FromDisk || len(actions[0].Unload) != 0 {
		t.Fatalf("actions %+v, want a load of m5 from the disk of e2", actions)
	}
}

// Long loads went to the engine of the model whose adapters were asked for most;
// 38 of 196 requests for adapters were refused meanwhile (tokachi-seedvault quiet-1).
func TestLongLoadsSpareEnginesWithAdapters(t *testing.T) {
	for _, spared := range []string{"m0", "m1"} {
		state := testState(testService(8), testEngine("e1", "m0"), testEngine("e2", "m1"))
		for _, model := range []string{"m0", "m1"} {
			state.Demand[model] = &Demand{Rate: 0.9, LastSeen: testNow}
		}
		state.Demand[spared].AdapterRate = 0.6
		state.Demand["m5"] = &Demand{Waiting: 1}
		want := map[string]string{"m0": "e2", "m1": "e1"}[spared]
		actions := Plan(state)
		i := slices.IndexFunc(actions, func(a Action) bool { return a.Load == "m5" })
		if i < 0 || actions[i].Engine != want {
			t.Errorf("adapters of %s: actions %+v, want a load of m5 on %s", spared, actions, want)
		}
	}
}

func TestIdleModelYieldsToWaitingOne(t *testing.T) {
	state := testState(testService(8), testEngine("e1", "m0", "m1", "m2"))
	state.Demand["m0"] = &Demand{Rate: 3, LastSeen: testNow}
	state.Demand["m1"] = &Demand{Rate: 0.5, LastSeen: testNow}
	state.Demand["m5"] = &Demand{Waiting: 1}
	actions := Plan(state)
	if len(actions) != 1 || !slices.Equal(actions[0].Unload, []string{"m2"}) {
		t.Fatalf("actions %+v, want m2 to yield", actions)
	}
	checkMemory(t, state, actions)
}

func TestModelInUseDoesNotYield(t *testing.T) {
	state := testState(testService(8), testEngine("e1", "m0", "m1", "m2"))
	for _, model := range []string{"m0", "m1", "m2"} {
		state.Engines[0].Running[model] = 1
	}
	state.Demand["m5"] = &Demand{Waiting: 9}
	if actions := Plan(state); len(actions) != 0 {
		t.Fatalf("actions %+v, want none", actions)
	}
}

// Burst on rare models: loads from the weight store beyond its bandwidth only
// slow each other down, and the store's rate bounds how many may begin.
func TestBurstOnRareModelsKeepsToTheWeightStore(t *testing.T) {
	var engines []*Engine
	for i := range 12 {
		engines = append(engines, testEngine(fmt.Sprintf("e%d", i)))
	}
	state := testState(testService(40), engines...)
	for i := range 40 {
		state.Demand[fmt.Sprintf("m%d", i)] = &Demand{Waiting: 1}
	}
	if actions := Plan(state); len(actions) != storeLoads {
		t.Errorf("%d loads begin, want %d", len(actions), storeLoads)
	}
	state.StoreStarts = 2
	if actions := Plan(state); len(actions) != 2 {
		t.Errorf("%d loads begin, want the store's 2", len(actions))
	}
}

// A new coordinator did not count a load that the one before had ordered, and
// ordered more than the engine holds (LIMIT, tokachi quiet-1).
func TestReservedLoadTakesRoom(t *testing.T) {
	state := testState(testService(8), testEngine("e1", "m0", "m1"))
	state.Engines[0].Reserved = []string{"m2"}
	state.Demand["m5"] = &Demand{Waiting: 1}
	actions := Plan(state)
	if len(actions) != 1 || len(actions[0].Unload) != 1 {
		t.Fatalf("actions %+v, want one model to yield", actions)
	}
	checkMemory(t, state, actions)
	state.Engines[0].Occupied = true
	if actions := Plan(state); len(actions) != 0 {
		t.Errorf("actions %+v for an engine with an order in progress", actions)
	}
}

func TestBusyModelGetsAnotherReplicaBeforeRareOnes(t *testing.T) {
	state := testState(testService(8), testEngine("e1", "m0"), testEngine("e2", "m1"))
	state.Engines[0].Occupied = true
	state.Demand["m0"] = &Demand{Rate: 9, Running: 30, LastSeen: testNow}
	state.Demand["m5"] = &Demand{Waiting: 1, Rate: 0.2}
	actions := Plan(state)
	if len(actions) != 1 || actions[0].Load != "m0" {
		t.Fatalf("actions %+v, want a second replica of m0 first", actions)
	}
}

func TestLeavingEngineCountsForNothing(t *testing.T) {
	state := testState(testService(8), testEngine("e1", "m0"), testEngine("e2"))
	state.Engines[0].Leaving = true
	state.Demand["m0"] = &Demand{Rate: 2, Waiting: 1}
	actions := Plan(state)
	if len(actions) != 1 || actions[0].Engine != "e2" || actions[0].Load != "m0" {
		t.Fatalf("actions %+v, want m0 on e2", actions)
	}
}

func TestPrefetchTakesOnlyIdleModelsWithCopies(t *testing.T) {
	state := testState(testService(5), testEngine("e1", "m0", "m1", "m2"))
	state.Prefetch = true
	for _, model := range []string{"m0", "m1", "m2"} {
		state.Demand[model] = &Demand{Rate: 0.1, LastSeen: testNow}
	}
	if actions := Plan(state); len(actions) != 0 {
		t.Errorf("actions %+v, want none while all models are in use", actions)
	}
	state.Demand["m2"].LastSeen = 0
	actions := Plan(state)
	if len(actions) != 1 || !slices.Equal(actions[0].Unload, []string{"m2"}) {
		t.Errorf("actions %+v, want m2 to yield", actions)
	}
}

// Random states: memory is never overcommitted, engines get one action, and
// nothing in use yields.
func TestPlanKeepsItsPromises(t *testing.T) {
	for seed := range 300 {
		state := randomState(uint64(seed))
		actions := Plan(state)
		checkMemory(t, state, actions)
		seen := map[string]bool{}
		for _, action := range actions {
			if seen[action.Engine] {
				t.Fatalf("seed %d: two actions for %s", seed, action.Engine)
			}
			seen[action.Engine] = true
			for _, engine := range state.Engines {
				for _, model := range action.Unload {
					if engine.ID == action.Engine && engine.Running[model] > 0 {
						t.Fatalf("seed %d: %s yields while it runs", seed, model)
					}
				}
			}
		}
	}
}

// A busy model took so many engines that requests for rare models found no room
// (tokachi-seedvault, all days with trouble).
func TestBusyModelLeavesRoomForRareOnes(t *testing.T) {
	service := testService(8)
	service.Engine.BatchSlots = 64
	var engines []*Engine
	for i := range 3 {
		engines = append(engines, testEngine(fmt.Sprintf("e%d", i), "m0"))
	}
	engines = append(engines, testEngine("e3", "m1"))
	state := testState(service, engines...)
	state.Demand["m0"] = &Demand{Rate: 11.5, Running: 30}
	if actions := Plan(state); slices.ContainsFunc(actions, func(a Action) bool { return a.Load == "m0" }) {
		t.Errorf("a fourth replica for 11.5 requests a second: %+v", actions)
	}
	state.Demand["m0"].Running = 60 // long prompts
	if actions := Plan(state); !slices.ContainsFunc(actions, func(a Action) bool { return a.Load == "m0" }) {
		t.Error("no further replica for 60 concurrent requests")
	}
}
