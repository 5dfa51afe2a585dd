package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// Need is the demand for weights, summed over hosts.
type Need struct {
	Weights
	Waiting  int
	Deadline time.Time // of the oldest waiting request; zero when none waits
	Since    time.Time // start of the demand
}

// DecisionInput is everything that Decide depends on.
type DecisionInput struct {
	Input
	Needs []Need // of the models that this host decides for
	// Owns reports whether this host owns a model, and so decides for it also
	// without demand.
	Owns func(model string) bool
	// DesiredReplicas returns the number of replicas that the scaling policy asks
	// for, before the model's bounds are applied.
	DesiredReplicas func(need Need) int
	// KeepAlive returns how long idle weights stay loaded.
	KeepAlive func(w Weights) time.Duration
	// LastUsed returns the latest use known to this host; zero when none.
	LastUsed func(w Weights) time.Time
	// BlockedUntil returns the time until which an upstream gets no loads.
	BlockedUntil func(upstream string) time.Time
	DataCenter   string // of this host; preferred among otherwise equal upstreams
}

// adapterWaitingPerReplica is the number of waiting requests per adapter replica
// at which the adapter is loaded on one more replica of its base model.
const adapterWaitingPerReplica = 16

// Decide returns the loads and unloads to commit now, most urgent first. Each
// action assumes that the preceding ones succeed.
func Decide(in *DecisionInput) []Action {
	d := newDecider(in)
	needs := d.mergedNeeds()
	for _, need := range needs {
		if need.Adapter != "" {
			d.adapters[need.Model] = append(d.adapters[need.Model], need.Adapter)
		}
	}
	for _, need := range needs {
		if need.Adapter == "" {
			d.planModel(need)
		} else {
			d.planAdapter(need)
		}
	}
	d.unloadUnneeded()
	return d.actions
}

// decider accumulates the actions of one call of Decide.
type decider struct {
	*DecisionInput
	// free and freeing are the bytes of each upstream that are available now and
	// that its unloads in progress will free, less what earlier actions and more
	// urgent needs use. freeing may become negative.
	free         map[string]int64
	freeing      map[string]int64
	weightStore  weightstore.Row    // with the permits of earlier actions
	hasWaiting   map[string]bool    // models with waiting requests
	waitingCount map[string]int     // waiting requests by model
	evicted      map[placement]bool // unloads among the actions
	// adapters lists the requested adapters of a model, most urgent first.
	adapters map[string][]string
	actions  []Action
}

func newDecider(in *DecisionInput) *decider {
	d := &decider{
		DecisionInput: in,
		free:          map[string]int64{},
		freeing:       map[string]int64{},
		weightStore:   in.Rows.WeightStore,
		hasWaiting:    map[string]bool{},
		waitingCount:  map[string]int{},
		evicted:       map[placement]bool{},
		adapters:      map[string][]string{},
	}
	for _, state := range in.View.Engines {
		if state.Report == nil {
			continue
		}
		row := in.Rows.Upstreams[state.Address]
		d.free[state.Address] = state.Report.MemoryBytes - row.Reserved() - Unreserved(state.Report, row)
		for _, r := range row.Reservations {
			if r.State == StateUnloading {
				d.freeing[state.Address] += r.Bytes
			}
		}
	}
	for _, need := range in.Needs {
		d.hasWaiting[need.Model] = d.hasWaiting[need.Model] || need.Waiting > 0
		d.waitingCount[need.Model] += need.Waiting
	}
	return d
}

// Unreserved returns the bytes of weights that a report shows in excess of the
// row's reservations.
func Unreserved(report *engine.Report, row UpstreamRow) int64 {
	var sum int64
	for _, resident := range report.Resident {
		r, ok := row.Find(Weights{Model: resident.Model, Adapter: resident.Adapter})
		if !ok {
			sum += resident.Bytes
			continue
		}
		sum += max(0, resident.Bytes-r.Bytes)
	}
	return sum
}

// mergedNeeds returns the needs per model and adapter, ordered by compareNeeds. A
// need for an adapter implies one for its base model. Models without waiting
// requests are included when they have a minimum or the scaling policy asks for
// replicas.
func (d *decider) mergedNeeds() []Need {
	merged := map[Weights]Need{}
	for _, need := range d.Needs {
		if !d.configured(need.Weights) || need.Waiting <= 0 {
			continue
		}
		mergeNeed(merged, need)
		if need.Adapter != "" {
			need.Adapter = ""
			mergeNeed(merged, need)
		}
	}
	for name, model := range d.Config.Models {
		need := Need{Weights: Weights{Model: name}}
		if d.hasWaiting[name] || !d.Owns(name) {
			continue
		}
		if model.MinReplicas > 0 || d.DesiredReplicas(need) > 0 {
			merged[need.Weights] = need
		}
	}
	needs := make([]Need, 0, len(merged))
	for _, need := range merged {
		needs = append(needs, need)
	}
	slices.SortFunc(needs, d.compareNeeds)
	return needs
}

func mergeNeed(merged map[Weights]Need, need Need) {
	known, ok := merged[need.Weights]
	if !ok {
		merged[need.Weights] = need
		return
	}
	known.Waiting += need.Waiting
	if known.Deadline.IsZero() || (!need.Deadline.IsZero() && need.Deadline.Before(known.Deadline)) {
		known.Deadline = need.Deadline
	}
	if need.Since.Before(known.Since) {
		known.Since = need.Since
	}
	merged[need.Weights] = known
}

// compareNeeds orders by deadline (none last), then by load time, then by name.
func (d *decider) compareNeeds(a, b Need) int {
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		if a.Deadline.IsZero() {
			return 1
		}
		return -1
	}
	return cmp.Or(
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(d.loadTime(a.Weights, d.cheapestSource(a.Model)), d.loadTime(b.Weights, d.cheapestSource(b.Model))),
		cmp.Compare(a.String(), b.String()),
	)
}

// configured reports whether the configuration contains the weights.
func (d *decider) configured(w Weights) bool {
	if _, ok := d.Config.Models[w.Model]; !ok {
		return false
	}
	if w.Adapter == "" {
		return true
	}
	adapter, ok := d.Config.Adapters[w.Adapter]
	return ok && adapter.Model == w.Model
}

// sourceOf returns the cheapest source from which an engine can load a model.
func sourceOf(state *engine.EngineState, model string) Source {
	switch {
	case state.Report == nil:
		return SourceRemote
	case slices.Contains(state.Report.HostMemory, model):
		return SourceMemory
	case slices.Contains(state.Report.Disk, model):
		return SourceDisk
	}
	return SourceRemote
}

func sourceRank(s Source) int {
	return slices.Index([]Source{SourceMemory, SourceDisk, SourceRemote}, s)
}

// acceptsLoads reports whether an upstream may be given new loads.
func (d *decider) acceptsLoads(state *engine.EngineState) bool {
	return state.Reachable && state.Report != nil && !state.Draining() &&
		!d.Now.Before(d.BlockedUntil(state.Address))
}

// liveReplicas returns the upstreams that serve or will serve the current version
// of a model, without those that this decision evicts.
func (d *decider) liveReplicas(model string) []string {
	var addresses []string
	version := d.Config.Models[model].Version
	for address, row := range d.Rows.Upstreams {
		r, ok := row.Find(Weights{Model: model})
		if ok && r.Live() && r.Version == version && !d.evicted[placement{address, r.Weights}] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// servingReplicas returns the number of live replicas on upstreams that are in the
// view and not draining.
func (d *decider) servingReplicas(model string) int {
	count := 0
	for _, address := range d.liveReplicas(model) {
		if state := d.View.Engine(address); state != nil && !state.Draining() {
			count++
		}
	}
	return count
}

// desiredReplicas returns the number of replicas of a model within its bounds.
func (d *decider) desiredReplicas(need Need) int {
	model := d.Config.Models[need.Model]
	desired := max(model.MinReplicas, d.DesiredReplicas(need))
	if need.Waiting > 0 {
		desired = max(desired, 1)
	}
	return min(desired, model.MaxReplicas)
}

// planModel plans loads until a model has the desired replicas.
func (d *decider) planModel(need Need) {
	model := d.Config.Models[need.Model]
	replicas := d.Rows.Replicas(need.Model)
	serving := d.servingReplicas(need.Model)
	room := model.MaxReplicas - len(replicas)
	for missing := d.desiredReplicas(need) - serving; missing > 0 && room > 0; missing-- {
		// Only the first replica may evict weights within their keep-alive
		// time; for further replicas it would trade one cold start for another.
		urgent := serving == 0 && need.Waiting > 0
		if !d.place(need.Weights, model, urgent) {
			return
		}
		serving++
		room--
	}
}

// planAdapter plans the load of an adapter on an upstream that has its base model
// loaded.
func (d *decider) planAdapter(need Need) {
	adapter := d.Config.Adapters[need.Adapter]
	var targets []*engine.EngineState
	live := 0
	for _, state := range d.View.Engines {
		row := d.Rows.Upstreams[state.Address]
		base, ok := row.Find(Weights{Model: need.Model})
		if !ok || base.State != StateLoaded || d.evicted[placement{state.Address, base.Weights}] || !d.acceptsLoads(state) {
			continue
		}
		r, reserved := row.Find(need.Weights)
		switch {
		case reserved && r.Live() && r.Version == adapter.Version:
			live++
		case !reserved:
			targets = append(targets, state)
		}
	}
	if live > need.Waiting/adapterWaitingPerReplica || len(targets) == 0 {
		return
	}
	slices.SortFunc(targets, func(a, b *engine.EngineState) int {
		return cmp.Or(
			cmp.Compare(d.free[b.Address], d.free[a.Address]),
			cmp.Compare(a.Address, b.Address),
		)
	})
	d.placeAdapter(targets[0], need.Weights, adapter)
}

// placeAdapter plans the load of an adapter on an upstream, or the evictions that
// make room for it.
func (d *decider) placeAdapter(state *engine.EngineState, w Weights, adapter config.Adapter) {
	missing := adapter.Bytes - d.free[state.Address]
	if missing > d.freeing[state.Address] && missing > 0 {
		if victims := d.victims(state, missing-d.freeing[state.Address], true); victims != nil {
			d.evict(state.Address, victims, "memory is needed for "+w.String())
			d.earmark(state.Address, adapter.Bytes)
		}
		return
	}
	if missing > 0 {
		d.earmark(state.Address, adapter.Bytes)
		return
	}
	r := Reservation{Weights: w, Version: adapter.Version, Bytes: adapter.Bytes, Source: SourceRemote}
	if !d.acquirePermit(state.Address, r) {
		return
	}
	d.free[state.Address] -= adapter.Bytes
	d.actions = append(d.actions, Action{Kind: ActionLoad, Upstream: state.Address, Reservation: r, Reason: "wanted"})
}
