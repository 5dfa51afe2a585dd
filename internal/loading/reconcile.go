package loading

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// Input is everything that decisions depend on.
type Input struct {
	Now          time.Time
	Config       *config.Document
	View         *engine.View
	Rows         *Rows
	Observations *Observations
	Policy       Policy
	// ShouldAct reports whether this host acts on what has been due for a model
	// since the given time: at once as the owner, after the takeover delay
	// otherwise.
	ShouldAct func(model string, since time.Time) bool
}

// Reconcile returns the actions that follow from reports: completed loads and
// unloads, losses, and renewals of orders that may be lost.
func Reconcile(in *Input) []Action {
	var actions []Action
	for _, state := range in.View.Engines {
		row := in.Rows.Upstreams[state.Address]
		for _, r := range row.Reservations {
			kind, reason := in.judge(state, r)
			if kind == "" || !in.ShouldAct(r.Model, in.Observations.FirstObserved(state.Address, r)) {
				continue
			}
			actions = append(actions, Action{Kind: kind, Upstream: state.Address, Reservation: r, Reason: reason})
		}
		actions = append(actions, in.adoptions(state, row)...)
	}
	return actions
}

// judge returns the action that a reservation needs, if any.
func (in *Input) judge(state *engine.EngineState, r Reservation) (ActionKind, string) {
	if in.processEnded(state) {
		return in.judgeEnded(state, r)
	}
	if !state.Reachable || state.Report == nil {
		return in.judgeSilent(state, r)
	}
	resident := findResident(state.Report, r.Weights)
	if resident == nil {
		if in.Observations.absenceProven(state, r, in.Policy.OrderWindow) {
			return ActionGone, "the report does not show the weights"
		}
		return "", ""
	}
	return in.judgeResident(state, r, resident)
}

// processEnded reports whether the engine's process has ended: nothing listens
// at its address.
func (in *Input) processEnded(state *engine.EngineState) bool {
	return !state.RefusedSince.IsZero() && in.Now.Sub(state.RefusedSince) >= in.Policy.RefusedGrace
}

// judgeEnded drops what an ended process held, but a load only when its order
// can no longer reach a restarted process.
func (in *Input) judgeEnded(state *engine.EngineState, r Reservation) (ActionKind, string) {
	if in.Now.After(in.Observations.latestArrival(state.Address, r, in.Policy.OrderWindow)) {
		return ActionGone, "the engine's process has ended"
	}
	return "", ""
}

// judgeSilent releases the permit of a load on an engine that has not answered
// for much longer than the load takes. Otherwise silent engines would in time
// hold all permits. Memory and replica stay reserved.
func (in *Input) judgeSilent(state *engine.EngineState, r Reservation) (ActionKind, string) {
	const loadTimes = 10
	longest := in.Policy.OrderWindow + in.Policy.PermitGrace + loadTimes*in.loadTime(r.Weights, SourceRemote)
	if r.Permit && in.Now.Sub(in.Observations.FirstObserved(state.Address, r)) > longest && !state.FailingSince.IsZero() {
		return ActionReleasePermit, "the engine is silent"
	}
	return "", ""
}

func (in *Input) judgeResident(state *engine.EngineState, r Reservation, resident *engine.Resident) (ActionKind, string) {
	switch r.State {
	case StateLoading:
		arrived := resident.Fence == r.LoadFence ||
			state.TakenAfter.After(in.Observations.latestArrival(state.Address, r, in.Policy.OrderWindow))
		if resident.State == engine.ResidentLoaded && arrived {
			return ActionLoaded, "the report shows the weights as loaded"
		}
	case StateUnloading:
		first := in.Observations.FirstObserved(state.Address, r)
		lost := resident.State != engine.ResidentUnloading
		if lost && in.Now.Sub(first) > in.Policy.OrderWindow && state.TakenAfter.After(first) {
			return ActionUnload, "the unload order may be lost"
		}
	}
	return "", ""
}

// adoptions reserves weights that a report shows without a reservation, so
// that they are counted: as loaded when the model's bound allows it, and for
// unloading otherwise.
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
		if !in.ShouldAct(w.Model, state.ReceivedAt) || !in.Observations.rowOlderThan(state.Address, state.TakenAfter) {
			continue
		}
		adopted := Reservation{Weights: w, Version: resident.Version, Bytes: resident.Bytes, State: StateLoaded}
		if len(in.Rows.Replicas(w.Model)) >= in.maxReplicas(w.Model) && w.Adapter == "" {
			adopted.State = StateUnloading
		}
		actions = append(actions, Action{Kind: ActionAdopt, Upstream: state.Address, Reservation: adopted, Reason: "not reserved"})
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

// cheapest returns the cheapest source of a model at any engine.
func (in *Input) cheapest(model string) Source {
	best := SourceRemote
	for _, state := range in.View.Engines {
		if source := sourceOf(state, model); sourceRank(source) < sourceRank(best) {
			best = source
		}
	}
	return best
}

const (
	adapterLoadTime = 10 * time.Millisecond
	// Loads from host memory and from local disk are estimated as this many
	// times faster than loads from the weight store; only their order counts.
	memorySpeedup = 8
	diskSpeedup   = 2
)
