package table

import (
	"fmt"
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
	for _, row := range r.Since(-1).Rows {
		held[row.Key] = string(row.Value)
	}
	return held
}

func TestReplicaFollowsReplica(t *testing.T) {
	var source, copied Replica
	now := clock.SinceBoot()
	source.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1), newRow("b", "1", 2)}, Revision: 2}, true, now)
	if !copied.ApplyUpdate(source.Since(copied.Revision()), now) {
		t.Fatal("first update not accepted")
	}
	source.ApplyPage(Page{Rows: []Row{newRow("a", "2", 3), {Key: "b", Revision: 4, Deleted: true}}, Revision: 5}, false, now)
	update := source.Since(copied.Revision())
	if update.Full || len(update.Rows) != 2 {
		t.Errorf("update %+v, want the two changes", update)
	}
	copied.ApplyUpdate(update, now)
	if held := contents(&copied); len(held) != 1 || held["a"] != "2" {
		t.Errorf("content %v", held)
	}
	if copied.Revision() != 5 {
		t.Errorf("revision %d", copied.Revision())
	}
}

// An update from a replica with an older revision must neither revert the content nor
// confirm it.
func TestOlderReplicaConfirmsNothing(t *testing.T) {
	var newer, older Replica
	now := clock.SinceBoot()
	newer.ApplyPage(Page{Rows: []Row{newRow("a", "2", 9)}, Revision: 9}, true, now-time.Minute)
	older.ApplyPage(Page{Rows: []Row{newRow("a", "1", 3)}, Revision: 3}, true, now)
	if newer.ApplyUpdate(older.Since(newer.Revision()), now) {
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
	source.ApplyPage(Page{Revision: 1}, true, now-2*time.Second)
	copied.ApplyUpdate(source.Since(-1), now-time.Second)
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
	source.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1)}, Revision: 1}, true, now)
	for i := range int64(maxChanges + 5) {
		source.ApplyPage(Page{Rows: []Row{{Key: "x", Revision: 2 + i, Deleted: true}}, Revision: 2 + i}, false, now)
	}
	if update := source.Since(2); !update.Full {
		t.Error("deletions were dropped, but the update is not the whole table")
	}
}

func TestEquivalentChangesAreNotRelayed(t *testing.T) {
	source := Replica{Equivalent: func(a, b []byte) bool { return a[0] == b[0] }}
	now := clock.SinceBoot()
	source.ApplyPage(Page{Rows: []Row{newRow("a", "x1", 1)}, Revision: 1}, true, now)
	source.ApplyPage(Page{Rows: []Row{newRow("a", "x2", 2)}, Revision: 2}, false, now)
	if update := source.Since(1); len(update.Rows) != 0 || update.Revision != 2 {
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
	source.ApplyPage(Page{Rows: rowsBetween(1, 10), Revision: 10}, true, now)
	copied.ApplyPage(Page{Rows: rowsBetween(1, 10), Revision: 10}, true, now-time.Hour)
	source.ApplyPage(Page{Rows: rowsBetween(11, 700), Revision: 700}, false, now)
	source.ApplyPage(Page{Rows: []Row{{Key: "k3", Revision: 701, Deleted: true}}, Revision: 701}, false, now)
	parts := 0
	for copied.Revision() < source.Revision() {
		update := source.Since(copied.Revision())
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
	if rows := copied.Since(-1); rows.Revision != -1 {
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
	copied.ApplyPage(Page{Rows: rowsBetween(1, 10), Revision: 12}, true, now)
	changed := Row{Key: "k7", Value: []byte("draining"), Revision: 15}
	rows := append(rowsBetween(1, 6), changed)
	source.ApplyPage(Page{Rows: append(rows, rowsBetween(8, 10)...), Revision: 12}, true, now) // the first page is of revision 12
	source.ApplyPage(Page{Rows: []Row{changed}, Revision: 20}, false, now)
	copied.ApplyUpdate(source.Since(copied.Revision()), now)
	if got := string(copied.rows["k7"].Value); got != "draining" || copied.Revision() != 20 {
		t.Errorf("k7 is %q at revision %d", got, copied.Revision())
	}
}

// Guards against a whole table that was read before an update arrived by another way: it
// brought removed rows back and older values, while the revision stayed the newer one.
func TestTableReadBeforeAnUpdateDoesNotUndoIt(t *testing.T) {
	var r Replica
	now := clock.SinceBoot()
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1), newRow("b", "1", 2), newRow("c", "1", 3)}, Revision: 3}, true, now)
	r.ApplyUpdate(Update{Rows: []Row{newRow("a", "2", 5), {Key: "b", Revision: 6, Deleted: true}}, Revision: 6}, now)
	r.ApplyPage(Page{Rows: []Row{newRow("a", "1", 1), newRow("b", "1", 2), newRow("c", "2", 4)}, Revision: 4}, true, now)
	if held := contents(&r); len(held) != 2 || held["a"] != "2" || held["c"] != "2" {
		t.Errorf("content %v, want a=2 and c=2", held)
	}
	if r.Revision() != 6 {
		t.Errorf("revision %d, want 6", r.Revision())
	}
}
