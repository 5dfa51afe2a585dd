package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pollInterval is the time between two looks at the connections.
	pollInterval = 10 * time.Millisecond
	// maxSilence is how long a connection without a request is waited for. A caller that
	// has opened a connection sends its request at once.
	maxSilence = time.Second
)

// Connections tracks which connections of a server have a request, or may have one soon. It
// is safe for concurrent use.
type Connections struct {
	mu sync.Mutex
	// busy holds the connections that are not idle; for those without a request so far,
	// the time until which one is waited for.
	busy map[net.Conn]time.Time
}

// Track returns the connections of a server, which must not have started yet.
func Track(server *http.Server) *Connections {
	c := &Connections{busy: map[net.Conn]time.Time{}}
	server.ConnState = c.observe
	return c
}

func (c *Connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.busy[conn] = time.Now().Add(maxSilence)
	case http.StateActive:
		c.busy[conn] = time.Time{}
	default:
		delete(c.busy, conn)
	}
}

// inUse returns the number of connections that have a request or may have one soon.
func (c *Connections) inUse(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, silentUntil := range c.busy {
		if silentUntil.IsZero() || now.Before(silentUntil) {
			count++
		}
	}
	return count
}

// Stop closes the server's listener, lets the server answer the requests on all connections
// that were opened before, and shuts the server down. served is closed once Serve has
// returned. Stop returns the error of the context if requests are in progress at its end.
func (c *Connections) Stop(ctx context.Context, server *http.Server, listener net.Listener, served <-chan struct{}) error {
	if err := listener.Close(); err != nil {
		return err
	}
	select {
	case <-served: // all waiting connections have been accepted
	case <-ctx.Done():
		return ctx.Err()
	}
	server.SetKeepAlivesEnabled(false) // closes idle connections, and others after their response
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.inUse(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return server.Shutdown(ctx)
}
