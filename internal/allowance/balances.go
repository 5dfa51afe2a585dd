package allowance

import (
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const (
	// holdTime is the spending, as time, that a bank keeps in stock.
	holdTime = 500 * time.Millisecond
	// rateMemory is the time constant of the measured spending.
	rateMemory = 2 * time.Second
	// mostStock bounds the stock of a bank, in seconds of the host's share: the
	// stocks of all hosts together and the bucket stay within the users' rule.
	mostStock = 0.8
	// leastStock is the stock for requests that come out of the blue, in seconds
	// of the host's share.
	leastStock = 0.3
	// payAfter is when a host without an exchange begins to live on its share;
	// it is earlier than SilentAfter, as messages take time.
	payAfter = 500 * time.Millisecond
	// shareQueue bounds what waits while a host lives on its share, in seconds of it.
	shareQueue = 0.25
	// shareStock bounds what a host saves while it lives on its share, in seconds.
	shareStock = 1.0
	// pooledFor is how long an exchange with a pot counts.
	pooledFor = 700 * time.Millisecond
)

type account struct {
	balance  float64
	pending  float64 // of requests that wait for a grant
	rate     float64 // spending in units per second
	rateAt   time.Duration
	share    float64
	shareAt  time.Duration // end of the last exchange
	shareOn  bool          // living on the share
	accrued  time.Duration // up to when the share is paid out
	shortage bool          // the coordinator or the pot said: exhausted
	pooledAt time.Duration // last exchange with a pot
	// paid is what the share has paid since the last exchange with the
	// coordinator, and told the part of it that the coordinator is being told.
	paid, told float64
}

// Balances is a host's stock of granted amounts. It is safe for concurrent use.
type Balances struct {
	mu       sync.Mutex
	accounts map[string]*account
	changed  chan struct{}
}

// NewBalances returns an empty bank.
func NewBalances() *Balances {
	return &Balances{accounts: map[string]*account{}, changed: make(chan struct{})}
}

// Outcome says what Take did.
type Outcome uint8

// Outcomes of Take.
const (
	Taken        Outcome = iota
	Insufficient         // a grant may come with the next exchange
	Exhausted            // the workspace is over its allowance
)

// Take spends an amount if the bank has it.
func (b *Balances) Take(now time.Duration, w *catalog.Workspace, cost float64) Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	b.payShare(a, w, now)
	if a.balance < cost {
		if a.shortage || (a.alone(now) && a.pending > a.share*shareQueue) {
			return Exhausted
		}
		return Insufficient
	}
	a.balance -= cost
	a.decay(now)
	a.rate += cost / rateMemory.Seconds()
	return Taken
}

// AddPending registers an amount that a request waits for. The returned function
// takes it back; the channel is closed at the next exchange.
func (b *Balances) AddPending(now time.Duration, w *catalog.Workspace, cost float64) (changed <-chan struct{}, done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	a.pending += cost
	return b.changed, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		a.pending = max(0, a.pending-cost)
	}
}

// Status is what decides about a workspace's requests at this host.
type Status struct {
	Balance      float64       // in stock
	Pending      float64       // of requests that wait for a grant
	Share        float64       // units per second to live on without the coordinator
	Age          time.Duration // since the last exchange
	OnLocalShare bool          // living on the share
}

// Status returns the state of a workspace's account.
func (b *Balances) Status(now time.Duration, w *catalog.Workspace) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(w.Name, now)
	return Status{Balance: a.balance, Pending: a.pending, Share: a.share, Age: now - a.shareAt, OnLocalShare: a.shareOn}
}

// Refund gives back the amount of a request that did not run.
func (b *Balances) Refund(now time.Duration, w *catalog.Workspace, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(w.Name, now).balance += cost
}

// Needs returns what to ask for and what to give back, and settles the latter.
// Workspaces without either are left out. It is called right before an exchange.
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
		a.told = a.paid
		target := min(max(a.rate*holdTime.Seconds(), a.share*leastStock), a.share*mostStock) + a.pending
		need := Need{ShareCredited: a.paid}
		switch {
		case a.balance < target:
			need.Requested = target - a.balance
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

// PoolNeeds returns what to ask a pot for and what to give it, and settles the
// latter, for the accounts that live on their shares.
func (b *Balances) PoolNeeds(now time.Duration, workspaces map[string]*catalog.Workspace) map[string]Need {
	b.mu.Lock()
	defer b.mu.Unlock()
	needs := map[string]Need{}
	for _, w := range workspaces {
		if !w.Limited() {
			continue
		}
		a := b.account(w.Name, now)
		b.payShare(a, w, now)
		if !a.shareOn {
			continue
		}
		var need Need
		if kept := a.pending + a.share*leastStock; a.balance > kept {
			need.Returned = a.balance - kept
			a.balance = kept
		}
		need.Requested = max(0, a.pending-a.balance)
		needs[w.Name] = need
	}
	return needs
}

// ApplyPoolGrants takes over the grants of a pot.
func (b *Balances) ApplyPoolGrants(now time.Duration, grants map[string]Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, grant := range grants {
		a := b.account(name, now)
		a.balance += grant.Amount
		a.shortage, a.pooledAt = grant.Exhausted && a.shareOn, now
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// Apply takes over the grants of an exchange, and the shares to live on after it.
func (b *Balances) Apply(now time.Duration, shares map[string]float64, grants map[string]Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, share := range shares {
		a, grant := b.account(name, now), grants[name]
		a.balance += grant.Amount
		a.share, a.shareAt, a.shareOn = share, now, false
		a.shortage = grant.Exhausted
		a.paid -= a.told
		a.told = 0
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// payShare credits the share while the coordinator is silent.
func (b *Balances) payShare(a *account, w *catalog.Workspace, now time.Duration) {
	silent := now - a.shareAt
	if a.share == 0 || silent < payAfter {
		return
	}
	if !a.shareOn {
		a.shareOn, a.shortage = true, false
		a.accrued = a.shareAt // the ledger grants nothing for this time
	}
	until := min(now, a.shareAt+ShareValidity)
	if until > a.accrued {
		paid := min(min(a.share, w.RatePerS)*(until-a.accrued).Seconds(), max(0, a.share*shareStock-a.balance))
		a.balance += paid
		a.paid += paid
		a.accrued = until
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

// alone reports whether the host lives on its share without a pot.
func (a *account) alone(now time.Duration) bool {
	return a.shareOn && (a.pooledAt == 0 || now-a.pooledAt > pooledFor)
}

func (a *account) decay(now time.Duration) {
	passed := (now - a.rateAt).Seconds()
	a.rateAt = now
	a.rate *= max(0, 1-passed/rateMemory.Seconds())
}
