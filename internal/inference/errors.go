package inference

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/refusal"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

// CallerGoneError reports that the response could not be written to the caller.
type CallerGoneError struct{ Cause error }

// Error implements error.
func (e *CallerGoneError) Error() string {
	return fmt.Sprintf("response could not be written to the caller: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Cause }

// InsufficientTimeError reports that too little time remains to start an
// attempt. Its text is part of the refusal sent to the caller.
type InsufficientTimeError struct{ Remaining time.Duration }

// Error implements error.
func (e *InsufficientTimeError) Error() string { return fmt.Sprintf("only %v left", e.Remaining) }

// SilentError reports that a connection is silent (liveness.Silent): it delivers
// nothing although the engine has generated further tokens, or the engine no
// longer lists the request.
type SilentError struct{ Address string }

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("connection to %s is silent", e.Address) }

// finalRefusal returns the refusal for a failure that must not be retried, or
// nil when the retry rules decide.
func (x *execution) finalRefusal(ctx context.Context, err error) *problem.Error {
	var gone *CallerGoneError
	var insufficient *InsufficientTimeError
	var refused *engine.RefusedError
	switch {
	case errors.As(err, &gone):
		return problem.MayHaveRun(problem.CallerGone, err, "the answer could not be delivered")
	case errors.As(err, &insufficient):
		return x.adjustNotRun(problem.New(problem.DeadlineExceeded, "%v", insufficient))
	case ctx.Err() != nil:
		ended := refusal.FromContext(ctx)
		ended.NotRun = !x.mayHaveRun && notSent(err)
		return ended
	case errors.As(err, &refused) && isClientError(refused.Status):
		return x.adjustNotRun(problem.New(problem.BadRequest, "the engine refused the request: %s", refused.Body))
	default:
		return nil
	}
}

func notSent(err error) bool {
	var unsent *engine.NotSentError
	return errors.As(err, &unsent)
}

// isClientError reports whether an HTTP status means that the request itself is
// invalid. 408, 409 and 429 describe the engine's state instead.
func isClientError(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// classify maps an engine error to the error class that the retry rules use.
func classify(err error) retry.ErrorClass {
	var unsent *engine.NotSentError
	var refused *engine.RefusedError
	var silent *SilentError
	var mismatch *engine.MismatchError
	var malformed *stricthttp.MalformedError
	var violation *engine.ProtocolError
	var unasked *transport.UnaskedError
	switch {
	case errors.As(err, &unsent):
		return retry.ConnectFailed
	case errors.As(err, &refused) && refused.NotRun():
		return retry.RefusedNotRun
	case errors.As(err, &refused):
		return retry.UpstreamError
	case errors.As(err, &silent):
		return retry.Silent
	case errors.As(err, &mismatch), errors.As(err, &malformed), errors.As(err, &violation), errors.As(err, &unasked):
		return retry.ProtocolError
	default:
		return retry.ConnectionLost
	}
}

// failureRefusal returns the refusal for a failure that the retry rules did not
// allow to be retried.
func (x *execution) failureRefusal(decision retry.Decision, err error) *problem.Error {
	kind := problem.UpstreamFailed
	if decision.Reason == retry.ReasonQuarantined {
		kind = problem.Quarantined
	}
	if decision.Reason == retry.ReasonNoTime {
		kind = problem.DeadlineExceeded
	}
	refusal := problem.MayHaveRun(kind, err, "the upstream failed and the request is not retried (%s)", decision.Reason)
	refusal.NotRun = decision.Action == retry.RefuseNotRun
	return refusal
}
