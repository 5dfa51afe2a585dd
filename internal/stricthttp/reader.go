// Package stricthttp rejects HTTP/1.x responses that net/http accepts although RFC 9112 does
// not: those with an impossible status, and those with a blank in or before the name of a
// field, which may be the one that was to state the length of the body.
package stricthttp

import (
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// MalformedError reports a response that is not HTTP/1.x.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// position is where in a response the next byte belongs.
type position uint8

const (
	inBody position = iota // or between two responses
	inStatusLine
	atField // at the start of a field or at the end of the head
	inFieldName
	inFieldValue
	atFieldEnd // after the carriage return of a field
	atHeadEnd  // after the carriage return of an empty line
)

// maxStartBytes is the length of the part of a status line that is checked: the version, the status
// and the byte after it.
const maxStartBytes = len("HTTP/1.1 200 ")

const del = 0x7f // ASCII DEL, a control byte

// maxInterim bounds the interim responses before a response: net/http allocates some kilobytes
// for each.
const maxInterim = 16

// statusLine matches the first maxStartBytes bytes of a status line.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] ([1-5][0-9][0-9])[ \r]?$`)

var switchingProtocols = strconv.Itoa(http.StatusSwitchingProtocols)

// Reader reads from a connection and checks the heads of the responses. It is safe for
// concurrent use by one goroutine that reads and another one that calls the other methods.
type Reader struct {
	source io.Reader

	mu       sync.Mutex
	position position
	start    []byte // first bytes of the status line, up to maxStartBytes
	interim  bool   // the current head is that of an interim response
	interims int    // interim heads since the last final one
	expected Head
	read     Head  // the last one that was read completely
	err      error // ends all further reads
	failed   bool  // the source returned an error
}

// Head is the number of a head that a Reader was told to expect.
type Head uint64

// NewReader returns a reader that expects no head.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, start: make([]byte, 0, maxStartBytes)}
}

// ExpectHead makes the reader check the head of the next response, and of interim ones
// before it. buffered are the bytes of it that have been read already. It returns a
// MalformedError, also if an earlier response was malformed.
func (r *Reader) ExpectHead(buffered []byte) (Head, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected++
	r.position, r.start, r.interims = inStatusLine, r.start[:0], 0
	r.check(buffered)
	return r.expected, r.err
}

// HeadRead reports whether an expected head has been read completely.
func (r *Reader) HeadRead(head Head) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read >= head
}

// Read implements io.Reader. A malformed head ends with its first malformed byte; the reads
// after it return a MalformedError.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.source.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = r.failed || err != nil
	if checked := r.check(p[:n]); r.err != nil {
		return checked, nil
	}
	return n, err
}

// check checks bytes up to the end of the head or the first malformed one, which sets the
// reader's error. It returns their number.
func (r *Reader) check(data []byte) int {
	for i, b := range data {
		if r.position == inBody || r.err != nil {
			return i
		}
		r.err = r.step(b)
	}
	return len(data)
}

// Err returns the MalformedError that has ended the reads, nil if none has.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Cause returns what made the read of a response fail, in which net/http met err: a
// MalformedError, or err if the source failed. If it has not, the bytes that it returned are
// malformed.
func (r *Reader) Cause(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var malformed *MalformedError
	switch {
	case r.err != nil:
		return r.err
	case r.failed, errors.As(err, &malformed):
		return err
	}
	return &MalformedError{Reason: err.Error()}
}

// step checks one byte of a head.
func (r *Reader) step(b byte) error {
	switch r.position {
	case inStatusLine:
		return r.stepStatusLine(b)
	case atField:
		return r.stepField(b)
	case inFieldName:
		return r.stepFieldName(b)
	case inFieldValue:
		return r.stepFieldValue(b)
	}
	if b != '\n' {
		return &MalformedError{Reason: "carriage return without a line feed"}
	}
	if r.position == atHeadEnd {
		r.endHead()
	} else {
		r.position = atField
	}
	return nil
}

func (r *Reader) stepStatusLine(b byte) error {
	if b == '\n' {
		return r.endStatusLine()
	}
	if len(r.start) < maxStartBytes {
		r.start = append(r.start, b)
	}
	return nil
}

func (r *Reader) stepField(b byte) error {
	switch b {
	case '\n':
		r.endHead()
		return nil
	case '\r':
		r.position = atHeadEnd
		return nil
	case ':':
		return &MalformedError{Reason: "field without a name"}
	}
	r.position = inFieldName
	return r.stepFieldName(b)
}

func (r *Reader) stepFieldName(b byte) error {
	switch {
	case b == ':':
		r.position = inFieldValue
	case !httpguts.IsTokenRune(rune(b)):
		return &MalformedError{Reason: "byte " + strconv.QuoteRune(rune(b)) + " in the name of a field"}
	}
	return nil
}

func (r *Reader) stepFieldValue(b byte) error {
	switch {
	case b == '\n':
		r.position = atField
	case b == '\r':
		r.position = atFieldEnd
	case b < ' ' && b != '\t', b == del:
		return &MalformedError{Reason: "byte " + strconv.QuoteRune(rune(b)) + " in the value of a field"}
	}
	return nil
}

// endHead ends a head; that of an interim response is followed by another one.
func (r *Reader) endHead() {
	if r.interim {
		r.position, r.start = inStatusLine, r.start[:0]
		return
	}
	r.position, r.read = inBody, r.expected
}

// endStatusLine checks the start of the status line. Switching the protocol is malformed, as
// no request asks for it.
func (r *Reader) endStatusLine() error {
	match := statusLine.FindSubmatch(r.start)
	if match == nil || string(match[1]) == switchingProtocols {
		return &MalformedError{Reason: "status line begins with " + strconv.Quote(string(r.start))}
	}
	r.position, r.interim = atField, match[1][0] == '1'
	if r.interim {
		r.interims++
	}
	if r.interims > maxInterim {
		return &MalformedError{Reason: "more than " + strconv.Itoa(maxInterim) + " interim responses"}
	}
	return nil
}
