package loading

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// Input is the state on which Reconcile and Decide depend.
type Input struct {
	Now          time.Time
	Config       *config.Document
	View         *engine.View
	Rows         *Rows
	Observations *Observations
	Policy       Policy
	// ShouldAct reports whether this host performs an action on a model that has
	// been due since the given time: immediately as the model's owner, after the
	// takeover delay otherwise.
	ShouldAct func(model string, since time.Time) bool
}

// Reconcile returns the actions that follow from engine reports: completed loads
// and unloads, lost weights, repeated unload orders and adoptions of weights
// without a reservation.
func Reconcile(in *Input) []Action {
	var actions []Action
	for _, state := range in.View.Engines {
		row := in.Rows.Upstreams[state.Address]
		for _, r := range row.Reservations {
			kind, reason := in.classify(state, r)
			if kind == "" || !in.ShouldAct(r.Model, in.Observations.FirstObserved(state.Address, r)) {
				continue
			}
			actions = append(actions, Action{Kind: kind, Upstream: state.Address, Reservation: r, Reason: reason})
		}
		actions = append(actions, in.adoptions(state, row)...)
	}
	return actions
}

// classify returns the action that a reservation needs and its reason; the kind is
// empty if none is needed.
func (in *Input) classify(state *engine.EngineState, r Reservation) (ActionKind, string) {
	if in.processEnded(state) {
		return in.classifyEndedProcess(state, r)
	}
	if !state.Reachable || state.Report == nil {
		return in.classifyUnreachable(state, r)
	}
	resident := findResident(state.Report, r.Weights)
	if resident == nil {
		if in.Observations.absenceProven(state, r, in.Policy.OrderWindow) {
			return ActionGone, "the report does not show the weights"
		}
		return "", ""
	}
	return in.classifyResident(state, r, resident)
}

// processEnded reports whether the engine has refused connections for long enough
// to conclude that its process has ended.
func (in *Input) processEnded(state *engine.EngineState) bool {
	return !state.RefusedSince.IsZero() && in.Now.Sub(state.RefusedSince) >= in.Policy.RefusedGrace
}

// classifyEndedProcess drops the reservations of an ended process; a load only once
// its order can no longer reach a restarted process.
func (in *Input) classifyEndedProcess(state *engine.EngineState, r Reservation) (ActionKind, string) {
	if in.Now.After(in.Observations.latestArrival(state.Address, r, in.Policy.OrderWindow)) {
		return ActionGone, "the engine's process has ended"
	}
	return "", ""
}

// classifyUnreachable releases the permit of a load on an engine that has not
// answered polls for much longer than the load takes; otherwise unresponsive
// engines would eventually hold all permits. The memory and the replica stay
// reserved.
func (in *Input) classifyUnreachable(state *engine.EngineState, r Reservation) (ActionKind, string) {
	const loadTimes = 10
	longest := in.Policy.OrderWindow + in.Policy.PermitGrace + loadTimes*in.loadTime(r.Weights, SourceRemote)
	if r.Permit && in.Now.Sub(in.Observations.FirstObserved(state.Address, r)) > longest && !state.FailingSince.IsZero() {
		return ActionReleasePermit, "the engine does not answer polls"
	}
	return "", ""
}

// classifyResident returns the action for a reservation whose weights the report
// shows.
func (in *Input) classifyResident(state *engine.EngineState, r Reservation, resident *engine.Resident) (ActionKind, string) {
	switch r.State {
	case StateLoading:
		arrived := resident.Fence == r.LoadFence ||
			state.TakenAfter.After(in.Observations.latestArrival(state.Address, r, in.Policy.OrderWindow))
		if resident.State == engine.ResidentLoaded && arrived {
			return ActionLoaded, "the report shows the weights as loaded"
		}
	case StateUnloading:
		first := in.Observations.FirstObserved(state.Address, r)
		notStarted := resident.State != engine.ResidentUnloading
		if notStarted && in.Now.Sub(first) > in.Policy.OrderWindow && state.TakenAfter.After(first) {
			return ActionUnload, "the unload order may be lost"
		}
	}
	return "", ""
}

// adoptions returns actions that reserve weights which a report shows without a
// reservation, so that their memory is accounted for: as loaded if the model's
// maximum of replicas allows it, for unloading otherwise.
func (in *Input) adoptions(state *engine.EngineState, row UpstreamRow) []Action {
	if state.Report == nil || !state.Reachable {
		return nil
	}
	var actions []Action
	for _, resident := range state.Report.Resident {
		w := Weights{Model: resident.Model, Adapter: resident.Adapter}
		if _, ok := row.Find(w); ok || resident.State != engine.ResidentLoaded {
			continue
		}
		if !in.ShouldAct(w.Model, state.ReceivedAt) || !in.Observations.rowUnchangedSince(state.Address, state.TakenAfter) {
			continue
		}
		adopted := Reservation{Weights: w, Version: resident.Version, Bytes: resident.Bytes, State: StateLoaded}
		if len(in.Rows.Replicas(w.Model)) >= in.maxReplicas(w.Model) && w.Adapter == "" {
			adopted.State = StateUnloading
		}
		actions = append(actions, Action{Kind: ActionAdopt, Upstream: state.Address, Reservation: adopted, Reason: "the report shows weights without a reservation"})
	}
	return actions
}

func (in *Input) maxReplicas(model string) int { return in.Config.Models[model].MaxReplicas }

// loadTime returns the expected time to load weights from a source.
func (in *Input) loadTime(w Weights, source Source) time.Duration {
	if w.Adapter != "" {
		return adapterLoadTime
	}
	full := time.Duration(in.Config.Models[w.Model].LoadMS) * time.Millisecond
	switch source {
	case SourceMemory:
		return full / memorySpeedup
	case SourceDisk:
		return full / diskSpeedup
	}
	return full
}

// cheapestSource returns the cheapest source of a model over all engines.
func (in *Input) cheapestSource(model string) Source {
	best := SourceRemote
	for _, state := range in.View.Engines {
		if source := sourceOf(state, model); sourceRank(source) < sourceRank(best) {
			best = source
		}
	}
	return best
}

const (
	// adapterLoadTime is the assumed load time of an adapter.
	adapterLoadTime = 10 * time.Millisecond
	// memorySpeedup and diskSpeedup are the assumed speeds of loads from host
	// memory and local disk relative to the weight store. Only their order
	// matters.
	memorySpeedup = 8
	diskSpeedup   = 2
)
