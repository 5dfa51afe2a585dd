package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// stopCallers is the number of callers that send without a pause while their host stops.
const stopCallers = 24

// stopCaller sends requests to a host, each after the response to the one before, and
// records those that ended without a response.
type stopCaller struct {
	fleet *testFleet
	name  string
	keep  bool // keeps its connection as long as the host does

	sent, cut []string
}

// run sends requests until the host takes no connections.
func (c *stopCaller) run() {
	var conn *rawCaller
	for {
		if conn == nil {
			dialed, err := net.Dial("tcp", c.fleet.hosts[0].settings.Listen)
			if err != nil {
				return // the host has stopped
			}
			conn = newRawCaller(dialed)
		}
		id := fmt.Sprintf("%s-%d", c.name, len(c.sent))
		sentAt := time.Now()
		again, err := c.request(conn, id)
		if errors.Is(err, errNotSent) {
			return // the host's address is closed
		}
		c.sent = append(c.sent, id)
		if err != nil {
			c.cut = append(c.cut, fmt.Sprintf("%s (%v, %v after it was sent)", id, err, time.Since(sentAt)))
		}
		if !again || !c.keep {
			_ = conn.Close()
			conn = nil
		}
	}
}

var errNotSent = errors.New("the request was not sent")

// request sends a request and reads the response. again reports that the connection can be
// used again.
func (c *stopCaller) request(conn *rawCaller, id string) (again bool, err error) {
	if _, err := conn.Write(rawRequest("/withdraw/1", id, "", "lot")); err != nil {
		return false, errNotSent
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false, err
	}
	return !response.Close, nil
}

// Load: callers that send without a pause, on kept and on new connections, while their host
// is stopped as planned. Guards against requests that were accepted, or had reached a
// worker, and are cut off without an answer (check LOST).
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(conn, "%s\r\nContent-Length: 2\r\n\r\nok", answerHeader(request))
	})
	callers := make([]*stopCaller, stopCallers)
	var group sync.WaitGroup
	for i := range callers {
		callers[i] = &stopCaller{fleet: f, name: fmt.Sprintf("caller%d", i), keep: i%2 == 0}
		group.Go(callers[i].run)
	}
	time.Sleep(500 * time.Millisecond)
	f.hosts[0].stop()
	group.Wait()
	sent := 0
	for _, caller := range callers {
		sent += len(caller.sent)
		for _, id := range caller.cut {
			t.Errorf("request without an answer: %s", id)
		}
	}
	if sent < 500 {
		t.Errorf("only %d requests were sent", sent)
	}
}

// waitInStop waits until a time after the stop of a host.
func waitInStop(stoppedAt time.Time, after time.Duration) {
	time.Sleep(time.Until(stoppedAt.Add(after)))
}

// Guards against requests that are read late in a planned stop, passed on, and cut off
// without an answer at its end, among them requests that may not run twice (check LOST).
func TestRequestLateInAStopIsRefused(t *testing.T) {
	f := newTestFleet(t, 1)
	worker := f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		time.Sleep(2500 * time.Millisecond)
		fmt.Fprintf(conn, "%s\r\nContent-Length: 2\r\n\r\nok", answerHeader(request))
	})
	kept, slow := f.dialHost(0), f.dialHost(0)
	text := rawRequest("/withdraw/slow", "slow-body", "", "lot")
	if _, err := slow.Write(text[:len(text)-1]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	f.hosts[0].stop()
	stoppedAt := time.Now()
	waitInStop(stoppedAt, 2200*time.Millisecond)
	kept.send(t, "/withdraw/kept", "kept", "")
	if _, err := slow.Write(text[len(text)-1:]); err != nil {
		t.Fatal(err)
	}
	for name, caller := range map[string]*rawCaller{"kept connection": kept, "slow body": slow} {
		if status := caller.receive(t); status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, want 503", name, status)
		}
	}
	if since := time.Since(stoppedAt); since > 2700*time.Millisecond {
		t.Errorf("refused only %v after the stop had begun", since)
	}
	if arrived := worker.arrived(time.Time{}); arrived != 0 {
		t.Errorf("%d requests reached the worker", arrived)
	}
}

// Guards against cutting off, without an answer, a request that is still running at the end
// of a planned stop.
func TestRunningRequestAtTheEndOfAStopIsAnswered(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("ledger", func(conn net.Conn, _ *http.Request) { untilClosed(conn) })
	running, unread := f.dialHost(0), f.dialHost(0)
	f.hosts[0].stop()
	waitInStop(time.Now(), 500*time.Millisecond)
	running.send(t, "/withdraw/running", "running", "")
	text := rawRequest("/withdraw/unread", "unread", "", "lot")
	if _, err := unread.Write(text[:len(text)-1]); err != nil {
		t.Fatal(err)
	}
	if status := running.receive(t); status != http.StatusGatewayTimeout && status != http.StatusBadGateway {
		t.Errorf("running request: status %d, want one that promises nothing", status)
	}
	if status := unread.receive(t); status != http.StatusRequestTimeout && status != http.StatusServiceUnavailable {
		t.Errorf("request whose body has not arrived: status %d, want one that says that it did not run", status)
	}
}

// Guards against refusing requests within their workspace's rate after a planned stop: the
// share of a stopped host was withheld for 16 s.
func TestStoppedHostGivesItsShareBack(t *testing.T) {
	f := newTestFleet(t, 3)
	f.waitFor("shares of three hosts", func() bool { return f.hosts[0].State().Hosts == 3 })
	for _, stopped := range f.hosts[1:] {
		stopped.stop()
	}
	for _, stopped := range f.hosts[1:] {
		stopped.done <- <-stopped.done // the fleet's cleanup waits for it, too
	}
	f.waitFor("share of one host", func() bool { return f.hosts[0].State().Hosts == 1 })
}
