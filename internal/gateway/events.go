package gateway

import (
	"bytes"
	"strings"
)

// NoEventError reports bytes in a stream that are not an event.
type NoEventError struct{ Line string }

// Error implements error.
func (e *NoEventError) Error() string { return "not a line of an event: " + e.Line }

// maxQuotedLineBytes bounds the part of a line that an error quotes.
const maxQuotedLineBytes = 40

// checkEvents returns a NoEventError if complete events contain a line without a field
// name. Empty names are comments.
func checkEvents(events []byte) error {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsFunc(name, isNotFieldName) {
			return &NoEventError{Line: string(line[:min(len(line), maxQuotedLineBytes)])}
		}
	}
	return nil
}

func isNotFieldName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_'
}

// completeEventsLength returns the length in bytes of the complete events at the
// start of data.
func completeEventsLength(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastEventID returns the ID of the last event that has one, otherwise previous.
func lastEventID(events []byte, previous string) string {
	for line := range strings.Lines(string(events)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			previous = strings.TrimSpace(value)
		}
	}
	return previous
}
