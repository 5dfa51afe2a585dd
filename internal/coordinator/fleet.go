package coordinator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// engineState is what the coordinator keeps about one incarnation of an engine.
type engineState struct {
	upstream *catalog.Upstream
	holdings catalog.Holdings
	known    bool       // a report was read, so the order count is known
	asking   bool       // a report is being read
	doubted  bool       // a host was told that it lacks what is known of it
	occupied bool       // an action is in progress here
	orders   sync.Mutex // held while an order is on its way or a report is read
	// adapterTurn is held while a place for an adapter is made and filled.
	adapterTurn sync.Mutex
	loading     *Action
	// readyAt is the expected end of loading.
	readyAt time.Duration
	// unsure are orders whose answer was lost.
	unsure   []unsureOrder
	unsureAt time.Duration // when the last answer was lost
	loadedAt map[string]time.Duration
	adapters map[string]time.Duration // MODEL/ADAPTER, when it was last asked for
	// retryAt is when an engine that failed is asked again.
	retryAt time.Duration
	// down says that hosts do not reach it.
	down bool
	// nextAsk is when a doubt is followed up again.
	nextAsk time.Duration
	// surprises counts the reports that showed orders which were carried out
	// without an answer: decisions made before them do not hold.
	surprises int
	// changed says that the view of it may have changed.
	changed bool
}

// unsureOrder may be carried out while the engine's order count is afterSeq.
type unsureOrder struct {
	afterSeq int64
	load     string // model, "": an unload or an adapter
	adapter  string
}

func newEngineState(upstream *catalog.Upstream) *engineState {
	return &engineState{
		upstream: upstream, holdings: upstream.Holdings,
		loadedAt: map[string]time.Duration{}, adapters: map[string]time.Duration{}, changed: true,
	}
}

// noteEntry takes over an entry. Entries lag behind reports, so that once a
// report was read only the copies of weights are taken from them.
func (e *engineState) noteEntry(upstream *catalog.Upstream) {
	e.upstream = upstream
	e.changed = true
	if !e.known {
		e.holdings = upstream.Holdings
		return
	}
	if len(upstream.Holdings.OnDisk)+len(upstream.Holdings.InMemory) > 0 {
		e.holdings.OnDisk, e.holdings.InMemory = upstream.Holdings.OnDisk, upstream.Holdings.InMemory
	}
}

// learn takes over a report unless it is older than what is known.
func (e *engineState) learn(h catalog.Holdings) {
	if e.known && h.OrderSeq < e.holdings.OrderSeq {
		return
	}
	if e.known && h.OrderSeq > e.holdings.OrderSeq {
		e.surprises++
	}
	e.holdings = h
	e.known = true
	e.unsure = slices.DeleteFunc(e.unsure, func(o unsureOrder) bool { return h.OrderSeq > o.afterSeq })
}

// accepted notes that an order was accepted.
func (e *engineState) accepted() {
	e.holdings.OrderSeq++
	e.unsure = slices.DeleteFunc(e.unsure, func(o unsureOrder) bool { return e.holdings.OrderSeq > o.afterSeq })
}

// settled reports whether the content is known: a report was read, and no order
// was in progress then. An order of an earlier coordinator may still be.
func (e *engineState) settled() bool { return e.known && !e.doubted && !e.holdings.Busy }

// busyFor returns the time for which a load in progress keeps other orders out.
func (e *engineState) busyFor(now time.Duration) time.Duration {
	if e.loading == nil || !e.holdings.Busy {
		return 0
	}
	return max(pollEvery, e.readyAt-now)
}

// reserved returns the models whose load may be carried out late.
func (e *engineState) reserved() []string {
	var models []string
	for _, order := range e.unsure {
		if order.load != "" && order.adapter == "" {
			models = append(models, order.load)
		}
	}
	if e.loading != nil && e.loading.Load != "" {
		models = append(models, e.loading.Load)
	}
	return models
}

// ready reports whether a model can serve.
func (e *engineState) ready(model string) bool {
	if e.down || e.loading != nil && (e.loading.Load == model || slices.Contains(e.loading.Unload, model)) {
		return false
	}
	return e.holdings.Holds(model)
}

func (e *engineState) view() EngineView {
	view := EngineView{
		Upstream: e.upstream.ID, StartedMS: e.upstream.StartedMS, Ready: map[string][]string{},
	}
	for model, adapters := range e.holdings.Models {
		if e.ready(model) {
			view.Ready[model] = adapters
		}
	}
	return view
}

// asEntry reports whether a view says what the engine's entry says.
func (e *engineState) asEntry(view EngineView) bool {
	entry := e.upstream.Holdings.Models
	return len(view.Ready) == len(entry) && maps.EqualFunc(view.Ready, entry, func(a, b []string) bool {
		return len(a) == len(b) && !slices.ContainsFunc(a, func(adapter string) bool { return !slices.Contains(b, adapter) })
	})
}

// planned returns the planner's view of the engine.
func (e *engineState) planned(now time.Duration, running map[string]int) *Engine {
	engine := &Engine{
		ID: e.upstream.ID, DataCenter: e.upstream.DataCenter, Leaving: e.upstream.Draining || e.down,
		Occupied: !e.settled() || e.occupied || now < e.retryAt, Holdings: e.holdings, Reserved: e.reserved(),
		Running: running, LoadedAt: e.loadedAt,
	}
	if e.loading != nil {
		engine.Loading, engine.LoadingFromStore = e.loading.Load, e.loading.Source == FromStore
	}
	return engine
}
