package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// candidate is an upstream on which weights could be placed.
type candidate struct {
	state   *engine.EngineState
	source  Source
	cost    time.Duration // expected time until the weights are loaded
	inDC    int           // replicas in the same data centre
	victims []Reservation // to evict first
	fits    bool          // memory is free now
}

// Delays added to the estimated load time of a candidate whose memory must
// first become free.
const (
	freeingDelay  = 200 * time.Millisecond
	evictionDelay = 300 * time.Millisecond
	// busyDelay is the expected wait for a whole batch to finish, and
	// sharedDelay that behind the requests that wait for other weights which
	// the same engine is loading.
	busyDelay   = 500 * time.Millisecond
	sharedDelay = 150 * time.Millisecond
)

// place plans one more replica of a model. It returns false when none can be
// placed, now or after unloads.
func (d *decider) place(w Weights, model config.Model, urgent bool) bool {
	best := d.bestCandidate(w, model, urgent)
	if best == nil {
		return false
	}
	address := best.state.Address
	if !best.fits {
		d.evict(address, best.victims, "memory is needed for "+w.String())
		d.pledge(address, model.Bytes)
		return true
	}
	r := Reservation{Weights: w, Version: model.Version, Bytes: model.Bytes, Source: best.source}
	if !d.takePermit(address, r) {
		return false
	}
	d.free[address] -= model.Bytes
	d.actions = append(d.actions, Action{
		Kind: ActionLoad, Upstream: address, Reservation: r, Reason: "wanted",
		Adapters: d.adaptersWith(address, w.Model),
	})
	return true
}

// adaptersWith returns the reservations of the wanted adapters that can be
// loaded with their base model.
func (d *decider) adaptersWith(address, model string) []Reservation {
	var reservations []Reservation
	for _, name := range d.adapters[model] {
		adapter := d.Config.Adapters[name]
		r := Reservation{
			Weights: Weights{Model: model, Adapter: name},
			Version: adapter.Version, Bytes: adapter.Bytes, Source: SourceRemote,
		}
		_, reserved := d.Rows.Upstreams[address].Find(r.Weights)
		if reserved || d.free[address] < r.Bytes || !d.takePermit(address, r) {
			continue
		}
		d.free[address] -= r.Bytes
		reservations = append(reservations, r)
	}
	return reservations
}

// pledge keeps memory that is or becomes free for a need that waits for it.
func (d *decider) pledge(address string, bytes int64) {
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
	if state.Service != model.Service || !d.usable(state) {
		return nil
	}
	if _, ok := d.Rows.Upstreams[state.Address].Find(w); ok || d.planned(state.Address, w) {
		return nil
	}
	c := &candidate{state: state, source: sourceOf(state, w.Model)}
	c.cost = d.loadTime(w, c.source) + d.batchWait(state, d.waitingFor[w.Model])
	if c.source == SourceRemote && !d.permitFree(state.Address, w) {
		// One of the loads in progress must end first.
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
	c.inDC = d.replicasIn(state.DataCenter, w.Model)
	return c
}

// batchWait estimates how long waiting requests would wait for a place in an
// engine's batch. Places that are free cost nothing.
func (d *decider) batchWait(state *engine.EngineState, waiting int) time.Duration {
	wait := time.Duration(0)
	if size := state.Report.MaxBatch; size > 0 {
		beyond := len(state.Report.Running) + state.Report.QueueDepth + min(waiting, size) - size
		wait = busyDelay * time.Duration(max(0, beyond)) / time.Duration(size)
	}
	for _, r := range d.Rows.Upstreams[state.Address].Reservations {
		if r.State == StateLoading && r.Adapter == "" {
			wait += sharedDelay
		}
	}
	for _, action := range d.actions {
		if action.Kind == ActionLoad && action.Upstream == state.Address && action.Reservation.Adapter == "" {
			wait += sharedDelay
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

// compareCandidates prefers data centres with fewer replicas, then the shortest
// time to load, then the own data centre, then the most free memory.
func (d *decider) compareCandidates(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.inDC, b.inDC),
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

// permitFree reports whether a load from the weight store could start now.
func (d *decider) permitFree(address string, w Weights) bool {
	refusal := LimitsOf(d.Config).Check(d.weight, permitOf(address, w), d.Now, d.startSeen)
	return refusal == weightstore.Granted
}

func (d *decider) takePermit(address string, r Reservation) bool {
	if !needsPermit(r) {
		return true
	}
	limits := LimitsOf(d.Config)
	permit := permitOf(address, r.Weights)
	if limits.Check(d.weight, permit, d.Now, d.startSeen) != weightstore.Granted {
		return false
	}
	d.weight = limits.Acquire(d.weight, permit, d.Now, d.startSeen)
	return true
}

// startSeen counts starts planned in this decision as happening now.
func (d *decider) startSeen(start uint64) time.Time {
	if start == 0 {
		return d.Now
	}
	return d.Observations.StartObserved(start)
}

// LimitsOf returns the weight store limits of a configuration.
func LimitsOf(doc *config.Document) weightstore.Limits {
	return weightstore.Limits{
		LoadsPerS:    doc.WeightStore.LoadsPerS,
		Concurrent:   doc.WeightStore.ConcurrentLoads,
		AdapterLoads: doc.WeightStore.AdapterLoadsInFlight,
	}
}
