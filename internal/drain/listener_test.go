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

// Guards against resetting connections that wait to be accepted when their listener is
// closed.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := Wrap(inner)
	const callers = 20
	for i := range callers {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatalf("caller %d: %v", i, err)
		}
		defer conn.Close()
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * settleTime) // the deadline has passed before the first Accept
	accepted := 0
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := conn.(*net.TCPConn); !ok {
			t.Errorf("connection of type %T", conn)
		}
		defer conn.Close()
		accepted++
	}
	if accepted != callers {
		t.Errorf("%d of %d waiting connections accepted", accepted, callers)
	}
	if _, err := net.DialTimeout("tcp", inner.Addr().String(), time.Second); err == nil {
		t.Error("the listener is still open")
	}
}

// Guards against a server that does not stop, or answers nothing, with such a listener.
func TestServerStops(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	served := make(chan error, 1)
	go func() { served <- server.Serve(Wrap(inner)) }()
	response, err := http.Get("http://" + inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("serve: %v", err)
	}
}
