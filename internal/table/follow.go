package table

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// Follower keeps a copy of a table up to date through the feed.
type Follower struct {
	Reader Reader
	Table  string
	// Wait is the longest time that a watch waits for a change.
	Wait time.Duration
	// Pause is the least time between two watches.
	Pause time.Duration
	Log   logr.Logger
	// Apply receives rows. With full set they are the whole table, else the
	// changes. It is also called without rows, when a watch confirms that
	// nothing has changed. The asked time is when the confirming call began,
	// on the clock that includes suspension.
	Apply func(rows []Row, full bool, asked time.Duration)
	// Lost is called with each failed call. Optional.
	Lost func(err error)
}

const (
	// retryPause separates calls while the table service fails.
	retryPause = 200 * time.Millisecond
	// readTimeout bounds a read of a whole table.
	readTimeout = 1500 * time.Millisecond
	// watchSlack is the time that a watch may answer late.
	watchSlack = 900 * time.Millisecond
)

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	revision := int64(-1)
	connected := true
	for ctx.Err() == nil {
		next, err := f.step(ctx, revision)
		revision = next
		if err == nil {
			if !connected {
				f.Log.Info("Table followed again.", "table", f.Table, "revision", revision)
			}
			connected = true
			sleep(ctx, f.Pause)
			continue
		}
		if connected && ctx.Err() == nil {
			f.Log.Info("Table lost.", "table", f.Table, "revision", revision, "error", err.Error())
			connected = false
		}
		if f.Lost != nil && ctx.Err() == nil {
			f.Lost(err)
		}
		sleep(ctx, retryPause)
	}
}

// step makes one call and returns the revision to go on from.
func (f *Follower) step(ctx context.Context, revision int64) (int64, error) {
	asked := clock.SinceBoot()
	if revision < 0 {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := f.Reader.Read(ctx, f.Table)
		if err != nil {
			return -1, err
		}
		f.Apply(page.Rows, true, asked)
		return page.Revision, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait+watchSlack)
	defer cancel()
	page, err := f.Reader.Watch(ctx, f.Table, revision, f.Wait)
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		f.Log.Info("History is gone; reading the table again.", "table", f.Table, "revision", revision)
		return -1, nil
	}
	if err != nil {
		return revision, err
	}
	f.Apply(page.Rows, false, asked)
	return page.Revision, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
