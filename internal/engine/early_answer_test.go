package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// Guards against the first object of an engine's answer that counts as the whole answer because the
// connection was reset while a long prompt was still being written (check MIXED).
func TestUnaryAnswerCutUnderAnUpload(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": r1\r\nContent-Type: application/json\r\n\r\n{}"
	for name, form := range map[string]struct {
		ending stricthttptest.Ending
		whole  bool
	}{
		"reset":                   {stricthttptest.Reset, false},
		"close with unread bytes": {stricthttptest.CloseUnread, false},
		"read to its end":         {stricthttptest.ReadAndClose, true},
	} {
		t.Run(name, func(t *testing.T) {
			wrong := 0
			for i := range stricthttptest.Uploads {
				early := stricthttptest.EarlyResponse{Text: text, Delay: stricthttptest.EndDelay(i), Ending: form.ending}
				client := NewClient(early.Serve(t))
				defer client.Close()
				long := call("r1")
				long.Body = []byte(strings.Repeat(" ", stricthttptest.UploadBytes))
				if whole := infers(t, client, long); whole != form.whole {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of %d answers were taken wrongly, want whole %v", wrong, stricthttptest.Uploads, form.whole)
			}
		})
	}
}

// infers reports whether a call gets a whole answer.
func infers(t *testing.T, client *Client, call Call) bool {
	t.Helper()
	stream, err := client.Infer(t.Context(), call)
	if err != nil {
		return false
	}
	defer stream.Close()
	_, err = readAll(stream)
	var interrupted *InterruptedError
	if !errors.Is(err, io.EOF) && !errors.As(err, &interrupted) {
		t.Errorf("error %v, want an InterruptedError", err)
	}
	return errors.Is(err, io.EOF)
}
