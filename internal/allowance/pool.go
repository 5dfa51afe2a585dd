package allowance

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// potSeconds bounds a pot, in seconds of the workspace's rate.
const potSeconds = 1.0

// Pool pools the shares of hosts that have lost the coordinator: each of them
// gives what it does not need and takes what it lacks. In a large fleet the
// share of one host is less than one request. A pot creates nothing, so that
// any host may keep one, and several pots do no harm. It is used by one
// goroutine at a time.
type Pool struct {
	amounts map[string]*potAmount // by workspace
}

type potAmount struct {
	level float64
	wants map[string]want // by host
}

// NewPool returns an empty pot.
func NewPool() *Pool { return &Pool{amounts: map[string]*potAmount{}} }

// Exchange settles a host's need from what other hosts gave.
func (p *Pool) Exchange(now time.Duration, host string, w *catalog.Workspace, need Need) Grant {
	a := p.amounts[w.Name]
	if a == nil {
		a = &potAmount{wants: map[string]want{}}
		p.amounts[w.Name] = a
	}
	a.level = min(w.RatePerS*potSeconds, a.level+need.Returned)
	total := need.Requested + unmet(a.wants, now, host)
	amount := min(need.Requested, a.level)
	a.level -= amount
	a.wants[host] = want{amount: need.Requested - amount, at: now}
	return Grant{Amount: amount, Exhausted: total-amount-a.level > w.RatePerS*exhaustedSeconds}
}
