package coordinator

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// fakeEngines are several engines. The first unload takes blockedFor, because requests of
// the model run that hosts have not reported yet.
type fakeEngines struct {
	engines    map[string]*fakeEngine
	blockedFor time.Duration
	silent     string // ID of an engine whose reports can't be read
	// lateBy returns how much later an order without a response is carried out; 0: it is
	// answered.
	lateBy func() time.Duration

	mu      sync.Mutex
	blocked bool // an unload was blocked
}

// Report implements Engines.
func (e *fakeEngines) Report(ctx context.Context, upstream *catalog.Upstream) (catalog.Holdings, error) {
	if upstream.ID == e.silent {
		<-ctx.Done()
		return catalog.Holdings{}, &EngineError{Upstream: upstream.ID, Call: "report", Cause: ctx.Err()}
	}
	return e.engines[upstream.ID].Report(ctx, upstream)
}

// Order implements Engines.
func (e *fakeEngines) Order(ctx context.Context, upstream *catalog.Upstream, order Order) (OrderResult, error) {
	engine := e.engines[upstream.ID]
	if late := e.late(); late > 0 {
		time.AfterFunc(late, func() { _, _ = engine.Order(context.Background(), upstream, order) })
		time.Sleep(OrderTimeout)
		return OrderUnknown, &EngineError{Upstream: upstream.ID, Call: "order", Cause: context.DeadlineExceeded}
	}
	result, err := engine.Order(ctx, upstream, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.blockedFor == 0 || !order.Unload || result != OrderAccepted || e.blocked {
		return result, err
	}
	e.blocked = true
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.holdings.Busy = true
	time.AfterFunc(e.blockedFor, func() {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		engine.holdings.Busy = false
	})
	return result, err
}

func (e *fakeEngines) late() time.Duration {
	if e.lateBy == nil {
		return 0
	}
	return e.lateBy()
}

// startCoordinatorWith runs a coordinator with engines that hold models each.
func startCoordinatorWith(t *testing.T, service *catalog.Service, engines *fakeEngines, now func() time.Duration) *Coordinator {
	t.Helper()
	state := &fakeFleetState{config: catalog.NewConfig(1, nil, []*catalog.Service{service}, catalog.Limits{})}
	for id, engine := range engines.engines {
		holdings := engine.holdings
		holdings.OrderSeq = 0
		holdings.Models = maps.Clone(holdings.Models)
		state.upstreams = append(state.upstreams, &catalog.Upstream{ID: id, Service: service.Name, Address: id + ":1", Holdings: holdings})
	}
	c := NewWithClock("host", &fakeLease{}, state, engines, logr.Discard(), now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Load: a burst for a model that no engine holds, while each engine is full and requests
// run that began after the last report of their host. Guards against waiting for the end of
// such a request on one engine while another one could take the model: in one run a model
// with 40 requests a second was refused for 12 s.
func TestBlockedUnloadMovesTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		booted := time.Now().Add(-time.Hour)
		service := fastService(7)
		engines := &fakeEngines{engines: map[string]*fakeEngine{}, blockedFor: 8 * time.Second}
		for id, models := range map[string][]string{"e1": {"m0", "m1", "m2"}, "e2": {"m3", "m4", "m5"}} {
			held := map[string][]string{}
			for _, model := range models {
				held[model] = nil
			}
			engines.engines[id] = &fakeEngine{service: service, holdings: catalog.Holdings{Models: held, OnDisk: append(models, "m6"), OrderSeq: 1}}
		}
		c := startCoordinatorWith(t, service, engines, func() time.Duration { return time.Since(booted) })
		time.Sleep(minResidence + time.Second)
		start := time.Now()
		awaitModelOn(t, c, "m6")
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("the model was ready after %v; another engine could take it at once", took)
		}
	})
}

// awaitModelOn reports demand for a model until an engine has it.
func awaitModelOn(t *testing.T, c *Coordinator, model string) {
	t.Helper()
	for range 1000 {
		demand := []ModelDemand{{ModelKey: ModelKey{"llm", model}, Arrivals: 1, Waiting: 1}}
		reply := c.Exchange(1, &ExchangeRequest{Host: "h", ViewVersion: -1, Demand: demand})
		if reply.View != nil {
			for _, engine := range reply.View.Engines {
				if _, ready := engine.Ready[model]; ready {
					return
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s was not loaded", model)
}
