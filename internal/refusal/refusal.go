// Package refusal maps errors of the quota limiter and of admission control to the
// error responses that callers receive.
package refusal

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

// minRetryAfter keeps callers from retrying at once when the limiter does not know
// when tokens arrive, for instance while the slots of a restarted host are still held
// back.
const minRetryAfter = time.Second

// FromQuota maps an error of the quota limiter.
func FromQuota(ctx context.Context, err error) *problem.Error {
	var exceeds *quota.ExceedsBurstError
	var limited *quota.RateLimitedError
	var unknown *quota.UnknownWorkspaceError
	switch {
	case errors.As(err, &exceeds):
		return problem.New(problem.ExceedsBurst, "%v", exceeds)
	case errors.As(err, &limited):
		return problem.New(problem.RateLimited, "%v", limited).WithRetryAfter(max(limited.RetryAfter, minRetryAfter))
	case errors.As(err, &unknown):
		return problem.New(problem.RateLimited, "%v", unknown)
	case ctx.Err() != nil:
		return FromContext(ctx)
	default:
		return problem.New(problem.Internal, "allowance: %v", err)
	}
}

// FromAdmission maps an error of admission control; the request was not dispatched.
func FromAdmission(ctx context.Context, err error) *problem.Error {
	var full *admission.QueueFullError
	var late *admission.DeadlineError
	switch {
	case errors.As(err, &full):
		return problem.New(problem.Overloaded, "%v", full).WithRetryAfter(max(full.RetryAfter, time.Second))
	case errors.As(err, &late) && late.Unmeetable:
		return problem.New(problem.DeadlineUnmeetable, "%v", late).WithRetryAfter(max(late.RetryAfter, time.Second))
	case errors.As(err, &late):
		return problem.New(problem.DeadlineExceeded, "%v", late).WithRetryAfter(late.RetryAfter)
	default:
		return FromContext(ctx)
	}
}

// FromContext maps the reason why a request's context ended. The result states that
// the request was not run; callers correct it if an attempt may have run.
func FromContext(ctx context.Context) *problem.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return problem.New(problem.DeadlineExceeded, "the deadline passed while the request waited")
	}
	return problem.New(problem.CallerGone, "the caller left or the request was cancelled")
}
