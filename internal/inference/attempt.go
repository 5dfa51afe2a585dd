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

// endRun records the end of an attempt with the retry and routing state.
func (x *execution) endRun(run *retry.Run, address string, err error) {
	now := x.options.Clock.Now()
	x.options.Tracker.RecordFinish(address, x.request.ID, err == nil, now)
	var interrupted *engine.InterruptedError
	var unknown *engine.UnknownOutcomeError
	switch {
	case err == nil:
		run.Completed(now)
	case errors.As(err, &interrupted), errors.As(err, &unknown):
		run.ConnectionLost(now)
		x.options.Upstreams.ConnectionLost(address)
	default:
		run.Ended()
	}
	var notSent *engine.NotSentError
	if errors.As(err, &notSent) {
		x.options.Upstreams.ConnectionRefused(address)
	}
}

// callEngine performs one attempt and relays its answer.
func (x *execution) callEngine(ctx context.Context, address string) error {
	timeout := x.timeout()
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
		x.noteRefusal(address, err)
		return watch.explain(err)
	}
	defer stream.Close()
	x.options.Replicas.ConfirmLoaded(x.request.Model, x.request.Adapter, address)
	return watch.explain(x.relay(stream, watch))
}

// noteRefusal reports an engine that does not hold the weights.
func (x *execution) noteRefusal(address string, err error) {
	var refused *engine.RefusedError
	if errors.As(err, &refused) && refused.NotLoaded() {
		x.options.Replicas.RecordNotLoaded(x.request.Model, x.request.Adapter, address)
	}
}

// timeout is the time that the engine may run the request: until the deadline,
// or until borrowed tokens may be handed out again.
func (x *execution) timeout() time.Duration { return x.timeoutOf(x.reservation) }

func (x *execution) timeoutOf(reservation *quota.Reservation) time.Duration {
	end := x.request.Deadline
	if endBy := reservation.EndBy(); !endBy.IsZero() && endBy.Before(end) {
		end = endBy
	}
	return end.Sub(x.options.Clock.Now())
}

// relay passes the engine's answer to the sink and counts its tokens.
func (x *execution) relay(stream *engine.Stream, watch *watch) error {
	counter := tokenCounter{prompt: x.request.PromptTokens}
	for {
		data, err := stream.Next()
		if err == io.EOF {
			return x.finishAnswer(stream, &counter)
		}
		if err != nil {
			return err
		}
		watch.progressed()
		counter.add(data, stream.Unary())
		x.used = counter.total()
		if stream.Unary() {
			if err := x.sink.Body("application/json", data); err != nil {
				return &CallerGoneError{Cause: err}
			}
			continue
		}
		x.reservation.Progress(x.used)
		if err := x.sink.Event(data); err != nil {
			return &CallerGoneError{Cause: err}
		}
	}
}

func (x *execution) finishAnswer(stream *engine.Stream, counter *tokenCounter) error {
	x.used = counter.total()
	x.request.Record.Add("engine", "answer complete, "+strconv.Itoa(int(x.used))+" tokens")
	if stream.Unary() {
		return nil
	}
	if err := x.sink.Done(); err != nil {
		return &CallerGoneError{Cause: err}
	}
	return nil
}
