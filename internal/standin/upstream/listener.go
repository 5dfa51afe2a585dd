package upstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener tracks its open connections so that they can be frozen or cut.
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
	conn := &trackedConn{Conn: inner, owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	return conn, nil
}

// FreezeConnections silences the open connections for good: nothing that the server
// writes is sent and nothing that the client sends arrives, but the
// connections stay established. New connections work. It returns how many
// connections were frozen.
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

func (l *Listener) forget(conn *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

type trackedConn struct {
	net.Conn
	owner  *Listener
	frozen atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn. A frozen connection neither delivers data nor
// notices that its client left.
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

// Close implements net.Conn. Closing a frozen connection keeps the socket open
// so that the client sees no end.
func (c *trackedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.frozen.Load() {
		return nil
	}
	c.owner.forget(c)
	return c.Conn.Close()
}

func (c *trackedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may already be closed
	}
	c.once.Do(func() { close(c.closed) })
	c.owner.forget(c)
	_ = c.Conn.Close()
}
