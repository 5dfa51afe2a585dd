package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
)

// UnaskedError reports a response that arrived before its request was sent.
type UnaskedError struct{}

// Error implements error.
func (e *UnaskedError) Error() string { return "response arrived before its request was sent" }

// ClosedError reports that a kept connection was closed before a response arrived. The call may
// have run.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "kept connection closed before the response" }

// exchange is one call. http.Transport makes more than one attempt if a kept connection is closed.
type exchange struct {
	once   bool         // Transport.SendOnce
	conn   *checkedConn // of the current attempt; nil: none yet
	head   stricthttp.Head
	closed bool // the connection of the last attempt was closed after a part of the call was written
	cancel context.CancelFunc
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GetConn: e.beginAttempt, GotConn: e.useConn, WroteRequest: e.endWrite}
}

// beginAttempt ends the call if an earlier attempt may have reached the upstream.
func (e *exchange) beginAttempt(string) {
	if e.once && e.conn != nil && e.conn.wrote.Load() {
		e.closed = true
		e.cancel()
	}
	e.conn = nil
}

// useConn expects the response on the connection of the attempt.
func (e *exchange) useConn(info httptrace.GotConnInfo) {
	e.conn = info.Conn.(*checkedConn) // as checkedDial returns no others
	if e.closed {
		_ = e.conn.Close() // the end of the call may not have been noticed yet
		return
	}
	e.head = e.conn.beginCall()
}

// endWrite records that http.Transport has written the request, or failed to. It does not begin
// another attempt before that.
func (e *exchange) endWrite(info httptrace.WroteRequestInfo) { e.conn.request.Load().end(info.Err) }

// RoundTrip implements http.RoundTripper. It returns the errors of http.Transport, a
// stricthttp.MalformedError, an UnaskedError or a ClosedError.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	call := &exchange{once: t.SendOnce, cancel: cancel}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, call.trace())))
	if call.closed {
		return nil, &ClosedError{}
	}
	if err != nil {
		cancel()
		return nil, call.conn.cause(request.Context(), err)
	}
	if !call.conn.reader.HeadRead(call.head) {
		_ = call.conn.Close() // it holds bytes that belong to no request
		_ = response.Body.Close()
		cancel()
		return nil, &UnaskedError{}
	}
	call.conn.unframed.Store(endsWithConnection(response))
	response.Request = request
	response.Body = &body{ReadCloser: response.Body, response: response, conn: call.conn, cancel: cancel}
	return response, nil
}

// endsWithConnection reports whether a response does not state where its body ends.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	response *http.Response
	conn     *checkedConn
	cancel   context.CancelFunc
}

// Read implements io.Reader. It returns a stricthttp.MalformedError if a chunk or the trailer is
// malformed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if malformed := stricthttp.CheckTrailer(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	case err != nil && !errors.Is(err, http.ErrBodyReadAfterClose):
		return n, b.conn.cause(b.response.Request.Context(), err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
