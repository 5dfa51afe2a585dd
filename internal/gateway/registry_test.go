package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// newTestRegistry returns a registry with the upstreams s1 and s2.
func newTestRegistry() *Registry {
	decode := func(row table.Row) (*catalog.Upstream, error) {
		return &catalog.Upstream{ID: row.Key, Service: "ledger", Address: row.Key + ":1"}, nil
	}
	r := NewRegistry(decode, func(string) {}, logr.Discard())
	var rows []table.Row
	for i := range int64(2) {
		rows = append(rows, table.Row{Key: fmt.Sprintf("s%d", i+1), Value: []byte("{}"), Revision: i + 1})
	}
	r.Replica.ApplyPage(table.Page{Rows: rows, Position: table.Position{Revision: 2}}, true, clock.SinceBoot())
	return r
}

// remove deletes the entry of s1.
func remove(r *Registry) {
	page := table.Page{Rows: []table.Row{{Key: "s1", Revision: 3, Deleted: true}}, Position: table.Position{Revision: 3}}
	r.Replica.ApplyPage(page, false, clock.SinceBoot())
}

// Guards against sending requests to an upstream that has left: a host whose
// connection to the table service had been silent for 1.7 s took the missing entry
// for an expired one and used the upstream for 2 s more (check DRAIN, tuulgan-billing
// mix, seed 1080030848623).
func TestShortOutageDoesNotKeepMissingEntries(t *testing.T) {
	r := newTestRegistry()
	r.TableUnavailable(1700 * time.Millisecond)
	remove(r)
	if candidates := r.Candidates("ledger", "", ""); len(candidates) != 1 || candidates[0].Upstream.ID != "s2" {
		t.Errorf("candidates %+v, want only s2", candidates)
	}
}

// Entries expire in an outage of the table service and are written again after it.
func TestMissingEntriesAreKeptAfterOutage(t *testing.T) {
	r := newTestRegistry()
	r.TableUnavailable(minExpiryOutage)
	remove(r)
	if candidates := r.Candidates("ledger", "", ""); len(candidates) != 2 {
		t.Errorf("candidates %+v, want s1 and s2 during the grace period", candidates)
	}
	r.mu.Lock()
	dropped := r.removeExpiredLocked(time.Now().Add(missingEntryGrace))
	r.mu.Unlock()
	if !dropped || len(r.Candidates("ledger", "", "")) != 1 {
		t.Error("s1 is still used after the grace period")
	}
}

// Guards against a request that asks for an adapter again and again (GONE): the
// coordinator leaves engines that are as their entries say out of its view, and a host
// did not note an adapter that was just loaded on such an engine.
func TestLoadedAdapterOfEngineOutsideTheViewIsNoted(t *testing.T) {
	entry := &catalog.Upstream{ID: "e1", Service: "llm", StartedMS: 1, Holdings: catalog.Holdings{Models: map[string][]string{"m1": {"a1"}}}}
	decode := func(table.Row) (*catalog.Upstream, error) { return entry, nil }
	r := NewRegistry(decode, func(string) {}, logr.Discard())
	r.Apply(table.Change{Rows: []table.Row{{Key: "e1"}}, Full: true})
	r.RecordAdapter("e1", "m1", "a2")
	for _, adapter := range []string{"a1", "a2"} {
		if got := r.Candidates("llm", "m1", adapter); len(got) != 1 || !got[0].HasAdapter {
			t.Errorf("adapter %s is not noted: %+v", adapter, got)
		}
	}
	if len(entry.Holdings.Models["m1"]) != 1 {
		t.Error("the entry was changed")
	}
}

// Guards against one entry whose decoding panics and that ends the process, again at each
// start, or keeps the other entries from being read.
func TestEntryThatPanicsLeavesTheOthers(t *testing.T) {
	decode := func(row table.Row) (*catalog.Upstream, error) {
		if row.Key == "odd" {
			panic("decoder")
		}
		return &catalog.Upstream{ID: row.Key, Service: "ledger", Address: row.Key + ":1"}, nil
	}
	r := NewRegistry(decode, func(string) {}, logr.Discard())
	rows := []table.Row{{Key: "s1", Revision: 1}, {Key: "odd", Revision: 2}, {Key: "s2", Revision: 3}}
	r.Replica.ApplyPage(table.Page{Rows: rows, Position: table.Position{Revision: 3}}, true, clock.SinceBoot())
	r.Replica.ApplyPage(table.Page{Rows: []table.Row{{Key: "odd", Revision: 4, Value: []byte("x")}, {Key: "s3", Revision: 5}}, Position: table.Position{Revision: 5}}, false, clock.SinceBoot())
	if candidates := r.Candidates("ledger", "", ""); len(candidates) != 3 {
		t.Errorf("%d candidates, want s1, s2 and s3", len(candidates))
	}
}

// Guards against an entry of another writer, without a start or with an earlier one, that
// brings an upstream back which has said that it leaves (review/2).
func TestEntryOutOfOrderChangesNothing(t *testing.T) {
	entries := map[string]*catalog.Upstream{
		"first":    {ID: "s1", Service: "ledger", Address: "s1:1", StartedMS: 1000},
		"unborn":   {ID: "s1", Service: "ledger", Address: "s1:1"},
		"earlier":  {ID: "s1", Service: "ledger", Address: "s1:2", StartedMS: 999},
		"service":  {ID: "s1", Service: "other", Address: "s1:1", StartedMS: 1000},
		"restart":  {ID: "s1", Service: "ledger", Address: "s1:1", StartedMS: 2000},
		"unborn s": {ID: "s1", Service: "other", Address: "s1:3"},
	}
	decode := func(row table.Row) (*catalog.Upstream, error) {
		entry := *entries[string(row.Value)]
		return &entry, nil
	}
	r := NewRegistry(decode, func(string) {}, logr.Discard())
	apply := func(name string) { r.Apply(table.Change{Rows: []table.Row{{Key: "s1", Value: []byte(name)}}}) }
	apply("first")
	r.RecordStatement(r.entries["s1"], call.Statement{Leaving: true})
	for _, name := range []string{"unborn", "earlier", "service", "unborn s", "first"} {
		apply(name)
		if candidates := append(r.Candidates("ledger", "", ""), r.Candidates("other", "", "")...); len(candidates) != 0 {
			t.Errorf("after the entry %q the leaving upstream is used: %+v", name, candidates[0].Upstream)
		}
	}
	r.Apply(table.Change{Rows: []table.Row{{Key: "s1", Deleted: true}}})
	apply("unborn")
	if candidates := r.Candidates("ledger", "", ""); len(candidates) != 0 {
		t.Error("an entry without a start brings a removed upstream back")
	}
	apply("restart")
	if candidates := r.Candidates("ledger", "", ""); len(candidates) != 1 {
		t.Error("a restarted upstream is not used")
	}
}
