package lease

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// Table and key of the lease.
const (
	Table = "arbutusbank"
	Key   = "coordinator"
)

const (
	// renewEvery is the period of renewals.
	renewEvery = 600 * time.Millisecond
	// lookEvery is the period of reads while the coordinator is not reached.
	lookEvery = 400 * time.Millisecond
	// lookSpread is added at random, so that hosts do not claim all at once.
	lookSpread = 250 * time.Millisecond
	// hurrySpread is the spread of looks after the coordinator said that it is none.
	hurrySpread = 60 * time.Millisecond
	// reluctancePerUptime is the uptime for which a host waits one unit of time
	// before it takes a released lease, up to mostUptimeReluctance.
	reluctancePerUptime  = 100
	mostUptimeReluctance = 200 * time.Millisecond
	// callTimeout bounds a call to the table service.
	callTimeout = 600 * time.Millisecond
	// releaseTimeout bounds the release at shutdown.
	releaseTimeout = 500 * time.Millisecond
)

// Elector claims and renews the lease for one host. It is safe for concurrent use.
type Elector struct {
	Host    string
	Address string
	Terms   Terms
	Store   table.Committer
	Log     logr.Logger
	// Hosts returns the hosts to be named in the row.
	Hosts func() []string
	// ClaimDelay is how long this host leaves a free lease to others.
	ClaimDelay time.Duration
	// Started is when the process started, on the clock that includes suspension.
	Started time.Duration
	// CoordinatorReachable reports whether the coordinator answers this host, so that no
	// look at the row is needed.
	CoordinatorReachable func() bool
	// OnAcquired is called when this host has taken the lease, with the last
	// holder's record. Orders may be given from the time of OrdersFrom.
	OnAcquired func(last Record)

	mu         sync.Mutex
	seen       Observation
	heard      ReportedValidity
	held       bool
	validUntil time.Duration
	ordersFrom time.Duration
	closing    bool
	freeSince  time.Duration // when Run first saw that the lease may be claimed
	freeAt     int64         // revision of the row that was free then
	hurry      chan struct{} // closed to end a pause; nil: nobody pauses
}

// Status is a snapshot of the lease as this host knows it.
type Status struct {
	Record     Record        `json:"record"`
	Held       bool          `json:"held"`
	Epoch      int64         `json:"epoch"`
	ValidFor   time.Duration `json:"valid_for_ns"`
	OrdersFrom time.Duration `json:"orders_from_ns"` // from now; negative: in the past
}

// Status returns the state of the lease.
func (k *Elector) Status() Status {
	now := clock.SinceBoot()
	k.mu.Lock()
	defer k.mu.Unlock()
	return Status{
		Record: k.seen.Record, Held: k.held && now < k.validUntil, Epoch: k.seen.Record.Epoch,
		ValidFor: k.validUntil - now, OrdersFrom: k.ordersFrom - now,
	}
}

// Held reports whether this host coordinates now.
func (k *Elector) Held() bool {
	now := clock.SinceBoot()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held && now < k.validUntil
}

// Validity returns the revision of the row and how long the lease holds.
func (k *Elector) Validity() (revision int64, validFor time.Duration) {
	now := clock.SinceBoot()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen.Revision, k.validUntil - now
}

// Observe notes what the holder said about its lease, so that a lease that ends
// without a renewal is known to have ended.
func (k *Elector) Observe(revision int64, validFor time.Duration) {
	now := clock.SinceBoot()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held && revision >= k.heard.Revision {
		k.heard = ReportedValidity{Revision: revision, ValidUntil: now + validFor}
	}
}

// MayOrder returns the fencing number if this host may give orders now and
// for the time that an order takes to arrive.
func (k *Elector) MayOrder(arrival time.Duration) (fence int64, ok bool) {
	now := clock.SinceBoot()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held || k.closing || now < k.ordersFrom || now+arrival >= k.validUntil {
		return 0, false
	}
	return k.seen.Record.Epoch, true
}

// TimeUntilOrders returns the time until this host may order, 0 if it may now.
func (k *Elector) TimeUntilOrders() time.Duration {
	now := clock.SinceBoot()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closing {
		return k.Terms.MaxOrderDelay // the next holder waits so long
	}
	return max(0, k.ordersFrom-now)
}

// Coordinator returns the record that was last seen.
func (k *Elector) Coordinator() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen.Record
}

// Run keeps the lease or watches it until the context ends.
func (k *Elector) Run(ctx context.Context) {
	k.look(ctx)
	for ctx.Err() == nil {
		switch {
		case k.renews():
			k.renew(ctx)
			clock.Sleep(ctx, renewEvery)
		default:
			hurried := k.pauseOrHurry(ctx, lookEvery+k.ClaimDelay+rand.N(lookSpread))
			if hurried || !k.CoordinatorReachable() {
				k.look(ctx)
			}
		}
	}
}

// PollSoon makes the next look happen soon: the coordinator said that it is none.
func (k *Elector) PollSoon() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hurry != nil {
		close(k.hurry)
		k.hurry = nil
	}
}

// pauseOrHurry reports whether the pause was cut short by Hurry.
func (k *Elector) pauseOrHurry(ctx context.Context, d time.Duration) bool {
	k.mu.Lock()
	if k.hurry == nil {
		k.hurry = make(chan struct{})
	}
	hurry := k.hurry
	k.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-hurry:
		clock.Sleep(ctx, rand.N(hurrySpread))
		return true
	}
	return false
}

// renews reports whether this host is to renew the lease.
func (k *Elector) renews() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held && !k.closing
}

// look reads the row and claims the lease if it is free.
func (k *Elector) look(ctx context.Context) {
	row, err := k.get(ctx)
	if err != nil {
		return
	}
	now := clock.SinceBoot()
	record, err := Decode(row.Value)
	if err != nil {
		k.Log.Error(err, "Lease row not understood; it counts as held by nobody known.")
	}
	k.mu.Lock()
	if row.Revision != k.seen.Revision || k.seen.Since == 0 {
		k.seen = Observation{Record: record, Revision: row.Revision, Since: now}
	}
	if k.heard.Revision == row.Revision {
		k.seen.Expires = k.heard.ValidUntil
	}
	last, closing := k.seen, k.closing
	if k.held && record.Holder != k.Host {
		k.held = false // handed over
	}
	k.mu.Unlock()
	if closing || !k.Terms.Claimable(last, k.Host, now) {
		return
	}
	if k.freeSince == 0 || k.freeAt != last.Revision {
		k.freeSince, k.freeAt = now, last.Revision
	}
	if wait := k.reluctance(last.Record, now); wait > 0 && now-k.freeSince < wait {
		clock.Sleep(ctx, wait)
		k.PollSoon()
		return // the next look shows whether another host has taken it
	}
	k.claim(ctx, last)
}

// reluctance returns how long this host leaves a free lease to others. In a
// rolling restart those that started last go first: the others are next to end.
func (k *Elector) reluctance(last Record, now time.Duration) time.Duration {
	wait := k.ClaimDelay
	if last.Released && k.Started > 0 {
		wait += min((now-k.Started)/reluctancePerUptime, mostUptimeReluctance)
	}
	return wait
}

func (k *Elector) get(ctx context.Context) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Get(ctx, Table, Key)
}

func (k *Elector) claim(ctx context.Context, last Observation) {
	asked := clock.SinceBoot()
	record := Record{
		Holder: k.Host, Address: k.Address, Epoch: last.Record.Epoch + 1, Renewal: rand.Int64(),
		Former: formerAfter(last.Record, k.Host), Hosts: last.Record.Hosts,
	}
	revision, err := k.write(ctx, last.Revision, record)
	if err != nil {
		k.Log.Info("Lease not taken.", "epoch", record.Epoch, "last_holder", last.Record.Holder, "error", err.Error())
		return
	}
	k.mu.Lock()
	k.ordersFrom = k.Terms.OrdersFrom(last, k.Host, asked)
	k.validUntil = asked + k.Terms.Duration
	k.seen = Observation{Record: record, Revision: revision, Since: clock.SinceBoot()}
	k.held = true
	wait := k.ordersFrom - asked
	k.mu.Unlock()
	k.Log.Info("Lease taken.", "epoch", record.Epoch, "revision", revision, "last_holder", last.Record.Holder,
		"last_seen_ms", (asked - last.Since).Milliseconds(), "orders_in_ms", wait.Milliseconds())
	k.OnAcquired(last.Record)
}

// renew extends the lease. A lost answer is resolved by reading the row.
func (k *Elector) renew(ctx context.Context) {
	k.mu.Lock()
	last := k.seen
	active := clock.SinceBoot() >= k.ordersFrom
	k.mu.Unlock()
	record := last.Record
	record.Active = active
	record.Hosts = k.Hosts()
	record.Renewal = rand.Int64()
	asked := clock.SinceBoot()
	revision, err := k.write(ctx, last.Revision, record)
	if err == nil {
		k.extend(record, revision, asked)
		return
	}
	if ctx.Err() != nil {
		return
	}
	k.Log.Info("Lease not renewed.", "epoch", record.Epoch, "valid_for_ms", k.Status().ValidFor.Milliseconds(), "error", err.Error())
	k.resolve(ctx, record, asked)
}

// resolve finds out whether a renewal without an answer was performed.
func (k *Elector) resolve(ctx context.Context, tried Record, asked time.Duration) {
	row, err := k.get(ctx)
	if err != nil {
		return // tried again with the next renewal
	}
	current, err := Decode(row.Value)
	if err != nil {
		k.Log.Error(err, "Lease row not understood.")
		return
	}
	if current.Holder == k.Host && current.Epoch == tried.Epoch {
		if current.Renewal == tried.Renewal {
			k.extend(current, row.Revision, asked)
			return
		}
		k.mu.Lock()
		k.seen.Revision, k.seen.Record = row.Revision, current
		k.mu.Unlock()
		return
	}
	k.mu.Lock()
	k.held = false
	k.seen = Observation{Record: current, Revision: row.Revision, Since: clock.SinceBoot()}
	k.mu.Unlock()
	k.Log.Info("Lease lost.", "epoch", tried.Epoch, "holder", current.Holder, "holder_epoch", current.Epoch)
}

func (k *Elector) extend(record Record, revision int64, asked time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seen = Observation{Record: record, Revision: revision, Since: clock.SinceBoot()}
	k.validUntil = asked + k.Terms.Duration
}

func (k *Elector) write(ctx context.Context, expected int64, record Record) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, &DecodeError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.Store.Put(ctx, Table, Key, expected, value)
}

// Closing reports whether this host is about to hand the lease over.
func (k *Elector) Closing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closing
}

// Stop ends orders at once and releases the lease, for a graceful shutdown. The
// host still counts as the holder, without orders, until another one has taken
// over or the last renewal ends.
func (k *Elector) Stop(ctx context.Context) {
	k.mu.Lock()
	k.closing = true
	held, last := k.held, k.seen
	k.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	record := last.Record
	record.Released = true
	record.Renewal = rand.Int64()
	_, err := k.write(ctx, last.Revision, record)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		k.Log.Info("Lease had changed before its release.", "epoch", record.Epoch)
		return
	}
	if err != nil {
		k.Log.Info("Lease not released; others take it when it ends.", "epoch", record.Epoch, "error", err.Error())
		return
	}
	k.Log.Info("Lease released.", "epoch", record.Epoch)
}
