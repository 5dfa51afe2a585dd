package quota

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
)

// directClient is a LoanClient that calls managers in the same process.
type directClient struct {
	managers map[string]*Manager
	mu       sync.Mutex
	down     map[string]bool
	borrows  int
}

type downError struct{}

func (downError) Error() string { return "down" }

func (d *directClient) Borrow(_ context.Context, host string, request LoanRequest) (LoanGrant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrows++
	if d.down[host] {
		return LoanGrant{}, downError{}
	}
	return d.managers[host].Lend(request), nil
}

func (d *directClient) ReturnLoan(_ context.Context, host string, report LoanReturn) error {
	d.managers[host].ApplyReturn(report)
	return nil
}

// fastSnapshot returns a configuration in which workspace "w" has 1,000 tokens/s and a
// burst of 200 tokens over two hosts.
func fastSnapshot(t testing.TB) *config.Snapshot {
	return testSnapshot(t, 1, func(d *config.Document) {
		d.Workspaces["w"] = config.Workspace{RateTokensPerS: 1000, BurstTokens: 200}
	})
}

// pair returns limiters of hosts "a" and "b" with full buckets.
func pair(t *testing.T, policy Policy) (map[string]*Limiter, *directClient) {
	t.Helper()
	client := &directClient{managers: map[string]*Manager{}, down: map[string]bool{}}
	limiters := map[string]*Limiter{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, host := range []string{"a", "b"} {
		m := startedManager(t, clock.System{}, host, fastSnapshot(t))
		client.managers[host] = m
		limiters[host] = NewLimiter(m, client, policy, prometheus.NewRegistry())
	}
	time.Sleep(210 * time.Millisecond) // both buckets refill
	for _, l := range limiters {
		go l.Run(ctx)
		t.Cleanup(func() { l.Close(context.Background()) })
	}
	return limiters, client
}

// Guards against a host that refuses a request although another one could lend the
// tokens, and against loans under the static policy.
func TestAcquireBorrows(t *testing.T) {
	limiters, _ := pair(t, PolicyLoans)
	start := time.Now()
	r, err := limiters["a"].Acquire(t.Context(), "w", 180, start.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if r.EndBy().IsZero() {
		t.Error("a reservation above the host's share has no loan")
	}
	if wait := time.Since(start); wait > 100*time.Millisecond {
		t.Errorf("waited %v for a loan", wait)
	}
	r.Settle(180)
	limiters, client := pair(t, PolicyStatic)
	var limited *RateLimitedError
	if _, err := limiters["a"].Acquire(t.Context(), "w", 180, time.Now().Add(time.Second)); !errors.As(err, &limited) {
		t.Errorf("static policy: %v", err)
	}
	if client.borrows != 0 {
		t.Errorf("%d loan requests under the static policy", client.borrows)
	}
}

// Guards against a request that waits although its tokens are not expected before its
// deadline, and against a refusal without a usable RetryAfter.
func TestAcquireRefusesImmediately(t *testing.T) {
	limiters, client := pair(t, PolicyLoans)
	client.down["b"] = true
	if r, err := limiters["a"].Acquire(t.Context(), "w", 100, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	} else {
		r.Settle(100)
	}
	limiters["a"].balances.failed("b", time.Now())
	start := time.Now()
	_, err := limiters["a"].Acquire(t.Context(), "w", 90, start.Add(50*time.Millisecond))
	var limited *RateLimitedError
	if !errors.As(err, &limited) || limited.RetryAfter <= 0 || limited.RetryAfter > time.Second {
		t.Fatalf("got %v", err)
	}
	if wait := time.Since(start); wait > 25*time.Millisecond {
		t.Errorf("refused after %v", wait)
	}
}

// Guards against requests of a workspace that are served out of order, and against
// waiting requests that are neither served nor refused by their deadline.
func TestAcquireIsFair(t *testing.T) {
	limiters, client := pair(t, PolicyLoans)
	client.down["b"] = true
	var order []int
	var mu sync.Mutex
	var waiters sync.WaitGroup
	first, err := limiters["a"].Acquire(t.Context(), "w", 100, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	first.Settle(100)
	for i := range 8 {
		cost := 60.0
		if i%2 == 1 {
			cost = 1
		}
		waiters.Go(func() {
			r, err := limiters["a"].Acquire(context.Background(), "w", cost, time.Now().Add(5*time.Second))
			if err != nil {
				t.Errorf("waiter %d: %v", i, err)
				return
			}
			mu.Lock()
			order = append(order, i)
			mu.Unlock()
			r.Settle(cost)
		})
		time.Sleep(3 * time.Millisecond) // fix the order of arrival
	}
	waiters.Wait()
	for i := range order {
		if i > 0 && order[i] < order[i-1]-1 { // neighbours may be recorded in either order
			t.Fatalf("served in order %v", order)
		}
	}
}

// Guards against requests that wait beyond the end of their context, their deadline
// or the limiter.
func TestAcquireEnds(t *testing.T) {
	limiters, client := pair(t, PolicyLoans)
	client.down["b"] = true
	l := limiters["a"]
	reservation, err := l.Acquire(t.Context(), "w", 100, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Settle(0)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := l.Acquire(ctx, "w", 50, time.Now().Add(time.Minute)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("ended context: %v", err)
	}
	var limited *RateLimitedError
	start := time.Now()
	if _, err := l.Acquire(t.Context(), "w", 50, start.Add(100*time.Millisecond)); !errors.As(err, &limited) {
		t.Errorf("deadline: %v", err)
	}
	if wait := time.Since(start); wait > 300*time.Millisecond {
		t.Errorf("refused %v after a deadline of 100ms", wait)
	}
	closed := make(chan error, 1)
	go func() {
		_, err := l.Acquire(context.Background(), "w", 50, time.Now().Add(time.Minute))
		closed <- err
	}()
	time.Sleep(20 * time.Millisecond)
	l.Close(t.Context())
	var ended *ClosedError
	if err := <-closed; !errors.As(err, &ended) {
		t.Errorf("closed limiter: %v", err)
	}
}

// Guards against idle borrowed tokens that are not returned to their lender.
func TestIdleLoansAreReturned(t *testing.T) {
	limiters, client := pair(t, PolicyLoans)
	r, err := limiters["a"].Acquire(t.Context(), "w", 150, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	r.Settle(0)
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		state := client.managers["b"].Dump().Workspaces[0]
		if state.Bucket.Lent == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("still lent: %+v", state.Bucket)
		}
	}
}

// Guards against leaked tokens and races between requests, loans and configuration
// changes: in the end no tokens may be outstanding or lent.
func TestConcurrentUseLeaksNothing(t *testing.T) {
	limiters, client := pair(t, PolicyLoans)
	var workers sync.WaitGroup
	for i := range 16 {
		workers.Go(func() {
			l := limiters[[]string{"a", "b"}[i%4/3]] // host "a" has three quarters
			for n := range 40 {
				r, err := l.Acquire(context.Background(), "w", float64(1+n%60), time.Now().Add(100*time.Millisecond))
				if err != nil {
					continue
				}
				r.Progress(float64(n % 20))
				r.Settle(float64(n % 60))
			}
		})
	}
	workers.Go(func() {
		for version := range 40 {
			for _, m := range client.managers {
				m.Apply(testSnapshot(t, uint64(2+version), func(d *config.Document) {
					d.Workspaces["w"] = config.Workspace{RateTokensPerS: 2000, BurstTokens: 200 + float64(version%3)}
				}))
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	workers.Wait()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		a, b := client.managers["a"].Dump().Workspaces[0], client.managers["b"].Dump().Workspaces[0]
		left := a.Bucket.Outstanding + a.Bucket.Lent + b.Bucket.Outstanding + b.Bucket.Lent
		if left < tokenTolerance && a.LoansBorrowed+b.LoansBorrowed == 0 && a.WaitingTokens+b.WaitingTokens == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("tokens or loans left: %+v and %+v", a, b)
		}
	}
}

// BenchmarkAcquireRefused measures a refusal under overload. The target is a tenth of
// the CPU time of a served request.
func BenchmarkAcquireRefused(b *testing.B) {
	m := startedManager(b, clock.System{}, "a", testSnapshot(b, 1, nil))
	l := NewLimiter(m, &directClient{}, PolicyLoans, nil)
	l.Observe("b", []SpareTokens{{Workspace: "w", Demand: 1e9}})
	l.balances.failed("b", time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Acquire(context.Background(), "w", 900, time.Now().Add(time.Second)); err == nil {
			b.Fatal("not refused")
		}
	}
}

// singleHostSnapshot returns a configuration in which host "a" is the only one, and
// workspace "w" has 1,000 tokens/s and a burst of 200 tokens.
func singleHostSnapshot(t *testing.T) *config.Snapshot {
	return testSnapshot(t, 1, func(d *config.Document) {
		delete(d.Hosts, "b")
		d.Workspaces["w"] = config.Workspace{RateTokensPerS: 1000, BurstTokens: 200}
	})
}

// singleHostLimiter returns a Limiter of the only host, without active slots.
func singleHostLimiter(t *testing.T) (*Limiter, *Manager) {
	t.Helper()
	m := NewManager(clock.System{}, "a", 1)
	m.Apply(singleHostSnapshot(t))
	l := NewLimiter(m, &directClient{}, PolicyLoans, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); l.Close(context.Background()) })
	return l, m
}

// Guards against a host that refuses requests as rate-limited right after its start,
// because none of its slots is active yet. This occurred in the README's tour on a
// busy machine: 5 tokens were refused under a rate of 3,000 tokens/s.
func TestAcquireWaitsForFirstActiveSlot(t *testing.T) {
	l, m := singleHostLimiter(t)
	activated := time.AfterFunc(150*time.Millisecond, m.ActivateConfiguredSlots)
	defer activated.Stop()
	r, err := l.Acquire(context.Background(), "w", 5, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatalf("refused: %v", err)
	}
	r.Settle(5)
}

// activatingClock calls activate once, at the given reading of the time.
type activatingClock struct {
	clock.System
	activate  func()
	countdown atomic.Int64 // readings left before the call
}

func (c *activatingClock) Now() time.Time {
	if c.countdown.Add(-1) == 0 {
		c.activate()
	}
	return c.System.Now()
}

// Guards against a refusal that is computed from the rate of before the activation of a
// slot. This occurred in CI: the slot became active between two readings of the rate.
func TestSlotBecomesActiveDuringAcquire(t *testing.T) {
	const readings = 20 // more than Acquire makes before it waits
	for at := range int64(readings) {
		clk := &activatingClock{}
		m := NewManager(clk, "a", 1)
		m.Apply(singleHostSnapshot(t))
		clk.activate = m.ActivateConfiguredSlots
		l := NewLimiter(m, &directClient{}, PolicyLoans, prometheus.NewRegistry())
		clk.countdown.Store(at + 1)
		r, err := l.Acquire(t.Context(), "w", 5, time.Now().Add(5*time.Second))
		if err != nil {
			t.Fatalf("refused if the slot becomes active at reading %d of the clock: %v", at, err)
		}
		r.Settle(5)
		l.Close(t.Context())
	}
}

// Guards against a request that waits until its deadline although no slot becomes
// active: it must be refused after activationTimeout.
func TestAcquireWithoutActiveSlotIsRefused(t *testing.T) {
	l, _ := singleHostLimiter(t)
	start := time.Now()
	_, err := l.Acquire(context.Background(), "w", 5, start.Add(10*time.Second))
	var limited *RateLimitedError
	if !errors.As(err, &limited) {
		t.Fatalf("error %v", err)
	}
	if took := time.Since(start); took < activationTimeout || took > 3*time.Second {
		t.Errorf("refused after %v", took)
	}
}
