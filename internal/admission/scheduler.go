package admission

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// State is the state of a Waiter.
type State uint8

// States of a Waiter.
const (
	Waiting State = iota
	Dispatched
	Expired
	Canceled
	Finished
)

// Waiter is a request submitted to a Scheduler.
type Waiter struct {
	request        Request
	flowRequest    flowRequest
	state          State
	submittedAt    time.Time
	dispatchedAt   time.Time
	queue          *queue
	flow           *flow
	previous, next *Waiter
	heapIndex      int
	ready          chan struct{} // set by Controller; closed when the request is dispatched or expired
}

// State returns the waiter's state.
func (w *Waiter) State() State { return w.state }

// Request returns the request as submitted, with defaults applied.
func (w *Waiter) Request() Request { return w.request }

// Scheduler implements the admission policy without goroutines and without a
// clock. It is not safe for concurrent use.
type Scheduler struct {
	policy       Policy
	limits       Limits
	queues       map[string]*queue
	deadlines    deadlineHeap
	perWorkspace map[string]int // waiting requests
}

// NewScheduler returns an empty Scheduler.
func NewScheduler(policy Policy, limits Limits) *Scheduler {
	return &Scheduler{
		policy:       policy,
		limits:       limits,
		queues:       map[string]*queue{},
		perWorkspace: map[string]int{},
	}
}

// Submit dispatches a request at once, queues it, or refuses it with
// *QueueFullError or *DeadlineError.
func (s *Scheduler) Submit(now time.Time, r Request) (*Waiter, error) {
	r = withDefaults(r)
	q := s.queueFor(r.Model)
	w := &Waiter{request: r, flowRequest: s.flowRequest(&r), submittedAt: now, queue: q}
	if !r.Deadline.After(now) {
		return nil, &DeadlineError{}
	}
	if q.inFlight < q.capacity && q.waiting() == 0 {
		q.classes[w.flowRequest.priority].charge(&w.flowRequest)
		s.dispatch(now, w)
		return w, nil
	}
	wait := q.estimateWait(now, &w.flowRequest)
	if err := s.checkLimits(&r, wait); err != nil {
		return nil, err
	}
	if now.Add(wait).After(r.Deadline) {
		return nil, &DeadlineError{Unmeetable: true, Wait: wait, RetryAfter: wait - r.Deadline.Sub(now)}
	}
	s.enqueue(w)
	return w, nil
}

func withDefaults(r Request) Request {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	if r.Priority >= priorityCount {
		r.Priority = Interactive
	}
	return r
}

// flowRequest returns the attributes of the request for the fair queue. Under FCFS
// all requests of a model are in one flow.
func (s *Scheduler) flowRequest(r *Request) flowRequest {
	if s.policy == FCFS {
		return flowRequest{weight: 1, cost: r.Cost}
	}
	return flowRequest{workspace: r.Workspace, weight: r.Weight, cost: r.Cost, priority: r.Priority}
}

func (s *Scheduler) queueFor(model string) *queue {
	q, ok := s.queues[model]
	if !ok {
		q = newQueue(model)
		s.queues[model] = q
	}
	return q
}

func (s *Scheduler) checkLimits(r *Request, wait time.Duration) error {
	if limit := s.limits.WaitingPerWorkspace; s.perWorkspace[r.Workspace] >= limit {
		return &QueueFullError{Workspace: r.Workspace, Limit: limit, RetryAfter: wait}
	}
	if len(s.deadlines) >= s.limits.Waiting {
		return &QueueFullError{Limit: s.limits.Waiting, RetryAfter: wait}
	}
	return nil
}

func (s *Scheduler) enqueue(w *Waiter) {
	heap.Push(&s.deadlines, w)
	s.perWorkspace[w.request.Workspace]++
	w.queue.classes[w.flowRequest.priority].push(w)
}

func (s *Scheduler) dispatch(now time.Time, w *Waiter) {
	w.state = Dispatched
	w.dispatchedAt = now
	w.queue.inFlight++
}

// removeFromIndexes removes a waiter that has left its fairQueue from the
// deadlines and the count per workspace.
func (s *Scheduler) removeFromIndexes(w *Waiter) {
	s.deadlines.remove(w)
	workspace := w.request.Workspace
	s.perWorkspace[workspace]--
	if s.perWorkspace[workspace] == 0 {
		delete(s.perWorkspace, workspace)
	}
}

// Cancel removes a waiting request. It reports whether the request was still
// waiting.
func (s *Scheduler) Cancel(w *Waiter) bool {
	if w.state != Waiting {
		return false
	}
	s.removeWaiting(w, Canceled)
	return true
}

func (s *Scheduler) removeWaiting(w *Waiter, state State) {
	w.queue.classes[w.flowRequest.priority].remove(w)
	s.removeFromIndexes(w)
	w.state = state
}

// Finish releases the slot of a dispatched request and returns the requests that
// were dispatched or expired as a result. Repeated calls have no effect.
func (s *Scheduler) Finish(now time.Time, w *Waiter, outcome Outcome) []*Waiter {
	if w.state != Dispatched {
		return nil
	}
	w.state = Finished
	q := w.queue
	q.inFlight--
	if outcome == Completed {
		q.observe(now.Sub(w.dispatchedAt), w.request.Cost)
	}
	if q.idle() {
		q.classes[Interactive].reset()
		q.classes[Batch].reset()
		return nil
	}
	return s.dispatchWaiting(now, q)
}

// SetCapacity sets how many requests this host may have in flight at the model's
// replicas, and returns the requests that were dispatched or expired as a result.
// Lowering the capacity does not affect requests in flight.
func (s *Scheduler) SetCapacity(now time.Time, model string, slots int) []*Waiter {
	q := s.queueFor(model)
	q.setCapacity(max(slots, 0))
	return s.dispatchWaiting(now, q)
}

// SetExpectedReady sets the time at which a cold model is expected to have
// capacity; zero means unknown. It affects only later arrivals.
func (s *Scheduler) SetExpectedReady(model string, at time.Time) {
	s.queueFor(model).expectedReady = at
}

// dispatchWaiting dispatches waiters to free slots and returns the requests that
// were dispatched or expired.
func (s *Scheduler) dispatchWaiting(now time.Time, q *queue) []*Waiter {
	if q.inFlight >= q.capacity || q.waiting() == 0 {
		return nil
	}
	decided := s.Expire(now)
	for q.inFlight < q.capacity {
		w := q.popNext(now)
		if w == nil {
			break
		}
		s.removeFromIndexes(w)
		s.dispatch(now, w)
		decided = append(decided, w)
	}
	return decided
}

// Expire removes and returns every waiting request whose deadline has passed.
func (s *Scheduler) Expire(now time.Time) []*Waiter {
	var expired []*Waiter
	for {
		deadline, ok := s.deadlines.earliest()
		if !ok || deadline.After(now) {
			return expired
		}
		w := s.deadlines[0]
		s.removeWaiting(w, Expired)
		expired = append(expired, w)
	}
}

// NextDeadline returns the earliest deadline of a waiting request.
func (s *Scheduler) NextDeadline() (time.Time, bool) { return s.deadlines.earliest() }

// Demand describes the waiting requests of one model.
type Demand struct {
	Model            string
	Waiting          int
	EarliestDeadline time.Time
}

// Demand returns the demand of a model. It visits all waiters of the model.
func (s *Scheduler) Demand(model string) Demand {
	demand := Demand{Model: model}
	q, ok := s.queues[model]
	if !ok {
		return demand
	}
	demand.Waiting = q.waiting()
	for i := range q.classes {
		for _, f := range q.classes[i].backlogged {
			demand.EarliestDeadline = earlier(demand.EarliestDeadline, f.waiters.earliestDeadline())
		}
	}
	return demand
}

// earlier returns the earlier of two times; the zero time counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Demands returns the demand of each model with waiting requests, by name.
func (s *Scheduler) Demands() []Demand {
	var demands []Demand
	for model, q := range s.queues {
		if q.waiting() > 0 {
			demands = append(demands, s.Demand(model))
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Model, b.Model) })
	return demands
}

// RemoveModel removes a model that is no longer configured. It has no effect while
// requests of the model are waiting or in flight.
func (s *Scheduler) RemoveModel(model string) {
	if q, ok := s.queues[model]; ok && q.idle() {
		delete(s.queues, model)
	}
}
