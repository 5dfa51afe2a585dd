package coordinator

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
)

var lateOrderSeeds = flag.Uint64("late-order-seeds", 8, "seeds of TestLateOrdersOverManyTerms")

// startWithAdapterDemand runs a coordinator with one engine that holds models m0 to m(held-1) of
// six. A request waits for m3, whose load is long, so that the adapter of m0 that was requested
// lately is loaded before it.
func startWithAdapterDemand(t *testing.T, held int) *fakeEngine {
	t.Helper()
	service := testService(6)
	models := map[string][]string{}
	for i := range held {
		models[fmt.Sprintf("m%d", i)] = nil
	}
	engine := &fakeEngine{service: service, holdings: catalog.Holdings{Models: models, OnDisk: []string{"m0"}, OrderSeq: 5}}
	booted := time.Now().Add(-time.Hour)
	c := startCoordinatorWith(t, service, &fakeEngines{engines: map[string]*fakeEngine{"e1": engine}},
		func() time.Duration { return time.Since(booted) })
	c.mu.Lock()
	c.demand.adapterRequestedAt["m0/a1"] = c.now()
	c.mu.Unlock()
	c.Exchange(1, &ExchangeRequest{
		Host: "h", ViewVersion: -1, Demand: []ModelDemand{{ModelKey: ModelKey{"llm", "m3"}, Arrivals: 1, Waiting: 1}},
		Running: []RunningCount{{Upstream: "e1", Model: "m0", Count: 1}},
	})
	return engine
}

// executeBeforeAdapter makes an engine execute an order of an earlier coordinator right before it
// checks the first order for an adapter. The result reports, under engine.mu, whether it has.
func executeBeforeAdapter(engine *fakeEngine, execute func(models map[string][]string)) (executed *bool) {
	executed = new(bool)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.beforeOrder = func(e *fakeEngine, order Order) {
		if order.Adapter == "" || *executed {
			return
		}
		*executed = true
		e.holdings.OrderSeq++
		execute(e.holdings.Models)
	}
	return executed
}

// Guards against a load that was decided before an order of an earlier coordinator was carried
// out late: the prefetch of an adapter read the new order count, and the engine, ordered to hold
// 240,000 MB of 200,000 MB, crashed.
func TestLateLoadBeforeAPrefetchVoidsTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startWithAdapterDemand(t, 2)
		lateExecuted := executeBeforeAdapter(engine, func(models map[string][]string) { models["m2"] = nil })
		time.Sleep(5 * time.Second)
		engine.mu.Lock()
		defer engine.mu.Unlock()
		if !*lateExecuted || len(engine.violations) > 0 {
			t.Errorf("late order executed: %v; engine ordered to hold %v", *lateExecuted, engine.violations)
		}
	})
}

// Guards against an unload that was decided before an order of an earlier coordinator was carried
// out late and freed the memory: a model that callers use would be dropped for nothing.
func TestLateUnloadBeforeAPrefetchVoidsTheUnload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startWithAdapterDemand(t, 3)
		lateExecuted := executeBeforeAdapter(engine, func(models map[string][]string) { delete(models, "m2") })
		time.Sleep(5 * time.Second)
		engine.mu.Lock()
		defer engine.mu.Unlock()
		unloads := slices.ContainsFunc(engine.accepted, func(o Order) bool { return o.Unload && o.Adapter == "" })
		if !*lateExecuted || unloads || !engine.holdings.Holds("m1") {
			t.Errorf("late order executed: %v; orders %+v", *lateExecuted, engine.accepted)
		}
	})
}

// Guards against an adapter that is loaded into the place that was freed for it, although an
// order of an earlier coordinator, carried out late, has taken that place. Whether the unload
// counted as an order is only known from the report.
func TestLateAdapterTakesTheFreedPlace(t *testing.T) {
	for _, counted := range []bool{true, false} {
		t.Run(fmt.Sprintf("unload counted %v", counted), func(t *testing.T) {
			c, engine := startCoordinator(t, 1)
			engine.mu.Lock()
			for i := range 8 {
				engine.holdings.Models["m0"] = append(engine.holdings.Models["m0"], fmt.Sprintf("a%d", i))
			}
			lateExecuted := false
			engine.beforeOrder = func(e *fakeEngine, order Order) {
				if order.Unload || lateExecuted {
					return
				}
				lateExecuted = true
				if counted {
					e.holdings.OrderSeq++
				}
				e.holdings.Models["m0"] = append(e.holdings.Models["m0"], "late")
			}
			engine.mu.Unlock()
			c.mu.Lock()
			state := c.fleet["e1"]
			c.mu.Unlock()
			c.refreshReport(context.Background(), state)
			c.mu.Lock()
			for i := range 8 {
				state.adapterRequestedAt[fmt.Sprintf("m0/a%d", i)] = c.now() - time.Minute
			}
			c.mu.Unlock()
			reply := c.Adapter(context.Background(), &AdapterRequest{ModelKey: ModelKey{"llm", "m0"}, Adapter: "new"})
			time.Sleep(200 * time.Millisecond) // until the adapters are loaded
			engine.mu.Lock()
			defer engine.mu.Unlock()
			engine.checkCapacity()
			if !lateExecuted || len(engine.violations) > 0 {
				t.Errorf("late order executed: %v; engine ordered to hold %v", lateExecuted, engine.violations)
			}
			if reply.Upstream == "" || !slices.Contains(engine.holdings.Models["m0"], "new") {
				t.Errorf("reply %+v, adapters %v; a place could be freed", reply, engine.holdings.Models["m0"])
			}
		})
	}
}

// Guards against orders of any kind that are sent for a content that the engine has no more.
func TestOrdersForAnEarlierContentAreNotSent(t *testing.T) {
	c, engine := startCoordinator(t, 3)
	c.mu.Lock()
	state := c.fleet["e1"]
	decided := state.contentVersion
	c.mu.Unlock()
	engine.mu.Lock()
	engine.holdings.OrderSeq++ // an order of an earlier coordinator
	engine.holdings.Models["m0"] = []string{"a0"}
	engine.mu.Unlock()
	c.refreshReport(context.Background(), state)
	for _, order := range []Order{{Model: "m1"}, {Model: "m0", Unload: true}, {Model: "m0", Adapter: "a1"}, {Model: "m0", Adapter: "a0", Unload: true}} {
		if result, ok := c.issueOrder(context.Background(), state, order, decided); ok || result != OrderRejected {
			t.Errorf("order %+v: result %v", order, result)
		}
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if len(engine.accepted) > 0 {
		t.Errorf("orders %+v were sent", engine.accepted)
	}
}

// Guards against overcommitted engines when orders get no answer and are carried out late while
// coordinators change, models and adapters of all kinds are requested, and engines are full.
func TestLateOrdersOverManyTerms(t *testing.T) {
	for seed := range *lateOrderSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			testLateOrders(t, rand.New(rand.NewPCG(seed, 44)))
		})
	}
}

func testLateOrders(t *testing.T, random *rand.Rand) {
	const models, steps = 7, 150
	service := fastService(models)
	for name, model := range service.Engine.Models {
		model.Load = longLoadTime // so that adapters are prefetched
		service.Engine.Models[name] = model
	}
	engines := &fakeEngines{engines: map[string]*fakeEngine{}}
	for i, held := range [][]string{{"m0", "m1"}, {"m2", "m3", "m4"}} {
		holdings := catalog.Holdings{Models: map[string][]string{}, OnDisk: held, OrderSeq: 1}
		for _, model := range held {
			holdings.Models[model] = nil
		}
		engines.engines[fmt.Sprintf("e%d", i+1)] = &fakeEngine{service: service, holdings: holdings}
	}
	lates := rand.New(rand.NewPCG(random.Uint64(), 0))
	engines.lateBy = func() time.Duration {
		engines.mu.Lock()
		defer engines.mu.Unlock()
		if lates.IntN(4) > 0 {
			return 0
		}
		return 100*time.Millisecond + time.Duration(lates.Int64N(int64(4*time.Second)))
	}
	c := startCoordinatorWith(t, service, engines, clock.SinceBoot)
	for range steps {
		if random.IntN(30) == 0 {
			c.BeginTerm(false, nil)
			lease := c.lease.(*fakeLease)
			lease.paused.Store(true) // as long as orders of the coordinator before may be executed
			time.AfterFunc(OrderTimeout, func() { lease.paused.Store(false) })
		}
		model := fmt.Sprintf("m%d", random.IntN(models))
		request := &ExchangeRequest{Host: "h", ViewVersion: -1}
		if random.IntN(3) == 0 {
			request.Demand = []ModelDemand{{ModelKey: ModelKey{"llm", model}, Arrivals: 1 + random.IntN(5), Waiting: random.IntN(3)}}
		}
		c.Exchange(1, request)
		if random.IntN(2) == 0 {
			adapter := &AdapterRequest{ModelKey: ModelKey{"llm", model}, Adapter: fmt.Sprintf("a%d", random.IntN(14))}
			go c.Adapter(t.Context(), adapter)
		}
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	time.Sleep(6 * time.Second) // until all late orders have been carried out
	for id, engine := range engines.engines {
		engine.mu.Lock()
		engine.checkCapacity()
		if len(engine.violations) > 0 {
			t.Errorf("%s was ordered to hold %v", id, engine.violations)
		}
		engine.mu.Unlock()
	}
}
