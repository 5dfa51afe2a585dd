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
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/refusal"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	// suspectPause is the wait between two attempts to place a suspect, which
	// may run only where no other suspect runs.
	suspectPause = 50 * time.Millisecond
	// crashPause is the wait after a lost connection and before a suspect runs
	// again: the crash is confirmed and other hosts are told in the meantime.
	// Without it, suspects of several hosts met at one upstream, and a crashing
	// request took down four engines instead of two.
	crashPause = 100 * time.Millisecond
	// replicaPause is the wait before a request queues again because the
	// replica that it was dispatched for is gone.
	replicaPause = 20 * time.Millisecond
	// minTimeout is the shortest useful time for an engine to run a request.
	minTimeout = 5 * time.Millisecond
)

// Limiter grants allowance. It is implemented by *quota.Limiter.
type Limiter interface {
	Acquire(ctx context.Context, workspace string, tokens float64, deadline time.Time) (*quota.Reservation, error)
}

// Replicas tells where weights are loaded, and takes note of their use.
type Replicas interface {
	// Candidates returns the upstreams that hold the model and, when adapter
	// is not "", also the adapter.
	Candidates(model, adapter string) []routing.Candidate
	// RecordUse records a request for the weights.
	RecordUse(model, adapter string)
	// RecordMissing reports that a request waits for weights that no upstream holds.
	RecordMissing(model, adapter string, deadline time.Time)
	// ConfirmLoaded reports that an upstream answered with the weights.
	ConfirmLoaded(model, adapter, address string)
	// RecordNotLoaded reports that an upstream refused for lack of the weights.
	RecordNotLoaded(model, adapter, address string)
}

// Upstreams gives access to engines and takes note of failed connections.
type Upstreams interface {
	Engine(address string) *engine.Client
	// ConnectionRefused reports that a connection to the upstream was refused.
	ConnectionRefused(address string)
	// ConnectionLost reports that an upstream cut a running request.
	ConnectionLost(address string)
	// SuspectStarting reports that a request that may have crashed an upstream is
	// about to run again.
	SuspectStarting()
}

// Options are the dependencies of an Executor.
type Options struct {
	DataCenter string
	Credential string
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

// execution is one request on its way.
type execution struct {
	*Executor
	request     *Request
	sink        Sink
	fingerprint retry.Fingerprint
	prefixes    []uint64
	reservation *quota.Reservation
	tried       []string
	mayHaveRun  bool
	trying      bool    // queued again because no engine had the weights yet
	used        float64 // tokens that the current attempt is known to have used
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

// weightsName names a model or a model with an adapter, as callers do.
func weightsName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

func (x *execution) checkQuarantine() *problem.Error {
	until, quarantined := x.options.Suspects.Quarantined(x.options.Clock.Now(), x.fingerprint)
	if !quarantined {
		return nil
	}
	refusal := problem.New(problem.Quarantined, "upstreams crashed while they ran this request").
		WithRetryAfter(until.Sub(x.options.Clock.Now()))
	refusal.NotRun = !x.mayHaveRun
	return refusal
}

// reserve takes the request's cost from the workspace's allowance.
func (x *execution) reserve(ctx context.Context) *problem.Error {
	reservation, err := x.options.Limiter.Acquire(ctx, x.request.Workspace, x.request.Cost(), x.request.Deadline)
	if err != nil {
		return refusal.FromQuota(ctx, err)
	}
	x.reservation = reservation
	x.request.Record.Add("quota", "reserved "+strconv.FormatFloat(x.request.Cost(), 'f', 0, 64)+" tokens")
	return nil
}

// releaseUnused returns the tokens of a request that ended without a run.
func (x *execution) releaseUnused() {
	if x.reservation != nil {
		x.reservation.Settle(0)
	}
}

// queueAndAttempt waits for a free place at a replica and runs the request. It
// queues again when the replica is gone before the request ran.
func (x *execution) queueAndAttempt(ctx context.Context) *problem.Error {
	for {
		if len(x.options.Replicas.Candidates(x.request.Model, x.request.Adapter)) == 0 {
			x.options.Replicas.RecordMissing(x.request.Model, x.request.Adapter, x.request.Deadline)
			x.note("loading", "no replica holds the weights; demand reported")
		}
		ticket, err := x.options.Admission.Admit(ctx, x.admissionRequest())
		if err != nil {
			return x.ranBefore(refusal.FromAdmission(ctx, err))
		}
		if waited := ticket.Wait(); waited >= time.Millisecond {
			x.note("admission", "waited "+waited.Round(time.Millisecond).String()+" for a place")
		}
		requeue, refusal := x.attempt(ctx)
		ticket.Done(outcomeOf(requeue, refusal))
		if !requeue {
			return refusal
		}
		x.trying = true
		if !clock.Sleep(ctx, replicaPause) {
			return x.ended(ctx)
		}
	}
}

// note records a decision, but not again while the request is tried at an
// engine that has not finished loading.
func (x *execution) note(part, detail string) {
	if !x.trying {
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

// attempt tries replicas until one served the request or no retry is allowed.
// It asks to queue again when no replica is left that the request may run at.
func (x *execution) attempt(ctx context.Context) (requeue bool, refusal *problem.Error) {
	for {
		if refusal := x.reserveAgain(ctx); refusal != nil {
			return false, refusal
		}
		run, address, refusal := x.place(ctx)
		if refusal != nil {
			return false, refusal
		}
		if run == nil {
			x.tried = x.tried[:0]
			return true, nil
		}
		if x.announceSuspect(ctx, run); run.Preempted(x.options.Clock.Now()) {
			run.Ended()
			clock.Sleep(ctx, suspectPause+rand.N(suspectPause)) // an ended context shows in the next round
			continue
		}
		err := x.callEngine(ctx, address)
		x.settleAttempt(address, err)
		x.endRun(run, address, err)
		if err == nil {
			return false, nil
		}
		if refusal, done := x.afterFailure(ctx, address, err); done {
			return false, refusal
		}
		x.tried = append(x.tried, address)
	}
}

// afterFailure decides whether a failed attempt is repeated.
func (x *execution) afterFailure(ctx context.Context, address string, err error) (*problem.Error, bool) {
	x.request.Record.Add("engine", address+": "+rootMessage(err))
	if refusal := x.finalRefusal(ctx, err); refusal != nil {
		return refusal, true
	}
	class := classify(err)
	_, quarantined := x.options.Suspects.Quarantined(x.options.Clock.Now(), x.fingerprint)
	budget := x.options.Budgets.Route(x.request.Path)
	decision := x.options.Retries.Decide(retry.Attempt{
		Class:             class,
		Idempotent:        true, // generating an answer again has no effect besides its cost
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
		clock.Sleep(ctx, crashPause) // an ended context shows in the next attempt
	}
	return nil, false
}

// announceSuspect tells other hosts that a suspect is about to run, and gives
// them time to take notice.
func (x *execution) announceSuspect(ctx context.Context, run *retry.Run) {
	if run.Isolated() {
		x.options.Upstreams.SuspectStarting()
		clock.Sleep(ctx, crashPause) // an ended context shows in the call
	}
}

func boolToBytes(started bool) int64 {
	if started {
		return 1
	}
	return 0
}

// ended returns the refusal of a request whose context has ended.
func (x *execution) ended(ctx context.Context) *problem.Error {
	return x.ranBefore(refusal.FromContext(ctx))
}

// ranBefore corrects a refusal for what earlier attempts may have done.
func (x *execution) ranBefore(refusal *problem.Error) *problem.Error {
	if x.mayHaveRun {
		refusal.NotRun = false
	}
	return refusal
}

// rootMessage returns an error's text on one line.
func rootMessage(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }
