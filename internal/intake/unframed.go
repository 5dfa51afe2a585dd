package intake

import (
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// unframedResponse is a response to a request of HTTP/1.0, which may have neither a length nor
// chunks: the caller takes the end of the connection for that of the response. The system resets the
// connection if it is closed before the response is complete, also by the end of this process.
type unframedResponse struct {
	pending atomic.Bool // closing the connection resets it
	handled atomic.Bool // the handler has returned
	writing atomic.Bool // a part of the response is being written
	failed  atomic.Bool // a part of the response could not be written
}

// begin begins a response.
func (u *unframedResponse) begin(c *conn) {
	u.handled.Store(false)
	u.pending.Store(true)
	c.resetOnClose(true)
}

// end is called when the connection is idle or closed. It has no effect if the response is not
// complete.
func (u *unframedResponse) end(c *conn) {
	if !u.pending.Load() || !u.handled.Load() || u.writing.Load() || u.failed.Load() {
		return
	}
	u.pending.Store(false)
	c.resetOnClose(false)
}

// resetOnClose sets whether closing the connection resets it. It has no effect on connections
// that are no sockets.
func (c *conn) resetOnClose(reset bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	linger := unix.Linger{} // closes in order
	if reset {
		linger.Onoff = 1 // for no time
	}
	_ = raw.Control(func(fd uintptr) { // fails only for a closed connection
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) // a socket supports it
	})
}
