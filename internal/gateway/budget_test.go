package gateway

import (
	"testing"
	"time"
)

// The fleet's repeats stay within the users' rule in each window, also when the
// requests stop.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	terms := RetryLimits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	const hosts = 8
	var budgets []*RetryBudget
	for range hosts {
		b := NewRetryBudget(terms)
		b.SetHosts(hosts)
		budgets = append(budgets, b)
	}
	begun := time.Unix(1000, 0)
	var requests, repeats []time.Time
	for step := range 4000 {
		now := begun.Add(time.Duration(step) * 10 * time.Millisecond)
		for i, b := range budgets {
			if step < 2000 && (step+i)%5 == 0 {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			}
			if b.Allow(now, "s") {
				repeats = append(repeats, now)
			}
		}
	}
	for _, end := range repeats {
		in := func(times []time.Time) float64 {
			count := 0.0
			for _, at := range times {
				if !at.After(end) && end.Sub(at) < terms.Window {
					count++
				}
			}
			return count
		}
		earlier := 0.0 // requests of the window before may also be the most
		for _, at := range requests {
			if age := end.Sub(at); age >= terms.Window && age < 2*terms.Window {
				earlier++
			}
		}
		if bound := terms.Ratio*max(in(requests), earlier) + terms.Slack; in(repeats) > bound {
			t.Fatalf("%.0f repeats in a window, bound %.0f", in(repeats), bound)
		}
	}
	if len(repeats) < 100 {
		t.Errorf("only %d repeats allowed", len(repeats))
	}
}
