package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
)

const (
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed dial. It doubles
	// with each failure in a row and is randomly shortened by up to half.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections per host. A
	// connection carries one call at a time.
	maxIdleConns = 4
	// maxCalls is the maximum number of concurrent calls to one host.
	maxCalls = 32
)

// connPool is the pool of outgoing connections to one host. Connections that fail
// or do not respond in time are replaced.
type connPool struct {
	host      string
	address   string
	callSlots chan struct{} // semaphore: one slot per call in progress
	metrics   *metrics

	mu       sync.Mutex
	idle     []idleConn // most recently used last
	closed   bool
	failures int       // failed dials in a row
	nextDial time.Time // no dial before this time
}

// idleConn is a connection without a call in progress.
type idleConn struct {
	*drpcconn.Conn
	lastUsed time.Time // end of the last call
}

func newConnPool(host, address string, metrics *metrics) *connPool {
	return &connPool{host: host, address: address, metrics: metrics, callSlots: make(chan struct{}, maxCalls)}
}

// call runs one call on a connection. The context must have a deadline: if there is
// no response by then, the connection and all idle ones are closed as
// unresponsive. It returns *UnreachableError or *RemoteError.
func (p *connPool) call(ctx context.Context, f func(context.Context, peerpb.DRPCPeerClient) error) error {
	select {
	case p.callSlots <- struct{}{}:
		defer func() { <-p.callSlots }()
	case <-ctx.Done():
		return p.unreachable(ctx.Err())
	}
	conn, err := p.get(ctx)
	if err != nil {
		return p.unreachable(err)
	}
	err = f(ctx, peerpb.NewDRPCPeerClient(conn))
	if err == nil {
		p.put(conn)
		return nil
	}
	if ctx.Err() == nil && !isClosed(conn) {
		p.put(conn)
		return eris.Wrap(&RemoteError{Host: p.host, Cause: err}, "peer call")
	}
	_ = conn.Close() // the connection has failed already
	p.closeIdle()
	return p.unreachable(err)
}

func (p *connPool) unreachable(cause error) error {
	return eris.Wrap(&UnreachableError{Host: p.host, Cause: cause}, "peer call")
}

// get returns the most recently used idle connection or dials a new one. It returns
// *ClosedError, *BackoffError or the error of the dial.
func (p *connPool) get(ctx context.Context) (*drpcconn.Conn, error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		conn := p.idle[last]
		p.idle = p.idle[:last]
		if !isClosed(conn.Conn) {
			p.mu.Unlock()
			return conn.Conn, nil
		}
	}
	closed, backingOff := p.closed, time.Now().Before(p.nextDial)
	p.mu.Unlock()
	if closed {
		return nil, &ClosedError{}
	}
	if backingOff {
		return nil, &BackoffError{}
	}
	return p.dial(ctx)
}

func (p *connPool) dial(ctx context.Context) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport, err := dialer.DialContext(ctx, "tcp", p.address)
	p.recordDial(err)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()}), nil
}

// recordDial records the result of a dial and sets the earliest time of the next
// one.
func (p *connPool) recordDial(err error) {
	p.metrics.recordDial(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.failures = 0
		return
	}
	wait := min(minBackoff<<min(p.failures, 10), maxBackoff)
	p.failures++
	p.nextDial = time.Now().Add(wait - rand.N(wait/2))
}

// put returns a connection to the pool, or closes it if the pool is full or closed.
func (p *connPool) put(conn *drpcconn.Conn) {
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < maxIdleConns && !isClosed(conn)
	if keep {
		p.idle = append(p.idle, idleConn{conn, time.Now()})
	}
	p.mu.Unlock()
	if !keep {
		_ = conn.Close() // nothing is in progress on it
	}
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close() // nothing is in progress on it
	}
}

// idleLastUsed returns when each idle connection was last used.
func (p *connPool) idleLastUsed() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	times := make([]time.Time, 0, len(p.idle))
	for _, conn := range p.idle {
		times = append(times, conn.lastUsed)
	}
	return times
}

// closeIdleBefore closes the idle connections last used before the limit.
func (p *connPool) closeIdleBefore(limit time.Time) {
	p.mu.Lock()
	expired := 0 // idle is sorted by last use
	for expired < len(p.idle) && p.idle[expired].lastUsed.Before(limit) {
		expired++
	}
	old := slices.Clone(p.idle[:expired])
	p.idle = slices.Delete(p.idle, 0, expired)
	p.mu.Unlock()
	for _, conn := range old {
		_ = conn.Close() // nothing is in progress on it
	}
}

// close closes the pool and its idle connections. Calls in progress continue until
// their contexts end.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// managerOptions returns the connection options, which limit messages to
// MaxMessageBytes.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}
