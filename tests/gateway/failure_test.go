package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// A host that can't confirm the configuration stops accepting keys within the key
// confirmation period, and accepts them again after a confirmation.
func TestKeysWithoutStore(t *testing.T) {
	for _, faults := range []platformtest.StoreFaults{{Status: 503}, {Status: 429}, {Hang: true}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) { testKeysWithoutStore(t, faults) })
	}
}

func testKeysWithoutStore(t *testing.T, faults platformtest.StoreFaults) {
	f := newTestFleet(t, 1)
	f.store.SetFaults(faults)
	time.Sleep(keyConfirmation)
	got := f.send(0, http.MethodPost, "/withdraw/1", "w", "")
	if got.status != http.StatusServiceUnavailable || f.runCount("w") != 0 {
		t.Errorf("%+v: status %d, %d runs", faults, got.status, f.runCount("w"))
	}
	f.store.SetFaults(platformtest.StoreFaults{})
	f.waitFor("served again", func() bool { return f.send(0, http.MethodPost, "/withdraw/1", "again", "").status == 200 })
}

func TestRemovedKeyIsRejectedByAllHosts(t *testing.T) {
	f := newTestFleet(t, 3)
	f.writeConfig("another key")
	f.waitFor("key refused", func() bool {
		for host := range f.hosts {
			if f.send(host, http.MethodPost, "/withdraw/1", "k", "").status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	if got := f.send(0, http.MethodPost, "/withdraw/1", "k2", "", "Authorization", "Bearer another key"); got.status != 200 {
		t.Errorf("new key: status %d", got.status)
	}
}

// A host that missed several changes gets them in one feed, the newest last. It must
// not stop at an older one.
func TestSeveralVersionsAtOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.SetFaults(platformtest.StoreFaults{Status: 503})
	f.writeConfig("first")
	f.writeConfig("second")
	f.store.SetFaults(platformtest.StoreFaults{})
	f.waitFor("newest version", func() bool { return f.hosts[0].State().ConfigVersion == int64(f.configVersion) })
	if got := f.send(0, http.MethodPost, "/withdraw/1", "old", "", "Authorization", "Bearer first"); got.status != http.StatusUnauthorized {
		t.Errorf("key of an intermediate version: status %d", got.status)
	}
}

func TestHistoryGone(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.SetFaults(platformtest.StoreFaults{HistoryGone: true})
	f.writeConfig(testKey, "new")
	f.waitFor("newest version", func() bool { return f.hosts[0].State().ConfigVersion == int64(f.configVersion) })
}

// A draining worker gets no new requests.
func TestDrainingWorkerGetsNoRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.Set("servers", "ledger-1", f.ledgers[0].Entry("draining"))
	f.store.Set("servers", "foreign", map[string]any{"state": 7})
	time.Sleep(800 * time.Millisecond)
	before := len(f.ledgers[0].ReceivedRequests())
	for range 6 {
		if got := f.send(0, http.MethodPost, "/withdraw/1", "d", ""); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
	if after := len(f.ledgers[0].ReceivedRequests()); after != before {
		t.Errorf("%d requests reached a draining worker", after-before)
	}
}

// A request for a worker whose address is used by another one does not run there.
func TestAddressReusedByAnotherWorker(t *testing.T) {
	f := newTestFleet(t, 1)
	entry := f.engine.Entry("ready")
	entry["service"] = "ledger"
	f.store.Set("servers", "ledger-1", entry)
	f.store.Remove("servers", "ledger-2")
	time.Sleep(800 * time.Millisecond)
	got := f.send(0, http.MethodPost, "/withdraw/1", "x", "")
	if got.status != http.StatusServiceUnavailable || f.runCount("x") != 0 {
		t.Errorf("status %d, %d runs", got.status, f.runCount("x"))
	}
}

// When the coordinator shuts down gracefully, another host takes over and loads
// models again once the waiting time between two lease holders has passed.
func TestCoordinatorIsReplaced(t *testing.T) {
	f := newTestFleet(t, 3)
	coordinator := -1
	for i, h := range f.hosts {
		if h.State().Lease.Held {
			coordinator = i
		}
	}
	if coordinator < 0 {
		t.Fatal("no host is the coordinator")
	}
	f.hosts[coordinator].stop()
	other := (coordinator + 1) % 3
	f.waitFor("another coordinator", func() bool {
		state := f.hosts[other].State()
		return state.CoordinatorReached && state.Lease.Record.Holder != f.hosts[coordinator].settings.Host
	})
	if got := f.sendModelRequest(other, "/chat/1", "warm", "m1"); got.status != 200 {
		t.Errorf("loaded model: status %d", got.status)
	}
	time.Sleep(3500 * time.Millisecond)
	if got := f.sendModelRequest(other, "/review/1", "cold", "m2"); got.status != 200 {
		t.Errorf("model that must be loaded: %+v", got)
	}
}

// A graceful shutdown finishes the requests in progress and refuses none that arrives
// on an open connection.
func TestShutdownFinishesRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.Events, f.engine.EventInterval = 20, 50*time.Millisecond
	result := make(chan response)
	go func() { result <- f.sendModelRequest(0, "/chat/1", "long", "m1") }()
	f.waitFor("in progress", func() bool { return f.hosts[0].State().InFlight == 1 })
	f.hosts[0].stop()
	f.waitFor("not ready", func() bool { return !f.hosts[0].Ready() })
	if got := f.send(0, http.MethodPost, "/withdraw/1", "late", ""); got.status != 200 {
		t.Errorf("request after the shutdown began: status %d", got.status)
	}
	if got := <-result; got.status != 200 || got.truncated {
		t.Errorf("stream: status %d, truncated %v", got.status, got.truncated)
	}
}

// Orders whose response is lost are not repeated beyond the capacity of the engine.
func TestLostOrderResponses(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.SetFaults(platformtest.WorkerFaults{DropOrderResponses: true})
	time.AfterFunc(500*time.Millisecond, func() { f.engine.SetFaults(platformtest.WorkerFaults{}) })
	if got := f.sendModelRequest(0, "/review/1", "late-order", "m2"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
}

// A request for a model that can't be loaded in time is refused at once, not at its
// deadline.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	f.store.Remove("servers", "engine-1")
	time.Sleep(800 * time.Millisecond)
	got := f.sendModelRequest(0, "/chat/1", "hopeless", "m1")
	if got.status != http.StatusServiceUnavailable || got.elapsed > 1500*time.Millisecond || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d after %v, Retry-After %q", got.status, got.elapsed, got.header.Get("Retry-After"))
	}
}

// Guards against cutting a request that waits for a model when its host shuts down.
// It is refused early enough for another host to serve it (check LOST, scenario
// tokachi fresh-8433).
func TestWaitingRequestAtShutdown(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.SetLoadTime(30 * time.Second)
	result := make(chan response)
	go func() { result <- f.sendModelRequest(0, "/review/1", "waits", "m6") }()
	f.waitFor("in progress", func() bool { return f.hosts[0].State().InFlight == 1 })
	f.hosts[0].stop()
	got := <-result
	if got.truncated || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "shutting down") {
		t.Errorf("status %d, truncated %v, body %q", got.status, got.truncated, got.body)
	}
}

// A request that breaks each connection is quarantined on all hosts after three runs;
// other requests are served.
func TestRequestThatCrashesWorkersIsQuarantined(t *testing.T) {
	f := newTestFleet(t, 3)
	for _, w := range f.ledgers {
		w.SetFaults(platformtest.WorkerFaults{DropResponses: true})
	}
	for i := range 12 {
		f.send(i%3, http.MethodPost, "/withdraw/crash", fmt.Sprintf("crash-%d", i), "the same body")
		time.Sleep(150 * time.Millisecond)
	}
	runs := 0
	for _, w := range f.ledgers {
		for _, request := range w.ReceivedRequests() {
			if strings.HasPrefix(request.ID, "crash-") {
				runs++
			}
		}
		w.SetFaults(platformtest.WorkerFaults{})
	}
	if runs < 3 || runs > 6 {
		t.Errorf("%d of 12 requests ran, want three and those in transit", runs)
	}
	if got := f.send(0, http.MethodPost, "/withdraw/crash", "still", "the same body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("quarantined request: status %d", got.status)
	}
	f.waitFor("another request is served", func() bool {
		return f.send(0, http.MethodPost, "/withdraw/other", "other", "another body").status == 200
	})
}
