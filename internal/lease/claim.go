package lease

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// poll reads the row and claims the lease if it is claimable.
func (e *Elector) poll(ctx context.Context) {
	read, err := e.read(ctx)
	if err != nil {
		return
	}
	now := clock.SinceBoot()
	last, closing, ok := e.observe(read, now)
	if !ok || closing || !e.Terms.Claimable(last, e.Host, now) {
		return
	}
	if e.claimableSince == 0 || e.claimableAt != last.position() {
		e.claimableSince, e.claimableAt = now, last.position()
	}
	e.claimFrom = e.claimableSince + e.claimDelay(last.Record, now)
	if now < e.claimFrom {
		return // the next poll shows whether another host has claimed it
	}
	e.claim(ctx, last)
}

// observe records what was read. ok is false for a late response of an earlier generation.
func (e *Elector) observe(read snapshot, now time.Duration) (last Observation, closing, ok bool) {
	record, err := Decode(read.row.Value)
	if err != nil {
		e.Log.Error(err, "Cannot decode lease row; treating the lease as having no known holder.")
	}
	e.mu.Lock()
	if read.Generation < e.observed.Generation {
		e.mu.Unlock()
		return Observation{}, false, false
	}
	e.beginGeneration(read, record)
	next := Observation{Record: record, Revision: read.row.Revision, Generation: read.Generation, Restored: read.restored(), Since: now}
	if e.observed.Since != 0 && next.position() == e.observed.position() {
		next.Since = e.observed.Since
	}
	if e.reported.Position == next.position() {
		next.Expires = e.reported.validUntil
	}
	e.observed, e.snapshot = next, read
	e.highestEpoch = max(e.highestEpoch, record.Epoch)
	if e.held && record.Holder != e.Host {
		e.held = false // handed over
	}
	closing = e.closing
	e.mu.Unlock()
	if e.OnObserved != nil {
		e.OnObserved(next)
	}
	return next, closing, true
}

// claimDelay returns how long this host leaves a claimable lease to other hosts. After a
// release it grows with the uptime: in a rolling restart, hosts that have not restarted yet
// are about to end.
func (e *Elector) claimDelay(last Record, now time.Duration) time.Duration {
	wait := e.ClaimDelay
	if last.Released && e.Started > 0 {
		wait += min((now-e.Started)/uptimePerClaimDelay, maxUptimeClaimDelay)
	}
	return wait
}

// claim writes this host as the holder in place of the last observed one.
func (e *Elector) claim(ctx context.Context, last Observation) {
	start := clock.SinceBoot()
	e.mu.Lock()
	read, lost, highestEpoch := e.snapshot, e.lost, e.highestEpoch
	e.mu.Unlock()
	record := Record{
		Holder: e.Host, Address: e.Address, Epoch: max(last.Record.Epoch, highestEpoch, epochFloor(last.Generation)) + 1, Renewal: rand.Int64(),
		Former: formerAfter(last.Record, e.Host), Hosts: last.Record.Hosts, Config: e.config(),
	}
	if last.Restored {
		record.Former, record.Hosts = lost.complete(last.Record, e.Host)
	}
	written, err := e.write(ctx, read, record)
	if err != nil {
		e.Log.Info("Lease claim failed.", "epoch", record.Epoch, "last_holder", last.Record.Holder, "error", err.Error())
		return
	}
	e.extend(record, written, start)
	e.mu.Lock()
	e.ordersFrom = e.Terms.OrdersFrom(last, e.Host, start)
	e.held = true
	wait := e.ordersFrom - start
	e.mu.Unlock()
	e.Log.Info("Lease taken.", "epoch", record.Epoch, "revision", written.Revision, "generation", written.Generation,
		"last_holder", last.Record.Holder, "restored", last.Restored,
		"last_seen_ms", (start - last.Since).Milliseconds(), "orders_in_ms", wait.Milliseconds())
	e.OnAcquired(Handover{First: last.Record.Holder == "" && !last.Restored, Hosts: record.Hosts})
}
