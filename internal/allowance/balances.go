package allowance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const (
	// targetBalanceTime is the time for which a balance should cover the measured spending.
	targetBalanceTime = 500 * time.Millisecond
	// rateTimeConstant is the time constant of the measured spending rate.
	rateTimeConstant = 2 * time.Second
	// maxBalanceSeconds limits the balance, in seconds of the host's share, so that the
	// balances of all hosts and the bucket together stay within the allowance.
	maxBalanceSeconds = 0.8
	// minBalanceSeconds is the balance held for unexpected requests, in seconds of the
	// host's share.
	minBalanceSeconds = 0.3
	// shareStartDelay is the time since the last exchange after which a host starts to
	// spend from its local share. It is shorter than ContactTimeout because messages take
	// time.
	shareStartDelay = 500 * time.Millisecond
	// maxPendingShareSeconds limits the pending requests of a host that spends from its
	// local share, in seconds of that share.
	maxPendingShareSeconds = 0.25
	// maxShareBalanceSeconds limits the balance that a host accumulates from its local
	// share, in seconds of that share.
	maxShareBalanceSeconds = 1.0
	// refusalTimeConstant is the time constant of the measured rate of refusals.
	refusalTimeConstant = 2 * time.Second
	// minRetryHint and maxRetryHint bound the time after which a refused caller is told to
	// come back. Refusals are not paced below a second; a longer time than the upper bound
	// would outlast most spells of high demand.
	minRetryHint = time.Second
	maxRetryHint = 5 * time.Second
	// poolExchangeTTL is how long an exchange with a pool counts as contact.
	poolExchangeTTL = 700 * time.Millisecond
)

type account struct {
	balance            float64
	pending            float64           // of requests that wait for a grant
	queue              []*pendingRequest // these requests, the one that waits longest first
	asked              float64           // of pending, asked for in a call in progress between exchanges
	exchangeAsked      float64           // likewise in the last exchange
	wait               time.Duration     // until the allowance covers the requests that wait, as the coordinator said
	refused            float64           // units of recently refused requests, decaying with refusalTimeConstant
	refusedAt          time.Duration
	rate               float64 // measured spending in units per second
	rateAt             time.Duration
	share              float64       // local share in units per second
	lastExchange       time.Duration // end of the last exchange with the coordinator
	onShare            bool          // spending from the local share
	shareCreditedUntil time.Duration // time up to which the share has been credited
	lastPoolExchange   time.Duration // last exchange with a pool; 0: none
	// shareCredited is the amount credited from the local share since the last exchange
	// with the coordinator; shareReported is the part of it reported in the exchange in
	// progress.
	shareCredited, shareReported float64
}

// pendingRequest is a request that waits for a grant.
type pendingRequest struct{ cost float64 }

// Balances holds a host's granted amounts by workspace. It is safe for concurrent use.
type Balances struct {
	mu       sync.Mutex
	accounts map[string]*account
	changed  chan struct{}
}

// NewBalances returns empty balances.
func NewBalances() *Balances {
	return &Balances{accounts: map[string]*account{}, changed: make(chan struct{})}
}

// Outcome is the result of Take.
type Outcome uint8

// Outcomes of Take.
const (
	Taken        Outcome = iota
	Insufficient         // a grant may come with the next exchange
	Exhausted            // the workspace is over its allowance
)

// Take spends cost from the workspace's balance if the balance covers it. It returns Exhausted
// if a grant is not expected within patience.
func (b *Balances) Take(now time.Duration, w *catalog.Workspace, cost float64, patience time.Duration) Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	b.creditShare(a, w, now)
	if a.balance < cost {
		if a.wait > patience || (a.withoutPool(now) && a.pending > a.share*maxPendingShareSeconds) {
			return Exhausted
		}
		return Insufficient
	}
	a.balance -= cost
	a.decay(now)
	a.rate += cost / rateTimeConstant.Seconds()
	return Taken
}

// AddPending registers the cost of a request that waits for a grant. The returned function
// removes it; the channel is closed at the next exchange.
func (b *Balances) AddPending(now time.Duration, w *catalog.Workspace, cost float64) (changed <-chan struct{}, done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	a.pending += cost
	request := &pendingRequest{cost: cost}
	a.queue = append(a.queue, request)
	return b.changed, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		a.pending = max(0, a.pending-cost)
		a.queue = slices.DeleteFunc(a.queue, func(r *pendingRequest) bool { return r == request })
	}
}

// Refuse records that a request was refused, and returns the time after which its caller
// should come back: the wait that the coordinator has stated and, while many requests are
// refused, the time that this host's share of the rate takes to cover them, since they would
// come back together.
func (b *Balances) Refuse(now time.Duration, w *catalog.Workspace, cost float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	a.refused = a.refused*math.Exp(-(now-a.refusedAt).Seconds()/refusalTimeConstant.Seconds()) + cost
	a.refusedAt = now
	hint := a.wait + waitFor(a.refused-cost, a.share)
	return min(max(hint, minRetryHint), maxRetryHint)
}

// Status is the state of a workspace's account at this host.
type Status struct {
	Balance      float64       // units available
	Pending      float64       // units of requests that wait for a grant
	Share        float64       // units per second to spend without the coordinator
	Age          time.Duration // since the last exchange
	OnLocalShare bool          // spending from the local share
}

// Status returns the state of a workspace's account.
func (b *Balances) Status(now time.Duration, w *catalog.Workspace) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	return Status{Balance: a.balance, Pending: a.pending, Share: a.share, Age: now - a.lastExchange, OnLocalShare: a.onShare}
}

// Refund returns the cost of a request that did not run.
func (b *Balances) Refund(now time.Duration, w *catalog.Workspace, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(w.Name, now).balance += cost
}

// Needs returns, by workspace, the amounts to request and to return, and deducts the
// latter. Workspaces that need neither are left out. It is called right before an exchange.
func (b *Balances) Needs(now time.Duration, workspaces map[string]*catalog.Workspace) map[string]Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	needs := map[string]Need{}
	for _, w := range workspaces {
		if !w.Limited() {
			continue
		}
		a := b.account(w.Name, now)
		a.decay(now)
		a.shareReported = a.shareCredited
		pending := max(0, a.pending-a.asked)
		reserve := min(max(a.rate*targetBalanceTime.Seconds(), a.share*minBalanceSeconds), a.share*maxBalanceSeconds)
		target := reserve + pending
		need := Need{ShareCredited: a.shareCredited}
		a.exchangeAsked = 0
		switch {
		case a.balance < target:
			need.Requested = target - a.balance
			need.Pending = min(max(0, pending-a.balance), need.Requested)
			need.First = a.firstPending()
			need.Floor = min(max(0, min(w.PlainCost, reserve)-max(0, a.balance-pending)), need.Requested-need.Pending)
			a.exchangeAsked = need.Pending
		case a.balance > 2*target:
			need.Returned = a.balance - target
			a.balance = target
		}
		if need != (Need{}) {
			needs[w.Name] = need
		}
	}
	return needs
}

// CanCall reports whether a call between exchanges may bring a grant: the coordinator is in
// contact and has not stated that requests wait for more than the allowance.
func (b *Balances) CanCall(now time.Duration, w *catalog.Workspace) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(w.Name, now).canCall(now)
}

func (a *account) canCall(now time.Duration) bool {
	return a.lastExchange > 0 && now-a.lastExchange < shareStartDelay && !a.onShare && a.wait == 0
}

// PendingNeeds returns what requests wait for and neither the last exchange nor another call
// has asked for. EndCall must follow.
func (b *Balances) PendingNeeds(now time.Duration, workspaces map[string]*catalog.Workspace) map[string]Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	needs := map[string]Need{}
	for name, a := range b.accounts {
		if w := workspaces[name]; a.pending == 0 || w == nil || !a.canCall(now) {
			continue
		}
		lacking := a.pending - a.balance - a.asked - a.exchangeAsked
		if lacking <= 0 {
			continue
		}
		a.asked += lacking
		needs[name] = Need{Requested: lacking, Pending: lacking, First: a.firstPending()}
	}
	return needs
}

// EndCall applies the grants of a call for needs that PendingNeeds has returned. Grants are
// nil if the call failed.
func (b *Balances) EndCall(now time.Duration, needs map[string]Need, grants map[string]Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, need := range needs {
		a := b.account(name, now)
		a.asked = max(0, a.asked-need.Requested)
		if grant, ok := grants[name]; ok {
			a.balance += grant.Amount
			a.wait = grant.wait()
		}
	}
	if len(grants) > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// PoolNeeds returns, for the accounts that spend from their local share, the amounts to
// request from a pool and to return to it, and deducts the latter.
func (b *Balances) PoolNeeds(now time.Duration, workspaces map[string]*catalog.Workspace) map[string]Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	needs := map[string]Need{}
	for _, w := range workspaces {
		if !w.Limited() {
			continue
		}
		a := b.account(w.Name, now)
		b.creditShare(a, w, now)
		if !a.onShare {
			continue
		}
		var need Need
		if reserve := a.pending + a.share*minBalanceSeconds; a.balance > reserve {
			need.Returned = a.balance - reserve
			a.balance = reserve
		}
		need.Requested = max(0, a.pending-a.balance)
		needs[w.Name] = need
	}
	return needs
}

// ApplyPoolGrants adds the grants of a pool.
func (b *Balances) ApplyPoolGrants(now time.Duration, grants map[string]Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, grant := range grants {
		a := b.account(name, now)
		a.balance += grant.Amount
		a.wait, a.lastPoolExchange = 0, now
		if grant.Exhausted && a.onShare {
			a.wait = maxWait
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Apply adds the grants of an exchange and stores the local shares (units per second) that
// are valid after it.
func (b *Balances) Apply(now time.Duration, shares map[string]float64, grants map[string]Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, share := range shares {
		a, grant := b.account(name, now), grants[name]
		a.balance += grant.Amount
		a.exchangeAsked = 0
		a.share, a.lastExchange, a.onShare = share, now, false
		a.wait = grant.wait()
		a.shareCredited -= a.shareReported
		a.shareReported = 0
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// creditShare credits the local share while there is no contact to the coordinator.
func (b *Balances) creditShare(a *account, w *catalog.Workspace, now time.Duration) {
	silent := now - a.lastExchange
	if a.share == 0 || silent < shareStartDelay {
		return
	}
	if !a.onShare {
		a.onShare, a.wait = true, 0
		a.shareCreditedUntil = a.lastExchange // the ledger grants nothing for this time
	}
	until := min(now, a.lastExchange+ShareValidity)
	if until > a.shareCreditedUntil {
		credit := min(min(a.share, w.RatePerS)*(until-a.shareCreditedUntil).Seconds(), max(0, a.share*maxShareBalanceSeconds-a.balance))
		a.balance += credit
		a.shareCredited += credit
		a.shareCreditedUntil = until
	}
}

func (b *Balances) account(name string, now time.Duration) *account {
	a := b.accounts[name]
	if a == nil {
		a = &account{rateAt: now}
		b.accounts[name] = a
	}
	return a
}

// firstPending returns what the request that waits longest lacks.
func (a *account) firstPending() float64 {
	if len(a.queue) == 0 {
		return 0
	}
	return max(0, a.queue[0].cost-a.balance)
}

// withoutPool reports whether the host spends from its local share and has no contact to a
// pool.
func (a *account) withoutPool(now time.Duration) bool {
	return a.onShare && (a.lastPoolExchange == 0 || now-a.lastPoolExchange > poolExchangeTTL)
}

func (a *account) decay(now time.Duration) {
	elapsed := (now - a.rateAt).Seconds()
	a.rateAt = now
	a.rate *= max(0, 1-elapsed/rateTimeConstant.Seconds())
}
