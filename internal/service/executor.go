package service

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/idempotency"
	"github.com/arbutusbank/arbutusbank/internal/presence"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/refusal"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

const (
	// defaultAttemptTimeout bounds one attempt on routes without a timeout.
	defaultAttemptTimeout = 10 * time.Second
	// openWorkspace is the workspace of calls on open routes in claims and
	// queues. It is not a valid workspace name.
	openWorkspace = "~open"
	// recordTimeout bounds storing the outcome of a call, which continues when
	// the caller has disconnected.
	recordTimeout = 3 * time.Second
	// maxDuplicateWait bounds how long a call waits for the outcome of an earlier
	// request with the same idempotency key. duplicatePollInterval is the time
	// between two checks.
	maxDuplicateWait      = 5 * time.Second
	duplicatePollInterval = 150 * time.Millisecond
	// workerRetryDelay is the delay before a worker is selected again when none
	// was available.
	workerRetryDelay = 50 * time.Millisecond
)

// Limiter reserves tokens from a workspace's allowance. It is implemented by
// *quota.Limiter.
type Limiter interface {
	Acquire(ctx context.Context, workspace string, tokens float64, deadline time.Time) (*quota.Reservation, error)
}

// Workers lists the workers of plain services and records refused connections.
type Workers interface {
	// Candidates returns the workers of a service.
	Candidates(service string) []routing.Candidate
	// ConnectionRefused records that a connection to a worker was refused.
	ConnectionRefused(address string)
}

// Transport performs one attempt of a call. It is implemented by *Client.
type Transport interface {
	Do(ctx context.Context, address string, call *Call) (*Response, error)
}

// Options are the dependencies of an Executor.
type Options struct {
	DataCenter string // data centre of this host
	Clock      clock.Clock
	Limiter    Limiter
	Admission  *admission.Controller
	Workers    Workers
	Transport  Transport
	Tracker    *routing.Tracker
	Routing    routing.Params
	Claims     *idempotency.Store
	Suspects   *retry.Suspects
	Budgets    *retry.Budgets
	Retries    *retry.Metrics
	Logger     logr.Logger
}

// Executor implements Runner. It is safe for concurrent use.
type Executor struct{ options Options }

// NewExecutor returns an executor.
func NewExecutor(options Options) *Executor { return &Executor{options: options} }

// QueueName returns the name of the admission queue of a service.
func QueueName(service string) string { return "service/" + service }

// execution is the state of one call while it runs.
type execution struct {
	*Executor
	call        *Call
	fingerprint retry.Fingerprint
	claim       *idempotency.HeldClaim // nil for calls without a claim
	tried       []string               // addresses of the workers tried; emptied when no other is available
	mayHaveRun  bool                   // an attempt may have run
}

// Run implements Runner.
func (e *Executor) Run(ctx context.Context, call *Call) (*Response, *problem.Error) {
	x := &execution{
		Executor:    e,
		call:        call,
		fingerprint: retry.NewFingerprint(call.Workspace, call.Method+" "+call.Service+call.Path, call.Body),
	}
	reservation, refusal := x.reserve(ctx)
	if refusal != nil {
		return nil, refusal
	}
	response, refusal := x.admitAndRun(ctx)
	reservation.settle(x.mayHaveRun || refusal == nil)
	return response, refusal
}

// callReservation is the token reservation of a call. reservation is nil if the
// call costs nothing.
type callReservation struct {
	reservation *quota.Reservation
	cost        float64
}

// settle charges the cost of the call if it may have run, and returns it otherwise.
func (a callReservation) settle(ran bool) {
	if a.reservation == nil {
		return
	}
	if ran {
		a.reservation.Settle(a.cost)
		return
	}
	a.reservation.Settle(0)
}

// reserve reserves the cost of the route from the workspace's allowance.
func (x *execution) reserve(ctx context.Context) (callReservation, *problem.Error) {
	cost := float64(x.call.Route.CostTokens)
	if cost == 0 || x.call.Workspace == "" {
		return callReservation{}, nil
	}
	reservation, err := x.options.Limiter.Acquire(ctx, x.call.Workspace, cost, x.call.Deadline)
	if err != nil {
		return callReservation{}, refusal.FromQuota(ctx, err)
	}
	return callReservation{reservation: reservation, cost: cost}, nil
}

// admitAndRun waits for admission and runs the call.
func (x *execution) admitAndRun(ctx context.Context) (*Response, *problem.Error) {
	ticket, err := x.options.Admission.Admit(ctx, x.admissionRequest())
	if err != nil {
		return nil, refusal.FromAdmission(ctx, err)
	}
	response, refusal := x.runOnce(ctx)
	outcome := admission.Completed
	if refusal != nil {
		outcome = admission.Failed
	}
	ticket.Done(outcome)
	return response, refusal
}

// workspace returns the workspace under which the call queues and is claimed.
func (x *execution) workspace() string {
	if x.call.Workspace == "" {
		return openWorkspace
	}
	return x.call.Workspace
}

func (x *execution) admissionRequest() admission.Request {
	priority := admission.Interactive
	if x.call.Priority == config.PriorityBatch {
		priority = admission.Batch
	}
	return admission.Request{
		ID:        x.call.ID,
		Model:     QueueName(x.call.Service),
		Workspace: x.workspace(),
		Weight:    x.call.Config.Document.Workspaces[x.call.Workspace].Weight,
		Priority:  priority,
		Deadline:  x.call.Deadline,
		Cost:      1,
	}
}

// runOnce runs the call. If the call has an idempotency key and its route is not
// idempotent, it runs under a claim, so that it runs at most once, and its outcome
// is stored for later calls with the same key.
func (x *execution) runOnce(ctx context.Context) (*Response, *problem.Error) {
	if x.call.Route.Idempotent || x.call.IdempotencyKey == "" {
		return x.runAttempts(ctx)
	}
	result, err := x.acquireClaim(ctx)
	if err != nil {
		return nil, claimRefusal(ctx, err)
	}
	x.call.Record.Add("idempotency", "claim is "+string(result.Kind))
	if result.Kind != idempotency.Fresh {
		return duplicateResponse(result)
	}
	x.claim = result.Held
	response, refusal := x.runAttempts(ctx)
	x.recordOutcome(ctx, response, refusal)
	return response, refusal
}

// acquireClaim claims the call. While an earlier request with the same key is in
// progress, it waits for that request's outcome, up to maxDuplicateWait and as
// long as the deadline allows.
func (x *execution) acquireClaim(ctx context.Context) (idempotency.Result, error) {
	claim := idempotency.ClaimRequest{
		Workspace:   x.workspace(),
		Key:         x.call.IdempotencyKey,
		Fingerprint: x.fingerprint.String(),
		RequestID:   x.call.ID,
		Retention:   time.Duration(x.call.Config.Document.Defaults.ClaimRetentionS) * time.Second,
	}
	waitEnd := x.options.Clock.Now().Add(maxDuplicateWait)
	if latest := x.call.Deadline.Add(-2 * duplicatePollInterval); latest.Before(waitEnd) {
		waitEnd = latest
	}
	for {
		result, err := x.options.Claims.Begin(ctx, claim)
		if err != nil || result.Kind != idempotency.InProgress || x.options.Clock.Now().After(waitEnd) {
			return result, err
		}
		if !clock.Sleep(ctx, duplicatePollInterval) {
			return result, nil
		}
	}
}

// recordOutcome stores the response for later calls with the same key, or releases
// the claim if the call certainly did not run. It continues when the caller has
// disconnected.
func (x *execution) recordOutcome(ctx context.Context, response *Response, refusal *problem.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var err error
	switch {
	case refusal == nil:
		err = x.claim.Complete(ctx, idempotency.Response{Status: response.Status, Header: response.Header, Body: response.Body})
	case refusal.NotRun:
		err = x.claim.Release(ctx)
	default:
		return // later calls with the same key are refused as "may have run"
	}
	if err != nil {
		x.call.Record.Add("idempotency", err.Error())
		x.options.Logger.Info("Outcome of a claimed call was not recorded.", "request", x.call.ID,
			"workspace", x.call.Workspace, "version", x.call.Config.Version, "error", err.Error())
	}
}

// runAttempts tries workers until one has responded or no retry is allowed.
func (x *execution) runAttempts(ctx context.Context) (*Response, *problem.Error) {
	x.options.Budgets.Route(x.budgetName()).RecordRequest()
	for {
		if presence.Left(ctx) {
			return nil, x.adjustNotRun(refusal.FromContext(ctx))
		}
		run, address, refusal := x.selectWorker(ctx)
		if refusal != nil {
			return nil, refusal
		}
		response, err := x.attempt(ctx, address)
		x.finishRun(run, address, err)
		if err == nil {
			x.mayHaveRun = true
			return response, nil
		}
		if refusal, done := x.afterFailure(ctx, address, err); done {
			return nil, refusal
		}
		x.tried = append(x.tried, address)
	}
}

// budgetName returns the name of the retry budget of the call's route.
func (x *execution) budgetName() string {
	return x.call.Service + " " + x.call.Route.Method + " " + x.call.Route.Path
}

// selectWorker chooses a worker and registers the run with it. If none is
// available, it waits for one until ctx ends.
func (x *execution) selectWorker(ctx context.Context) (*retry.Run, string, *problem.Error) {
	for {
		if until, quarantined := x.options.Suspects.Quarantined(x.options.Clock.Now(), x.fingerprint); quarantined {
			refusal := problem.New(problem.Quarantined, "upstreams crashed while they ran this request").
				WithRetryAfter(until.Sub(x.options.Clock.Now()))
			return nil, "", x.adjustNotRun(refusal)
		}
		candidates := x.candidates()
		index, ok := x.options.Routing.Choose(routing.Request{DataCenter: x.options.DataCenter, Tried: x.tried},
			candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		if ok {
			address := candidates[index].Address
			run, verdict := x.options.Suspects.Permit(x.options.Clock.Now(), x.fingerprint, address)
			if verdict == retry.Allowed {
				x.call.Record.Add("routing", "chose "+address)
				return run, address, nil
			}
		}
		if !ok {
			x.tried = x.tried[:0]
		}
		if !clock.Sleep(ctx, workerRetryDelay) {
			return nil, "", x.adjustNotRun(problem.New(problem.NoCapacity, "no worker of service %q is available", x.call.Service))
		}
	}
}

// candidates returns the service's workers with their current load.
func (x *execution) candidates() []routing.Candidate {
	candidates := x.options.Workers.Candidates(x.call.Service)
	for i := range candidates {
		x.options.Tracker.FillCandidate(&candidates[i], nil)
	}
	return candidates
}

// attempt sends the call to one worker.
func (x *execution) attempt(ctx context.Context, address string) (*Response, error) {
	if x.claim != nil {
		if err := x.claim.Dispatch(x.options.Clock.Now()); err != nil {
			return nil, &NotSentError{Cause: err}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, x.attemptTimeout())
	defer cancel()
	x.options.Tracker.RecordStart(address, x.call.ID, nil, x.options.Clock.Now())
	return x.options.Transport.Do(ctx, address, x.call)
}

func (x *execution) attemptTimeout() time.Duration {
	if x.call.Route.TimeoutMS > 0 {
		return time.Duration(x.call.Route.TimeoutMS) * time.Millisecond
	}
	return defaultAttemptTimeout
}

// finishRun records the outcome of an attempt in the routing tracker and in the
// crash attribution of package retry, and reports connection failures.
func (x *execution) finishRun(run *retry.Run, address string, err error) {
	now := x.options.Clock.Now()
	x.options.Tracker.RecordFinish(address, x.call.ID, err == nil, now)
	var interrupted *InterruptedError
	var unsent *NotSentError
	switch {
	case err == nil:
		run.Completed(now)
	case classify(err) == retry.ConnectionLost && errors.As(err, &interrupted) && !errors.Is(err, context.Canceled):
		run.ConnectionLost(now)
	case errors.As(err, &unsent):
		run.NotRun(now)
	default:
		run.Ended()
	}
	var held *idempotency.NotHeldError
	if errors.As(err, &unsent) && !errors.As(err, &held) {
		x.options.Workers.ConnectionRefused(address)
	}
}

// afterFailure decides whether a failed attempt is retried. If not, it returns
// the refusal and true.
func (x *execution) afterFailure(ctx context.Context, address string, err error) (*problem.Error, bool) {
	x.call.Record.Add("service", address+": "+err.Error())
	var held *idempotency.NotHeldError
	if errors.As(err, &held) {
		return x.adjustNotRun(problem.New(problem.DeadlineExceeded, "%v", held)), true
	}
	class := classify(err)
	budget := x.options.Budgets.Route(x.budgetName())
	decision := x.options.Retries.Decide(retry.Attempt{
		Class:             class,
		Idempotent:        x.call.Route.Idempotent,
		TimeLeft:          x.call.Deadline.Sub(x.options.Clock.Now()),
		BudgetLeft:        class == retry.ConnectFailed || budget.Available(),
		EarlierMayHaveRun: x.mayHaveRun,
	})
	x.mayHaveRun = decision.MayHaveRun
	if ctx.Err() == nil && decision.Action == retry.Retry {
		if class != retry.ConnectFailed {
			budget.Take()
		}
		return nil, false
	}
	return x.failureRefusal(ctx, class, err), true
}

// failureRefusal returns the refusal for a failure that is not retried.
func (x *execution) failureRefusal(ctx context.Context, class retry.ErrorClass, err error) *problem.Error {
	kind := problem.UpstreamFailed
	if class == retry.TimedOut || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = problem.DeadlineExceeded
	}
	refusal := problem.MayHaveRun(kind, err, "service %q did not answer", x.call.Service)
	refusal.NotRun = !x.mayHaveRun
	return refusal
}

// classify maps a transport error to the error class that the retry rules use.
func classify(err error) retry.ErrorClass {
	var unsent *NotSentError
	var tooLarge *ResponseTooLargeError
	var mismatch *MismatchError
	var malformed *stricthttp.MalformedError
	var unasked *transport.UnaskedError
	switch {
	case errors.As(err, &unsent):
		return retry.ConnectFailed
	case errors.As(err, &tooLarge), errors.As(err, &mismatch), errors.As(err, &malformed), errors.As(err, &unasked):
		return retry.ProtocolError
	case errors.Is(err, context.DeadlineExceeded):
		return retry.TimedOut
	default:
		return retry.ConnectionLost
	}
}

// adjustNotRun clears a refusal's NotRun if an attempt may have run.
func (x *execution) adjustNotRun(refusal *problem.Error) *problem.Error {
	if x.mayHaveRun {
		refusal.NotRun = false
	}
	return refusal
}

// duplicateResponse returns the stored response or the refusal for a call whose
// idempotency key was used before.
func duplicateResponse(result idempotency.Result) (*Response, *problem.Error) {
	switch result.Kind {
	case idempotency.Replay:
		header := http.Header(result.Response.Header).Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set("Idempotent-Replayed", "true")
		return &Response{Status: result.Response.Status, Header: header, Body: slices.Clone(result.Response.Body)}, nil
	case idempotency.FingerprintDiffers:
		return nil, problem.New(problem.IdempotencyKeyReused, "the key was used with another method, path or body; this request did not run")
	default:
		return nil, problem.MayHaveRun(problem.InProgress, nil,
			"a request with this key was started at %s and may have run; it is never run again", result.Started.UTC().Format(time.RFC3339))
	}
}

// claimRefusal maps an error of idempotency.Store.Begin to a refusal.
func claimRefusal(ctx context.Context, err error) *problem.Error {
	var invalid *idempotency.InvalidKeyError
	var unavailable *idempotency.UnavailableError
	switch {
	case errors.As(err, &invalid):
		return problem.New(problem.BadRequest, "%v", invalid)
	case errors.As(err, &unavailable):
		return problem.New(problem.StoreUnavailable, "no claim could be obtained, so the request was not run").WithRetryAfter(time.Second)
	case ctx.Err() != nil:
		return problem.MayHaveRun(problem.DeadlineExceeded, err, "the deadline passed while the claim was checked")
	default:
		return problem.MayHaveRun(problem.StoreUnavailable, err, "the claim of an earlier request could not be read")
	}
}
