package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds a response header with the interim responses before it.
	maxHeaderBytes = 64 << 10
	// maxDiscardBytes and discardTimeout bound what is read of a response that is not
	// forwarded: a new connection costs less than a longer wait.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
	// maxInlineBodyBytes is the longest body that is written before the response is
	// read. Longer ones are written concurrently, because an upstream may respond
	// before it has read the body.
	maxInlineBodyBytes = 16 << 10
	// maxRefused is the number of refused requests after which a connection is closed.
	maxRefused = 64
)

// Request is a request to an upstream. Method, target and body are sent unchanged.
type Request struct {
	Key string // identifies the upstream's incarnation
	// ID identifies the request, also when it is sent again. A connection on which the
	// upstream refused it is not used for it again: see Response.RecordRefused.
	ID      string
	Address string // IP:port
	Method  string
	Target  string // path and query as received from the caller
	Host    string
	Header  http.Header
	Body    []byte
	// BeforeSend reports whether the request is still to be sent. It is called once there
	// is a connection, right before the first byte is written. Optional.
	BeforeSend func() bool
}

// UnwantedError reports that a request was not sent because its context had ended or
// BeforeSend did not want it any more.
type UnwantedError struct{ Address string }

// Error implements error.
func (e *UnwantedError) Error() string { return "request to " + e.Address + " is no longer wanted" }

// IncompleteResponseError reports that a connection ended before the response was
// complete. The request may have run.
type IncompleteResponseError struct {
	// HeaderReceived reports that the response header had been received.
	HeaderReceived bool
	Cause          error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string { return fmt.Sprintf("answer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// ForeignResponseError reports a response that belongs to another request and that can't be
// skipped.
type ForeignResponseError struct{}

// Error implements error.
func (e *ForeignResponseError) Error() string { return "response to another request" }

// HeaderTooLongError reports a response header of more than Limit bytes.
type HeaderTooLongError struct{ Limit int }

// Error implements error.
func (e *HeaderTooLongError) Error() string {
	return "the response header has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// MalformedResponseError is the cause of an IncompleteResponseError if the upstream sent bytes
// that are no response; it has not lost the connection.
type MalformedResponseError struct{ Cause error }

// Error implements error.
func (e *MalformedResponseError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// headerLimiter reads from a connection and bounds what is read while a header is due:
// http.ReadResponse itself reads lines of any length.
type headerLimiter struct {
	source io.Reader
	// left is the number of bytes that may still be read; -1: any.
	left int
}

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// conn is one connection to an upstream.
type conn struct {
	socket    net.Conn
	limiter   *headerLimiter
	checked   *stricthttp.Reader // reads from limiter
	reader    *bufio.Reader      // reads from checked
	expiresAt time.Time
	closeOnce sync.Once
	refused   []string // IDs of the requests that the upstream refused on this connection
	tainted   bool     // bytes that belong to no request were received
}

func newConn(socket net.Conn) *conn {
	limiter := &headerLimiter{source: socket, left: -1}
	checked := stricthttp.NewReader(limiter)
	return &conn{socket: socket, limiter: limiter, checked: checked, reader: bufio.NewReaderSize(checked, readBufferBytes)}
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.socket.Close() }) // a failed close can't be handled
}

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) isReusable() bool {
	return c.reader.Buffered() == 0 && !hasPendingData(c.socket)
}

// expectHead makes the connection check the next head, of which a part may be buffered. It
// returns a stricthttp.MalformedError.
func (c *conn) expectHead() error {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails, as it reads nothing
	_, err := c.checked.ExpectHead(buffered)
	return err
}

// readError returns the IncompleteResponseError of a response in which net/http met err.
func (c *conn) readError(err error) *IncompleteResponseError {
	err = c.checked.Cause(err)
	if c.limiter.left == 0 {
		err = &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	var malformed *stricthttp.MalformedError
	if c.limiter.left == 0 || errors.As(err, &malformed) {
		err = &MalformedResponseError{Cause: err}
	}
	return &IncompleteResponseError{Cause: err}
}

// Response is an upstream's response. The caller reads the body and must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// NewConnection reports that the connection was opened for this request.
	NewConnection bool

	head           *http.Response
	conn           *conn
	pool           *Pool
	key            string
	id             string // of the request
	method         string
	bodyWrite      chan error // result of writing a long body; nil for short ones
	stopCancelHook func() bool
	complete       bool
}

// Do sends a request and reads the response header. Ending the context closes the
// connection, which cancels the request. Do returns a DialError or an UnwantedError if
// nothing was sent, and an IncompleteResponseError if the request may have run.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	connection := p.take(request.Key, request.ID)
	fresh := connection == nil
	if fresh {
		dialed, err := dial(ctx, request.Address)
		if err != nil {
			return nil, err
		}
		connection = dialed
	}
	if ctx.Err() != nil || (request.BeforeSend != nil && !request.BeforeSend()) {
		p.putUnused(request.Key, connection)
		return nil, &UnwantedError{Address: request.Address}
	}
	stopCancelHook := context.AfterFunc(ctx, connection.close)
	response := &Response{
		conn: connection, pool: p, key: request.Key, id: request.ID, method: request.Method,
		stopCancelHook: stopCancelHook, NewConnection: fresh,
	}
	if err := response.send(request); err != nil {
		response.Close()
		return nil, &IncompleteResponseError{Cause: err}
	}
	if err := response.readHeader(); err != nil {
		response.Close()
		return nil, err
	}
	return response, nil
}

func (r *Response) send(request *Request) error {
	header := encodeHeader(request)
	if len(request.Body) <= maxInlineBodyBytes {
		_, err := r.conn.socket.Write(append(header, request.Body...))
		return err
	}
	r.bodyWrite = make(chan error, 1)
	go func() {
		buffers := net.Buffers{header, request.Body}
		_, err := buffers.WriteTo(r.conn.socket)
		r.bodyWrite <- err
	}()
	return nil
}

// lineBreaks replaces line breaks in header values, which would add lines to a request: an
// event ID comes from another upstream.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func encodeHeader(request *Request) []byte {
	var header bytes.Buffer
	header.Grow(1024 + min(len(request.Body), maxInlineBodyBytes)) // longer bodies are written by themselves
	header.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			header.WriteString(name + ": " + lineBreaks.Replace(value) + "\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		header.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	header.WriteString("\r\n")
	return header.Bytes()
}

// readHeader reads the header of the final response; it skips interim ones. It returns an
// IncompleteResponseError.
func (r *Response) readHeader() error {
	r.conn.limiter.left = maxHeaderBytes
	defer func() { r.conn.limiter.left = -1 }()
	if err := r.conn.expectHead(); err != nil {
		return r.conn.readError(err)
	}
	for {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: r.method})
		if err != nil {
			return r.conn.readError(err)
		}
		if response.StatusCode >= 200 {
			r.head = response
			break
		}
	}
	r.Status, r.Header, r.Length = r.head.StatusCode, r.head.Header, r.head.ContentLength
	return nil
}

// SkipForeign discards this response, which belongs to another request, and reads the header
// of the one that follows it on the connection. The connection is not used again. It returns
// an IncompleteResponseError if no further response follows; the request may have run.
func (r *Response) SkipForeign() error {
	r.conn.tainted = true
	if !r.HasEnd() {
		return &IncompleteResponseError{HeaderReceived: true, Cause: &ForeignResponseError{}}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes)); err != nil {
		return err
	}
	if !r.complete {
		return &IncompleteResponseError{HeaderReceived: true, Cause: &ForeignResponseError{}}
	}
	r.complete = false
	return r.readHeader()
}

// HasEnd reports whether the response states where its body ends. Otherwise it ends with
// the connection, which a crash of the upstream ends, too.
func (r *Response) HasEnd() bool {
	return r.Length >= 0 || slices.Contains(r.head.TransferEncoding, "chunked")
}

// RecordRefused records that the upstream stated that it did not run the request. If the
// request is sent to the upstream again, it goes out on another connection: on this one, a
// second copy of the refusal would look like the response to the second send.
func (r *Response) RecordRefused() {
	if r.id != "" {
		r.conn.refused = append(r.conn.refused, r.id)
	}
}

// Read reads the body. It returns io.EOF at the end of a complete body, and an
// IncompleteResponseError if the connection ended before, or the body or the trailer is malformed.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.head.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		malformed := stricthttp.CheckTrailer(r.head.Trailer)
		if malformed == nil {
			r.complete = true
			return n, err
		}
		err = malformed
	}
	incomplete := r.conn.readError(err)
	incomplete.HeaderReceived = true
	return n, incomplete
}

// Discard reads the rest of the body, so that the connection can be used again. It gives
// up after maxDiscardBytes or discardTimeout; the connection is closed then. It returns
// the errors of Read.
func (r *Response) Discard() error {
	if err := r.conn.socket.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return &IncompleteResponseError{HeaderReceived: true, Cause: err}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes)); err != nil {
		return err
	}
	if err := r.conn.socket.SetReadDeadline(time.Time{}); err != nil {
		return &IncompleteResponseError{HeaderReceived: true, Cause: err}
	}
	return nil
}

// Close returns the connection to the pool if the response was read completely,
// otherwise it closes the connection.
func (r *Response) Close() {
	if !r.stopCancelHook() || !r.complete || r.head.Close || r.conn.tainted || len(r.conn.refused) >= maxRefused || r.conn.reader.Buffered() > 0 || !r.bodyWriteDone() {
		r.conn.close()
		return
	}
	idle := idleTimeOf(r.Header)
	if idle <= 0 {
		r.conn.close()
		return
	}
	r.conn.expiresAt = time.Now().Add(idle)
	r.pool.put(r.key, r.conn)
}

// bodyWriteDone reports whether the request's body has been written completely.
func (r *Response) bodyWriteDone() bool {
	if r.bodyWrite == nil {
		return true
	}
	select {
	case err := <-r.bodyWrite:
		return err == nil
	default:
		return false
	}
}

// idleTimeOf returns how long the connection may stay idle before it is reused, from
// the response's Keep-Alive header.
func idleTimeOf(header http.Header) time.Duration {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTime
		}
		stated := time.Duration(seconds) * time.Second
		return max(stated-idleMargin, stated/2)
	}
	return defaultIdleTime
}
