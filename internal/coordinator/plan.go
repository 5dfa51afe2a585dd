package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// targetReplicaRate is the request rate, in requests per second, that one replica
	// should carry. Processing prompts delays the token streams that run beside it.
	targetReplicaRate = 4.0
	// maxTargetConcurrency is the number of concurrent requests that one replica should
	// carry, limited to targetBatchFraction of the engine's batch.
	maxTargetConcurrency = 16.0
	targetBatchFraction  = 0.6
	// unservedWeight and waitingWeight convert unserved demand (requests per second) and
	// waiting requests (count) to the priority of a need.
	unservedWeight = 10.0
	waitingWeight  = 2.0
	// secondReplicaRate is the rate, in requests per second, from which a model gets a
	// second replica, so that the loss of one engine does not interrupt it.
	secondReplicaRate = 1.0
	// protectedReplicaRate is the rate per replica, in requests per second, from which a
	// replica is not evicted in favour of another model. A model without a replica is
	// loaded from this rate on, even if no request waits for it.
	protectedReplicaRate = 1.5
	// minResidence is the shortest time that a loaded model stays, so that the requests
	// that waited for it are served.
	minResidence = 1200 * time.Millisecond
	// maxStoreLoads limits concurrent loads from the weight store; more loads would share
	// the same bandwidth.
	maxStoreLoads = 4
	// prefetchEvictIdle is how long a model must not have been requested before a prefetch
	// may evict it.
	prefetchEvictIdle = 1500 * time.Millisecond
	// adapterRequestCost is the cost, in seconds of waiting, of a request that names an
	// adapter while its engine is loading: it may have to be refused.
	adapterRequestCost = 2.0
	// maxNeeds limits the models that one plan tries to place.
	maxNeeds = 24
	// maxPrefetchLoads limits the loads from the weight store during traffic for models that no
	// request waits for, so that a requested model does not wait for the end of one.
	maxPrefetchLoads = maxStoreLoads - 1
	// slowEngineCost is the cost, in seconds, of loading a model on an engine that takes twice
	// the usual time.
	slowEngineCost = 1.0
	// prefetchValue is the priority of a prefetch, lower than that of any requested model.
	prefetchValue = 0.01
	// runningRequestCost is the cost, in seconds, of each running request on an engine that
	// is considered for a load.
	runningRequestCost = 0.05
)

// Source is where an engine loads weights from.
type Source uint8

// Sources of weights, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String returns the name that logs use.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Demand is the fleet-wide demand for a model.
type Demand struct {
	Rate float64 // requests per second
	// AdapterRate is the part of Rate that names an adapter, in requests per second.
	AdapterRate float64
	// SteadyRate is the long-term rate, in requests per second, also of models that are
	// requested seldom.
	SteadyRate float64
	Waiting    int
	Oldest     time.Duration // waiting time of the oldest waiting request
	Running    int
	LastSeen   time.Duration // time of the last request
}

// Engine is the planner's input about one engine.
type Engine struct {
	ID         string
	DataCenter string
	Draining   bool
	// Unreachable engines get no orders and serve nothing now, but their copies are not lost.
	Unreachable bool
	Occupied    bool // an order is in progress or its outcome is unknown
	// ColdPerS is the rate that the engine tolerates while it is cold, in requests per second;
	// 0: it is not cold.
	ColdPerS float64
	Paused   bool // it told hosts to send nothing for some time, so it serves nothing
	Holdings catalog.Holdings
	// Reserved are models whose load is in progress or may still be executed.
	Reserved []string
	Running  map[string]int // by model, over all hosts
	// Pace is the ratio of the engine's times to the usual ones; 0: not known.
	Pace     float64
	LoadedAt map[string]time.Duration // by model, when it became ready
	Loading  string                   // model that is being loaded; empty if none
	// LoadingFromStore reports that Loading comes from the weight store.
	LoadingFromStore bool
}

// PlanInput is the planner's input for one service.
type PlanInput struct {
	Now     time.Duration
	Service *catalog.Service
	Engines []*Engine
	Demand  map[string]*Demand // by model
	// StoreStarts is the number of loads from the weight store that may start now without
	// exceeding the store's rate limit.
	StoreStarts int
	// Prefetch permits loads of models without waiting requests.
	Prefetch bool
}

// Action is a decision to unload models from an engine and then to load one.
type Action struct {
	Engine   string
	Unload   []string
	Load     string
	Source   Source
	Reason   string
	LoadTime time.Duration // expected
	// contentVersion is that of the engine for which the action was decided.
	contentVersion int
}

type planner struct {
	PlanInput
	index             map[string]*replicas   // by model
	assigned          map[string]bool        // engines that already have an action
	local             map[string]localDemand // by engine, as far as computed
	activeStoreLoads  int                    // loads from the weight store in progress
	startedStoreLoads int
	adapterReserveMB  float64 // memory of an engine that is kept for adapters
	actions           []Action
}

// need is a model that should get one more replica.
type need struct {
	model    string
	value    float64 // priority
	waiting  int     // requests that wait for the model
	unserved float64 // requests per second beyond what the replicas can carry
	reason   string
	prefetch bool // no request waits for the model
}

// Plan returns the actions to start now, most valuable first.
func Plan(input PlanInput) []Action {
	p := &planner{PlanInput: input, assigned: map[string]bool{}, local: map[string]localDemand{}, index: indexReplicas(input.Engines)}
	p.adapterReserveMB = float64(input.Service.Engine.MaxAdapters) * maxAdapterMB(input.Service.Engine)
	for _, engine := range input.Engines {
		if engine.Loading != "" && engine.LoadingFromStore {
			p.activeStoreLoads++
		}
	}
	for i, n := range p.needs() {
		if i == maxNeeds {
			return p.actions // the rest is planned in the next round
		}
		p.assign(n)
	}
	if input.Prefetch {
		p.fillIdleMemory()
	}
	return p.actions
}

func (p *planner) needs() []need {
	var needs []need
	for model := range p.Service.Engine.Models {
		if n, ok := p.needOf(model); ok {
			needs = append(needs, n)
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.model, b.model))
	})
	return needs
}

func (p *planner) needOf(model string) (need, bool) {
	r := p.replicas(model)
	ready, loading, copies := r.ready, r.loading, r.copies
	demand := p.Demand[model]
	if demand == nil {
		demand = &Demand{}
	}
	unserved := p.unserved(demand, r)
	if loading > 0 && (ready == 0 || unserved < targetReplicaRate) {
		return need{}, false // what is being loaded may be enough
	}
	n := need{
		model: model, value: unservedWeight*unserved + waitingWeight*float64(demand.Waiting), waiting: demand.Waiting, unserved: unserved,
	}
	switch {
	case ready == 0 && demand.Waiting > 0:
		n.value += demand.Oldest.Seconds()
		n.reason = "waiting"
	case ready == 0 && demand.Rate >= protectedReplicaRate:
		n.reason = "asked for"
	case ready > 0 && unserved > 0:
		n.reason = "loaded"
	case ready == 1 && demand.Rate >= secondReplicaRate:
		n.value = demand.Rate
		n.reason = "spare"
	case ready == 0 && copies == 0 && p.Prefetch:
		n.value = prefetchValue + demand.Rate/100
		n.reason = "ahead"
		n.prefetch = true
	default:
		return need{}, false
	}
	return n, true
}

// unserved returns the demand, in requests per second, beyond what the replicas of a model
// should carry, those that are being loaded included.
func (p *planner) unserved(demand *Demand, r replicas) float64 {
	rate := r.rate + targetReplicaRate*float64(r.loading)
	return max(0, demand.Rate-rate, float64(demand.Running)/p.targetConcurrency()-float64(r.ready+r.loading))
}

// targetConcurrency returns the number of concurrent requests that one replica should
// carry.
func (p *planner) targetConcurrency() float64 {
	if slots := p.Service.Engine.BatchSlots; slots > 0 {
		return min(maxTargetConcurrency, targetBatchFraction*float64(slots))
	}
	return maxTargetConcurrency
}

func (p *planner) source(engine *Engine, model string) Source {
	switch {
	case slices.Contains(engine.Holdings.InMemory, model):
		return FromMemory
	case slices.Contains(engine.Holdings.OnDisk, model):
		return FromDisk
	default:
		return FromStore
	}
}

func (p *planner) loadTime(model string, source Source) time.Duration {
	m := p.Service.Engine.Models[model]
	switch source {
	case FromMemory:
		return m.LoadMemory
	case FromDisk:
		return m.LoadDisk
	default:
		return m.Load
	}
}

// assign chooses the engine with the lowest cost for a need, if any engine can take the
// model.
func (p *planner) assign(n need) {
	if p.replicas(n.model).copies == 0 && p.storeFull() || n.prefetch && p.activeStoreLoads >= p.prefetchLimit() {
		return
	}
	var best *Action
	bestCost := 0.0
	for _, engine := range p.Engines {
		action, cost, ok := p.evaluate(engine, n)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = &action, cost
		}
	}
	if best == nil {
		return
	}
	p.assigned[best.Engine] = true
	if best.Source == FromStore {
		p.activeStoreLoads++
		p.startedStoreLoads++
	}
	p.actions = append(p.actions, *best)
}

// prefetchLimit returns the number of loads from the weight store in progress beside which no
// model is prefetched.
func (p *planner) prefetchLimit() int {
	if len(p.Demand) == 0 {
		return maxStoreLoads
	}
	return maxPrefetchLoads
}

// evaluate returns the action that loads the needed model on the engine and its cost in
// seconds. It returns false if the engine cannot take the model.
func (p *planner) evaluate(engine *Engine, n need) (Action, float64, bool) {
	if engine.Draining || engine.Unreachable || engine.Occupied || p.assigned[engine.ID] || engine.Holdings.Holds(n.model) {
		return Action{}, 0, false
	}
	source := p.source(engine, n.model)
	if source == FromStore && (p.storeFull() || p.delaysLocalLoads(engine, n)) {
		return Action{}, 0, false
	}
	victims, evictionCost, ok := p.chooseEvictions(engine, n)
	if !ok {
		return Action{}, 0, false
	}
	loadTime := p.loadTime(n.model, source)
	running := 0
	for _, count := range engine.Running {
		running += count
	}
	cost := loadTime.Seconds() + evictionCost + runningRequestCost*float64(running) + p.adapterDelayCost(engine)*loadTime.Seconds()
	cost += slowEngineCost * max(0, engine.Pace-1)
	// Break ties by hash, so that every coordinator chooses the same engine.
	cost += float64(rendezvous.Score(n.model, engine.ID)%1000) / 1e5
	return Action{
		Engine: engine.ID, Unload: victims, Load: n.model, Source: source, Reason: n.reason, LoadTime: loadTime,
	}, cost, true
}

// adapterDelayCost returns the cost of each second for which the engine cannot load
// adapters. The other replicas of a model take over their part of its requests.
func (p *planner) adapterDelayCost(engine *Engine) float64 {
	cost := 0.0
	for model := range engine.Holdings.Models {
		if demand := p.Demand[model]; demand != nil {
			cost += adapterRequestCost * demand.AdapterRate / float64(max(1, p.replicas(model).ready))
		}
	}
	return cost
}
