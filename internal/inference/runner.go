package inference

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/presence"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/refusal"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	// suspectRetryDelay is the delay before a suspect, a request that may have
	// crashed an upstream, is offered to a replica again. It may run only where
	// no other suspect runs.
	suspectRetryDelay = 50 * time.Millisecond
	// crashDelay is the delay after a lost connection in which the crash is
	// confirmed.
	crashDelay = 100 * time.Millisecond
	// crashReportTimeout bounds the time that the answer to a request which may have
	// crashed an upstream waits for other hosts.
	crashReportTimeout = 600 * time.Millisecond
	// requeueDelay is the delay before a request queues again because the
	// replica that it was dispatched to is no longer available.
	requeueDelay = 20 * time.Millisecond
	// minTimeout is the shortest timeout with which an attempt is started.
	minTimeout = 5 * time.Millisecond
)

// Limiter reserves tokens from a workspace's allowance. It is implemented by
// *quota.Limiter.
type Limiter interface {
	Acquire(ctx context.Context, workspace string, tokens float64, deadline time.Time) (*quota.Reservation, error)
}

// Replicas lists the upstreams that have weights loaded, and records the use of
// weights and the demand for missing ones.
type Replicas interface {
	// Candidates returns the upstreams that have loaded the model and, when
	// adapter is not "", also the adapter.
	Candidates(model, adapter string) []routing.Candidate
	// RecordUse records a request for the weights.
	RecordUse(model, adapter string)
	// RecordMissing records that a request waits until its deadline for weights
	// that no upstream has loaded.
	RecordMissing(model, adapter string, deadline time.Time)
	// ConfirmLoaded records that an upstream responded with the weights.
	ConfirmLoaded(model, adapter, address string)
	// RecordNotLoaded records that an upstream refused a request because the
	// weights are not loaded.
	RecordNotLoaded(model, adapter, address string)
}

// Upstreams provides the clients of engines and records failed connections.
type Upstreams interface {
	// Engine returns the client of the engine at an address.
	Engine(address string) *engine.Client
	// ConnectionRefused records that a connection to the upstream was refused.
	ConnectionRefused(address string)
	// ConnectionLost records that the connection of a running request broke.
	ConnectionLost(address string)
	// ExchangeSuspicions exchanges the suspicions and isolated runs with the other
	// hosts. It returns when they have replied, after a bound that covers hosts which
	// do not reply, or when ctx ends.
	ExchangeSuspicions(ctx context.Context)
}

// Options are the dependencies of an Executor.
type Options struct {
	DataCenter string // data centre of this host
	Credential string // system credential presented to engines
	Clock      clock.Clock
	Limiter    Limiter
	Admission  *admission.Controller
	Replicas   Replicas
	Upstreams  Upstreams
	Tracker    *routing.Tracker
	Routing    routing.Params
	Suspects   *retry.Suspects
	Budgets    *retry.Budgets
	Retries    *retry.Metrics
	Watcher    *Watcher
	Logger     logr.Logger
}

// Executor implements Runner. It is safe for concurrent use.
type Executor struct{ options Options }

// NewExecutor returns an executor.
func NewExecutor(options Options) *Executor { return &Executor{options: options} }

// execution is the state of one request while it runs.
type execution struct {
	*Executor
	request     *Request
	sink        Sink
	fingerprint retry.Fingerprint
	prefixes    []uint64
	reservation *quota.Reservation
	tried       []string // addresses of the replicas tried since the request was last queued
	mayHaveRun  bool
	trial       *retry.SegmentTrial // of the request's segments; nil: none
	requeued    bool                // queued again at least once because no replica could take the request
	usedTokens  float64             // tokens that the current attempt has used, as counted so far
}

// Run implements Runner.
func (e *Executor) Run(ctx context.Context, request *Request, sink Sink) *problem.Error {
	x := &execution{
		Executor:    e,
		request:     request,
		sink:        sink,
		fingerprint: retry.NewFingerprint(request.Workspace, request.Path, request.Body),
		prefixes:    routing.PrefixHashes(weightsName(request.Model, request.Adapter), request.Prompt),
	}
	defer func() { x.trial.End(e.options.Clock.Now(), x.mayHaveRun) }()
	if refusal := x.checkQuarantine(); refusal != nil {
		return refusal
	}
	if refusal := x.reserve(ctx); refusal != nil {
		return refusal
	}
	defer x.releaseUnused()
	e.options.Replicas.RecordUse(request.Model, request.Adapter)
	e.options.Budgets.Route(request.Path).RecordRequest()
	return x.queueAndAttempt(ctx)
}

// weightsName returns the name that callers use for a model ("MODEL") or a model
// with an adapter ("MODEL:ADAPTER").
func weightsName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

// checkQuarantine returns the refusal of a quarantined request, or nil.
func (x *execution) checkQuarantine() *problem.Error {
	now, detail := x.options.Clock.Now(), "upstreams crashed while they ran this request"
	until, quarantined := x.options.Suspects.Quarantined(now, x.fingerprint)
	if !quarantined {
		detail = "upstreams crashed while they ran requests that share a message with this one"
		x.trial, until, quarantined = x.options.Suspects.Segments().Admit(now, x.request.Segments, x.trial)
	}
	if !quarantined {
		return nil
	}
	refusal := problem.New(problem.Quarantined, "%s", detail).WithRetryAfter(until.Sub(now))
	refusal.NotRun = !x.mayHaveRun
	return refusal
}

// reserve reserves the request's cost from the workspace's allowance.
func (x *execution) reserve(ctx context.Context) *problem.Error {
	reservation, err := x.options.Limiter.Acquire(ctx, x.request.Workspace, x.request.Cost(), x.request.Deadline)
	if err != nil {
		return refusal.FromQuota(ctx, err)
	}
	x.reservation = reservation
	x.request.Record.Add("quota", "reserved "+strconv.FormatFloat(x.request.Cost(), 'f', 0, 64)+" tokens")
	return nil
}

// releaseUnused returns a reservation that no attempt has used.
func (x *execution) releaseUnused() {
	if x.reservation != nil {
		x.reservation.Settle(0)
	}
}

// queueAndAttempt waits for a free slot at a replica and runs the request. It
// queues the request again when no replica could take it after its admission.
func (x *execution) queueAndAttempt(ctx context.Context) *problem.Error {
	for {
		if len(x.options.Replicas.Candidates(x.request.Model, x.request.Adapter)) == 0 {
			x.options.Replicas.RecordMissing(x.request.Model, x.request.Adapter, x.request.Deadline)
			x.recordDecision("loading", "no replica holds the weights; demand reported")
		}
		ticket, err := x.options.Admission.Admit(ctx, x.admissionRequest())
		if err != nil {
			return x.adjustNotRun(refusal.FromAdmission(ctx, err))
		}
		if waited := ticket.Wait(); waited >= time.Millisecond {
			x.recordDecision("admission", "waited "+waited.Round(time.Millisecond).String()+" for a place")
		}
		requeue, refusal := x.attempt(ctx)
		ticket.Done(outcomeOf(requeue, refusal))
		if !requeue {
			return refusal
		}
		x.requeued = true
		if !clock.Sleep(ctx, requeueDelay) {
			return x.contextRefusal(ctx)
		}
	}
}

// recordDecision adds a decision to the request's record, but only before the
// request is queued again, so that waiting for a load does not repeat the entries.
func (x *execution) recordDecision(part, detail string) {
	if !x.requeued {
		x.request.Record.Add(part, detail)
	}
}

func (x *execution) admissionRequest() admission.Request {
	priority := admission.Interactive
	if x.request.Priority == config.PriorityBatch {
		priority = admission.Batch
	}
	return admission.Request{
		ID:        x.request.ID,
		Model:     weightsName(x.request.Model, x.request.Adapter),
		Workspace: x.request.Workspace,
		Weight:    x.request.Config.Document.Workspaces[x.request.Workspace].Weight,
		Priority:  priority,
		Deadline:  x.request.Deadline,
		Cost:      x.request.Cost(),
	}
}

func outcomeOf(requeue bool, refusal *problem.Error) admission.Outcome {
	switch {
	case requeue:
		return admission.NotRun
	case refusal == nil:
		return admission.Completed
	default:
		return admission.Failed
	}
}

// attempt tries replicas until one has served the request or no retry is
// allowed. requeue is set when no replica remains at which the request may run.
func (x *execution) attempt(ctx context.Context) (requeue bool, refusal *problem.Error) {
	for {
		if presence.Left(ctx) {
			return false, x.contextRefusal(ctx)
		}
		if refusal := x.ensureReservation(ctx); refusal != nil {
			return false, refusal
		}
		run, address, refusal := x.selectReplica(ctx)
		if refusal != nil {
			return false, refusal
		}
		if run == nil {
			x.tried = x.tried[:0]
			return true, nil
		}
		if run.Isolated() {
			x.options.Upstreams.ExchangeSuspicions(ctx)
		}
		if !run.Begin(x.options.Clock.Now()) {
			run.Ended()
			clock.Sleep(ctx, suspectRetryDelay+rand.N(suspectRetryDelay)) // the next iteration detects an ended context
			continue
		}
		if run.Isolated() {
			x.options.Logger.Info("Suspect runs alone.", "request", x.request.ID, "fingerprint", x.fingerprint.String(), "upstream", address)
		}
		err := x.callEngine(ctx, address, run)
		x.settleAttempt(address, err)
		x.finishRun(run, address, err)
		if err == nil {
			return false, nil
		}
		if refusal, done := x.afterFailure(ctx, address, err); done {
			x.reportCrash(err)
			return false, refusal
		}
		x.tried = append(x.tried, address)
	}
}

// reportCrash tells the other hosts of the crash that a request may have caused before
// its caller is answered: the caller may repeat the request at any of them.
func (x *execution) reportCrash(err error) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if classify(err) == retry.ConnectionLost {
		clock.Sleep(ctx, crashDelay)
	}
	if x.options.Suspects.Suspected(x.options.Clock.Now(), x.fingerprint) {
		x.options.Upstreams.ExchangeSuspicions(ctx)
	}
}

// afterFailure decides whether a failed attempt is retried. If not, it returns
// the refusal and true.
func (x *execution) afterFailure(ctx context.Context, address string, err error) (*problem.Error, bool) {
	x.request.Record.Add("engine", address+": "+errorLine(err))
	if refusal := x.finalRefusal(ctx, err); refusal != nil {
		return refusal, true
	}
	class := classify(err)
	quarantined := x.mayCrashAgain()
	budget := x.options.Budgets.Route(x.request.Path)
	decision := x.options.Retries.Decide(retry.Attempt{
		Class:             class,
		Idempotent:        true, // generating a response again has no side effect besides its cost
		BytesToCaller:     boolToBytes(x.sink.Started()),
		TimeLeft:          x.request.Deadline.Sub(x.options.Clock.Now()),
		TimeNeeded:        minTimeout,
		BudgetLeft:        class == retry.RefusedNotRun || class == retry.ConnectFailed || budget.Available(),
		Quarantined:       quarantined,
		EarlierMayHaveRun: x.mayHaveRun,
	})
	x.mayHaveRun = decision.MayHaveRun
	if decision.Action != retry.Retry {
		return x.failureRefusal(decision, err), true
	}
	if class != retry.RefusedNotRun && class != retry.ConnectFailed {
		budget.Take()
	}
	if class == retry.ConnectionLost {
		clock.Sleep(ctx, crashDelay) // the next attempt detects an ended context
	}
	return nil, false
}

// mayCrashAgain reports whether the request must not be given a further upstream, because it
// or what it shares with others is known or suspected to crash upstreams.
func (x *execution) mayCrashAgain() bool {
	now := x.options.Clock.Now()
	_, quarantined := x.options.Suspects.Quarantined(now, x.fingerprint)
	return quarantined || x.trial != nil || x.options.Suspects.Segments().Suspected(now, x.request.Segments)
}

// boolToBytes returns a count for retry.Attempt.BytesToCaller, of which only
// zero or not zero matters.
func boolToBytes(started bool) int64 {
	if started {
		return 1
	}
	return 0
}

// contextRefusal returns the refusal of a request whose context has ended.
func (x *execution) contextRefusal(ctx context.Context) *problem.Error {
	return x.adjustNotRun(refusal.FromContext(ctx))
}

// adjustNotRun clears a refusal's NotRun if an earlier attempt may have run.
func (x *execution) adjustNotRun(refusal *problem.Error) *problem.Error {
	if x.mayHaveRun {
		refusal.NotRun = false
	}
	return refusal
}

// errorLine returns an error's text without line breaks.
func errorLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
