// Package allowance divides the allowance of each workspace among the hosts.
// The coordinator's Ledger refills one bucket for each workspace and grants
// from it; each host spends from its Bank. A host that does not reach the
// coordinator lives on a fixed share, which the ledger keeps back while the
// host is silent; such hosts pool their shares in a Pot. All decisions take the time as an argument.
package allowance

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const (
	// ContactTimeout is when a host without an exchange lives on its share.
	ContactTimeout = 900 * time.Millisecond
	// ShareValidity is how long a host may live on its share.
	ShareValidity = 15 * time.Second
	// wantMemory is how long a host's last want counts for the division.
	wantMemory = 600 * time.Millisecond
	// burstSeconds bounds the bucket, in seconds of the rate, whatever the
	// burst: hosts hold granted amounts beside it.
	burstSeconds = 1.0
	// exhaustedSeconds is how far the wants exceed the bucket, in seconds of its
	// refill, from which a workspace counts as over its allowance: what is
	// missing does not come while a request waits.
	exhaustedSeconds = 0.3
)

// Need is a host's side of an exchange, for one workspace.
type Need struct {
	Requested float64 `json:"want,omitempty"`
	Returned  float64 `json:"returned,omitempty"`
	// ShareCredited is what the host has paid itself of its share since the last exchange.
	ShareCredited float64 `json:"paid,omitempty"`
}

// Grant is the coordinator's side of an exchange, for one workspace.
type Grant struct {
	Amount float64 `json:"amount"`
	// Exhausted says that the workspace asks for more than it has.
	Exhausted bool `json:"exhausted,omitempty"`
}

type bucket struct {
	level float64 // negative after hosts have fallen silent
	at    time.Duration
	perS  float64
	wants map[string]want
}

// want is what a host asked for beyond its last grant.
type want struct {
	amount float64
	at     time.Duration
}

// Ledger is the coordinator's account. It is used by one goroutine at a time.
type Ledger struct {
	buckets map[string]*bucket
	heard   map[string]time.Duration // by host
	silent  map[string]bool          // hosts that live on their shares
	covered map[string]bool          // hosts whose shares were held back until their last exchange
	started time.Duration
	full    bool
}

// NewLedger returns a ledger that starts at a time. With full set the buckets
// start full: no other coordinator has granted from them. Hosts are those that
// an earlier coordinator gave shares to.
func NewLedger(now time.Duration, full bool, hosts []string) *Ledger {
	l := &Ledger{
		buckets: map[string]*bucket{}, heard: map[string]time.Duration{}, silent: map[string]bool{}, covered: map[string]bool{},
		started: now, full: full,
	}
	for _, host := range hosts {
		l.heard[host] = now - ContactTimeout
		l.silent[host] = true
	}
	return l
}

// Observe notes that a host is in contact.
func (l *Ledger) Observe(now time.Duration, host string) {
	l.heard[host] = now
	l.covered[host] = l.silent[host]
	delete(l.silent, host)
}

// Hosts returns the hosts that may live on a share.
func (l *Ledger) Hosts() []string {
	hosts := make([]string, 0, len(l.heard))
	for host := range l.heard {
		hosts = append(hosts, host)
	}
	return hosts
}

// Expire drops hosts whose shares have ended.
func (l *Ledger) Expire(now time.Duration) {
	for host, at := range l.heard {
		if now-at > ShareValidity+ContactTimeout {
			delete(l.heard, host)
			delete(l.silent, host)
			delete(l.covered, host)
		}
	}
}

// noteSilence takes the shares of hosts that have fallen silent out of the
// buckets, from their last exchange on: they pay themselves for that time.
func (l *Ledger) noteSilence(now time.Duration) {
	for host, at := range l.heard {
		if now-at < ContactTimeout || l.silent[host] {
			continue
		}
		l.silent[host] = true
		for _, b := range l.buckets {
			paid := max(0, b.at-at) // what has been refilled with the host's share in it
			b.level -= b.perS / float64(len(l.heard)) * paid.Seconds()
		}
	}
}

// reachable returns the part of the rate that is not kept back for silent hosts.
func (l *Ledger) reachable() float64 {
	if len(l.heard) == 0 {
		return 1
	}
	return 1 - float64(len(l.silent))/float64(len(l.heard))
}

// Exchange settles a need of a host that has just been heard.
func (l *Ledger) Exchange(now time.Duration, host string, w *catalog.Workspace, need Need) Grant {
	l.noteSilence(now)
	b := l.bucket(now, w)
	most := min(w.Burst, w.RatePerS*burstSeconds)
	refill := w.RatePerS * l.reachable()
	b.level = min(most, b.level+refill*(now-b.at).Seconds()+need.Returned)
	b.at, b.perS = now, w.RatePerS
	if !l.covered[host] {
		b.level -= need.ShareCredited // it was silent too briefly for its share to be held back
	}
	total := need.Requested + unmet(b.wants, now, host)
	amount := need.Requested
	short := total > b.level
	if short && total > 0 {
		amount = min(amount, b.level*need.Requested/total)
	}
	missing := total - max(0, b.level)
	amount = max(0, min(amount, b.level))
	b.level -= amount
	b.wants[host] = want{amount: need.Requested - amount, at: now}
	return Grant{Amount: amount, Exhausted: missing > refill*exhaustedSeconds}
}

// Shares returns the rates on which each of the hosts may live without the
// coordinator, for at most ShareValid, by workspace.
func Shares(workspaces map[string]*catalog.Workspace, hosts int) map[string]float64 {
	shares := map[string]float64{}
	for name, w := range workspaces {
		if w.Limited() {
			shares[name] = w.RatePerS / float64(max(1, hosts))
		}
	}
	return shares
}

// unmet returns what other hosts wanted a moment ago and were not granted.
func unmet(wants map[string]want, now time.Duration, host string) float64 {
	total := 0.0
	for name, other := range wants {
		switch {
		case now-other.at > wantMemory:
			delete(wants, name)
		case name != host:
			total += other.amount
		}
	}
	return total
}

func (l *Ledger) bucket(now time.Duration, w *catalog.Workspace) *bucket {
	b := l.buckets[w.Name]
	if b != nil {
		return b
	}
	b = &bucket{at: l.started, wants: map[string]want{}}
	if l.full {
		b.level = min(w.Burst, w.RatePerS*burstSeconds)
		b.at = now
	}
	l.buckets[w.Name] = b
	return b
}
