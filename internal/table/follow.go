package table

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
)

// Follower keeps a replica up to date with the change feed of the table service.
type Follower struct {
	Reader  Reader
	Table   string
	Replica *Replica
	// WatchTiming returns the longest time that a watch waits for a change, and the
	// shortest time between two watches.
	WatchTiming func() (wait, pause time.Duration)
	Log         logr.Logger
	// Enabled reports whether the table service has to be watched. It need not be while
	// another host relays the table. Optional.
	Enabled func() bool
	// OnFailure is called after each failed call with the longest time for which the table
	// service may have been unavailable. Optional.
	OnFailure func(outage time.Duration)

	historyGone  bool          // the feed no longer has the changes after the replica's revision
	lastResponse time.Duration // end of the last successful call, on the boot clock; 0: none
}

const (
	// retryInterval is the time between calls while the table service fails.
	retryInterval = 200 * time.Millisecond
	// enabledCheckInterval is the time between two checks of Enabled.
	enabledCheckInterval = 100 * time.Millisecond
	// readTimeout limits a read of a whole table, which takes many calls.
	readTimeout = 10 * time.Second
	// watchTimeoutMargin is added to the wait of a watch for its call timeout.
	watchTimeoutMargin = 900 * time.Millisecond
)

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	connected := true
	for ctx.Err() == nil {
		if f.Enabled != nil && !f.Enabled() {
			clock.Sleep(ctx, enabledCheckInterval)
			continue
		}
		err := confine.Call("following table "+f.Table, func() error { return f.step(ctx) })
		if err == nil {
			f.lastResponse = clock.SinceBoot()
			if !connected {
				f.Log.Info("Table followed again.", "table", f.Table, "revision", f.Replica.Position().Revision)
			}
			connected = true
			_, pause := f.WatchTiming()
			clock.Sleep(ctx, pause)
			continue
		}
		if connected && ctx.Err() == nil {
			f.Log.Info("Table lost.", "table", f.Table, "revision", f.Replica.Position().Revision, "error", err.Error())
			connected = false
		}
		if f.OnFailure != nil && ctx.Err() == nil {
			f.OnFailure(f.outage())
		}
		clock.Sleep(ctx, retryInterval)
	}
}

// outage returns the time since the table service is known to have answered this host or
// the host that relays the table.
func (f *Follower) outage() time.Duration {
	age := f.Replica.Age()
	if f.lastResponse == 0 {
		return age
	}
	return min(age, clock.SinceBoot()-f.lastResponse)
}

// step makes one call to the table service.
func (f *Follower) step(ctx context.Context) error {
	requestedAt := clock.SinceBoot()
	from := f.Replica.Position()
	if from.Revision < 0 || f.historyGone {
		return f.read(ctx, requestedAt)
	}
	wait, _ := f.WatchTiming()
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	page, err := f.Reader.Watch(ctx, f.Table, from.Revision, wait)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		f.Log.Info("Change history no longer available; reading the whole table.", "table", f.Table, "revision", from.Revision)
		f.historyGone = true
		return nil
	}
	if err != nil {
		return err
	}
	if page.Generation != from.Generation {
		f.Log.Info("Changes are of another generation; reading the whole table.", "table", f.Table,
			"revision", from.Revision, "generation", from.Generation, "service_generation", page.Generation)
		f.historyGone = true
		return nil
	}
	f.Replica.ApplyPage(page, false, requestedAt)
	return nil
}

// read reads the whole table.
func (f *Follower) read(ctx context.Context, requestedAt time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.Reader.Read(ctx, f.Table)
	if err != nil {
		return err
	}
	f.historyGone = false
	f.Replica.ApplyPage(page, true, requestedAt)
	return nil
}
