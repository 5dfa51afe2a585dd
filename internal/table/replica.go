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
	// keptChanges is the number of changes that a replica remembers for those who
	// follow it.
	keptChanges = 8192
	// mostRows bounds the rows of an update, so that it passes a slow link in a
	// fraction of a second.
	mostRows = 256
)

// Update is what a replica tells another one.
type Update struct {
	Full     bool  `json:"full,omitempty"` // the rows are the whole table
	Rows     []Row `json:"rows,omitempty"`
	Revision int64 `json:"revision"`
	// Partial says that further rows follow, so that the content is not confirmed.
	Partial bool `json:"partial,omitempty"`
	// AgeMS is the time since the call to the table service began that
	// confirmed the content, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Replica is a host's copy of a table. It is fed from the table service or from
// another host's replica, and remembers when its content was last confirmed. It
// is safe for concurrent use.
type Replica struct {
	// Equivalent reports whether two values of a row differ only in what nobody
	// needs to hear of. Optional.
	Equivalent func(a, b []byte) bool
	// OnChange receives the rows that changed; with full set the whole table.
	OnChange func(rows []Row, full bool)

	mu        sync.Mutex
	loaded    bool
	rows      map[string]Row
	changes   []change // in the order of revisions
	floor     int64    // changes up to here are forgotten
	revision  int64
	confirmed time.Duration // on the clock that includes suspension; 0: never
}

// change says that a row was written or deleted.
type change struct {
	key      string
	revision int64
}

// never is the age of a replica that was never confirmed.
const never = time.Duration(1 << 62)

// Age returns the time since the content was confirmed.
func (r *Replica) Age() time.Duration {
	now := clock.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age(now)
}

func (r *Replica) age(now time.Duration) time.Duration {
	if r.confirmed == 0 {
		return never
	}
	return now - r.confirmed
}

// Revision returns the revision of the content, -1 if there is none.
func (r *Replica) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return -1
	}
	return r.revision
}

// Since returns what a replica at a revision (-1: an empty one) lacks, or the
// first part of it. The revision of the update is -1 if this replica can't tell:
// the other one has to ask the table service.
func (r *Replica) Since(after int64) Update {
	now := clock.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return Update{Revision: -1}
	}
	update := Update{Revision: r.revision, AgeMS: r.age(now).Milliseconds() + 1}
	if after < r.floor {
		if len(r.rows) > mostRows {
			return Update{Revision: -1}
		}
		update.Full = true
		update.Rows = slices.Collect(maps.Values(r.rows))
		return update
	}
	update.Rows = r.after(after)
	if len(update.Rows) > mostRows {
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

// firstRows returns the oldest changes. Those of one revision stay together.
func firstRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	end := mostRows
	for end < len(rows) && rows[end].Revision == rows[end-1].Revision {
		end++
	}
	return rows[:end]
}

// ApplyUpdate takes over what another replica told in answer to a question that was
// asked at a time. It reports whether the content is confirmed by it.
func (r *Replica) ApplyUpdate(update Update, asked time.Duration) bool {
	if update.Revision < 0 || update.Revision < r.Revision() {
		return false
	}
	confirmed := asked - time.Duration(update.AgeMS)*time.Millisecond
	if update.Partial {
		confirmed = 0
	}
	r.ApplyPage(Page{Rows: update.Rows, Revision: update.Revision}, update.Full, confirmed)
	return true
}

// ApplyPage takes over a page of the table service, whose call began at a time.
func (r *Replica) ApplyPage(page Page, full bool, asked time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Row
	if full || !r.loaded {
		changed = r.replace(page)
		full = true
	} else {
		changed = r.merge(page)
	}
	r.loaded = true
	r.revision = max(r.revision, page.Revision)
	r.confirmed = max(r.confirmed, asked)
	if r.OnChange != nil && (full || len(changed) > 0) {
		r.OnChange(changed, full)
	}
}

func (r *Replica) replace(page Page) []Row {
	r.rows = make(map[string]Row, len(page.Rows))
	r.changes = nil
	r.floor = page.Revision
	for _, row := range page.Rows {
		r.rows[row.Key] = row
		if row.Revision > page.Revision {
			r.remember(row) // it changed while the pages of the table were read
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
		r.remember(row)
	}
	return changed
}

// remember notes a change, in the order of revisions: the parts of an update of
// another replica are not sorted.
func (r *Replica) remember(row Row) {
	r.changes = append(r.changes, change{row.Key, row.Revision})
	for i := len(r.changes) - 1; i > 0 && r.changes[i].revision < r.changes[i-1].revision; i-- {
		r.changes[i], r.changes[i-1] = r.changes[i-1], r.changes[i]
	}
	if excess := len(r.changes) - keptChanges; excess > 0 {
		r.floor = r.changes[excess-1].revision
		r.changes = r.changes[excess:]
	}
}
