package gateway

import (
	"net"
	"sync"

	"github.com/arbutusbank/arbutusbank/internal/drain"
)

// gate holds back what a host accepts and reads, as if the host had no processor time.
// Meanwhile the kernel accepts connections and stores what arrives.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

// listen returns a listener whose connections pass the gate.
func (g *gate) listen(network, address string) (net.Listener, error) {
	listener, err := drain.Listen(network, address)
	return &gatedListener{listener, g}, err
}

type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection once the gate is open.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.gate.wait()
	return &gatedConn{conn.(*net.TCPConn), l.gate}, nil
}

// gatedConn is a connection of a host. SyscallConn is that of the TCP connection.
type gatedConn struct {
	*net.TCPConn
	gate *gate
}

// Read returns what has arrived once the gate is open.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.gate.wait()
	return n, err
}
