package quota

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// waiter is a request that waits for tokens. Its fields are guarded by queue.mu
// until done is closed.
type waiter struct {
	tokens      float64
	deadline    time.Time
	done        chan struct{}
	reservation *Reservation
	err         error
	finished    bool
}

// result waits until the request is finished and returns its outcome.
func (e *waiter) result() (*Reservation, error) {
	<-e.done
	return e.reservation, e.err
}

// finish sets the outcome. It requires queue.mu and must be called only once.
func (e *waiter) finish(r *Reservation, err error) {
	e.reservation, e.err, e.finished = r, err, true
	close(e.done)
}

// queue holds a workspace's waiting requests in order of arrival.
type queue struct {
	workspace string
	manager   *Manager
	length    atomic.Int64 // waiting requests; read without mu
	wakeup    chan struct{}

	mu       sync.Mutex
	entries  []*waiter               // may contain finished ones, which head removes
	tokens   float64                 // sum of the costs of waiting requests
	running  bool                    // the goroutine of serveQueue is running
	inFlight map[string]inFlightLoan // by lender
}

// queue returns the queue of a workspace.
func (l *Limiter) queue(workspace string) *queue {
	if found, ok := l.queues.Load(workspace); ok {
		return found.(*queue)
	}
	q := &queue{
		workspace: workspace,
		manager:   l.manager,
		wakeup:    make(chan struct{}, 1),
		inFlight:  map[string]inFlightLoan{},
	}
	if !l.manager.hasWorkspace(workspace) {
		return q // not stored: its requests are refused, and unknown names must not use memory
	}
	found, _ := l.queues.LoadOrStore(workspace, q)
	return found.(*queue)
}

// dropQueues removes the empty queues of workspaces that have been removed.
func (l *Limiter) dropQueues() {
	l.queues.Range(func(name, q any) bool {
		if q.(*queue).length.Load() == 0 && !l.manager.hasWorkspace(name.(string)) {
			l.queues.Delete(name)
		}
		return true
	})
}

// wakeQueue makes a non-empty queue check for available tokens.
func (l *Limiter) wakeQueue(workspace string) {
	if q, ok := l.queues.Load(workspace); ok && q.(*queue).length.Load() > 0 {
		q.(*queue).signal()
	}
}

// signal wakes serveQueue.
func (q *queue) signal() {
	select {
	case q.wakeup <- struct{}{}:
	default: // a signal is pending
	}
}

// push appends a request. It requires q.mu, as do remove, head and summarize.
func (q *queue) push(entry *waiter) {
	q.entries = append(q.entries, entry)
	q.tokens += entry.tokens
	q.length.Add(1)
	q.summarize()
}

func (q *queue) remove(entry *waiter) {
	q.tokens -= entry.tokens
	if q.length.Add(-1) == 0 {
		q.tokens = 0
	}
	entry.finished = true
	q.head()
	q.summarize()
}

// head returns the first waiting request, or nil.
func (q *queue) head() *waiter {
	for len(q.entries) > 0 && q.entries[0].finished {
		q.entries[0] = nil
		q.entries = q.entries[1:]
	}
	if len(q.entries) == 0 {
		q.entries = nil
		return nil
	}
	return q.entries[0]
}

// summarize reports the waiting requests to the manager, which withholds their tokens
// from lending.
func (q *queue) summarize() {
	summary := queueSummary{tokens: q.tokens}
	if head := q.head(); head != nil {
		summary.firstCost, summary.deadline = head.tokens, head.deadline
	}
	q.manager.setQueue(q.workspace, summary)
}

// cancel removes a waiting request and finishes it with the error, unless it has
// finished already.
func (q *queue) cancel(entry *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if entry.finished {
		return
	}
	q.remove(entry)
	entry.finish(nil, err)
	q.signal()
}

// refuseAll finishes all waiting requests with the error.
func (q *queue) refuseAll(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for head := q.head(); head != nil; head = q.head() {
		q.remove(head)
		head.finish(nil, err)
	}
	q.signal()
}

// serveQueue serves the queue, and borrows tokens for it, until it is empty.
func (l *Limiter) serveQueue(q *queue) {
	timer := time.NewTimer(maxQueuePoll)
	defer timer.Stop()
	for {
		missing, ok := l.serveReady(q)
		if !ok {
			return
		}
		l.borrow(q, missing)
		timer.Reset(l.queuePollDelay(q.workspace, missing))
		select {
		case <-q.wakeup:
		case <-timer.C:
		}
	}
}

// serveReady grants tokens to requests in order while they suffice. It returns the
// tokens that the first remaining request lacks, or false if none waits.
func (l *Limiter) serveReady(q *queue) (missing float64, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for head := q.head(); head != nil; head = q.head() {
		missing, done := l.serveHead(q, head)
		if !done {
			return missing, true
		}
	}
	q.running = false
	return 0, false
}

// serveHead finishes the first request if it can be granted or must be refused.
// Otherwise it returns the tokens that the request lacks.
func (l *Limiter) serveHead(q *queue, head *waiter) (missing float64, done bool) {
	r, err := l.manager.reserveQueued(q.workspace, head.tokens)
	var shortfall *ShortfallError
	if errors.As(err, &shortfall) {
		if l.feasible(q.workspace, head.tokens, head.tokens, head.deadline) {
			return shortfall.Missing, false
		}
		r, err = nil, l.rateLimitedError(q.workspace, head.tokens)
	}
	q.remove(head)
	head.finish(r, err)
	return 0, true
}

// queuePollDelay returns the time until this host's refill covers the first request,
// between minQueuePoll and maxQueuePoll.
func (l *Limiter) queuePollDelay(workspace string, missing float64) time.Duration {
	w, ok := l.manager.allowance(workspace)
	if !ok || w.ownRate <= 0 || missing > w.ownRate*maxQueuePoll.Seconds() {
		return maxQueuePoll
	}
	return max(minQueuePoll, time.Duration(missing/w.ownRate*float64(time.Second)))
}
