package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// sendUntil sends withdrawals to a host until a worker has received one.
func (f *testFleet) sendUntil(host int, w *platformtest.Worker) {
	f.t.Helper()
	before := len(w.ReceivedRequests())
	for i := 0; len(w.ReceivedRequests()) == before; i++ {
		if i == 50 {
			f.t.Fatalf("%s gets no requests", w.ID)
		}
		f.send(host, http.MethodPost, "/withdraw/1", fmt.Sprintf("until-%s-%d", w.ID, i), "")
	}
}

// Guards against requests to a worker that said in a response that it leaves, while its
// entry says that it is ready, from this host and from those that were not told themselves
// (check DRAIN).
func TestLeavingWorkerGetsNoRequests(t *testing.T) {
	f := newTestFleet(t, 2)
	f.ledgers[0].SetFaults(platformtest.WorkerFaults{Leaving: true})
	f.sendUntil(0, f.ledgers[0])
	time.Sleep(time.Second) // several exchanges with the coordinator
	before := len(f.ledgers[0].ReceivedRequests())
	for i := range 20 {
		if got := f.send(i%2, http.MethodPost, "/withdraw/1", fmt.Sprintf("after-%d", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	f.store.Set("servers", f.ledgers[0].ID, f.ledgers[0].Entry("ready"))
	time.Sleep(tableReadTime)
	for i := range 10 {
		f.send(i%2, http.MethodPost, "/withdraw/1", fmt.Sprintf("later-%d", i), "")
	}
	if after := len(f.ledgers[0].ReceivedRequests()); after != before {
		t.Errorf("%d requests reached a worker that said that it leaves", after-before)
	}
}

// Guards against orders and requests to an engine that said in a report that it leaves.
func TestEngineThatLeavesByItsReport(t *testing.T) {
	f := newTestFleet(t, 1)
	second := platformtest.NewWorker("engine-2", "llm", "m1", "m2")
	t.Cleanup(second.Close)
	second.SetFaults(platformtest.WorkerFaults{Leaving: true})
	f.store.Set("servers", second.ID, second.Entry("ready"))
	f.waitFor("withdrawn", func() bool { return len(f.hosts[0].State().Statements) == 1 })
	for i := range 10 {
		if got := f.sendModelRequest(0, "/review/1", fmt.Sprintf("r%d", i), "m2"); got.status != http.StatusOK {
			t.Errorf("status %d; the model should be loaded on the other engine", got.status)
		}
	}
	if received := len(second.ReceivedRequests()); received != 0 {
		t.Errorf("%d requests reached an engine that said that it leaves", received)
	}
}

// Guards against requests to workers that asked for a pause (check BUDGET), and against
// callers that are held or told a wrong time while all workers pause.
func TestPausedWorkers(t *testing.T) {
	f := newTestFleet(t, 1)
	f.ledgers[0].SetFaults(platformtest.WorkerFaults{RejectRequests: true, RetryAfter: "1.5"})
	f.sendUntil(0, f.ledgers[0])
	before := len(f.ledgers[0].ReceivedRequests())
	for i := range 10 {
		if got := f.send(0, http.MethodPost, "/withdraw/1", fmt.Sprintf("one-%d", i), ""); got.status != http.StatusOK {
			t.Errorf("status %d while the other worker takes requests", got.status)
		}
	}
	if after := len(f.ledgers[0].ReceivedRequests()); after != before {
		t.Errorf("%d requests reached a worker that had asked for a pause", after-before)
	}
	f.ledgers[1].SetFaults(platformtest.WorkerFaults{RejectRequests: true, RetryAfter: "1.5"})
	f.send(0, http.MethodPost, "/withdraw/1", "last", "")
	got := f.send(0, http.MethodPost, "/withdraw/1", "all-paused", "")
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || got.elapsed > 300*time.Millisecond || err != nil || after < 0.4 || after > 1.5 {
		t.Errorf("status %d after %v, Retry-After %q; want 503 at once with the time that is left", got.status, got.elapsed, got.header.Get("Retry-After"))
	}
	for _, w := range f.ledgers {
		w.SetFaults(platformtest.WorkerFaults{})
	}
	f.waitFor("served again", func() bool {
		return f.send(0, http.MethodPost, "/withdraw/1", "again", "").status == http.StatusOK
	})
}

// Guards against refusing a request although a worker takes requests again within the
// route's objective.
func TestShortPauseIsWaitedFor(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, w := range f.ledgers {
		w.SetFaults(platformtest.WorkerFaults{RejectRequests: true, RetryAfter: "0.3"})
	}
	time.AfterFunc(150*time.Millisecond, func() {
		for _, w := range f.ledgers {
			w.SetFaults(platformtest.WorkerFaults{})
		}
	})
	if got := f.send(0, http.MethodPost, "/withdraw/1", "short", ""); got.status != http.StatusOK {
		t.Errorf("status %d after %v, want 200 after the pause", got.status, got.elapsed)
	}
}
