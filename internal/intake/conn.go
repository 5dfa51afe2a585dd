package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/membudget"
)

const (
	// headStep is the step in which the memory of a head is reserved. The first one is part of
	// the connection's.
	headStep = 4 << 10
	// headCopies is how often the bytes of a head are in memory: as read, and as fields.
	headCopies = 2
	// writePiece is the most that is written at once, so that a caller that reads is seen to.
	writePiece = 64 << 10
	// refusalWriteTimeout bounds writing a response of some hundred bytes to a connection that
	// has no other one outstanding.
	refusalWriteTimeout = 50 * time.Millisecond
)

// These responses go to callers whose request has not been read; both statuses state that it
// has not run.
const (
	unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	timeoutResponse     = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	guard    *Guard
	source   netip.Addr
	account  *membudget.Account
	exchange atomic.Pointer[Exchange] // of the request in progress

	busy    atomic.Bool // a request is in progress
	evicted atomic.Bool
	// expired: reads fail from now on.
	expired  atomic.Bool
	lingers  atomic.Bool
	half     atomic.Bool  // this side is closed for writing
	deadline atomic.Int64 // while not busy: when the wait for a head or a request ends, nanoseconds since the guard's start
	close    sync.Once
	closed   atomic.Bool
	unframed unframedResponse
	head     atomic.Pointer[membudget.Account] // nil: the head is short

	// Used by the goroutine that reads; net/http has one at a time.
	headBytes, headReserved int
	told                    bool
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return source.SyscallConn()
}

// await begins the wait for a head.
func (c *conn) await(grace, timeout time.Duration) {
	now := c.guard.now()
	c.account.Expect(now, grace)
	c.deadline.Store(int64(now + timeout))
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeout)) // fails only for a closed connection
}

// observe follows the state of the connection at its server.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		settled := c.account.Settle()
		if head := c.head.Load(); head != nil {
			settled = head.Settle() && settled
		}
		if !settled {
			c.evict() // the one that evicted it may not have come so far; nothing runs
			return
		}
		c.busy.Store(true)
		_ = c.Conn.SetReadDeadline(time.Time{}) // as above
	case http.StateIdle:
		c.closeHead()
		c.headBytes, c.headReserved = 0, 0
		c.busy.Store(false)
		c.unframed.end(c)
		c.await(idleGrace, c.guard.options.Timeouts().Idle)
		c.account.Prefer(true)
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.evicted.Load() {
		return 0, c.turnAway()
	}
	n, err := c.Conn.Read(p)
	if c.evicted.Load() {
		return 0, c.turnAway()
	}
	if n > 0 && !c.busy.Load() && !c.recordHead(n) {
		c.guard.count("memory")
		c.evict()
		return 0, c.turnAway()
	}
	return n, err
}

// recordHead reserves memory for bytes of a head. It returns false if there is none.
func (c *conn) recordHead(n int) bool {
	if c.headBytes == 0 {
		c.account.Prefer(false)
		c.await(silentGrace, c.guard.options.Timeouts().Head)
	}
	c.headBytes += n
	if c.headBytes <= headStep {
		return true
	}
	head := c.head.Load()
	if head == nil {
		head = c.guard.budget.Open(membudget.Heads, c.source, c.evict)
		head.Expect(c.guard.now(), silentGrace)
		c.head.Store(head)
		if c.closed.Load() {
			c.closeHead() // by a shutdown
		}
	}
	for c.headReserved < headCopies*c.headBytes {
		if c.guard.reserve(context.Background(), head, membudget.Heads, headStep, evictionWait) != nil {
			return false
		}
		c.headReserved += headStep
	}
	return true
}

func (c *conn) closeHead() {
	if head := c.head.Swap(nil); head != nil {
		head.Close()
	}
}

// turnAway tells a caller without a request in progress that nothing runs, and returns an error
// to which the server does not respond.
func (c *conn) turnAway() error {
	if !c.told && !c.busy.Load() {
		c.told = true
		c.guard.count("stalled")
		c.write(timeoutResponse)
	}
	return os.ErrDeadlineExceeded
}

func (c *conn) write(response string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // as above
	_, _ = io.WriteString(c.Conn, response)                          // the caller may have left
}

// refuse responds to a connection that was not admitted, and closes it.
func (c *conn) refuse(response string) {
	c.write(response)
	c.lingers.Store(c.guard.lingering.Load() < maxLingering)
	_ = c.Close() // nothing else uses the connection
}

// evict ends the connection: what its server reads or writes fails from now on.
func (c *conn) evict() {
	c.evicted.Store(true)
	past := time.Unix(1, 0)
	_ = c.Conn.SetDeadline(past) // as above
	if c.half.Load() {
		_ = c.Conn.Close() // it lingers; Close has been called
	}
}

// expireReads makes reads of the body fail, also for net/http, which reads the rest of one.
func (c *conn) expireReads() {
	c.expired.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // as above
}

// SetReadDeadline implements net.Conn. While the connection waits for a request, no deadline
// means the guard's.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && !c.busy.Load() {
		t = c.guard.start.Add(time.Duration(c.deadline.Load()))
	}
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() || c.expired.Load() {
		err = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	err := c.Conn.SetWriteDeadline(t)
	if c.evicted.Load() {
		err = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	return err
}

// Write implements net.Conn. A connection whose caller does not read may be closed when
// connections or memory are short.
func (c *conn) Write(p []byte) (int, error) {
	c.unframed.writing.Store(true)
	defer c.unframed.writing.Store(false)
	written := 0
	for {
		exchange := c.exchange.Load()
		c.account.Expect(c.guard.now(), bodyGrace)
		if exchange != nil {
			exchange.await()
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		c.account.Suspend()
		if exchange != nil {
			exchange.proceed()
		}
		written += n
		if err != nil {
			c.unframed.failed.Store(true)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	c.half.Store(true)
	return half.CloseWrite()
}

// Close implements net.Conn. A connection with an unread request stays half open for
// lingerTime.
func (c *conn) Close() error {
	var err error
	c.close.Do(func() {
		c.unframed.end(c)
		if !c.lingers.Load() || c.half.Load() || c.unframed.pending.Load() || c.CloseWrite() != nil {
			err = c.closeNow()
			return
		}
		c.account.Expect(c.guard.now(), 0) // room for another connection comes first
		c.guard.lingering.Add(1)
		time.AfterFunc(lingerTime, func() {
			c.guard.lingering.Add(-1)
			_ = c.closeNow() // evict may have closed it
		})
	})
	return err
}

func (c *conn) closeNow() error {
	err := c.Conn.Close()
	c.closed.Store(true)
	c.closeHead()
	c.account.Close()
	c.guard.connections.Add(-1)
	return err
}
