package inference

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/retry"
)

// finishRun records the outcome of an attempt in the routing tracker and in the
// crash attribution of package retry, and reports connection failures.
func (x *execution) finishRun(run *retry.Run, address string, err error) {
	now := x.options.Clock.Now()
	x.options.Tracker.RecordFinish(address, x.request.ID, err == nil, now)
	var interrupted *engine.InterruptedError
	var unknown *engine.UnknownOutcomeError
	class := classify(err)
	switch {
	case err == nil:
		run.Completed(now)
	case class == retry.ConnectionLost && (errors.As(err, &interrupted) || errors.As(err, &unknown)):
		run.ConnectionLost(now)
		x.options.Upstreams.ConnectionLost(address)
	case class == retry.ConnectFailed, class == retry.RefusedNotRun:
		run.NotRun(now)
	default:
		run.Ended()
	}
	var notSent *engine.NotSentError
	if errors.As(err, &notSent) {
		x.options.Upstreams.ConnectionRefused(address)
	}
}

// callEngine performs one attempt and relays its response.
func (x *execution) callEngine(ctx context.Context, address string, run *retry.Run) error {
	timeout := x.attemptTimeout()
	if timeout < minTimeout {
		return &InsufficientTimeError{Remaining: timeout}
	}
	ctx, watch := x.options.Watcher.start(ctx, address, x.request)
	defer watch.stop()
	x.options.Tracker.RecordStart(address, x.request.ID, x.prefixes, x.options.Clock.Now())
	stream, err := x.options.Upstreams.Engine(address).Infer(ctx, engine.Call{
		Path:       x.request.Path,
		Body:       x.request.Body,
		RequestID:  x.request.ID,
		Priority:   x.request.Priority,
		Timeout:    timeout,
		Credential: x.options.Credential,
	})
	if err != nil {
		x.recordRefusal(address, err)
		return watch.resolveError(err)
	}
	defer stream.Close()
	x.options.Replicas.ConfirmLoaded(x.request.Model, x.request.Adapter, address)
	return watch.resolveError(x.relay(stream, watch, run))
}

// recordRefusal records that an engine refused because the weights are not loaded.
func (x *execution) recordRefusal(address string, err error) {
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.NotLoaded() {
		x.options.Replicas.RecordNotLoaded(x.request.Model, x.request.Adapter, address)
	}
}

// attemptTimeout returns how long the engine may run the request: until the
// deadline, or until the lender may grant the borrowed tokens again.
func (x *execution) attemptTimeout() time.Duration { return x.timeoutFor(x.reservation) }

// timeoutFor is attemptTimeout for a given reservation.
func (x *execution) timeoutFor(reservation *quota.Reservation) time.Duration {
	end := x.request.Deadline
	if endBy := reservation.EndBy(); !endBy.IsZero() && endBy.Before(end) {
		end = endBy
	}
	return end.Sub(x.options.Clock.Now())
}

// relay writes the engine's response to the sink and counts its tokens. An
// error of the sink is returned as *CallerGoneError.
func (x *execution) relay(stream *engine.Stream, watch *attemptWatch, run *retry.Run) error {
	counter := tokenCounter{prompt: x.request.PromptTokens}
	for {
		data, err := stream.Next()
		if err == io.EOF {
			return x.finishResponse(stream, &counter)
		}
		if err != nil {
			return err
		}
		watch.recordProgress()
		run.Progressed(x.options.Clock.Now())
		counter.add(data, stream.Unary())
		x.usedTokens = counter.total()
		if stream.Unary() {
			if err := x.sink.Body("application/json", data); err != nil {
				return &CallerGoneError{Cause: err}
			}
			continue
		}
		x.reservation.Progress(x.usedTokens)
		if err := x.sink.Event(data); err != nil {
			return &CallerGoneError{Cause: err}
		}
	}
}

func (x *execution) finishResponse(stream *engine.Stream, counter *tokenCounter) error {
	x.usedTokens = counter.total()
	x.request.Record.Add("engine", "answer complete, "+strconv.Itoa(int(x.usedTokens))+" tokens")
	if stream.Unary() {
		return nil
	}
	if err := x.sink.Done(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	return nil
}
