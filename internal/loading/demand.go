package loading

import (
	"context"
	"sync"
	"time"
)

const (
	// forwardInterval is the minimum time between two messages about the same
	// demand.
	forwardInterval = 300 * time.Millisecond
	// forwardTimeout is the timeout of one message to an owner.
	forwardTimeout = time.Second
	// remoteDemandTTL is how long a demand of another host, or one without a
	// deadline, is kept after its last update.
	remoteDemandTTL = 3 * time.Second
	// ownerStallTimeout is the time after which a host decides itself although
	// the owner acknowledges demand; the owner may for instance be unable to
	// reach the table service.
	ownerStallTimeout = 4 * time.Second
	// usesInterval is the minimum time between two rounds of forwarded uses.
	usesInterval = time.Second
)

// Demand reports requests of one host that wait for weights, or that used them.
type Demand struct {
	From string // host at which the requests wait
	Weights
	Waiting  int       // requests waiting now
	Deadline time.Time // of the oldest request; messages between hosts carry the remaining time
	Uses     int       // requests that used the weights since the last message
}

// Peers delivers demand to other hosts.
type Peers interface {
	// SendDemand sends demand to the owner of its model. It returns nil once the
	// owner has acknowledged the message.
	SendDemand(ctx context.Context, demand Demand) error
}

type demandKey struct {
	from    string
	weights Weights
}

type demandEntry struct {
	waiting  int
	deadline time.Time
	since    time.Time // start of the demand
	updated  time.Time
}

// forwardState is the state of forwarding the demand for weights to the owner.
type forwardState struct {
	inFlight bool
	sentAt   time.Time
	ackedAt  time.Time
}

// usage counts uses of weights.
type usage struct {
	last time.Time
	uses int // since the last drainUses
}

// demandTracker collects demand and uses from request goroutines and peers. It
// is safe for concurrent use.
type demandTracker struct {
	mu       sync.Mutex
	demands  map[demandKey]*demandEntry
	forwards map[Weights]*forwardState
	uses     map[Weights]*usage
	arrivals map[Weights]int // not yet passed to the scaling policy
}

func newDemandTracker() *demandTracker {
	return &demandTracker{
		demands:  map[demandKey]*demandEntry{},
		forwards: map[Weights]*forwardState{},
		uses:     map[Weights]*usage{},
		arrivals: map[Weights]int{},
	}
}

// record stores demand, or ends it when nothing waits. It reports whether the
// demand is new or has more than doubled.
func (t *demandTracker) record(d Demand, now time.Time) bool {
	key := demandKey{d.From, d.Weights}
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Waiting <= 0 {
		delete(t.demands, key)
		return false
	}
	entry := t.demands[key]
	created := entry == nil
	if created {
		entry = &demandEntry{since: now}
		t.demands[key] = entry
		t.arrivals[d.Weights]++
	}
	grown := d.Waiting > 2*entry.waiting
	entry.waiting, entry.deadline, entry.updated = d.Waiting, d.Deadline, now
	return created || grown
}

// recordUse records n uses of weights. A use of an adapter counts as a use of its
// base model too.
func (t *demandTracker) recordUse(w Weights, n int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordUseLocked(w, n, now)
	if w.Adapter != "" {
		t.recordUseLocked(Weights{Model: w.Model}, n, now)
	}
}

func (t *demandTracker) recordUseLocked(w Weights, n int, now time.Time) {
	u := t.uses[w]
	if u == nil {
		u = &usage{}
		t.uses[w] = u
	}
	u.last = now
	u.uses += n
	t.arrivals[w] += n
}

func (t *demandTracker) lastUsed(w Weights) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.uses[w]; u != nil {
		return u.last
	}
	return time.Time{}
}

// drainArrivals returns and resets the arrivals since the last call.
func (t *demandTracker) drainArrivals() map[Weights]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.arrivals
	if len(taken) > 0 {
		t.arrivals = map[Weights]int{}
	}
	return taken
}

// drainUses returns the uses since the last call for the models that match, and
// resets the uses of all.
func (t *demandTracker) drainUses(match func(model string) bool) map[Weights]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := map[Weights]int{}
	for w, u := range t.uses {
		if u.uses > 0 && match(w.Model) {
			taken[w] = u.uses
		}
		u.uses = 0
	}
	return taken
}

// expire ends demand whose deadline has passed, which has not been updated for
// its TTL, or which a loaded replica has satisfied.
func (t *demandTracker) expire(self string, now time.Time, satisfied func(Weights) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, entry := range t.demands {
		age := now.Sub(entry.updated)
		passed := !entry.deadline.IsZero() && now.After(entry.deadline)
		openEnded := entry.deadline.IsZero() && age > remoteDemandTTL
		senderStale := key.from != self && age > remoteDemandTTL
		served := age > satisfiedDemandTTL && satisfied(key.weights)
		if passed || openEnded || senderStale || served {
			delete(t.demands, key)
		}
	}
}

// satisfiedDemandTTL is how long a demand is kept after its last update once a
// replica is loaded: by then its requests have been dispatched.
const satisfiedDemandTTL = time.Second

// pending returns the demand of all hosts summed by weights, and that of this
// host alone.
func (t *demandTracker) pending(self string) (all, own map[Weights]demandEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own = map[Weights]demandEntry{}, map[Weights]demandEntry{}
	for key, entry := range t.demands {
		mergeDemand(all, key.weights, entry)
		if key.from == self {
			mergeDemand(own, key.weights, entry)
		}
	}
	return all, own
}

func mergeDemand(sums map[Weights]demandEntry, w Weights, entry *demandEntry) {
	sum, ok := sums[w]
	if !ok {
		sums[w] = *entry
		return
	}
	sum.waiting += entry.waiting
	if sum.deadline.IsZero() || (!entry.deadline.IsZero() && entry.deadline.Before(sum.deadline)) {
		sum.deadline = entry.deadline
	}
	if entry.since.Before(sum.since) {
		sum.since = entry.since
	}
	sums[w] = sum
}

// startForward reports whether demand should be sent to its owner now, and if so
// marks it as being sent until endForward.
func (t *demandTracker) startForward(w Weights, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.forwards[w]
	if state == nil {
		state = &forwardState{}
		t.forwards[w] = state
	}
	if state.inFlight || now.Sub(state.sentAt) < forwardInterval {
		return false
	}
	state.inFlight, state.sentAt = true, now
	return true
}

func (t *demandTracker) endForward(w Weights, err error, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.forwards[w]
	state.inFlight = false
	if err == nil {
		state.ackedAt = now
	}
}

// ownerUnresponsive reports whether the owner has not acknowledged demand for
// longer than delay, or the demand has lasted longer than ownerStallTimeout.
func (t *demandTracker) ownerUnresponsive(w Weights, since, now time.Time, delay time.Duration) bool {
	if now.Sub(since) > ownerStallTimeout {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.forwards[w]; state != nil && state.ackedAt.After(since) {
		since = state.ackedAt
	}
	return now.Sub(since) > delay
}
