package liveness

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// observeRepeatedly passes the same status to the monitor every 250 ms and returns
// the time in ms at which the stream becomes silent, or 0.
func observeRepeatedly(m *StreamMonitor, status RequestStatus, fromMS, toMS int) int {
	for ms := fromMS; ms <= toMS; ms += 250 {
		if m.NeedsReport(at(ms)) {
			m.ObserveReport(at(ms), status)
		}
		if m.State(at(ms)) == Silent {
			return ms
		}
	}
	return 0
}

// Guards against dead connections that are not detected within the 5 s in which
// they must be replaced, and against slow streams that are aborted.
func TestStreamStates(t *testing.T) {
	cases := []struct {
		name   string
		status RequestStatus
		silent bool
	}{
		{"generated more than arrived", RequestStatus{BootID: "b", Running: true, Tokens: 4}, true},
		{"slow, nothing generated", RequestStatus{BootID: "b", Running: true, Tokens: 3}, false},
		{"report lags behind the stream", RequestStatus{BootID: "b", Running: true, Tokens: 2}, false},
		{"request not listed", RequestStatus{BootID: "b"}, true},
		{"request not listed, others wait", RequestStatus{BootID: "b", QueueDepth: 3}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewStreamMonitor(start)
			m.RecordReceived(start, 100, 3)
			silentMS := observeRepeatedly(m, c.status, 0, 10000)
			if (silentMS != 0) != c.silent || silentMS > 4500 {
				t.Fatalf("silent after %d ms, want silent: %v", silentMS, c.silent)
			}
			m.RecordReceived(at(10000), 1, 0)
			if m.State(at(10000)) != Alive || m.State(at(11000)) == Silent {
				t.Fatal("a received byte did not make the stream alive")
			}
		})
	}
}

// Guards against treating requests that wait at the engine as lost.
func TestRequestInEngineQueue(t *testing.T) {
	m := NewStreamMonitor(start)
	if silentMS := observeRepeatedly(m, RequestStatus{BootID: "b", QueueDepth: 1}, 0, 20000); silentMS != 0 {
		t.Fatalf("silent after %d ms, want never", silentMS)
	}
	if silentMS := observeRepeatedly(m, RequestStatus{BootID: "b2", QueueDepth: 1}, 20000, 30000); silentMS == 0 {
		t.Fatal("the restart of the engine was not detected")
	}
}

// Guards against classifying a stream by a contradiction that did not last.
func TestContradictionMustLast(t *testing.T) {
	m := NewStreamMonitor(start)
	for ms := 1000; ms < 10000; ms += 1000 {
		m.ObserveReport(at(ms), RequestStatus{BootID: "b"})
		m.ObserveReport(at(ms+900), RequestStatus{BootID: "b", Running: true})
		if state := m.State(at(ms + 900)); state != Slow {
			t.Fatalf("state %v, want slow", state)
		}
	}
}
