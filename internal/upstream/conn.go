package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderBytes bounds a response header with the interim responses before it.
	maxHeaderBytes = 64 << 10
)

// headerLimiter reads from a connection and bounds what is read while a header is due:
// http.ReadResponse itself reads lines of any length.
type headerLimiter struct {
	source io.Reader
	// left is the number of bytes that may still be read; -1: any.
	left int
}

// Read implements io.Reader.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// conn is one connection to an upstream.
type conn struct {
	socket    net.Conn
	limiter   *headerLimiter
	checked   *stricthttp.Reader // reads from limiter
	reader    *bufio.Reader      // reads from checked
	expiresAt time.Time
	closeOnce sync.Once
	refused   []string // IDs of the requests that the upstream refused on this connection
	tainted   bool     // bytes that belong to no request were received
}

func newConn(socket net.Conn) *conn {
	limiter := &headerLimiter{source: socket, left: -1}
	checked := stricthttp.NewReader(limiter)
	return &conn{socket: socket, limiter: limiter, checked: checked, reader: bufio.NewReaderSize(checked, readBufferBytes)}
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.socket.Close() }) // a failed close can't be handled
}

// isReusable reports whether an idle connection is open and has no unread bytes,
// which would belong to no request.
func (c *conn) isReusable() bool {
	return c.reader.Buffered() == 0 && !hasPendingData(c.socket)
}

// expectHead makes the connection check the next head, of which a part may be buffered. It
// returns a stricthttp.MalformedError.
func (c *conn) expectHead() error {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails, as it reads nothing
	_, err := c.checked.ExpectHead(buffered)
	return err
}

// readError returns the IncompleteResponseError of a response in which net/http met err.
func (c *conn) readError(err error) *IncompleteResponseError {
	err = c.checked.Cause(err)
	if c.limiter.left == 0 {
		err = &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	var malformed *stricthttp.MalformedError
	if c.limiter.left == 0 || errors.As(err, &malformed) {
		err = &MalformedResponseError{Cause: err}
	}
	return &IncompleteResponseError{Cause: err}
}
