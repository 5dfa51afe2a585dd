package integration

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// Guards against a part of a worker's answer that the caller gets as the whole one because the
// worker reset the connection while the call was still being written (check MIXED), and against
// rejecting the answer if the worker reads the call to its end.
func TestWorkerAnswersBeforeTheUploadIsRead(t *testing.T) {
	const uploads, uploadBytes, maxEndDelay = 24, 4 << 20, 20 * time.Millisecond
	var early atomic.Pointer[stricthttptest.EarlyResponse]
	f := startRawFleet(t, func(conn net.Conn, request *http.Request) { early.Load().Respond(conn, request) })
	f.worker.early.Store(true)
	f.patch("/defaults/max_body_bytes", uploadBytes)
	body := strings.Repeat("x", uploadBytes)
	for name, form := range map[string]struct {
		ending stricthttptest.Ending
		status int
	}{
		"reset":                   {stricthttptest.Reset, http.StatusBadGateway},
		"close with unread bytes": {stricthttptest.CloseUnread, http.StatusBadGateway},
		"read to its end":         {stricthttptest.ReadAndClose, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			before := f.worker.runs.Load()
			for i := range uploads {
				delay := maxEndDelay * time.Duration(i) / (uploads - 1)
				early.Store(&stricthttptest.EarlyResponse{Text: "HTTP/1.1 200 OK\r\n\r\npart", Delay: delay, Ending: form.ending})
				if got := f.withdraw(body); got.status != form.status || form.status == http.StatusOK && string(got.body) != "part" {
					t.Errorf("upload %d: status %d, body %q", i, got.status, got.body)
				}
			}
			if runs := f.worker.runs.Load() - before; runs != uploads {
				t.Errorf("%d calls arrived, want %d", runs, uploads)
			}
		})
	}
}
