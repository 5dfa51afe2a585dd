package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// unendingFiller is what upstreams send without end; nothing of it may reach a caller.
const unendingFiller = "filler-without-end "

// unendingAnswers are responses without end, by where the bytes come.
var unendingAnswers = map[string]struct {
	path, model     string
	start, repeated string // the start is a format for the request's ID
}{
	"header":         {"/lookup/1", "", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nX-Id: %s", unendingFiller},
	"body":           {"/lookup/1", "", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %s\r\n\r\n", unendingFiller},
	"chunked body":   {"/lookup/1", "", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", "13\r\n" + unendingFiller + "\r\n"},
	"chunk header":   {"/lookup/1", "", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n13;", unendingFiller},
	"trailer":        {"/lookup/1", "", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", unendingFiller},
	"refusal":        {"/lookup/1", "", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\n\r\n", unendingFiller},
	"error":          {"/withdraw/1", "", "HTTP/1.1 500 Error\r\nResponse-Signature: s\r\nRequest-Id: %s\r\n\r\n", unendingFiller},
	"event":          {"/review/1", "m1", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %s\r\n\r\nid: 1\ndata: ", unendingFiller},
	"stream garbage": {"/review/1", "m1", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nRequest-Id: %s\r\n\r\n", unendingFiller + "\n\n"},
	"stream header":  {"/review/1", "m1", "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nX-Id: %s", unendingFiller},
}

// Guards against a request that is held until its deadline because the body of a refusal
// does not arrive: the upstream has said that it did not run the request.
func TestStalledRefusalDoesNotHoldTheRequest(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", request.Header.Get("Request-Id"))
		untilClosed(conn)
	})
	got := f.send(0, http.MethodPost, "/withdraw/1", "stalled", "body")
	if got.status != http.StatusServiceUnavailable || got.elapsed > time.Second {
		t.Errorf("status %d after %v, want 503 at once", got.status, got.elapsed)
	}
}

// Guards against upstreams that send bytes without end which are no answer, in a header
// or a body: they took memory until the deadline, and the part read so far was forwarded
// as a complete body.
func TestAnswerWithoutEnd(t *testing.T) {
	for name, answer := range unendingAnswers {
		t.Run(name, func(t *testing.T) { testAnswerWithoutEnd(t, answer.path, answer.model, answer.start, answer.repeated) })
	}
}

func testAnswerWithoutEnd(t *testing.T, path, model, start, repeated string) {
	f := newTestFleet(t, 1)
	service := "ledger"
	if model != "" {
		service = "llm"
	}
	worker := f.newRawWorker(service, func(conn net.Conn, request *http.Request) {
		_, err := fmt.Fprintf(conn, start, request.Header.Get("Request-Id"))
		block := []byte(strings.Repeat(repeated, 1<<10))
		for err == nil {
			_, err = conn.Write(block)
		}
	})
	// The caller would wait for 3 s; what has no end is recognised by its size.
	got := f.send(0, http.MethodPost, path, "unending", "body", "Model", model, "Token-Count", "100,20")
	if got.elapsed > 2*time.Second {
		t.Errorf("ended after %v", got.elapsed)
	}
	if strings.Contains(got.body, unendingFiller) || strings.Contains(fmt.Sprint(got.header), unendingFiller) {
		t.Errorf("the caller received %d bytes of it", len(got.body))
	}
	if got.status < 500 && !got.truncated {
		t.Errorf("status %d, as if it were an answer", got.status)
	}
	f.waitFor("connections closed", func() bool { return worker.atWork() == 0 })
}
