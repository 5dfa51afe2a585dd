package inference

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/liveness"
	"github.com/arbutusbank/arbutusbank/internal/retry"
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
