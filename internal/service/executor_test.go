package service

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

// Guards against a crash that is held against a call because its worker, which crashed later, had
// sent bytes that are no answer.
func TestCrashAfterAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		held  bool
	}{
		"connection lost":       {io.ErrUnexpectedEOF, true},
		"malformed":             {&stricthttp.MalformedError{}, false},
		"unasked answer":        {&transport.UnaskedError{}, false},
		"another call's answer": {&MismatchError{}, false},
		"deadline":              {context.DeadlineExceeded, false},
		"caller gone":           {context.Canceled, false},
	} {
		suspects := retry.NewSuspects(prometheus.NewRegistry())
		x := &execution{
			Executor: NewExecutor(Options{
				Clock: clock.System{}, Tracker: routing.NewTracker(1, "", prometheus.NewRegistry()), Suspects: suspects,
			}),
			call: &Call{ID: "c1"},
		}
		run, _ := suspects.Permit(time.Now(), retry.NewFingerprint("w", "r", nil), "w1")
		x.finishRun(run, "w1", &InterruptedError{Cause: test.cause})
		suspects.Crashed(time.Now(), "w1", "boot")
		if held := len(suspects.Dump(time.Now())) > 0; held != test.held {
			t.Errorf("%s: crash held against the call: %v, want %v", name, held, test.held)
		}
	}
}
