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
	reader *stricthttp.Reader
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

func checkedDial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: socket, reader: stricthttp.NewReader(socket)}, nil
	}
}

// cause returns the MalformedError that made a call fail; the error of the call itself may be about
// the part before the malformed byte.
func (c *checkedConn) cause(err error) error {
	if c == nil {
		return err // no connection
	}
	if malformed := c.reader.Err(); malformed != nil {
		return malformed
	}
	return err
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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn.(*checkedConn)       // as checkedDial returns no others
		head, _ = conn.reader.ExpectHead(nil) // an error fails the next read, too
	}}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.Transport.RoundTrip(traced)
	if err != nil {
		return nil, conn.cause(err)
	}
	if !conn.reader.HeadRead(head) {
		_ = conn.Close() // it holds bytes that belong to no request
		_ = response.Body.Close()
		return nil, &UnaskedError{}
	}
	response.Request = request
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// trailedBody is a body that a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader. It returns a stricthttp.MalformedError at the end of a body with a
// malformed trailer.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := stricthttp.CheckTrailer(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
