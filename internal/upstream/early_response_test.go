package upstream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
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

// Guards against a part of a response that counts as whole because its connection failed while the
// request was still being written: a socket reports a failure once, and the writer may be the one
// that gets it (check MIXED).
func TestResponseCutUnderAnUpload(t *testing.T) {
	for name, form := range stricthttptest.CutForms() {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for i := range stricthttptest.Uploads {
				body, err := upload(t.Context(), form.Response(i).Serve(t), form.UploadBytes)
				var incomplete *IncompleteResponseError
				switch {
				case err == nil:
					whole++
				case !errors.As(err, &incomplete):
					t.Errorf("body %q, error %v, want an IncompleteResponseError", body, err)
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
	const stalled = 8
	address := stricthttptest.EarlyResponse{Text: stricthttptest.Unframed, Ending: stricthttptest.StallUntil(t.Context(), false)}.Serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*userTimeout)
	defer cancel()
	var group conc.WaitGroup
	for range stalled {
		group.Go(func() {
			body, err := upload(ctx, address, stricthttptest.StalledUploadBytes)
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
	forms := stricthttptest.WholeForms(t.Context())
	maps.Copy(forms, stricthttptest.WholeThenReset())
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			for i := range stricthttptest.Uploads {
				read := make(chan int64, 1)
				response := form.Response(i)
				response.Ending = stricthttptest.Counted(form.Ending, read)
				if got, err := upload(t.Context(), response.Serve(t), form.UploadBytes); err != nil || got != stricthttptest.EarlyBody {
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

// Guards against a wait for the end of an upload that outlasts the request: its caller leaves or
// its deadline passes.
func TestWaitForTheUploadEndsWithItsContext(t *testing.T) {
	const ends, bound = 200 * time.Millisecond, 500 * time.Millisecond // the system gives up later
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
			body, err := upload(ctx, address, stricthttptest.StalledUploadBytes)
			if took := time.Since(began); err == nil || took > ends+bound {
				t.Errorf("body %q, error %v after %v", body, err, took)
			}
		})
	}
}

// Guards against the same where the rest of a response is discarded.
func TestDiscardDoesNotWaitForTheUpload(t *testing.T) {
	address := stricthttptest.EarlyResponse{Text: stricthttptest.Unframed, Ending: stricthttptest.StallUntil(t.Context(), true)}.Serve(t)
	response, err := NewPool().Do(t.Context(), uploadRequest(address, stricthttptest.StalledUploadBytes))
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
