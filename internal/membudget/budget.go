// Package membudget decides who may use a host's memory for callers. Bytes are reserved by
// kind before they are used. Accounts that make no progress are evicted, the longest stalled
// first, but only when memory is short. The package does no I/O and takes the time as an
// argument; time is a duration since any fixed moment.
package membudget

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what bytes are used for.
type Kind int

// Kinds of bytes.
const (
	Bodies      Kind = iota // of requests
	Responses               // of upstreams
	Connections             // of callers
	Heads                   // of requests, beyond what a connection reads at once
	kindCount
)

// Kinds are all kinds.
var Kinds = [kindCount]Kind{Bodies, Responses, Connections, Heads}

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"bodies", "responses", "connections", "heads"}[k]
}

const (
	// SmallBytes is the size up to which a body or response may use the whole budget of its
	// kind; larger ones leave a reserve.
	SmallBytes = 64 << 10
	// ConnectionBytes is the memory of a connection: the stack of its goroutine, two buffers of
	// 4 KiB and net/http's and this program's state. 3,000 idle connections of a gateway were measured at 57 MB.
	ConnectionBytes = 20 << 10
	// MinRate is the rate, in bytes per second, below which a body or response counts as stalled.
	MinRate = 64 << 10
	// maxAhead bounds how far an account that was faster than MinRate may fall behind before it
	// counts as stalled.
	maxAhead = time.Second
	never    = math.MaxInt64
)

// Parts of a host's memory. Their sum leaves room for the program itself and for garbage.
const (
	allPart         = 0.55 // large bodies and responses, and heads, leave room for the connections
	contentPart     = 0.32 // bodies and responses together
	kindPart        = 0.22 // bodies or responses
	connectionsPart = 0.3
	headsPart       = 0.06
	smallPart       = 0.125 // of bodies or responses, kept for small ones
	// One source address may have this part of what large bodies or responses share, and of the
	// connections. A load balancer may be the only source.
	sourcePart            = 0.75
	sourceConnectionsPart = 0.9
	// overdraftConnections may be opened while connections that were evicted are being closed.
	overdraftConnections = 32
	// unlimitedResponses bounds large responses of hosts whose memory is not limited.
	unlimitedResponses = 64 << 20
)

// Limits bound what is reserved, in bytes.
type Limits struct {
	All     int64 // all kinds together, checked for large bodies and responses and for heads
	Content int64 // bodies and responses together
	Kind    [kindCount]int64
	// Large bounds bodies, and responses, of more than SmallBytes each; LargeContent both together.
	Large        [kindCount]int64
	LargeContent int64
}

// LimitsOf returns the limits of a host with so many bytes of memory and at most so many
// connections of callers; 0 bytes of memory: not limited.
func LimitsOf(memory int64, connections int) Limits {
	limits := Limits{
		All: never, Content: never, Kind: [kindCount]int64{never, never, never, never},
		Large: [kindCount]int64{never, unlimitedResponses, never, never}, LargeContent: never,
	}
	if memory > 0 {
		part := func(p float64) int64 { return int64(p * float64(memory)) }
		limits.All, limits.Content = part(allPart), part(contentPart)
		limits.Kind = [kindCount]int64{part(kindPart), part(kindPart), part(connectionsPart), part(headsPart)}
		small := part(kindPart * smallPart)
		limits.Large[Bodies], limits.Large[Responses] = limits.Kind[Bodies]-small, limits.Kind[Responses]-small
		limits.LargeContent = limits.Content - 2*small
	}
	limits.Kind[Connections] = min(limits.Kind[Connections], int64(connections)*ConnectionBytes)
	return limits
}

// usage are the reserved bytes of all accounts or of one source. Large ones are those of
// accounts of more than SmallBytes.
type usage struct{ all, large [kindCount]int64 }

// Budget holds the accounts of a host. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	used     usage
	sources  map[netip.Addr]*usage
	accounts map[*Account]struct{}
	released chan struct{} // closed at the next release; nil: nobody waits
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, sources: map[netip.Addr]*usage{}, accounts: map[*Account]struct{}{}}
}

// Used returns the reserved bytes of a kind.
func (b *Budget) Used(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used.all[kind]
}

// Limit returns the bound of a kind, in bytes.
func (b *Budget) Limit(kind Kind) int64 { return b.limits.Kind[kind] }

// Released returns a channel that is closed when bytes are released after this call.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// Account is what one body, response, head or connection has reserved.
type Account struct {
	budget *Budget
	kind   Kind
	source netip.Addr
	evict  func()
	// lateAt is when the account counts as stalled, in nanoseconds; never: it does not wait for
	// its caller.
	lateAt atomic.Int64

	// Guarded by the budget's lock.
	reserved  int64
	preferred bool // kept longer than others when accounts are evicted
	evicted   bool
	closed    bool
}

// Open returns an account without bytes. evict is returned by Reserve of another account when
// this one is to end; it must not block.
func (b *Budget) Open(kind Kind, source netip.Addr, evict func()) *Account {
	a := &Account{budget: b, kind: kind, source: source, evict: evict}
	a.lateAt.Store(never)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Expect records that the account waits for its caller, and counts as stalled after a grace.
func (a *Account) Expect(now, grace time.Duration) { a.lateAt.Store(int64(now + grace)) }

// Prefer sets whether the account is evicted only after all others of its kind.
func (a *Account) Prefer(preferred bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.preferred = preferred
}

// Progress records that bytes of an account that waits have arrived or were taken.
func (a *Account) Progress(bytes int, now time.Duration) {
	before := a.lateAt.Load()
	if before == never {
		return
	}
	after := before + int64(time.Duration(bytes)*time.Second/MinRate)
	a.lateAt.Store(min(after, int64(now+maxAhead)))
}

// Suspend records that the account does not wait for its caller any more.
func (a *Account) Suspend() { a.lateAt.Store(never) }

// Settle is Suspend, and reports whether the account has not been evicted. It can't be evicted
// afterwards.
func (a *Account) Settle() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.lateAt.Store(never)
	return !a.evicted
}

// Release gives bytes back.
func (a *Account) Release(bytes int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, -min(bytes, a.reserved))
	a.budget.notify()
}

// Close gives all bytes back and ends the account.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(b.accounts, a)
	b.add(a, -a.reserved)
	b.notify()
}

// add changes what an account has reserved.
func (b *Budget) add(a *Account, bytes int64) {
	from := b.sources[a.source]
	if from == nil {
		from = &usage{}
		b.sources[a.source] = from
	}
	largeBefore := largePart(a.reserved)
	a.reserved += bytes
	large := largePart(a.reserved) - largeBefore
	for _, u := range []*usage{&b.used, from} {
		u.all[a.kind] += bytes
		u.large[a.kind] += large
	}
	if *from == (usage{}) {
		delete(b.sources, a.source)
	}
}

// largePart returns the bytes of an account that count as large.
func largePart(reserved int64) int64 {
	if reserved > SmallBytes {
		return reserved
	}
	return 0
}

func (b *Budget) notify() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Decision is the answer to a reservation.
type Decision struct {
	Granted bool
	// Wait reports that the bytes will be free once the evicted accounts are closed.
	Wait bool
	// Evict are to be called now.
	Evict []func()
}

// Reserve reserves further bytes for an account.
func (a *Account) Reserve(bytes int64, now time.Duration) Decision {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || a.closed {
		return Decision{}
	}
	excesses := b.excesses(a, bytes)
	if len(excesses) == 0 {
		b.add(a, bytes)
		return Decision{Granted: true}
	}
	victims, enough := b.victims(a, excesses, now)
	if !enough {
		return Decision{}
	}
	d := Decision{Wait: true}
	for _, victim := range victims {
		victim.evicted = true
		d.Evict = append(d.Evict, victim.evict)
	}
	if a.kind == Connections && b.used.all[Connections]+bytes <= b.limits.Kind[Connections]+overdraftConnections*ConnectionBytes {
		b.add(a, bytes)
		d.Granted, d.Wait = true, false
	}
	return d
}

// excess is a bound that a reservation would exceed.
type excess struct {
	bytes  int64
	counts func(*Account) bool // whether the end of an account lowers the bound's use
}

// excesses returns the bounds that a reservation would exceed.
func (b *Budget) excesses(a *Account, bytes int64) []excess {
	var list []excess
	check := func(used, added, limit int64, counts func(*Account) bool) {
		if added > 0 && used > limit-added {
			list = append(list, excess{used + added - limit, counts})
		}
	}
	kind, limit := a.kind, b.limits.Kind[a.kind]
	sameKind := func(other *Account) bool { return other.kind == kind }
	sameSource := func(other *Account) bool { return other.kind == kind && other.source == a.source }
	check(b.used.all[kind], bytes, limit, sameKind)
	var from usage
	if u := b.sources[a.source]; u != nil {
		from = *u
	}
	if kind == Connections {
		check(from.all[kind], bytes, part(limit, sourceConnectionsPart), sameSource)
	}
	notConnection := func(other *Account) bool { return other.kind != Connections }
	total := int64(0)
	for _, used := range b.used.all {
		total += used
	}
	if kind == Heads {
		check(total, bytes, b.limits.All, notConnection)
	}
	if kind != Bodies && kind != Responses {
		return list
	}
	isContent := func(other *Account) bool { return other.kind == Bodies || other.kind == Responses }
	isLarge := func(other *Account) bool { return other.reserved > SmallBytes }
	check(b.used.all[Bodies]+b.used.all[Responses], bytes, b.limits.Content, isContent)
	if large := largePart(a.reserved+bytes) - largePart(a.reserved); large > 0 {
		largeLimit := b.limits.Large[kind]
		check(b.used.large[kind], large, largeLimit, func(other *Account) bool { return sameKind(other) && isLarge(other) })
		if b.limits.Content != never {
			check(from.large[kind], large, part(largeLimit, sourcePart), func(other *Account) bool { return sameSource(other) && isLarge(other) })
		}
		check(total, bytes, b.limits.All, notConnection)
		check(b.used.large[Bodies]+b.used.large[Responses], large, b.limits.LargeContent,
			func(other *Account) bool { return isContent(other) && isLarge(other) })
	}
	return list
}

func part(limit int64, fraction float64) int64 {
	if limit == never {
		return never
	}
	return int64(float64(limit) * fraction)
}

// victims returns the stalled accounts to evict for a reservation, and whether their end and
// that of those evicted before suffices.
func (b *Budget) victims(a *Account, excesses []excess, now time.Duration) (victims []*Account, enough bool) {
	var stalled []*Account
	for other := range b.accounts {
		switch {
		case other == a:
		case other.evicted:
			for i := range excesses {
				excesses[i].reduce(other)
			}
		case other.lateAt.Load() < int64(now):
			stalled = append(stalled, other)
		}
	}
	slices.SortFunc(stalled, func(x, y *Account) int {
		if x.preferred != y.preferred {
			if y.preferred {
				return -1
			}
			return 1
		}
		return int(min(max(x.lateAt.Load()-y.lateAt.Load(), -1), 1))
	})
	for _, candidate := range stalled {
		if helps(excesses, candidate) {
			victims = append(victims, candidate)
			for i := range excesses {
				excesses[i].reduce(candidate)
			}
		}
	}
	for _, e := range excesses {
		if e.bytes > 0 {
			return nil, false
		}
	}
	return victims, true
}

func (e *excess) reduce(other *Account) {
	if e.counts(other) {
		e.bytes -= other.reserved
	}
}

// helps reports whether the end of an account lowers a use that is still too high.
func helps(excesses []excess, a *Account) bool {
	for _, e := range excesses {
		if e.bytes > 0 && a.reserved > 0 && e.counts(a) {
			return true
		}
	}
	return false
}
