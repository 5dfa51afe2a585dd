package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// Controller makes a Scheduler usable by many goroutines: callers block in
// Enter until their request is dispatched, refused or expired.
type Controller struct {
	clock   clock.Clock
	metrics *metrics

	mu        sync.Mutex
	scheduler *Scheduler
	timer     *time.Timer // fires at the earliest deadline
	timerAt   time.Time   // zero: not armed
}

// NewController returns a Controller that registers its metrics with registerer.
func NewController(c clock.Clock, policy Policy, limits Limits, registerer prometheus.Registerer) *Controller {
	controller := &Controller{clock: c, scheduler: NewScheduler(policy, limits)}
	controller.metrics = newMetrics(registerer, controller.waitingCount)
	controller.timer = time.AfterFunc(time.Hour, controller.expire)
	controller.timer.Stop()
	return controller
}

// Ticket is the right to have one request at the model's replicas.
type Ticket struct {
	controller *Controller
	waiter     *Waiter
}

// Admit blocks until the request may go to an upstream. It returns
// *QueueFullError, *DeadlineError or *CanceledError when the request was not
// dispatched; it certainly did not run then. The caller must call Done on the
// ticket.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	c.mu.Lock()
	w, err := c.scheduler.Submit(c.clock.Now(), r)
	if err != nil {
		c.mu.Unlock()
		c.metrics.refused(err)
		return nil, err
	}
	if w.state == Dispatched {
		c.mu.Unlock()
		c.metrics.immediate.Inc()
		return &Ticket{controller: c, waiter: w}, nil
	}
	w.ready = make(chan struct{})
	c.arm()
	c.mu.Unlock()
	return c.wait(ctx, w)
}

func (c *Controller) wait(ctx context.Context, w *Waiter) (*Ticket, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		if c.leave(w) {
			return nil, c.refuse(canceled(ctx, c.clock.Now().Sub(w.entered)))
		}
	}
	// The state no longer changes to or from Expired once ready is closed.
	if w.state == Expired {
		return nil, c.refuse(&DeadlineError{Wait: c.clock.Now().Sub(w.entered)})
	}
	ticket := &Ticket{controller: c, waiter: w}
	if ctx.Err() != nil {
		ticket.Done(NotRun)
		return nil, c.refuse(canceled(ctx, c.clock.Now().Sub(w.entered)))
	}
	c.metrics.dispatched(w.dispatched.Sub(w.entered))
	return ticket, nil
}

// canceled maps the end of a waiting request's context to an error.
func canceled(ctx context.Context, waited time.Duration) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &DeadlineError{Wait: waited}
	}
	return &CanceledError{Cause: context.Cause(ctx)}
}

func (c *Controller) refuse(err error) error {
	c.metrics.refused(err)
	return err
}

func (c *Controller) leave(w *Waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Cancel(w)
}

// Wait returns how long the request waited.
func (t *Ticket) Wait() time.Duration { return t.waiter.dispatched.Sub(t.waiter.entered) }

// Done returns the slot. Repeated calls have no effect.
func (t *Ticket) Done(outcome Outcome) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announce(c.scheduler.Finish(c.clock.Now(), t.waiter, outcome))
}

// SetCapacity sets how many requests this host may have at the model's
// replicas at once; 0 while no replica is loaded.
func (c *Controller) SetCapacity(model string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announce(c.scheduler.SetCapacity(c.clock.Now(), model, slots))
}

// SetExpectedReady sets when a model without capacity is expected to have
// some; the zero time means unknown.
func (c *Controller) SetExpectedReady(model string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.SetExpectedReady(model, at)
}

// RemoveModel drops an idle model that is no longer configured.
func (c *Controller) RemoveModel(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.RemoveModel(model)
}

// Waiting returns the number of waiting requests of a model and their earliest
// deadline, which is zero when none waits.
func (c *Controller) Waiting(model string) (count int, earliestDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.scheduler.Demand(model)
	return demand.Waiting, demand.EarliestDeadline
}

// Demands returns the waiting work of all models with waiting requests.
func (c *Controller) Demands() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Demands()
}

// Dump returns the state for operators.
func (c *Controller) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Dump()
}

func (c *Controller) waitingCount() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.scheduler.deadlines))
}

// announce wakes the decided requests. It requires c.mu.
func (c *Controller) announce(decided []*Waiter) {
	for _, w := range decided {
		close(w.ready)
	}
}

// arm sets the timer to the earliest deadline. It requires c.mu. A deadline
// that moved away leaves the timer as it is: an early run does no harm.
func (c *Controller) arm() {
	deadline, ok := c.scheduler.NextDeadline()
	if !ok || (!c.timerAt.IsZero() && !deadline.Before(c.timerAt)) {
		return
	}
	c.timerAt = deadline
	c.timer.Reset(deadline.Sub(c.clock.Now()))
}

// expire runs when the timer fires.
func (c *Controller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerAt = time.Time{}
	c.announce(c.scheduler.Expire(c.clock.Now()))
	c.arm()
}
