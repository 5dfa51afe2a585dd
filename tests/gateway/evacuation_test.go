package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// evacuationOf returns the number of evacuations that each host knows.
func (f *testFleet) evacuationsKnown(hosts []*testHost, count int) bool {
	for _, h := range hosts {
		if len(h.State().Evacuations) != count {
			return false
		}
	}
	return true
}

// Guards against requests and orders to workers of an evacuated data centre, from hosts that
// follow the store, that start later, and that have lost the store; and against requests that
// wait for their deadline although no worker of their service can be used.
func TestEvacuatedWorkersGetNothing(t *testing.T) {
	f := newTestFleet(t, 2)
	elsewhere := platformtest.NewWorker("engine-2", "llm", "m2")
	elsewhere.Zone = "z2"
	t.Cleanup(elsewhere.Close)
	f.store.Set("servers", elsewhere.ID, elsewhere.Entry("ready"))
	f.ledgers[1].Zone = "z2"
	f.store.Set("servers", f.ledgers[1].ID, f.ledgers[1].Entry("ready"))
	f.waitFor("new engine", func() bool { return f.hosts[0].State().Upstreams == 4 && f.hosts[1].State().Upstreams == 4 })
	f.store.Set("op", "evacuate/z1", map[string]any{})
	written := time.Now()
	f.waitFor("evacuation known", func() bool { return f.evacuationsKnown(f.hosts, 1) })
	received := func() int { return len(f.ledgers[0].ReceivedRequests()) + len(f.engine.ReceivedRequests()) }
	for i := 0; time.Since(written) < 2500*time.Millisecond; i++ {
		if got := f.sendModelRequest(i%2, "/chat/1", fmt.Sprintf("during-%d", i), "m1"); got.status != http.StatusOK {
			t.Errorf("status %d of a model whose last replica is being left", got.status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	before := received()
	send := func(round string, position int) {
		t.Helper()
		for i := range 10 {
			if got := f.send(position, http.MethodPost, "/withdraw/1", fmt.Sprintf("w-%s-%d", round, i), ""); got.status != http.StatusOK {
				t.Errorf("%s: status %d of the plain service", round, got.status)
			}
			if got := f.sendModelRequest(position, "/chat/1", fmt.Sprintf("m-%s-%d", round, i), "m1"); got.status != http.StatusOK {
				t.Errorf("%s: status %d of the model", round, got.status)
			}
		}
		if after := received(); after != before {
			t.Fatalf("%s: %d requests reached evacuated workers", round, after-before)
		}
	}
	send("following", 0)
	late := f.startHost("host-late")
	f.waitFor("late host ready", func() bool {
		return late.State().Ready && late.State().CoordinatorReached && late.State().Upstreams == 4
	})
	send("started later", 2)
	f.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(500 * time.Millisecond)
	send("without the store", 1)
	f.store.SetFaults(platformtest.StoreFaults{})
	f.store.Set("op", "evacuate/z2", map[string]any{})
	f.waitFor("both evacuations", func() bool { return f.evacuationsKnown(f.hosts, 2) })
	time.Sleep(2500 * time.Millisecond)
	got := f.send(0, http.MethodPost, "/withdraw/1", "none-left", "")
	if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != http.StatusServiceUnavailable || err != nil || after <= 0 || got.elapsed > 500*time.Millisecond {
		t.Errorf("status %d after %v, Retry-After %q; want 503 at once", got.status, got.elapsed, got.header.Get("Retry-After"))
	}
	f.store.Remove("op", "evacuate/z1")
	f.waitFor("served again", func() bool { return f.send(0, http.MethodPost, "/withdraw/1", "again", "").status == http.StatusOK })
}
