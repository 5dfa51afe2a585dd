package upstream

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// maxUnendingMemory bounds what one response header may make this side allocate, in
	// bytes: the smallest hosts have 184 MB for some 100 requests at a time.
	maxUnendingMemory = 1 << 20
	// maxUnendingTime bounds the time until bytes without end are recognised.
	maxUnendingTime = time.Second
)

// Guards against an upstream that sends bytes without end where a response header is
// due: memory grew until the deadline, 1.1 GB in 2 s.
func TestHeaderWithoutEnd(t *testing.T) {
	filler := strings.Repeat("filler ", 1<<10)
	for name, text := range map[string]struct{ start, repeated string }{
		"no status line":  {"", filler},
		"one long field":  {"HTTP/1.1 200 OK\r\nX-Long: ", filler},
		"many fields":     {"HTTP/1.1 200 OK\r\n", "X-Field: " + filler[:100] + "\r\n"},
		"interim headers": {"", "HTTP/1.1 103 Early Hints\r\nLink: " + filler[:100] + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) { testHeaderWithoutEnd(t, text.start, text.repeated) })
	}
}

func testHeaderWithoutEnd(t *testing.T, start, repeated string) {
	closed := make(chan struct{})
	block := []byte(repeated)
	address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		defer close(closed)
		discardRequest(requests)
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block) // allocates nothing, as the test counts allocations
		}
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	_, _, err := send(t, NewPool(), address, "b")
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	if err == nil || took > maxUnendingTime {
		t.Errorf("error %v after %v, want one within %v", err, took, maxUnendingTime)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxUnendingMemory {
		t.Errorf("%d bytes were allocated, want at most %d", allocated, maxUnendingMemory)
	}
	select {
	case <-closed:
	case <-time.After(maxUnendingTime):
		t.Error("the connection was not closed")
	}
}
