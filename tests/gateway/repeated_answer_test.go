package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// repeatingWorker is a faulty worker that writes an earlier response once more, at the
// point where the next one on its connection is due.
type repeatingWorker struct {
	mu       sync.Mutex
	previous map[net.Conn]string // last response on a connection
	requests map[string]int      // by ID: how often it was sent
	runs     map[string]int      // by ID
	// refusals is how often a request is refused before it runs.
	refusals int
	// repeat reports whether the previous response on a connection is repeated before the
	// response to a request.
	repeat func(id string) bool
}

func newRepeatingWorker(refusals int, repeat func(id string) bool) *repeatingWorker {
	return &repeatingWorker{previous: map[net.Conn]string{}, requests: map[string]int{}, runs: map[string]int{}, refusals: refusals, repeat: repeat}
}

func (w *repeatingWorker) answer(conn net.Conn, request *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := request.Header.Get("Request-Id")
	w.requests[id]++
	if previous := w.previous[conn]; previous != "" && w.repeat(id) {
		fmt.Fprint(conn, previous)
	}
	text := fmt.Sprintf("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	if w.requests[id] > w.refusals {
		w.runs[id]++
		body := "answer to " + id
		text = fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", answerHeader(request), len(body), body)
	}
	w.previous[conn] = text
	fmt.Fprint(conn, text)
}

func (w *repeatingWorker) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Guards against an answer, or a refusal, that an upstream sends again on a kept connection
// and that the next caller gets, or takes for a statement about its own request (checks
// MIXED and REFUSED): "not run" was said of requests that were running.
func TestRepeatedResponseOfAnEarlierRequest(t *testing.T) {
	for name, refusals := range map[string]int{"answer": 0, "refusal": 1} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			w := newRepeatingWorker(refusals, func(string) bool { return true })
			f.newRawWorker("ledger", w.answer)
			for i := range 12 {
				id := fmt.Sprintf("u%d", i)
				got := f.send(0, http.MethodPost, "/withdraw/1", id, "lot")
				if got.status != http.StatusOK || !strings.Contains(got.body, "to "+id) || w.runsOf(id) != 1 {
					t.Errorf("%s: status %d, body %q, %d runs; want its own answer after one run", id, got.status, got.body, w.runsOf(id))
				}
			}
		})
	}
}

// Guards against a second copy of a request's own refusal that arrives when the request
// was sent again on the connection: it names the request, but speaks of the first send. The
// caller was told "not run" while the request ran, or it ran again (checks REFUSED, TWICE).
func TestRepeatedRefusalOfTheSameRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	w := newRepeatingWorker(1, func(string) bool { return true })
	f.newRawWorker("ledger", w.answer)
	for i := range 12 {
		id := fmt.Sprintf("u%d", i)
		got := f.send(0, http.MethodPost, "/withdraw/1", id, "lot")
		if runs := w.runsOf(id); runs > 1 || (got.status == http.StatusServiceUnavailable && runs > 0) {
			t.Errorf("%s: status %d after %d runs", id, got.status, runs)
		}
	}
}

// Guards against believing a refusal that names no request: it may be an old one, and the
// request may run.
func TestRefusalWithoutRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("ledger", func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	if got := f.send(0, http.MethodPost, "/withdraw/1", "nameless", "lot"); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502: the request may have run", got.status)
	}
}
