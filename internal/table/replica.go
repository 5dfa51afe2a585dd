package table

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// maxChanges is the number of changes that a replica keeps for its followers.
	maxChanges = 8192
	// maxUpdateRows limits the rows of an update, so that it passes a slow link in a
	// fraction of a second.
	maxUpdateRows = 256
)

// Update is a set of changes sent from one replica to another.
type Update struct {
	Full     bool  `json:"full,omitempty"` // Rows is the whole table
	Rows     []Row `json:"rows,omitempty"`
	Revision int64 `json:"revision"`
	// Partial reports that further rows follow, so that the content is not confirmed.
	Partial bool `json:"partial,omitempty"`
	// AgeMS is the time, in milliseconds, since the start of the call to the table service
	// that confirmed the content.
	AgeMS int64 `json:"age_ms"`
}

// Replica is a host's copy of a table. It is updated from the table service or from another
// host's replica, and records when its content was last confirmed. It is safe for
// concurrent use.
type Replica struct {
	// Equivalent reports whether two values of a row differ only in details that need not
	// be passed on. Optional.
	Equivalent func(a, b []byte) bool
	// OnChange receives the changed rows, or the whole table if full is set. It is called
	// with the replica's lock held. Optional.
	OnChange func(rows []Row, full bool)

	mu          sync.Mutex
	loaded      bool
	rows        map[string]Row
	changes     []change // by revision
	droppedUpTo int64    // changes up to this revision have been dropped
	revision    int64
	confirmed   time.Duration // on the boot clock (clock.SinceBoot); 0: never
	previous    time.Duration // confirmed before the change that OnChange receives
}

// change records that a row was written or deleted.
type change struct {
	key      string
	revision int64
}

// NeverConfirmed is the age of a replica whose content was never confirmed.
const NeverConfirmed = time.Duration(1 << 62)

// Age returns the time since the content was last confirmed.
func (r *Replica) Age() time.Duration {
	now := clock.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age(now)
}

// ConfirmedAt returns when the content was last confirmed, on the boot clock; 0: never.
func (r *Replica) ConfirmedAt() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// PreviouslyConfirmedAt returns when the content before a change was last confirmed, on the
// boot clock; 0: never. The change was written later. Only OnChange may call it.
func (r *Replica) PreviouslyConfirmedAt() time.Duration { return r.previous }

func (r *Replica) age(now time.Duration) time.Duration {
	if r.confirmed == 0 {
		return NeverConfirmed
	}
	return now - r.confirmed
}

// Revision returns the revision of the content, or -1 if there is none.
func (r *Replica) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return -1
	}
	return r.revision
}

// Since returns the changes after a revision (-1: no content), or the first part of them.
// If this replica lacks them, the update has revision -1 and the follower has to ask the
// table service.
func (r *Replica) Since(after int64) Update {
	now := clock.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return Update{Revision: -1}
	}
	update := Update{Revision: r.revision, AgeMS: r.age(now).Milliseconds() + 1}
	if after < r.droppedUpTo {
		if len(r.rows) > maxUpdateRows {
			return Update{Revision: -1}
		}
		update.Full = true
		update.Rows = slices.Collect(maps.Values(r.rows))
		return update
	}
	update.Rows = r.after(after)
	if len(update.Rows) > maxUpdateRows {
		update.Rows = firstRows(update.Rows)
		update.Partial = true
		update.Revision = update.Rows[len(update.Rows)-1].Revision
	}
	return update
}

// after returns the rows and deletions that are newer than a revision.
func (r *Replica) after(revision int64) []Row {
	first := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].revision > revision })
	newest := make(map[string]int64, len(r.changes)-first)
	for _, c := range r.changes[first:] {
		newest[c.key] = c.revision
	}
	rows := make([]Row, 0, len(newest))
	for key, at := range newest {
		row, ok := r.rows[key]
		if !ok {
			row = Row{Key: key, Revision: at, Deleted: true}
		}
		rows = append(rows, row)
	}
	return rows
}

// firstRows returns the oldest changes, keeping changes of one revision together.
func firstRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	end := maxUpdateRows
	for end < len(rows) && rows[end].Revision == rows[end-1].Revision {
		end++
	}
	return rows[:end]
}

// ApplyUpdate applies an update that another replica sent in reply to a request made at
// requestedAt, on the boot clock. It reports whether the update was applied; one that is
// older than the content is not.
func (r *Replica) ApplyUpdate(update Update, requestedAt time.Duration) bool {
	if update.Revision < 0 || update.Revision < r.Revision() {
		return false
	}
	confirmed := requestedAt - time.Duration(update.AgeMS)*time.Millisecond
	if update.Partial {
		confirmed = 0
	}
	r.ApplyPage(Page{Rows: update.Rows, Revision: update.Revision}, update.Full, confirmed)
	return true
}

// ApplyPage applies a page of the table service, whose call began at requestedAt, on the
// boot clock. With full set the page is the whole table. A whole table that was read before
// later changes arrived by another way does not undo these changes.
func (r *Replica) ApplyPage(page Page, full bool, requestedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Row
	if full || !r.loaded {
		if r.loaded && page.Revision < r.revision {
			if page.Revision < r.droppedUpTo {
				return // what changed since then is no longer known
			}
			page.Rows = overlay(page.Rows, r.after(page.Revision))
			page.Revision = r.revision
		}
		changed = r.replace(page)
		full = true
	} else {
		changed = r.merge(page)
	}
	r.loaded = true
	r.revision = max(r.revision, page.Revision)
	r.previous = r.confirmed
	r.confirmed = max(r.confirmed, requestedAt)
	if r.OnChange != nil && (full || len(changed) > 0) {
		r.OnChange(changed, full)
	}
}

// overlay returns the rows of a table that was read before the given changes, with these
// changes applied.
func overlay(rows, changes []Row) []Row {
	current := make(map[string]Row, len(rows)+len(changes))
	for _, row := range rows {
		current[row.Key] = row
	}
	for _, row := range changes {
		if row.Deleted {
			delete(current, row.Key)
		} else {
			current[row.Key] = row
		}
	}
	return slices.Collect(maps.Values(current))
}

func (r *Replica) replace(page Page) []Row {
	r.rows = make(map[string]Row, len(page.Rows))
	r.changes = nil
	r.droppedUpTo = page.Revision
	for _, row := range page.Rows {
		r.rows[row.Key] = row
		if row.Revision > page.Revision {
			r.recordChange(row) // it changed while the pages of the table were read
		}
	}
	return page.Rows
}

func (r *Replica) merge(page Page) []Row {
	changed := make([]Row, 0, len(page.Rows))
	for _, row := range page.Rows {
		known, ok := r.rows[row.Key]
		switch {
		case ok && row.Revision < known.Revision:
			continue
		case row.Deleted:
			delete(r.rows, row.Key)
		case ok && r.Equivalent != nil && r.Equivalent(known.Value, row.Value):
			continue
		default:
			r.rows[row.Key] = row
		}
		changed = append(changed, row)
		r.recordChange(row)
	}
	return changed
}

// recordChange inserts a change by revision: the rows of an update from another replica are
// not sorted.
func (r *Replica) recordChange(row Row) {
	r.changes = append(r.changes, change{row.Key, row.Revision})
	for i := len(r.changes) - 1; i > 0 && r.changes[i].revision < r.changes[i-1].revision; i-- {
		r.changes[i], r.changes[i-1] = r.changes[i-1], r.changes[i]
	}
	if excess := len(r.changes) - maxChanges; excess > 0 {
		r.droppedUpTo = r.changes[excess-1].revision
		r.changes = r.changes[excess:]
	}
}
