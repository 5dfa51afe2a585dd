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
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// Table and Key locate the lease row.
const (
	Table = "arbutusbank"
	Key   = "coordinator"
)

const (
	// renewInterval is the time between two renewals, retryInterval that after one that failed
	// while the lease is valid.
	renewInterval = 600 * time.Millisecond
	retryInterval = 200 * time.Millisecond
	// pollInterval is the time between two reads of the row while the coordinator cannot be
	// reached.
	pollInterval = 400 * time.Millisecond
	// pollJitter is the maximum random addition to pollInterval, so that hosts do not all
	// claim the lease at once.
	pollJitter = 250 * time.Millisecond
	// pollSoonJitter is the maximum random delay of a poll requested with PollSoon.
	pollSoonJitter = 60 * time.Millisecond
	// uptimePerClaimDelay is the ratio of a host's uptime to the time for which it delays
	// its claim of a released lease, up to maxUptimeClaimDelay: 10 s of uptime delay it by
	// 100 ms.
	uptimePerClaimDelay = 100
	maxUptimeClaimDelay = 200 * time.Millisecond
	// callTimeout limits a call to the table service.
	callTimeout = 600 * time.Millisecond
	// releaseTimeout limits the release at shutdown.
	releaseTimeout = 500 * time.Millisecond
)

// Elector claims and renews the lease for one host. It is safe for concurrent use.
type Elector struct {
	Host    string
	Address string
	Terms   Terms
	Store   table.Committer
	Log     logr.Logger
	// Hosts returns the hosts to be listed in the row.
	Hosts func() []string
	// ClaimDelay is how long this host leaves a claimable lease to other hosts.
	ClaimDelay time.Duration
	// Started is the start of the process, on the boot clock (clock.SinceBoot).
	Started time.Duration
	// CoordinatorReachable reports whether the coordinator answers this host, in which case
	// the row need not be polled.
	CoordinatorReachable func() bool
	// OnAcquired is called when this host has acquired the lease. Orders may be sent from the
	// time that Terms.OrdersFrom returns.
	OnAcquired func(Handover)
	// Config returns what the row is to say of the configuration. Optional.
	Config func() ConfigState
	// OnObserved is called with each row that is read. Optional.
	OnObserved func(Observation)

	mu             sync.Mutex
	observed       Observation
	snapshot       snapshot // that was observed
	lost           lostRecords
	highestEpoch   int64 // that this host has heard of
	reported       reportedValidity
	held           bool
	validUntil     time.Duration
	ordersFrom     time.Duration
	closing        bool
	claimableSince time.Duration  // when the lease was first seen to be claimable
	claimableAt    table.Position // of the row that was claimable then
	claimFrom      time.Duration  // when this host may claim it; used by the polling goroutine only
	pollRequested  chan struct{}  // closed to request a poll; nil: nobody waits
}

// Status is a snapshot of the lease as this host knows it.
type Status struct {
	Record     Record        `json:"record"`
	Held       bool          `json:"held"`
	Epoch      int64         `json:"epoch"`
	ValidFor   time.Duration `json:"valid_for_ns"`
	OrdersFrom time.Duration `json:"orders_from_ns"` // relative to now; negative: in the past
}

// Status returns the state of the lease.
func (e *Elector) Status() Status {
	now := clock.SinceBoot()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		Record: e.observed.Record, Held: e.held && now < e.validUntil, Epoch: e.observed.Record.Epoch,
		ValidFor: e.validUntil - now, OrdersFrom: e.ordersFrom - now,
	}
}

// Held reports whether this host holds the lease now.
func (e *Elector) Held() bool {
	now := clock.SinceBoot()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held && now < e.validUntil
}

// Validity returns the position of the row and the remaining validity of the lease.
func (e *Elector) Validity() (row table.Position, validFor time.Duration) {
	now := clock.SinceBoot()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observed.position(), e.validUntil - now
}

// Observe records what the holder reported about its lease, so that a lease that expires
// without a renewal is known to have expired.
func (e *Elector) Observe(report Report) {
	now := clock.SinceBoot()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highestEpoch = max(e.highestEpoch, report.Epoch)
	if !e.held && !report.Before(e.reported.Position) {
		e.reported = reportedValidity{Position: report.Position, validUntil: now + report.ValidFor}
	}
}

// MayOrder returns the fencing token and true if this host may send an order now that
// takes up to arrival to be delivered.
func (e *Elector) MayOrder(arrival time.Duration) (fence int64, ok bool) {
	now := clock.SinceBoot()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.held || e.closing || now < e.ordersFrom || now+arrival >= e.validUntil {
		return 0, false
	}
	return e.observed.Record.Epoch, true
}

// TimeUntilOrders returns the time until this host may send orders; 0 if it may now.
func (e *Elector) TimeUntilOrders() time.Duration {
	now := clock.SinceBoot()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closing {
		return e.Terms.MaxOrderDelay // the next holder waits that long
	}
	return max(0, e.ordersFrom-now)
}

// Coordinator returns the record that was read last.
func (e *Elector) Coordinator() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.observed.Record
}

// Run renews the lease while this host holds it and polls the row otherwise, until ctx is
// done.
func (e *Elector) Run(ctx context.Context) {
	e.confined(ctx, e.poll)
	for ctx.Err() == nil {
		switch {
		case e.shouldRenew():
			renewed := false
			e.confined(ctx, func(ctx context.Context) { renewed = e.renew(ctx) })
			clock.Sleep(ctx, e.untilNextRenewal(renewed))
		default:
			requested := e.waitForPoll(ctx, e.untilNextPoll(clock.SinceBoot()))
			if requested || !e.CoordinatorReachable() {
				e.confined(ctx, e.poll)
			}
		}
	}
}

// untilNextPoll returns the time until the next poll, which is due when this host may claim
// the lease, and soon enough for it to hear of a new holder.
func (e *Elector) untilNextPoll(now time.Duration) time.Duration {
	wait := pollInterval + rand.N(pollJitter)
	if e.claimFrom > now {
		wait = min(wait, e.claimFrom-now+rand.N(pollSoonJitter))
	}
	return wait
}

// confined makes one step and logs a panic in it.
func (e *Elector) confined(ctx context.Context, step func(context.Context)) {
	err := confine.Call("following the lease", func() error {
		step(ctx)
		return nil
	})
	if err != nil {
		e.Log.Error(err, "Panic confined.")
	}
}

// PollSoon requests an early poll, after the presumed coordinator replied that it does not
// hold the lease.
func (e *Elector) PollSoon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pollRequested != nil {
		close(e.pollRequested)
		e.pollRequested = nil
	}
}

// waitForPoll waits for d and reports whether PollSoon ended the wait early.
func (e *Elector) waitForPoll(ctx context.Context, d time.Duration) bool {
	e.mu.Lock()
	if e.pollRequested == nil {
		e.pollRequested = make(chan struct{})
	}
	pollRequested := e.pollRequested
	e.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-pollRequested:
		clock.Sleep(ctx, rand.N(pollSoonJitter))
		return true
	}
	return false
}

func (e *Elector) read(ctx context.Context) (snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := e.Store.Read(ctx, Table)
	return newSnapshot(page), err
}

// config returns what the row is to say of the configuration.
func (e *Elector) config() ConfigState {
	if e.Config == nil {
		return ConfigState{}
	}
	return e.Config()
}

// write writes the row if the lease table is still as it was read, and returns its content. It
// returns a table.GenerationChangedError if the write was applied in a later generation: it is
// void then.
func (e *Elector) write(ctx context.Context, read snapshot, record Record) (snapshot, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return snapshot{}, &DecodeError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	writes := read.writes(value)
	at, err := e.Store.Commit(ctx, Table, writes...)
	if err == nil && at.Generation != read.Generation {
		err = &table.GenerationChangedError{Table: Table, Before: read.Generation, After: at.Generation}
	}
	return read.after(writes, at), err
}

// Closing reports whether this host is about to hand over the lease.
func (e *Elector) Closing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closing
}

// Stop ends orders at once and releases the lease for a graceful shutdown. The host still
// counts as the holder, without sending orders, until another host has acquired the lease
// or the last renewal expires.
func (e *Elector) Stop(ctx context.Context) {
	e.mu.Lock()
	e.closing = true
	held, read, record := e.held, e.snapshot, e.observed.Record
	e.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	record.Released = true
	record.Renewal = rand.Int64()
	_, err := e.write(ctx, read, record)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		e.Log.Info("Lease row changed before the release.", "epoch", record.Epoch)
		return
	}
	if err != nil {
		e.Log.Info("Lease not released; other hosts can acquire it when it expires.", "epoch", record.Epoch, "error", err.Error())
		return
	}
	e.Log.Info("Lease released.", "epoch", record.Epoch)
}
