package drain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against closing a connection without an answer because its request is read after
// the stop has begun: the caller opened it before.
func TestRequestReadAfterTheStopIsAnswered(t *testing.T) {
	listener, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	connections := Track(server)
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- connections.Stop(ctx, server, listener, served) }()
	time.Sleep(100 * time.Millisecond)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil || len(answer) == 0 {
		t.Errorf("answer %q, %v", answer, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that never ends because of a request that does not.
func TestStopEndsWithItsContext(t *testing.T) {
	listener, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	block := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block })}
	connections := Track(server)
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_ = response.Body.Close() // the answer is not looked at
		}
	}()
	for connections.inUse(time.Now()) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if err := connections.Stop(ctx, server, listener, served); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want the end of the context", err)
	}
	close(block)
	_ = server.Close() // the test ends
}
