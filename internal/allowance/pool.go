package allowance

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// maxPoolSeconds limits a pool's level, in seconds of the workspace's rate.
const maxPoolSeconds = 1.0

// Pool combines the local shares of hosts that lost contact with the coordinator: each host
// returns what it does not need and requests what it lacks. This matters in a large fleet,
// where the share of one host is less than one request. A pool creates no allowance, so any
// host may run one, and several pools at a time are harmless. It is not safe for concurrent
// use.
type Pool struct {
	accounts map[string]*poolAccount // by workspace
}

type poolAccount struct {
	level float64                 // units
	unmet map[string]unmetRequest // by host
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{accounts: map[string]*poolAccount{}} }

// Exchange processes the need of a host and grants from the amounts that hosts returned.
func (p *Pool) Exchange(now time.Duration, host string, w *catalog.Workspace, need Need) Grant {
	a := p.accounts[w.Name]
	if a == nil {
		a = &poolAccount{unmet: map[string]unmetRequest{}}
		p.accounts[w.Name] = a
	}
	a.level = min(w.RatePerS*maxPoolSeconds, a.level+need.Returned)
	total := need.Requested + unmetByOthers(a.unmet, now, host)
	amount := min(need.Requested, a.level)
	a.level -= amount
	a.unmet[host] = unmetRequest{amount: need.Requested - amount, at: now}
	return Grant{Amount: amount, Exhausted: total-amount-a.level > w.RatePerS*exhaustedSeconds}
}
