package gateway

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/pace"
)

const (
	// paceConfirmation is the time without a confirmation of the shared paces after which a
	// host asks for all of them: it may have missed that one was withdrawn.
	paceConfirmation = 5 * time.Second
	// maxCallerWrite is the time for passing events on to the caller beyond which the pause
	// before the next event says nothing of the upstream.
	maxCallerWrite = 20 * time.Millisecond
)

func paceIncarnation(upstream *catalog.Upstream) pace.Incarnation {
	return pace.Incarnation{ID: upstream.ID, StartedMS: upstream.StartedMS}
}

// BeginRun records that a request is being sent to an upstream, to measure its pace until
// EndRun.
func (r *Registry) BeginRun(to *Candidate, promptTokens int) *pace.Run {
	load := float64(to.Load) / float64(max(1, to.Upstream.Slots))
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paces.Begin(r.now(), to.Upstream.Service, paceIncarnation(to.Upstream), load, promptTokens)
}

// RecordEvents records that events of a run arrived. run may be nil.
func (r *Registry) RecordEvents(run *pace.Run, count int) {
	if run == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paces.Events(r.now(), run, count)
}

// RecordCallerDelay records that this host did not read the events of a run until now because
// the caller did not. run may be nil.
func (r *Registry) RecordCallerDelay(run *pace.Run) {
	if run == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paces.Skip(r.now(), run)
}

// EndRun ends a run; a second call has no effect. complete reports that its response was
// complete and successful. run may be nil.
func (r *Registry) EndRun(run *pace.Run, complete bool) {
	if run == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paces.End(r.now(), run, complete)
}

// paceDump returns the upstreams that are notably faster or slower than usual.
func (r *Registry) paceDump() []pace.Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paces.Dump(r.now())
}

// takePaces returns the pace samples to report and the version of the shared paces.
func (r *Registry) takePaces() (samples []coordinator.PaceSample, version int64) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paces.Overdue(now)
	r.sweepSlowStart(now)
	for _, s := range r.paces.TakeSamples(now) {
		samples = append(samples, coordinator.PaceSample{
			Incarnation: coordinator.Incarnation{Upstream: s.ID, StartedMS: s.StartedMS}, Ratio: s.Ratio, Weight: s.Weight,
		})
	}
	if r.pacesVersion == 0 || now-r.pacesAt > paceConfirmation {
		return samples, -1
	}
	return samples, r.pacesVersion
}

// applyPaces applies the paces that the coordinator shares. A coordinator of an earlier
// version of the program shares none; those known then fade.
func (r *Registry) applyPaces(reply *coordinator.ExchangeReply) {
	r.pacesVersion = reply.PaceVersion
	if reply.PaceVersion == 0 {
		return
	}
	now := r.now()
	r.pacesAt = now
	r.paces.ConfirmShared(now)
	if !reply.PacesFull && len(reply.Paces) == 0 {
		return
	}
	paces := make([]pace.Shared, 0, len(reply.Paces))
	for _, p := range reply.Paces {
		paces = append(paces, pace.Shared{Incarnation: pace.Incarnation{ID: p.Upstream, StartedMS: p.StartedMS}, Ratio: p.Ratio, Weight: p.Weight})
	}
	r.paces.ApplyShared(now, paces, reply.PacesFull)
}
