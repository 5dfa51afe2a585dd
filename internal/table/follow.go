package table

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// Follower keeps a replica up to date through the feed of the table service.
type Follower struct {
	Reader  Reader
	Table   string
	Replica *Replica
	// WatchTiming returns the longest time that a watch waits for a change, and the
	// least time between two watches.
	WatchTiming func() (wait, pause time.Duration)
	Log         logr.Logger
	// Enabled reports whether the table service must be asked: it need not while
	// another host relays the table. Optional.
	Enabled func() bool
	// OnFailure is called after each failed call with the longest time for which the
	// table service may have been unavailable. Optional.
	OnFailure func(outage time.Duration)

	gone     bool          // the history after the replica's revision is gone
	answered time.Duration // end of the last answer, on the boot clock; 0: none
}

const (
	// retryPause separates calls while the table service fails.
	retryPause = 200 * time.Millisecond
	// neededPause separates the checks whether the table service must be asked.
	neededPause = 100 * time.Millisecond
	// readTimeout bounds a read of a whole table, which takes many calls.
	readTimeout = 10 * time.Second
	// watchSlack is the time that a watch may answer late.
	watchSlack = 900 * time.Millisecond
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	connected := true
	for ctx.Err() == nil {
		if f.Enabled != nil && !f.Enabled() {
			clock.Sleep(ctx, neededPause)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			f.answered = clock.SinceBoot()
			if !connected {
				f.Log.Info("Table followed again.", "table", f.Table, "revision", f.Replica.Revision())
			}
			connected = true
			_, pause := f.WatchTiming()
			clock.Sleep(ctx, pause)
			continue
		}
		if connected && ctx.Err() == nil {
			f.Log.Info("Table lost.", "table", f.Table, "revision", f.Replica.Revision(), "error", err.Error())
			connected = false
		}
		if f.OnFailure != nil && ctx.Err() == nil {
			f.OnFailure(f.outage())
		}
		clock.Sleep(ctx, retryPause)
	}
}

// outage returns the time since the table service is known to have answered, this
// host or the one that relays the table.
func (f *Follower) outage() time.Duration {
	age := f.Replica.Age()
	if f.answered == 0 {
		return age
	}
	return min(age, clock.SinceBoot()-f.answered)
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	asked := clock.SinceBoot()
	revision := f.Replica.Revision()
	if revision < 0 || f.gone {
		return f.read(ctx, asked)
	}
	wait, _ := f.WatchTiming()
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	page, err := f.Reader.Watch(ctx, f.Table, revision, wait)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		f.Log.Info("History is gone; reading the table again.", "table", f.Table, "revision", revision)
		f.gone = true
		return nil
	}
	if err != nil {
		return err
	}
	f.Replica.ApplyPage(page, false, asked)
	return nil
}

// read reads the whole table.
func (f *Follower) read(ctx context.Context, asked time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.Reader.Read(ctx, f.Table)
	if err != nil {
		return err
	}
	f.gone = false
	f.Replica.ApplyPage(page, true, asked)
	return nil
}
