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

// Waiter is a request known to a Scheduler.
type Waiter struct {
	request        Request
	share          share
	state          State
	entered        time.Time
	dispatched     time.Time
	queue          *queue
	flow           *flow
	previous, next *Waiter
	heapIndex      int
	ready          chan struct{} // used by Controller; closed when decided
}

// State returns the waiter's state.
func (w *Waiter) State() State { return w.state }

// Request returns the request as it was entered.
func (w *Waiter) Request() Request { return w.request }

// Scheduler is the pure core: it has no goroutines and no clock, and is not
// safe for concurrent use.
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

// Submit dispatches a request at once, lets it wait, or refuses it with
// *QueueFullError or *DeadlineError.
func (s *Scheduler) Submit(now time.Time, r Request) (*Waiter, error) {
	r = normalized(r)
	q := s.queue(r.Model)
	w := &Waiter{request: r, share: s.share(&r), entered: now, queue: q}
	if !r.Deadline.After(now) {
		return nil, &DeadlineError{}
	}
	if q.inFlight < q.capacity && q.waiting() == 0 {
		q.classes[w.share.priority].charge(&w.share)
		s.dispatch(now, w)
		return w, nil
	}
	wait := q.estimate(now, &w.share)
	if err := s.checkLimits(&r, wait); err != nil {
		return nil, err
	}
	if now.Add(wait).After(r.Deadline) {
		return nil, &DeadlineError{Unmeetable: true, Wait: wait, RetryAfter: wait - r.Deadline.Sub(now)}
	}
	s.enqueue(w)
	return w, nil
}

func normalized(r Request) Request {
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

// share returns the request as the fair queue sees it. Under FCFS all requests
// of a model are in one flow.
func (s *Scheduler) share(r *Request) share {
	if s.policy == FCFS {
		return share{weight: 1, cost: r.Cost}
	}
	return share{workspace: r.Workspace, weight: r.Weight, cost: r.Cost, priority: r.Priority}
}

func (s *Scheduler) queue(model string) *queue {
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
	w.queue.classes[w.share.priority].push(w)
}

func (s *Scheduler) dispatch(now time.Time, w *Waiter) {
	w.state = Dispatched
	w.dispatched = now
	w.queue.inFlight++
}

// forget removes a waiter, already out of its class, from the other indexes.
func (s *Scheduler) forget(w *Waiter) {
	s.deadlines.remove(w)
	workspace := w.request.Workspace
	s.perWorkspace[workspace]--
	if s.perWorkspace[workspace] == 0 {
		delete(s.perWorkspace, workspace)
	}
}

// Cancel removes a waiting request whose caller has gone. It reports whether
// the request was still waiting.
func (s *Scheduler) Cancel(w *Waiter) bool {
	if w.state != Waiting {
		return false
	}
	s.take(w, Canceled)
	return true
}

func (s *Scheduler) take(w *Waiter, state State) {
	w.queue.classes[w.share.priority].unlink(w)
	s.forget(w)
	w.state = state
}

// Finish returns the slot of a dispatched request and returns the requests
// decided by it. Repeated calls have no effect.
func (s *Scheduler) Finish(now time.Time, w *Waiter, outcome Outcome) []*Waiter {
	if w.state != Dispatched {
		return nil
	}
	w.state = Finished
	q := w.queue
	q.inFlight--
	if outcome == Completed {
		q.observe(now.Sub(w.dispatched), w.request.Cost)
	}
	if q.idle() {
		q.classes[Interactive].reset()
		q.classes[Batch].reset()
		return nil
	}
	return s.fill(now, q)
}

// SetCapacity sets how many requests this host may have at the model's
// replicas at once, and returns the requests decided by it. Lowering it does
// not affect running requests.
func (s *Scheduler) SetCapacity(now time.Time, model string, slots int) []*Waiter {
	q := s.queue(model)
	q.setCapacity(max(slots, 0))
	return s.fill(now, q)
}

// SetExpectedReady sets when a cold model is expected to have capacity; zero
// means unknown. It only influences later arrivals.
func (s *Scheduler) SetExpectedReady(model string, at time.Time) {
	s.queue(model).expectedReady = at
}

// fill dispatches waiters into free slots.
func (s *Scheduler) fill(now time.Time, q *queue) []*Waiter {
	if q.inFlight >= q.capacity || q.waiting() == 0 {
		return nil
	}
	decided := s.Expire(now)
	for q.inFlight < q.capacity {
		w := q.next(now)
		if w == nil {
			break
		}
		s.forget(w)
		s.dispatch(now, w)
		decided = append(decided, w)
	}
	return decided
}

// Expire ends the wait of every request whose deadline has come.
func (s *Scheduler) Expire(now time.Time) []*Waiter {
	var expired []*Waiter
	for {
		deadline, ok := s.deadlines.earliest()
		if !ok || deadline.After(now) {
			return expired
		}
		w := s.deadlines[0]
		s.take(w, Expired)
		expired = append(expired, w)
	}
}

// NextDeadline returns the earliest deadline of a waiting request.
func (s *Scheduler) NextDeadline() (time.Time, bool) { return s.deadlines.earliest() }

// Demand is the waiting work of one model.
type Demand struct {
	Model            string
	Waiting          int
	EarliestDeadline time.Time
}

// Demand returns the waiting work of a model. It reads all its waiters.
func (s *Scheduler) Demand(model string) Demand {
	demand := Demand{Model: model}
	q, ok := s.queues[model]
	if !ok {
		return demand
	}
	demand.Waiting = q.waiting()
	for i := range q.classes {
		for _, f := range q.classes[i].backlog {
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

// Demands returns the waiting work of all models with waiters, by name.
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

// RemoveModel drops a model that is no longer configured. It has no effect while
// requests of the model wait or run.
func (s *Scheduler) RemoveModel(model string) {
	if q, ok := s.queues[model]; ok && q.idle() {
		delete(s.queues, model)
	}
}
