package quota

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// newTable returns a client of an in-process stand-in for the table service.
func newTable(t *testing.T) *platform.Client {
	t.Helper()
	server := httptest.NewServer(standin.New(1))
	t.Cleanup(server.Close)
	return platform.NewClient(strings.TrimPrefix(server.URL, "http://"))
}

// setHead records the newest accepted configuration version.
func setHead(t *testing.T, table platform.Table, version int) {
	t.Helper()
	write := platform.Write{Key: headKey, Value: fmt.Appendf(nil, `{"version":%d}`, version)}
	if _, err := table.Commit(t.Context(), nil, []platform.Write{write}); err != nil {
		t.Fatal(err)
	}
}

// assignAllToB assigns all slots to host "b".
func assignAllToB(d *config.Document) {
	d.Hosts["a"] = config.Host{Address: "127.0.0.1:1"}
	d.Hosts["b"] = config.Host{Address: "127.0.0.1:2", Slots: []int{0, 1, 2, 3}}
}

func capacity(m *Manager) float64 { return m.Dump().Workspaces[0].Bucket.Capacity }

// syncOK calls Sync, which must succeed.
func syncOK(t *testing.T, l *Ledger) (released []int, pending bool) {
	t.Helper()
	released, pending, err := l.Sync(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return released, pending
}

// newLedgerPair returns a Manager without active slots and its Ledger.
func newLedgerPair(clk clock.Clock, table platform.Table, host string, incarnation uint64, snapshot *config.Snapshot) (*Manager, *Ledger) {
	m := NewManager(clk, host, incarnation)
	m.Apply(snapshot)
	return m, NewLedger(table, m)
}

// Guards against a first start without active slots, against a restarted process that
// refills while tokens of the earlier one are in use, and against one that waits
// although the earlier one released its slots.
func TestLedgerStartRestartClose(t *testing.T) {
	clk, table := clock.NewFake(testStart), newTable(t)
	snapshot := testSnapshot(t, 0, nil)
	first, ledger := newLedgerPair(clk, table, "a", 1, snapshot)
	if _, pending := syncOK(t, ledger); pending || !near(capacity(first), 500) {
		t.Fatalf("first start: pending %v, capacity %g", pending, capacity(first))
	}
	second, ledger := newLedgerPair(clk, table, "a", 2, snapshot)
	syncOK(t, ledger)
	clk.Advance(Exposure(snapshot) - time.Millisecond)
	second.Tick()
	if capacity(second) != 0 {
		t.Fatal("a restarted host uses its share while older requests may run")
	}
	clk.Advance(time.Millisecond)
	second.Tick()
	if state := second.Dump().Workspaces[0].Bucket; !near(state.Capacity, 500) || state.Level != 0 {
		t.Fatalf("after recovery: %+v", state)
	}
	if err := ledger.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	third, ledger := newLedgerPair(clk, table, "a", 3, snapshot)
	syncOK(t, ledger)
	if !near(capacity(third), 500) {
		t.Error("a host waits although the earlier process released its slots")
	}
}

// Guards against two hosts that use a slot at once: the new owner must wait for the
// release, which must wait for the tokens in use. A host that does not answer keeps
// its slots.
func TestLedgerHandover(t *testing.T) {
	clk, table := clock.NewFake(testStart), newTable(t)
	v0, v1 := testSnapshot(t, 0, nil), testSnapshot(t, 1, assignAllToB)
	a, ledgerA := newLedgerPair(clk, table, "a", 1, v0)
	b, ledgerB := newLedgerPair(clk, table, "b", 2, v0)
	syncOK(t, ledgerA)
	syncOK(t, ledgerB)
	clk.Advance(20 * time.Second)
	r, err := a.Reserve("w", 300)
	if err != nil {
		t.Fatal(err)
	}
	setHead(t, table, 1)
	b.Apply(v1)
	if _, pending := syncOK(t, ledgerB); !pending || !near(capacity(b), 500) {
		t.Fatalf("claimed before the release: %g", capacity(b))
	}
	a.Apply(v1)
	if released, _ := syncOK(t, ledgerA); len(released) != 0 {
		t.Fatalf("released %v while 300 tokens are in use", released)
	}
	r.Settle(300)
	if released, pending := syncOK(t, ledgerA); len(released) != 2 || pending {
		t.Fatalf("released %v, pending %v", released, pending)
	}
	if _, pending := syncOK(t, ledgerB); pending || !near(capacity(b), 1000) {
		t.Fatalf("after the release: pending %v, capacity %g", pending, capacity(b))
	}
}

// Guards against a stopped host's slots that become active before its requests have
// ended, and against claims under an older configuration.
func TestLedgerStoppedHost(t *testing.T) {
	clk, table := clock.NewFake(testStart), newTable(t)
	_, ledgerA := newLedgerPair(clk, table, "a", 1, testSnapshot(t, 0, nil))
	syncOK(t, ledgerA)
	stopped := testSnapshot(t, 1, func(d *config.Document) {
		assignAllToB(d)
		d.StoppedHosts = []string{"127.0.0.1:1"}
	})
	b, ledgerB := newLedgerPair(clk, table, "b", 2, stopped)
	setHead(t, table, 2)
	if _, pending := syncOK(t, ledgerB); !pending || capacity(b) != 0 {
		t.Fatal("a host with an older configuration claimed slots")
	}
	setHead(t, table, 1)
	syncOK(t, ledgerB)
	if !near(capacity(b), 500) {
		t.Fatalf("capacity %g, want its own two slots only", capacity(b))
	}
	clk.Advance(Exposure(stopped))
	b.Tick()
	if !near(capacity(b), 1000) {
		t.Fatalf("capacity %g after the stopped host's requests ended", capacity(b))
	}
}

// Guards against a shutdown that marks all slots as free while tokens are lent, and
// one that marks none although most tokens are unused.
func TestLedgerCloseKeepsLentSlots(t *testing.T) {
	clk, table := clock.NewFake(testStart), newTable(t)
	a, ledger := newLedgerPair(clk, table, "a", 1, testSnapshot(t, 0, nil))
	syncOK(t, ledger)
	clk.Advance(20 * time.Second)
	a.Lend(LoanRequest{Workspace: "w", Amount: 40, Borrower: "b", Incarnation: 9, Sequence: 1})
	if err := ledger.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	if capacity(a) != 0 || a.Spare("w") != 0 {
		t.Error("tokens left after Close")
	}
	next, ledger := newLedgerPair(clk, table, "a", 2, testSnapshot(t, 0, nil))
	syncOK(t, ledger)
	if !near(capacity(next), 250) {
		t.Errorf("capacity %g after the restart, want one slot of two", capacity(next))
	}
}

// Guards against a restarted host that does not wait for the requests of the earlier
// process because a later configuration has lowered the longest deadline again.
func TestLedgerRecordsRaisedDeadline(t *testing.T) {
	clk, table := clock.NewFake(testStart), newTable(t)
	a, ledger := newLedgerPair(clk, table, "a", 1, testSnapshot(t, 0, nil))
	syncOK(t, ledger)
	raised := testSnapshot(t, 1, func(d *config.Document) { d.Defaults.MaxDeadlineMS = 60_000 })
	a.Apply(raised)
	if _, pending := syncOK(t, ledger); !pending {
		t.Error("nothing pending while the table has an older configuration version")
	}
	setHead(t, table, 1)
	if _, pending := syncOK(t, ledger); pending || !near(capacity(a), 500) {
		t.Errorf("pending %v, capacity %g", pending, capacity(a))
	}
	setHead(t, table, 2)
	lowered := testSnapshot(t, 2, nil)
	next, ledger := newLedgerPair(clk, table, "a", 2, lowered)
	syncOK(t, ledger)
	clk.Advance(Exposure(raised) - time.Millisecond)
	next.Tick()
	if capacity(next) != 0 {
		t.Error("a restarted host uses its share while older requests may run")
	}
}
