package table

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

func newRow(key, value string, revision int64) Row {
	return Row{Key: key, Value: []byte(value), Revision: revision}
}

// contents returns the values of a replica by key.
func contents(r *Replica) map[string]string {
	held := map[string]string{}
	for _, row := range r.Since(Position{Revision: -1}).Rows {
		held[row.Key] = string(row.Value)
	}
	return held
}

func TestReplicaFollowsReplica(t *testing.T) {
	var source, copied Replica
	now := clock.SinceBoot()
	source.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1), newRow("b", "1", 2)}, Position: Position{Revision: 2}}, true, now)
	if !copied.ApplyUpdate(source.Since(copied.Position()), now) {
		t.Fatal("first update not accepted")
	}
	source.ApplyPage(Page{Rows: []Row{newRow("a", "2", 3), {Key: "b", Revision: 4, Deleted: true}}, Position: Position{Revision: 5}}, false, now)
	update := source.Since(copied.Position())
	if update.Full || len(update.Rows) != 2 {
		t.Errorf("update %+v, want the two changes", update)
	}
	copied.ApplyUpdate(update, now)
	if held := contents(&copied); len(held) != 1 || held["a"] != "2" {
		t.Errorf("content %v", held)
	}
	if copied.Position().Revision != 5 {
		t.Errorf("revision %d", copied.Position().Revision)
	}
}

// An update from a replica with an older revision must neither revert the content nor
// confirm it.
func TestOlderReplicaConfirmsNothing(t *testing.T) {
	var newer, older Replica
	now := clock.SinceBoot()
	newer.ApplyPage(Page{Rows: []Row{newRow("a", "2", 9)}, Position: Position{Revision: 9}}, true, now-time.Minute)
	older.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3)}, Position: Position{Revision: 3}}, true, now)
	if newer.ApplyUpdate(older.Since(newer.Position()), now) {
		t.Error("content confirmed by an older replica")
	}
	if held := contents(&newer); held["a"] != "2" {
		t.Errorf("content %v", held)
	}
	if newer.Age() < time.Minute {
		t.Errorf("age %v", newer.Age())
	}
}

// The age of a relayed confirmation counts from the call to the table service.
func TestRelayedAgeAddsUp(t *testing.T) {
	var source, copied Replica
	now := clock.SinceBoot()
	source.ApplyPage(Page{Position: Position{Revision: 1}}, true, now-2*time.Second)
	copied.ApplyUpdate(source.Since(Position{Revision: -1}), now-time.Second)
	if age := copied.Age(); age < 3*time.Second {
		t.Errorf("age %v, want at least 3 s", age)
	}
	if (&Replica{}).Age() < time.Hour {
		t.Error("empty replica counts as confirmed")
	}
}

func TestDroppedDeletionsGiveTheWholeTable(t *testing.T) {
	var source Replica
	now := clock.SinceBoot()
	source.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1)}, Position: Position{Revision: 1}}, true, now)
	for i := range int64(maxChanges + 5) {
		source.ApplyPage(Page{Rows: []Row{{Key: "x", Revision: 2 + i, Deleted: true}}, Position: Position{Revision: 2 + i}}, false, now)
	}
	if update := source.Since(Position{Revision: 2}); !update.Full {
		t.Error("deletions were dropped, but the update is not the whole table")
	}
}

func TestEquivalentChangesAreNotRelayed(t *testing.T) {
	source := Replica{Equivalent: func(a, b []byte) bool { return a[0] == b[0] }}
	now := clock.SinceBoot()
	source.ApplyPage(Page{Rows: []Row{newRow("a", "x1", 1)}, Position: Position{Revision: 1}}, true, now)
	source.ApplyPage(Page{Rows: []Row{newRow("a", "x2", 2)}, Position: Position{Revision: 2}}, false, now)
	if update := source.Since(Position{Revision: 1}); len(update.Rows) != 0 || update.Revision != 2 {
		t.Errorf("update %+v, want no rows at revision 2", update)
	}
}

// rowsBetween returns one row for each revision from first to last.
func rowsBetween(first, last int64) []Row {
	var rows []Row
	for revision := first; revision <= last; revision++ {
		rows = append(rows, Row{Key: fmt.Sprintf("k%d", revision), Value: []byte("v"), Revision: revision})
	}
	return rows
}

// Guards against updates that do not pass a slow link within the time of an exchange, so
// that the host receives neither the update nor the exchange.
func TestLargeUpdatesComeInParts(t *testing.T) {
	now := clock.SinceBoot()
	var source, copied Replica
	source.ApplyPage(Page{Rows: rowsBetween(1, 10), Position: Position{Revision: 10}}, true, now)
	copied.ApplyPage(Page{Rows: rowsBetween(1, 10), Position: Position{Revision: 10}}, true, now-time.Hour)
	source.ApplyPage(Page{Rows: rowsBetween(11, 700), Position: Position{Revision: 700}}, false, now)
	source.ApplyPage(Page{Rows: []Row{{Key: "k3", Revision: 701, Deleted: true}}, Position: Position{Revision: 701}}, false, now)
	parts := 0
	for copied.Position().Before(source.Position()) {
		update := source.Since(copied.Position())
		if len(update.Rows) > maxUpdateRows || update.Partial != (update.Revision < 701) {
			t.Fatalf("part %d: %d rows up to %d, partial %v", parts, len(update.Rows), update.Revision, update.Partial)
		}
		if copied.ApplyUpdate(update, now); update.Partial && copied.Age() < time.Hour {
			t.Fatal("partial update confirmed the content")
		}
		parts++
	}
	if parts != 3 || copied.Age() > time.Minute {
		t.Errorf("%d parts, age %v", parts, copied.Age())
	}
	if rows := copied.Since(Position{Revision: -1}); rows.Revision != -1 {
		t.Errorf("whole table of 699 rows relayed in one update: %d rows", len(rows.Rows))
	}
	if got, want := len(copied.rows), 699; got != want {
		t.Errorf("%d rows, want %d", got, want)
	}
}

// Guards against followers that miss a row which changed while the replica read the pages
// of a large table: the feed repeats the change, but the replica has it already.
func TestChangeDuringReadIsRelayed(t *testing.T) {
	now := clock.SinceBoot()
	source := Replica{Equivalent: func(a, b []byte) bool { return string(a) == string(b) }}
	var copied Replica
	copied.ApplyPage(Page{Rows: rowsBetween(1, 10), Position: Position{Revision: 12}}, true, now)
	changed := Row{Key: "k7", Value: []byte("draining"), Revision: 15}
	rows := append(rowsBetween(1, 6), changed)
	source.ApplyPage(Page{Rows: append(rows, rowsBetween(8, 10)...), Position: Position{Revision: 12}}, true, now) // the first page is of revision 12
	source.ApplyPage(Page{Rows: []Row{changed}, Position: Position{Revision: 20}}, false, now)
	copied.ApplyUpdate(source.Since(copied.Position()), now)
	if got := string(copied.rows["k7"].Value); got != "draining" || copied.Position().Revision != 20 {
		t.Errorf("k7 is %q at revision %d", got, copied.Position().Revision)
	}
}

// Guards against a whole table that was read before an update arrived by another way: it
// brought removed rows back and older values, while the revision stayed the newer one.
func TestTableReadBeforeAnUpdateDoesNotUndoIt(t *testing.T) {
	var r Replica
	now := clock.SinceBoot()
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1), newRow("b", "1", 2), newRow("c", "1", 3)}, Position: Position{Revision: 3}}, true, now)
	r.ApplyUpdate(Update{Rows: []Row{newRow("a", "2", 5), {Key: "b", Revision: 6, Deleted: true}}, Position: Position{Revision: 6}}, now)
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1), newRow("b", "1", 2), newRow("c", "2", 4)}, Position: Position{Revision: 4}}, true, now)
	if held := contents(&r); len(held) != 2 || held["a"] != "2" || held["c"] != "2" {
		t.Errorf("content %v, want a=2 and c=2", held)
	}
	if r.Position().Revision != 6 {
		t.Errorf("revision %d, want 6", r.Position().Revision)
	}
}

// Guards against relays in which a revision from before the table service came back from an older
// copy is compared with one from after it. The replica has a, b at revision 9 of generation 2.
func TestRelaysAcrossGenerations(t *testing.T) {
	now := clock.SinceBoot()
	at := func(generation, revision int64) Position { return Position{Generation: generation, Revision: revision} }
	other := []Row{newRow("c", "2", 4)}
	for name, form := range map[string]struct {
		update  Update
		applied bool
	}{
		"late answer of the generation before":    {Update{Position: at(1, 50), Rows: other, Full: true}, false},
		"changes of the generation before":        {Update{Position: at(1, 50), Rows: other}, false},
		"whole table of the next generation":      {Update{Position: at(3, 4), Rows: other, Full: true}, true},
		"changes of the next generation":          {Update{Position: at(3, 50), Rows: other}, false},
		"whole table of a host without the store": {Update{Position: at(3, -1), Full: true}, false},
		"a host of the version before":            {Update{Position: at(0, 50), Rows: other, Full: true}, false},
	} {
		var r Replica
		r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3), newRow("b", "1", 9)}, Position: at(2, 9)}, true, now-time.Minute)
		if r.ApplyUpdate(form.update, now) != form.applied {
			t.Errorf("%s: applied %v", name, !form.applied)
		}
		want := map[string]string{"a": "1", "b": "1"}
		if form.applied {
			want = map[string]string{"c": "2"}
		}
		if held := contents(&r); !maps.Equal(held, want) {
			t.Errorf("%s: content %v, want %v", name, held, want)
		}
		if confirmed := r.Age() < time.Second; confirmed != form.applied {
			t.Errorf("%s: confirmed %v", name, confirmed)
		}
	}
}

// Guards against a host that gets changes since a revision which the coordinator's generation
// has assigned anew, or since one of a generation that the coordinator does not know yet.
func TestChangesSinceAnotherGeneration(t *testing.T) {
	now := clock.SinceBoot()
	var r Replica
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3)}, Position: Position{1, 9}}, true, now)
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3)}, Position: Position{2, 5}}, true, now)
	r.ApplyPage(Page{Rows: []Row{newRow("b", "2", 8)}, Position: Position{2, 8}}, false, now)
	for _, form := range []struct {
		after    Position
		full     bool
		revision int64
	}{
		{Position{2, 5}, false, 8}, {Position{1, 5}, true, 8}, {Position{1, 9}, true, 8}, {Position{3, 1}, false, -1}, {Position{0, -1}, true, 8},
		{Position{0, 6}, false, -1}, // of a host of the version before: it may be of either generation
	} {
		if got := r.Since(form.after); got.Full != form.full || got.Revision != form.revision {
			t.Errorf("since %+v: full %v at revision %d", form.after, got.Full, got.Revision)
		}
	}
}

// Guards against an entry of the copy whose writer lives, but is not noticed, because its next
// write differs only in details that are not passed on.
func TestRowsOfTheCopyArePassedOnOnceWritten(t *testing.T) {
	now := clock.SinceBoot()
	passedOn := 0
	r := Replica{Equivalent: func(_, _ []byte) bool { return true }, OnChange: func(c Change) { passedOn += len(c.Rows) }}
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3)}, Position: Position{1, 9}}, true, now)
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3)}, Position: Position{2, 5}}, true, now)
	passedOn = 0
	for revision := range int64(3) {
		r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 6+revision)}, Position: Position{2, 6 + revision}}, false, now)
	}
	if passedOn != 1 {
		t.Errorf("passed on %d times, want once", passedOn)
	}
}
