package statement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutusbank/arbutusbank/internal/call"
)

func incarnation(start int) Incarnation {
	return Incarnation{ID: "w", StartedMS: int64(start), Address: "127.0.0.1:1"}
}

// Guards against a request that is sent after the upstream has said that it leaves or
// wants none, whatever else is said, answered or tried, until the upstream starts again.
func TestNothingIsSentAfterAStatement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now := time.Hour
		start := 1
		leaving, pausedUntil := false, time.Duration(0)
		sentAt := -time.Hour // last request after a pause that was not answered yet
		pause := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
		}
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) {
				said := call.Statement{Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, PauseFor: pause(t)}
				tracker.Record(now, incarnation(start), said)
				leaving = leaving || said.Leaving
				if said.PauseFor > 0 {
					pausedUntil, sentAt = max(pausedUntil, now+said.PauseFor), -time.Hour
				} else if now >= pausedUntil {
					pausedUntil, sentAt = 0, -time.Hour
				}
			},
			"told by another host": func(t *rapid.T) {
				tracker.RecordLeaving(now, incarnation(start))
				leaving = true
			},
			"advance": func(t *rapid.T) { now += pause(t) },
			"restart": func(t *rapid.T) {
				start++
				leaving, pausedUntil, sentAt = false, 0, -time.Hour
			},
			"send": func(t *rapid.T) {
				sent := tracker.Begin(now, incarnation(start))
				want := !leaving && now >= pausedUntil && (pausedUntil == 0 || now-sentAt >= probeInterval)
				if sent != want {
					t.Fatalf("sent: %v, want %v (leaving %v, paused until %v, now %v)", sent, want, leaving, pausedUntil, now)
				}
				if sent && pausedUntil > 0 {
					sentAt = now
				}
			},
			"": func(t *rapid.T) {
				if got := tracker.Leaving(incarnation(start)); got != leaving {
					t.Fatalf("leaving: %v, want %v", got, leaving)
				}
			},
		})
	})
}

// Guards against a herd of requests to an upstream whose pause has ended: one request finds
// out whether it takes requests, and the others follow its response.
func TestOneProbeAfterAPause(t *testing.T) {
	tracker, of := NewTracker(), incarnation(1)
	tracker.Record(0, of, call.Statement{PauseFor: time.Second})
	sent := 0
	for range 20 {
		if tracker.Begin(time.Second, of) {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d requests at the end of the pause, want one", sent)
	}
	tracker.Record(time.Second+time.Millisecond, of, call.Statement{})
	if !tracker.Begin(time.Second+2*time.Millisecond, of) || !tracker.Empty() {
		t.Error("requests are withheld after the upstream has answered")
	}
}

// Guards against a pause that a shorter statement takes back, or that never ends.
func TestPauseBounds(t *testing.T) {
	tracker, of := NewTracker(), incarnation(1)
	tracker.Record(0, of, call.Statement{PauseFor: 5 * time.Second})
	tracker.Record(time.Second, of, call.Statement{PauseFor: time.Second})
	if left := tracker.PausedFor(time.Second, of); left != 4*time.Second {
		t.Errorf("paused for %v more, want 4 s", left)
	}
	tracker.Record(2*time.Second, of, call.Statement{PauseFor: 24 * time.Hour})
	if left := tracker.PausedFor(2*time.Second, of); left != maxPause {
		t.Errorf("paused for %v, want %v", left, maxPause)
	}
}

// Guards against statements that take memory without bound.
func TestTrackedIncarnationsAreBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 2 * maxTracked {
		of := Incarnation{ID: fmt.Sprint(i)}
		tracker.Record(time.Duration(i), of, call.Statement{Leaving: true})
	}
	if len(tracker.records) > maxTracked {
		t.Errorf("%d incarnations tracked", len(tracker.records))
	}
	if !tracker.Leaving(Incarnation{ID: fmt.Sprint(2*maxTracked - 1)}) {
		t.Error("the last statement was dropped")
	}
}
