package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

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

func uploadRequest(address string, bytes int) *Request {
	return &Request{Key: "u1", Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, bytes)}
}

// upload sends a long request and reads its response.
func upload(ctx context.Context, address string, bytes int) (string, error) {
	response, err := NewPool().Do(ctx, uploadRequest(address, bytes))
	if err != nil {
		return "", err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	return string(data), err
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
				body, err := upload(t.Context(), response.Serve(t), form.bytes)
				var incomplete *IncompleteResponseError
				switch {
				case err == nil:
					whole++
				case !errors.As(err, &incomplete):
					t.Errorf("body %q, error %v, want an IncompleteResponseError", body, err)
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
	const stalled = 8
	address := stricthttptest.EarlyResponse{Text: unframed, Ending: stricthttptest.StallUntil(t.Context(), false)}.Serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*userTimeout)
	defer cancel()
	var group conc.WaitGroup
	for range stalled {
		group.Go(func() {
			body, err := upload(ctx, address, stalledUploadBytes)
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
		"length, reset":           {framed, stricthttptest.Reset},
		"length, unread":          {framed, stricthttptest.CloseUnread},
		"length, never read":      {framed, stricthttptest.StallUntil(t.Context(), false)},
		"length, read to its end": {framed, stricthttptest.ReadAndClose},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uploads {
				read := make(chan int64, 1)
				response := stricthttptest.EarlyResponse{Text: form.text, Delay: endDelay(i), Ending: stricthttptest.Counted(form.ending, read)}
				if got, err := upload(t.Context(), response.Serve(t), uploadBytes); err != nil || got != body {
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

// Guards against a wait for the end of an upload that outlasts the request: its caller leaves or
// its deadline passes.
func TestWaitForTheUploadEndsWithItsContext(t *testing.T) {
	const ends, bound = 200 * time.Millisecond, 500 * time.Millisecond // the system gives up later
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
			body, err := upload(ctx, address, stalledUploadBytes)
			if took := time.Since(began); err == nil || took > ends+bound {
				t.Errorf("body %q, error %v after %v", body, err, took)
			}
		})
	}
}

// Guards against the same where the rest of a response is discarded.
func TestDiscardDoesNotWaitForTheUpload(t *testing.T) {
	address := stricthttptest.EarlyResponse{Text: unframed, Ending: stricthttptest.StallUntil(t.Context(), true)}.Serve(t)
	response, err := NewPool().Do(t.Context(), uploadRequest(address, stalledUploadBytes))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	began := time.Now()
	err = response.Discard()
	if took := time.Since(began); err != nil || took > 10*discardTimeout {
		t.Errorf("error %v after %v", err, took)
	}
}
