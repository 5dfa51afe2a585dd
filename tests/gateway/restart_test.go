package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// Guards against a host that starts with what was in force before: a worker that has left,
// or a key that was withdrawn, is in use again.
func TestRestartedHostUsesNothingOld(t *testing.T) {
	f := newTestFleet(t, 2)
	f.send(1, http.MethodPost, "/withdraw/1", "before", "")
	f.store.Remove("servers", f.ledgers[0].ID)
	f.writeConfig("another key")
	f.waitFor("both hosts know", func() bool {
		for _, h := range f.hosts {
			if state := h.State(); state.Upstreams != 2 || state.ConfigVersion != int64(f.configVersion) {
				return false
			}
		}
		return true
	})
	before := len(f.ledgers[0].ReceivedRequests())
	f.hosts[1].stop()
	restarted := f.startHost("host-1")
	position := len(f.hosts) - 1
	deadline := time.Now().Add(3 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		id := fmt.Sprintf("old-%d", i)
		if got := f.send(position, http.MethodPost, "/withdraw/1", id, ""); got.status == http.StatusOK || f.runCount(id) != 0 {
			t.Fatalf("withdrawn key: status %d, %d runs", got.status, f.runCount(id))
		}
		f.send(position, http.MethodPost, "/withdraw/1", "new-"+id, "", "Authorization", "Bearer another key")
	}
	if !restarted.State().Ready {
		t.Error("the restarted host is not ready")
	}
	if after := len(f.ledgers[0].ReceivedRequests()); after != before {
		t.Errorf("%d requests reached a worker that had left", after-before)
	}
}

// Guards against a host that starts while the store can't be reached and takes keys and
// workers from the other hosts without knowing how old they are.
func TestHostStartedWithoutStoreAcceptsNoOldKeys(t *testing.T) {
	f := newTestFleet(t, 2)
	f.store.SetFaults(platformtest.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(keyConfirmation)
	f.startHost("host-late")
	position := len(f.hosts) - 1
	deadline := time.Now().Add(1500 * time.Millisecond)
	for i := 0; time.Now().Before(deadline); i++ {
		id := fmt.Sprintf("late-%d", i)
		got := f.send(position, http.MethodPost, "/withdraw/1", id, "")
		if (got.status != http.StatusServiceUnavailable && !got.truncated) || f.runCount(id) != 0 {
			t.Fatalf("status %d, %d runs without a confirmed configuration", got.status, f.runCount(id))
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.store.SetFaults(platformtest.StoreFaults{})
}
