package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// upload calls a worker with a long body. The worker responds before it has read it.
func upload(t *testing.T, i int, ending stricthttptest.Ending) (*Response, error) {
	t.Helper()
	form := stricthttptest.EarlyForm{Text: stricthttptest.Unframed, Ending: ending, UploadBytes: stricthttptest.UploadBytes}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := NewClient("credential", &net.Dialer{})
	t.Cleanup(client.transport.CloseIdleConnections)
	return client.Do(ctx, form.Response(i).Serve(t), &Call{ID: "upload", Method: http.MethodPost, Path: "/x", Body: make([]byte, form.UploadBytes)})
}

// Guards against a part of a worker's response that the caller gets as the whole one because the
// connection was reset while the call was still being written (check MIXED).
func TestResponseCutUnderAnUpload(t *testing.T) {
	for name, ending := range map[string]stricthttptest.Ending{
		"reset": stricthttptest.Reset, "close with unread bytes": stricthttptest.CloseUnread,
	} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for i := range stricthttptest.Uploads {
				response, err := upload(t, i, ending)
				var interrupted *InterruptedError
				switch {
				case err == nil:
					whole++
				case !errors.As(err, &interrupted):
					t.Errorf("response %v, error %v, want an InterruptedError", response, err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d responses count as whole", whole, stricthttptest.Uploads)
			}
		})
	}
}

// Guards against rejecting the response of a worker that responds before it has read a long call,
// reads on and closes in order.
func TestResponseBeforeTheUploadIsRead(t *testing.T) {
	for name, ending := range map[string]stricthttptest.Ending{
		"read, closed": stricthttptest.ReadAndClose, "half-closed, read": stricthttptest.HalfCloseAndRead,
	} {
		t.Run(name, func(t *testing.T) {
			for i := range stricthttptest.Uploads {
				if response, err := upload(t, i, ending); err != nil || string(response.Body) != stricthttptest.EarlyBody {
					t.Errorf("response %v, error %v", response, err)
				}
			}
		})
	}
}
