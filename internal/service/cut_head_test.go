package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an empty or short response, complete to the caller, of a worker that
// stopped in the middle of the head.
func TestResponseCutInItsHead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	lengths := make(chan int, 1)
	head := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": cut\r\nContent-Length: 5\r\n\r\n"
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test ends
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_ = request.Body.Close()
				_, _ = io.WriteString(conn, head[:<-lengths])
			}
			_ = conn.Close()
		}
	}()
	client := NewClient("credential", &net.Dialer{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for length := 1; length <= len(head); length++ {
		lengths <- length
		response, err := client.Do(ctx, listener.Addr().String(), &Call{ID: "cut", Method: http.MethodPost, Path: fmt.Sprintf("/%d", length)})
		if err == nil {
			t.Fatalf("cut after %d of %d bytes of the head: status %d, body %q", length, len(head), response.Status, response.Body)
		}
	}
}
