package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// Controller is a Scheduler for concurrent use: Admit blocks until the request is
// dispatched, refused or expired.
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

// Ticket holds one slot at the model's replicas for a dispatched request.
type Ticket struct {
	controller *Controller
	waiter     *Waiter
}

// Admit blocks until the request may be sent to an upstream. It returns
// *QueueFullError, *DeadlineError or *CanceledError if the request was not
// dispatched; in these cases the request did not run. The caller must call Done
// on the ticket.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, error) {
	c.mu.Lock()
	w, err := c.scheduler.Submit(c.clock.Now(), r)
	if err != nil {
		c.mu.Unlock()
		c.metrics.countRefusal(err)
		return nil, err
	}
	if w.state == Dispatched {
		c.mu.Unlock()
		c.metrics.dispatchedAtOnce.Inc()
		return &Ticket{controller: c, waiter: w}, nil
	}
	w.ready = make(chan struct{})
	c.armTimer()
	c.mu.Unlock()
	return c.wait(ctx, w)
}

func (c *Controller) wait(ctx context.Context, w *Waiter) (*Ticket, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		if c.cancel(w) {
			return nil, c.refuse(contextError(ctx, c.clock.Now().Sub(w.submittedAt)))
		}
	}
	// Once ready is closed, the state no longer changes to or from Expired.
	if w.state == Expired {
		return nil, c.refuse(&DeadlineError{Wait: c.clock.Now().Sub(w.submittedAt)})
	}
	ticket := &Ticket{controller: c, waiter: w}
	if ctx.Err() != nil {
		ticket.Done(NotRun)
		return nil, c.refuse(contextError(ctx, c.clock.Now().Sub(w.submittedAt)))
	}
	c.metrics.observeDispatch(w.dispatchedAt.Sub(w.submittedAt))
	return ticket, nil
}

// contextError returns the error for a waiting request whose context has ended.
func contextError(ctx context.Context, waited time.Duration) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &DeadlineError{Wait: waited}
	}
	return &CanceledError{Cause: context.Cause(ctx)}
}

func (c *Controller) refuse(err error) error {
	c.metrics.countRefusal(err)
	return err
}

func (c *Controller) cancel(w *Waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Cancel(w)
}

// Wait returns how long the request waited in the queue.
func (t *Ticket) Wait() time.Duration { return t.waiter.dispatchedAt.Sub(t.waiter.submittedAt) }

// Done releases the slot. Repeated calls have no effect.
func (t *Ticket) Done(outcome Outcome) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(c.scheduler.Finish(c.clock.Now(), t.waiter, outcome))
}

// SetCapacity sets how many requests this host may have in flight at the model's
// replicas; 0 while no replica is loaded.
func (c *Controller) SetCapacity(model string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify(c.scheduler.SetCapacity(c.clock.Now(), model, slots))
}

// SetExpectedReady sets the time at which a model without capacity is expected to
// have some; the zero time means unknown.
func (c *Controller) SetExpectedReady(model string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.SetExpectedReady(model, at)
}

// RemoveModel removes an idle model that is no longer configured.
func (c *Controller) RemoveModel(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduler.RemoveModel(model)
}

// Waiting returns the number of waiting requests of a model and their earliest
// deadline, which is zero if none is waiting.
func (c *Controller) Waiting(model string) (count int, earliestDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.scheduler.Demand(model)
	return demand.Waiting, demand.EarliestDeadline
}

// Demands returns the demand of each model with waiting requests, by name.
func (c *Controller) Demands() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.Demands()
}

// Dump returns the state of the scheduler for operators.
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

// notify wakes the callers of dispatched or expired requests. It requires c.mu.
func (c *Controller) notify(decided []*Waiter) {
	for _, w := range decided {
		close(w.ready)
	}
}

// armTimer sets the timer to the earliest deadline. It requires c.mu. The timer is
// not reset when the earliest deadline becomes later: firing early is harmless.
func (c *Controller) armTimer() {
	deadline, ok := c.scheduler.NextDeadline()
	if !ok || (!c.timerAt.IsZero() && !deadline.Before(c.timerAt)) {
		return
	}
	c.timerAt = deadline
	c.timer.Reset(deadline.Sub(c.clock.Now()))
}

// expire is called when the timer fires.
func (c *Controller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerAt = time.Time{}
	c.notify(c.scheduler.Expire(c.clock.Now()))
	c.armTimer()
}
