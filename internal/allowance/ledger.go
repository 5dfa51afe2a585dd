// Package allowance divides the allowance of each workspace among the hosts. The
// coordinator's Ledger refills one token bucket per workspace and grants amounts from it;
// each host spends from its Balances. A host that cannot reach the coordinator spends from
// its local share, a fixed part of the rate that the ledger reserves while the host is
// silent. Hosts in that state can combine their shares in a Pool. Amounts are in the unit
// of the workspace's allowance. All functions take the current time as an argument.
package allowance

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const (
	// ContactTimeout is the time since a host's last exchange after which the ledger
	// considers it to spend from its local share.
	ContactTimeout = 900 * time.Millisecond
	// ShareValidity is how long a host may spend from its local share.
	ShareValidity = 15 * time.Second
	// unmetRequestTTL is how long the unmet part of a host's last request counts when a
	// bucket is divided.
	unmetRequestTTL = 600 * time.Millisecond
	// maxBucketSeconds limits the bucket level, in seconds of the rate, even if the burst
	// is larger, because hosts hold granted amounts in addition.
	maxBucketSeconds = 1.0
	// exhaustedSeconds is the deficit, in seconds of the refill, from which a workspace
	// counts as over its allowance: a larger deficit is not refilled while a request waits.
	exhaustedSeconds = 0.3
	// floorFraction is the part of a bucket that one grant may give for small requests to
	// come.
	floorFraction = 0.25
	// maxWait bounds the wait that a grant states.
	maxWait = 30 * time.Second
)

// Need is a host's request to the ledger or a pool for one workspace, in units.
type Need struct {
	Requested float64 `json:"want,omitempty"` // wire name: want
	// Pending is the part of Requested for which requests wait; the rest is for requests to
	// come. First is the part of Pending that the request waiting longest lacks.
	Pending float64 `json:"pending,omitempty"`
	First   float64 `json:"first,omitempty"`
	// Floor is the part of Requested for small requests to come: they are served also while
	// others wait for more than the allowance.
	Floor    float64 `json:"floor,omitempty"`
	Returned float64 `json:"returned,omitempty"` // no longer needed by the host
	// ShareCredited is the amount that the host has credited from its local share since the
	// last exchange. Its wire name is paid.
	ShareCredited float64 `json:"paid,omitempty"`
}

// Grant is the reply to a Need.
type Grant struct {
	Amount float64 `json:"amount"` // units
	// Exhausted reports that requests wait for more than the workspace's allowance.
	Exhausted bool `json:"exhausted,omitempty"`
	// WaitMS is the time, in milliseconds, until the allowance covers all requests that wait
	// now; 0: it covers them.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// wait returns the stated wait. Coordinators of earlier versions state only Exhausted.
func (g Grant) wait() time.Duration {
	if g.Exhausted && g.WaitMS == 0 {
		return maxWait
	}
	return time.Duration(g.WaitMS) * time.Millisecond
}

type bucket struct {
	level      float64 // units; negative after hosts fell silent
	refilledAt time.Duration
	ratePerS   float64
	unmet      map[string]unmetRequest
}

// unmetRequest is the part of a host's last request that was not granted. The ledger counts
// only what requests wait for.
type unmetRequest struct {
	amount float64
	at     time.Duration
}

// Ledger is the coordinator's record of the allowances. It is not safe for concurrent use.
type Ledger struct {
	buckets       map[string]*bucket
	lastExchange  map[string]time.Duration // by host
	silent        map[string]bool          // hosts that spend from their local shares
	shareReserved map[string]bool          // hosts whose shares were reserved until their last exchange
	started       time.Duration
	startFull     bool
}

// NewLedger returns a ledger that starts at now. With full set the buckets start full,
// because no other coordinator has granted from them. hosts are the hosts to which an
// earlier coordinator assigned shares.
func NewLedger(now time.Duration, full bool, hosts []string) *Ledger {
	l := &Ledger{
		buckets: map[string]*bucket{}, lastExchange: map[string]time.Duration{}, silent: map[string]bool{}, shareReserved: map[string]bool{},
		started: now, startFull: full,
	}
	for _, host := range hosts {
		l.lastExchange[host] = now - ContactTimeout
		l.silent[host] = true
	}
	return l
}

// Observe records contact with a host.
func (l *Ledger) Observe(now time.Duration, host string) {
	l.lastExchange[host] = now
	l.shareReserved[host] = l.silent[host]
	delete(l.silent, host)
}

// Hosts returns the hosts that may spend from local shares.
func (l *Ledger) Hosts() []string {
	hosts := make([]string, 0, len(l.lastExchange))
	for host := range l.lastExchange {
		hosts = append(hosts, host)
	}
	return hosts
}

// Expire drops hosts whose shares are no longer valid.
func (l *Ledger) Expire(now time.Duration) {
	for host, at := range l.lastExchange {
		if now-at > ShareValidity+ContactTimeout {
			l.Remove(host)
		}
	}
}

// Remove drops a host that will not spend from its local share any more.
func (l *Ledger) Remove(host string) {
	delete(l.lastExchange, host)
	delete(l.silent, host)
	delete(l.shareReserved, host)
}

// reserveSilentShares subtracts the shares of hosts that fell silent from the buckets,
// starting at their last exchange: those hosts credit themselves for that time.
func (l *Ledger) reserveSilentShares(now time.Duration) {
	for host, at := range l.lastExchange {
		if now-at < ContactTimeout || l.silent[host] {
			continue
		}
		l.silent[host] = true
		for _, b := range l.buckets {
			refilledFor := max(0, b.refilledAt-at) // time for which the host's share was added to the bucket
			b.level -= b.ratePerS / float64(len(l.lastExchange)) * refilledFor.Seconds()
		}
	}
}

// unreservedFraction returns the fraction of the rate that is not reserved for silent
// hosts.
func (l *Ledger) unreservedFraction() float64 {
	if len(l.lastExchange) == 0 {
		return 1
	}
	return 1 - float64(len(l.silent))/float64(len(l.lastExchange))
}

// Exchange processes the need of a host and returns its grant. Observe must have been
// called for the host.
func (l *Ledger) Exchange(now time.Duration, host string, w *catalog.Workspace, need Need) Grant {
	l.reserveSilentShares(now)
	b := l.bucket(now, w)
	maxLevel := min(w.Burst, w.RatePerS*maxBucketSeconds)
	refill := w.RatePerS * l.unreservedFraction()
	b.level = min(maxLevel, b.level+refill*(now-b.refilledAt).Seconds()+need.Returned)
	b.refilledAt, b.ratePerS = now, w.RatePerS
	if !l.shareReserved[host] {
		b.level -= need.ShareCredited // its silence was too short for its share to be reserved
	}
	grant, unmet := divide(b.level, need, unmetByOthers(b.unmet, now, host))
	b.level -= grant
	b.unmet[host] = unmetRequest{amount: unmet, at: now}
	deficit := unmet + unmetByOthers(b.unmet, now, host) - max(0, b.level)
	return Grant{Amount: grant, Exhausted: deficit > refill*exhaustedSeconds, WaitMS: waitFor(deficit, refill).Milliseconds()}
}

// ExchangePending grants to a host whose requests wait, between its exchanges. A host that may
// be spending from its local share gets nothing: its need must come with an exchange.
func (l *Ledger) ExchangePending(now time.Duration, host string, w *catalog.Workspace, need Need) Grant {
	at, known := l.lastExchange[host]
	if !known || l.silent[host] || now-at >= ContactTimeout {
		return Grant{}
	}
	need.ShareCredited, need.Returned = 0, 0
	return l.Exchange(now, host, w, need)
}

// divide returns the amount that a host gets from a bucket, and the part of its pending
// requests that remains unmet. Pending requests of all hosts come before amounts for requests
// to come: in a large fleet those add up to most of the bucket while requests are refused. If
// the bucket does not cover the pending requests, it is divided in proportion, but each host
// gets whole requests: parts of requests on many hosts would serve none.
func divide(level float64, need Need, pendingElsewhere float64) (grant, unmet float64) {
	level = max(0, level)
	pending := min(need.Pending, need.Requested)
	floor := min(need.Floor, need.Requested-pending, level*floorFraction)
	level -= floor
	served := pending
	if total := pending + pendingElsewhere; total > level && total > 0 {
		served = min(pending, level, max(level*pending/total, need.First))
	}
	reserve := min(need.Requested-pending-floor, max(0, level-pending-pendingElsewhere))
	return floor + served + reserve, pending - served
}

// waitFor returns the time after which the refill (units per second) covers a deficit.
func waitFor(deficit, refill float64) time.Duration {
	if deficit <= 0 {
		return 0
	}
	return time.Duration(min(deficit/max(refill, 1), maxWait.Seconds()) * float64(time.Second))
}

// Shares returns, by workspace, the rate in units per second that each of the hosts may
// spend without the coordinator, for at most ShareValidity.
func Shares(workspaces map[string]*catalog.Workspace, hosts int) map[string]float64 {
	shares := map[string]float64{}
	for name, w := range workspaces {
		if w.Limited() {
			shares[name] = w.RatePerS / float64(max(1, hosts))
		}
	}
	return shares
}

// unmetByOthers returns the sum of the recent unmet requests of the other hosts and drops
// expired ones.
func unmetByOthers(requests map[string]unmetRequest, now time.Duration, host string) float64 {
	total := 0.0
	for name, other := range requests {
		switch {
		case now-other.at > unmetRequestTTL:
			delete(requests, name)
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
	b = &bucket{refilledAt: l.started, unmet: map[string]unmetRequest{}}
	if l.startFull {
		b.level = min(w.Burst, w.RatePerS*maxBucketSeconds)
		b.refilledAt = now
	}
	l.buckets[w.Name] = b
	return b
}
