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

const (
	uploads = 40
	// uploadBytes is more than the buffers of a connection hold, so that it is still being written
	// when the response arrives.
	uploadBytes = 4 << 20
	// maxEndDelay is the longest time between a response and the end of its connection.
	maxEndDelay  = 20 * time.Millisecond
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
)

// upload calls a worker with a long body. The worker responds before it has read it.
func upload(t *testing.T, i int, ending stricthttptest.Ending) (*Response, error) {
	t.Helper()
	address := stricthttptest.EarlyResponse{
		Text: unframedHead + "part", Delay: maxEndDelay * time.Duration(i) / (uploads - 1), Ending: ending,
	}.Serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	client := NewClient("credential", &net.Dialer{})
	t.Cleanup(client.transport.CloseIdleConnections)
	return client.Do(ctx, address, &Call{ID: "upload", Method: http.MethodPost, Path: "/x", Body: make([]byte, uploadBytes)})
}

// Guards against a part of a worker's response that the caller gets as the whole one because the
// connection was reset while the call was still being written (check MIXED).
func TestResponseCutUnderAnUpload(t *testing.T) {
	for name, ending := range map[string]stricthttptest.Ending{
		"reset": stricthttptest.Reset, "close with unread bytes": stricthttptest.CloseUnread,
	} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for i := range uploads {
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
				t.Errorf("%d of %d responses count as whole", whole, uploads)
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
			for i := range uploads {
				if response, err := upload(t, i, ending); err != nil || string(response.Body) != "part" {
					t.Errorf("response %v, error %v", response, err)
				}
			}
		})
	}
}
