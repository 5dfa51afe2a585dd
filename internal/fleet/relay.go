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
	// maxQueuedChunks bounds the chunks in transit in one direction of a connection.
	maxQueuedChunks  = 256
	relayDialTimeout = time.Second
)

// Link is a simulated network path between two locations. While it is down, data
// is held back and connections stay established, as with packets that are lost and
// retransmitted. It is safe for concurrent use.
type Link struct {
	latency time.Duration // one way

	mu       sync.Mutex
	down     bool
	restored chan struct{} // closed when the link comes up again
}

// NewLink returns a link that is up, with a one-way latency.
func NewLink(latency time.Duration) *Link {
	return &Link{latency: latency, restored: make(chan struct{})}
}

// SetDown takes the link down or brings it up again.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down && !down {
		close(l.restored)
		l.restored = make(chan struct{})
	}
	l.down = down
}

// waitUp blocks while the link is down. It reports false when done closes first.
func (l *Link) waitUp(done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		down, restored := l.down, l.restored
		l.mu.Unlock()
		if !down {
			return true
		}
		select {
		case <-restored:
		case <-done:
			return false
		}
	}
}

// Relay accepts TCP connections and forwards them to a target over a link.
type Relay struct {
	link     *Link
	target   string
	listener net.Listener
	done     chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewRelay listens on a free loopback port and forwards connections to target, an
// "IP:port". It returns *upstream.ListenError when it cannot listen.
func NewRelay(link *Link, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, &upstream.ListenError{Address: anyLoopbackPort, Cause: err}
	}
	r := &Relay{link: link, target: target, listener: listener, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Address returns the "IP:port" that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay and closes all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // a second close only returns an error
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

// track registers a connection. It reports false when the relay is closed.
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

func (r *Relay) forward(client net.Conn) {
	defer r.closeConn(client)
	if !r.track(client) || !r.link.waitUp(r.done) {
		return
	}
	server, err := net.DialTimeout("tcp", r.target, relayDialTimeout)
	if err != nil {
		resetOnClose(client)
		return
	}
	defer r.closeConn(server)
	if !r.track(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDelayed(server, client) })
	directions.Go(func() { r.copyDelayed(client, server) })
	directions.Wait()
}

// resetOnClose makes closing the connection send a reset. The dialling side sees the
// connection as established before the target is dialled, so a failure of the
// target can only be signalled by a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may already be closed
	}
}

type chunk struct {
	data      []byte
	deliverAt time.Time
}

// copyDelayed copies one direction of a connection and delays each chunk by the
// latency of the link. The end of the source is passed on as a half-close of the
// destination; after an error the connection is reset.
func (r *Relay) copyDelayed(to, from net.Conn) {
	chunks := make(chan chunk, maxQueuedChunks)
	failed := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		if !r.writeChunks(to, chunks) {
			close(failed)
			_ = from.Close() // it may already be closed
		}
	})
	err := r.readChunks(from, chunks, failed)
	close(chunks)
	wait.Wait()
	if errors.Is(err, io.EOF) {
		if tcp, ok := to.(*net.TCPConn); ok {
			_ = tcp.CloseWrite() // the other side may have closed
		}
		return
	}
	resetOnClose(to)
	_ = to.Close() // it may already be closed
}

func (r *Relay) readChunks(from net.Conn, chunks chan<- chunk, failed <-chan struct{}) error {
	for {
		buffer := make([]byte, relayBufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case chunks <- chunk{data: buffer[:n], deliverAt: time.Now().Add(r.link.latency)}:
			case <-failed:
				return net.ErrClosed
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeChunks writes each chunk at its delivery time, once the link is up. It
// reports false after an error.
func (r *Relay) writeChunks(to net.Conn, chunks <-chan chunk) bool {
	for next := range chunks {
		time.Sleep(time.Until(next.deliverAt))
		if !r.link.waitUp(r.done) {
			return false
		}
		if _, err := to.Write(next.data); err != nil {
			return false
		}
	}
	return true
}
