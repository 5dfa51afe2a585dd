package gateway

import (
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// notRunRetryDelay is the delay before a request that no upstream ran is sent
	// again to upstreams that were already tried.
	notRunRetryDelay = 60 * time.Millisecond
	// minRunTime is the part of the caller timeout that is reserved for the run
	// itself.
	minRunTime = 250 * time.Millisecond
	// maxAdapterCalls bounds the coordinator calls of a request to load an adapter.
	maxAdapterCalls = 3
	// adapterRetryDelay is the minimum delay between such calls; the coordinator may
	// ask for a longer one.
	adapterRetryDelay = 80 * time.Millisecond
	// maxUnusableEngines bounds the calls that name an engine which this host can't use.
	maxUnusableEngines = int(maxUnestimatedWait / adapterRetryDelay)
)

// selectUpstream selects an upstream, waiting for one if necessary.
func (d *dispatcher) selectUpstream() (*Candidate, *refusal) {
	if d.isEngine() {
		return d.selectEngine()
	}
	for {
		choice, refused := d.selectSlot("")
		if refused != nil {
			return nil, refused
		}
		if choice.again {
			continue
		}
		candidates, candidate := choice.candidates, choice.selected
		if candidate == nil && len(candidates) > 0 && d.runs == 0 {
			clock.Sleep(d.ctx, notRunRetryDelay)
			clear(d.tried)
			continue
		}
		if candidate != nil {
			return candidate, nil
		}
		if refused := d.refuseEvacuated(); refused != nil {
			return nil, refused
		}
		waited, refused := d.waitForCold("")
		if !waited && refused == nil {
			waited, refused = d.waitForPaused("")
		}
		if refused != nil {
			return nil, refused
		}
		if !waited {
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: shortRetryAfter}
		}
	}
}

// waitForPaused waits until an upstream that wants no requests now takes requests again.
// waited is false if there is no such upstream. It returns a refusal with the time at which
// one does if that is beyond the route's objective: the caller, or another host, can use
// the time better.
func (d *dispatcher) waitForPaused(model string) (waited bool, refused *refusal) {
	resumesIn, paused := d.gateway.registry.ResumesIn(d.service.Name, model)
	if !paused {
		return false, nil
	}
	left := min(d.route.Objective-time.Since(d.startedAt), d.remainingWait())
	if resumesIn > left {
		return false, &refusal{status: http.StatusServiceUnavailable, reason: "upstreams want no requests yet", retryAfter: max(shortRetryAfter, resumesIn)}
	}
	if !clock.Sleep(d.ctx, resumesIn) {
		return false, d.timedOut()
	}
	if d.runs == 0 {
		clear(d.tried)
	}
	return true, nil
}

// selectEngine selects an engine that has the model and the adapter loaded. Each pass
// ends with an engine, a refusal or a wait, because what it lacks changes only when other
// goroutines run.
func (d *dispatcher) selectEngine() (*Candidate, *refusal) {
	var adapter adapterWait
	for {
		changed := d.gateway.registry.Changed()
		choice, refused := d.selectSlot(d.request.Adapter)
		if refused != nil {
			return nil, refused
		}
		if choice.again {
			continue
		}
		candidates, candidate := choice.candidates, choice.selected
		if len(candidates) == 0 {
			if refused := d.refuseEvacuated(); refused != nil {
				return nil, refused
			}
			waited, refused := d.waitForCold(d.request.Model)
			if !waited && refused == nil {
				waited, refused = d.waitForPaused(d.request.Model)
			}
			if refused != nil {
				return nil, refused
			}
			if waited {
				continue
			}
		}
		switch {
		case candidate == nil && len(candidates) > 0 && d.runs == 0:
			clock.Sleep(d.ctx, notRunRetryDelay)
			clear(d.tried)
		case candidate == nil || candidate.InBackoff:
			// Nothing usable now: another replica may become ready.
		case candidate.HasAdapter:
			return candidate, nil
		default:
			ready, refused := d.requestAdapter(&adapter)
			if ready != nil || refused != nil {
				return ready, refused
			}
			continue // requestAdapter has waited
		}
		if refused := d.waitForModel(changed); refused != nil {
			return nil, refused
		}
	}
}

// adapterWait counts what a request has done to get its adapter.
type adapterWait struct {
	calls    int // calls to the coordinator
	unusable int // of these, those that named an engine which this host can't use
}

// requestAdapter asks the coordinator to load the adapter. It returns the engine that has
// it, a refusal if the adapter can't be loaded in time, or neither after the time until
// the next call is due.
func (d *dispatcher) requestAdapter(wait *adapterWait) (*Candidate, *refusal) {
	wait.calls++
	defer addElapsed(&d.record.adapterWait, time.Now())
	d.record.adapterCalls++
	d.gateway.metrics.adapterCalls.Inc()
	d.departure.enter(stageAdapter)
	reply, err := d.gateway.exchanger.loadAdapter(d.ctx, d.modelKey, d.request.Adapter)
	if d.ctx.Err() != nil {
		return nil, d.timedOut()
	}
	if err == nil && reply.Upstream != "" {
		return d.engineWithAdapter(wait, reply.Upstream)
	}
	reason, delay := errorText(err), adapterRetryDelay
	if err == nil {
		reason = reply.Reason
		delay = max(delay, time.Duration(reply.RetryInMS)*time.Millisecond)
		if delay > d.remainingWait() && reply.RetryInMS > 0 {
			return nil, &refusal{status: http.StatusServiceUnavailable, reason: "adapter not loaded in time: " + reason, retryAfter: delay}
		}
	}
	d.gateway.log.Info("Adapter not loaded.", "request", d.request.ID, "model", d.request.Model,
		"adapter", d.request.Adapter, "asked", wait.calls, "reason", reason)
	if wait.calls >= maxAdapterCalls && (err != nil || reply.RetryInMS == 0) {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "adapter not loaded: " + reason, retryAfter: shortRetryAfter}
	}
	clock.Sleep(d.ctx, delay)
	return nil, nil
}

// engineWithAdapter returns the engine on which the coordinator says that the adapter is
// loaded. If this host can't use that engine, because it failed lately, stated that it
// lacks the adapter or is not known here, engineWithAdapter returns neither an engine nor
// a refusal after adapterRetryDelay, and a refusal after maxUnusableEngines such calls.
func (d *dispatcher) engineWithAdapter(wait *adapterWait, id string) (*Candidate, *refusal) {
	for _, candidate := range d.gateway.registry.Candidates(d.service.Name, d.request.Model, d.request.Adapter) {
		if candidate.Upstream.ID == id && candidate.HasAdapter && !candidate.InBackoff && !d.tried[id] {
			return &candidate, nil
		}
	}
	wait.unusable++
	d.gateway.log.Info("Engine with the adapter is not usable here.", "request", d.request.ID, "model", d.request.Model,
		"adapter", d.request.Adapter, "upstream", id, "asked", wait.calls)
	if wait.unusable >= maxUnusableEngines || d.remainingWait() <= 0 {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "engine with the adapter not usable", retryAfter: shortRetryAfter}
	}
	d.gateway.exchanger.exchangeSoon()
	clock.Sleep(d.ctx, adapterRetryDelay)
	return nil, nil
}

// waitForModel waits for a change of the registry, at most busyExchangeInterval. It
// returns a refusal if the model can't be ready in time.
func (d *dispatcher) waitForModel(changed <-chan struct{}) *refusal {
	g := d.gateway
	d.departure.enter(stageModel)
	defer addElapsed(&d.record.modelWait, time.Now())
	done := g.exchanger.demand.wait(d.modelKey, d.startedAt)
	defer done()
	g.exchanger.exchangeSoon()
	now := time.Now()
	left := d.remainingWait()
	readyIn, known := g.exchanger.demand.estimate(now, d.modelKey)
	switch {
	case d.ctx.Err() != nil:
		return d.timedOut()
	case known && readyIn > left:
		return &refusal{status: http.StatusServiceUnavailable, reason: "model not ready in time", retryAfter: max(shortRetryAfter, readyIn)}
	case g.shutdown.tooLateToWait():
		return shuttingDown()
	case left <= 0, !known && d.waitedWithoutEstimate(now):
		return &refusal{status: http.StatusServiceUnavailable, reason: "model not ready", retryAfter: limitedRetryAfter}
	}
	timer := time.NewTimer(busyExchangeInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-d.ctx.Done():
	}
	return nil
}

// addElapsed adds the time since began to a sum.
func addElapsed(sum *time.Duration, began time.Time) { *sum += time.Since(began) }

// remainingWait returns how long the request may still wait before its run must
// begin. Until a stream has started, the route's caller timeout applies too.
func (d *dispatcher) remainingWait() time.Duration {
	timeout := d.deadline.Sub(d.startedAt)
	if !d.relay.started {
		timeout = min(timeout, d.route.CallerTimeout())
	}
	return timeout - time.Since(d.startedAt) - minRunTime
}

// timedOut returns the refusal after the deadline passed or the caller disconnected;
// a disconnected caller is sent nothing.
func (d *dispatcher) timedOut() *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: "time is up before a run", retryAfter: shortRetryAfter}
	if d.gateway.shutdown.ending() {
		r = shuttingDown()
	}
	if d.runs > 0 {
		r = &refusal{status: http.StatusGatewayTimeout, reason: "time is up"}
	}
	if d.httpRequest.Context().Err() != nil {
		r.reason = reasonCallerGone
	}
	return r
}
