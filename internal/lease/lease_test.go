package lease

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

var testTerms = Terms{
	Duration: 2 * time.Second, MaxOrderDelay: 600 * time.Millisecond, ReacquireDelay: 3 * time.Second, SafetyMargin: 250 * time.Millisecond,
}

func TestNextHolderWaitsForTheLastOne(t *testing.T) {
	former := []string{"c", "a"} // host a held it two holders ago
	const now = 100 * time.Second
	cases := []struct {
		name       string
		last       Observation
		claimable  bool
		ordersFrom time.Duration
	}{
		{"no holder yet", Observation{}, true, now},
		{
			"seen long ago", Observation{Revision: 7, Record: Record{Holder: "b"}, Since: now - 3*time.Second},
			true, now - 3*time.Second + 2850*time.Millisecond,
		},
		{
			"seen a moment ago", Observation{Revision: 7, Record: Record{Holder: "b"}, Since: now - time.Second},
			false, now - time.Second + 2850*time.Millisecond,
		},
		{
			"the holder said when it ends",
			Observation{Revision: 7, Record: Record{Holder: "b"}, Since: now, Expires: now - time.Second},
			true, now - time.Second + 850*time.Millisecond,
		},
		{
			"released", Observation{Revision: 7, Record: Record{Holder: "b", Released: true}, Since: now},
			true, now + 850*time.Millisecond,
		},
		{
			"back after another holder that ended",
			Observation{Revision: 7, Record: Record{Holder: "b", Former: former}, Since: now - 3*time.Second},
			true, now - 3*time.Second + 5250*time.Millisecond,
		},
		{
			"back after another holder that released",
			Observation{Revision: 7, Record: Record{Holder: "b", Former: former, Released: true}, Since: now},
			true, now + 3250*time.Millisecond,
		},
		{"an earlier process of this host", Observation{Revision: 7, Record: Record{Holder: "a", Active: true}, Since: now}, true, now},
		{
			"an earlier process that still waited itself", Observation{Revision: 7, Record: Record{Holder: "a"}, Since: now},
			true, now + 2850*time.Millisecond,
		},
	}
	for _, c := range cases {
		if got := testTerms.Claimable(c.last, "a", now); got != c.claimable {
			t.Errorf("%s: claimable %v", c.name, got)
		}
		if got := testTerms.OrdersFrom(c.last, "a", now); got != c.ordersFrom {
			t.Errorf("%s: orders from %v, want %v", c.name, got, c.ordersFrom)
		}
	}
}

func TestFormerHoldersAreKept(t *testing.T) {
	record := Record{}
	for _, host := range []string{"a", "b", "a", "c", "d"} {
		record = Record{Holder: host, Former: formerAfter(record, host)}
	}
	if want := []string{"c", "a"}; !slices.Equal(record.Former, want) {
		t.Errorf("former holders %v, want %v", record.Former, want)
	}
}

// memoryTable is a table with one row and faults.
type memoryTable struct {
	mu       sync.Mutex
	row      table.Row
	lose     bool // writes are done and not answered
	refuse   bool
	attempts int
}

func (m *memoryTable) Get(context.Context, string, string) (table.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuse {
		return table.Row{}, &table.UnavailableError{Call: "get", Status: 503}
	}
	return m.row, nil
}

func (m *memoryTable) Put(_ context.Context, _, key string, expected int64, value []byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts++
	if m.refuse {
		return 0, &table.UnavailableError{Call: "put", Status: 503}
	}
	if m.row.Revision != expected {
		return 0, &table.ConflictError{Key: key}
	}
	m.row = table.Row{Key: key, Value: value, Revision: expected + 1}
	if m.lose {
		return 0, &table.UnavailableError{Call: "put", Unknown: true}
	}
	return m.row.Revision, nil
}

func (m *memoryTable) set(change func(*memoryTable)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *memoryTable) record(t *testing.T) Record {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	record, err := Decode(m.row.Value)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func newKeeper(host string, store table.Committer, terms Terms) *Elector {
	return &Elector{
		Host: host, Address: host + ":1", Terms: terms, Store: store, Log: logr.Discard(),
		Hosts: func() []string { return nil }, CoordinatorReachable: func() bool { return false }, OnAcquired: func(Record) {},
	}
}

func TestOneOfTwoHostsHolds(t *testing.T) {
	store := &memoryTable{}
	a, b := newKeeper("a", store, testTerms), newKeeper("b", store, testTerms)
	ctx := context.Background()
	a.look(ctx)
	b.look(ctx)
	if !a.Held() || b.Held() {
		t.Fatalf("held by a: %v, by b: %v", a.Held(), b.Held())
	}
	if _, ok := a.MayOrder(100 * time.Millisecond); !ok {
		t.Error("the first holder may not order")
	}
	if got := b.Coordinator().Holder; got != "a" {
		t.Errorf("b takes %q for the holder", got)
	}
}

// A renewal whose answer was lost is found in the row, and the lease goes on.
func TestLostRenewalIsResolved(t *testing.T) {
	store := &memoryTable{}
	a := newKeeper("a", store, testTerms)
	ctx := context.Background()
	a.look(ctx)
	store.set(func(m *memoryTable) { m.lose = true })
	const passed = 20 * time.Millisecond
	before := a.Status().ValidFor
	time.Sleep(passed)
	a.renew(ctx)
	if after := a.Status().ValidFor; after <= before-passed {
		t.Errorf("valid for %v after the renewal, %v some %v before", after, before, passed)
	}
	store.set(func(m *memoryTable) { m.lose = false })
	a.renew(ctx)
	if !a.Held() {
		t.Error("the lease is gone")
	}
}

// A holder that cannot renew stops ordering by itself, and another one that has
// heard the end takes over, but waits before it orders.
func TestHolderWithoutStoreIsReplaced(t *testing.T) {
	terms := Terms{
		Duration: 60 * time.Millisecond, MaxOrderDelay: 90 * time.Millisecond, ReacquireDelay: 90 * time.Millisecond, SafetyMargin: 5 * time.Millisecond,
	}
	store := &memoryTable{}
	a, b := newKeeper("a", store, terms), newKeeper("b", store, terms)
	ctx := context.Background()
	a.look(ctx)
	revision, validFor := a.Validity()
	b.Observe(revision, validFor)
	ended := clock.SinceBoot() + validFor
	time.Sleep(80 * time.Millisecond)
	if _, ok := a.MayOrder(0); ok {
		t.Fatal("a holder whose renewal has ended may order")
	}
	b.look(ctx)
	if !b.Held() {
		t.Fatal("not taken over")
	}
	for {
		_, ok := b.MayOrder(0)
		if now := clock.SinceBoot(); ok && now < ended+terms.ReacquireDelay {
			t.Fatalf("orders %v after the last holder's end", now-ended)
		}
		if ok || !b.Held() {
			break
		}
		b.renew(ctx)
	}
	a.renew(ctx)
	if a.Held() {
		t.Error("the old holder holds again")
	}
	if got := store.record(t).Epoch; got != 2 {
		t.Errorf("epoch %d, want 2", got)
	}
}

func TestReleaseStopsOrdersAtOnce(t *testing.T) {
	store := &memoryTable{}
	a := newKeeper("a", store, testTerms)
	ctx := context.Background()
	a.look(ctx)
	a.Stop(ctx)
	if _, ok := a.MayOrder(0); ok {
		t.Error("a released holder may order")
	}
	b := newKeeper("b", store, testTerms)
	b.look(ctx)
	if !b.Held() {
		t.Error("a released lease is not taken over")
	}
	a.look(ctx)
	if a.Held() {
		t.Error("a host that shuts down still holds the lease of another one")
	}
}

func TestUnreadableRowIsAnError(t *testing.T) {
	_, err := Decode([]byte("{"))
	var decode *DecodeError
	var syntax *json.SyntaxError
	if !errors.As(err, &decode) || !errors.As(err, &syntax) {
		t.Errorf("error %v, want a DecodeError", err)
	}
}

// In a rolling restart the lease went to hosts that were next to end, and orders
// paused again and again (incident inc-1693).
func TestFreshHostTakesReleasedLeaseFirst(t *testing.T) {
	now := clock.SinceBoot()
	old := &Elector{Host: "old", Started: now - 30*time.Second}
	fresh := &Elector{Host: "fresh", Started: now - 2*time.Second}
	released := Record{Holder: "x", Released: true}
	if a, b := old.reluctance(released, now), fresh.reluctance(released, now); b >= a {
		t.Errorf("a fresh host waits %v, an old one %v", b, a)
	}
	if got := old.reluctance(Record{Holder: "x"}, now); got != 0 {
		t.Errorf("a lease that was not released is left for %v", got)
	}
}

// A small host took an expired lease at once, because it had seen the row long
// before, and could not serve a large fleet (tuulgan grown trouble-2).
func TestSmallHostLeavesExpiredLeaseToOthers(t *testing.T) {
	terms := Terms{
		Duration: 100 * time.Millisecond, MaxOrderDelay: 10 * time.Millisecond, ReacquireDelay: 10 * time.Millisecond, SafetyMargin: 5 * time.Millisecond,
	}
	store := &memoryTable{}
	ctx := context.Background()
	holder, small, large := newKeeper("a", store, terms), newKeeper("small", store, terms), newKeeper("large", store, terms)
	small.ClaimDelay = 80 * time.Millisecond
	holder.look(ctx)
	small.look(ctx)
	large.look(ctx)
	time.Sleep(115 * time.Millisecond)
	small.look(ctx)
	if small.Held() {
		t.Fatal("the small host took the lease at once")
	}
	time.Sleep(small.ClaimDelay)
	store.set(func(m *memoryTable) { m.refuse = true })
	large.look(ctx) // nobody can take it while the store is down
	store.set(func(m *memoryTable) { m.refuse = false })
	large.look(ctx)
	small.look(ctx)
	if !large.Held() || small.Held() {
		t.Errorf("held by large: %v, by small: %v", large.Held(), small.Held())
	}
}

// A small host that had once seen the lease free, and did not look while the next
// holder answered it, took the lease at once when that released it (tokachi grown
// trouble-3, seed 32: 13 s with a coordinator that was too slow).
func TestSmallHostLeavesEachReleasedLeaseToOthers(t *testing.T) {
	store := &memoryTable{}
	ctx := context.Background()
	first, second, small := newKeeper("a", store, testTerms), newKeeper("b", store, testTerms), newKeeper("small", store, testTerms)
	small.ClaimDelay = 50 * time.Millisecond
	first.look(ctx)
	first.Stop(ctx)
	small.look(ctx) // sees that it is free, and waits
	second.look(ctx)
	time.Sleep(2 * small.ClaimDelay)
	second.Stop(ctx)
	small.look(ctx)
	if small.Held() {
		t.Error("the small host took the lease at once")
	}
}
