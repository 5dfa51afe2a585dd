package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// cutHead returns the first bytes of the head of a response with the given framing.
func cutHead(request *http.Request, framing string, length int) string {
	head := answerHeader(request) + framing + "\r\n\r\n"
	return head[:min(length, len(head)-1)]
}

// Guards against an empty or short 200 for an answer whose upstream stopped in the middle of
// the head (checks MIXED and ORDER).
func TestAnswerCutInItsHead(t *testing.T) {
	for _, framing := range []string{"", "\r\nContent-Length: 6", "\r\nTransfer-Encoding: chunked"} {
		t.Run(strings.TrimSpace(framing), func(t *testing.T) {
			f := newTestFleet(t, 1)
			var length atomic.Int64
			f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, cutHead(request, framing, int(length.Load())))
				_ = conn.Close()
			})
			whole := len(answerHeader(&http.Request{Header: http.Header{"Request-Id": {"cut-100"}}})+framing) + 4
			for cut := 1; cut < whole; cut++ {
				length.Store(int64(cut))
				got := f.send(0, http.MethodPost, fmt.Sprintf("/withdraw/%d", cut), fmt.Sprintf("cut-%d", 100+cut%100), "lot")
				if got.status == http.StatusOK {
					t.Fatalf("head cut after %d of %d bytes: status 200, body %q, truncated %v", cut, whole, got.body, got.truncated)
				}
			}
		})
	}
}

// Guards against an empty stream, complete to the caller, of an engine that stopped in or
// right after the head of its answer.
func TestStreamCutBeforeItsFirstEvent(t *testing.T) {
	for name, head := range map[string]func(*http.Request) string{
		"status line":     func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" },
		"before the end":  func(r *http.Request) string { return answerHeader(r) + "\r\n" },
		"whole, no body":  func(r *http.Request) string { return answerHeader(r) + "\r\n\r\n" },
		"inside an event": func(r *http.Request) string { return answerHeader(r) + "\r\n\r\nid: 1\ndata: tok" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, head(request))
				_ = conn.Close()
			})
			got := f.sendModelRequest(0, "/chat/1", "cut", "m1")
			if got.status == http.StatusOK && !got.truncated {
				t.Errorf("status 200, complete, body %q", got.body)
			}
		})
	}
}

// Guards against a stream without a length or chunks that is taken for broken off although
// it ended after an event.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
		_, _ = io.WriteString(conn, answerHeader(request)+"\r\n\r\nid: 1\ndata: token 1\n\n")
		_ = conn.Close()
	})
	got := f.sendModelRequest(0, "/chat/1", "ends", "m1")
	if got.status != http.StatusOK || got.truncated || got.body != "id: 1\ndata: token 1\n\n" {
		t.Errorf("status %d, truncated %v, body %q", got.status, got.truncated, got.body)
	}
}

// begunStream is what the caller gets before the stream breaks off.
const begunStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"

// Guards against the text, or the head, of an error in the middle of a stream that had
// begun, and against ending the stream as if it were complete, when the engine that should
// resume it fails (checks ORDER and MIXED).
func TestErrorAfterABrokenStream(t *testing.T) {
	signed := func(r *http.Request, status, rest string) string {
		return strings.Replace(answerHeader(r), "200 OK", status, 1) + rest
	}
	lengthOf := func(body string) string { return fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body) }
	for name, answer := range map[string]func(*http.Request) string{
		"error":             func(r *http.Request) string { return signed(r, "500 Failed", lengthOf("out of memory\n\n")) },
		"error, no length":  func(r *http.Request) string { return signed(r, "500 Failed", "\r\n\r\nout of memory\n\n") },
		"unnamed error":     func(*http.Request) string { return "HTTP/1.1 500 Failed" + lengthOf("out of memory\n\n") },
		"refusal":           func(r *http.Request) string { return signed(r, "503 Full", "\r\nNot-Executed: 1"+lengthOf("")) },
		"not found":         func(r *http.Request) string { return signed(r, "404 Not Found", lengthOf("no such route\n\n")) },
		"text as success":   func(r *http.Request) string { return answerHeader(r) + lengthOf("out of memory\n\n") },
		"field as success":  func(r *http.Request) string { return answerHeader(r) + lengthOf("error: out of memory\n\n") },
		"object as success": func(r *http.Request) string { return answerHeader(r) + lengthOf(`{"error": "out of memory"}`) },
		"head as success": func(r *http.Request) string {
			return answerHeader(r) + lengthOf("HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nout of memory\n\n")
		},
		"cut head":         func(r *http.Request) string { return cutHead(r, "\r\nContent-Length: 5", 60) },
		"no body":          func(r *http.Request) string { return answerHeader(r) + "\r\n\r\n" },
		"from the start":   func(r *http.Request) string { return answerHeader(r) + lengthOf(begunStream) },
		"without an event": func(r *http.Request) string { return answerHeader(r) + "\r\n\r\nid: 3\ndata: tok" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			respond := func(conn net.Conn, request *http.Request) {
				text := answerHeader(request) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(begunStream), begunStream)
				if request.Header.Get("Last-Event-Id") != "" {
					text = answer(request)
				}
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			}
			f.newRawWorker("llm", respond)
			f.addRawWorker("raw-second", "llm", respond)
			got := f.sendModelRequest(0, "/review/1", "broken", "m1")
			if got.status != http.StatusOK || !got.truncated || got.body != begunStream {
				t.Errorf("status %d, truncated %v, body %q", got.status, got.truncated, got.body)
			}
		})
	}
}
