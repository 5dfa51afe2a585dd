package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coldstart"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/presence"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
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
	// maxLoggedSegments bounds the segments of a prompt that a log line names.
	maxLoggedSegments = 16
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

// handleSendError decides what follows a send without a response.
func (d *dispatcher) handleSendError(id string, err error) (bool, *refusal) {
	var unwanted *upstream.UnwantedError
	var dial *upstream.DialError
	notSent := errors.As(err, &unwanted) || errors.As(err, &dial)
	if notSent && d.isCancelledRun() {
		return d.handleCancelledRun(id)
	}
	if unwanted != nil {
		return false, d.timedOut()
	}
	if dial != nil {
		d.dials++
		d.tried[id] = true
		if d.ctx.Err() != nil {
			return false, d.timedOut()
		}
		d.gateway.registry.RecordOutcome(id, OutcomeUnreachable)
		if hasEnded(err) {
			d.gateway.recordCrash(d.upstream, uncertainTime, err)
		}
		d.gateway.registry.learnUnreachable(id)
		d.log("No connection.", id, err)
		return true, nil
	}
	d.sends++
	d.record.sends++
	d.runs++
	return d.handleLostAnswer(id, err)
}

// handleLostAnswer decides what follows a send without an answer: its connection ended, or what
// came is no answer.
func (d *dispatcher) handleLostAnswer(id string, err error) (bool, *refusal) {
	if d.ctx.Err() != nil {
		d.gateway.slots.recordLost(d)
		return false, d.timedOut()
	}
	if d.isCancelledRun() {
		return d.handleCancelledRun(id)
	}
	d.gateway.connections.CloseIdle(id)
	d.log("Answer lost.", id, err)
	if !isConnectionLoss(err) {
		return d.handleLostRun(id, "answer not understood", OutcomeMalformed)
	}
	return d.handleLostRun(id, "answer lost", OutcomeConnectionLost)
}

// isConnectionLoss reports whether a response ended because its connection was lost, as by a
// crash of the upstream. One that sends a malformed response has not crashed.
func isConnectionLoss(err error) bool {
	var incomplete *upstream.IncompleteResponseError
	return errors.As(err, &incomplete) && !isMalformed(err)
}

func isMalformed(err error) bool {
	var malformed *upstream.MalformedResponseError
	return errors.As(err, &malformed)
}

// isCancelledRun reports whether the current run was cancelled because the request is
// quarantined.
func (d *dispatcher) isCancelledRun() bool {
	var quarantined *QuarantinedRunError
	return errors.As(context.Cause(d.runCtx), &quarantined)
}

// handleCancelledRun refuses the request of a run that was cancelled. It says nothing of the
// upstream.
func (d *dispatcher) handleCancelledRun(id string) (bool, *refusal) {
	d.log("Run cancelled.", id, context.Cause(d.runCtx))
	if refused := d.checkQuarantine(); refused != nil {
		return false, refused
	}
	return false, &refusal{status: http.StatusBadGateway, reason: "request was quarantined"}
}

// handleNotRun records that an upstream stated that it did not run the request. A malformed
// statement is not believed; one whose body does not arrive is, as its head was complete.
func (d *dispatcher) handleNotRun(id string, response *upstream.Response) (bool, *refusal) {
	response.RecordRefused()
	err := response.Discard()
	if isMalformed(err) {
		d.runs++
		return d.handleLostAnswer(id, err)
	}
	if err != nil {
		d.log("Failed to read the body of a refusal.", id, err)
	}
	d.recordStatement(response)
	d.tried[id] = true
	misdirected := d.gateway.protocol.Misdirected(response.Status)
	if misdirected {
		d.returnCold()
	}
	switch {
	case misdirected && d.isEngine():
		d.gateway.registry.RecordMissing(id, d.request.Model, d.request.Adapter)
	case !misdirected:
		d.gateway.registry.RecordRefused(d.upstream)
		d.gateway.slots.recordFull(d, id, d.upstream.Slots)
	}
	d.gateway.log.Info("Upstream did not run the request.", "request", d.request.ID, "upstream", id, "status", response.Status,
		"sends", d.sends)
	return true, nil
}

// handleLostRun decides what follows a run whose response was lost or incomplete. The
// request is sent again only if its route allows another run.
func (d *dispatcher) handleLostRun(id, reason string, outcome Outcome) (bool, *refusal) {
	d.gateway.registry.RecordOutcome(id, outcome)
	if outcome == OutcomeConnectionLost {
		d.recordLostRun()
	}
	d.tried[id] = true
	if d.route.Repeatable() && d.runs < d.route.MaxUpstreams && d.ctx.Err() == nil && d.canContinue() && !d.isSuspected() {
		return true, nil
	}
	return false, &refusal{status: http.StatusBadGateway, reason: reason}
}

// canContinue reports whether another run can continue where the caller's copy ends.
func (d *dispatcher) canContinue() bool { return !d.relay.started || d.relay.lastEventID != "" }

// isSuspected reports whether the request may crash a second upstream. A trial is one run.
func (d *dispatcher) isSuspected() bool {
	return d.trial != nil || d.gateway.exchanger.quarantine.isSuspected(d.keys, d.gateway.exchanger.Reached())
}

// recordLostRun records a run that may have crashed its upstream.
func (d *dispatcher) recordLostRun() {
	d.logLostRun()
	d.gateway.metrics.lostRuns.Inc()
	d.gateway.exchanger.quarantine.recordLostRun(d.lostRun())
	d.gateway.recordCrash(d.upstream, sameCrashTime, &LostRunError{Request: d.request.ID})
	d.gateway.exchanger.exchangeSoon()
}

// lostRun returns the current run, for the case that it was lost.
func (d *dispatcher) lostRun() quarantine.LostRun {
	run := quarantine.LostRun{
		ID: runID(d.request.ID, d.runs), Upstream: d.upstream.ID, StartedMS: d.upstream.StartedMS, Request: d.keys.request,
	}
	if d.outputAt.IsZero() || time.Since(d.outputAt) < answeredAfter {
		run.Segments = d.keys.segments
	}
	return run
}

// LostRunError reports that the connection of another run at the upstream was lost.
type LostRunError struct{ Request string }

// Error implements error.
func (e *LostRunError) Error() string {
	return "the run of " + e.Request + " was lost at the same time"
}

func (d *dispatcher) log(message, id string, err error) {
	d.gateway.log.Info(message, "request", d.request.ID, "upstream", id, "sends", d.sends, "runs", d.runs, "error", err.Error())
}

// logLostRun logs what the runs that an upstream's crash ended may have in common: the
// shared segments of their prompts, and how far the run was.
func (d *dispatcher) logLostRun() {
	now := time.Now()
	segments := d.request.SharedSegments()
	fields := []any{"request", d.request.ID, "upstream", d.upstream.ID, "fingerprint", strconv.FormatUint(uint64(d.keys.request), 16),
		"segments", strings.Join(segments[:min(len(segments), maxLoggedSegments)], ","), "sent_ms", now.Sub(d.sentAt).Milliseconds()}
	if !d.outputAt.IsZero() {
		fields = append(fields, "output_ms", now.Sub(d.outputAt).Milliseconds())
	}
	d.gateway.log.Info("Run lost.", fields...)
}
