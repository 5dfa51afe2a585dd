package gateway

import (
	"testing"
	"time"
)

// Guards against refusing at once all requests that wait for a model when the coordinator is
// lost or replaced, because nobody estimates then (check LOST).
func TestWaitingRequestsOutliveTheirCoordinator(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name    string
		contact coordinatorContact
		age     time.Duration // of the request
		waits   bool
	}{
		{"coordinator gives no estimate", coordinatorContact{reached: true, since: now - time.Minute}, 800 * time.Millisecond, false},
		{"new request", coordinatorContact{reached: true, since: now - time.Minute}, 600 * time.Millisecond, true},
		{"coordinator just lost", coordinatorContact{lastResponse: now - time.Second}, 5 * time.Second, true},
		{"coordinator absent for long", coordinatorContact{lastResponse: now - 5*time.Second}, 5 * time.Second, false},
		{"new request without a coordinator", coordinatorContact{lastResponse: now - time.Minute}, 600 * time.Millisecond, true},
		{"next coordinator just responded", coordinatorContact{reached: true, since: now - 300*time.Millisecond}, 8 * time.Second, true},
		{"next coordinator gives no estimate", coordinatorContact{reached: true, since: now - time.Second}, 8 * time.Second, false},
		{"no coordinator so far", coordinatorContact{}, 800 * time.Millisecond, false},
	} {
		if waits := c.contact.waitEnd(now-c.age) > now; waits != c.waits {
			t.Errorf("%s: waits %v, want %v", c.name, waits, c.waits)
		}
	}
}
