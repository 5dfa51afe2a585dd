package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// shouldRenew reports whether this host has to renew the lease.
func (e *Elector) shouldRenew() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held && !e.closing
}

// untilNextRenewal returns the time until the next renewal. After one that failed it is due soon
// while the lease is valid: only until then the holder can write a row again that the table
// service has lost.
func (e *Elector) untilNextRenewal(renewed bool) time.Duration {
	if renewed || !e.Held() {
		return renewInterval
	}
	return retryInterval
}

// renew extends the lease and reports whether it did. If the response is lost, the row tells
// whether the renewal was written.
func (e *Elector) renew(ctx context.Context) bool {
	e.mu.Lock()
	read, record := e.snapshot, e.observed.Record
	record.Active = clock.SinceBoot() >= e.ordersFrom
	e.mu.Unlock()
	record.Hosts = e.Hosts()
	record.Config = e.config()
	record.Renewal = rand.Int64()
	start := clock.SinceBoot()
	written, err := e.write(ctx, read, record)
	if err == nil {
		e.extend(record, written, start)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	e.Log.Info("Lease not renewed.", "epoch", record.Epoch, "valid_for_ms", e.Status().ValidFor.Milliseconds(), "error", err.Error())
	return e.resolveRenewal(ctx, record, start)
}

// resolveRenewal determines whether a renewal without a response was written, and reports whether
// the lease was extended.
func (e *Elector) resolveRenewal(ctx context.Context, tried Record, start time.Duration) bool {
	read, err := e.read(ctx)
	if err != nil {
		return false // the next renewal tries again
	}
	now := clock.SinceBoot()
	if e.mayRestore(read, now) {
		return e.restore(ctx, read, tried)
	}
	current, err := Decode(read.row.Value)
	if err != nil {
		e.Log.Error(err, "Cannot decode lease row.")
		return false
	}
	sameTerm := !read.restored() && current.Holder == e.Host && current.Epoch == tried.Epoch
	if sameTerm && current.Renewal == tried.Renewal {
		e.extend(current, read, start)
		return true
	}
	if _, _, ok := e.observe(read, now); !ok || sameTerm {
		return false
	}
	e.mu.Lock()
	e.held = false
	e.mu.Unlock()
	e.Log.Info("Lease lost.", "epoch", tried.Epoch, "holder", current.Holder, "holder_epoch", current.Epoch, "generation", read.Generation,
		"restored", read.restored())
	return false
}

// extend records a row that this host has written in a call that began at start.
func (e *Elector) extend(record Record, written snapshot, start time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.snapshot = written
	e.highestEpoch = max(e.highestEpoch, record.Epoch)
	e.observed = Observation{
		Record: record, Revision: written.row.Revision, Generation: written.Generation, Since: clock.SinceBoot(),
	}
	e.validUntil = start + e.Terms.Duration
}
