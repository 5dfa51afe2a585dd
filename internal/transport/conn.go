package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/arbutusbank/arbutusbank/internal/delivery"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
)

// checkedConn is a connection whose responses are checked.
type checkedConn struct {
	net.Conn
	reader *stricthttp.Reader
	wrote  atomic.Bool // a part of the current call has been written
	// unframed reports that the response to the current call ends with the connection.
	unframed atomic.Bool
	request  atomic.Pointer[requestWrite] // of the current call
}

func newCheckedConn(socket net.Conn) *checkedConn {
	c := &checkedConn{Conn: socket, reader: stricthttp.NewReader(socket)}
	c.request.Store(newRequestWrite())
	return c
}

// beginCall makes the connection expect the response to another call.
func (c *checkedConn) beginCall() stricthttp.Head {
	c.wrote.Store(false)
	c.unframed.Store(false)
	c.request.Store(newRequestWrite())
	head, _ := c.reader.ExpectHead(nil) // an error fails the next read, too
	return head
}

// Read implements net.Conn. A response that ends with the connection is complete only if its
// request could be delivered, too: the socket reports the failure of a connection once, to the
// writer or to the reader, and it may fail later, under the part of the request that the system
// still has to send. Read waits for that, as http.Transport closes the connection at the end of such
// a response.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if errors.Is(err, io.EOF) && c.unframed.Load() {
		if failure := c.awaitDelivery(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// awaitDelivery waits until the request of the current call has been delivered.
func (c *checkedConn) awaitDelivery() error {
	if err := c.request.Load().wait(); err != nil {
		return err
	}
	return delivery.Await(c.Conn)
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.wrote.Store(true)
	}
	if err != nil {
		c.request.Load().end(err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *checkedConn) Close() error {
	c.request.Load().end(net.ErrClosed)
	return c.Conn.Close()
}

// cause returns what made a call fail, in which net/http met err: a MalformedError, or err if the
// call ended or its connection failed.
func (c *checkedConn) cause(ctx context.Context, err error) error {
	if c == nil {
		return err // no connection
	}
	if malformed := c.reader.Err(); malformed != nil {
		return malformed
	}
	if ctx.Err() != nil || c.request.Load().failed() {
		return err
	}
	return c.reader.Cause(err)
}

// requestWrite is the write of the request of one call.
type requestWrite struct {
	once sync.Once
	done chan struct{}
	err  error // set before done is closed
}

func newRequestWrite() *requestWrite { return &requestWrite{done: make(chan struct{})} }

// end records how the write has ended. Only the first call has an effect.
func (w *requestWrite) end(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.done)
	})
}

// wait waits for the end of the write and returns its error.
func (w *requestWrite) wait() error {
	<-w.done
	return w.err
}

// failed reports whether the write has failed for another reason than that this side closed the
// connection. It does not wait.
func (w *requestWrite) failed() bool {
	select {
	case <-w.done:
		return w.err != nil && !errors.Is(w.err, net.ErrClosed)
	default:
		return false
	}
}
