package weightstore

import (
	"slices"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// TestLimits guards against permits in excess of a limit, and against a rate limit
// that depends on synchronised clocks.
func TestLimits(t *testing.T) {
	limits := Limits{LoadsPerS: 2, Concurrent: 3, AdapterLoads: 1}
	now := time.Now()
	observed := map[uint64]time.Time{}
	startObserved := func(start uint64) time.Time { return observed[start] }
	row, revision := Row{}, uint64(0)
	acquire := func(p Permit) CheckResult {
		result := limits.Check(row, p, now, startObserved)
		if result != Granted {
			return result
		}
		value, err := limits.Acquire(row, p, now, startObserved).Encode()
		if err != nil {
			t.Fatal(err)
		}
		revision++
		observed[revision] = now
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
	expect("first", acquire(Permit{Upstream: "e1", Model: "a"}), Granted)
	expect("same again", acquire(Permit{Upstream: "e1", Model: "a"}), AlreadyHeld)
	expect("second", acquire(Permit{Upstream: "e1", Model: "b"}), Granted)
	expect("third in a second", acquire(Permit{Upstream: "e2", Model: "a"}), RateExceeded)
	now = now.Add(time.Second)
	expect("third", acquire(Permit{Upstream: "e2", Model: "a"}), Granted)
	now = now.Add(time.Second)
	expect("fourth at once", acquire(Permit{Upstream: "e2", Model: "b"}), ConcurrencyExceeded)
	expect("adapter", acquire(Permit{Upstream: "e1", Model: "a", Adapter: "x"}), Granted)
	expect("second adapter", acquire(Permit{Upstream: "e2", Model: "a", Adapter: "x"}), AdapterLimitExceeded)
	row = row.Release(Permit{Upstream: "e1", Model: "b"})
	if row.HasPermit(Permit{Upstream: "e1", Model: "b"}) || len(row.Permits) != 3 {
		t.Errorf("after release: %v", row.Permits)
	}
	expect("after release", acquire(Permit{Upstream: "e2", Model: "b"}), Granted)
	if slices.Contains(row.Starts, 1) {
		t.Errorf("an old start is still counted: %v", row.Starts)
	}
}
