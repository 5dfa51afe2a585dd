package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// event is what a handler has sent when its response breaks off or is complete.
const event = "data: token 1\n\n"

// serveStreams serves each request with a stream that begins with the event, and then a function.
func serveStreams(t *testing.T, end func(server *http.Server, w http.ResponseWriter)) (address string) {
	t.Helper()
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, event)           // the caller sees what is missing
		_ = http.NewResponseController(w).Flush() // as above
		end(server, w)
	})
	New(Options{Descriptors: 1, Timeouts: func() Timeouts { return longTimeouts }}).serve(t, server)
	return server.Addr
}

// serve serves with the guard until the test ends, and sets the server's address.
func (g *Guard) serve(t *testing.T, server *http.Server) {
	t.Helper()
	g.Attach(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server.Addr = listener.Addr().String()
	go func() { _ = server.Serve(g.Listener(listener)) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
}

// Guards against a response that breaks off and that a caller of HTTP/1.0 takes for complete,
// because the connection ends in order (checks MIXED and ORDER), and against one that is complete
// and whose connection is reset.
func TestResponseThatBreaksOff(t *testing.T) {
	for name, form := range map[string]struct {
		end   func(server *http.Server, w http.ResponseWriter)
		whole bool
	}{
		"whole":   {func(*http.Server, http.ResponseWriter) {}, true},
		"aborted": {func(*http.Server, http.ResponseWriter) { panic(http.ErrAbortHandler) }, false},
		"server closed": {func(server *http.Server, _ http.ResponseWriter) {
			_ = server.Close() // closes the connections, too
		}, false},
		"write timeout": {func(_ *http.Server, w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(-time.Second)) // a TCP connection supports it
			_, _ = io.WriteString(w, event)
		}, false},
		"caller does not read": {func(_ *http.Server, w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // as above
			_, _ = io.WriteString(w, strings.Repeat(event, 1<<20))
		}, false},
	} {
		for _, head := range []string{"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"} {
			conn, reader := dial(t, serveStreams(t, form.end), head)
			time.Sleep(200 * time.Millisecond)                        // the handler has ended before the caller reads
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // as above
			body, err := io.ReadAll(reader)
			switch {
			case form.whole && (err != nil || !strings.HasSuffix(string(body), event)):
				t.Errorf("%s, %q: %q, error %v; want the whole response", name, head, body, err)
			case !form.whole && !errors.Is(err, syscall.ECONNRESET):
				t.Errorf("%s, %q: %d bytes, error %v; want a reset connection", name, head, len(body), err)
			}
		}
	}
}

// Guards against the same if the server is closed while net/http still writes the end of a response
// whose handler has returned.
func TestResponseClosedAfterItsHandler(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	guarded := New(Options{Descriptors: 1, Timeouts: func() Timeouts { return longTimeouts }}).Listener(listener)
	go func() {
		defer listener.Close()
		if c, err := guarded.Accept(); err == nil {
			accepted <- c
		}
	}()
	_, reader := dial(t, listener.Addr().String(), "")
	c := (<-accepted).(*conn)
	c.unframed.begin(c)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20)) // more than the buffers hold
		written <- err
	}()
	time.Sleep(50 * time.Millisecond)
	c.unframed.handled.Store(true)
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-written; err == nil {
		t.Error("the response was written completely")
	}
	if n, err := io.Copy(io.Discard, reader); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%d bytes, error %v; want a reset connection", n, err)
	}
}

// Guards against a kept connection of HTTP/1.0 that is reset after its last complete response.
func TestKeptConnectionEndsInOrder(t *testing.T) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok") // the caller sees what is missing
	})}
	New(Options{Descriptors: 1, Timeouts: func() Timeouts { return longTimeouts }}).serve(t, server)
	request := "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
	conn, reader := dial(t, server.Addr, request)
	for range 2 {
		if got := status(t, reader); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
	}
	if got := status(t, reader); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("%q, error %v; want the end", rest, err)
	}
}

// Guards against a stream of HTTP/1.1 that breaks off and has its last chunk.
func TestChunkedResponseThatBreaksOff(t *testing.T) {
	address := serveStreams(t, func(*http.Server, http.ResponseWriter) { panic(http.ErrAbortHandler) })
	_, reader := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err == nil || string(body) != event {
		t.Errorf("body %q, error %v", body, err)
	}
}
