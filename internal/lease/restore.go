package lease

import (
	"context"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// maxLostNames bounds the former holders, and maxLostHosts the hosts, that are remembered from
// rows that the table service has lost.
const (
	maxLostNames = 4
	maxLostHosts = 4096
)

// lostRecords are what a host remembers of rows that the table service may have lost.
type lostRecords struct {
	holders []string // latest first
	hosts   []string // with shares of the allowances
}

// complete returns the former holders and the hosts with shares for the first row of a
// generation.
func (l lostRecords) complete(restored Record, host string) (former, hosts []string) {
	holders := append(append([]string{}, l.holders...), restored.Holder)
	former = firstNames(maxLostNames, append(holders, restored.Former...), host)
	return former, firstNames(maxLostHosts, append(append([]string{}, restored.Hosts...), l.hosts...), "")
}

// beginGeneration keeps what the record before says if the table service has come back from a
// copy since. The caller holds e.mu.
func (e *Elector) beginGeneration(read snapshot, restored Record) {
	if e.observed.Since == 0 || read.Generation == e.observed.Generation {
		return
	}
	before := e.observed.Record
	e.Log.Info("Lease row restored from an older copy.", "generation", read.Generation, "epoch", restored.Epoch, "holder", restored.Holder,
		"epoch_before", before.Epoch, "holder_before", before.Holder, "written_since", !read.restored())
	holders := append([]string{before.Holder}, before.Former...)
	e.lost.holders = firstNames(maxLostNames, append(holders, e.lost.holders...), "")
	e.lost.hosts = firstNames(maxLostHosts, append(append([]string{}, before.Hosts...), e.lost.hosts...), "")
}

// mayRestore reports whether this host still holds the lease after the table service has come back
// from a copy, so that the row is its own to write again. It is if its renewal was still valid
// when it read the row in the new generation: nobody could claim the lease in the one before, and
// nobody has in the new one.
func (e *Elector) mayRestore(read snapshot, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return read.restored() && read.Generation > e.snapshot.Generation && e.snapshot.Generation != 0 &&
		e.held && !e.closing && now < e.validUntil
}

// restore writes the row of this host's term in the new generation and reports whether it did. The
// term goes on with its epoch, which no other holder has had or will have.
func (e *Elector) restore(ctx context.Context, read snapshot, record Record) bool {
	start := clock.SinceBoot()
	written, err := e.write(ctx, read, record)
	if err != nil {
		e.Log.Info("Lease row not written again.", "epoch", record.Epoch, "generation", read.Generation, "error", err.Error())
		return false // the next renewal tries again
	}
	e.extend(record, written, start)
	e.Log.Info("Lease row written again.", "epoch", record.Epoch, "generation", read.Generation)
	return true
}
