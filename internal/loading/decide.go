package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// Need is waiting demand for weights, summed over hosts.
type Need struct {
	Weights
	Waiting  int
	Deadline time.Time // of the oldest waiting request; zero when none waits
	Since    time.Time // start of the demand
}

// DecisionInput is everything that loads and unloads depend on.
type DecisionInput struct {
	Input
	Needs []Need // of models that this host decides
	// Owns reports whether this host decides a model without demand.
	Owns func(model string) bool
	// DesiredReplicas returns how many replicas of a model the scaling policy asks for.
	DesiredReplicas func(need Need) int
	// KeepAlive returns how long idle weights stay loaded.
	KeepAlive func(w Weights) time.Duration
	// LastUsed returns when this host last knew of a use; zero when never.
	LastUsed func(w Weights) time.Time
	// BlockedUntil returns until when an upstream gets no loads.
	BlockedUntil func(upstream string) time.Time
	DataCenter   string // of this host; preferred among equal upstreams
}

// adapterWaitingPerReplica is the queue of an adapter at which it is loaded on
// one more replica of its base model.
const adapterWaitingPerReplica = 16

// Decide returns the loads and unloads to commit now, in order of urgency. An
// action assumes that those before it succeed.
func Decide(in *DecisionInput) []Action {
	d := newDecider(in)
	needs := d.needs()
	for _, need := range needs {
		if need.Adapter != "" {
			d.adapters[need.Model] = append(d.adapters[need.Model], need.Adapter)
		}
	}
	for _, need := range needs {
		if need.Adapter == "" {
			d.serveModel(need)
		} else {
			d.serveAdapter(need)
		}
	}
	d.trim()
	return d.actions
}

// decider accumulates actions. free and freeing are the bytes of an upstream
// that are available now and that will be once its unloads complete, less what
// earlier actions and more urgent needs take.
type decider struct {
	*DecisionInput
	free       map[string]int64
	freeing    map[string]int64
	weight     weightstore.Row
	waiting    map[string]bool // models with waiting requests
	waitingFor map[string]int  // requests that wait for a model
	evicted    map[placement]bool
	// adapters lists the wanted adapters of a model, most urgent first.
	adapters map[string][]string
	actions  []Action
}

func newDecider(in *DecisionInput) *decider {
	d := &decider{
		DecisionInput: in,
		free:          map[string]int64{},
		freeing:       map[string]int64{},
		weight:        in.Rows.Weight,
		waiting:       map[string]bool{},
		waitingFor:    map[string]int{},
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
		d.waiting[need.Model] = d.waiting[need.Model] || need.Waiting > 0
		d.waitingFor[need.Model] += need.Waiting
	}
	return d
}

// Unreserved returns the bytes of weights that a report shows beyond the
// reservations of the row.
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

// needs returns the demand per model and adapter, most urgent first and
// cheapest to load first among equals. A need for an adapter implies one for
// its base model.
func (d *decider) needs() []Need {
	merged := map[Weights]Need{}
	for _, need := range d.Needs {
		if !d.known(need.Weights) || need.Waiting <= 0 {
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
		if d.waiting[name] || !d.Owns(name) {
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

func (d *decider) compareNeeds(a, b Need) int {
	if a.Deadline.IsZero() != b.Deadline.IsZero() {
		if a.Deadline.IsZero() {
			return 1
		}
		return -1
	}
	return cmp.Or(
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(d.loadTime(a.Weights, d.cheapest(a.Model)), d.loadTime(b.Weights, d.cheapest(b.Model))),
		cmp.Compare(a.String(), b.String()),
	)
}

func (d *decider) known(w Weights) bool {
	if _, ok := d.Config.Models[w.Model]; !ok {
		return false
	}
	if w.Adapter == "" {
		return true
	}
	adapter, ok := d.Config.Adapters[w.Adapter]
	return ok && adapter.Model == w.Model
}

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

// usable reports whether an upstream may get new loads.
func (d *decider) usable(state *engine.EngineState) bool {
	return state.Reachable && state.Report != nil && !state.Draining() &&
		!d.Now.Before(d.BlockedUntil(state.Address))
}

// live counts the reservations of a model's current version that serve or will
// serve, by upstream.
func (d *decider) live(model string) []string {
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

// serving returns the live reservations on upstreams that take work.
func (d *decider) serving(model string) int {
	count := 0
	for _, address := range d.live(model) {
		if state := d.View.Engine(address); state != nil && !state.Draining() {
			count++
		}
	}
	return count
}

func (d *decider) wanted(need Need) int {
	model := d.Config.Models[need.Model]
	wanted := max(model.MinReplicas, d.DesiredReplicas(need))
	if need.Waiting > 0 {
		wanted = max(wanted, 1)
	}
	return min(wanted, model.MaxReplicas)
}

func (d *decider) serveModel(need Need) {
	model := d.Config.Models[need.Model]
	replicas := d.Rows.Replicas(need.Model)
	serving := d.serving(need.Model)
	room := model.MaxReplicas - len(replicas)
	for missing := d.wanted(need) - serving; missing > 0 && room > 0; missing-- {
		// Only the first replica may displace weights that are still kept
		// alive; further ones would trade one cold start for another.
		urgent := serving == 0 && need.Waiting > 0
		if !d.place(need.Weights, model, urgent) {
			return
		}
		serving++
		room--
	}
}

// serveAdapter loads an adapter on an upstream that has its base model.
func (d *decider) serveAdapter(need Need) {
	adapter := d.Config.Adapters[need.Adapter]
	var hosts []*engine.EngineState
	live := 0
	for _, state := range d.View.Engines {
		row := d.Rows.Upstreams[state.Address]
		base, ok := row.Find(Weights{Model: need.Model})
		if !ok || base.State != StateLoaded || d.evicted[placement{state.Address, base.Weights}] || !d.usable(state) {
			continue
		}
		r, reserved := row.Find(need.Weights)
		switch {
		case reserved && r.Live() && r.Version == adapter.Version:
			live++
		case !reserved:
			hosts = append(hosts, state)
		}
	}
	if live > need.Waiting/adapterWaitingPerReplica || len(hosts) == 0 {
		return
	}
	slices.SortFunc(hosts, func(a, b *engine.EngineState) int {
		return cmp.Or(
			cmp.Compare(d.free[b.Address], d.free[a.Address]),
			cmp.Compare(a.Address, b.Address),
		)
	})
	d.placeAdapter(hosts[0], need.Weights, adapter)
}

func (d *decider) placeAdapter(state *engine.EngineState, w Weights, adapter config.Adapter) {
	short := adapter.Bytes - d.free[state.Address]
	if short > d.freeing[state.Address] && short > 0 {
		if victims := d.victims(state, short-d.freeing[state.Address], true); victims != nil {
			d.evict(state.Address, victims, "memory is needed for "+w.String())
			d.pledge(state.Address, adapter.Bytes)
		}
		return
	}
	if short > 0 {
		d.pledge(state.Address, adapter.Bytes)
		return
	}
	r := Reservation{Weights: w, Version: adapter.Version, Bytes: adapter.Bytes, Source: SourceRemote}
	if !d.takePermit(state.Address, r) {
		return
	}
	d.free[state.Address] -= adapter.Bytes
	d.actions = append(d.actions, Action{Kind: ActionLoad, Upstream: state.Address, Reservation: r, Reason: "wanted"})
}
