package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/liveness"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

const (
	uploads = 40
	// uploadBytes is more than the buffers of a connection hold, so that it is still being written
	// when the response arrives.
	uploadBytes = 4 << 20
	// bufferedUploadBytes is what the sender's buffer holds, but not the receiver's.
	bufferedUploadBytes = 1 << 20
	// stalledUploadBytes is more than the system's largest buffers hold.
	stalledUploadBytes = 32 << 20
	// maxEndDelay is the longest time between a response and the end of its connection.
	maxEndDelay = 20 * time.Millisecond
	unframed    = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: token 1\n\n"
)

// upload performs a call with a long body and returns the body of its response.
func upload(ctx context.Context, transport *Transport, address string, size int) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// endDelay spreads the ends of connections over maxEndDelay.
func endDelay(i int) time.Duration { return maxEndDelay * time.Duration(i) / (uploads - 1) }

// Guards against a part of a response that counts as whole because its connection failed while the
// request was still being written: a socket reports a failure once, and the writer may be the one
// that gets it (check MIXED).
func TestResponseCutUnderAnUpload(t *testing.T) {
	for name, form := range map[string]struct {
		ending stricthttptest.Ending
		bytes  int
	}{
		"reset":                   {stricthttptest.Reset, uploadBytes},
		"close with unread bytes": {stricthttptest.CloseUnread, uploadBytes},
		"half-close, then reset":  {stricthttptest.HalfCloseAndReset, stalledUploadBytes},
		"half-close, then reset, request in the buffers": {stricthttptest.HalfCloseAndReset, bufferedUploadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for i := range uploads {
				response := stricthttptest.EarlyResponse{Text: unframed, Delay: endDelay(i), Ending: form.ending}
				body, err := upload(t.Context(), newTransport(t), response.Serve(t), form.bytes)
				var malformed *stricthttp.MalformedError
				switch {
				case err == nil:
					whole++
				case errors.As(err, &malformed):
					t.Errorf("body %q, error %v, want a lost connection", body, err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d responses count as whole", whole, uploads)
			}
		})
	}
}

// Guards against the same after the system has given up on the connection because the upstream
// reads no more (TCP_USER_TIMEOUT).
func TestResponseBeforeAStalledUpload(t *testing.T) {
	const stalled, bound = 8, 20 * time.Second
	address := stricthttptest.EarlyResponse{Text: unframed, Ending: stricthttptest.StallUntil(t.Context(), false)}.Serve(t)
	transport := New(liveness.NewDialer(time.Second).DialContext, stalled, time.Minute)
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	var group conc.WaitGroup
	for range stalled {
		group.Go(func() {
			body, err := upload(ctx, transport, address, stalledUploadBytes)
			if err == nil || ctx.Err() != nil {
				t.Errorf("body %q, error %v, context %v; want a failure of the connection", body, err, ctx.Err())
			}
		})
	}
	group.Wait()
}

// Guards against rejecting a whole response of an upstream that had not read the request yet, and
// against closing the connection before the upstream has read it.
func TestResponseBeforeTheUploadIsRead(t *testing.T) {
	body := strings.TrimPrefix(unframed, "HTTP/1.1 200 OK\r\n\r\n")
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, form := range map[string]struct {
		text   string
		ending stricthttptest.Ending
	}{
		"read to its end":         {unframed, stricthttptest.ReadAndClose},
		"half-closed, read":       {unframed, stricthttptest.HalfCloseAndRead},
		"length, never read":      {framed, stricthttptest.StallUntil(t.Context(), false)},
		"length, read to its end": {framed, stricthttptest.ReadAndClose},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uploads {
				read := make(chan int64, 1)
				response := stricthttptest.EarlyResponse{Text: form.text, Delay: endDelay(i), Ending: stricthttptest.Counted(form.ending, read)}
				if got, err := upload(t.Context(), newTransport(t), response.Serve(t), uploadBytes); err != nil || got != body {
					t.Errorf("body %q, error %v", got, err)
				}
				if form.text != unframed {
					continue // the connection may be closed once the response is complete
				}
				if n := <-read; n != uploadBytes {
					t.Errorf("the upstream read %d bytes of %d", n, uploadBytes)
				}
			}
		})
	}
}

// Guards against a wait for the end of an upload that outlasts the call: its caller leaves or its
// deadline passes.
func TestWaitForTheUploadEndsWithItsContext(t *testing.T) {
	const ends, bound = 200 * time.Millisecond, 500 * time.Millisecond
	address := stricthttptest.EarlyResponse{Text: unframed, Ending: stricthttptest.StallUntil(t.Context(), true)}.Serve(t)
	for name, newContext := range map[string]func() (context.Context, context.CancelFunc){
		"deadline": func() (context.Context, context.CancelFunc) { return context.WithTimeout(t.Context(), ends) },
		"caller left": func() (context.Context, context.CancelFunc) {
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(ends, leave)
			return ctx, leave
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := newContext()
			defer cancel()
			began := time.Now()
			body, err := upload(ctx, newTransport(t), address, stalledUploadBytes)
			if took := time.Since(began); !errors.Is(err, ctx.Err()) || err == nil || took > ends+bound {
				t.Errorf("body %q, error %v after %v", body, err, took)
			}
		})
	}
}

// Guards against a wait for the end of an upload that closing the response's body does not end.
func TestWaitForTheUploadEndsWithTheBody(t *testing.T) {
	address := stricthttptest.EarlyResponse{Text: unframed, Ending: stricthttptest.StallUntil(t.Context(), true)}.Serve(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, stalledUploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := newTransport(t).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, response.Body)
		read <- err
	}()
	time.Sleep(50 * time.Millisecond) // the read has met the end of the response by then
	_ = response.Body.Close()         // the outcome shows in the read
	select {
	case err := <-read:
		if err == nil {
			t.Error("the response counts as whole")
		}
	case <-time.After(time.Second):
		t.Error("the read goes on")
	}
}

// Guards against a malformed response that counts as a lost connection, that is, as a possible
// crash, because closing its connection cuts off the upload.
func TestMalformedResponseBeforeAStalledUpload(t *testing.T) {
	for name, text := range (stricthttptest.Response{Body: "whole"}).Malformed() {
		address := stricthttptest.EarlyResponse{Text: text, Ending: stricthttptest.StallUntil(t.Context(), false)}.Serve(t)
		body, err := upload(t.Context(), newTransport(t), address, stalledUploadBytes)
		var malformed *stricthttp.MalformedError
		if !errors.As(err, &malformed) {
			t.Errorf("%s: body %q, error %v; want a MalformedError", name, body, err)
		}
	}
}
