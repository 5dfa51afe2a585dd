package weightstore

import (
	"slices"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// Guards against permits beyond a limit, and against a rate limit that depends
// on agreement between the clocks of hosts.
func TestLimits(t *testing.T) {
	limits := Limits{LoadsPerS: 2, Concurrent: 3, AdapterLoads: 1}
	now := time.Now()
	seen := map[uint64]time.Time{}
	firstSeen := func(start uint64) time.Time { return seen[start] }
	row, revision := Row{}, uint64(0)
	take := func(p Permit) CheckResult {
		refusal := limits.Check(row, p, now, firstSeen)
		if refusal != Granted {
			return refusal
		}
		value, err := limits.Acquire(row, p, now, firstSeen).Encode()
		if err != nil {
			t.Fatal(err)
		}
		revision++
		seen[revision] = now
		if row, err = Decode(platform.Row{Key: RowKey, Value: value, Revision: revision}); err != nil {
			t.Fatal(err)
		}
		return Granted
	}
	expect := func(what string, got, want CheckResult) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %q, want %q", what, got, want)
		}
	}
	expect("first", take(Permit{Upstream: "e1", Model: "a"}), Granted)
	expect("same again", take(Permit{Upstream: "e1", Model: "a"}), AlreadyHeld)
	expect("second", take(Permit{Upstream: "e1", Model: "b"}), Granted)
	expect("third in a second", take(Permit{Upstream: "e2", Model: "a"}), RateExceeded)
	now = now.Add(time.Second)
	expect("third", take(Permit{Upstream: "e2", Model: "a"}), Granted)
	now = now.Add(time.Second)
	expect("fourth at once", take(Permit{Upstream: "e2", Model: "b"}), ConcurrencyExceeded)
	expect("adapter", take(Permit{Upstream: "e1", Model: "a", Adapter: "x"}), Granted)
	expect("second adapter", take(Permit{Upstream: "e2", Model: "a", Adapter: "x"}), AdapterLimitExceeded)
	row = row.Release(Permit{Upstream: "e1", Model: "b"})
	if row.HasPermit(Permit{Upstream: "e1", Model: "b"}) || len(row.Permits) != 3 {
		t.Errorf("after release: %v", row.Permits)
	}
	expect("after release", take(Permit{Upstream: "e2", Model: "b"}), Granted)
	if slices.Contains(row.Starts, 1) {
		t.Errorf("an old start is still counted: %v", row.Starts)
	}
}
