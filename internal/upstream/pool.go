// Package upstream sends requests to upstreams over HTTP/1.1. It never retries a
// request by itself, and reuses a connection only after a complete response that left
// no unread bytes.
package upstream

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the opening of a connection. A healthy upstream accepts
	// within a few milliseconds; an unreachable one never does.
	connectTimeout = 400 * time.Millisecond
	// userTimeout closes a connection whose sent bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// keepAliveInterval is the interval of keep-alive probes, which detect dead idle
	// connections.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleMargin is deducted from the idle timeout that an upstream states, so that
	// the upstream does not close a connection while it is being reused.
	idleMargin = 1500 * time.Millisecond
	// defaultIdleTime applies to upstreams that state no idle timeout.
	defaultIdleTime = 4 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
	tcpUserTimeout = 0x12
)

// DialError reports that no connection could be opened; nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Pool keeps idle connections by upstream. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn // by upstream key, newest last
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}} }

// take returns a reusable idle connection on which the request id was not refused, nil if
// there is none.
func (p *Pool) take(key, id string) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if id != "" && slices.Contains(c.refused, id) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		if now.Before(c.expiresAt) && c.isReusable() {
			p.setIdle(key, list)
			return c
		}
		c.close()
	}
	p.setIdle(key, list)
	return nil
}

func (p *Pool) setIdle(key string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = list
}

func (p *Pool) put(key string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// putUnused keeps a connection on which nothing was sent.
func (p *Pool) putUnused(key string, c *conn) {
	if c.expiresAt.IsZero() {
		c.expiresAt = time.Now().Add(defaultIdleTime)
	}
	p.put(key, c)
}

// CloseIdle closes the idle connections to an upstream.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// CloseExpired closes connections whose idle time has passed.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		p.setIdle(key, kept)
	}
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setUserTimeout,
	}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	ResetOnClose(socket)
	return newConn(socket), nil
}

// ResetOnClose makes closing a connection reset it. Unsent bytes on a partitioned
// link are dropped then, instead of being delivered when nobody waits for the
// response.
func ResetOnClose(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the bytes may be delivered late
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// settleTime is the time that a new connection to an upstream is watched by Probe: a proxy
// accepts connections whose upstream has ended, and closes them.
const settleTime = 50 * time.Millisecond

// ClosedError reports that a new connection was closed before anything was sent.
type ClosedError struct{ Address string }

// Error implements error.
func (e *ClosedError) Error() string { return "new connection to " + e.Address + " was closed" }

// Probe reports whether an upstream accepts connections: nil if it does. It keeps the
// connection that it opens. Errors are DialError and ClosedError.
func (p *Pool) Probe(ctx context.Context, key, address string) error {
	if idle := p.take(key, ""); idle != nil {
		p.put(key, idle)
		return nil
	}
	opened, err := dial(ctx, address)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(settleTime):
	}
	if !opened.isReusable() {
		opened.close()
		return &ClosedError{Address: address}
	}
	p.putUnused(key, opened)
	return nil
}
