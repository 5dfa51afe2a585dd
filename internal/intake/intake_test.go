package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newServer serves with a guard for little memory and few connections. The handler reads the
// body and answers with its length.
func newServer(t *testing.T, memory int64, timeouts Timeouts) (*Guard, string) {
	t.Helper()
	g := New(Options{Memory: memory, Descriptors: 1, Timeouts: func() Timeouts { return timeouts }})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, 1<<20)
		if err == nil {
			fmt.Fprint(w, len(body))
			return
		}
		status := http.StatusServiceUnavailable
		var tooLarge *TooLargeError
		var stalled *StalledError
		switch {
		case errors.As(err, &tooLarge):
			status = http.StatusRequestEntityTooLarge
		case errors.As(err, &stalled):
			status = http.StatusRequestTimeout
		}
		Abandon(w, r)
		w.WriteHeader(status)
	})}
	g.Attach(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(g.Listener(listener)) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
	return g, listener.Addr().String()
}

func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // a TCP connection supports it
	_, _ = io.WriteString(conn, text)                      // a refusal may come first
	return conn, bufio.NewReader(conn)
}

func status(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("no response: %v", err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // a few bytes
	_ = response.Body.Close()                 // as above
	if response.StatusCode != http.StatusOK && !response.Close {
		t.Errorf("status %d leaves the connection open", response.StatusCode)
	}
	return response.StatusCode
}

var longTimeouts = Timeouts{Head: time.Minute, Idle: time.Minute}

func head(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against a refusal that waits for the rest of a body, or that its caller can't read
// because the connection was reset.
func TestTooLargeBodyIsRefusedAtOnce(t *testing.T) {
	_, address := newServer(t, 0, longTimeouts)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 600<<10, strings.Repeat("x", 600<<10))
	for name, text := range map[string]string{
		"announced": head(2<<20) + strings.Repeat("x", 100<<10),
		"chunked":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk,
	} {
		_, reader := dial(t, address, text)
		if got := status(t, reader); got != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: status %d", name, got)
		}
	}
}

// Guards against bodies that keep the memory of others: the longest stalled is refused with
// 408, and its memory serves the next.
func TestStalledBodyGivesWay(t *testing.T) {
	g, address := newServer(t, 12<<20, longTimeouts)
	var stalled []*bufio.Reader
	for range 3 { // 1.7 MB are for one source
		_, reader := dial(t, address, head(1<<20)+strings.Repeat("x", 500<<10))
		stalled = append(stalled, reader)
	}
	time.Sleep(2 * bodyGrace)
	_, reader := dial(t, address, head(700<<10)+strings.Repeat("x", 700<<10))
	if got := status(t, reader); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	if got := status(t, stalled[0]); got != http.StatusRequestTimeout {
		t.Errorf("longest stalled body: status %d, want 408", got)
	}
	if used := g.connections.Load(); used == 0 {
		t.Error("no connection is counted")
	}
}

// Guards against idle connections and incomplete heads that keep others from connecting, and
// against running a request whose connection was given up.
func TestConnectionsGiveWay(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "head": "POST / HTTP/1.1\r\nX-", "idle": head(1) + "x"} {
		t.Run(name, func(t *testing.T) {
			_, address := newServer(t, 0, longTimeouts)
			var first *bufio.Reader
			for i := range minConnections * 9 / 10 { // the part of one source
				_, reader := dial(t, address, text)
				if name == "idle" && status(t, reader) != http.StatusOK {
					t.Fatalf("connection %d is not served", i)
				}
				if first == nil {
					first = reader
					time.Sleep(50 * time.Millisecond) // the others wait less
				}
			}
			_, early := dial(t, address, head(1)+"x")
			if got := status(t, early); got != http.StatusServiceUnavailable {
				t.Errorf("at the limit: status %d, want 503", got)
			}
			time.Sleep(idleGrace + 500*time.Millisecond)
			_, late := dial(t, address, head(1)+"x")
			if got := status(t, late); got != http.StatusOK {
				t.Errorf("beside stalled connections: status %d, want 200", got)
			}
			if got := status(t, first); got != http.StatusRequestTimeout {
				t.Errorf("longest waiting connection: status %d, want 408", got)
			}
		})
	}
}

// Guards against timeouts of the configuration that are not applied, and a head's that ends a
// request in progress.
func TestTimeouts(t *testing.T) {
	_, address := newServer(t, 0, Timeouts{Head: 300 * time.Millisecond, Idle: 600 * time.Millisecond})
	_, reader := dial(t, address, "POST / HTTP/1.1\r\nX-Part: x")
	if text, err := reader.ReadString('\n'); !errors.Is(err, io.EOF) {
		t.Errorf("incomplete head: %q, %v, want the end of the connection", text, err)
	}
	conn, reader := dial(t, address, head(2)+"x")
	time.Sleep(500 * time.Millisecond)
	_, _ = io.WriteString(conn, "x") // the status shows whether it arrived
	if got := status(t, reader); got != http.StatusOK {
		t.Errorf("slow body: status %d", got)
	}
	time.Sleep(300 * time.Millisecond)
	_, _ = io.WriteString(conn, head(1)+"x") // as above
	if got := status(t, reader); got != http.StatusOK {
		t.Errorf("reused connection: status %d", got)
	}
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want its end", err)
	}
}

// Guards against responses that take the host's memory together: small ones are read even when
// large ones have used it up, and the memory is returned.
func TestResponsesShareABudget(t *testing.T) {
	g := New(Options{Memory: 8 << 20, Timeouts: func() Timeouts { return longTimeouts }})
	e := &Exchange{guard: g, conn: &conn{guard: g}}
	large := strings.Repeat("x", 700<<10)
	read := func(text string) (*Buffer, error) {
		b := e.Response(8 << 20)
		return b, b.Read(t.Context(), strings.NewReader(text), -1)
	}
	first, err := read(large)
	if err != nil {
		t.Fatal(err)
	}
	second, err := read(large)
	var full *NoMemoryError
	if !errors.As(err, &full) {
		t.Errorf("second large response: error %v, want a NoMemoryError", err)
	}
	second.Close()
	if _, err := read(strings.Repeat("x", 50<<10)); err != nil {
		t.Errorf("small response: %v", err)
	}
	first.Close()
	if _, err := read(large); err != nil {
		t.Errorf("large response after the first was freed: %v", err)
	}
	e.close()
	if used := g.budget.Used(1); used != 0 {
		t.Errorf("%d bytes were not returned", used)
	}
}
