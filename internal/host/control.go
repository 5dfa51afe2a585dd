package host

import (
	"context"
	"time"
)

const (
	// controlQueueSize is the maximum number of events queued for the control
	// goroutine.
	controlQueueSize = 1024
	// controlInterval is the period of the periodic functions.
	controlInterval = 100 * time.Millisecond
)

// controlLoop runs all changes of control state on a single goroutine.
type controlLoop struct {
	events   chan func()
	periodic []func(now time.Time)
}

func newControlLoop() *controlLoop {
	return &controlLoop{events: make(chan func(), controlQueueSize)}
}

// addPeriodic registers a function to call every controlInterval. It must be
// called before run.
func (c *controlLoop) addPeriodic(fn func(now time.Time)) { c.periodic = append(c.periodic, fn) }

// post queues an event for the control goroutine, blocking while the queue is
// full. It returns false if the context ends first.
func (c *controlLoop) post(ctx context.Context, event func()) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// run executes queued events and periodic functions until the context ends.
func (c *controlLoop) run(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event()
		case now := <-ticker.C:
			for _, fn := range c.periodic {
				fn(now)
			}
		}
	}
}
