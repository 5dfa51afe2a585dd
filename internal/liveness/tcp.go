package liveness

import (
	"net"
	"time"
)

const (
	// KeepAliveInterval is the idle time before the first keep-alive probe and the
	// time between probes.
	KeepAliveInterval = time.Second
	// KeepAliveCount is the number of unanswered probes after which a connection
	// is closed.
	KeepAliveCount = 3
	// UserTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. Keep-alive probes are not sent while data is
	// outstanding.
	UserTimeout = KeepAliveInterval * KeepAliveCount
)

// KeepAlive returns the keep-alive settings used for all connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     KeepAliveInterval,
		Interval: KeepAliveInterval,
		Count:    KeepAliveCount,
	}
}

// NewDialer returns a dialer whose connections fail if the peer or the path to it
// is unreachable for UserTimeout. The timeout parameter bounds the dial itself.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         setUserTimeout,
	}
}
