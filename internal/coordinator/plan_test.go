package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const testNow = 100 * time.Second

// testService returns a service with the given number of 60 GB models. An engine holds
// three of them.
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

func testInput(service *catalog.Service, engines ...*Engine) PlanInput {
	return PlanInput{Now: testNow, Service: service, Engines: engines, Demand: map[string]*Demand{}, StoreStarts: 30}
}

// checkMemory fails the test if the actions could exceed the memory of an engine.
func checkMemory(t *testing.T, input PlanInput, actions []Action) {
	t.Helper()
	for _, action := range actions {
		for _, engine := range input.Engines {
			if engine.ID != action.Engine {
				continue
			}
			used := input.Service.Engine.Models[action.Load].WeightsMB
			for model := range engine.Holdings.Models {
				if !slices.Contains(action.Unload, model) {
					used += input.Service.Engine.Models[model].WeightsMB
				}
			}
			for _, model := range engine.Reserved {
				if engine.Holdings.Holds(model) && !slices.Contains(action.Unload, model) {
					continue // counted above
				}
				used += input.Service.Engine.Models[model].WeightsMB
			}
			if used > input.Service.Engine.WeightsMB {
				t.Errorf("engine %s would hold %.0f MB", engine.ID, used)
			}
		}
	}
}

func TestModelIsLoadedWhereCopyExists(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0"), testEngine("e2", "m1"))
	input.Engines[1].Holdings.OnDisk = append(input.Engines[1].Holdings.OnDisk, "m5")
	input.Demand["m5"] = &Demand{Waiting: 1}
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Engine != "e2" || actions[0].Source != FromDisk || len(actions[0].Unload) != 0 {
		t.Fatalf("actions %+v, want a load of m5 from the disk of e2", actions)
	}
}

// Guards against placing long loads on the engine whose adapters are requested most: 38 of
// 196 requests for adapters were refused during such loads.
func TestLongLoadsAvoidEnginesWithAdapterDemand(t *testing.T) {
	for _, busy := range []string{"m0", "m1"} {
		input := testInput(testService(8), testEngine("e1", "m0"), testEngine("e2", "m1"))
		for _, model := range []string{"m0", "m1"} {
			input.Demand[model] = &Demand{Rate: 0.9, LastSeen: testNow}
		}
		input.Demand[busy].AdapterRate = 0.6
		input.Demand["m5"] = &Demand{Waiting: 1}
		want := map[string]string{"m0": "e2", "m1": "e1"}[busy]
		actions := Plan(input)
		i := slices.IndexFunc(actions, func(a Action) bool { return a.Load == "m5" })
		if i < 0 || actions[i].Engine != want {
			t.Errorf("adapters of %s: actions %+v, want a load of m5 on %s", busy, actions, want)
		}
	}
}

func TestIdleModelIsEvictedForWaitingOne(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0", "m1", "m2"))
	input.Demand["m0"] = &Demand{Rate: 3, LastSeen: testNow}
	input.Demand["m1"] = &Demand{Rate: 0.5, LastSeen: testNow}
	input.Demand["m5"] = &Demand{Waiting: 1}
	actions := Plan(input)
	if len(actions) != 1 || !slices.Equal(actions[0].Unload, []string{"m2"}) {
		t.Fatalf("actions %+v, want m2 to be evicted", actions)
	}
	checkMemory(t, input, actions)
}

func TestModelInUseIsNotEvicted(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0", "m1", "m2"))
	for _, model := range []string{"m0", "m1", "m2"} {
		input.Engines[0].Running[model] = 1
	}
	input.Demand["m5"] = &Demand{Waiting: 9}
	if actions := Plan(input); len(actions) != 0 {
		t.Fatalf("actions %+v, want none", actions)
	}
}

// In a burst of requests for rare models, loads from the weight store must not exceed its
// bandwidth, because further loads only slow each other down, nor its rate limit.
func TestBurstOnRareModelsRespectsStoreLimits(t *testing.T) {
	var engines []*Engine
	for i := range 12 {
		engines = append(engines, testEngine(fmt.Sprintf("e%d", i)))
	}
	input := testInput(testService(40), engines...)
	for i := range 40 {
		input.Demand[fmt.Sprintf("m%d", i)] = &Demand{Waiting: 1}
	}
	if actions := Plan(input); len(actions) != maxStoreLoads {
		t.Errorf("%d loads start, want %d", len(actions), maxStoreLoads)
	}
	input.StoreStarts = 2
	if actions := Plan(input); len(actions) != 2 {
		t.Errorf("%d loads start, want the store's limit of 2", len(actions))
	}
}

// Guards against a new coordinator that ignores a load ordered by its predecessor and
// overcommits the engine's memory.
func TestReservedLoadUsesMemory(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0", "m1"))
	input.Engines[0].Reserved = []string{"m2"}
	input.Demand["m5"] = &Demand{Waiting: 1}
	actions := Plan(input)
	if len(actions) != 1 || len(actions[0].Unload) != 1 {
		t.Fatalf("actions %+v, want one model to be evicted", actions)
	}
	checkMemory(t, input, actions)
	input.Engines[0].Occupied = true
	if actions := Plan(input); len(actions) != 0 {
		t.Errorf("actions %+v for an engine with an order in progress", actions)
	}
}

func TestBusyModelGetsAnotherReplicaBeforeRareOnes(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0"), testEngine("e2", "m1"))
	input.Engines[0].Occupied = true
	input.Demand["m0"] = &Demand{Rate: 9, Running: 30, LastSeen: testNow}
	input.Demand["m5"] = &Demand{Waiting: 1, Rate: 0.2}
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Load != "m0" {
		t.Fatalf("actions %+v, want a second replica of m0 first", actions)
	}
}

func TestDrainingEngineIsIgnored(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0"), testEngine("e2"))
	input.Engines[0].Draining = true
	input.Demand["m0"] = &Demand{Rate: 2, Waiting: 1}
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Engine != "e2" || actions[0].Load != "m0" {
		t.Fatalf("actions %+v, want m0 on e2", actions)
	}
}

func TestPrefetchEvictsOnlyIdleModelsWithCopies(t *testing.T) {
	input := testInput(testService(5), testEngine("e1", "m0", "m1", "m2"))
	input.Prefetch = true
	for _, model := range []string{"m0", "m1", "m2"} {
		input.Demand[model] = &Demand{Rate: 0.1, LastSeen: testNow}
	}
	if actions := Plan(input); len(actions) != 0 {
		t.Errorf("actions %+v, want none while all models are in use", actions)
	}
	input.Demand["m2"].LastSeen = 0
	actions := Plan(input)
	if len(actions) != 1 || !slices.Equal(actions[0].Unload, []string{"m2"}) {
		t.Errorf("actions %+v, want m2 to be evicted", actions)
	}
}

// For random inputs, memory is never overcommitted, an engine gets at most one action, and
// no model in use is evicted.
func TestPlanInvariants(t *testing.T) {
	for seed := range 300 {
		input := randomInput(uint64(seed))
		actions := Plan(input)
		checkMemory(t, input, actions)
		seen := map[string]bool{}
		for _, action := range actions {
			if seen[action.Engine] {
				t.Fatalf("seed %d: two actions for %s", seed, action.Engine)
			}
			seen[action.Engine] = true
			for _, engine := range input.Engines {
				for _, model := range action.Unload {
					if engine.ID == action.Engine && engine.Running[model] > 0 {
						t.Fatalf("seed %d: %s evicted while in use", seed, model)
					}
				}
			}
		}
	}
}

// Guards against giving a busy model so many engines that no memory is left for rare
// models.
func TestBusyModelLeavesMemoryForRareOnes(t *testing.T) {
	service := testService(8)
	service.Engine.BatchSlots = 64
	var engines []*Engine
	for i := range 3 {
		engines = append(engines, testEngine(fmt.Sprintf("e%d", i), "m0"))
	}
	engines = append(engines, testEngine("e3", "m1"))
	input := testInput(service, engines...)
	input.Demand["m0"] = &Demand{Rate: 11.5, Running: 30}
	if actions := Plan(input); slices.ContainsFunc(actions, func(a Action) bool { return a.Load == "m0" }) {
		t.Errorf("fourth replica for 11.5 requests per second: %+v", actions)
	}
	input.Demand["m0"].Running = 60 // as with long prompts
	if actions := Plan(input); !slices.ContainsFunc(actions, func(a Action) bool { return a.Load == "m0" }) {
		t.Error("no further replica for 60 concurrent requests")
	}
}

// Guards against counting an engine that wants no requests as a replica: its model got no
// other one, and its callers were refused until the pause had ended.
func TestPausedEngineIsNoReplica(t *testing.T) {
	paused := &Engine{ID: "e1", Paused: true, Occupied: true, Holdings: catalog.Holdings{Models: map[string][]string{"m1": nil}, OnDisk: []string{"m1"}}}
	other := &Engine{ID: "e2", Holdings: catalog.Holdings{Models: map[string][]string{}, OnDisk: []string{"m1"}}}
	input := PlanInput{
		Now: time.Minute, Service: testService(2), Engines: []*Engine{paused, other}, StoreStarts: 4,
		Demand: map[string]*Demand{"m1": {Rate: 2, LastSeen: time.Minute}},
	}
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Load != "m1" || actions[0].Engine != "e2" {
		t.Errorf("actions %+v, want m1 on e2", actions)
	}
}

// Guards against a model that requests crowd at its only replica while prefetches take all
// loads from the weight store, and that then gets one replica at a time (a model with 20
// requests per second had one or two replicas for 30 s).
func TestCrowdedModelGetsReplicasAtOnce(t *testing.T) {
	engines := []*Engine{testEngine("e0", "m0"), testEngine("p1"), testEngine("p2"), testEngine("p3")}
	for _, engine := range engines[1:] {
		engine.Loading, engine.LoadingFromStore, engine.Occupied = "m9", true, true
	}
	for i := range 6 {
		engines = append(engines, testEngine(fmt.Sprintf("e%d", i+1)))
	}
	input := testInput(testService(30), engines...)
	input.Prefetch = true
	input.Demand["m0"] = &Demand{Rate: 20, SteadyRate: 5, Running: 14, LastSeen: testNow}
	loads := 0
	for _, action := range Plan(input) {
		if action.Load != "m0" {
			t.Errorf("load of %s beside three loads from the store", action.Load)
		}
		loads++
	}
	if loads != 1 {
		t.Errorf("%d loads of m0 in one plan, want 1", loads)
	}
	engines[3].Loading = "m0"
	if actions := Plan(input); len(actions) != 1 || actions[0].Load != "m0" {
		t.Errorf("actions %+v, want another replica of m0 while one is being loaded", actions)
	}
	input.Demand["m0"].Rate = 9
	if actions := Plan(input); len(actions) != 0 {
		t.Errorf("actions %+v, want none: the replica that is being loaded is enough", actions)
	}
}

// Guards against evicting at random among models that are requested seldom: a model requested
// each 10 s was evicted for one nobody asks for.
func TestSteadilyRequestedModelIsNotEvicted(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0", "m1", "m2"))
	input.Demand["m0"] = &Demand{SteadyRate: 0.1, LastSeen: testNow - 9*time.Second}
	input.Demand["m1"] = &Demand{SteadyRate: 0.002, Rate: 0.01, LastSeen: testNow - 5*time.Second}
	input.Demand["m2"] = &Demand{SteadyRate: 0.08, LastSeen: testNow - 20*time.Second}
	input.Demand["m5"] = &Demand{Waiting: 1}
	if actions := Plan(input); len(actions) != 1 || !slices.Equal(actions[0].Unload, []string{"m1"}) {
		t.Errorf("actions %+v, want m1 to be evicted", actions)
	}
}

// A requested model goes to an engine of usual speed rather than to a slow one.
func TestLoadsAvoidSlowEngines(t *testing.T) {
	for _, slow := range []int{0, 1} {
		engines := []*Engine{testEngine("e0"), testEngine("e1")}
		engines[slow].Pace = 1.6
		input := testInput(testService(8), engines...)
		input.Demand["m5"] = &Demand{Waiting: 1}
		if actions := Plan(input); len(actions) != 1 || actions[0].Engine != engines[1-slow].ID {
			t.Errorf("engine %d is slow: actions %+v", slow, actions)
		}
	}
}

// Guards against engines with idle memory while half of the requests for seldom requested
// models wait for a load (140 engines held 235 of 456 models in 0.64 of their memory).
func TestIdleMemoryIsFilled(t *testing.T) {
	full, free := testEngine("e0", "m0", "m1", "m2"), testEngine("e1", "m3")
	for _, engine := range []*Engine{full, free} {
		engine.Holdings.OnDisk = append(engine.Holdings.OnDisk, "m4", "m5", "m6")
	}
	other := testEngine("e2", "m0", "m1", "m2")
	input := testInput(testService(7), full, free, other)
	input.Prefetch = true
	input.Demand["m5"] = &Demand{SteadyRate: 0.05}
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Load != "m5" || actions[0].Engine != "e1" || len(actions[0].Unload) != 0 {
		t.Errorf("actions %+v, want a load of m5 into the idle memory of e1", actions)
	}
	checkMemory(t, input, actions)
	input.Demand["m3"] = &Demand{AdapterRate: 2, Rate: 0.9}
	if actions := Plan(input); len(actions) != 0 {
		t.Errorf("actions %+v, want none: requests for adapters would wait", actions)
	}
	input.Prefetch = false
	delete(input.Demand, "m3")
	if actions := Plan(input); len(actions) != 0 {
		t.Errorf("actions %+v, want none without prefetching", actions)
	}
}

// A model that requests wait for is placed before idle memory is filled.
func TestWaitingRequestsComeBeforeIdleMemory(t *testing.T) {
	engine := testEngine("e0", "m0", "m1")
	engine.Holdings.OnDisk = append(engine.Holdings.OnDisk, "m2", "m3")
	input := testInput(testService(4), engine)
	input.Prefetch = true
	input.Demand["m2"], input.Demand["m3"] = &Demand{SteadyRate: 1.4}, &Demand{Waiting: 1}
	if actions := Plan(input); len(actions) != 1 || actions[0].Load != "m3" {
		t.Errorf("actions %+v, want a load of m3", actions)
	}
}

// BenchmarkPlan plans for 140 engines and 456 models, of which 60 have waiting requests.
func BenchmarkPlan(b *testing.B) {
	service := testService(456)
	input := testInput(service)
	for i := range 140 {
		engine := testEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("m%d", i), fmt.Sprintf("m%d", i+140))
		for j := range 10 {
			engine.Holdings.OnDisk = append(engine.Holdings.OnDisk, fmt.Sprintf("m%d", (i*7+j*31)%456))
		}
		input.Engines = append(input.Engines, engine)
	}
	for i := range 300 {
		input.Demand[fmt.Sprintf("m%d", i)] = &Demand{Rate: 0.3, SteadyRate: 0.2, Waiting: i % 5 / 4}
	}
	input.Prefetch = true
	for b.Loop() {
		Plan(input)
	}
}
