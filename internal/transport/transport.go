// Package transport makes the HTTP transports with which hosts call engines, workers and
// the platform.
package transport

import (
	"context"
	"net"
	"net/http"
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
type Transport struct {
	*http.Transport
	// SendOnce keeps http.Transport from repeating calls that may have run. It repeats those with a
	// safe method or an idempotency key if a kept connection is closed.
	SendOnce bool
}

// New returns a transport that keeps up to idleConns idle connections to each address for
// idleTime.
func New(dial DialContext, idleConns int, idleTime time.Duration) *Transport {
	return &Transport{Transport: &http.Transport{
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
	wrote       atomic.Bool // a part of the current call has been written
	writeFailed atomic.Bool
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.wrote.Store(true)
	}
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
