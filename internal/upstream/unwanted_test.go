package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against sending a request whose context has ended (GONE): on a kept connection
// the request was written before the end of the context closed the connection.
func TestRequestWithEndedContextIsNotSent(t *testing.T) {
	var received atomic.Int32
	address := newRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for discardRequest(requests) {
			received.Add(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=50\r\n\r\nok")
		}
	})
	pool := NewPool()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	const tries = 200
	for range tries {
		if _, _, err := send(t, pool, address, "b"); err != nil { // leaves a kept connection
			t.Fatal(err)
		}
		response, err := pool.Do(ended, &Request{Key: "u1", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("b")})
		if err == nil {
			response.Close()
			t.Fatal("a request with an ended context was answered")
		}
	}
	time.Sleep(50 * time.Millisecond)
	if unwanted := received.Load() - tries; unwanted != 0 {
		t.Errorf("%d of %d requests with an ended context reached the upstream", unwanted, tries)
	}
}
