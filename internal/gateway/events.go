package gateway

import (
	"bytes"
	"strconv"
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

// eventCount returns the number of complete events.
func eventCount(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
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

// ResumeError reports an event of a resumed run that does not continue the stream.
type ResumeError struct{ After, ID string }

// Error implements error.
func (e *ResumeError) Error() string {
	return "event " + strconv.Quote(e.ID) + " does not continue the stream after event " + strconv.Quote(e.After)
}

// checkResumed returns a ResumeError if a complete event of a resumed run has no ID, or one
// that does not increase: the text of an error may look like an event, and an upstream may
// begin anew.
func checkResumed(events []byte, after string) error {
	text := strings.ReplaceAll(string(events), "\r\n", "\n")
	for _, event := range strings.Split(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		if isComment(event) {
			continue
		}
		id := lastEventID([]byte(event), "")
		if id == "" || !increases(after, id) {
			return &ResumeError{After: after, ID: id}
		}
		after = id
	}
	return nil
}

// isComment reports whether all lines of an event are comments.
func isComment(event string) bool {
	for line := range strings.Lines(event) {
		if strings.TrimSpace(line) != "" && !strings.HasPrefix(line, ":") {
			return false
		}
	}
	return true
}

// increases reports whether an ID is greater than the one before. IDs that are not both
// numbers must differ.
func increases(before, id string) bool {
	first, errFirst := strconv.ParseUint(before, 10, 64)
	second, errSecond := strconv.ParseUint(id, 10, 64)
	if errFirst != nil || errSecond != nil {
		return id != before
	}
	return second > first
}
