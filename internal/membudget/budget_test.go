package membudget

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const megabyte = 1 << 20

var (
	sourceA = netip.MustParseAddr("10.0.0.1")
	sourceB = netip.MustParseAddr("10.0.0.2")
	sourceC = netip.MustParseAddr("10.0.0.3")
)

// fill reserves bytes in steps for a new account and returns it. It closes one that is refused.
func fill(t *testing.T, b *Budget, kind Kind, source netip.Addr, bytes int64, now time.Duration) (*Account, Decision) {
	t.Helper()
	a := b.Open(kind, source, func() {})
	var d Decision
	for taken := int64(0); taken < bytes; taken += SmallBytes {
		if d = a.Reserve(min(SmallBytes, bytes-taken), now); !d.Granted {
			a.Close()
			break
		}
	}
	return a, d
}

// Guards against large bodies that keep small ones from being read, and one source that keeps
// others from sending large ones.
func TestReserveAndShares(t *testing.T) {
	b := New(LimitsOf(64*megabyte, 1000))
	for fromA := 0; ; fromA++ {
		if _, d := fill(t, b, Bodies, sourceA, megabyte, 0); !d.Granted {
			break
		}
		if fromA > 64 {
			t.Fatal("nothing bounds the bodies of a source")
		}
	}
	if _, d := fill(t, b, Bodies, sourceB, megabyte, 0); !d.Granted {
		t.Error("another source has no room for a large body")
	}
	for range 100 {
		fill(t, b, Bodies, sourceB, megabyte, 0)
	}
	if _, d := fill(t, b, Bodies, sourceA, SmallBytes, 0); !d.Granted {
		t.Error("no room for a small body")
	}
}

// Guards against evicting bodies that arrive in time, in another order than by how long they
// have stalled, or without need.
func TestLongestStalledIsEvictedFirst(t *testing.T) {
	b := New(LimitsOf(64*megabyte, 1000))
	evicted := []string{}
	open := func(name string, source netip.Addr, lateAt time.Duration) {
		a := b.Open(Bodies, source, func() { evicted = append(evicted, name) })
		a.Expect(0, lateAt)
		for range 4 * megabyte / SmallBytes {
			if d := a.Reserve(SmallBytes, 0); !d.Granted {
				t.Fatalf("%s has no room", name)
			}
		}
	}
	open("second", sourceA, 2*time.Second)
	open("first", sourceB, time.Second)
	open("in time", sourceA, time.Hour)
	next := b.Open(Bodies, sourceB, func() {})
	grow := func(now time.Duration) (d Decision) {
		for d.Granted = true; d.Granted; {
			d = next.Reserve(SmallBytes, now)
		}
		for _, evict := range d.Evict {
			evict()
		}
		return d
	}
	if d := grow(500 * time.Millisecond); d.Wait || len(evicted) > 0 {
		t.Fatalf("evicted %v before any body had stalled", evicted)
	}
	if d := grow(3 * time.Second); !d.Wait || len(evicted) != 1 || evicted[0] != "first" {
		t.Errorf("evicted %v, want the one that has stalled for longest", evicted)
	}
}

// Guards against evicting a body that was read completely.
func TestSettledAccountIsNotEvicted(t *testing.T) {
	b := New(LimitsOf(64*megabyte, 2))
	fill(t, b, Connections, sourceB, ConnectionBytes, 0)
	first := b.Open(Connections, sourceA, func() {})
	first.Reserve(ConnectionBytes, 0)
	first.Expect(0, time.Second)
	if !first.Settle() {
		t.Fatal("evicted without need")
	}
	if _, d := fill(t, b, Connections, sourceC, ConnectionBytes, time.Hour); d.Granted || len(d.Evict) > 0 {
		t.Errorf("decision %+v, want a refusal", d)
	}
	first.Expect(0, time.Second)
	if _, d := fill(t, b, Connections, sourceC, ConnectionBytes, time.Hour); !d.Granted || len(d.Evict) != 1 {
		t.Errorf("decision %+v, want the idle connection's place", d)
	}
	if first.Settle() {
		t.Error("an evicted connection is used")
	}
}

// A body may be as slow as MinRate for as long as it takes; one that was fast and stops has
// stalled after a second.
func TestProgress(t *testing.T) {
	b := New(LimitsOf(64*megabyte, 1))
	a := b.Open(Bodies, sourceA, func() {})
	a.Expect(0, time.Second)
	now := time.Duration(0)
	for range 100 {
		now += 500 * time.Millisecond
		a.Progress(MinRate/2, now)
	}
	if late := time.Duration(a.lateAt.Load()); late <= now {
		t.Errorf("late at %v, at %v", late, now)
	}
	a.Progress(megabyte, now)
	if late := time.Duration(a.lateAt.Load()); late > now+maxAhead {
		t.Errorf("late at %v, %v after its last bytes", late, late-now)
	}
}

// Guards against any sequence that reserves beyond the limits, evicts what has not stalled,
// evicts without leading to room, or loses bytes.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := LimitsOf(8*megabyte, 8)
		b := New(limits)
		var accounts []*Account
		victims := map[*Account]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				kind := Kinds[rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")]
				source := []netip.Addr{sourceA, sourceB}[rapid.IntRange(0, 1).Draw(t, "source")]
				var a *Account
				a = b.Open(kind, source, func() {
					if a.lateAt.Load() >= int64(now) {
						t.Fatalf("evicted at %v, late at %v", now, a.lateAt.Load())
					}
					victims[a] = true
				})
				accounts = append(accounts, a)
			}
			i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			a := accounts[i]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				a.Expect(now, time.Second)
			case 1:
				if a.Settle() == victims[a] {
					t.Fatal("Settle is wrong about the eviction")
				}
			case 2:
				a.Close()
				accounts = append(accounts[:i], accounts[i+1:]...)
			default:
				bytes := int64(rapid.IntRange(1, megabyte).Draw(t, "bytes"))
				if a.kind == Connections {
					bytes = ConnectionBytes
				}
				d := a.Reserve(bytes, now)
				for _, evict := range d.Evict {
					evict()
				}
				if len(d.Evict) > 0 && !d.Granted && !d.Wait {
					t.Fatal("evicted without room")
				}
			}
			for _, kind := range Kinds {
				limit := limits.Kind[kind]
				if kind == Connections {
					limit += overdraftConnections * ConnectionBytes
				}
				if b.Used(kind) > limit {
					t.Fatalf("%v: %d bytes of %d", kind, b.Used(kind), limit)
				}
			}
			if content := b.Used(Bodies) + b.Used(Responses); content > limits.Content {
				t.Fatalf("%d bytes of %d", content, limits.Content)
			}
		}
		for _, a := range accounts {
			a.Close()
		}
		for _, kind := range Kinds {
			if b.Used(kind) != 0 || len(b.sources) != 0 || len(b.accounts) != 0 {
				t.Fatalf("%v: %d bytes are left", kind, b.Used(kind))
			}
		}
	})
}
