package idempotency

import "testing"

// Guards against reads of the sweep row that grow with the number of hosts, and
// against sweeps less often than every 11 s while one host keeps the lease.
func TestSweepPauses(t *testing.T) {
	backoff := 1
	for range 10 {
		pause, next := nextSweepPause(false, backoff)
		if pause < sweepInterval/2 || pause > maxSweepBackoff*2*sweepInterval || next < backoff || next > maxSweepBackoff {
			t.Errorf("pause %v and factor %d after factor %d", pause, next, backoff)
		}
		backoff = next
	}
	if backoff != maxSweepBackoff {
		t.Errorf("factor %d after ten attempts, want %d", backoff, maxSweepBackoff)
	}
	pause, next := nextSweepPause(true, backoff)
	if pause < sweepInterval || pause > sweepInterval+maxSweepJitter || next != 1 {
		t.Errorf("pause %v and factor %d after a sweep", pause, next)
	}
}
