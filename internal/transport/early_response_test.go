package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/liveness"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
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

// Guards against a part of a response that counts as whole because its connection failed while the
// request was still being written: a socket reports a failure once, and the writer may be the one
// that gets it (check MIXED).
func TestResponseCutUnderAnUpload(t *testing.T) {
	for name, form := range stricthttptest.CutForms() {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for i := range stricthttptest.Uploads {
				body, err := upload(t.Context(), newTransport(t), form.Response(i).Serve(t), form.UploadBytes)
				var malformed *stricthttp.MalformedError
				switch {
				case err == nil:
					whole++
				case errors.As(err, &malformed):
					t.Errorf("body %q, error %v, want a lost connection", body, err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d responses count as whole", whole, stricthttptest.Uploads)
			}
		})
	}
}

// Guards against the same after the system has given up on the connection because the upstream
// reads no more (TCP_USER_TIMEOUT).
func TestResponseBeforeAStalledUpload(t *testing.T) {
	const stalled, bound = 8, 20 * time.Second
	address := stricthttptest.EarlyResponse{Text: stricthttptest.Unframed, Ending: stricthttptest.StallUntil(t.Context(), false)}.Serve(t)
	transport := New(liveness.NewDialer(time.Second).DialContext, stalled, time.Minute)
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	var group conc.WaitGroup
	for range stalled {
		group.Go(func() {
			body, err := upload(ctx, transport, address, stricthttptest.StalledUploadBytes)
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
	for name, form := range stricthttptest.WholeForms(t.Context()) {
		t.Run(name, func(t *testing.T) {
			for i := range stricthttptest.Uploads {
				read := make(chan int64, 1)
				response := form.Response(i)
				response.Ending = stricthttptest.Counted(form.Ending, read)
				if got, err := upload(t.Context(), newTransport(t), response.Serve(t), form.UploadBytes); err != nil || got != stricthttptest.EarlyBody {
					t.Errorf("body %q, error %v", got, err)
				}
				if !form.Unframed() {
					continue // the connection may be closed once the response is complete
				}
				if n := <-read; n != int64(form.UploadBytes) {
					t.Errorf("the upstream read %d bytes of %d", n, form.UploadBytes)
				}
			}
		})
	}
}

// Guards against a wait for the end of an upload that outlasts the call: its caller leaves or its
// deadline passes.
func TestWaitForTheUploadEndsWithItsContext(t *testing.T) {
	const ends, bound = 200 * time.Millisecond, 500 * time.Millisecond
	address := stricthttptest.EarlyResponse{Text: stricthttptest.Unframed, Ending: stricthttptest.StallUntil(t.Context(), true)}.Serve(t)
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
			body, err := upload(ctx, newTransport(t), address, stricthttptest.StalledUploadBytes)
			if took := time.Since(began); !errors.Is(err, ctx.Err()) || err == nil || took > ends+bound {
				t.Errorf("body %q, error %v after %v", body, err, took)
			}
		})
	}
}

// Guards against a wait for the end of an upload that closing the response's body does not end.
func TestWaitForTheUploadEndsWithTheBody(t *testing.T) {
	address := stricthttptest.EarlyResponse{Text: stricthttptest.Unframed, Ending: stricthttptest.StallUntil(t.Context(), true)}.Serve(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, stricthttptest.StalledUploadBytes)))
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
		body, err := upload(t.Context(), newTransport(t), address, stricthttptest.StalledUploadBytes)
		var malformed *stricthttp.MalformedError
		if !errors.As(err, &malformed) {
			t.Errorf("%s: body %q, error %v; want a MalformedError", name, body, err)
		}
	}
}
