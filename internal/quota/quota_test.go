package quota

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testSnapshot returns a configuration in which hosts "a" and "b" own half of the
// slots each and workspace "w" has 100 tokens/s and a burst of 1,000 tokens.
func testSnapshot(t testing.TB, version uint64, change func(*config.Document)) *config.Snapshot {
	t.Helper()
	doc := &config.Document{
		Defaults: config.Defaults{MaxDeadlineMS: 10_000},
		Quota:    config.Quota{Slots: 4, SlotsPerWorkspace: 4},
		Hosts: map[string]config.Host{
			"a": {Address: "127.0.0.1:1", Slots: []int{0, 1}},
			"b": {Address: "127.0.0.1:2", Slots: []int{2, 3}},
		},
		Workspaces: map[string]config.Workspace{"w": {RateTokensPerS: 100, BurstTokens: 1000}},
	}
	if change != nil {
		change(doc)
	}
	snapshot, err := config.NewSnapshot(version, doc)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// startedManager returns a Manager with all configured slots active.
func startedManager(t testing.TB, clk clock.Clock, host string, snapshot *config.Snapshot) *Manager {
	t.Helper()
	m := NewManager(clk, host, 1)
	m.Apply(snapshot)
	m.ActivateConfiguredSlots()
	return m
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

// Guards against a bucket that refills the capacity of outstanding tokens: once they
// are returned, it would allow more than burst + rate × time.
func TestBucketDoesNotRefillOutstanding(t *testing.T) {
	clk := clock.NewFake(testStart)
	m := startedManager(t, clk, "a", testSnapshot(t, 1, nil))
	clk.Advance(20 * time.Second) // full: 500
	r, err := m.Reserve("w", 400)
	if err != nil {
		t.Fatal(err)
	}
	clk.Advance(20 * time.Second)
	if spare := m.Spare("w"); !near(spare, 100) {
		t.Fatalf("spare %g while 400 of 500 are outstanding, want 100", spare)
	}
	r.Progress(150)
	clk.Advance(time.Second)
	if spare := m.Spare("w"); !near(spare, 150) {
		t.Fatalf("spare %g one second after 150 tokens were generated, want 150", spare)
	}
	r.Settle(200)
	r.Settle(0) // must not refund twice
	if spare := m.Spare("w"); !near(spare, 350) {
		t.Fatalf("spare %g after 200 of 400 were returned, want 350", spare)
	}
}

// Guards against wrong error types, which determine the refusal sent to callers.
func TestReserveErrors(t *testing.T) {
	m := startedManager(t, clock.NewFake(testStart), "a", testSnapshot(t, 1, nil))
	var burst *ExceedsBurstError
	if _, err := m.Reserve("w", 1001); !errors.As(err, &burst) || burst.Burst != 1000 {
		t.Errorf("cost over burst: %v", err)
	}
	var unknown *UnknownWorkspaceError
	if _, err := m.Reserve("x", 1); !errors.As(err, &unknown) {
		t.Errorf("unknown workspace: %v", err)
	}
	var invalid *InvalidCostError
	if _, err := m.Reserve("w", math.NaN()); !errors.As(err, &invalid) {
		t.Errorf("NaN: %v", err)
	}
	var shortfall *ShortfallError
	if _, err := m.Reserve("w", 10); !errors.As(err, &shortfall) || shortfall.Missing != 10 {
		t.Errorf("empty bucket: %v", err)
	}
}

// borrow requests a loan and returns the lender's grant, which is not accepted yet.
func borrow(t *testing.T, borrower, lender *Manager, amount float64) LoanGrant {
	t.Helper()
	request, err := borrower.NewLoanRequest("w", lender.host, amount)
	if err != nil {
		t.Fatal(err)
	}
	return lender.Lend(request)
}

// Guards against a lender that refills lent capacity, against a second grant for a
// repeated request, and against returns that are applied twice.
func TestLoanLifecycle(t *testing.T) {
	clk := clock.NewFake(testStart)
	snapshot := testSnapshot(t, 1, nil)
	a, b := startedManager(t, clk, "a", snapshot), startedManager(t, clk, "b", snapshot)
	clk.Advance(20 * time.Second)
	r, err := a.Reserve("w", 500)
	if err != nil {
		t.Fatal(err)
	}
	request, err := a.NewLoanRequest("w", "b", 300)
	if err != nil {
		t.Fatal(err)
	}
	grant := b.Lend(request)
	if repeat := b.Lend(request); repeat != grant || grant.Amount != 300 {
		t.Fatalf("grant %+v, repeated %+v", grant, repeat)
	}
	clk.Advance(time.Second)
	if spare := b.Spare("w"); !near(spare, 200) {
		t.Fatalf("lender refilled lent capacity: spare %g, want 200", spare)
	}
	if !a.Accept(grant) || a.Accept(grant) {
		t.Fatal("a grant must be accepted exactly once")
	}
	borrowed, err := a.Reserve("w", 250)
	if err != nil {
		t.Fatal(err)
	}
	if end := borrowed.EndBy(); !end.Equal(testStart.Add(32 * time.Second)) {
		t.Fatalf("end by %v", end)
	}
	borrowed.Settle(100)
	r.Settle(500)
	for range 2 {
		for _, report := range a.ReturnAll() {
			b.ApplyReturn(report)
			b.ApplyReturn(report)
		}
	}
	if state := b.Dump().Workspaces[0].Bucket; !near(state.Lent, 0) || !near(state.Level, 400) {
		t.Fatalf("after return: %+v, want 400 available and nothing lent", state)
	}
}

// Guards against a borrower that spends a loan after the spend period, and a lender
// that frees capacity before the borrower's requests have ended.
func TestLoanExpiry(t *testing.T) {
	clk := clock.NewFake(testStart)
	snapshot := testSnapshot(t, 1, nil)
	a, b := startedManager(t, clk, "a", snapshot), startedManager(t, clk, "b", snapshot)
	clk.Advance(20 * time.Second)
	if _, err := a.Reserve("w", 500); err != nil {
		t.Fatal(err)
	}
	a.Accept(borrow(t, a, b, 300))
	expired := borrow(t, a, b, 50)
	clk.Advance(LoanLifetime)
	if a.Accept(expired) {
		t.Error("a grant was accepted after its spend period")
	}
	if _, err := a.Reserve("w", 10); err == nil {
		t.Error("an expired loan was spent")
	}
	clk.Advance(10*time.Second + loanMargin - time.Millisecond)
	if lent := b.Dump().Workspaces[0].Bucket.Lent; !near(lent, 350) {
		t.Errorf("lent %g before the hold ended, want 350", lent)
	}
	clk.Advance(time.Millisecond)
	if lent := b.Dump().Workspaces[0].Bucket.Lent; lent != 0 {
		t.Errorf("lent %g after the hold ended", lent)
	}
}

// Guards against tokens that stay lent after the answer to a loan request was lost,
// although the borrower will never spend them.
func TestAbandonedRequestIsReturned(t *testing.T) {
	clk := clock.NewFake(testStart)
	snapshot := testSnapshot(t, 1, nil)
	a, b := startedManager(t, clk, "a", snapshot), startedManager(t, clk, "b", snapshot)
	clk.Advance(20 * time.Second)
	request, err := a.NewLoanRequest("w", "b", 300)
	if err != nil {
		t.Fatal(err)
	}
	grant := b.Lend(request) // the answer is lost
	a.Abandon(request)
	for _, report := range a.PendingReturns() {
		b.ApplyReturn(report)
		a.ConfirmReturn(report)
	}
	if a.Accept(grant) {
		t.Error("an abandoned grant was accepted")
	}
	if spare := b.Spare("w"); !near(spare, 500) {
		t.Errorf("spare %g, want 500", spare)
	}
	if left := a.PendingReturns(); len(left) != 0 {
		t.Errorf("confirmed report listed again: %+v", left)
	}
}

// Guards against use beyond a lowered rate, against a release of slots while the tokens
// in use do not fit into the remaining ones, and against an older configuration that
// replaces a newer one.
func TestLoweredRateAndSlotRelease(t *testing.T) {
	clk := clock.NewFake(testStart)
	a := startedManager(t, clk, "a", testSnapshot(t, 1, nil))
	clk.Advance(20 * time.Second)
	r, err := a.Reserve("w", 300)
	if err != nil {
		t.Fatal(err)
	}
	a.Apply(testSnapshot(t, 2, func(d *config.Document) {
		d.Hosts["a"] = config.Host{Address: "127.0.0.1:1", Slots: []int{0}}
		d.Hosts["b"] = config.Host{Address: "127.0.0.1:2", Slots: []int{1, 2, 3}}
	}))
	if spare := a.Spare("w"); spare != 0 {
		t.Errorf("spare %g with 300 outstanding and 250 of capacity", spare)
	}
	if plan := a.SlotPlan(); len(plan.Releasable) != 0 || len(plan.Retained) != 1 {
		t.Errorf("plan while tokens are in use: %+v", plan)
	}
	r.Progress(100)
	if plan := a.SlotPlan(); len(plan.Releasable) != 1 {
		t.Errorf("plan after progress: %+v", plan)
	}
	a.Apply(testSnapshot(t, 1, nil))
	if version := a.Dump().Version; version != 2 {
		t.Errorf("an older configuration was applied: version %d", version)
	}
}

// BenchmarkReserveSettle measures the request path. The target is well under 1 µs.
func BenchmarkReserveSettle(b *testing.B) {
	m := startedManager(b, clock.System{}, "a", testSnapshot(b, 1, func(d *config.Document) {
		d.Workspaces["w"] = config.Workspace{RateTokensPerS: 1e12, BurstTokens: 1e12}
	}))
	time.Sleep(10 * time.Millisecond)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := m.Reserve("w", 1)
			if err != nil {
				b.Error(err)
				return
			}
			r.Settle(1)
		}
	})
}

// Guards against a repeated report on a partly used loan that credits the unused
// tokens again.
func TestRepeatedPartialReturn(t *testing.T) {
	clk := clock.NewFake(testStart)
	snapshot := testSnapshot(t, 1, nil)
	a, b := startedManager(t, clk, "a", snapshot), startedManager(t, clk, "b", snapshot)
	clk.Advance(10 * time.Second) // each host has two slots: 50 tokens/s, capacity 500
	if _, err := b.Reserve("w", 100); err != nil {
		t.Fatal(err)
	}
	if _, err := a.Reserve("w", 500); err != nil {
		t.Fatal(err)
	}
	a.Accept(borrow(t, a, b, 300))
	if _, err := a.Reserve("w", 200); err != nil { // not settled
		t.Fatal(err)
	}
	reports := a.ReturnAll()
	if len(reports) != 1 || !near(reports[0].Unused, 100) {
		t.Fatalf("reports %+v", reports)
	}
	for range 3 {
		b.ApplyReturn(reports[0])
	}
	bucket := b.Dump().Workspaces[0].Bucket
	if !near(bucket.Lent, 200) || !near(bucket.Level, 200) {
		t.Errorf("after repeated returns: %+v", bucket)
	}
}
