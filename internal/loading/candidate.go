package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// candidate is an upstream on which a model could be loaded.
type candidate struct {
	state        *engine.EngineState
	source       Source
	cost         time.Duration // expected time until the weights are loaded
	replicasInDC int           // replicas in the same data centre
	victims      []Reservation // to evict first
	fits         bool          // enough memory is free now
}

// Estimated delays that are added to the load time of a candidate.
const (
	// freeingDelay applies when unloads in progress must first free memory, and
	// evictionDelay when an eviction must first be ordered.
	freeingDelay  = 200 * time.Millisecond
	evictionDelay = 300 * time.Millisecond
	// fullBatchDelay is the expected wait for a whole batch to finish.
	// concurrentLoadDelay is the expected wait behind the requests for one other
	// model that the same engine is loading.
	fullBatchDelay      = 500 * time.Millisecond
	concurrentLoadDelay = 150 * time.Millisecond
)

// place plans one more replica of a model: a load, or the evictions that make
// room for it. It returns false when no upstream is suitable or no permit is
// available.
func (d *decider) place(w Weights, model config.Model, urgent bool) bool {
	best := d.bestCandidate(w, model, urgent)
	if best == nil {
		return false
	}
	address := best.state.Address
	if !best.fits {
		d.evict(address, best.victims, "memory is needed for "+w.String())
		d.earmark(address, model.Bytes)
		return true
	}
	r := Reservation{Weights: w, Version: model.Version, Bytes: model.Bytes, Source: best.source}
	if !d.acquirePermit(address, r) {
		return false
	}
	d.free[address] -= model.Bytes
	d.actions = append(d.actions, Action{
		Kind: ActionLoad, Upstream: address, Reservation: r, Reason: "wanted",
		Adapters: d.adaptersToLoadWith(address, w.Model),
	})
	return true
}

// adaptersToLoadWith returns reservations for the requested adapters of a model
// that can be loaded in the same commit as the model.
func (d *decider) adaptersToLoadWith(address, model string) []Reservation {
	var reservations []Reservation
	for _, name := range d.adapters[model] {
		adapter := d.Config.Adapters[name]
		r := Reservation{
			Weights: Weights{Model: model, Adapter: name},
			Version: adapter.Version, Bytes: adapter.Bytes, Source: SourceRemote,
		}
		_, reserved := d.Rows.Upstreams[address].Find(r.Weights)
		if reserved || d.free[address] < r.Bytes || !d.acquirePermit(address, r) {
			continue
		}
		d.free[address] -= r.Bytes
		reservations = append(reservations, r)
	}
	return reservations
}

// earmark deducts memory for a need that waits for unloads, first from the free
// bytes, then from those being freed, so that later needs do not use it.
func (d *decider) earmark(address string, bytes int64) {
	fromFree := min(max(0, d.free[address]), bytes)
	d.free[address] -= fromFree
	d.freeing[address] -= bytes - fromFree
}

func (d *decider) bestCandidate(w Weights, model config.Model, urgent bool) *candidate {
	var best *candidate
	for _, state := range d.View.Engines {
		c := d.candidate(state, w, model, urgent)
		if c != nil && (best == nil || d.compareCandidates(c, best) < 0) {
			best = c
		}
	}
	return best
}

func (d *decider) candidate(state *engine.EngineState, w Weights, model config.Model, urgent bool) *candidate {
	if state.Service != model.Service || !d.acceptsLoads(state) {
		return nil
	}
	if _, ok := d.Rows.Upstreams[state.Address].Find(w); ok || d.planned(state.Address, w) {
		return nil
	}
	c := &candidate{state: state, source: sourceOf(state, w.Model)}
	c.cost = d.loadTime(w, c.source) + d.batchWait(state, d.waitingCount[w.Model])
	if c.source == SourceRemote && !d.permitAvailable(state.Address, w) {
		// A permit becomes available when a load in progress ends.
		c.cost += d.loadTime(w, c.source)
	}
	free := d.free[state.Address]
	switch {
	case free >= model.Bytes:
		c.fits = true
	case free+d.freeing[state.Address] >= model.Bytes:
		c.cost += freeingDelay
	default:
		c.victims = d.victims(state, model.Bytes-free-d.freeing[state.Address], urgent)
		if c.victims == nil {
			return nil
		}
		c.cost += evictionDelay
	}
	c.replicasInDC = d.replicasIn(state.DataCenter, w.Model)
	return c
}

// batchWait estimates how long waiting requests would wait for room in an
// engine's batch, including requests for the models that it is loading.
func (d *decider) batchWait(state *engine.EngineState, waiting int) time.Duration {
	wait := time.Duration(0)
	if size := state.Report.MaxBatch; size > 0 {
		beyond := len(state.Report.Running) + state.Report.QueueDepth + min(waiting, size) - size
		wait = fullBatchDelay * time.Duration(max(0, beyond)) / time.Duration(size)
	}
	for _, r := range d.Rows.Upstreams[state.Address].Reservations {
		if r.State == StateLoading && r.Adapter == "" {
			wait += concurrentLoadDelay
		}
	}
	for _, action := range d.actions {
		if action.Kind == ActionLoad && action.Upstream == state.Address && action.Reservation.Adapter == "" {
			wait += concurrentLoadDelay
		}
	}
	return wait
}

func (d *decider) planned(address string, w Weights) bool {
	return slices.ContainsFunc(d.actions, func(a Action) bool {
		return a.Kind == ActionLoad && a.Upstream == address && a.Reservation.Weights == w
	})
}

func (d *decider) replicasIn(dataCenter, model string) int {
	count := 0
	for _, state := range d.View.Engines {
		if state.DataCenter != dataCenter {
			continue
		}
		r, ok := d.Rows.Upstreams[state.Address].Find(Weights{Model: model})
		if (ok && r.Live()) || d.planned(state.Address, Weights{Model: model}) {
			count++
		}
	}
	return count
}

// compareCandidates orders by fewest replicas in the data centre, shortest time
// to load, this host's data centre, most free memory and then address.
func (d *decider) compareCandidates(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.replicasInDC, b.replicasInDC),
		cmp.Compare(a.cost, b.cost),
		-compareBool(a.state.DataCenter == d.DataCenter, b.state.DataCenter == d.DataCenter),
		cmp.Compare(d.free[b.state.Address], d.free[a.state.Address]),
		cmp.Compare(a.state.Address, b.state.Address),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// permitAvailable reports whether a load from the weight store could start now.
func (d *decider) permitAvailable(address string, w Weights) bool {
	result := LimitsOf(d.Config).Check(d.weightStore, permitOf(address, w), d.Now, d.startObserved)
	return result == weightstore.Granted
}

func (d *decider) acquirePermit(address string, r Reservation) bool {
	if !needsPermit(r) {
		return true
	}
	limits := LimitsOf(d.Config)
	permit := permitOf(address, r.Weights)
	if limits.Check(d.weightStore, permit, d.Now, d.startObserved) != weightstore.Granted {
		return false
	}
	d.weightStore = limits.Acquire(d.weightStore, permit, d.Now, d.startObserved)
	return true
}

// startObserved returns when a start was first observed; starts planned in this
// decision (0) count as happening now.
func (d *decider) startObserved(start uint64) time.Time {
	if start == 0 {
		return d.Now
	}
	return d.Observations.StartObserved(start)
}

// LimitsOf returns the weight store limits of a configuration document.
func LimitsOf(doc *config.Document) weightstore.Limits {
	return weightstore.Limits{
		LoadsPerS:    doc.WeightStore.LoadsPerS,
		Concurrent:   doc.WeightStore.ConcurrentLoads,
		AdapterLoads: doc.WeightStore.AdapterLoadsInFlight,
	}
}
