package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/presence/presencetest"
)

// maxWorkAfterLeaving is the rule's bound on work for a caller that has left, counted
// from the arrival of its close.
const maxWorkAfterLeaving = 500 * time.Millisecond

// Guards against sending a request that the host reads after its caller has left (GONE):
// callers give up because a host without processor time does not read them.
func TestUnreadRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	for name, leave := range presencetest.WaysToLeave() {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept connection %v", name, kept), func(t *testing.T) { testUnread(t, leave, kept) })
		}
	}
}

func testUnread(t *testing.T, leave func(*net.TCPConn) error, kept bool) {
	f := newTestFleet(t, 1)
	if got := f.send(0, http.MethodPost, "/withdraw/1", "first", ""); got.status != 200 { // opens a connection to a worker
		t.Fatalf("status %d", got.status)
	}
	var caller *rawCaller
	if kept {
		caller = f.dialHost(0)
		caller.send(t, "/withdraw/1", "before", "")
		if status := caller.receive(t); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	f.gate.close()
	if !kept {
		caller = f.dialHost(0)
	}
	caller.send(t, "/withdraw/1", "unread", "")
	if err := leave(caller.TCPConn); err != nil {
		t.Fatal(err)
	}
	time.Sleep(maxWorkAfterLeaving + 100*time.Millisecond)
	f.gate.open()
	if got := f.send(0, http.MethodPost, "/withdraw/1", "after", ""); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
	f.waitFor("requests ended", func() bool { return f.hosts[0].State().InFlight == 0 })
	time.Sleep(50 * time.Millisecond)
	if runs := f.runCount("unread"); runs != 0 {
		t.Errorf("the request ran %d times after its caller had left", runs)
	}
}

// Guards against a success that no worker gave: a host that had noticed a half-close
// returned without a response, and net/http sent an empty 200.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("ledger", func(conn net.Conn, _ *http.Request) { untilClosed(conn) })
	caller := f.dialHost(0)
	caller.send(t, "/lookup/1", "half-closed", "")
	f.waitFor("in progress", func() bool { return f.hosts[0].State().InFlight == 1 })
	if err := caller.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		return // the host has closed the connection
	}
	defer response.Body.Close()
	if response.StatusCode < 500 {
		t.Errorf("status %d", response.StatusCode)
	}
}

// place is a place at which a request waits or moves on.
type place struct {
	path, model string
	// prepare makes requests wait there. The worker counts what reaches it; nil if none
	// is to be reached. Without prepare, the caller sends a half of its body.
	prepare func(f *testFleet) *rawWorker
}

// places are the places at which a caller leaves in TestWorkEndsWhenCallerLeaves.
var places = map[string]place{
	"model that is loaded": {"/review/1", "m5", func(f *testFleet) *rawWorker {
		f.engine.SetLoadTime(30 * time.Second)
		return nil
	}},
	"silent upstream": {"/lookup/1", "", func(f *testFleet) *rawWorker {
		return f.newRawWorker("ledger", func(conn net.Conn, _ *http.Request) { untilClosed(conn) })
	}},
	"connect": {"/lookup/1", "", func(f *testFleet) *rawWorker {
		w := f.newRawWorker("ledger", func(net.Conn, *http.Request) {})
		f.moveWorker(w, fullListener(f.t))
		return w
	}},
	"silent engine": {"/review/1", "m1", func(f *testFleet) *rawWorker {
		return f.newRawWorker("llm", func(conn net.Conn, _ *http.Request) { untilClosed(conn) })
	}},
	"adapter": {"/review/1", "m1/a2", func(f *testFleet) *rawWorker {
		return f.newRawWorker("llm", func(conn net.Conn, _ *http.Request) { untilClosed(conn) })
	}},
	"stalled stream": {"/review/1", "m1", func(f *testFleet) *rawWorker {
		return f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
			fmt.Fprintf(conn, "%s\r\n\r\nid: 1\ndata: a\n\nid: 2\nda", answerHeader(request))
			untilClosed(conn)
		})
	}},
	"stalled body": {"/lookup/1", "", func(f *testFleet) *rawWorker {
		return f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
			fmt.Fprintf(conn, "%s\r\nContent-Length: 100\r\n\r\nhalf", answerHeader(request))
			untilClosed(conn)
		})
	}},
	"stalled refusal": {"/lookup/1", "", func(f *testFleet) *rawWorker {
		return f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", request.Header.Get("Request-Id"))
			untilClosed(conn)
		})
	}},
	"refusals": {"/lookup/1", "", func(f *testFleet) *rawWorker {
		return f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
			time.Sleep(150 * time.Millisecond)
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"))
		})
	}},
	"caller's body": {"/lookup/1", "", nil},
	"answers that are none": {"/lookup/1", "", func(f *testFleet) *rawWorker {
		return f.newRawWorker("ledger", func(conn net.Conn, _ *http.Request) {
			time.Sleep(150 * time.Millisecond)
			_, _ = conn.Write([]byte("no answer\r\n\r\n"))
			_ = conn.Close()
		})
	}},
}

func answerHeader(request *http.Request) string {
	return "HTTP/1.1 200 OK\r\nResponse-Signature: sig.raw\r\nRequest-Id: " + request.Header.Get("Request-Id")
}

// Guards against work for callers that have left (GONE), at each place at which a
// request waits and for each way to leave.
func TestWorkEndsWhenCallerLeaves(t *testing.T) {
	for where, place := range places {
		for how, leave := range presencetest.WaysToLeave() {
			t.Run(where+"/"+how, func(t *testing.T) { testLeaving(t, place, leave) })
		}
	}
}

func testLeaving(t *testing.T, place place, leave func(*net.TCPConn) error) {
	f := newTestFleet(t, 1)
	var worker *rawWorker
	caller := f.dialHost(0)
	request := rawRequest(place.path, "leaves", place.model, "body")
	if place.prepare == nil {
		request = request[:len(request)-2] // half of the body
	} else {
		worker = place.prepare(f)
	}
	if _, err := caller.Write(request); err != nil {
		t.Fatal(err)
	}
	f.waitFor("in progress", func() bool { return f.hosts[0].State().InFlight == 1 })
	time.Sleep(100 * time.Millisecond)
	if err := leave(caller.TCPConn); err != nil {
		t.Fatal(err)
	}
	left := time.Now()
	time.Sleep(maxWorkAfterLeaving)
	if inFlight := f.hosts[0].State().InFlight; inFlight != 0 {
		t.Errorf("the host works on %d requests", inFlight)
	}
	if worker == nil {
		return
	}
	if atWork := worker.atWork(); atWork != 0 {
		t.Errorf("the worker works on %d requests", atWork)
	}
	time.Sleep(maxWorkAfterLeaving)
	if late := worker.arrived(left.Add(maxWorkAfterLeaving)); late != 0 {
		t.Errorf("%d requests reached the worker late", late)
	}
}

// Guards against a request whose body never comes: it was waited for without a bound, by
// a caller that was cut off without a close also after its deadline.
func TestUnfinishedBodyIsRefusedAtTheDeadline(t *testing.T) {
	f := newTestFleet(t, 1)
	caller := f.dialHost(0)
	request := rawRequest("/withdraw/1", "half", "", "the whole body")
	if _, err := caller.Write(request[:len(request)-5]); err != nil {
		t.Fatal(err)
	}
	const deadline = 3500 * time.Millisecond // of rawRequest
	if err := caller.SetReadDeadline(time.Now().Add(deadline + maxWorkAfterLeaving)); err != nil {
		t.Fatal(err)
	}
	if status := caller.receive(t); status != http.StatusRequestTimeout || f.runCount("half") != 0 {
		t.Errorf("status %d, %d runs, want 408 and none", status, f.runCount("half"))
	}
}

// minAdapterCallInterval is the shortest time between two calls of a request for an
// adapter.
const minAdapterCallInterval = 80 * time.Millisecond

// Guards against a wait that does not wait (GONE): a request for an adapter that the
// coordinator calls loaded and this host does not list asked for it without a pause, and
// the host read no other request. Here the engine has lost the adapter without notice.
func TestLostAdapterIsNotAskedForInABusyLoop(t *testing.T) {
	f := newTestFleet(t, 1)
	if got := f.sendModelRequest(0, "/review/1", "adapter", "m1/a1"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
	f.engine.ForgetAdapters()
	start, before := time.Now(), f.metric(0, "gateway_adapter_calls_total")
	f.sendModelRequest(0, "/review/1", "lost", "m1/a1")
	elapsed := time.Since(start)
	limit := 2 + float64(elapsed/minAdapterCallInterval)
	if calls := f.metric(0, "gateway_adapter_calls_total") - before; calls < 1 || calls > limit {
		t.Errorf("%v calls in %v, want one to %v", calls, elapsed, limit)
	}
}
