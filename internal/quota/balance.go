package quota

import (
	"sync"
	"time"
)

const (
	// demandFreshness is how long another host's reported demand is subtracted from
	// its refill.
	demandFreshness = time.Second
	// minBackoff and maxBackoff bound the time for which a host is not called after a
	// failure. It doubles with each consecutive failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// balance is another host's last report on a workspace.
type balance struct {
	tokens     float64 // spare
	demand     float64 // tokens per second
	reportedAt time.Time
}

// hostState records the failed calls to another host since its last loan answer or
// heartbeat.
type hostState struct {
	failures int       // consecutive
	retryAt  time.Time // end of the backoff
}

// balances holds the reports of other hosts. Its size is bounded by the number of
// hosts with home slots times the number of workspaces with recent demand.
type balances struct {
	mu     sync.Mutex
	spare  map[balanceKey]balance
	states map[string]hostState
}

type balanceKey struct{ host, workspace string }

func newBalances() *balances {
	return &balances{spare: map[balanceKey]balance{}, states: map[string]hostState{}}
}

// observe records the report in a host's heartbeat and ends the host's backoff.
func (b *balances) observe(host string, spares []SpareTokens, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, spare := range spares {
		b.spare[balanceKey{host, spare.Workspace}] = balance{spare.Tokens, spare.Demand, now}
	}
	delete(b.states, host)
}

// answered records the spare tokens in the answer to a loan request and ends the
// host's backoff.
func (b *balances) answered(host, workspace string, tokens float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := balanceKey{host, workspace}
	b.spare[key] = balance{tokens, b.spare[key].demand, now}
	delete(b.states, host)
}

// failed records a failed call to a host. Failures during the backoff are ignored, so
// that concurrent calls count as one failure.
func (b *balances) failed(host string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.states[host]
	if now.Before(state.retryAt) {
		return
	}
	wait := min(minBackoff<<min(state.failures, 8), maxBackoff)
	b.states[host] = hostState{failures: state.failures + 1, retryAt: now.Add(wait)}
}

// estimate returns the tokens that a host can probably lend, and the rate in tokens
// per second at which more become spare. A host without a report is assumed to have
// had no recent demand, and so a full bucket. The estimate is 0 while a failed call
// has not been followed by a loan answer or a heartbeat of the host.
func (b *balances) estimate(host string, w allowance, share float64, now time.Time) (tokens, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.states[host].failures > 0 {
		return 0, 0
	}
	capacity, rate := w.burst*share, w.rate*share
	report, reported := b.spare[balanceKey{host, w.workspace}]
	if !reported {
		return capacity, rate
	}
	age := now.Sub(report.reportedAt)
	if age < demandFreshness {
		rate = max(0, rate-report.demand)
	}
	return min(capacity, report.tokens+rate*age.Seconds()), rate
}

// reachable reports whether no call to the host has failed since its last loan answer or
// heartbeat, and whether its backoff, if any, has ended so that it may be called.
func (b *balances) reachable(host string, now time.Time) (healthy, callable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.states[host]
	return state.failures == 0, !now.Before(state.retryAt)
}

// evictStale removes reports on workspaces that have been removed, and reports older
// than demandRecency.
func (b *balances) evictStale(now time.Time, exists func(workspace string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, entry := range b.spare {
		if now.Sub(entry.reportedAt) > demandRecency || !exists(key.workspace) {
			delete(b.spare, key)
		}
	}
}
