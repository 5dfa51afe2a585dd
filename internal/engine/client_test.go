package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts an HTTP server and returns a client of it.
func serve(t testing.TB, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := NewClient(server.Listener.Addr().String())
	t.Cleanup(func() { client.Close(); server.Close() })
	return client
}

// echoID copies the request ID to the response, as engines do.
func echoID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
}

func call(id string) Call {
	return Call{Path: "/v1/completions", Body: []byte(`{"model":"m"}`), RequestID: id, Credential: "system"}
}

// readAll returns the data of all events and the final error.
func readAll(stream *Stream) (string, error) {
	var all strings.Builder
	for {
		data, err := stream.Next()
		if err != nil {
			return all.String(), err
		}
		all.Write(data)
		all.WriteByte('|')
	}
}

// Guards against a truncated stream being reported as complete, and against events
// that are lost or changed at buffer boundaries.
func TestStream(t *testing.T) {
	long := strings.Repeat("x", 3*streamBufferBytes)
	cases := []struct {
		name, body, want string
		complete         bool
	}{
		{"events", "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n", "a|b|", true},
		{"comments", ": ping\nevent: x\ndata:a\n\ndata: [DONE]\n\n", "a|", true},
		{"long", "data: " + long + "\n\ndata: [DONE]\n\n", long + "|", true},
		{"cut between events", "data: a\n\n", "a|", false},
		{"cut within an event", "data: a\n\ndata: b", "a|", false},
		{"empty", "", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				echoID(w, r)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, c.body)
			})
			stream, err := client.Infer(context.Background(), call("r1"))
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			got, err := readAll(stream)
			var interrupted *InterruptedError
			if got != c.want || (err == io.EOF) != c.complete || errors.As(err, &interrupted) == c.complete {
				t.Fatalf("got %q and %v, want %q, complete %v", got, err, c.want, c.complete)
			}
		})
	}
}

// Guards against a truncated unary response being reported as complete.
func TestTruncatedUnaryResponse(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
	})
	stream, err := client.Infer(context.Background(), call("r1"))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var interrupted *InterruptedError
	if _, err := stream.Next(); !errors.As(err, &interrupted) {
		t.Fatalf("got %v", err)
	}
}

// Guards against returning another request's response, and against reporting a
// request as not run although the engine may have run it.
func TestResponseChecks(t *testing.T) {
	cases := []struct {
		name     string
		id       string
		status   int
		body     string
		mismatch bool
		notRun   bool
	}{
		{"other request", "r2", 200, "{}", true, false},
		{"no ID", "", 200, "{}", true, false},
		{"refusal of another request", "r2", 409, `{"reason":"not_loaded"}`, true, false},
		{"not loaded", "r1", 409, `{"reason":"not_loaded"}`, false, true},
		{"other conflict", "r1", 409, `{"reason":"x"}`, false, false},
		{"draining", "r1", 503, ``, false, true},
		{"refusal that names no request", "", 503, ``, false, false},
		{"not loaded, names no request", "", 409, `{"reason":"not_loaded"}`, false, false},
		{"failed", "r1", 500, ``, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.id != "" {
					w.Header().Set(HeaderRequestID, c.id)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			_, err := client.Infer(context.Background(), call("r1"))
			var mismatch *MismatchError
			var refused *RefusedError
			if errors.As(err, &mismatch) != c.mismatch {
				t.Fatalf("got %v", err)
			}
			if errors.As(err, &refused) == c.mismatch || (refused != nil && refused.NotRun() != c.notRun) {
				t.Fatalf("got %v, want not run %v", err, c.notRun)
			}
		})
	}
}

// Guards against reporting an order as not sent although it may have arrived, and
// against losing the reason of a refusal.
func TestOrderOutcomes(t *testing.T) {
	respond := func(status int, reason string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(OrderRefusal{Reason: reason, Fence: 7})
		}
	}
	var stale *StaleFenceError
	var memory *NoMemoryError
	var draining *DrainingError
	var unknown *UnknownOutcomeError
	cases := map[string]struct {
		handler http.HandlerFunc
		target  any
	}{
		"stale":    {respond(409, RefusalStaleFence), &stale},
		"memory":   {respond(409, RefusalNoMemory), &memory},
		"draining": {respond(503, RefusalDraining), &draining},
		"other":    {respond(500, "x"), &unknown},
		"aborted":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, &unknown},
		"silent": {func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, &unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := serve(t, c.handler).Order(context.Background(), Order{Kind: OrderLoad})
			if !errors.As(err, c.target) {
				t.Fatalf("got %v", err)
			}
		})
	}
	if stale.Fence != 7 {
		t.Fatalf("got fence %d", stale.Fence)
	}
}

// Guards against reporting that a call may have run when the connection to the
// engine was refused.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	client := NewClient(address)
	var notSent *NotSentError
	if err := client.Order(context.Background(), Order{}); !errors.As(err, &notSent) {
		t.Fatalf("order: got %v", err)
	}
	if _, err := client.Infer(context.Background(), call("r1")); !errors.As(err, &notSent) {
		t.Fatalf("infer: got %v", err)
	}
}

// Guards against the HTTP transport repeating an inference call on its own after
// the engine has received it.
func TestTransportDoesNotRetry(t *testing.T) {
	var calls atomic.Int32
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		echoID(w, r)
		_, _ = io.WriteString(w, "{}")
	})
	for i := range 2 {
		stream, err := client.Infer(context.Background(), call("r1"))
		var unknown *UnknownOutcomeError
		if i == 1 && !errors.As(err, &unknown) {
			t.Fatalf("got %v", err)
		}
		if i == 0 {
			_, _ = readAll(stream)
			stream.Close()
		}
	}
	if calls.Load() != 2 {
		t.Fatalf("%d calls, want 2", calls.Load())
	}
}

// Guards against opening a connection for each request, which costs more than the
// request itself.
func TestConnectionsAreReused(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: a\n\ndata: [DONE]\n\n")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(server.Listener.Addr().String())
	defer client.Close()
	for i := range 20 {
		stream, err := client.Infer(context.Background(), call(fmt.Sprint(i)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readAll(stream); err != io.EOF {
			t.Fatal(err)
		}
		stream.Close()
	}
	if connections.Load() != 1 {
		t.Fatalf("%d connections, want 1", connections.Load())
	}
}

// BenchmarkInferUnary measures client and server together over loopback.
func BenchmarkInferUnary(b *testing.B) {
	body := []byte(strings.Repeat("x", 500))
	client := serve(b, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		echoID(w, r)
		_, _ = w.Write(body)
	})
	b.SetParallelism(8)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			stream, err := client.Infer(context.Background(), call("r1"))
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := stream.Next(); err != nil {
				b.Error(err)
			}
			stream.Close()
		}
	})
}

// BenchmarkStreamEvent measures one event of a stream.
func BenchmarkStreamEvent(b *testing.B) {
	event := []byte("data: " + strings.Repeat("x", 200) + "\n\n")
	client := serve(b, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stream, err := client.Infer(ctx, call("r1"))
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
