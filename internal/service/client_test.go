package service

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// repeatingServer serves calls and writes the previous response on a connection once more,
// after the next request has arrived there.
func repeatingServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test ends
			}
			go func() {
				defer conn.Close()
				previous, reader := "", bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return // the client disconnected
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					id := request.Header.Get(headerRequestID)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerRequestID, id, len(id), id)
					fmt.Fprint(conn, previous, answer)
					previous = answer
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a response that a worker sends again, late, on a kept connection and that
// the next caller gets as its own.
func TestRepeatedResponseIsNotUsed(t *testing.T) {
	client := NewClient("credential", &net.Dialer{})
	address := repeatingServer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	mismatches := 0
	for i := range 6 {
		id := fmt.Sprintf("call-%d", i)
		response, err := client.Do(ctx, address, &Call{ID: id, Method: http.MethodPost, Path: "/x"})
		var mismatch *MismatchError
		var interrupted *InterruptedError
		switch {
		case err == nil && string(response.Body) != id:
			t.Errorf("%s got the response %q", id, response.Body)
		case errors.As(err, &mismatch):
			mismatches++
			if !errors.As(err, &interrupted) {
				t.Errorf("%s: %v does not say that the call may have run", id, err)
			}
		case err != nil:
			t.Error(err)
		}
	}
	if mismatches == 0 {
		t.Error("no response was repeated")
	}
}

// Guards against a call that runs twice (check TWICE) because the worker closes a kept connection
// on which the call has arrived: http.Transport sends some calls again by itself.
func TestCallIsSentOnce(t *testing.T) {
	for _, sent := range []Call{{Method: http.MethodPost}, {Method: http.MethodGet}, {Method: http.MethodPost, Body: []byte("body")}} {
		sent.ID, sent.Path, sent.IdempotencyKey = "1", "/x", "k1"
		var arrived atomic.Int64
		address := stricthttptest.Serve(t, func(request *http.Request) string {
			if arrived.Add(1) > 1 {
				return stricthttptest.Cut
			}
			return stricthttptest.Response{Body: "first"}.Sound()
		})
		client := NewClient("credential", &net.Dialer{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := client.Do(ctx, address, &sent); err != nil {
			t.Fatal(err)
		}
		sent.ID, sent.IdempotencyKey = "2", "k2"
		var interrupted *InterruptedError
		if _, err := client.Do(ctx, address, &sent); !errors.As(err, &interrupted) {
			t.Errorf("%s %q: error %v, want an InterruptedError", sent.Method, sent.Body, err)
		}
		if arrived.Load() != 2 {
			t.Errorf("%s %q: 2 calls arrived %d times", sent.Method, sent.Body, arrived.Load())
		}
	}
}
