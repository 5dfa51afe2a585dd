package liveness

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// observed feeds the same evidence every 250 ms of a range and returns the time
// at which the stream is found silent, or 0.
func observed(w *StreamMonitor, e RequestStatus, fromMS, toMS int) int {
	for ms := fromMS; ms <= toMS; ms += 250 {
		if w.NeedsReport(at(ms)) {
			w.ObserveReport(at(ms), e)
		}
		if w.State(at(ms)) == Silent {
			return ms
		}
	}
	return 0
}

// Guards against connections that stay silent for longer than the 5 s in which
// they must be replaced, and against slow streams that are cut off.
func TestVerdicts(t *testing.T) {
	cases := []struct {
		name     string
		evidence RequestStatus
		silent   bool
	}{
		{"generated more than arrived", RequestStatus{BootID: "b", Running: true, Tokens: 4}, true},
		{"slow, nothing generated", RequestStatus{BootID: "b", Running: true, Tokens: 3}, false},
		{"report lags behind the stream", RequestStatus{BootID: "b", Running: true, Tokens: 2}, false},
		{"request is gone", RequestStatus{BootID: "b"}, true},
		{"request is gone, others wait", RequestStatus{BootID: "b", QueueDepth: 3}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := NewStreamMonitor(start)
			w.RecordReceived(start, 100, 3)
			when := observed(w, c.evidence, 0, 10000)
			if (when != 0) != c.silent || when > 4500 {
				t.Fatalf("found silent after %d ms, want silent: %v", when, c.silent)
			}
			w.RecordReceived(at(10000), 1, 0)
			if w.State(at(10000)) != Alive || w.State(at(11000)) == Silent {
				t.Fatal("a byte does not make the stream alive")
			}
		})
	}
}

// Guards against requests that are taken for lost while they wait at the engine.
func TestRequestInTheEnginesQueue(t *testing.T) {
	w := NewStreamMonitor(start)
	if when := observed(w, RequestStatus{BootID: "b", QueueDepth: 1}, 0, 20000); when != 0 {
		t.Fatalf("found silent after %d ms", when)
	}
	if when := observed(w, RequestStatus{BootID: "b2", QueueDepth: 1}, 20000, 30000); when == 0 {
		t.Fatal("the engine's restart went unnoticed")
	}
}

// Guards against a verdict from contradictions that did not last.
func TestContradictionMustLast(t *testing.T) {
	w := NewStreamMonitor(start)
	for ms := 1000; ms < 10000; ms += 1000 {
		w.ObserveReport(at(ms), RequestStatus{BootID: "b"})
		w.ObserveReport(at(ms+900), RequestStatus{BootID: "b", Running: true})
		if state := w.State(at(ms + 900)); state != Slow {
			t.Fatalf("state %v", state)
		}
	}
}
