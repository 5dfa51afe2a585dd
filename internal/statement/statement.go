// Package statement keeps what upstreams have said of themselves in their responses to
// this host: that they are leaving, and that they want no requests for some time. Such a
// statement takes precedence over everything that others say of the upstream, until the
// upstream starts again. The package does no I/O and takes the time as an argument.
package statement

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const (
	// probeInterval is the time between two requests to an upstream whose pause has ended
	// and that has not responded since: one request finds out whether it takes requests.
	probeInterval = 250 * time.Millisecond
	// maxPause bounds a pause; an upstream that wants no requests for longer should leave.
	maxPause = 10 * time.Minute
	// maxTracked bounds the incarnations that are tracked. Those that spoke first are
	// dropped.
	maxTracked = 4096
	// relayTime is how long a host tells others that an upstream is leaving; by then its
	// entry says so.
	relayTime = 10 * time.Second
)

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born"` // Unix ms
	Address   string `json:"address"`
}

// IncarnationOf returns the incarnation that an entry describes.
func IncarnationOf(upstream *catalog.Upstream) Incarnation {
	return Incarnation{ID: upstream.ID, StartedMS: upstream.StartedMS, Address: upstream.Address}
}

// record is what one incarnation has said. All times are on the boot clock.
type record struct {
	at          time.Duration // of the first statement
	leaving     bool
	relayUntil  time.Duration // until when other hosts are told that it leaves
	pausedUntil time.Duration // 0: no pause
	nextProbe   time.Duration // after a pause: when the next request may be sent
}

// Tracker keeps the statements of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[Incarnation]*record
	count   atomic.Int32 // of records
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{records: map[Incarnation]*record{}} }

// Empty reports whether no statement is in force. It takes no lock, because it is asked
// before and after every request.
func (t *Tracker) Empty() bool { return t.count.Load() == 0 }

// Record records a response of an incarnation. It reports whether the response is the
// first to say that the incarnation leaves.
func (t *Tracker) Record(now time.Duration, of Incarnation, s call.Statement) (leaves bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[of]
	if s.PauseFor > 0 || s.Leaving {
		r = t.recordOf(now, of)
	}
	switch {
	case r == nil:
		return false
	case s.PauseFor > 0:
		// A shorter statement does not take back a longer one: they may have overtaken
		// each other.
		r.pausedUntil = max(r.pausedUntil, now+min(s.PauseFor, maxPause))
		r.nextProbe = r.pausedUntil
	case now >= r.pausedUntil:
		r.pausedUntil, r.nextProbe = 0, 0
	}
	leaves = s.Leaving && !r.leaving
	if leaves {
		r.leaving, r.relayUntil = true, now+relayTime
	}
	t.dropIfEmpty(of, r)
	return leaves
}

// RecordLeaving records that another host was told by an incarnation that it leaves. It
// reports whether this is new.
func (t *Tracker) RecordLeaving(now time.Duration, of Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(now, of)
	known := r.leaving
	r.leaving = true
	return !known
}

func (t *Tracker) recordOf(now time.Duration, of Incarnation) *record {
	r := t.records[of]
	if r == nil {
		t.evictIfFull()
		r = &record{at: now}
		t.records[of] = r
		t.count.Store(int32(len(t.records)))
	}
	return r
}

func (t *Tracker) evictIfFull() {
	if len(t.records) < maxTracked {
		return
	}
	var oldest Incarnation
	var earliest *record
	for of, r := range t.records {
		if earliest == nil || r.at < earliest.at {
			oldest, earliest = of, r
		}
	}
	delete(t.records, oldest)
}

func (t *Tracker) dropIfEmpty(of Incarnation, r *record) {
	if !r.leaving && r.pausedUntil == 0 {
		delete(t.records, of)
		t.count.Store(int32(len(t.records)))
	}
}

// Leaving reports whether an incarnation has said that it leaves.
func (t *Tracker) Leaving(of Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[of]
	return r != nil && r.leaving
}

// PausedFor returns how long no request may be sent to an incarnation; 0: one may be sent
// now.
func (t *Tracker) PausedFor(now time.Duration, of Incarnation) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[of]
	if r == nil {
		return 0
	}
	return max(0, r.nextProbe-now)
}

// Begin reports whether a request may be sent to an incarnation now. It is called right
// before the first byte, because the request may have been assigned to the upstream, or
// this host suspended, before the statement. After a pause, it permits one request in each
// probeInterval until the upstream has responded.
func (t *Tracker) Begin(now time.Duration, of Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[of]
	switch {
	case r == nil:
		return true
	case r.leaving || now < r.nextProbe:
		return false
	}
	r.nextProbe = now + probeInterval
	return true
}

// ToRelay returns the incarnations of which other hosts should hear that they leave.
func (t *Tracker) ToRelay(now time.Duration) []Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Incarnation
	for of, r := range t.records {
		if now < r.relayUntil {
			list = append(list, of)
		}
	}
	return list
}

// Dump describes an incarnation's statements in the state dump.
type Dump struct {
	Incarnation
	Leaving bool `json:"leaving"`
	// PausedForMS is how long no request may be sent; 0: one may be sent now.
	PausedForMS int64 `json:"paused_for_ms"`
}

// Dump returns all statements, by ID.
func (t *Tracker) Dump(now time.Duration) []Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Dump, 0, len(t.records))
	for of, r := range t.records {
		list = append(list, Dump{Incarnation: of, Leaving: r.leaving, PausedForMS: max(0, r.nextProbe-now).Milliseconds()})
	}
	slices.SortFunc(list, func(a, b Dump) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedMS, b.StartedMS))
	})
	return list
}
