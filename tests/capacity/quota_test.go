package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

const (
	// requestsPerHostPerSecond is the mean at growth size: 120,000 requests/s over
	// 1,700 hosts.
	requestsPerHostPerSecond = 70
	requestTokens            = 300 // per request: about 35 M tokens/s over 120,000 requests/s
	loadDuration             = 3 * time.Second
)

// quotaFleet holds the limiters of several hosts, which lend tokens to each other
// by direct calls.
type quotaFleet struct {
	managers         map[string]*quota.Manager
	limiters         []*quota.Limiter
	borrows, returns atomic.Int64
}

// Borrow implements quota.LoanClient.
func (f *quotaFleet) Borrow(_ context.Context, host string, request quota.LoanRequest) (quota.LoanGrant, error) {
	f.borrows.Add(1)
	return f.managers[host].Lend(request), nil
}

// ReturnLoan implements quota.LoanClient.
func (f *quotaFleet) ReturnLoan(_ context.Context, host string, report quota.LoanReturn) error {
	f.returns.Add(1)
	f.managers[host].ApplyReturn(report)
	return nil
}

func newQuotaFleet(b *testing.B, s shape) *quotaFleet {
	b.Helper()
	doc := s.document()
	for name, workspace := range doc.Workspaces {
		workspace.RateTokensPerS = 4 * requestsPerHostPerSecond * requestTokens * float64(s.hosts) / float64(s.workspaces)
		workspace.BurstTokens = 10 * workspace.RateTokensPerS
		doc.Workspaces[name] = workspace
	}
	snapshot := newSnapshot(b, 1, doc)
	f := &quotaFleet{managers: map[string]*quota.Manager{}}
	for i := range s.hosts {
		manager := quota.NewManager(clock.System{}, hostName(i), uint64(i+1))
		manager.Apply(snapshot)
		for _, slot := range doc.Hosts[hostName(i)].Slots {
			manager.ActivateSlot(slot, time.Now())
		}
		f.managers[hostName(i)] = manager
		f.limiters = append(f.limiters, quota.NewLimiter(manager, f, quota.PolicyLoans, nil))
	}
	return f
}

// BenchmarkLoans measures the loans caused by requests that arrive evenly at all
// hosts while the slots of a workspace are on some of the hosts: on all hosts at
// the current size, on 64 hosts at growth size.
func BenchmarkLoans(b *testing.B) {
	s := newSeries("loans", "host", growthHosts)
	for range b.N {
		for _, size := range []int{8, 16, 32, 64, 128} {
			measureLoans(b, s, size)
		}
	}
	s.print()
}

func measureLoans(b *testing.B, s *series, size int) {
	// The slots of a workspace are on at most 8 of the hosts, which models the 64
	// of 1,700 hosts at growth size.
	fleet := newQuotaFleet(b, shape{hosts: size, adapters: 10, workspaces: max(5, size*6/10), slots: 4 * size, slotsPerWorkspace: 8})
	ctx, stop := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for _, limiter := range fleet.limiters {
		running.Go(func() { limiter.Run(ctx) })
	}
	time.Sleep(time.Second) // buckets start empty
	var served, refused atomic.Int64
	borrows, returns, cpu := fleet.borrows.Load(), fleet.returns.Load(), cpuTime(b)
	var callers conc.WaitGroup
	for _, limiter := range fleet.limiters {
		callers.Go(func() { sendRequests(ctx, limiter, max(5, size*6/10), &served, &refused) })
	}
	callers.Wait()
	hosts, seconds := float64(size), loadDuration.Seconds()
	s.add("requests/s per host", float64(size), float64(served.Load())/hosts/seconds)
	s.add("refused of all requests", float64(size), float64(refused.Load())/float64(served.Load()+refused.Load()))
	s.add("loans/s per host", float64(size), float64(fleet.borrows.Load()-borrows)/hosts/seconds)
	s.add("returns/s per host", float64(size), float64(fleet.returns.Load()-returns)/hosts/seconds)
	s.add("CPU percent of a core per host, without messages", float64(size), 100*(cpuTime(b)-cpu).Seconds()/hosts/seconds)
	stop()
	running.Wait()
	for _, limiter := range fleet.limiters {
		limiter.Close(context.Background())
	}
}

// sendRequests acquires and settles tokens for the requests of one host.
func sendRequests(ctx context.Context, limiter *quota.Limiter, workspaces int, served, refused *atomic.Int64) {
	var requests conc.WaitGroup
	defer requests.Wait()
	for end := time.Now().Add(loadDuration); time.Now().Before(end); time.Sleep(time.Second / requestsPerHostPerSecond) {
		workspace := fmt.Sprintf("workspace-%d", rand.IntN(workspaces))
		requests.Go(func() {
			reservation, err := limiter.Acquire(ctx, workspace, requestTokens, time.Now().Add(5*time.Second))
			if err != nil {
				refused.Add(1)
				return
			}
			served.Add(1)
			time.Sleep(100 * time.Millisecond)
			reservation.Settle(requestTokens * 2 / 3)
		})
	}
}
