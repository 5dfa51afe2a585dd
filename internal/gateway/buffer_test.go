package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/intake"
)

// Guards against forwarding the first part of a response that is too long as if it were
// complete.
func TestResponseBufferLimit(t *testing.T) {
	const limit = 100 << 10
	for _, length := range []int{0, 1, limit - 1, limit, limit + 1, 3 * limit} {
		var none *intake.Exchange
		b := responseBuffer{ctx: t.Context(), memory: none.Response(limit), limit: limit}
		reader, err := strings.NewReader(strings.Repeat("x", length)), error(nil)
		for err == nil {
			err = b.readSome(reader)
		}
		var tooLong *ResponseTooLongError
		if errors.As(err, &tooLong) != (length > limit) {
			t.Errorf("%d bytes: error %v", length, err)
		}
		if errors.Is(err, io.EOF) && len(b.data) != length {
			t.Errorf("%d bytes: %d were read", length, len(b.data))
		}
	}
}

// Guards against forwarding bytes that are no events as a part of a stream.
func TestCheckEvents(t *testing.T) {
	for text, valid := range map[string]bool{
		"":                       true,
		"id: 1\ndata: a b\n\n":   true,
		"id:1\r\ndata:a\r\n\r\n": true,
		": comment\n\nweight-versions: 3\nid: 2\n\n": true,
		"no field\n\n":                     false,
		"id: 1\ndata: a\n\n<html>x: 1\n\n": false,
		"id: 1\n\x00\x01: x\n\n":           false,
	} {
		var notEvent *NoEventError
		if err := checkEvents([]byte(text)); errors.As(err, &notEvent) == valid {
			t.Errorf("%q: %v", text, err)
		}
	}
}
