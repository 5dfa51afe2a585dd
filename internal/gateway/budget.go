package gateway

import (
	"sync"
	"time"
)

// RetryLimits bound the requests that the fleet sends once more to a service.
type RetryLimits struct {
	Ratio  float64       // of the requests
	Window time.Duration // in which they are counted
	Slack  float64       // beside the ratio
}

const (
	// budgetBins is the number of parts into which the window is divided.
	budgetBins = 10
	// budgetUse is the part of the terms that is used, because hosts see
	// different parts of the traffic.
	budgetUse = 0.7
)

// RetryBudget limits this host's part of the repeated sends of each service. It is
// safe for concurrent use.
type RetryBudget struct {
	terms RetryLimits

	mu       sync.Mutex
	hosts    int
	services map[string]*budgetWindow
}

type budgetWindow struct {
	bin      int64
	requests [budgetBins]float64
	repeats  [budgetBins]float64
}

// NewRetryBudget returns a budget for a fleet of at least one host.
func NewRetryBudget(terms RetryLimits) *RetryBudget {
	return &RetryBudget{terms: terms, hosts: 1, services: map[string]*budgetWindow{}}
}

// SetHosts sets the number of hosts that share the budget.
func (b *RetryBudget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, hosts)
}

// RecordRequest counts a caller's request to a service.
func (b *RetryBudget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.bin%budgetBins]++
}

// Allow takes one repeated send if the budget has it.
func (b *RetryBudget) Allow(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0.0, 0.0
	for i := range budgetBins {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > budgetUse*(b.terms.Ratio*requests+b.terms.Slack/float64(b.hosts)) {
		return false
	}
	w.repeats[w.bin%budgetBins]++
	return true
}

func (b *RetryBudget) window(now time.Time, service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	bin := now.UnixNano() / int64(b.terms.Window/budgetBins)
	for next := max(w.bin+1, bin-budgetBins+1); next <= bin; next++ {
		w.requests[next%budgetBins], w.repeats[next%budgetBins] = 0, 0
	}
	w.bin = max(w.bin, bin)
	return w
}
