package quota

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
)

// directLenders calls managers in the same process.
type directLenders struct {
	managers map[string]*Manager
	mu       sync.Mutex
	down     map[string]bool
	borrows  int
}

type downError struct{}

func (downError) Error() string { return "down" }

func (d *directLenders) Borrow(_ context.Context, host string, request LoanRequest) (LoanGrant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.borrows++
	if d.down[host] {
		return LoanGrant{}, downError{}
	}
	return d.managers[host].Lend(request), nil
}

func (d *directLenders) ReturnLoan(_ context.Context, host string, report LoanReturn) error {
	d.managers[host].ApplyReturn(report)
	return nil
}

// fastSnapshot gives workspace "w" 1,000 tokens/s and a burst of 200 over two
// hosts.
func fastSnapshot(t testing.TB) *config.Snapshot {
	return testSnapshot(t, 1, func(d *config.Document) {
		d.Workspaces["w"] = config.Workspace{RateTokensPerS: 1000, BurstTokens: 200}
	})
}

// pair returns limiters of hosts "a" and "b" with full buckets.
func pair(t *testing.T, policy Policy) (map[string]*Limiter, *directLenders) {
	t.Helper()
	lenders := &directLenders{managers: map[string]*Manager{}, down: map[string]bool{}}
	limiters := map[string]*Limiter{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, host := range []string{"a", "b"} {
		m := startedManager(t, clock.System{}, host, fastSnapshot(t))
		lenders.managers[host] = m
		limiters[host] = NewLimiter(m, lenders, policy, prometheus.NewRegistry())
	}
	time.Sleep(210 * time.Millisecond) // both buckets refill
	for _, l := range limiters {
		go l.Run(ctx)
		t.Cleanup(func() { l.Close(context.Background()) })
	}
	return limiters, lenders
}

// Guards against a host that refuses although another one has tokens to lend,
// and against loans under the static policy.
func TestAcquireBorrows(t *testing.T) {
	limiters, _ := pair(t, PolicyLoans)
	start := time.Now()
	r, err := limiters["a"].Acquire(t.Context(), "w", 180, start.Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if r.EndBy().IsZero() {
		t.Error("a reservation over the host's part has no loan")
	}
	if wait := time.Since(start); wait > 100*time.Millisecond {
		t.Errorf("waited %v for a loan", wait)
	}
	r.Settle(180)
	limiters, lenders := pair(t, PolicyStatic)
	var limited *RateLimitedError
	if _, err := limiters["a"].Acquire(t.Context(), "w", 180, time.Now().Add(time.Second)); !errors.As(err, &limited) {
		t.Errorf("static policy: %v", err)
	}
	if lenders.borrows != 0 {
		t.Errorf("%d loan requests under the static policy", lenders.borrows)
	}
}

// Guards against a request that waits although the tokens cannot arrive before
// its deadline, and against a refusal without a usable retry time.
func TestAcquireRefusesAtOnce(t *testing.T) {
	limiters, lenders := pair(t, PolicyLoans)
	lenders.down["b"] = true
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

// Guards against overtaking within a workspace, and against waiters that are
// neither served nor refused by their deadline.
func TestAcquireIsFair(t *testing.T) {
	limiters, lenders := pair(t, PolicyLoans)
	lenders.down["b"] = true
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
		time.Sleep(3 * time.Millisecond) // fixes the order of arrival
	}
	waiters.Wait()
	for i := range order {
		if i > 0 && order[i] < order[i-1]-1 { // neighbours may be recorded in either order
			t.Fatalf("served in order %v", order)
		}
	}
}

// Guards against waiters that outlive their context, their deadline or the
// limiter.
func TestAcquireEnds(t *testing.T) {
	limiters, lenders := pair(t, PolicyLoans)
	lenders.down["b"] = true
	l := limiters["a"]
	held, err := l.Acquire(t.Context(), "w", 100, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer held.Settle(0)
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

// Guards against borrowed tokens that stay away from their lender.
func TestIdleLoansAreReturned(t *testing.T) {
	limiters, lenders := pair(t, PolicyLoans)
	r, err := limiters["a"].Acquire(t.Context(), "w", 150, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	r.Settle(0)
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		state := lenders.managers["b"].Dump().Workspaces[0]
		if state.Bucket.Lent == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("still lent: %+v", state.Bucket)
		}
	}
}

// Guards against tokens that leak or races between requests, loans, slot moves
// and configurations: in the end nothing may be outstanding or lent.
func TestConcurrentUseLeaksNothing(t *testing.T) {
	limiters, lenders := pair(t, PolicyLoans)
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
			for _, m := range lenders.managers {
				m.Apply(testSnapshot(t, uint64(2+version), func(d *config.Document) {
					d.Workspaces["w"] = config.Workspace{RateTokensPerS: 2000, BurstTokens: 200 + float64(version%3)}
				}))
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	workers.Wait()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		a, b := lenders.managers["a"].Dump().Workspaces[0], lenders.managers["b"].Dump().Workspaces[0]
		left := a.Bucket.Outstanding + a.Bucket.Lent + b.Bucket.Outstanding + b.Bucket.Lent
		if left < tokenTolerance && a.LoansBorrowed+b.LoansBorrowed == 0 && a.WaitingTokens+b.WaitingTokens == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("left over: %+v and %+v", a, b)
		}
	}
}

// BenchmarkAcquireRefused measures a refusal under overload, whose target is a
// tenth of the CPU of a served request.
func BenchmarkAcquireRefused(b *testing.B) {
	m := startedManager(b, clock.System{}, "a", testSnapshot(b, 1, nil))
	l := NewLimiter(m, &directLenders{}, PolicyLoans, nil)
	l.Observe("b", []SpareTokens{{Workspace: "w", Demand: 1e9}})
	l.balances.failed("b", time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Acquire(context.Background(), "w", 900, time.Now().Add(time.Second)); err == nil {
			b.Fatal("not refused")
		}
	}
}

// loneLimiter returns a limiter of a host without others that has no slot yet.
func loneLimiter(t *testing.T) (*Limiter, *Manager) {
	t.Helper()
	m := NewManager(clock.System{}, "a", 1)
	m.Apply(testSnapshot(t, 1, func(d *config.Document) {
		delete(d.Hosts, "b")
		d.Workspaces["w"] = config.Workspace{RateTokensPerS: 1000, BurstTokens: 200}
	}))
	l := NewLimiter(m, &directLenders{}, PolicyLoans, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); l.Close(context.Background()) })
	return l, m
}

// A host that had just started refused a request of 5 tokens as over a rate of 3,000
// a second, because it had no slot yet (the README's tour beside busy processes).
func TestAcquireWaitsForTheFirstSlot(t *testing.T) {
	l, m := loneLimiter(t)
	activated := time.AfterFunc(150*time.Millisecond, m.ActivateConfiguredSlots)
	defer activated.Stop()
	r, err := l.Acquire(context.Background(), "w", 5, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatalf("refused: %v", err)
	}
	r.Settle(5)
}

// Without a slot the request is refused soon, not at its deadline.
func TestAcquireWithoutSlotsIsRefusedSoon(t *testing.T) {
	l, _ := loneLimiter(t)
	begun := time.Now()
	_, err := l.Acquire(context.Background(), "w", 5, begun.Add(10*time.Second))
	var limited *RateLimitedError
	if !errors.As(err, &limited) {
		t.Fatalf("error %v", err)
	}
	if took := time.Since(begun); took < activationWait || took > 3*time.Second {
		t.Errorf("refused after %v", took)
	}
}
