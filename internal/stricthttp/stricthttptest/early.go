package stricthttptest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Ending is what a stand-in does with a connection on which it has answered a request before it
// has read the body. The connection is closed when it returns.
type Ending func(conn *net.TCPConn, request *http.Request)

// Reset resets the connection.
func Reset(conn *net.TCPConn, _ *http.Request) {
	_ = conn.SetLinger(0) // fails if the client has reset the connection first
}

// CloseUnread closes the connection although bytes of the request are unread, so that the system
// resets it.
func CloseUnread(*net.TCPConn, *http.Request) {}

// ReadAndClose reads the request to its end.
func ReadAndClose(_ *net.TCPConn, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body) // ends early if the client disconnects
}

// HalfCloseAndRead ends the response by closing one direction, and then reads the request to its
// end.
func HalfCloseAndRead(conn *net.TCPConn, request *http.Request) {
	_ = conn.CloseWrite() // as in Reset
	ReadAndClose(conn, request)
}

// HalfCloseAndReset ends the response by closing one direction. A moment later it resets the
// connection.
func HalfCloseAndReset(conn *net.TCPConn, request *http.Request) {
	_ = conn.CloseWrite() // as in Reset
	time.Sleep(halfOpenTime)
	Reset(conn, request)
}

const halfOpenTime = 20 * time.Millisecond

// HalfCloseAndReadSlowly ends the response by closing one direction, and then reads the request at
// slowBytes for each slowInterval.
func HalfCloseAndReadSlowly(conn *net.TCPConn, request *http.Request) {
	_ = conn.CloseWrite() // as in Reset
	for {
		if _, err := io.CopyN(io.Discard, request.Body, slowBytes); err != nil {
			return // the end, or the client disconnected
		}
		time.Sleep(slowInterval)
	}
}

const (
	slowBytes    = 64 << 10
	slowInterval = 40 * time.Millisecond
)

// Counted returns an ending that sends the number of bytes of the body that another one has read.
func Counted(ending Ending, read chan<- int64) Ending {
	return func(conn *net.TCPConn, request *http.Request) {
		body := &countedBody{ReadCloser: request.Body}
		request.Body = body
		ending(conn, request)
		read <- body.read
	}
}

// countedBody counts what is read of a body.
type countedBody struct {
	io.ReadCloser
	read int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	return n, err
}

// StallUntil returns an ending that neither reads nor closes before a context has ended. halfClose
// makes it end the response first.
func StallUntil(ctx context.Context, halfClose bool) Ending {
	return func(conn *net.TCPConn, _ *http.Request) {
		if halfClose {
			_ = conn.CloseWrite() // as in Reset
		}
		<-ctx.Done()
	}
}

// EarlyResponse is how a stand-in responds to requests whose bodies it has not read.
type EarlyResponse struct {
	Text string
	// Delay is the time between the text and the ending.
	Delay  time.Duration
	Ending Ending
}

// Serve responds to the first request of each connection. It returns the address.
func (e EarlyResponse) Serve(t testing.TB) (address string) {
	t.Helper()
	return serve(t, func(conn net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			e.Respond(conn, request)
		}
	})
}

// Respond responds to a request whose head has been read.
func (e EarlyResponse) Respond(conn net.Conn, request *http.Request) {
	if _, err := io.WriteString(conn, e.Text); err != nil {
		return // the client disconnected
	}
	time.Sleep(e.Delay)
	e.Ending(conn.(*net.TCPConn), request)
}
