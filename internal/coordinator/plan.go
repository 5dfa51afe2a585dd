package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// replicaRate is the rate of a model, in requests per second, that one
	// replica is to carry: reading prompts holds up the streams beside it.
	replicaRate = 4.0
	// replicaLoad is the number of concurrent requests that one replica is to
	// carry; replicaSlots bounds it as a part of the engine's batch.
	replicaLoad  = 16.0
	replicaSlots = 0.6
	// unservedValue and waitingValue weigh requests that no replica serves in
	// time, in requests per second and in number.
	unservedValue = 10.0
	waitingValue  = 2.0
	// spareRate is the rate, in requests per second, from which a model has a
	// second replica, so that the loss of one engine does not stop it.
	spareRate = 1.0
	// keepRate is the rate of a model, for each replica, from which no replica
	// yields to another model.
	keepRate = 1.5
	// minResidence is how long a loaded model stays, so that the requests that
	// waited for it are served.
	minResidence = 1200 * time.Millisecond
	// storeLoads is the number of loads from the weight store at a time; more
	// of them share the same bandwidth.
	storeLoads = 4
	// prefetchIdle is how long a model must not have been asked for before it
	// yields to one that is only loaded ahead.
	prefetchIdle = 1500 * time.Millisecond
	// adapterLoss is what a request that names an adapter costs, in seconds of
	// waiting, while its engine is loading: it may have to be refused.
	adapterLoss = 2.0
	// mostNeeds bounds the models for which a place is looked for in one round.
	mostNeeds = 24
	// aheadValue is below that of any model that is asked for.
	aheadValue = 0.01
	// loadPenalty multiplies the rate of an engine with many requests when a
	// place for a model is chosen.
	loadPenalty = 0.05
)

// Source is where an engine takes weights from.
type Source uint8

// Sources of weights, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// String returns the source's name for logs.
func (s Source) String() string { return [...]string{"memory", "disk", "store"}[s] }

// Demand is the fleet's demand for a model.
type Demand struct {
	Rate float64 // requests per second
	// AdapterRate counts those of Rate that name an adapter.
	AdapterRate float64
	Waiting     int
	Oldest      time.Duration // of the waiting requests
	Running     int
	LastSeen    time.Duration // when it was last asked for
}

// Engine is what the planner knows of one engine.
type Engine struct {
	ID         string
	DataCenter string
	Leaving    bool
	Occupied   bool // an order is in progress or its fate is unknown
	Holdings   catalog.Holdings
	// Reserved are models whose load may still be carried out.
	Reserved []string
	Running  map[string]int           // by model, over all hosts
	LoadedAt map[string]time.Duration // when a model became ready
	Loading  string                   // model that is being loaded, "": none
	// LoadingFromStore says where Loading comes from.
	LoadingFromStore bool
}

// State is the planner's input for one service.
type State struct {
	Now     time.Duration
	Service *catalog.Service
	Engines []*Engine
	Demand  map[string]*Demand // by model
	// StoreStarts is the number of loads from the weight store that may begin
	// now without exceeding the store's rate.
	StoreStarts int
	// Prefetch permits loads of models that nobody waits for.
	Prefetch bool
}

// Action tells an engine to unload models and then to load one.
type Action struct {
	Engine string
	Unload []string
	Load   string
	Source Source
	Reason string
	Takes  time.Duration // expected time of the load
}

type planner struct {
	State
	index   map[string]*replicas // by model
	taken   map[string]bool      // engines with an action
	stores  int                  // loads from the weight store in progress
	started int
	actions []Action
}

// need is a model that wants one more replica.
type need struct {
	model  string
	value  float64
	reason string
	ahead  bool // nobody waits for it
}

// Plan returns the actions to begin now, the most valuable first.
func Plan(state State) []Action {
	p := &planner{State: state, taken: map[string]bool{}, index: indexReplicas(state.Engines)}
	for _, engine := range state.Engines {
		if engine.Loading != "" && engine.LoadingFromStore {
			p.stores++
		}
	}
	for i, n := range p.needs() {
		if i == mostNeeds {
			break // the next round comes soon
		}
		p.place(n)
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
	ready, coming, copies := r.ready, r.coming, r.copies
	demand := p.Demand[model]
	if demand == nil {
		demand = &Demand{}
	}
	if coming > 0 {
		return need{}, false
	}
	load := p.replicaLoad()
	unserved := max(0, demand.Rate-replicaRate*float64(ready), float64(demand.Running)/load-float64(ready))
	value := unservedValue*unserved + waitingValue*float64(demand.Waiting)
	switch {
	case ready == 0 && demand.Waiting > 0:
		return need{model: model, value: value + demand.Oldest.Seconds(), reason: "waiting"}, true
	case ready == 0 && demand.Rate >= keepRate:
		return need{model: model, value: value, reason: "asked for"}, true
	case ready > 0 && unserved > 0:
		return need{model: model, value: value, reason: "loaded"}, true
	case ready == 1 && demand.Rate >= spareRate:
		return need{model: model, value: demand.Rate, reason: "spare"}, true
	case ready == 0 && copies == 0 && p.Prefetch:
		return need{model: model, value: aheadValue + demand.Rate/100, reason: "ahead", ahead: true}, true
	}
	return need{}, false
}

// replicaLoad returns the number of concurrent requests that one replica is to carry.
func (p *planner) replicaLoad() float64 {
	if slots := p.Service.Engine.BatchSlots; slots > 0 {
		return min(replicaLoad, replicaSlots*float64(slots))
	}
	return replicaLoad
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

// place chooses an engine for a need, if there is one.
func (p *planner) place(n need) {
	if p.replicas(n.model).copies == 0 && p.storeFull() {
		return
	}
	var best *Action
	bestCost := 0.0
	for _, engine := range p.Engines {
		action, cost, ok := p.try(engine, n)
		if ok && (best == nil || cost < bestCost) {
			best, bestCost = &action, cost
		}
	}
	if best == nil {
		return
	}
	p.taken[best.Engine] = true
	if best.Source == FromStore {
		p.stores++
		p.started++
	}
	p.actions = append(p.actions, *best)
}

// storeFull reports whether no further load from the weight store may begin.
func (p *planner) storeFull() bool { return p.stores >= storeLoads || p.started >= p.StoreStarts }

// try returns the action and its cost in seconds if the engine can take the model.
func (p *planner) try(engine *Engine, n need) (Action, float64, bool) {
	if engine.Leaving || engine.Occupied || p.taken[engine.ID] || engine.Holdings.Holds(n.model) {
		return Action{}, 0, false
	}
	source := p.source(engine, n.model)
	if source == FromStore && p.storeFull() {
		return Action{}, 0, false
	}
	victims, lost, ok := p.makeRoom(engine, n)
	if !ok {
		return Action{}, 0, false
	}
	takes := p.loadTime(n.model, source)
	running := 0
	for _, count := range engine.Running {
		running += count
	}
	cost := takes.Seconds() + lost + loadPenalty*float64(running) + p.heldUp(engine)*takes.Seconds()
	// Equal engines are told apart in the same way by every coordinator.
	cost += float64(rendezvous.Score(n.model, engine.ID)%1000) / 1e5
	return Action{
		Engine: engine.ID, Unload: victims, Load: n.model, Source: source, Reason: n.reason, Takes: takes,
	}, cost, true
}

// heldUp returns the cost of each second in which an engine can't load adapters.
// Other replicas of a model take over its part.
func (p *planner) heldUp(engine *Engine) float64 {
	cost := 0.0
	for model := range engine.Holdings.Models {
		if demand := p.Demand[model]; demand != nil {
			cost += adapterLoss * demand.AdapterRate / float64(max(1, p.replicas(model).ready))
		}
	}
	return cost
}
