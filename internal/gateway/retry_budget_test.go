package gateway

import (
	"testing"
	"time"
)

// The fleet's retries stay within the limits in each window, also after the requests
// have stopped.
func TestRetryBudgetHoldsInEachWindow(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	const hosts = 8
	var budgets []*RetryBudget
	for range hosts {
		b := NewRetryBudget(limits)
		b.SetHosts(hosts)
		budgets = append(budgets, b)
	}
	start := time.Unix(1000, 0)
	var requests, retries []time.Time
	for step := range 4000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for i, b := range budgets {
			if step < 2000 && (step+i)%5 == 0 {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			if b.Allow(now, "s") {
				retries = append(retries, now)
			}
		}
	}
	for _, end := range retries {
		in := func(times []time.Time) float64 {
			count := 0.0
			for _, at := range times {
				if !at.After(end) && end.Sub(at) < limits.Window {
					count++
				}
			}
			return count
		}
		earlier := 0.0 // the requests of the preceding window may set the limit too
		for _, at := range requests {
			if age := end.Sub(at); age >= limits.Window && age < 2*limits.Window {
				earlier++
			}
		}
		if bound := limits.Ratio*max(in(requests), earlier) + limits.Slack; in(retries) > bound {
			t.Fatalf("%.0f retries in a window, limit %.0f", in(retries), bound)
		}
	}
	if len(retries) < 100 {
		t.Errorf("only %d retries allowed", len(retries))
	}
}

// Guards against a fleet that starts without a coordinator and whose hosts each take the
// slack of the whole fleet.
func TestNoSlackBeforeTheFleetIsKnown(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	now := time.Now()
	b := NewRetryBudget(limits)
	if b.Allow(now, "s") {
		t.Error("a retry without requests and without a known fleet is allowed")
	}
	for range 100 {
		b.RecordRequest(now, "s")
	}
	if !b.Allow(now, "s") {
		t.Error("a retry within the ratio is refused")
	}
	b.SetHosts(8)
	allowed := 0
	for b.Allow(now, "other") {
		allowed++
	}
	if most := int(limits.Slack / 8); allowed == 0 || allowed > most {
		t.Errorf("%d retries allowed from the slack, want 1 to %d", allowed, most)
	}
}
