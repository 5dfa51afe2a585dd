package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

const (
	relayBufferBytes = 32 << 10
	// relayQueue bounds the chunks in flight of one direction of a connection.
	relayQueue       = 256
	relayDialTimeout = time.Second
)

// Link is a network path between two places. While it is cut, bytes wait and
// connections stay established, as with packets that are lost and sent again.
// It is safe for concurrent use.
type Link struct {
	latency time.Duration // one way

	mu     sync.Mutex
	cut    bool
	change chan struct{} // closed when the link is restored
}

// NewLink returns a link that works.
func NewLink(latency time.Duration) *Link {
	return &Link{latency: latency, change: make(chan struct{})}
}

// SetDown cuts or restores the link.
func (l *Link) SetDown(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut && !cut {
		close(l.change)
		l.change = make(chan struct{})
	}
	l.cut = cut
}

// wait blocks while the link is cut; it reports false when done closes first.
func (l *Link) wait(done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		cut, change := l.cut, l.change
		l.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-change:
		case <-done:
			return false
		}
	}
}

// Relay forwards connections to a target over a link.
type Relay struct {
	link     *Link
	target   string
	listener net.Listener
	done     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewRelay listens on a free port of loopback and forwards to a target
// "IP:port". It returns *upstream.ListenError.
func NewRelay(link *Link, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, &upstream.ListenError{Address: anyLoopbackPort, Cause: err}
	}
	r := &Relay{link: link, target: target, listener: listener, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the address that leads to the target.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // closing twice is harmless
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return
	default:
		close(r.done)
	}
	for conn := range r.conns {
		_ = conn.Close() // it may already be closed
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// track registers a connection; it reports false when the relay has ended.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.done:
		return false
	default:
		r.conns[conn] = struct{}{}
		return true
	}
}

func (r *Relay) closeConn(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close() // it may already be closed
}

func (r *Relay) forward(near net.Conn) {
	defer r.closeConn(near)
	if !r.track(near) || !r.link.wait(r.done) {
		return
	}
	far, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		refuse(near)
		return
	}
	defer r.closeConn(far)
	if !r.track(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.pump(far, near) })
	both.Go(func() { r.pump(near, far) })
	both.Wait()
}

// refuse resets a connection whose target refused, since the dialling side
// already sees it established.
func refuse(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may already be closed
	}
}

type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction, delaying each chunk by the link's latency. An end
// of the source ends the destination's reading side; an error resets both.
func (r *Relay) pump(to, from net.Conn) {
	chunks := make(chan chunk, relayQueue)
	failed := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		if !r.deliver(to, chunks) {
			close(failed)
			_ = from.Close() // it may already be closed
		}
	})
	err := r.collect(from, chunks, failed)
	close(chunks)
	wait.Wait()
	if errors.Is(err, io.EOF) {
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // the other side may have closed
		}
		return
	}
	refuse(to)
	_ = to.Close() // it may already be closed
}

func (r *Relay) collect(from net.Conn, chunks chan<- chunk, failed <-chan struct{}) error {
	for {
		buffer := make([]byte, relayBufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(r.link.latency)}:
			case <-failed:
				return net.ErrClosed
			}
		}
		if err != nil {
			return err
		}
	}
}

// deliver writes chunks when they are due; it reports false after a failure.
func (r *Relay) deliver(to net.Conn, chunks <-chan chunk) bool {
	for next := range chunks {
		time.Sleep(time.Until(next.due))
		if !r.link.wait(r.done) {
			return false
		}
		if _, err := to.Write(next.data); err != nil {
			return false
		}
	}
	return true
}
