package coordinator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// engineState is the coordinator's state for one incarnation of an engine.
type engineState struct {
	id, service    string // as in upstream; they do not change
	upstream       *catalog.Upstream
	holdings       catalog.Holdings
	reported       bool       // a report was read, so the order count is known
	reportFailed   bool       // the last read of a report failed
	reportInFlight bool       // a report is being read
	suspected      bool       // the engine told a host that it lacks what the view lists
	occupied       bool       // an action is in progress on this engine
	orderMu        sync.Mutex // held while an order is in flight or a report is read
	// adapterMu is held while an adapter is evicted, if necessary, and another one is
	// loaded.
	adapterMu sync.Mutex
	loading   *Action
	// readyAt is the expected end of loading.
	readyAt time.Duration
	// unresolved are orders whose response was lost.
	unresolved         []unresolvedOrder
	unresolvedAt       time.Duration // when the last response was lost
	loadedAt           map[string]time.Duration
	adapterRequestedAt map[string]time.Duration // by MODEL/ADAPTER, time of the last request for it
	// retryAt is the earliest time at which an engine that failed is used again.
	retryAt time.Duration
	// unreachable reports that several hosts cannot reach the engine.
	unreachable bool
	// paused reports that the engine told several hosts to send nothing for some time.
	paused bool
	// evacuated reports that nothing may be sent to the engine's data centre.
	evacuated bool
	// nextRecheck is the earliest time at which a new suspicion is followed up.
	nextRecheck time.Duration
	// contentVersion counts the reports that showed orders which this coordinator did not
	// know to be executed: their response was lost, or an earlier coordinator sent them.
	// Decisions made for an earlier version are void.
	contentVersion int
	// changed reports that the engine's view may have changed.
	changed bool
}

// unresolvedOrder may still be executed while the engine's order count is afterSeq.
type unresolvedOrder struct {
	afterSeq int64
	load     string // model; empty for an unload or an adapter
	adapter  string
}

func newEngineState(upstream *catalog.Upstream) *engineState {
	return &engineState{
		id: upstream.ID, service: upstream.Service, upstream: upstream, holdings: upstream.Holdings,
		loadedAt: map[string]time.Duration{}, adapterRequestedAt: map[string]time.Duration{}, changed: true,
	}
}

// applyEntry updates the state from an upstream entry. Entries lag behind reports, so once
// a report was read only the lists of weight copies are taken from them.
func (e *engineState) applyEntry(upstream *catalog.Upstream) {
	e.upstream = upstream
	e.changed = true
	if !e.reported {
		e.holdings = upstream.Holdings
		return
	}
	if len(upstream.Holdings.OnDisk)+len(upstream.Holdings.InMemory) > 0 {
		e.holdings.OnDisk, e.holdings.InMemory = upstream.Holdings.OnDisk, upstream.Holdings.InMemory
	}
}

// applyReport updates the state from a report unless the report is older than the state.
func (e *engineState) applyReport(h catalog.Holdings) {
	if e.reported && h.OrderSeq < e.holdings.OrderSeq {
		return
	}
	if e.reported && h.OrderSeq > e.holdings.OrderSeq {
		e.contentVersion++
	}
	e.holdings = h
	e.reported = true
	e.unresolved = slices.DeleteFunc(e.unresolved, func(o unresolvedOrder) bool { return h.OrderSeq > o.afterSeq })
}

// recordAccepted updates the order count after an order was accepted.
func (e *engineState) recordAccepted() {
	e.holdings.OrderSeq++
	e.unresolved = slices.DeleteFunc(e.unresolved, func(o unresolvedOrder) bool { return e.holdings.OrderSeq > o.afterSeq })
}

// settled reports whether the engine's content is known: a report was read that showed no
// order in progress. An order of an earlier coordinator may still arrive.
func (e *engineState) settled() bool { return e.reported && !e.suspected && !e.holdings.Busy }

// busyFor returns how long a load in progress blocks other orders.
func (e *engineState) busyFor(now time.Duration) time.Duration {
	if e.loading == nil || !e.holdings.Busy {
		return 0
	}
	return max(reportPollInterval, e.readyAt-now)
}

// reserved returns the models whose load is in progress or may still be executed late.
func (e *engineState) reserved() []string {
	var models []string
	for _, order := range e.unresolved {
		if order.load != "" && order.adapter == "" {
			models = append(models, order.load)
		}
	}
	if e.loading != nil && e.loading.Load != "" {
		models = append(models, e.loading.Load)
	}
	return models
}

// ready reports whether the engine can serve the model.
func (e *engineState) ready(model string) bool {
	if e.unreachable || e.loading != nil && (e.loading.Load == model || slices.Contains(e.loading.Unload, model)) {
		return false
	}
	return e.holdings.Holds(model)
}

// cutOff reports that the engine gets no orders and its models can't be counted on: several
// hosts cannot reach it, or no report could be read so far, so that its content is only
// known from its entry.
func (e *engineState) cutOff() bool { return e.unreachable || !e.reported && e.reportFailed }

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

// matchesEntry reports whether the view equals what the engine's upstream entry lists.
func (e *engineState) matchesEntry(view EngineView) bool {
	entry := e.upstream.Holdings.Models
	return len(view.Ready) == len(entry) && maps.EqualFunc(view.Ready, entry, func(a, b []string) bool {
		return len(a) == len(b) && !slices.ContainsFunc(a, func(adapter string) bool { return !slices.Contains(b, adapter) })
	})
}

// plannerView returns the engine as input for the planner.
func (e *engineState) plannerView(now time.Duration, running map[string]int) *Engine {
	engine := &Engine{
		ID: e.upstream.ID, DataCenter: e.upstream.DataCenter, Draining: e.leaves(), Unreachable: e.cutOff(),
		Occupied: !e.settled() || e.occupied || e.paused || now < e.retryAt, Paused: e.paused, Holdings: e.holdings, Reserved: e.reserved(),
		Running: running, LoadedAt: e.loadedAt,
	}
	if e.loading != nil {
		engine.Loading, engine.LoadingFromStore = e.loading.Load, e.loading.Source == FromStore
	}
	return engine
}
