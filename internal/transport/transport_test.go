package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

func newTransport(t *testing.T) *Transport {
	transport := New((&net.Dialer{}).DialContext, 8, time.Minute)
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// get performs one call and returns its body.
func get(transport *Transport, address string, header http.Header) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return call(ctx, transport, address, header)
}

func call(ctx context.Context, transport *Transport, address string, header http.Header) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, nil)
	if err != nil {
		return "", err
	}
	request.Header = header
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against malformed responses that callers of the transport get, on a new connection and
// on a kept one, and against repeating a call that got one: it may have run. The transport
// repeats calls with an idempotency key whose kept connection was closed.
func TestMalformedResponses(t *testing.T) {
	sound := stricthttptest.Response{Fields: "X-Even: 1\r\n", Body: "whole"}
	variants := sound.Malformed()
	variants["first byte"] = "\n\n"
	for name, text := range variants {
		for _, kept := range []bool{false, true} {
			transport := newTransport(t)
			var soundFirst atomic.Bool
			var sent atomic.Int64
			soundFirst.Store(kept)
			address := stricthttptest.Serve(t, func(*http.Request) string {
				if soundFirst.Swap(false) {
					return sound.Sound()
				}
				sent.Add(1)
				return text
			})
			if kept {
				if body, err := get(transport, address, http.Header{}); err != nil || body != sound.Body {
					t.Fatalf("sound response: body %q, %v", body, err)
				}
			}
			body, err := get(transport, address, http.Header{"Idempotency-Key": {"1"}})
			var malformed *stricthttp.MalformedError
			if !errors.As(err, &malformed) {
				t.Errorf("%s, kept connection %v: body %q, error %v; want a MalformedError", name, kept, body, err)
			}
			if sent.Load() != 1 {
				t.Errorf("%s, kept connection %v: sent %d times", name, kept, sent.Load())
			}
		}
	}
}

// Guards against a lost connection, that is, a possible crash, that counts as a malformed response.
func TestCutResponses(t *testing.T) {
	sound := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\nX-Even: 1\r\n\r\n"
	for length := range len(sound) {
		address := stricthttptest.Serve(t, func(*http.Request) string { return sound[:length] + stricthttptest.Cut })
		body, err := get(newTransport(t), address, http.Header{})
		var malformed *stricthttp.MalformedError
		if err == nil || errors.As(err, &malformed) {
			t.Errorf("%q: body %q, error %v", sound[:length], body, err)
		}
	}
}

// Guards against a call whose time ended that counts as one with a malformed response.
func TestUnfinishedResponses(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n"} {
		address := stricthttptest.Serve(t, func(*http.Request) string { return text })
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if body, err := call(ctx, newTransport(t), address, http.Header{}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%q: body %q, error %v", text, body, err)
		}
	}
}

// Guards against a call that http.Transport sends again although it may have run (check TWICE): one
// without a body that is safe or has an idempotency key, if its kept connection is closed.
func TestSendOnce(t *testing.T) {
	const kept = 4 // connections, so that others are idle when one is closed
	var arrived atomic.Int64
	var closing atomic.Bool
	var together sync.WaitGroup
	together.Add(kept)
	address := stricthttptest.Serve(t, func(*http.Request) string {
		if closing.Load() {
			arrived.Add(1)
			return stricthttptest.Cut
		}
		together.Done()
		together.Wait() // so that each call has a connection of its own
		return stricthttptest.Response{Body: "whole"}.Sound()
	})
	transport := newTransport(t)
	transport.SendOnce = true
	var group sync.WaitGroup
	for range kept {
		group.Go(func() {
			if _, err := get(transport, address, http.Header{}); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	closing.Store(true)
	for i := range int64(kept) {
		body, err := get(transport, address, http.Header{"Idempotency-Key": {"1"}})
		var malformed *stricthttp.MalformedError
		if err == nil || errors.As(err, &malformed) {
			t.Errorf("body %q, error %v; want a lost connection", body, err)
		}
		if arrived.Load() != i+1 {
			t.Fatalf("%d calls arrived %d times", i+1, arrived.Load())
		}
	}
}

// Guards against sound responses that are rejected because their connections are used again
// at once, as those without a body are.
func TestSoundResponsesOnSharedConnections(t *testing.T) {
	const callers, calls = 8, 200
	transport := newTransport(t)
	address := stricthttptest.Serve(t, func(*http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 No Content\r\nX-Even: 1\r\n\r\n"
	})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls {
				if _, err := get(transport, address, http.Header{}); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}
