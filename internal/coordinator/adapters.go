package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// adapterTime is the expected time of loading an adapter.
	adapterTime = 16 * time.Millisecond
	// adapterStay is how long an adapter stays after it was asked for: it may be
	// in transit, and the request that asked for it is on its way.
	adapterStay = 700 * time.Millisecond
)

// Adapter loads an adapter on an engine that holds its model.
func (c *Coordinator) Adapter(ctx context.Context, request *AdapterRequest) *AdapterReply {
	now := clock.SinceBoot()
	c.mu.Lock()
	c.demand.adapterAsked[request.Model+"/"+request.Adapter] = now
	engine, loaded := c.adapterPlace(request)
	busyFor := time.Duration(0)
	if engine != nil {
		busyFor = engine.busyFor(now)
	}
	c.mu.Unlock()
	switch {
	case engine == nil:
		return &AdapterReply{Reason: "no engine with the model has a place"}
	case loaded:
		return &AdapterReply{Upstream: engine.upstream.ID}
	case busyFor > 0:
		return &AdapterReply{Reason: "the engine loads a model", RetryInMS: int(busyFor.Milliseconds())}
	}
	if pause := c.lease.TimeUntilOrders(); pause > 0 {
		return &AdapterReply{Reason: "orders pause", RetryInMS: int(pause.Milliseconds())}
	}
	engine.adapterTurn.Lock()
	defer engine.adapterTurn.Unlock()
	return c.loadAdapter(ctx, engine, request)
}

// loadAdapter makes a place and loads the adapter. Its caller has the engine's turn.
func (c *Coordinator) loadAdapter(ctx context.Context, engine *engineState, request *AdapterRequest) *AdapterReply {
	name := request.Model + "/" + request.Adapter
	c.mu.Lock()
	loaded := slices.Contains(engine.holdings.Models[request.Model], request.Adapter)
	engine.adapters[name] = clock.SinceBoot()
	evict, full := c.adapterVictim(engine, name)
	c.mu.Unlock()
	switch {
	case loaded:
		return &AdapterReply{Upstream: engine.upstream.ID}
	case full && evict == "":
		return &AdapterReply{Reason: "all places are in use"}
	case evict != "" && !c.dropAdapter(ctx, engine, evict):
		return &AdapterReply{Reason: "no place could be freed"}
	}
	order := Order{Model: request.Model, Adapter: request.Adapter}
	result, ok := c.give(ctx, engine, order)
	if result == OrderConflict && evict != "" {
		// Whether an unload that is done at once counts as an order, only the
		// report tells, which has been read by now.
		result, ok = c.give(ctx, engine, order)
	}
	if !ok {
		return &AdapterReply{Reason: "order " + result.String()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if adapters, held := engine.holdings.Models[request.Model]; held && !slices.Contains(adapters, request.Adapter) {
		models := cloneModels(engine.holdings.Models)
		models[request.Model] = append(slices.Clone(adapters), request.Adapter)
		engine.holdings.Models = models
	}
	engine.changed = true
	reply := &AdapterReply{Upstream: engine.upstream.ID}
	if result == OrderAccepted {
		reply.ReadyInMS = int(adapterTime.Milliseconds())
	}
	return reply
}

// adapterPlace chooses the engine for an adapter: one that has it, else the
// model's engines in a fixed order for each adapter, so that the adapters of a
// model spread over its engines.
func (c *Coordinator) adapterPlace(request *AdapterRequest) (engine *engineState, loaded bool) {
	byID := map[string]*engineState{}
	var free, occupied []string
	now := clock.SinceBoot()
	for id, e := range c.fleet {
		if e.upstream.Service != request.Service || e.upstream.Draining || !e.ready(request.Model) {
			continue
		}
		if slices.Contains(e.holdings.Models[request.Model], request.Adapter) {
			return e, true
		}
		if !e.known || now < e.retryAt {
			continue
		}
		byID[id] = e
		if e.occupied {
			occupied = append(occupied, id)
		} else {
			free = append(free, id)
		}
	}
	if len(free) == 0 {
		free = occupied
	}
	return byID[rendezvous.Owner(request.Adapter, free)], false
}

// loadAdaptersAhead loads the adapters that were asked for lately into an engine's
// free places, before a long load that keeps adapters out.
func (c *Coordinator) loadAdaptersAhead(ctx context.Context, engine *engineState, action *Action) {
	engine.adapterTurn.Lock()
	defer engine.adapterTurn.Unlock()
	for _, name := range c.adaptersAhead(engine, action.Unload) {
		model, adapter := splitAdapter(name)
		c.mu.Lock()
		_, full := c.adapterVictim(engine, name)
		c.mu.Unlock()
		if full {
			return
		}
		request := &AdapterRequest{ModelKey: ModelKey{engine.upstream.Service, model}, Adapter: adapter}
		if reply := c.loadAdapter(ctx, engine, request); reply.Upstream == "" {
			return
		}
	}
}

// adaptersAhead returns the adapters (as MODEL/ADAPTER) that the engine lacks, of
// models that it keeps, and that no other engine has, the one that was asked for
// last first.
func (c *Coordinator) adaptersAhead(engine *engineState, unload []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.demand.adapterAsked {
		model, adapter := splitAdapter(name)
		adapters, held := engine.holdings.Models[model]
		if held && !slices.Contains(unload, model) && !slices.Contains(adapters, adapter) && !c.loadedElsewhere(engine, model, adapter) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.demand.adapterAsked[b], c.demand.adapterAsked[a]), cmp.Compare(a, b))
	})
	return names
}

// loadedElsewhere reports whether another engine has the adapter.
func (c *Coordinator) loadedElsewhere(engine *engineState, model, adapter string) bool {
	for _, other := range c.fleet {
		if other != engine && other.ready(model) && slices.Contains(other.holdings.Models[model], adapter) {
			return true
		}
	}
	return false
}

// adapterVictim returns the adapter (as MODEL/ADAPTER) to unload before another
// one fits, the one that was asked for least recently. Full says that there is
// no free place.
func (c *Coordinator) adapterVictim(engine *engineState, wanted string) (victim string, full bool) {
	config := c.knowledge.Config()
	service := config.Services[engine.upstream.Service]
	if service == nil || service.Engine == nil {
		return "", true
	}
	count := len(engine.holdings.Pending)
	for _, order := range engine.unsure {
		if order.adapter != "" {
			count++
		}
	}
	oldest, oldestAt := "", time.Duration(0)
	now := clock.SinceBoot()
	for model, adapters := range engine.holdings.Models {
		for _, adapter := range adapters {
			count++
			name := model + "/" + adapter
			at := engine.adapters[name]
			inUse := c.demand.adapterRunning(engine.upstream.ID, name) > 0 || now-at < adapterStay
			if name != wanted && !inUse && (oldest == "" || at < oldestAt) {
				oldest, oldestAt = name, at
			}
		}
	}
	if count < service.Engine.MaxAdapters {
		return "", false
	}
	return oldest, true
}

func (c *Coordinator) dropAdapter(ctx context.Context, engine *engineState, name string) bool {
	model, adapter := splitAdapter(name)
	result, ok := c.give(ctx, engine, Order{Unload: true, Model: model, Adapter: adapter})
	if !ok || result != OrderSatisfied {
		return false // an adapter in use goes later; reports will show it
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	models := cloneModels(engine.holdings.Models)
	models[model] = slices.DeleteFunc(slices.Clone(models[model]), func(a string) bool { return a == adapter })
	engine.holdings.Models = models
	engine.changed = true
	return true
}

func cloneModels(models map[string][]string) map[string][]string {
	clone := make(map[string][]string, len(models))
	for model, adapters := range models {
		clone[model] = adapters
	}
	return clone
}

func splitAdapter(name string) (model, adapter string) {
	for i := range len(name) {
		if name[i] == '/' {
			return name[:i], name[i+1:]
		}
	}
	return name, ""
}
