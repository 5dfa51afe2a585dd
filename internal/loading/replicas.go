package loading

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

const (
	// replicaIndexMaxAge is the age at which the replica index is rebuilt even if
	// nothing that engines serve has changed, because engines become hidden with
	// time (unreachableTimeout).
	replicaIndexMaxAge = 100 * time.Millisecond
	// unreachableTimeout is how long an engine may fail to answer polls before
	// its replicas are hidden.
	unreachableTimeout = 2 * time.Second
)

// Replica is an upstream that serves, or will serve, given weights.
type Replica struct {
	Address    string
	DataCenter string
	State      State     // StateLoading or StateLoaded
	ReadyAt    time.Time // estimated end of the load; zero when loaded or unknown
	Version    string
}

// controlState is the state of the control goroutine that request goroutines read.
type controlState struct {
	rows  *Rows
	ready map[placement]time.Time // estimated ends of loads in progress
}

// replicaIndex maps weights to replicas for one view and one set of rows.
type replicaIndex struct {
	view     *engine.View
	control  *controlState
	builtAt  time.Time
	replicas map[Weights][]Replica
}

// replicaCache rebuilds the index on demand when the view or the control state has
// changed.
type replicaCache struct {
	index      atomic.Pointer[replicaIndex]
	rebuilding sync.Mutex
}

// get returns the index, rebuilt if it is outdated. While one caller rebuilds it,
// others get the previous one.
func (c *replicaCache) get(view *engine.View, control *controlState, now time.Time) *replicaIndex {
	index := c.index.Load()
	if index != nil && index.current(view, control, now) {
		return index
	}
	if index == nil {
		c.rebuilding.Lock()
	} else if !c.rebuilding.TryLock() {
		return index
	}
	defer c.rebuilding.Unlock()
	index = buildReplicas(view, control, now)
	c.index.Store(index)
	return index
}

// current reports whether the index is still valid. A new view whose change counter
// is the same needs no rebuild: most reports change nothing that the index contains.
func (i *replicaIndex) current(view *engine.View, control *controlState, now time.Time) bool {
	if i.control != control {
		return false
	}
	same := i.view == view || (view.Changes > 0 && view.Changes == i.view.Changes)
	return same && now.Sub(i.builtAt) < replicaIndexMaxAge
}

func buildReplicas(view *engine.View, control *controlState, now time.Time) *replicaIndex {
	index := &replicaIndex{view: view, control: control, builtAt: now, replicas: map[Weights][]Replica{}}
	for _, state := range view.Engines {
		if state.Report != nil && isServing(state, now) {
			index.addEngine(state, control.rows.Upstreams[state.Address])
		}
	}
	return index
}

// isServing reports whether the replicas of an engine are shown: it is not draining,
// does not refuse connections, and has not failed polls for unreachableTimeout.
func isServing(state *engine.EngineState, now time.Time) bool {
	if state.Draining() || !state.RefusedSince.IsZero() {
		return false
	}
	return state.FailingSince.IsZero() || now.Sub(state.FailingSince) < unreachableTimeout
}

// addEngine adds the replicas that an engine's report shows as loaded and those that
// its row shows as loading.
func (i *replicaIndex) addEngine(state *engine.EngineState, row UpstreamRow) {
	for _, resident := range state.Report.Resident {
		w := Weights{Model: resident.Model, Adapter: resident.Adapter}
		if resident.State == engine.ResidentLoaded && !unloading(row, w) && baseLoaded(state.Report, w) {
			i.add(w, Replica{
				Address: state.Address, DataCenter: state.DataCenter,
				State: StateLoaded, Version: resident.Version,
			})
		}
	}
	for _, r := range row.Reservations {
		resident := findResident(state.Report, r.Weights)
		if r.State != StateLoading || (resident != nil && resident.State == engine.ResidentLoaded) {
			continue
		}
		i.add(r.Weights, Replica{
			Address: state.Address, DataCenter: state.DataCenter, State: StateLoading,
			ReadyAt: i.control.ready[placement{state.Address, r.Weights}], Version: r.Version,
		})
	}
}

func (i *replicaIndex) add(w Weights, replica Replica) {
	i.replicas[w] = append(i.replicas[w], replica)
}

// unloading reports whether the weights or their base model are being unloaded.
func unloading(row UpstreamRow, w Weights) bool {
	r, ok := row.Find(w)
	if ok && r.State == StateUnloading {
		return true
	}
	return w.Adapter != "" && unloading(row, Weights{Model: w.Model})
}

// baseLoaded reports whether the base model of an adapter is loaded; true for a
// model.
func baseLoaded(report *engine.Report, w Weights) bool {
	if w.Adapter == "" {
		return true
	}
	base := findResident(report, Weights{Model: w.Model})
	return base != nil && base.State == engine.ResidentLoaded
}
