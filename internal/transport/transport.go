// Package transport makes the HTTP transports with which hosts call engines, workers and
// the platform.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"
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

func checkedDial(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(socket), nil
	}
}
