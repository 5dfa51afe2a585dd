package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// A host that cannot confirm the configuration stops serving keys in time, and
// serves them again when it can.
func TestKeysWithoutStore(t *testing.T) {
	for _, faults := range []platformtest.StoreFaults{{Status: 503}, {Status: 429}, {Hang: true}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) { keysWithoutStore(t, faults) })
	}
}

func keysWithoutStore(t *testing.T, faults platformtest.StoreFaults) {
	r := newRig(t, 1)
	r.store.SetFaults(faults)
	time.Sleep(keyBound)
	got := r.call(0, http.MethodPost, "/withdraw/1", "w", "")
	if got.status != http.StatusServiceUnavailable || r.runs("w") != 0 {
		t.Errorf("%+v: status %d, %d runs", faults, got.status, r.runs("w"))
	}
	r.store.SetFaults(platformtest.StoreFaults{})
	r.await("served again", func() bool { return r.call(0, http.MethodPost, "/withdraw/1", "again", "").status == 200 })
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	r := newRig(t, 3)
	r.configure("another key")
	r.await("key refused", func() bool {
		for host := range r.hosts {
			if r.call(host, http.MethodPost, "/withdraw/1", "k", "").status != http.StatusUnauthorized {
				return false
			}
		}
		return true
	})
	if got := r.call(0, http.MethodPost, "/withdraw/1", "k2", "", "Authorization", "Bearer another key"); got.status != 200 {
		t.Errorf("new key: %d", got.status)
	}
}

// Changes made while a host does not hear of any arrive with the newest last;
// the host must not stop at an older one.
func TestSeveralVersionsAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.store.SetFaults(platformtest.StoreFaults{Status: 503})
	r.configure("first")
	r.configure("second")
	r.store.SetFaults(platformtest.StoreFaults{})
	r.await("newest version", func() bool { return r.hosts[0].State().ConfigVersion == int64(r.version) })
	if got := r.call(0, http.MethodPost, "/withdraw/1", "old", "", "Authorization", "Bearer first"); got.status != http.StatusUnauthorized {
		t.Errorf("key of a version in between: %d", got.status)
	}
}

func TestHistoryForgotten(t *testing.T) {
	r := newRig(t, 1)
	r.store.SetFaults(platformtest.StoreFaults{HistoryGone: true})
	r.configure(testKey, "new")
	r.await("newest version", func() bool { return r.hosts[0].State().ConfigVersion == int64(r.version) })
}

// A worker that leaves gets no more requests.
func TestLeavingWorkerGetsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.store.Set("servers", "ledger-1", r.ledgers[0].Entry("draining"))
	r.store.Set("servers", "foreign", map[string]any{"state": 7})
	time.Sleep(800 * time.Millisecond)
	before := len(r.ledgers[0].ReceivedRequests())
	for range 6 {
		if got := r.call(0, http.MethodPost, "/withdraw/1", "d", ""); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
	if after := len(r.ledgers[0].ReceivedRequests()); after != before {
		t.Errorf("%d requests reached a worker that leaves", after-before)
	}
}

// An address in other hands runs nothing of ours.
func TestAddressOfAnotherWorker(t *testing.T) {
	r := newRig(t, 1)
	entry := r.engine.Entry("ready")
	entry["service"] = "ledger"
	r.store.Set("servers", "ledger-1", entry)
	r.store.Remove("servers", "ledger-2")
	time.Sleep(800 * time.Millisecond)
	got := r.call(0, http.MethodPost, "/withdraw/1", "x", "")
	if got.status != http.StatusServiceUnavailable || r.runs("x") != 0 {
		t.Errorf("status %d, %d runs", got.status, r.runs("x"))
	}
}

// The coordinator ends gracefully; another host takes over and loads models
// again once the time between two holders is over.
func TestCoordinatorIsReplaced(t *testing.T) {
	r := newRig(t, 3)
	leader := -1
	for i, h := range r.hosts {
		if h.State().Lease.Held {
			leader = i
		}
	}
	if leader < 0 {
		t.Fatal("no host coordinates")
	}
	r.hosts[leader].stop()
	other := (leader + 1) % 3
	r.await("another coordinator", func() bool {
		state := r.hosts[other].State()
		return state.CoordinatorReached && state.Lease.Record.Holder != r.hosts[leader].settings.Host
	})
	if got := r.chat(other, "/chat/1", "warm", "m1"); got.status != 200 {
		t.Errorf("model that is loaded: %d", got.status)
	}
	time.Sleep(3500 * time.Millisecond)
	if got := r.chat(other, "/review/1", "cold", "m2"); got.status != 200 {
		t.Errorf("model that is not loaded: %+v", got)
	}
}

// A graceful shutdown finishes the requests in progress and refuses none that
// arrives on an open connection.
func TestShutdownCutsNothing(t *testing.T) {
	r := newRig(t, 1)
	r.engine.Events, r.engine.EventInterval = 20, 50*time.Millisecond
	result := make(chan reply)
	go func() { result <- r.chat(0, "/chat/1", "long", "m1") }()
	r.await("in progress", func() bool { return r.hosts[0].State().InFlight == 1 })
	r.hosts[0].stop()
	r.await("not ready", func() bool { return !r.hosts[0].Ready() })
	if got := r.call(0, http.MethodPost, "/withdraw/1", "late", ""); got.status != 200 {
		t.Errorf("request after the signal: %d", got.status)
	}
	if got := <-result; got.status != 200 || got.broken {
		t.Errorf("stream: status %d, broken %v", got.status, got.broken)
	}
}

// Orders whose answer is lost are not given a second time beyond what fits.
func TestLostOrderAnswers(t *testing.T) {
	r := newRig(t, 1)
	r.engine.SetFaults(platformtest.WorkerFaults{DropOrderResponses: true})
	time.AfterFunc(500*time.Millisecond, func() { r.engine.SetFaults(platformtest.WorkerFaults{}) })
	if got := r.chat(0, "/review/1", "late-order", "m2"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
}

// A model that nobody can load in time is refused at once, not at the deadline.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.store.Remove("servers", "engine-1")
	time.Sleep(800 * time.Millisecond)
	got := r.chat(0, "/chat/1", "hopeless", "m1")
	if got.status != http.StatusServiceUnavailable || got.took > 1500*time.Millisecond || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d after %v, Retry-After %q", got.status, got.took, got.header.Get("Retry-After"))
	}
}

// A request that waits for a model when its host shuts down is refused while
// another host can still serve it, not cut at the end (LOST, tokachi fresh-8433).
func TestWaitingRequestAtShutdown(t *testing.T) {
	r := newRig(t, 1)
	r.engine.LoadTime = 30 * time.Second
	result := make(chan reply)
	go func() { result <- r.chat(0, "/review/1", "waits", "m6") }()
	r.await("in progress", func() bool { return r.hosts[0].State().InFlight == 1 })
	r.hosts[0].stop()
	got := <-result
	if got.broken || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "shutting down") {
		t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
	}
}

// A request that ends each connection is stopped after three runs, at whichever
// host it comes; others go on.
func TestRequestThatCrashesWorkersIsStopped(t *testing.T) {
	r := newRig(t, 3)
	for _, w := range r.ledgers {
		w.SetFaults(platformtest.WorkerFaults{DropResponses: true})
	}
	for i := range 12 {
		r.call(i%3, http.MethodPost, "/withdraw/crash", fmt.Sprintf("crash-%d", i), "the same body")
		time.Sleep(150 * time.Millisecond)
	}
	runs := 0
	for _, w := range r.ledgers {
		for _, seen := range w.ReceivedRequests() {
			if strings.HasPrefix(seen.ID, "crash-") {
				runs++
			}
		}
		w.SetFaults(platformtest.WorkerFaults{})
	}
	if runs < 3 || runs > 6 {
		t.Errorf("%d of 12 runs, want three and those on their way", runs)
	}
	if got := r.call(0, http.MethodPost, "/withdraw/crash", "still", "the same body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("the request again: %d", got.status)
	}
	r.await("another request is served", func() bool {
		return r.call(0, http.MethodPost, "/withdraw/other", "other", "another body").status == 200
	})
}
