package gateway

import (
	"errors"
	"strings"
	"testing"
)

// Guards against forwarding the first part of a response that is too long as if it were
// complete.
func TestResponseBufferLimit(t *testing.T) {
	const limit = 100 << 10
	for _, length := range []int{0, 1, limit - 1, limit, limit + 1, 3 * limit} {
		b := responseBuffer{budget: newBufferBudget(0), limit: limit}
		err := b.readAll(strings.NewReader(strings.Repeat("x", length)))
		var tooLong *ResponseTooLongError
		if errors.As(err, &tooLong) != (length > limit) {
			t.Errorf("%d bytes: error %v", length, err)
		}
		if err == nil && len(b.data) != length {
			t.Errorf("%d bytes: %d were read", length, len(b.data))
		}
	}
}

// Guards against responses that take the host's memory together: small ones are read
// even when large ones have used up the budget, and the budget is returned.
func TestResponsesShareABudget(t *testing.T) {
	budget := newBufferBudget(8) // 1 MiB for responses
	large := strings.Repeat("x", 700<<10)
	read := func(text string) (*responseBuffer, error) {
		b := &responseBuffer{budget: budget, limit: maxBufferedResponseBytes}
		return b, b.readAll(strings.NewReader(text))
	}
	first, err := read(large)
	if err != nil {
		t.Fatal(err)
	}
	second, err := read(large)
	var full *BuffersFullError
	if !errors.As(err, &full) {
		t.Errorf("second large response: error %v, want a BuffersFullError", err)
	}
	second.free()
	if _, err := read(strings.Repeat("x", unsharedBufferBytes-1)); err != nil {
		t.Errorf("small response: %v", err)
	}
	first.free()
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes of the budget were not returned", used)
	}
	if _, err := read(large); err != nil {
		t.Errorf("large response after the first was freed: %v", err)
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
