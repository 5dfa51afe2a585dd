package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	// maxSends bounds the sends of one request, those that did not run included.
	maxSends = 4
	// maxDials bounds the upstreams to which no connection could be opened.
	maxDials = 6
	// notRunPause is the time before a request that an upstream did not run is
	// sent again, when no other upstream is left.
	notRunPause = 60 * time.Millisecond
	// runTime is kept of a caller's patience for the run itself.
	runTime = 250 * time.Millisecond
	// drainRun is the time for a run that must be left when a request that waits
	// is not refused by a host that shuts down.
	drainRun = 4 * time.Second
	// unknownWait is how long a request waits without an estimate.
	unknownWait = 700 * time.Millisecond
	// adapterTries bounds the calls for an adapter.
	adapterTries = 3
	// adapterPause separates them, where the coordinator names no longer time.
	adapterPause = 80 * time.Millisecond
	// priorityBase leaves room for more urgent work of the system's own.
	priorityBase = 2
	maxPriority  = 9
)

// dispatcher sends one request until it is answered or given up.
type dispatcher struct {
	*inbound
	ctx   context.Context
	model coordinator.ModelKey
	tried map[string]bool // upstreams that failed for this request
	// sends counts the sends after which the upstream may have begun to read
	// the request; runs counts those that may have run.
	sends, runs, dials int
	relay              relay
}

// dispatch sends the request on. It returns a refusal if nothing was answered.
func (e *inbound) dispatch() *refusal {
	ctx, cancel := context.WithDeadline(e.http.Context(), e.deadline)
	defer cancel()
	d := &dispatcher{
		inbound: e, ctx: ctx, tried: map[string]bool{},
		model: coordinator.ModelKey{Service: e.service.Name, Model: e.request.Model},
	}
	e.gateway.exchanger.budget.RecordRequest(e.begun, e.service.Name)
	if d.isEngine() {
		e.gateway.exchanger.waiting.arrived(d.model, d.request.Adapter)
	}
	for {
		candidate, refused := d.find()
		if refused != nil {
			return d.giveUp(refused)
		}
		again, refused := d.send(candidate)
		if !again {
			return d.giveUp(refused)
		}
	}
}

func (d *dispatcher) isEngine() bool { return d.service.Engine != nil && d.request.Model != "" }

// giveUp corrects a refusal for what has happened before it.
func (d *dispatcher) giveUp(r *refusal) *refusal {
	if r == nil {
		return nil
	}
	if d.relay.begun {
		d.record.status, d.record.reason = statusBrokenOff, r.reason
		panic(http.ErrAbortHandler) // the caller must see that the answer is not whole
	}
	if d.runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
		r.status, r.retryAfter = http.StatusBadGateway, 0
	}
	if d.runs > 0 {
		d.charged = false // it may have run: the cost is spent
	}
	return r
}

// find chooses an upstream, waiting for one if need be.
func (d *dispatcher) find() (*Candidate, *refusal) {
	if d.isEngine() {
		return d.findEngine()
	}
	candidates := d.gateway.directory.Candidates(d.service.Name, "", "")
	candidate := choose(candidates, d.request, d.gateway.settings.DataCenter, d.tried)
	if candidate == nil && len(candidates) > 0 && d.runs == 0 {
		clock.Sleep(d.ctx, notRunPause)
		clear(d.tried)
		candidate = choose(candidates, d.request, d.gateway.settings.DataCenter, d.tried)
	}
	if candidate == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no upstream", retryAfter: shortRetry}
	}
	return candidate, nil
}

// findEngine chooses an engine that has the model and the adapter.
func (d *dispatcher) findEngine() (*Candidate, *refusal) {
	asked := 0
	for {
		changed := d.gateway.directory.Changed()
		candidates := d.gateway.directory.Candidates(d.service.Name, d.request.Model, d.request.Adapter)
		candidate := choose(candidates, d.request, d.gateway.settings.DataCenter, d.tried)
		switch {
		case candidate == nil && len(candidates) > 0 && d.runs == 0:
			clock.Sleep(d.ctx, notRunPause)
			clear(d.tried)
		case candidate == nil || candidate.InBackoff:
			// Nothing that works: another replica may become ready.
		case candidate.HasAdapter:
			return candidate, nil
		default:
			if refused := d.askAdapter(&asked); refused != nil {
				return nil, refused
			}
			continue
		}
		if refused := d.awaitModel(changed); refused != nil {
			return nil, refused
		}
	}
}

// askAdapter has the adapter loaded by the coordinator.
func (d *dispatcher) askAdapter(asked *int) *refusal {
	*asked++
	reply, err := d.gateway.exchanger.loadAdapter(d.ctx, d.model, d.request.Adapter)
	if err == nil && reply.Upstream != "" {
		return nil
	}
	reason, pause := errorText(err), adapterPause
	if err == nil {
		reason = reply.Reason
		pause = max(pause, time.Duration(reply.RetryInMS)*time.Millisecond)
		if pause > d.patienceLeft() && reply.RetryInMS > 0 {
			return &refusal{status: http.StatusServiceUnavailable, reason: "adapter not loaded in time: " + reason, retryAfter: pause}
		}
	}
	d.gateway.log.Info("Adapter not loaded.", "request", d.request.ID, "model", d.request.Model,
		"adapter", d.request.Adapter, "asked", *asked, "reason", reason)
	if d.ctx.Err() != nil || (*asked >= adapterTries && (err != nil || reply.RetryInMS == 0)) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "adapter not loaded: " + reason, retryAfter: shortRetry}
	}
	clock.Sleep(d.ctx, pause)
	return nil
}

// awaitModel waits a moment for a change if the model can be ready in time.
func (d *dispatcher) awaitModel(changed <-chan struct{}) *refusal {
	g := d.gateway
	done := g.exchanger.waiting.wait(d.model, d.begun)
	defer done()
	g.exchanger.hurry()
	now := time.Now()
	left := d.patienceLeft()
	readyIn, known := g.exchanger.waiting.estimate(now, d.model)
	switch {
	case d.ctx.Err() != nil:
		return d.timedOut()
	case known && readyIn > left:
		return &refusal{status: http.StatusServiceUnavailable, reason: "model not ready in time", retryAfter: max(shortRetry, readyIn)}
	case g.endsWithin(drainRun):
		return &refusal{status: http.StatusServiceUnavailable, reason: "shutting down", retryAfter: shortRetry}
	case left <= 0, !known && now.Sub(d.begun) > unknownWait:
		return &refusal{status: http.StatusServiceUnavailable, reason: "model not ready", retryAfter: limitedRetry}
	}
	timer := time.NewTimer(exchangeBusy)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-d.ctx.Done():
	}
	return nil
}

// patienceLeft returns how long the request may wait before its run begins.
func (d *dispatcher) patienceLeft() time.Duration {
	patience := d.deadline.Sub(d.begun)
	if !d.relay.begun {
		patience = min(patience, d.route.CallerTimeout())
	}
	return patience - time.Since(d.begun) - runTime
}

// timedOut is the answer when time is up or the caller has left, who gets none.
func (d *dispatcher) timedOut() *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: "time is up before a run", retryAfter: shortRetry}
	if d.runs > 0 {
		r = &refusal{status: http.StatusGatewayTimeout, reason: "time is up"}
	}
	if d.http.Context().Err() != nil {
		r.reason = reasonCallerGone
	}
	return r
}

// send makes one send. Again says that another one is to be tried.
func (d *dispatcher) send(candidate *Candidate) (again bool, refused *refusal) {
	if d.sends >= maxSends || d.dials >= maxDials {
		return false, &refusal{status: http.StatusServiceUnavailable, reason: "upstreams refused", retryAfter: shortRetry}
	}
	if d.sends > 0 && !d.gateway.exchanger.budget.Allow(time.Now(), d.service.Name) {
		return false, &refusal{status: http.StatusServiceUnavailable, reason: "retry budget used up", retryAfter: limitedRetry}
	}
	id := candidate.Upstream.ID
	d.record.upstream = id
	leave := d.gateway.directory.TrackRequest(id, d.request.Model, d.request.Adapter)
	defer leave()
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	answer, err := d.gateway.pool.Do(ctx, d.message(candidate.Upstream))
	if err != nil {
		return d.afterFailure(id, err)
	}
	defer answer.Close()
	d.sends++
	d.record.sends++
	switch d.gateway.dialect.Classify(d.request.ID, answer.Status, answer.Header) {
	case call.NotRun:
		return d.afterNotRun(id, answer)
	case call.Unverified:
		d.runs++
		return d.afterLoss(id, "answer not understood", OutcomeFailed)
	}
	d.runs++
	return d.pass(id, answer)
}

func (d *dispatcher) message(to *catalog.Upstream) *upstream.Request {
	send := &call.Attempt{
		Request: d.request, Deadline: time.Until(d.deadline), Upstream: to, Priority: -1, LastEventID: d.relay.lastEventID,
	}
	if d.workspace != nil {
		send.Workspace = d.workspace.Name
	}
	if d.isEngine() {
		send.Priority = min(maxPriority, priorityBase+d.priority())
	}
	return &upstream.Request{
		Key: to.ID, Address: to.Address, Method: d.http.Method, Target: d.http.RequestURI, Host: d.http.Host,
		Header: d.gateway.dialect.UpstreamHeader(d.http.Header, send), Body: d.body,
	}
}

func (d *dispatcher) priority() int {
	if d.workspace != nil && d.workspace.Priority >= 0 {
		return d.workspace.Priority
	}
	return d.route.Priority
}

// afterFailure decides after a send without an answer.
func (d *dispatcher) afterFailure(id string, err error) (bool, *refusal) {
	var dial *upstream.DialError
	if errors.As(err, &dial) {
		d.dials++
		d.tried[id] = true
		if d.ctx.Err() != nil {
			return false, d.timedOut()
		}
		d.gateway.directory.RecordOutcome(id, OutcomeUnreachable)
		d.log("No connection.", id, err)
		return true, nil
	}
	d.sends++
	d.record.sends++
	d.runs++
	if d.ctx.Err() != nil {
		return false, d.timedOut()
	}
	d.gateway.pool.CloseIdle(id)
	d.log("Answer lost.", id, err)
	return d.afterLoss(id, "answer lost", OutcomeConnectionLost)
}

// afterNotRun decides after an upstream stated that it did not run the request.
func (d *dispatcher) afterNotRun(id string, answer *upstream.Response) (bool, *refusal) {
	if _, err := drain(answer); err != nil {
		d.log("Refusal not read whole.", id, err)
	}
	d.tried[id] = true
	if d.gateway.dialect.Misdirected(answer.Status) && d.isEngine() {
		d.gateway.directory.RecordMissing(id, d.request.Model, d.request.Adapter)
	}
	d.gateway.log.Info("Upstream did not run the request.", "request", d.request.ID, "upstream", id, "status", answer.Status,
		"sends", d.sends)
	return true, nil
}

// afterLoss decides after a run whose answer is lost or broken.
func (d *dispatcher) afterLoss(id, reason string, outcome Outcome) (bool, *refusal) {
	d.gateway.directory.RecordOutcome(id, outcome)
	if outcome == OutcomeConnectionLost {
		d.gateway.exchanger.crashes.note(time.Now(), d.fingerprint())
	}
	d.tried[id] = true
	if d.route.Repeatable() && d.runs < d.route.MaxUpstreams && d.ctx.Err() == nil {
		return true, nil
	}
	return false, &refusal{status: http.StatusBadGateway, reason: reason}
}

func (d *dispatcher) log(message, id string, err error) {
	d.gateway.log.Info(message, "request", d.request.ID, "upstream", id, "sends", d.sends, "runs", d.runs, "error", err.Error())
}
