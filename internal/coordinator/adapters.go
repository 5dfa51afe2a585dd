package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// adapterLoadTime is the expected time to load an adapter.
	adapterLoadTime = 16 * time.Millisecond
	// adapterMinResidence is how long an adapter is kept after the last request for it: it
	// may still be loading, and the request that needs it is on its way.
	adapterMinResidence = 700 * time.Millisecond
	// maxAdapterDecisions bounds how often the load of an adapter is decided anew because the
	// engine's content has changed.
	maxAdapterDecisions = 3
)

// Adapter loads an adapter on an engine that holds its model and returns the engine.
func (c *Coordinator) Adapter(ctx context.Context, request *AdapterRequest) *AdapterReply {
	now := c.now()
	c.mu.Lock()
	c.demand.adapterRequestedAt[request.Model+"/"+request.Adapter] = now
	engine, loaded := c.chooseAdapterEngine(request)
	busyFor := time.Duration(0)
	if engine != nil {
		busyFor = engine.busyFor(now)
	}
	replacedIn, evacuated := c.replacedIn(now, request.ModelKey)
	c.mu.Unlock()
	switch {
	case engine == nil && evacuated:
		return &AdapterReply{Reason: "the model's engines are evacuated", RetryInMS: int(replacedIn.Milliseconds())}
	case engine == nil:
		return &AdapterReply{Reason: "no engine with the model has a place"}
	case loaded:
		return &AdapterReply{Upstream: engine.id}
	case busyFor > 0:
		return &AdapterReply{Reason: "the engine loads a model", RetryInMS: int(busyFor.Milliseconds())}
	}
	if pause := c.lease.TimeUntilOrders(); pause > 0 {
		return &AdapterReply{Reason: "orders pause", RetryInMS: int(pause.Milliseconds())}
	}
	engine.adapterMu.Lock()
	defer engine.adapterMu.Unlock()
	return c.loadAdapter(ctx, engine, request)
}

// loadAdapter evicts an adapter if necessary and loads the requested one. The caller holds
// engine.adapterMu.
func (c *Coordinator) loadAdapter(ctx context.Context, engine *engineState, request *AdapterRequest) *AdapterReply {
	for decisions := 1; ; decisions++ {
		reply, contentVersion := c.tryLoadAdapter(ctx, engine, request)
		if reply.Upstream != "" || decisions == maxAdapterDecisions || c.contentVersion(engine) == contentVersion {
			return reply
		}
	}
}

// contentVersion returns the version of the engine's content for which decisions are made now.
func (c *Coordinator) contentVersion(engine *engineState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return engine.contentVersion
}

// tryLoadAdapter makes one decision on the load of an adapter, carries it out and returns the
// version of the engine's content that it was made for. If the content turns out to be another
// one, as after an unload that completed at once and may or may not count as an order, the
// load has to be decided anew. The caller holds engine.adapterMu.
func (c *Coordinator) tryLoadAdapter(ctx context.Context, engine *engineState, request *AdapterRequest) (reply *AdapterReply, contentVersion int) {
	name := request.Model + "/" + request.Adapter
	c.mu.Lock()
	contentVersion = engine.contentVersion
	loaded := slices.Contains(engine.holdings.Models[request.Model], request.Adapter)
	engine.adapterRequestedAt[name] = c.now()
	evict, full := c.adapterVictim(engine, name)
	c.mu.Unlock()
	switch {
	case loaded:
		return &AdapterReply{Upstream: engine.id}, contentVersion
	case full && evict == "":
		return &AdapterReply{Reason: "all places are in use"}, contentVersion
	case evict != "" && !c.unloadAdapter(ctx, engine, evict, contentVersion):
		return &AdapterReply{Reason: "no place could be freed"}, contentVersion
	}
	order := Order{Model: request.Model, Adapter: request.Adapter}
	result, ok := c.issueOrder(ctx, engine, order, contentVersion)
	if !ok {
		return &AdapterReply{Reason: "order " + result.String()}, contentVersion
	}
	return c.recordAdapter(engine, request, result), contentVersion
}

// recordAdapter adds an adapter that was ordered to the engine's content and returns the reply.
func (c *Coordinator) recordAdapter(engine *engineState, request *AdapterRequest, result OrderResult) *AdapterReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if adapters, held := engine.holdings.Models[request.Model]; held && !slices.Contains(adapters, request.Adapter) {
		models := cloneModels(engine.holdings.Models)
		models[request.Model] = append(slices.Clone(adapters), request.Adapter)
		engine.holdings.Models = models
	}
	engine.changed = true
	reply := &AdapterReply{Upstream: engine.id}
	if result == OrderAccepted {
		reply.ReadyInMS = int(adapterLoadTime.Milliseconds())
	}
	return reply
}

// chooseAdapterEngine returns the engine for an adapter and whether it has the adapter
// already. If none has it, the engine is chosen among the model's engines by rendezvous
// hashing on the adapter, which spreads the adapters of a model over its engines.
func (c *Coordinator) chooseAdapterEngine(request *AdapterRequest) (engine *engineState, loaded bool) {
	byID := map[string]*engineState{}
	var free, occupied []string
	now := c.now()
	for id, e := range c.fleet {
		if e.upstream.Service != request.Service || e.leaves() || !e.ready(request.Model) {
			continue
		}
		if slices.Contains(e.holdings.Models[request.Model], request.Adapter) {
			return e, true
		}
		if !e.reported || now < e.retryAt || e.paused || c.fleetState.Paused(e.upstream) {
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

// prefetchAdapters loads recently requested adapters, up to the engine's adapter limit,
// before a long model load during which no adapter can be loaded.
func (c *Coordinator) prefetchAdapters(ctx context.Context, engine *engineState, action *Action) {
	engine.adapterMu.Lock()
	defer engine.adapterMu.Unlock()
	for _, name := range c.adaptersToPrefetch(engine, action.Unload) {
		model, adapter := splitAdapter(name)
		c.mu.Lock()
		_, full := c.adapterVictim(engine, name)
		c.mu.Unlock()
		if full {
			return
		}
		request := &AdapterRequest{ModelKey: ModelKey{engine.service, model}, Adapter: adapter}
		if reply := c.loadAdapter(ctx, engine, request); reply.Upstream == "" {
			return
		}
	}
}

// adaptersToPrefetch returns the recently requested adapters (as MODEL/ADAPTER) that no engine has
// and whose model stays on this engine, most recently requested first.
func (c *Coordinator) adaptersToPrefetch(engine *engineState, unload []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name := range c.demand.adapterRequestedAt {
		model, adapter := splitAdapter(name)
		adapters, held := engine.holdings.Models[model]
		if held && !slices.Contains(unload, model) && !slices.Contains(adapters, adapter) && !c.loadedElsewhere(engine, model, adapter) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.demand.adapterRequestedAt[b], c.demand.adapterRequestedAt[a]), cmp.Compare(a, b))
	})
	return names
}

// loadedElsewhere reports whether another engine that serves the model has the adapter.
func (c *Coordinator) loadedElsewhere(engine *engineState, model, adapter string) bool {
	for _, other := range c.fleet {
		if other != engine && !other.evacuated && other.ready(model) && slices.Contains(other.holdings.Models[model], adapter) {
			return true
		}
	}
	return false
}

// adapterVictim returns the least recently requested adapter (as MODEL/ADAPTER) that may be
// evicted if the engine is at its adapter limit. full reports that it is; victim is empty
// if all adapters are in use.
func (c *Coordinator) adapterVictim(engine *engineState, wanted string) (victim string, full bool) {
	config := c.fleetState.Config()
	service := config.Services[engine.upstream.Service]
	if service == nil || service.Engine == nil {
		return "", true
	}
	count := len(engine.holdings.Pending)
	for _, order := range engine.unresolved {
		if order.adapter != "" {
			count++
		}
	}
	leastRecent, leastRecentAt := "", time.Duration(0)
	now := c.now()
	for model, adapters := range engine.holdings.Models {
		for _, adapter := range adapters {
			count++
			name := model + "/" + adapter
			at := engine.adapterRequestedAt[name]
			inUse := c.demand.adapterRunning(engine.upstream.ID, name) > 0 || now-at < adapterMinResidence
			if name != wanted && !inUse && (leastRecent == "" || at < leastRecentAt) {
				leastRecent, leastRecentAt = name, at
			}
		}
	}
	if count < service.Engine.MaxAdapters {
		return "", false
	}
	return leastRecent, true
}

func (c *Coordinator) unloadAdapter(ctx context.Context, engine *engineState, name string, contentVersion int) bool {
	model, adapter := splitAdapter(name)
	result, ok := c.issueOrder(ctx, engine, Order{Unload: true, Model: model, Adapter: adapter}, contentVersion)
	if !ok || result != OrderSatisfied {
		return false // an adapter in use is unloaded later; a report will show it
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
