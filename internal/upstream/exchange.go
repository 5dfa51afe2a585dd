package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// inlineBodyBytes is the longest body that is written before the answer is
	// read. A longer one is written beside, because an upstream may answer
	// before it has read the body.
	inlineBodyBytes = 16 << 10
)

// Request is a request to an upstream. Method, target and body pass unchanged.
type Request struct {
	Key     string // identifies the upstream's incarnation
	Address string // IP:port
	Method  string
	Target  string // path and query as the caller wrote them
	Host    string
	Header  http.Header
	Body    []byte
}

// IncompleteResponseError reports that a connection ended without a whole answer. The
// request may have run.
type IncompleteResponseError struct {
	// HeaderReceived says that the status line had arrived.
	HeaderReceived bool
	Cause          error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string { return fmt.Sprintf("answer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// conn is one connection to an upstream.
type conn struct {
	socket      net.Conn
	reader      *bufio.Reader
	usableUntil time.Time
	closeOnce   sync.Once
}

func newConn(socket net.Conn) *conn {
	return &conn{socket: socket, reader: bufio.NewReaderSize(socket, readBufferBytes)}
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.socket.Close() }) // nothing can be done about a failed close
}

// quiet reports whether an idle connection is open and has no bytes waiting:
// those would belong to no request.
func (c *conn) quiet() bool {
	return c.reader.Buffered() == 0 && !peekPending(c.socket)
}

// Response is an upstream's answer whose body is read by the caller.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if it is not stated.
	Length int64
	// NewConnection says that the connection was opened for this request.
	NewConnection bool

	response *http.Response
	conn     *conn
	pool     *Pool
	key      string
	written  chan error // result of writing a long body; nil for others
	stop     func() bool
	whole    bool
}

// Do sends a message and reads the head of the answer. Ending the context
// closes the connection, which cancels the request. It returns a DialError if
// nothing was sent and a LostError if the request may have run.
func (p *Pool) Do(ctx context.Context, message *Request) (*Response, error) {
	c := p.take(message.Key)
	fresh := c == nil
	if fresh {
		opened, err := dial(ctx, message.Address)
		if err != nil {
			return nil, err
		}
		c = opened
	}
	stop := context.AfterFunc(ctx, c.close)
	answer := &Response{conn: c, pool: p, key: message.Key, stop: stop, NewConnection: fresh}
	if err := answer.send(message); err != nil {
		answer.Close()
		return nil, &IncompleteResponseError{Cause: err}
	}
	if err := answer.readHead(message.Method); err != nil {
		answer.Close()
		return nil, &IncompleteResponseError{Cause: err}
	}
	return answer, nil
}

func (a *Response) send(message *Request) error {
	head := encodeHead(message)
	if len(message.Body) <= inlineBodyBytes {
		_, err := a.conn.socket.Write(append(head, message.Body...))
		return err
	}
	a.written = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, message.Body}
		_, err := buffers.WriteTo(a.conn.socket)
		a.written <- err
	}()
	return nil
}

func encodeHead(message *Request) []byte {
	var head bytes.Buffer
	head.Grow(1024 + len(message.Body))
	head.WriteString(message.Method + " " + message.Target + " HTTP/1.1\r\nHost: " + message.Host + "\r\n")
	for name, values := range message.Header {
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(message.Body) > 0 || message.Method == http.MethodPost || message.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(message.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

func (a *Response) readHead(method string) error {
	for {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			a.response = response
			break
		}
	}
	a.Status, a.Header, a.Length = a.response.StatusCode, a.response.Header, a.response.ContentLength
	return nil
}

// Read reads the body. io.EOF means that it is whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		a.whole = true
	case err != nil:
		err = &IncompleteResponseError{HeaderReceived: true, Cause: err}
	}
	return n, err
}

// Close gives the connection back if the whole answer was read, else closes it.
func (a *Response) Close() {
	if !a.stop() || !a.whole || a.response.Close || a.conn.reader.Buffered() > 0 || !a.bodyWritten() {
		a.conn.close()
		return
	}
	idle := idleTime(a.Header)
	if idle <= 0 {
		a.conn.close()
		return
	}
	a.conn.usableUntil = time.Now().Add(idle)
	a.pool.put(a.key, a.conn)
}

// bodyWritten reports whether the request's body has been written whole.
func (a *Response) bodyWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// idleTime returns how long the connection may be kept for the next request.
func idleTime(header http.Header) time.Duration {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdle
		}
		stated := time.Duration(seconds) * time.Second
		return max(stated-idleMargin, stated/2)
	}
	return defaultIdle
}
