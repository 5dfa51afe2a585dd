package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// Policy selects how hosts share an allowance.
type Policy string

// Policies. With PolicyStatic, the baseline for comparisons, each host uses only its
// own share.
const (
	PolicyLoans  Policy = "loans"
	PolicyStatic Policy = "static"
)

const (
	// maxQueuePoll and minQueuePoll bound the interval at which a queue with waiting
	// requests checks its own bucket and other hosts' balances.
	maxQueuePoll = 50 * time.Millisecond
	minQueuePoll = time.Millisecond
	// maintenanceInterval is the period of loan returns and slot activation.
	maintenanceInterval = 50 * time.Millisecond
	// activationTimeout bounds the wait of a request for the first active slot of its
	// workspace. A host that has just started has none.
	activationTimeout = time.Second
)

// LoanClient sends loan messages to other hosts, addressed by name. Implementations
// bound the size of messages; the context bounds the time.
type LoanClient interface {
	Borrow(ctx context.Context, host string, request LoanRequest) (LoanGrant, error)
	ReturnLoan(ctx context.Context, host string, report LoanReturn) error
}

// Limiter reserves tokens for requests: it queues requests that must wait and
// borrows tokens from other hosts. It is safe for concurrent use.
type Limiter struct {
	manager  *Manager
	client   LoanClient
	policy   Policy
	clk      clock.Clock
	balances *balances
	metrics  *metrics

	ctx    context.Context // ends with Close; bounds calls to other hosts
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	queues    sync.Map // workspace name to *queue
	returning sync.Map // lender names with a loan return in progress

	mu     sync.Mutex
	closed bool
}

// NewLimiter returns a Limiter for a Manager. Run must be running while requests
// are served. A nil registerer leaves the metrics unregistered.
func NewLimiter(manager *Manager, client LoanClient, policy Policy, registerer prometheus.Registerer) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		manager:  manager,
		client:   client,
		policy:   policy,
		clk:      manager.clk,
		balances: newBalances(),
		metrics:  newMetrics(registerer),
		ctx:      ctx,
		cancel:   cancel,
	}
	manager.OnTokensAvailable(l.wakeQueue)
	return l
}

// Observe records the spare tokens reported in another host's heartbeat.
func (l *Limiter) Observe(host string, spares []SpareTokens) {
	l.balances.observe(host, spares, l.clk.Now())
}

// Acquire reserves tokens for a request, which must be dispatched immediately after
// it returns. Requests of a workspace wait in order of arrival; tokens are borrowed
// from other hosts if the policy allows it. Acquire returns *RateLimitedError if the
// tokens are not expected before the deadline, *ClosedError, the context's error, or
// an error of Manager.Reserve other than *ShortfallError.
func (l *Limiter) Acquire(ctx context.Context, workspace string, tokens float64, deadline time.Time) (*Reservation, error) {
	q := l.queue(workspace)
	if q.length.Load() == 0 {
		r, err := l.manager.Reserve(workspace, tokens)
		var shortfall *ShortfallError
		if !errors.As(err, &shortfall) {
			l.metrics.count(err)
			return r, err
		}
	} else if err := l.manager.checkQueued(workspace, tokens); err != nil {
		l.metrics.count(err)
		return nil, err
	}
	r, err := l.wait(ctx, q, tokens, deadline)
	l.metrics.count(err)
	return r, err
}

// wait queues a request until it is granted, refused or cancelled.
func (l *Limiter) wait(ctx context.Context, q *queue, tokens float64, deadline time.Time) (*Reservation, error) {
	if supply, ok := l.supply(q.workspace); ok && !supply.slotsActive() {
		deadline = earlier(deadline, l.clk.Now().Add(activationTimeout))
	}
	entry, err := l.enqueue(q, tokens, deadline)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(deadline.Sub(l.clk.Now()))
	defer timer.Stop()
	select {
	case <-entry.done:
		return entry.result()
	case <-timer.C:
		q.cancel(entry, l.rateLimitedError(q.workspace, tokens))
	case <-ctx.Done():
		q.cancel(entry, ctx.Err())
	}
	return entry.result() // may have been granted before the cancellation
}

// enqueue adds a request to the queue, or refuses it if the tokens are not expected
// before the deadline.
func (l *Limiter) enqueue(q *queue, tokens float64, deadline time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !l.feasible(q.workspace, q.tokens+tokens, tokens, deadline) {
		return nil, l.rateLimitedError(q.workspace, q.tokens+tokens)
	}
	entry := &waiter{tokens: tokens, deadline: deadline, done: make(chan struct{})}
	q.push(entry)
	if !q.running && !l.spawn(func() { l.serveQueue(q) }) {
		q.remove(entry)
		return nil, &ClosedError{}
	}
	q.running = true
	return entry, nil
}

// spawn runs a function in a goroutine that Close waits for. It reports false if
// the limiter is closed.
func (l *Limiter) spawn(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Go(f)
	return true
}

// feasible reports whether this host's refill and the known spare tokens of other
// hosts can provide the needed tokens, which include those of earlier requests,
// before the deadline.
func (l *Limiter) feasible(workspace string, needed, cost float64, deadline time.Time) bool {
	supply, ok := l.supply(workspace)
	if !ok || (l.policy == PolicyStatic && cost > supply.capacity) {
		return false
	}
	horizon := deadline.Sub(l.clk.Now())
	if horizon <= 0 {
		return false
	}
	if !supply.slotsActive() {
		return true // a slot may become active at any time; wait has shortened the deadline
	}
	return supply.available+supply.rate*horizon.Seconds() >= needed-tokenTolerance
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// rateLimitedError returns the refusal of a request, with an estimate of when the needed
// tokens are available.
func (l *Limiter) rateLimitedError(workspace string, needed float64) *RateLimitedError {
	refused := &RateLimitedError{Workspace: workspace}
	supply, ok := l.supply(workspace)
	if ok && supply.rate > 0 && needed > supply.available {
		refused.RetryAfter = time.Duration((needed - supply.available) / supply.rate * float64(time.Second))
	}
	return refused
}

// supply describes the tokens that this host can expect for a workspace.
type supply struct {
	available float64 // tokens available here or reported spare by others
	rate      float64 // tokens per second that become available
	capacity  float64 // of this host's own bucket
	// configuredRate is the workspace's rate over all hosts, in tokens per second.
	configuredRate float64
}

// slotsActive reports whether some host is known to refill the workspace's tokens. It
// is true for a workspace with a rate of 0, for which waiting is useless.
func (s supply) slotsActive() bool { return s.rate > 0 || s.configuredRate <= 0 }

// supply reports false for a workspace that is not configured.
func (l *Limiter) supply(workspace string) (supply, bool) {
	w, ok := l.manager.allowance(workspace)
	if !ok {
		return supply{}, false
	}
	total := supply{available: w.available, rate: w.ownRate, capacity: w.ownCapacity, configuredRate: w.rate}
	if l.policy == PolicyStatic {
		return total, true
	}
	now := l.clk.Now()
	for _, lender := range w.lenders {
		tokens, rate := l.balances.estimate(lender.host, w, lender.share, now)
		total.available += tokens
		total.rate += rate
	}
	return total, true
}

// Run periodically returns borrowed tokens, activates slots and expires loans until
// the context ends.
func (l *Limiter) Run(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.maintain()
		}
	}
}

// maintain performs one round of maintenance.
func (l *Limiter) maintain() {
	l.manager.Tick()
	l.balances.evictStale(l.clk.Now(), l.manager.hasWorkspace)
	l.startReturns()
	l.dropQueues()
}

// Close refuses waiting requests and returns all borrowed tokens; the context bounds
// the returns. Reservations should have been settled before.
func (l *Limiter) Close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.queues.Range(func(_, q any) bool {
		q.(*queue).refuseAll(&ClosedError{})
		return true
	})
	l.cancel()
	l.tasks.Wait()
	var calls conc.WaitGroup
	for lender, reports := range byLender(l.manager.ReturnAll()) {
		calls.Go(func() { l.sendReturns(ctx, lender, reports) })
	}
	calls.Wait()
}
