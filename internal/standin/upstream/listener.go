package upstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener tracks its open connections so that they can be frozen or reset.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// NewListener wraps a listener.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: inner, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// FreezeConnections permanently stops traffic on the open connections: data
// written by the server is discarded and data from the client is not delivered,
// but the connections stay established. New connections are not affected. It
// returns how many connections were frozen.
func (l *Listener) FreezeConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.frozen.Store(true)
	}
	return len(l.conns)
}

// ResetAll resets all open connections.
func (l *Listener) ResetAll() {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		conn.reset()
	}
}

func (l *Listener) untrack(conn *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

type trackedConn struct {
	net.Conn
	listener  *Listener
	frozen    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. On a frozen connection it returns no data and does
// not report that the client has disconnected.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !c.frozen.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *trackedConn) Write(data []byte) (int, error) {
	if c.frozen.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn. A frozen connection keeps its socket open, so that
// the client does not receive a FIN or RST.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	if c.frozen.Load() {
		return nil
	}
	c.listener.untrack(c)
	return c.Conn.Close()
}

func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may already be closed
	}
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.untrack(c)
	_ = c.Conn.Close()
}
