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

// Update is a set of changes sent from one replica to another. Replicas of earlier versions
// of the program state no generation.
type Update struct {
	Full bool  `json:"full,omitempty"` // Rows is the whole table
	Rows []Row `json:"rows,omitempty"`
	Position
	// RestoredUpTo is as in Change.
	RestoredUpTo int64 `json:"restored_up_to,omitempty"`
	// Partial reports that further rows follow, so that the content is not confirmed.
	Partial bool `json:"partial,omitempty"`
	// AgeMS is the time, in milliseconds, since the start of the call to the table service
	// that confirmed the content.
	AgeMS int64 `json:"age_ms"`
}

// Change is what a replica passes on to its owner.
type Change struct {
	Rows       []Row // the changed rows, or the whole table if Full is set
	Full       bool
	Generation int64
	// PreviousGeneration is that of the content before, if it was an earlier one; 0: it was not.
	PreviousGeneration int64
	// RestoredUpTo is the highest revision of the rows that may stem from the copy from which
	// the service came back; 0: there are none. Rows with a higher one were written since.
	RestoredUpTo int64
}

// NewGeneration reports whether the content before was of an earlier generation. What is missing
// now may have been lost rather than removed, and what is there again may be outdated.
func (c Change) NewGeneration() bool { return c.PreviousGeneration != 0 }

// Replica is a host's copy of a table. It is updated from the table service or from another
// host's replica, and records when its content was last confirmed. It is a copy of the
// content of one generation; content of a later one replaces it as a whole. It is safe for
// concurrent use.
type Replica struct {
	// Equivalent reports whether two values of a row differ only in details that need not
	// be passed on. Optional.
	Equivalent func(a, b []byte) bool
	// OnChange receives each change. It is called with the replica's lock held. Optional.
	OnChange func(Change)

	mu           sync.Mutex
	loaded       bool
	rows         map[string]Row
	changes      []change // by revision
	droppedUpTo  int64    // changes up to this revision have been dropped
	position     Position
	restoredUpTo int64         // as in Change
	confirmed    time.Duration // on the boot clock (clock.SinceBoot); 0: never
	previous     time.Duration // confirmed before the change that OnChange receives
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

// Confirmation is when the content of a generation was last confirmed.
type Confirmation struct {
	At         time.Duration // on the boot clock; 0: never
	Generation int64
}

// Confirmation returns when the content was last confirmed.
func (r *Replica) Confirmation() Confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Confirmation{At: r.confirmed, Generation: r.position.Generation}
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

// Position returns the position of the content. Its revision is -1 if there is none.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return Position{Revision: -1}
	}
	return r.position
}

// Since returns the changes after a position (revision -1: no content), or the first part of
// them. If this replica lacks them, the update has revision -1 and the follower has to ask the
// table service.
func (r *Replica) Since(after Position) Update {
	now := clock.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || after.Generation > r.position.Generation || r.isAmbiguous(after) {
		return Update{Position: Position{Revision: -1}}
	}
	update := Update{Position: r.position, RestoredUpTo: r.restoredUpTo, AgeMS: r.age(now).Milliseconds() + 1}
	otherGeneration := after.Generation != 0 && after.Generation != r.position.Generation
	if otherGeneration || after.Revision < r.droppedUpTo {
		if len(r.rows) > maxUpdateRows {
			return Update{Position: Position{Revision: -1}}
		}
		update.Full = true
		update.Rows = slices.Collect(maps.Values(r.rows))
		return update
	}
	update.Rows = r.after(after.Revision)
	if len(update.Rows) > maxUpdateRows {
		update.Rows = firstRows(update.Rows)
		update.Partial = true
		update.Revision = update.Rows[len(update.Rows)-1].Revision
	}
	return update
}

// isAmbiguous reports whether a position without a generation, of an earlier version of the
// program, may be one before the service came back from a copy.
func (r *Replica) isAmbiguous(p Position) bool {
	return p.Generation == 0 && p.Revision >= 0 && r.restoredUpTo > 0
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
// older than the content, or states no generation where the content has one, is not.
func (r *Replica) ApplyUpdate(update Update, requestedAt time.Duration) bool {
	confirmed := requestedAt - time.Duration(update.AgeMS)*time.Millisecond
	if update.Partial {
		confirmed = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case update.Revision < 0 || r.loaded && update.Before(r.position):
		return false
	case r.loaded && update.Generation != r.position.Generation && !update.Full:
		return false // its changes are relative to content that this replica does not have
	}
	restoredUpTo := cmp.Or(r.restoredUpTo, update.RestoredUpTo)
	if r.isNewGeneration(update.Position) {
		restoredUpTo = cmp.Or(update.RestoredUpTo, update.Revision) // 0: the sender started in this generation
	}
	r.apply(Page{Rows: update.Rows, Position: update.Position}, update.Full, confirmed, restoredUpTo)
	return true
}

// ApplyPage applies a page of the table service, whose call began at requestedAt, on the
// boot clock. With full set the page is the whole table. A whole table that was read before
// later changes arrived by another way does not undo these changes. A page of an earlier
// generation, and changes of a later one, are not applied.
func (r *Replica) ApplyPage(page Page, full bool, requestedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && page.Generation != r.position.Generation && (!full || page.Generation < r.position.Generation) {
		return
	}
	restoredUpTo := r.restoredUpTo
	if r.isNewGeneration(page.Position) {
		restoredUpTo = page.Revision
	}
	r.apply(page, full, requestedAt, restoredUpTo)
}

// isNewGeneration reports whether a position is of a later generation than the content. A host
// of an earlier version of the program may have relayed the content without its generation.
func (r *Replica) isNewGeneration(p Position) bool {
	return r.loaded && r.position.Generation != 0 && p.Generation > r.position.Generation
}

// apply applies a page of the content's generation, or the whole table in a later one.
func (r *Replica) apply(page Page, full bool, confirmed time.Duration, restoredUpTo int64) {
	previousGeneration := int64(0)
	if r.isNewGeneration(page.Position) {
		previousGeneration = r.position.Generation
	}
	replaced := !r.loaded || page.Generation != r.position.Generation
	if full && !replaced && page.Revision < r.position.Revision {
		if page.Revision < r.droppedUpTo {
			return // what changed since then is no longer known
		}
		page.Rows = overlay(page.Rows, r.after(page.Revision))
		page.Revision = r.position.Revision
	}
	full = full || replaced
	var changed []Row
	if full {
		changed = r.replace(page)
	} else {
		changed = r.merge(page)
	}
	r.loaded, r.restoredUpTo, r.previous = true, restoredUpTo, r.confirmed
	if replaced {
		r.position, r.confirmed = page.Position, confirmed
	} else {
		r.position.Revision = max(r.position.Revision, page.Revision)
		r.confirmed = max(r.confirmed, confirmed)
	}
	if r.OnChange != nil && (full || len(changed) > 0) {
		r.OnChange(Change{
			Rows: changed, Full: full, Generation: page.Generation, PreviousGeneration: previousGeneration, RestoredUpTo: restoredUpTo,
		})
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
		case ok && known.Revision > r.restoredUpTo && r.Equivalent != nil && r.Equivalent(known.Value, row.Value):
			continue // a row of the copy is passed on once, as it shows that its writer is there
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
