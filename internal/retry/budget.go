package retry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

const (
	// requestsPerRetry is the number of requests that allow one retry.
	requestsPerRetry = 10
	// budgetBurst is the number of retries allowed before any request.
	budgetBurst = 10
)

// Budget bounds the retries of one route to 10% of its requests plus a burst
// of 10, so that retries cannot multiply the load of failing upstreams. It is
// safe for concurrent use.
type Budget struct {
	// credit is in requests; a retry costs requestsPerRetry.
	credit  atomic.Int64
	retries atomic.Uint64
	denied  atomic.Uint64
}

// NewBudget returns a Budget with its full burst available.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(budgetBurst * requestsPerRetry)
	return b
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest() {
	for {
		credit := b.credit.Load()
		if credit >= budgetBurst*requestsPerRetry || b.credit.CompareAndSwap(credit, credit+1) {
			return
		}
	}
}

// Available reports whether a retry is allowed.
func (b *Budget) Available() bool { return b.credit.Load() >= requestsPerRetry }

// Take consumes one retry and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	for {
		credit := b.credit.Load()
		if credit < requestsPerRetry {
			b.denied.Add(1)
			return false
		}
		if b.credit.CompareAndSwap(credit, credit-requestsPerRetry) {
			b.retries.Add(1)
			return true
		}
	}
}

// Budgets holds one Budget per route. Routes come from the configuration,
// which bounds their number.
type Budgets struct{ routes sync.Map }

// Route returns the budget of a route.
func (b *Budgets) Route(name string) *Budget {
	if budget, ok := b.routes.Load(name); ok {
		return budget.(*Budget)
	}
	budget, _ := b.routes.LoadOrStore(name, NewBudget())
	return budget.(*Budget)
}

// BudgetDump describes one route's budget in the diagnostic dump.
type BudgetDump struct {
	Route       string `json:"route"`
	RetriesLeft int64  `json:"retries_left"`
	Retries     uint64 `json:"retries"`
	Denied      uint64 `json:"denied"`
}

// Dump returns the state of all budgets, sorted by route.
func (b *Budgets) Dump() []BudgetDump {
	var dumps []BudgetDump
	b.routes.Range(func(name, value any) bool {
		budget := value.(*Budget)
		dumps = append(dumps, BudgetDump{
			Route:       name.(string),
			RetriesLeft: budget.credit.Load() / requestsPerRetry,
			Retries:     budget.retries.Load(),
			Denied:      budget.denied.Load(),
		})
		return true
	})
	slices.SortFunc(dumps, func(x, y BudgetDump) int { return strings.Compare(x.Route, y.Route) })
	return dumps
}
