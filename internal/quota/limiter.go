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

// Policies. PolicyStatic is the baseline: each host has its part and no more.
const (
	PolicyLoans  Policy = "loans"
	PolicyStatic Policy = "static"
)

const (
	// pumpInterval bounds how long a queue waits before it looks at other
	// hosts' balances again.
	pumpInterval = 50 * time.Millisecond
	pumpMinimum  = time.Millisecond
	// maintenanceInterval is the period of returns and slot activation.
	maintenanceInterval = 50 * time.Millisecond
	// activationWait bounds the wait for the first slot of a workspace: a host that
	// has just started has none yet.
	activationWait = time.Second
)

// LoanClient calls other hosts by name. Implementations bound their own size of
// messages; the context bounds the time.
type LoanClient interface {
	Borrow(ctx context.Context, host string, request LoanRequest) (LoanGrant, error)
	ReturnLoan(ctx context.Context, host string, report LoanReturn) error
}

// Limiter makes requests wait for tokens and borrows from other hosts. It is
// safe for concurrent use.
type Limiter struct {
	manager  *Manager
	lenders  LoanClient
	policy   Policy
	clk      clock.Clock
	balances *balances
	metrics  *metrics

	ctx    context.Context // ends with Close; bounds calls to other hosts
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	queues    sync.Map // workspace name to *queue
	returning sync.Map // lenders that a report is on its way to

	mu     sync.Mutex
	closed bool
}

// NewLimiter returns a Limiter over a Manager. Run must be running while
// requests are served.
func NewLimiter(manager *Manager, lenders LoanClient, policy Policy, registerer prometheus.Registerer) *Limiter {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Limiter{
		manager:  manager,
		lenders:  lenders,
		policy:   policy,
		clk:      manager.clk,
		balances: newBalances(),
		metrics:  newMetrics(registerer),
		ctx:      ctx,
		cancel:   cancel,
	}
	manager.OnTokensAvailable(l.wake)
	return l
}

// Observe records the spare tokens in another host's heartbeat.
func (l *Limiter) Observe(host string, spares []SpareTokens) {
	l.balances.observe(host, spares, l.clk.Now())
}

// Acquire reserves tokens for a request that is dispatched immediately after it
// returns. It waits in order of arrival within the workspace, and borrows from
// other hosts when the policy allows it. It returns the errors of Reserve
// except *ShortfallError, *RateLimitedError when the tokens cannot arrive
// before the deadline, *ClosedError, or the context's error.
func (l *Limiter) Acquire(ctx context.Context, workspace string, tokens float64, deadline time.Time) (*Reservation, error) {
	q := l.queue(workspace)
	if q.length.Load() == 0 {
		r, err := l.manager.Reserve(workspace, tokens)
		var shortfall *ShortfallError
		if !errors.As(err, &shortfall) {
			l.metrics.count(err)
			return r, err
		}
	} else if err := l.manager.countDemand(workspace, tokens); err != nil {
		l.metrics.count(err)
		return nil, err
	}
	r, err := l.wait(ctx, q, tokens, deadline)
	l.metrics.count(err)
	return r, err
}

func (l *Limiter) wait(ctx context.Context, q *queue, tokens float64, deadline time.Time) (*Reservation, error) {
	if !l.active(q.workspace) {
		deadline = earlier(deadline, l.clk.Now().Add(activationWait))
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
		q.withdraw(entry, l.refusal(q.workspace, tokens))
	case <-ctx.Done():
		q.withdraw(entry, ctx.Err())
	}
	return entry.result() // the tokens may have come first
}

// enqueue adds a request to the queue, or refuses it when the tokens cannot
// arrive in time.
func (l *Limiter) enqueue(q *queue, tokens float64, deadline time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !l.feasible(q.workspace, q.tokens+tokens, tokens, deadline) {
		return nil, l.refusal(q.workspace, q.tokens+tokens)
	}
	entry := &waiter{tokens: tokens, deadline: deadline, done: make(chan struct{})}
	q.push(entry)
	if !q.running && !l.spawn(func() { l.pump(q) }) {
		q.remove(entry)
		return nil, &ClosedError{}
	}
	q.running = true
	return entry, nil
}

// spawn runs a function in the background unless the limiter is closed.
func (l *Limiter) spawn(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.tasks.Go(f)
	return true
}

// feasible reports whether the tokens needed, including those of requests
// ahead, can arrive before the deadline from own refill and known spare.
func (l *Limiter) feasible(workspace string, needed, cost float64, deadline time.Time) bool {
	supply, ok := l.supply(workspace)
	if !ok || (l.policy == PolicyStatic && cost > supply.capacity) {
		return false
	}
	horizon := deadline.Sub(l.clk.Now())
	if horizon <= 0 {
		return false
	}
	if !l.active(workspace) {
		return true // the first slot may come at any moment; the deadline is short until then
	}
	return supply.now+supply.rate*horizon.Seconds() >= needed-tokenTolerance
}

// active reports whether some host is known to refill the workspace's tokens. One
// whose rate is 0 counts as active: its tokens never come.
func (l *Limiter) active(workspace string) bool {
	supply, ok := l.supply(workspace)
	return !ok || supply.rate > 0 || supply.configured <= 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refusal estimates when the tokens will be there.
func (l *Limiter) refusal(workspace string, needed float64) *RateLimitedError {
	refused := &RateLimitedError{Workspace: workspace}
	supply, ok := l.supply(workspace)
	if ok && supply.rate > 0 && needed > supply.now {
		refused.RetryAfter = time.Duration((needed - supply.now) / supply.rate * float64(time.Second))
	}
	return refused
}

// supply is what this host can count on for a workspace.
type supply struct {
	now      float64 // tokens available here or known to be spare
	rate     float64 // tokens per second that become available
	capacity float64 // of this host's own bucket
	// configured is the workspace's rate, in tokens per second.
	configured float64
}

func (l *Limiter) supply(workspace string) (supply, bool) {
	w, ok := l.manager.allowance(workspace)
	if !ok {
		return supply{}, false
	}
	total := supply{now: w.available, rate: w.ownRate, capacity: w.ownCapacity, configured: w.rate}
	if l.policy == PolicyStatic {
		return total, true
	}
	now := l.clk.Now()
	for _, lender := range w.lenders {
		tokens, rate := l.balances.estimate(lender.host, w, lender.share, now)
		total.now += tokens
		total.rate += rate
	}
	return total, true
}

// Run returns borrowed tokens, activates slots and expires loans until the
// context ends.
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

func (l *Limiter) maintain() {
	l.manager.Tick()
	l.balances.forget(l.clk.Now(), l.manager.knows)
	l.startReturns()
	l.dropQueues()
}

// Close refuses waiting requests and returns all borrowed tokens. Running
// requests should have been settled before.
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
		calls.Go(func() { l.returnTo(ctx, lender, reports) })
	}
	calls.Wait()
}
