package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/intake"
)

const (
	streamBufferBytes = 4 << 10
	maxEventBytes     = 1 << 20
	maxUnaryBytes     = 16 << 20
	// drainTimeout bounds the wait for the end of the HTTP body after the last
	// event. A connection can be reused only after its body was read to the end.
	drainTimeout = 100 * time.Millisecond
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}
)

// Stream is the response to an inference call: a sequence of server-sent events,
// or one unary body. Next and Close must be called from one goroutine.
type Stream struct {
	response *http.Response
	cancel   context.CancelFunc
	reader   *bufio.Reader // nil for unary responses
	longLine *lineBuffer   // nil until a line is longer than the reader's buffer
	unary    bool
	complete bool // the complete response was read
	atEOF    bool // the HTTP body was read to its end
	err      error
}

func newStream(response *http.Response, cancel context.CancelFunc) *Stream {
	s := &Stream{response: response, cancel: cancel, unary: !isEventStream(response.Header)}
	if !s.unary {
		s.reader = readerPool.Get().(*bufio.Reader)
		s.reader.Reset(response.Body)
	}
	return s
}

// Unary reports whether the response is one body rather than a sequence of
// events.
func (s *Stream) Unary() bool { return s.unary }

// Header returns the headers of the response.
func (s *Stream) Header() http.Header { return s.response.Header }

// Next returns the data of the next event, or the complete body of a unary
// response. An event's data is valid until the following call. Next returns
// io.EOF only after the response was complete ([DONE], or the end of a unary
// body), and *InterruptedError when it was truncated.
func (s *Stream) Next() ([]byte, error) {
	if s.err != nil {
		return nil, s.err
	}
	if s.complete {
		return nil, io.EOF
	}
	data, err := s.read()
	if err != nil && err != io.EOF {
		s.err = &InterruptedError{Cause: err}
		return nil, s.err
	}
	return data, err
}

func (s *Stream) read() ([]byte, error) {
	if s.unary {
		return s.readUnary()
	}
	return s.readEvent()
}

func (s *Stream) readUnary() ([]byte, error) {
	ctx := s.response.Request.Context()
	body, err := intake.Of(ctx).ReadResponse(ctx, s.response.Body, maxUnaryBytes, s.response.ContentLength)
	var tooLarge *intake.TooLargeError
	if errors.As(err, &tooLarge) {
		return nil, &ProtocolError{Detail: "response too large"}
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if s.endsWithConnection() && !json.Valid(body) {
		return nil, io.ErrUnexpectedEOF
	}
	s.complete, s.atEOF = true, true
	return body, nil
}

// endsWithConnection reports whether the response does not state where its body ends.
func (s *Stream) endsWithConnection() bool {
	return s.response.ContentLength < 0 && len(s.response.TransferEncoding) == 0
}

// readEvent returns the data of the next event, or io.EOF at [DONE].
func (s *Stream) readEvent() ([]byte, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue // blank line, comment or other field
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			s.complete = true
			return nil, io.EOF
		}
		return data, nil
	}
}

// readLine returns the next line, which is valid until the following call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	if s.longLine == nil {
		s.longLine = newLineBuffer(s.response.Request.Context())
	}
	s.longLine.reset()
	for errors.Is(err, bufio.ErrBufferFull) {
		if full := s.longLine.append(line); full != nil {
			return nil, full
		}
		line, err = s.reader.ReadSlice('\n')
	}
	if full := s.longLine.append(line); full != nil {
		return nil, full
	}
	return s.longLine.data, err
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, since Next returns io.EOF
// only after a complete response.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close releases the connection. If the response was not read to its end, the
// connection is closed, which makes the engine stop. To interrupt Next from
// another goroutine, cancel the context of the call.
func (s *Stream) Close() {
	if s.complete && !s.atEOF && s.reader != nil {
		s.drain()
	}
	s.response.Body.Close()
	s.cancel()
	if s.longLine != nil {
		s.longLine.free()
	}
	if s.reader != nil {
		s.reader.Reset(nil)
		readerPool.Put(s.reader)
		s.reader = nil
	}
}

// drain reads the HTTP body to its end after the last event.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, err := s.reader.ReadByte()
	for err == nil {
		_, err = s.reader.ReadByte()
	}
	s.atEOF = err == io.EOF
}
