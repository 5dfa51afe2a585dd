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

// New returns a transport that keeps up to idleConns idle connections to each address for
// idleTime.
func New(dial DialContext, idleConns int, idleTime time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}
