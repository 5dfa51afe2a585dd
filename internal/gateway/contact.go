package gateway

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// maxUnestimatedWait bounds the wait for a model of which a coordinator that responds
	// gives no estimate.
	maxUnestimatedWait = 700 * time.Millisecond
	// maxCoordinatorAbsence is how long after the last response of a coordinator requests
	// wait for the next one. It takes over when the lease has ended, within 3.5 s.
	maxCoordinatorAbsence = 4 * time.Second
)

// coordinatorContact is this host's contact with the coordinator. All times are on the boot
// clock.
type coordinatorContact struct {
	reached      bool
	since        time.Duration // first response of the current coordinator
	lastResponse time.Duration // 0: none so far
}

// waitEnd returns until when a request that started at a time waits for its model without
// an estimate. Estimates are lost with a coordinator, and the next one needs a moment for
// its own.
func (c coordinatorContact) waitEnd(startedAt time.Duration) time.Duration {
	switch {
	case c.reached:
		return max(startedAt, c.since) + maxUnestimatedWait
	case c.lastResponse > 0:
		return max(startedAt+maxUnestimatedWait, c.lastResponse+maxCoordinatorAbsence)
	default:
		return startedAt + maxUnestimatedWait
	}
}

// contact returns the contact with the coordinator.
func (e *exchanger) contact() coordinatorContact {
	return coordinatorContact{
		reached: e.Reached(), since: time.Duration(e.contactSince.Load()), lastResponse: time.Duration(e.lastResponse.Load()),
	}
}

// recordResponse records a response of the coordinator of an epoch. Only the goroutine that
// makes the exchanges calls it.
func (e *exchanger) recordResponse(now time.Duration, epoch int64) {
	replaced := e.epoch.Swap(epoch) != epoch
	if replaced || !e.Reached() {
		e.contactSince.Store(int64(now))
	}
	e.reachedAt.Store(int64(now))
	e.lastResponse.Store(int64(now))
}

// waitedWithoutEstimate reports whether the request has waited for long enough for a model
// of which no estimate is known.
func (d *dispatcher) waitedWithoutEstimate(now time.Time) bool {
	boot := clock.SinceBoot()
	return boot > d.gateway.exchanger.contact().waitEnd(boot-now.Sub(d.startedAt))
}
