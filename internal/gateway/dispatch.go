package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coldstart"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/presence"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	// maxSends bounds how often a request is sent, including sends that upstreams did
	// not run.
	maxSends = 4
	// maxDials bounds the failed connection attempts of a request.
	maxDials = 6
	// maxForeignResponses bounds the responses to other requests that are skipped.
	maxForeignResponses = 2
	// maxWithheld bounds the choices of an upstream that was withdrawn before the send.
	maxWithheld = 16
	// enginePriorityOffset keeps the most urgent engine priorities free for the
	// system's own work.
	enginePriorityOffset = 2
	maxPriority          = 9
)

// dispatcher sends one request to upstreams until one responds or the request is
// refused.
type dispatcher struct {
	*inbound
	ctx      context.Context
	modelKey coordinator.ModelKey
	tried    map[string]bool // upstreams that failed to serve this request
	// sends counts the sends after which an upstream may have begun to read the
	// request, runs those after which it may have run, and dials the failed
	// connection attempts.
	sends, runs, dials int
	// withheld counts the sends that were given up because of a statement that arrived
	// after the upstream was chosen.
	withheld int
	// releaseSlot releases the slot that was taken for the next send; nil: none.
	releaseSlot func()
	entry       *admission.Entry // of the last wait for a slot
	// coldPermit is that of the current run, if its upstream is cold.
	coldPermit coldstart.Permit
	relay      relay
	upstream   *catalog.Upstream // of the current run
	// candidate is the choice of upstream, run the measurement of its pace; nil before the
	// send.
	candidate *Candidate
	run       *pace.Run
	runCtx    context.Context // of the current run
	// stopWatch ends the watch for a quarantine that cancels the current run.
	stopWatch func()
	// sentAt is when the current run was sent, outputAt when its first event arrived; zero:
	// not yet.
	sentAt, outputAt time.Time
	sentSinceBoot    time.Duration // sentAt on the boot clock
	survived         bool          // the upstream has been answering the current run for answeredAfter
}

// dispatch sends the request to upstreams. It returns a refusal if the caller has not
// received a response.
func (in *inbound) dispatch() *refusal {
	ctx, cancel := context.WithDeadline(in.httpRequest.Context(), in.deadline)
	defer cancel()
	defer in.gateway.shutdown.onEnd(cancel)()
	d := in.newDispatcher(ctx)
	defer d.dropSlot()
	defer func() {
		if in.trial != nil {
			in.trial.ran = d.runs > 0
			if d.ctx.Err() != nil {
				in.trial.abandoned = d.upstream
			}
		}
	}()
	in.gateway.exchanger.retryBudget.RecordRequest(in.startedAt, in.service.Name)
	if d.isEngine() {
		in.gateway.exchanger.demand.recordArrival(d.modelKey, d.request.Adapter)
	}
	for {
		d.departure.enter(stageSelect)
		if presence.Left(d.ctx) {
			return d.finalRefusal(d.timedOut())
		}
		candidate, refused := d.selectUpstream()
		if refused != nil {
			return d.finalRefusal(refused)
		}
		if refused := d.checkQuarantine(); refused != nil {
			return d.finalRefusal(refused)
		}
		again, refused := d.send(candidate)
		d.dropSlot()
		if !again {
			return d.finalRefusal(refused)
		}
	}
}

func (in *inbound) newDispatcher(ctx context.Context) *dispatcher {
	return &dispatcher{
		inbound: in, ctx: ctx, tried: map[string]bool{},
		modelKey: coordinator.ModelKey{Service: in.service.Name, Model: in.request.Model},
	}
}

func (d *dispatcher) isEngine() bool { return d.service.Engine != nil && d.request.Model != "" }

// finalRefusal adjusts a refusal to the sends before it: 429 and 503 promise that the
// request has not run. It aborts the connection if a part of a stream was sent.
func (d *dispatcher) finalRefusal(r *refusal) *refusal {
	if r == nil {
		return nil
	}
	if d.relay.started {
		d.record.status, d.record.reason = statusTruncated, r.reason
		panic(http.ErrAbortHandler) // the caller must see that the response is incomplete
	}
	if d.runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) {
		r.status, r.retryAfter = http.StatusBadGateway, 0
	}
	if d.runs > 0 {
		d.charged = false // the request may have run, so its cost is not refunded
	}
	return r
}

// checkSend refuses a request that must not be sent, whatever the upstream.
func (d *dispatcher) checkSend() *refusal {
	if d.gateway.shutdown.tooLateToSend() {
		return shuttingDown()
	}
	if d.sends >= maxSends || d.dials >= maxDials || d.withheld >= maxWithheld {
		return &refusal{status: http.StatusServiceUnavailable, reason: "upstreams refused", retryAfter: shortRetryAfter}
	}
	if d.sends > 0 && !d.gateway.exchanger.retryBudget.Allow(time.Now(), d.service.Name) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "retry budget used up", retryAfter: limitedRetryAfter}
	}
	return d.checkKey()
}

// send sends the request to one upstream. again reports that another attempt should
// follow.
func (d *dispatcher) send(candidate *Candidate) (again bool, refused *refusal) {
	if refused := d.checkSend(); refused != nil {
		return false, refused
	}
	id := candidate.Upstream.ID
	d.record.upstream = id
	d.upstream = candidate.Upstream
	defer d.trackSend(id)()
	d.candidate, d.run, d.record.choice = candidate, nil, candidate
	defer func() { d.gateway.registry.EndRun(d.run, false) }()
	ctx, cancel := context.WithCancelCause(d.ctx)
	defer cancel(nil)
	d.runCtx, d.stopWatch = ctx, d.gateway.exchanger.quarantine.watch(d.keys, cancel)
	defer d.stopWatch()
	d.departure.enter(stageSend)
	withheld := d.withheld
	response, err := d.gateway.connections.Do(ctx, d.upstreamRequest(candidate.Upstream))
	if d.withheld > withheld {
		return true, nil
	}
	if err != nil {
		return d.handleSendError(id, err)
	}
	defer response.Close()
	d.sends++
	d.record.sends++
	class, err := d.ownResponse(id, response)
	if err != nil {
		d.runs++
		return d.handleLostAnswer(id, err)
	}
	if class == call.NotRun {
		return d.handleNotRun(id, response)
	}
	d.runs++
	d.recordStatement(response)
	if class != call.Answered {
		return d.handleLostRun(id, "answer not understood", OutcomeFailed)
	}
	d.gateway.recordUpstreamAnswered(d.upstream, d.sentSinceBoot)
	d.departure.enter(stageResponse)
	return d.forward(id, response)
}

// ownResponse skips responses to other requests, which an upstream may send again, and
// returns the class of the response to this request. An error means that none came; the
// request may have run.
func (d *dispatcher) ownResponse(id string, response *upstream.Response) (call.ResponseClass, error) {
	for skipped := 0; ; skipped++ {
		class := d.gateway.protocol.Classify(d.request.ID, response.Status, response.Header)
		if class != call.Foreign || skipped == maxForeignResponses {
			return class, nil
		}
		d.gateway.metrics.foreignResponses.Inc()
		d.gateway.log.Info("Response to another request skipped.", "request", d.request.ID, "upstream", id, "status", response.Status)
		if err := response.SkipForeign(); err != nil {
			return class, err
		}
	}
}

func (d *dispatcher) upstreamRequest(to *catalog.Upstream) *upstream.Request {
	attempt := &call.Attempt{
		Request: d.request, Deadline: time.Until(d.deadline), Upstream: to, Priority: -1, LastEventID: d.relay.lastEventID,
	}
	if d.workspace != nil {
		attempt.Workspace = d.workspace.Name
	}
	if d.isEngine() {
		attempt.Priority = min(maxPriority, enginePriorityOffset+d.urgency())
	}
	return &upstream.Request{
		Key: to.ID, ID: d.request.ID, Address: to.Address, Method: d.httpRequest.Method, Target: d.httpRequest.RequestURI, Host: d.httpRequest.Host,
		Header: d.gateway.protocol.UpstreamHeader(d.httpRequest.Header, attempt), Body: d.body,
		BeforeSend: func() bool { return d.beforeSend(to) },
	}
}

// beforeSend reports whether the request is still to be sent, once there is a connection
// to the upstream.
func (d *dispatcher) beforeSend(to *catalog.Upstream) bool {
	if presence.Left(d.ctx) {
		return false
	}
	if d.checkKey() != nil {
		d.withheld++ // the next send is refused with the reason
		return false
	}
	if !d.gateway.registry.BeginSend(to) || !d.takeCold(to) {
		d.withheld++
		d.gateway.metrics.sendsWithheld.Inc()
		d.gateway.log.Info("Send withheld; the upstream leaves, wants no requests, is evacuated or cold.", "request", d.request.ID, "upstream", to.ID)
		return false
	}
	d.departure.countSend()
	d.gateway.registry.EndRun(d.run, false)
	d.run = d.gateway.registry.BeginRun(d.candidate, d.request.PromptTokens)
	d.sentAt, d.outputAt, d.survived = time.Now(), time.Time{}, false
	d.sentSinceBoot = d.gateway.exchanger.quarantine.now()
	return true
}

// recordStatement records what a response says of its upstream.
func (d *dispatcher) recordStatement(response *upstream.Response) {
	said := d.gateway.protocol.Statement(d.request.ID, response.Status, response.Header)
	d.gateway.recordStatement(d.upstream, said)
}

func (d *dispatcher) priority() int {
	if d.workspace != nil && d.workspace.Priority >= 0 {
		return d.workspace.Priority
	}
	return d.route.Priority
}

func (d *dispatcher) log(message, id string, err error) {
	d.gateway.log.Info(message, "request", d.request.ID, "upstream", id, "sends", d.sends, "runs", d.runs, "error", err.Error())
}
