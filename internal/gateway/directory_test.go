package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// newTestDirectory knows the upstreams s1 and s2.
func newTestDirectory() *Registry {
	decode := func(row table.Row) (*catalog.Upstream, error) {
		return &catalog.Upstream{ID: row.Key, Service: "ledger", Address: row.Key + ":1"}, nil
	}
	d := NewRegistry(decode, func(string) {}, logr.Discard())
	var rows []table.Row
	for i := range int64(2) {
		rows = append(rows, table.Row{Key: fmt.Sprintf("s%d", i+1), Value: []byte("{}"), Revision: i + 1})
	}
	d.Replica.ApplyPage(table.Page{Rows: rows, Revision: 2}, true, clock.SinceBoot())
	return d
}

// remove deletes the entry of s1.
func remove(d *Registry) {
	page := table.Page{Rows: []table.Row{{Key: "s1", Revision: 3, Deleted: true}}, Revision: 3}
	d.Replica.ApplyPage(page, false, clock.SinceBoot())
}

// A host whose connection to the table service had gone silent for 1.7 s took an
// upstream that had left for one whose entry had lapsed, and sent it requests for two
// more seconds (DRAIN, tuulgan-billing mix, seed 1080030848623).
func TestBrokenConnectionDoesNotExcuseMissingEntries(t *testing.T) {
	d := newTestDirectory()
	d.TableUnavailable(1700 * time.Millisecond)
	remove(d)
	if candidates := d.Candidates("ledger", "", ""); len(candidates) != 1 || candidates[0].Upstream.ID != "s2" {
		t.Errorf("candidates %+v, want s2 alone", candidates)
	}
}

// Entries lapse in an outage of the table service and come back after it.
func TestMissingEntriesAreAwaitedAfterAnOutage(t *testing.T) {
	d := newTestDirectory()
	d.TableUnavailable(entryLapse)
	remove(d)
	if candidates := d.Candidates("ledger", "", ""); len(candidates) != 2 {
		t.Errorf("candidates %+v, want s1 for a while", candidates)
	}
	d.mu.Lock()
	dropped := d.expire(time.Now().Add(returnGrace))
	d.mu.Unlock()
	if !dropped || len(d.Candidates("ledger", "", "")) != 1 {
		t.Error("s1 did not come back and is still used")
	}
}
