package lease

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
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

func TestNextHolderWaitsForPreviousHolder(t *testing.T) {
	former := []string{"c", "a"} // host a was the holder before the previous one
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
		{
			// Its last order may still be on its way (KNOWN-RED, ONE of scale-1, seed 8037).
			"an earlier process of this host", Observation{Revision: 7, Record: Record{Holder: "a", Active: true}, Since: now},
			true, now + 600*time.Millisecond,
		},
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

// content is the content of a memoryTable at one moment.
type content struct {
	position table.Position
	rows     map[string]table.Row
}

// memoryTable is a table service with the lease table. It can inject faults and come back from
// an older copy.
type memoryTable struct {
	mu sync.Mutex
	content
	loseResponses bool // writes are applied without a response
	refuse        bool
	beforeCommit  func(*memoryTable) // may be nil
	attempts      int
}

func (m *memoryTable) Read(context.Context, string) (table.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.refuse {
		return table.Page{}, &table.UnavailableError{Call: "read", Status: 503}
	}
	return table.Page{Rows: slices.Collect(maps.Values(m.rows)), Position: m.position}, nil
}

func (m *memoryTable) Commit(_ context.Context, _ string, writes ...table.Write) (table.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attempts++
	if m.beforeCommit != nil {
		m.beforeCommit(m)
	}
	if m.refuse {
		return table.Position{}, &table.UnavailableError{Call: "commit", Status: 503}
	}
	for _, write := range writes {
		if m.rows[write.Key].Revision != write.Expected {
			return table.Position{}, &table.ConflictError{Key: write.Key}
		}
	}
	m.position.Revision++
	if m.rows == nil {
		m.rows = map[string]table.Row{}
	}
	for _, write := range writes {
		if write.Value != nil {
			m.rows[write.Key] = table.Row{Key: write.Key, Value: write.Value, Revision: m.position.Revision}
		}
	}
	if m.loseResponses {
		return table.Position{}, &table.UnavailableError{Call: "commit", Unknown: true}
	}
	return m.position, nil
}

func (m *memoryTable) update(change func(*memoryTable)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *memoryTable) record(t *testing.T) Record {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	record, err := Decode(m.rows[Key].Value)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func newElector(host string, store table.Committer, terms Terms) *Elector {
	return &Elector{
		Host: host, Address: host + ":1", Terms: terms, Store: store, Log: logr.Discard(),
		Hosts: func() []string { return nil }, CoordinatorReachable: func() bool { return false }, OnAcquired: func(Handover) {},
	}
}

func TestOnlyOneHostHoldsLease(t *testing.T) {
	store := &memoryTable{}
	a, b := newElector("a", store, testTerms), newElector("b", store, testTerms)
	ctx := context.Background()
	a.poll(ctx)
	b.poll(ctx)
	if !a.Held() || b.Held() {
		t.Fatalf("held by a: %v, by b: %v", a.Held(), b.Held())
	}
	if _, ok := a.MayOrder(100 * time.Millisecond); !ok {
		t.Error("the holder may not send orders")
	}
	if got := b.Coordinator().Holder; got != "a" {
		t.Errorf("b observes holder %q, want a", got)
	}
}

// A renewal whose response was lost is found in the row, and the lease continues.
func TestLostRenewalIsResolved(t *testing.T) {
	store := &memoryTable{}
	a := newElector("a", store, testTerms)
	ctx := context.Background()
	a.poll(ctx)
	store.update(func(m *memoryTable) { m.loseResponses = true })
	const passed = 20 * time.Millisecond
	before := a.Status().ValidFor
	time.Sleep(passed)
	a.renew(ctx)
	if after := a.Status().ValidFor; after <= before-passed {
		t.Errorf("valid for %v after the renewal, %v before it and %v earlier", after, before, passed)
	}
	store.update(func(m *memoryTable) { m.loseResponses = false })
	a.renew(ctx)
	if !a.Held() {
		t.Error("lease lost after the renewal")
	}
}

// A holder that cannot renew stops sending orders by itself. Another host that knows the
// expiry acquires the lease, but waits before it sends orders.
func TestHolderWithoutTableServiceIsReplaced(t *testing.T) {
	terms := Terms{
		Duration: 60 * time.Millisecond, MaxOrderDelay: 90 * time.Millisecond, ReacquireDelay: 90 * time.Millisecond, SafetyMargin: 5 * time.Millisecond,
	}
	store := &memoryTable{}
	a, b := newElector("a", store, terms), newElector("b", store, terms)
	ctx := context.Background()
	a.poll(ctx)
	row, validFor := a.Validity()
	b.Observe(Report{Position: row, ValidFor: validFor})
	ended := clock.SinceBoot() + validFor
	time.Sleep(80 * time.Millisecond)
	if _, ok := a.MayOrder(0); ok {
		t.Fatal("holder may send orders after its lease expired")
	}
	b.poll(ctx)
	if !b.Held() {
		t.Fatal("b did not acquire the expired lease")
	}
	for {
		_, ok := b.MayOrder(0)
		if now := clock.SinceBoot(); ok && now < ended+terms.ReacquireDelay {
			t.Fatalf("orders allowed %v after the previous lease expired", now-ended)
		}
		if ok || !b.Held() {
			break
		}
		b.renew(ctx)
	}
	a.renew(ctx)
	if a.Held() {
		t.Error("previous holder still holds the lease")
	}
	if got := store.record(t).Epoch; got != 2 {
		t.Errorf("epoch %d, want 2", got)
	}
}

func TestReleaseStopsOrdersAtOnce(t *testing.T) {
	store := &memoryTable{}
	a := newElector("a", store, testTerms)
	ctx := context.Background()
	a.poll(ctx)
	a.Stop(ctx)
	if _, ok := a.MayOrder(0); ok {
		t.Error("holder may send orders after releasing the lease")
	}
	b := newElector("b", store, testTerms)
	b.poll(ctx)
	if !b.Held() {
		t.Error("b did not acquire the released lease")
	}
	a.poll(ctx)
	if a.Held() {
		t.Error("host that shut down still holds the lease")
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

// Guards against giving the lease in a rolling restart to hosts that are about to end,
// which paused orders repeatedly (incident inc-1693).
func TestFreshHostTakesReleasedLeaseFirst(t *testing.T) {
	now := clock.SinceBoot()
	old := &Elector{Host: "old", Started: now - 30*time.Second}
	fresh := &Elector{Host: "fresh", Started: now - 2*time.Second}
	released := Record{Holder: "x", Released: true}
	if a, b := old.claimDelay(released, now), fresh.claimDelay(released, now); b >= a {
		t.Errorf("recently started host waits %v, older host %v", b, a)
	}
	if got := old.claimDelay(Record{Holder: "x"}, now); got != 0 {
		t.Errorf("claim of an unreleased lease is delayed by %v", got)
	}
}

// Guards against a small host acquiring an expired lease at once because it read the row
// long before. It cannot coordinate a large fleet.
func TestSmallHostDelaysClaimOfExpiredLease(t *testing.T) {
	terms := Terms{
		Duration: 100 * time.Millisecond, MaxOrderDelay: 10 * time.Millisecond, ReacquireDelay: 10 * time.Millisecond, SafetyMargin: 5 * time.Millisecond,
	}
	store := &memoryTable{}
	ctx := context.Background()
	holder, small, large := newElector("a", store, terms), newElector("small", store, terms), newElector("large", store, terms)
	small.ClaimDelay = 80 * time.Millisecond
	holder.poll(ctx)
	small.poll(ctx)
	large.poll(ctx)
	time.Sleep(115 * time.Millisecond)
	small.poll(ctx)
	if small.Held() {
		t.Fatal("small host acquired the lease at once")
	}
	time.Sleep(small.ClaimDelay)
	store.update(func(m *memoryTable) { m.refuse = true })
	large.poll(ctx) // no host can acquire it while the table service is down
	store.update(func(m *memoryTable) { m.refuse = false })
	large.poll(ctx)
	small.poll(ctx)
	if !large.Held() || small.Held() {
		t.Errorf("held by large: %v, by small: %v", large.Held(), small.Held())
	}
}

// Guards against a small host acquiring a released lease at once because it had seen an
// earlier revision claimable and had not polled since. This led to 13 s with a coordinator
// that was too slow.
func TestSmallHostDelaysClaimOfEachRelease(t *testing.T) {
	store := &memoryTable{}
	ctx := context.Background()
	first, second, small := newElector("a", store, testTerms), newElector("b", store, testTerms), newElector("small", store, testTerms)
	small.ClaimDelay = 50 * time.Millisecond
	first.poll(ctx)
	first.Stop(ctx)
	small.poll(ctx) // sees that it is claimable, and waits
	second.poll(ctx)
	time.Sleep(2 * small.ClaimDelay)
	second.Stop(ctx)
	small.poll(ctx)
	if small.Held() {
		t.Error("small host acquired the lease at once")
	}
}
