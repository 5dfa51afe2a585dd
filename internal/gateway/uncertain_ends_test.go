package gateway

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// Guards against taking a stream that ended with the crash of its upstream for complete, and
// against taking sound streams for lost because their upstream crashes some time later.
func TestUncertainEnds(t *testing.T) {
	of := coordinator.Incarnation{Upstream: "u", StartedMS: 1}
	const at = time.Hour
	for name, c := range map[string]struct {
		connectedAt, answered time.Duration // after the end; 0: never
		lost, complete        int
	}{
		"crash":                            {lost: 1},
		"connection, then a later crash":   {connectedAt: probeDelay},
		"connection, answer":               {connectedAt: probeDelay, answered: 2 * probeDelay, complete: 1},
		"answer from before the look":      {answered: probeDelay / 4, lost: 1},
		"answer after too long":            {connectedAt: probeDelay, answered: uncertainTime + time.Second},
		"connection from before the crash": {connectedAt: probeDelay / 4, lost: 1},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUncertainEnds()
			if !u.add(of, uncertainEnd{at: at}) || u.add(of, uncertainEnd{at: at + time.Millisecond}) {
				t.Error("want one look for two ends at the same time")
			}
			u = newUncertainEnds()
			u.add(of, uncertainEnd{at: at})
			if c.connectedAt > 0 {
				u.connected(of, at+c.connectedAt)
			}
			complete := 0
			if c.answered > 0 {
				complete = len(u.answered(of, at+c.answered))
			}
			if lost := len(u.crashed(at+5*time.Second, of, uncertainTime)); lost != c.lost || complete != c.complete {
				t.Errorf("%d lost, %d complete; want %d and %d", lost, complete, c.lost, c.complete)
			}
		})
	}
}

// Guards against unbounded memory when upstreams neither crash nor answer again.
func TestUncertainEndsAreBounded(t *testing.T) {
	u := newUncertainEnds()
	for i := range 3 * maxUncertainEnds {
		u.add(coordinator.Incarnation{Upstream: "u", StartedMS: int64(i)}, uncertainEnd{at: time.Hour})
	}
	if u.count != maxUncertainEnds || len(u.ends) != maxUncertainEnds {
		t.Errorf("%d ends kept, %d upstreams", u.count, len(u.ends))
	}
	if !u.add(coordinator.Incarnation{Upstream: "later"}, uncertainEnd{at: time.Hour + 2*uncertainTime}) || u.count != 1 {
		t.Errorf("%d ends kept after their time", u.count)
	}
}
