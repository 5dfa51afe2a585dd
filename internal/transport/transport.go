// Package transport makes the HTTP transports with which hosts call engines, workers and
// the platform.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
)

// MaxHeaderBytes bounds the header of a response.
const MaxHeaderBytes = 64 << 10

// DialContext opens a connection, like net.Dialer.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport that rejects malformed responses, see package stricthttp. A
// call that gets one fails like one whose connection was lost: it may have run.
type Transport struct{ *http.Transport }

// New returns a transport that keeps up to idleConns idle connections to each address for
// idleTime.
func New(dial DialContext, idleConns int, idleTime time.Duration) *Transport {
	return &Transport{&http.Transport{
		DialContext:            checkedDial(dial),
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}}
}

// checkedConn is a connection whose responses are checked.
type checkedConn struct {
	net.Conn
	reader      *stricthttp.Reader
	writeFailed atomic.Bool
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

func checkedDial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: socket, reader: stricthttp.NewReader(socket)}, nil
	}
}

// cause returns what made a call fail, in which net/http met err: a MalformedError, or err if the
// call ended or its connection failed.
func (c *checkedConn) cause(ctx context.Context, err error) error {
	if c == nil {
		return err // no connection
	}
	if malformed := c.reader.Err(); malformed != nil {
		return malformed
	}
	if ctx.Err() != nil || c.writeFailed.Load() {
		return err
	}
	return c.reader.Cause(err)
}

// UnaskedError reports a response that arrived before its request was sent.
type UnaskedError struct{}

// Error implements error.
func (e *UnaskedError) Error() string { return "response arrived before its request was sent" }

// RoundTrip implements http.RoundTripper. It returns the errors of http.Transport, a
// stricthttp.MalformedError or an UnaskedError.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *checkedConn // of the last attempt
	var head stricthttp.Head
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { conn = nil },
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*checkedConn)       // as checkedDial returns no others
			head, _ = conn.reader.ExpectHead(nil) // an error fails the next read, too
		},
	}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.Transport.RoundTrip(traced)
	if err != nil {
		return nil, conn.cause(request.Context(), err)
	}
	if !conn.reader.HeadRead(head) {
		_ = conn.Close() // it holds bytes that belong to no request
		_ = response.Body.Close()
		return nil, &UnaskedError{}
	}
	response.Request = request
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{ReadCloser: response.Body, response: response, conn: conn}
	}
	return response, nil
}

// chunkedBody is a body in chunks, which a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
	conn     *checkedConn
}

// Read implements io.Reader. It returns a stricthttp.MalformedError if a chunk or the trailer is
// malformed.
func (b *chunkedBody) Read(p []byte) (int, error) {
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
