package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// twoEngines routes calls to engines by ID and counts them.
type twoEngines struct {
	engines map[string]*fakeEngine

	mu    sync.Mutex
	calls map[string]int
}

func (e *twoEngines) of(upstream *catalog.Upstream) *fakeEngine {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls[upstream.ID]++
	return e.engines[upstream.ID]
}

func (e *twoEngines) Report(ctx context.Context, upstream *catalog.Upstream) (catalog.Holdings, error) {
	return e.of(upstream).Report(ctx, upstream)
}

func (e *twoEngines) Order(ctx context.Context, upstream *catalog.Upstream, order Order) (OrderResult, error) {
	return e.of(upstream).Order(ctx, upstream, order)
}

func (e *twoEngines) callsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id]
}

// Guards against orders and report reads at engines of an evacuated data centre, and against
// models of which no other engine has a replica when the hosts stop using them: their
// requests, which are still served, do not wait.
func TestModelsOfAnEvacuatedDataCenterAreLoadedElsewhere(t *testing.T) {
	service := fastService(3)
	holdings := func(model string) catalog.Holdings {
		return catalog.Holdings{Models: map[string][]string{model: nil}, OnDisk: []string{"m0", "m1", "m2"}}
	}
	engines := &twoEngines{calls: map[string]int{}, engines: map[string]*fakeEngine{
		"e1": {service: service, holdings: holdings("m0")}, "e2": {service: service, holdings: holdings("m1")},
	}}
	fleetState := &fakeFleetState{config: catalog.NewConfig(1, nil, []*catalog.Service{service}, catalog.Limits{})}
	fleetState.set(
		&catalog.Upstream{ID: "e1", Service: "llm", DataCenter: "z0", Address: "e1:1", Holdings: holdings("m0")},
		&catalog.Upstream{ID: "e2", Service: "llm", DataCenter: "z1", Address: "e2:1", Holdings: holdings("m1")},
	)
	c := NewWithClock("host", &fakeLease{}, fleetState, engines, logr.Discard(), clock.SinceBoot)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	await := func(what string, condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not within 5 s: %s", what)
			}
			c.Exchange(1, &ExchangeRequest{Host: "h", Running: []RunningCount{{Upstream: "e1", Model: "m0", Count: 1}}})
		}
	}
	// One request in 4 s is no reason for a second replica.
	c.Exchange(1, &ExchangeRequest{Host: "h", Demand: []ModelDemand{{ModelKey: ModelKey{"llm", "m0"}, Arrivals: 1}}})
	e2Holds := func() bool {
		e2 := engines.engines["e2"]
		e2.mu.Lock()
		defer e2.mu.Unlock()
		return e2.holdings.Holds("m0")
	}
	await("reports read", func() bool { return engines.callsOf("e1") > 0 && engines.callsOf("e2") > 0 })
	time.Sleep(300 * time.Millisecond)
	if e2Holds() {
		t.Fatal("m0 is on both engines before the evacuation")
	}
	fleetState.mu.Lock()
	fleetState.evacuated = map[string]bool{"z0": true}
	fleetState.mu.Unlock()
	time.Sleep(10 * time.Millisecond) // a call that had begun
	before := engines.callsOf("e1")
	await("evacuation in force", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.fleet["e1"].evacuated
	})
	if reply := c.Adapter(ctx, &AdapterRequest{ModelKey: ModelKey{"llm", "m0"}, Adapter: "a"}); reply.Upstream == "e1" || reply.RetryInMS <= 0 && reply.Upstream == "" {
		t.Errorf("adapter of a model on an evacuated engine: %+v, want the time until another engine has the model", reply)
	}
	await("m0 on e2", e2Holds)
	if after := engines.callsOf("e1"); after != before {
		t.Errorf("%d calls to an engine of the evacuated data centre", after-before)
	}
	fleetState.mu.Lock()
	fleetState.evacuated = nil
	fleetState.mu.Unlock()
	await("report read after the end", func() bool { return engines.callsOf("e1") > before })
}

// Guards against attempts to give an order that go on after the evacuation began.
func TestOrderRetriesEndWithAnEvacuation(t *testing.T) {
	c, engine := startCoordinator(t, 2)
	c.mu.Lock()
	state := c.fleet["e1"]
	c.mu.Unlock()
	engine.mu.Lock()
	engine.holdings.Busy = true
	engine.mu.Unlock()
	fleetState := c.fleetState.(*fakeFleetState)
	time.AfterFunc(50*time.Millisecond, func() {
		fleetState.mu.Lock()
		defer fleetState.mu.Unlock()
		fleetState.evacuated = map[string]bool{"": true}
	})
	start := time.Now()
	if _, ok := c.issueWithRetries(context.Background(), state, Order{Model: "m1"}, 0); ok || time.Since(start) > maxUnloadWait/2 {
		t.Errorf("order given: %v, attempts ended after %v", ok, time.Since(start))
	}
}

// Guards against reads of an engine's entry beside the goroutine that replaces it (data race,
// found by tests/gateway -run CrashingSegmentSoak with -race).
func TestEntryChangesDuringALoad(t *testing.T) {
	c, engine := startCoordinator(t, 2)
	engine.mu.Lock()
	engine.late = 300 * time.Millisecond
	engine.mu.Unlock()
	c.Exchange(1, &ExchangeRequest{Host: "h", Demand: []ModelDemand{{ModelKey: ModelKey{"llm", "m1"}, Arrivals: 1, Waiting: 1}}})
	fleetState := c.fleetState.(*fakeFleetState)
	for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		entry := *fleetState.Upstreams()[0]
		fleetState.set(&entry)
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if !engine.holdings.Holds("m1") {
		t.Error("m1 was not loaded")
	}
}
