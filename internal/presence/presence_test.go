package presence

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/presence/presencetest"
)

// connect returns both ends of a TCP connection on loopback.
func connect(t *testing.T) (caller, host *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against work for callers that had left (GONE): each way to leave is seen, also
// behind bytes that nobody has read.
func TestLeftSeesEachWayToLeave(t *testing.T) {
	for name, leave := range presencetest.WaysToLeave() {
		for _, unread := range []string{"", "request that is not read"} {
			t.Run(name+"/"+unread, func(t *testing.T) { testLeft(t, leave, unread) })
		}
	}
}

func testLeft(t *testing.T, leave func(*net.TCPConn) error, unread string) {
	caller, host := connect(t)
	ctx := watchedContext(t, host)
	if _, err := io.WriteString(caller, unread); err != nil {
		t.Fatal(err)
	}
	if Left(ctx) {
		t.Fatal("a connected caller counts as left")
	}
	if err := leave(caller); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(2 * time.Second)
	for !Left(ctx) {
		if time.Now().After(deadline) {
			t.Fatal("the caller's leaving is not seen")
		}
		time.Sleep(time.Millisecond)
	}
	var left *LeftError
	if !errors.As(context.Cause(ctx), &left) {
		t.Errorf("the context's cause is %v, want a LeftError", context.Cause(ctx))
	}
}

// watchedContext returns the context of a request on a connection, which ends with the
// test.
func watchedContext(t *testing.T, host net.Conn) context.Context {
	t.Helper()
	contexts := make(chan context.Context)
	handler := newWatcher().handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		contexts <- r.Context()
		<-t.Context().Done()
	}))
	r := httptest.NewRequestWithContext(connContext(context.Background(), host), http.MethodGet, "/", nil)
	go handler.ServeHTTP(httptest.NewRecorder(), r)
	return <-contexts
}

// A caller that nobody looks at is noticed within half a second, also behind bytes after
// which net/http no longer reads.
func TestWatcherNoticesWithinHalfASecond(t *testing.T) {
	for name, leave := range presencetest.WaysToLeave() {
		t.Run(name, func(t *testing.T) {
			caller, host := connect(t)
			ctx := watchedContext(t, host)
			if _, err := io.WriteString(caller, "further bytes"); err != nil {
				t.Fatal(err)
			}
			if err := leave(caller); err != nil {
				t.Fatal(err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
				t.Error("the context has not ended")
			}
		})
	}
}

func TestLeftWithoutConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	if Left(ctx) {
		t.Error("a request without a connection counts as left")
	}
	cancel()
	if !Left(ctx) {
		t.Error("a request whose context has ended does not count as left")
	}
}

func TestLeftAfterOwnClose(t *testing.T) {
	_, host := connect(t)
	ctx := watchedContext(t, host)
	if err := host.Close(); err != nil {
		t.Fatal(err)
	}
	if !Left(ctx) {
		t.Error("a connection that this side closed does not count as left")
	}
}
