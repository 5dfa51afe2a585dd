package gateway

import (
	"sync"
	"time"
)

// RetryLimits bound the retries that the fleet sends to a service.
type RetryLimits struct {
	Ratio  float64       // retries per request
	Window time.Duration // period in which requests and retries are counted
	Slack  float64       // retries per window in addition to the ratio, for the whole fleet
}

const (
	// budgetBins is the number of bins that the window is divided into.
	budgetBins = 10
	// budgetFraction is the part of the limits that is used: the traffic is not
	// spread evenly over the hosts.
	budgetFraction = 0.7
)

// RetryBudget limits this host's share of the retries of each service. It is safe for
// concurrent use.
type RetryBudget struct {
	limits RetryLimits

	mu       sync.Mutex
	hosts    int // 0: not known
	services map[string]*budgetWindow
}

type budgetWindow struct {
	bin      int64
	requests [budgetBins]float64
	retries  [budgetBins]float64
}

// NewRetryBudget returns a budget without a part of the slack: a host that no coordinator has
// told the size of the fleet would take the slack of all hosts.
func NewRetryBudget(limits RetryLimits) *RetryBudget {
	return &RetryBudget{limits: limits, services: map[string]*budgetWindow{}}
}

// SetHosts sets the number of hosts that share the slack.
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

// Allow reports whether a retry is within the budget, and counts it if so.
func (b *RetryBudget) Allow(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retries := 0.0, 0.0
	for i := range budgetBins {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	slack := 0.0
	if b.hosts > 0 {
		slack = b.limits.Slack / float64(b.hosts)
	}
	if retries+1 > budgetFraction*(b.limits.Ratio*requests+slack) {
		return false
	}
	w.retries[w.bin%budgetBins]++
	return true
}

func (b *RetryBudget) window(now time.Time, service string) *budgetWindow {
	w := b.services[service]
	if w == nil {
		w = &budgetWindow{}
		b.services[service] = w
	}
	bin := now.UnixNano() / int64(b.limits.Window/budgetBins)
	for next := max(w.bin+1, bin-budgetBins+1); next <= bin; next++ {
		w.requests[next%budgetBins], w.retries[next%budgetBins] = 0, 0
	}
	w.bin = max(w.bin, bin)
	return w
}
