package membership

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

func listOf(addresses ...string) []platform.HostEntry {
	entries := make([]platform.HostEntry, 0, len(addresses))
	for _, address := range addresses {
		entries = append(entries, platform.HostEntry{Address: address, Kind: platform.KindEngine, State: platform.StateLive})
	}
	return entries
}

// Guards against reusing the last result after evidence arrived, time passed or the
// list changed, and against computing it again when nothing changed.
func TestUpstreamsReturnsSameSliceWhileUnchanged(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := NewTable()
	table.ObserveList(listOf("c", "a"), now)
	first := table.Upstreams(now)
	table.ObserveList(listOf("a", "c"), now.Add(time.Second))
	if again := table.Upstreams(now.Add(time.Second)); &again[0] != &first[0] {
		t.Error("an unchanged result was computed again")
	}
	table.Observe(Sign{Address: "a", Kind: SignRefused, At: now.Add(time.Second)})
	check := func(at time.Time, want ...State) {
		t.Helper()
		got := table.Upstreams(at)
		if len(got) != len(want) {
			t.Fatalf("%d upstreams, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i].State != want[i] {
				t.Errorf("upstream %s is %s, want %s", got[i].Address, got[i].State, want[i])
			}
		}
	}
	check(now.Add(time.Second), Suspect, Live)
	check(now.Add(time.Second+refusalTTL), Live, Live)
	table.ObserveList(listOf("a", "b", "c"), now.Add(3*time.Second))
	check(now.Add(3*time.Second), Live, Live, Live)
	table.ObserveList(listOf("a", "b"), now.Add(4*time.Second))
	for second := range int(minGoneDuration/time.Second) + 1 {
		table.Observe(Sign{Address: "c", Kind: SignRefused, At: now.Add(time.Duration(4+second) * time.Second)})
	}
	check(now.Add(4*time.Second+minGoneDuration-time.Second), Live, Live, Suspect)
	check(now.Add(4*time.Second+minGoneDuration), Live, Live)
	if first[0].State != Live {
		t.Error("an earlier result was modified")
	}
}
