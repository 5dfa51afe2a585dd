package gateway

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// malformedVariants are the malformed variants of an answer that a worker gives.
type malformedVariants struct {
	of    func(stricthttptest.Response) map[string]string // by name
	given atomic.Value                                    // name of the variant that is given
}

// answer gives the current variant of an answer whose body is an event.
func (v *malformedVariants) answer(conn net.Conn, request *http.Request) {
	sound := stricthttptest.Response{
		Fields: strings.TrimPrefix(answerHeader(request), "HTTP/1.1 200 OK\r\n") + "\r\n",
		Body:   "id: 1\ndata: of a malformed answer\n\n",
	}
	_, _ = io.WriteString(conn, v.of(sound)[v.given.Load().(string)])
}

// each runs a test with each of the variants. id differs between them.
func (v *malformedVariants) each(t *testing.T, test func(t *testing.T, id string)) {
	for i, name := range slices.Sorted(maps.Keys(v.of(stricthttptest.Response{}))) {
		v.given.Store(name)
		t.Run(name, func(t *testing.T) { test(t, fmt.Sprintf("malformed-%d", i)) })
	}
}

func checkNotAnswered(t *testing.T, got response) {
	t.Helper()
	if got.status != http.StatusBadGateway || strings.Contains(got.body, "malformed") || got.header.Get("Response-Signature") != "" {
		t.Errorf("status %d, truncated %v, header %v, body %q; want 502 and nothing of the worker's", got.status, got.truncated, got.header, got.body)
	}
}

// testOnce sends requests that must run once.
func (v *malformedVariants) testOnce(t *testing.T) {
	f := newTestFleet(t, 1)
	w := f.newRawWorker("ledger", v.answer)
	v.each(t, func(t *testing.T, id string) {
		before := len(w.runsSoFar())
		checkNotAnswered(t, f.send(0, http.MethodPost, "/withdraw/1", id, id))
		if runs := len(w.runsSoFar()) - before; runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// testSafe sends safe requests to two workers. Either of them gives the variant to a request that
// arrives for the first time, and a sound answer to one that was sent again.
func (v *malformedVariants) testSafe(t *testing.T) {
	f := newTestFleet(t, 1)
	var arrived sync.Map // IDs of requests
	answer := func(conn net.Conn, request *http.Request) {
		if _, again := arrived.LoadOrStore(request.Header.Get("Request-Id"), true); !again {
			v.answer(conn, request)
			return
		}
		_, _ = io.WriteString(conn, answerHeader(request)+"\r\nContent-Length: 5\r\n\r\nsound")
	}
	f.newRawWorker("ledger", answer)
	f.addRawWorker("raw-second", "ledger", answer)
	v.each(t, func(t *testing.T, id string) {
		got := f.send(0, http.MethodPost, "/lookup/"+id, id, "lot")
		if got.status != http.StatusOK || got.body != "sound" {
			t.Errorf("status %d, body %q; want the second worker's answer", got.status, got.body)
		}
	})
}

// testStream sends requests for streams that have nothing in common, each to an engine that is
// not avoided yet. check checks what the caller gets.
func (v *malformedVariants) testStream(t *testing.T, check func(t *testing.T, got response)) {
	f := newTestFleet(t, 1)
	f.store.Remove("servers", f.engine.ID)
	v.each(t, func(t *testing.T, id string) {
		w := f.addRawWorker(id, "llm", v.answer)
		defer f.store.Remove("servers", id)
		check(t, f.sendModelRequest(0, "/chat/"+id, id, "m1", "Prompt-Prefix", id+":50,b2:50"))
		if runs := len(w.runsSoFar()); runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

func testMalformedHead(t *testing.T, variants func(stricthttptest.Response) map[string]string) {
	t.Run("once", func(t *testing.T) { (&malformedVariants{of: variants}).testOnce(t) })
	t.Run("safe", func(t *testing.T) { (&malformedVariants{of: variants}).testSafe(t) })
	t.Run("stream", func(t *testing.T) { (&malformedVariants{of: variants}).testStream(t, checkNotAnswered) })
}

// Guards against an answer with an impossible status that reaches the caller, or that is
// skipped like an interim one, so that its body is read as the answer or the request is held
// (checks MIXED and LOST).
func TestAnswerWithMalformedStatus(t *testing.T) {
	testMalformedHead(t, stricthttptest.Response.MalformedStatus)
}

// Guards against an answer with an impossible name of a field that reaches the caller, with
// another body than the worker's where the field was to bound it (check MIXED).
func TestAnswerWithMalformedName(t *testing.T) {
	testMalformedHead(t, stricthttptest.Response.MalformedNames)
}

// Guards against an answer that counts as complete although a malformed field follows its
// body.
func TestAnswerWithMalformedTrailer(t *testing.T) {
	testMalformedBody(t, stricthttptest.Response.MalformedTrailers)
}

// Guards against an answer whose body is bounded where the worker's is not (check MIXED).
func TestAnswerWithMalformedFraming(t *testing.T) {
	testMalformedBody(t, stricthttptest.Response.MalformedFraming)
}

// testMalformedBody tests answers whose malformed byte may follow a part of the body. The events of
// a stream may have been forwarded by then, so it ends as broken off.
func testMalformedBody(t *testing.T, variants func(stricthttptest.Response) map[string]string) {
	t.Run("once", func(t *testing.T) { (&malformedVariants{of: variants}).testOnce(t) })
	t.Run("safe", func(t *testing.T) { (&malformedVariants{of: variants}).testSafe(t) })
	t.Run("stream", func(t *testing.T) {
		(&malformedVariants{of: variants}).testStream(t, func(t *testing.T, got response) {
			if got.status != http.StatusBadGateway && !got.truncated {
				t.Errorf("status %d, complete, body %q", got.status, got.body)
			}
		})
	})
}

// apartCrashes is a time after which a lost run counts as a further crash.
const apartCrashes = 2200 * time.Millisecond

// Guards against a sound request that is refused for a minute because a worker in trouble
// answered it with bytes that are no answer: such a worker has not crashed (check LOST).
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	for name, malformed := range map[string]string{
		"status 000": "HTTP/1.1 000 None\r\n\r\n", "blank in a name": "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "no status line": "odd\r\n\r\n",
		"length": "HTTP/1.1 200 OK\r\nContent-Length: odd\r\n\r\n", "long head": "HTTP/1.1 200 OK\r\nX-Odd: " + strings.Repeat("odd", 40<<10),
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			var recovered atomic.Bool
			f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
				if recovered.Load() {
					_, _ = io.WriteString(conn, answerHeader(request)+"\r\nContent-Length: 5\r\n\r\nsound")
					return
				}
				_, _ = io.WriteString(conn, malformed)
			})
			for i := range 3 {
				checkNotAnswered(t, f.send(0, http.MethodPost, "/lookup/1", fmt.Sprintf("odd-%d", i), "lot"))
				time.Sleep(apartCrashes)
			}
			recovered.Store(true)
			if got := f.send(0, http.MethodPost, "/lookup/1", "even", "lot"); got.status != http.StatusOK {
				t.Errorf("status %d, body %q, after the worker has recovered", got.status, got.body)
			}
		})
	}
}

// Guards against the same for a body whose chunks are malformed.
func TestMalformedBodyIsNoCrash(t *testing.T) {
	f := newTestFleet(t, 1)
	var recovered atomic.Bool
	f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		framed := "\r\nTransfer-Encoding: chunked\r\n\r\nodd\r\nodd\r\n"
		if recovered.Load() {
			framed = "\r\nContent-Length: 5\r\n\r\nsound"
		}
		_, _ = io.WriteString(conn, answerHeader(request)+framed)
	})
	for i := range 3 {
		checkNotAnswered(t, f.send(0, http.MethodPost, "/lookup/1", fmt.Sprintf("odd-%d", i), "lot"))
		time.Sleep(apartCrashes)
	}
	recovered.Store(true)
	if got := f.send(0, http.MethodPost, "/lookup/1", "even", "lot"); got.status != http.StatusOK {
		t.Errorf("status %d, body %q, after the worker has recovered", got.status, got.body)
	}
}

const (
	// avoidedRequests is the number of requests beside a worker that is to be avoided,
	// maxAvoidedRuns how many of them may reach it: its backoff begins with 0.5 s and doubles.
	avoidedRequests = 40
	maxAvoidedRuns  = 5
	avoidedPause    = 20 * time.Millisecond
)

// Guards against an engine that goes on to get requests although its answers are malformed: the
// streams of callers break off, or wait for a second run.
func TestEngineWithMalformedAnswersIsAvoided(t *testing.T) {
	for name, malformed := range map[string]string{
		"head": "X Odd: 1\r\n\r\n", "chunk": "Transfer-Encoding: chunked\r\n\r\nodd\r\n", "trailer": "Transfer-Encoding: chunked\r\n\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.store.Remove("servers", f.engine.ID)
			odd := f.addRawWorker("odd", "llm", func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, answerHeader(request)+"\r\n"+malformed)
			})
			f.addRawWorker("even", "llm", func(conn net.Conn, request *http.Request) {
				const event = "id: 1\ndata: a\n\n"
				_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", answerHeader(request), len(event), event)
			})
			for i := range avoidedRequests {
				id := fmt.Sprint("avoid-", i)
				f.sendModelRequest(0, "/chat/"+id, id, "m1", "Prompt-Prefix", id+":50,b2:50")
				time.Sleep(avoidedPause)
			}
			if runs := len(odd.runsSoFar()); runs == 0 || runs > maxAvoidedRuns {
				t.Errorf("%d of %d requests reached the engine, want 1 to %d", runs, avoidedRequests, maxAvoidedRuns)
			}
		})
	}
}

// malformedRefusals are malformed refusals; %s is the request's ID.
var malformedRefusals = map[string]string{
	"status":      "HTTP/1.1 000 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"name":        "HTTP/1.1 503 Full\r\nX Odd: 1\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"folded line": "HTTP/1.1 503 Full\r\nX-Even: 1\r\n X-Odd: 1\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"length":      "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: odd\r\n\r\n",
	"chunk":       "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\nodd\r\n",
	"trailer":     "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Odd: 1\r\n\r\n",
}

// Guards against believing a malformed refusal: the caller would be told that the request has not
// run (check REFUSED), or it would be sent again (check TWICE).
func TestMalformedRefusal(t *testing.T) {
	for name, refusal := range malformedRefusals {
		t.Run(name, func(t *testing.T) { testMalformedRefusal(t, refusal) })
	}
}

func testMalformedRefusal(t *testing.T, refusal string) {
	f := newTestFleet(t, 1)
	w := f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, refusal, request.Header.Get("Request-Id"))
	})
	checkNotAnswered(t, f.send(0, http.MethodPost, "/withdraw/1", "refused", "lot"))
	if runs := len(w.runsSoFar()); runs != 1 {
		t.Errorf("sent %d times", runs)
	}
}

// Guards against a malformed refusal whose worker is believed to leave: it would get no requests
// after it has recovered.
func TestMalformedRefusalOfLeavingWorker(t *testing.T) {
	f := newTestFleet(t, 1)
	var recovered atomic.Bool
	f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		if recovered.Load() {
			_, _ = io.WriteString(conn, answerHeader(request)+"\r\nContent-Length: 5\r\n\r\nsound")
			return
		}
		leaving := strings.Replace(malformedRefusals["trailer"], "Not-Executed", "Server-Leaving: 1\r\nNot-Executed", 1)
		_, _ = fmt.Fprintf(conn, leaving, request.Header.Get("Request-Id"))
	})
	checkNotAnswered(t, f.send(0, http.MethodPost, "/withdraw/1", "refused", "lot"))
	recovered.Store(true)
	if got := f.send(0, http.MethodPost, "/withdraw/1", "later", "lot"); got.status != http.StatusOK {
		t.Errorf("status %d, body %q, after the worker has recovered", got.status, got.body)
	}
}

// Guards against an impossible length that makes the handler panic, so that the caller's
// connection is closed without an answer (check LOST).
func TestAnswerWithImpossibleLength(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		_, _ = io.WriteString(conn, answerHeader(request)+"\r\nContent-Length: 9223372036854775807\r\n\r\nshort")
		_ = conn.Close()
	})
	checkNotAnswered(t, f.send(0, http.MethodPost, "/withdraw/1", "long", "lot"))
}
