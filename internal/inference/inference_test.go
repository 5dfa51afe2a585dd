package inference

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/liveness"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

// Guards against settling a number of tokens other than the engine reported.
func TestTokenCounter(t *testing.T) {
	counter := tokenCounter{prompt: 10}
	counter.add([]byte(`{"choices":[]}`), false)
	counter.add([]byte(`{"choices":[]}`), false)
	if counter.total() != 12 {
		t.Errorf("total %v without usage", counter.total())
	}
	counter.add([]byte(`{"usage":{"prompt_tokens":7,"completion_tokens":2}}`), false)
	if counter.total() != 9 {
		t.Errorf("total %v with usage", counter.total())
	}
}

// Guards against retrying a request that may have run as if it had not.
func TestClassify(t *testing.T) {
	for _, test := range []struct {
		err  error
		want retry.ErrorClass
	}{
		{&engine.NotSentError{}, retry.ConnectFailed},
		{&engine.RefusedError{Status: 409, Body: []byte(`{"reason":"not_loaded"}`)}, retry.RefusedNotRun},
		{&engine.RefusedError{Status: 500}, retry.UpstreamError},
		{&engine.InterruptedError{}, retry.ConnectionLost},
		{&engine.UnknownOutcomeError{}, retry.ConnectionLost},
		{&engine.MismatchError{}, retry.ProtocolError},
		{&SilentError{}, retry.Silent},
	} {
		if got := classify(test.err); got != test.want {
			t.Errorf("%T: %v, want %v", test.err, got, test.want)
		}
	}
}

// Guards against a stream that waits forever on a silent connection, and against
// ending a unary call that is only slow: its tokens arrive all at once at the end.
func TestWatcherEndsSilentStreams(t *testing.T) {
	fake := clock.NewFake(time.Now())
	report := &engine.Report{BootID: "b", Running: []engine.Running{{RequestID: "unary", Tokens: 5}, {RequestID: "stream", Tokens: 5}}}
	watcher := NewWatcher(fake, func(context.Context, string) (*engine.Report, error) { return report, nil },
		liveness.NewMetrics(prometheus.NewRegistry()))
	streamContext, stream := watcher.start(context.Background(), "e", &Request{ID: "stream", Stream: true})
	unaryContext, unary := watcher.start(context.Background(), "e", &Request{ID: "unary"})
	defer stream.stop()
	defer unary.stop()
	for range 20 {
		fake.Advance(pollInterval)
		watcher.poll(context.Background())
	}
	var silent *SilentError
	if !errors.As(context.Cause(streamContext), &silent) {
		t.Errorf("the silent stream was not ended: %v", context.Cause(streamContext))
	}
	if unaryContext.Err() != nil {
		t.Errorf("the slow unary call was ended: %v", context.Cause(unaryContext))
	}
	if err := stream.resolveError(&engine.InterruptedError{}); !errors.As(err, &silent) {
		t.Errorf("got error %v, want *SilentError", err)
	}
}

// noUpstreams ignores what is reported of upstreams.
type noUpstreams struct{ Upstreams }

func (noUpstreams) ConnectionLost(string)    {}
func (noUpstreams) ConnectionRefused(string) {}

// Guards against a crash that is held against a request because its engine, which crashed later,
// had sent bytes that are no answer: the request would be isolated, or refused as one that crashes
// engines.
func TestCrashAfterAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		held bool
	}{
		"connection lost":        {&engine.InterruptedError{Cause: io.ErrUnexpectedEOF}, true},
		"answer lost":            {&engine.UnknownOutcomeError{Cause: io.EOF}, true},
		"malformed head":         {&engine.UnknownOutcomeError{Cause: &stricthttp.MalformedError{}}, false},
		"malformed body":         {&engine.InterruptedError{Cause: &stricthttp.MalformedError{}}, false},
		"event too long":         {&engine.InterruptedError{Cause: &engine.ProtocolError{}}, false},
		"unasked answer":         {&engine.UnknownOutcomeError{Cause: &transport.UnaskedError{}}, false},
		"another call's answer":  {&engine.MismatchError{}, false},
		"answered with an error": {&engine.RefusedError{Status: http.StatusInternalServerError}, false},
	} {
		x := &execution{
			Executor: NewExecutor(Options{
				Clock: clock.System{}, Tracker: routing.NewTracker(1, "", prometheus.NewRegistry()),
				Upstreams: noUpstreams{}, Suspects: retry.NewSuspects(prometheus.NewRegistry()),
			}),
			request: &Request{ID: "r1"},
		}
		suspects := x.options.Suspects
		run, _ := suspects.Permit(time.Now(), retry.NewFingerprint("w", "r", nil), "e1")
		x.finishRun(run, "e1", test.err)
		suspects.Crashed(time.Now(), "e1", "boot")
		if held := len(suspects.Dump(time.Now())) > 0; held != test.held {
			t.Errorf("%s: crash held against the request: %v, want %v", name, held, test.held)
		}
	}
}
