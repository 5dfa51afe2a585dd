package host

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/membership"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/service"
)

const (
	// remoteRoundTrip is the assumed round trip to another data centre.
	remoteRoundTrip = 3 * time.Millisecond
	// defaultEngineSlots is the assumed batch size of an engine that reports none.
	defaultEngineSlots = 8
	// probeSlots is the maximum number of concurrent probe requests to engines
	// whose load is about to end.
	probeSlots = 1
	// serviceSlots is the maximum number of concurrent calls from this host to a
	// worker of a plain service.
	serviceSlots = 64
)

// replicas provides the request path with the current upstreams. Its wrappers
// engineReplicas and serviceWorkers implement inference.Replicas and
// service.Workers.
type replicas struct {
	host    *Host
	loading *loading.Manager
	// view is the last membership published by the control goroutine.
	view atomic.Pointer[upstreamView]
}

// upstreamView is an immutable view of the upstreams with indexes.
type upstreamView struct {
	list      []membership.Upstream // sorted by address
	byService map[string][]membership.Upstream
	byAddress map[string]membership.Upstream
}

// newUpstreamView returns a view of upstreams sorted by address.
func newUpstreamView(upstreams []membership.Upstream) *upstreamView {
	view := &upstreamView{
		list:      upstreams,
		byService: map[string][]membership.Upstream{},
		byAddress: make(map[string]membership.Upstream, len(upstreams)),
	}
	for _, upstream := range upstreams {
		view.byService[upstream.Service] = append(view.byService[upstream.Service], upstream)
		view.byAddress[upstream.Address] = upstream
	}
	return view
}

// engineCandidates returns the engines that have the configured version of a model,
// and of the adapter if one is named, loaded. If there are none, it returns the
// engines whose load is about to end as probes.
func (r *replicas) engineCandidates(model, adapter string) (candidates []routing.Candidate, probing bool) {
	snapshot := r.host.follower.Current()
	if snapshot == nil {
		return nil, false
	}
	version := weightsVersion(snapshot.Document, model, adapter)
	known := r.loading.Replicas(model, adapter)
	candidates = make([]routing.Candidate, 0, len(known))
	for _, replica := range known {
		if replica.State == loading.StateLoaded && replica.Version == version {
			candidates = append(candidates, r.candidate(replica.Address, replica.DataCenter))
		}
	}
	if len(candidates) > 0 {
		return candidates, false
	}
	confirmed, probes := r.unreportedCandidates(loading.Weights{Model: model, Adapter: adapter}, version, time.Now())
	if len(confirmed) > 0 {
		return confirmed, false
	}
	return probes, true
}

// candidate returns the routing candidate of an engine.
func (r *replicas) candidate(address, dataCenter string) routing.Candidate {
	upstream := r.view.Load().byAddress[address]
	return routing.Candidate{
		Address:       address,
		DataCenter:    dataCenter,
		RoundTrip:     r.roundTrip(dataCenter),
		Slots:         defaultEngineSlots,
		AdapterLoaded: true,
		Leaving:       upstream.State == membership.Leaving || upstream.State == membership.Gone,
		Suspect:       upstream.State == membership.Suspect,
	}
}

// weightsVersion returns the configured version of a model or adapter.
func weightsVersion(document *config.Document, model, adapter string) string {
	if adapter != "" {
		return document.Adapters[adapter].Version
	}
	return document.Models[model].Version
}

func (r *replicas) roundTrip(dataCenter string) time.Duration {
	if dataCenter == r.host.settings.DataCenter {
		return 0
	}
	return remoteRoundTrip
}

// engineReplicas implements inference.Replicas.
type engineReplicas struct{ *replicas }

// Candidates implements inference.Replicas.
func (e engineReplicas) Candidates(model, adapter string) []routing.Candidate {
	candidates, _ := e.engineCandidates(model, adapter)
	return candidates
}

// RecordMissing implements inference.Replicas.
func (e engineReplicas) RecordMissing(model, adapter string, deadline time.Time) {
	waiting, earliest := e.host.admission.Waiting(queueName(model, adapter))
	if earliest.IsZero() || deadline.Before(earliest) {
		earliest = deadline
	}
	e.loading.RecordDemand(model, adapter, waiting+1, earliest)
}

// ConfirmLoaded implements inference.Replicas.
func (e engineReplicas) ConfirmLoaded(model, adapter, address string) {
	weights := loading.Weights{Model: model, Adapter: adapter}
	if e.host.hints.confirm(placement{weights, address}, time.Now()) {
		e.host.updateModelCapacity(model, adapter, queueName(model, adapter))
	}
}

// RecordNotLoaded implements inference.Replicas.
func (e engineReplicas) RecordNotLoaded(model, adapter, address string) {
	e.host.hints.clearConfirmation(placement{loading.Weights{Model: model, Adapter: adapter}, address})
	e.host.monitor.PollNow(address)
}

// RecordUse implements inference.Replicas.
func (e engineReplicas) RecordUse(model, adapter string) { e.loading.RecordUse(model, adapter) }

// serviceWorkers implements service.Workers.
type serviceWorkers struct{ *replicas }

// Candidates implements service.Workers.
func (s serviceWorkers) Candidates(name string) []routing.Candidate {
	workers := s.view.Load().byService[name]
	candidates := make([]routing.Candidate, 0, len(workers))
	for _, worker := range workers {
		candidates = append(candidates, routing.Candidate{
			Address:    worker.Address,
			DataCenter: worker.DataCenter,
			RoundTrip:  s.roundTrip(worker.DataCenter),
			Slots:      serviceSlots,
			Leaving:    worker.State == membership.Leaving || worker.State == membership.Gone,
			Suspect:    worker.State == membership.Suspect,
		})
	}
	return candidates
}

// ConnectionRefused implements service.Workers.
func (s serviceWorkers) ConnectionRefused(address string) { s.host.handleConnectionRefused(address) }

// updateCapacities sets the admission capacities: the number of requests that this
// host may have in progress at the replicas of each model and at the workers of
// each service.
func (h *Host) updateCapacities(time.Time) {
	snapshot := h.follower.Current()
	if snapshot == nil {
		return
	}
	h.updateKnownCapacities()
	for name, target := range snapshot.Document.Services {
		if target.Kind == config.ServicePlain {
			h.admission.SetCapacity(service.QueueName(name), h.liveWorkers(name)*serviceSlots)
		}
	}
}

// updateKnownCapacities sets the capacities of weights that have replicas or
// announced loads, or had some at the last update; the capacity of all others is 0
// already. Most of the 5,600 adapters at the growth size (docs/design.md, section
// 1.7) are idle, and setting each of them ten times a second would exceed the CPU
// limit of all control work.
func (h *Host) updateKnownCapacities() {
	known := map[loading.Weights]bool{}
	for _, w := range slices.Concat(h.loading.KnownWeights(), h.hints.weights()) {
		known[w] = true
	}
	for w := range known {
		h.updateModelCapacity(w.Model, w.Adapter, w.String())
	}
	for w := range h.weightsWithCapacity {
		if !known[w] {
			h.updateModelCapacity(w.Model, w.Adapter, w.String())
		}
	}
	h.weightsWithCapacity = known
}

// updateModelCapacity sets the admission capacity of a model or adapter. It is safe
// for concurrent use: admission keeps the last value, and the control goroutine
// sets it again periodically.
func (h *Host) updateModelCapacity(model, adapter, queue string) {
	slots := 0
	view := h.monitor.View()
	candidates, probing := h.replicas.engineCandidates(model, adapter)
	for _, candidate := range candidates {
		if !candidate.Leaving && !candidate.Suspect {
			slots += engineSlots(view, candidate.Address)
		}
	}
	if probing {
		slots = min(slots, probeSlots)
	}
	h.admission.SetCapacity(queue, slots)
	if slots > 0 {
		return
	}
	if ready, ok := h.expectedReady(model, adapter); ok {
		h.admission.SetExpectedReady(queue, ready)
	}
}

// expectedReady returns the earliest time at which a loading replica is expected to
// be ready, and whether there is one.
func (h *Host) expectedReady(model, adapter string) (time.Time, bool) {
	var earliest time.Time
	for _, replica := range h.loading.Replicas(model, adapter) {
		if replica.State == loading.StateLoading && !replica.ReadyAt.IsZero() &&
			(earliest.IsZero() || replica.ReadyAt.Before(earliest)) {
			earliest = replica.ReadyAt
		}
	}
	return earliest, !earliest.IsZero()
}

func (h *Host) liveWorkers(name string) int {
	live := 0
	for _, worker := range h.replicas.view.Load().byService[name] {
		if worker.State == membership.Live || worker.State == membership.Suspect {
			live++
		}
	}
	return live
}

// reportDemand passes the number of requests waiting for each of the weights to
// loading, with 0 for those that no request waits for any more.
func (h *Host) reportDemand(time.Time) {
	waiting := map[string]bool{}
	for _, demand := range h.admission.Demands() {
		model, adapter := splitQueueName(demand.Model)
		if isServiceQueue(demand.Model) {
			continue
		}
		waiting[demand.Model] = true
		h.loading.RecordDemand(model, adapter, demand.Waiting, demand.EarliestDeadline)
	}
	for name := range h.previouslyWaiting {
		if !waiting[name] {
			model, adapter := splitQueueName(name)
			h.loading.RecordDemand(model, adapter, 0, time.Time{})
		}
	}
	h.previouslyWaiting = waiting
}
