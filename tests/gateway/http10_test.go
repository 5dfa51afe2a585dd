package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// sendOverHTTP10 sends a model request of HTTP/1.0 and returns all that its caller reads.
func (f *testFleet) sendOverHTTP10(path, id string) (string, error) {
	f.t.Helper()
	caller := f.dialHost(0)
	request := bytes.Replace(rawRequest(path, id, "m1", "prompt"), []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1)
	if _, err := caller.Write(request); err != nil {
		f.t.Fatal(err)
	}
	_ = caller.SetReadDeadline(time.Now().Add(2 * waitTimeout)) // a TCP connection supports it
	text, err := io.ReadAll(caller.reader)
	return string(text), err
}

// Guards against a stream that breaks off and that a caller of HTTP/1.0, which knows its end by that
// of the connection, takes for complete (checks MIXED and ORDER).
func TestBrokenStreamOverHTTP10(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(begunStream), begunStream)
	for name, form := range map[string]struct {
		rest  string
		whole bool
	}{
		"whole":                     {"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", true},
		"whole, ends by connection": {"\r\n\r\n" + begunStream, true},
		"no last chunk":             {"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk, false},
		"inside an event":           {"\r\n\r\n" + begunStream + "id: 3\ndata: tok", false},
		"malformed chunk":           {"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "odd\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 1)
			f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
				_, _ = io.WriteString(conn, answerHeader(request)+form.rest) // the caller sees what is missing
				_ = conn.Close()                                             // as above
			})
			text, err := f.sendOverHTTP10("/chat/1", "old")
			switch {
			case form.whole && (err != nil || !strings.HasSuffix(text, "\r\n\r\n"+begunStream)):
				t.Errorf("%q, error %v; want the whole stream", text, err)
			case !form.whole && !errors.Is(err, syscall.ECONNRESET):
				t.Errorf("%q, error %v; want a reset connection", text, err)
			}
		})
	}
}

// Guards against the same when a stop of the host ends the stream.
func TestStoppedStreamOverHTTP10(t *testing.T) {
	f := newTestFleet(t, 1)
	f.newRawWorker("llm", func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "%s\r\n\r\n%s", answerHeader(request), begunStream)
		time.AfterFunc(100*time.Millisecond, f.hosts[0].stop)
		untilClosed(conn)
	})
	if text, err := f.sendOverHTTP10("/patient/1", "old"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, error %v; want a reset connection", text, err)
	}
}
