package upstream

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/delivery"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
)

const (
	// maxDiscardBytes and discardTimeout bound what is read of a response that is not
	// forwarded: a new connection costs less than a longer wait.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
	// maxRefused is the number of refused requests after which a connection is closed.
	maxRefused = 64
)

// Response is an upstream's response. The caller reads the body and must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, -1 if unknown.
	Length int64
	// NewConnection reports that the connection was opened for this request.
	NewConnection bool

	head           *http.Response
	conn           *conn
	pool           *Pool
	key            string
	id             string // of the request
	method         string
	bodyWrite      *bodyWrite // nil for short bodies
	stopCancelHook func() bool
	complete       bool
}

// readHeader reads the header of the final response; it skips interim ones. It returns an
// IncompleteResponseError.
func (r *Response) readHeader() error {
	r.conn.limiter.left = maxHeaderBytes
	defer func() { r.conn.limiter.left = -1 }()
	if err := r.conn.expectHead(); err != nil {
		return r.conn.readError(err)
	}
	for {
		response, err := http.ReadResponse(r.conn.reader, &http.Request{Method: r.method})
		if err != nil {
			return r.conn.readError(err)
		}
		if response.StatusCode >= 200 {
			r.head = response
			break
		}
	}
	r.Status, r.Header, r.Length = r.head.StatusCode, r.head.Header, r.head.ContentLength
	return nil
}

// SkipForeign discards this response, which belongs to another request, and reads the header
// of the one that follows it on the connection. The connection is not used again. It returns
// an IncompleteResponseError if no further response follows; the request may have run.
func (r *Response) SkipForeign() error {
	r.conn.tainted = true
	if !r.HasEnd() {
		return &IncompleteResponseError{HeaderReceived: true, Cause: &ForeignResponseError{}}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes)); err != nil {
		return err
	}
	if !r.complete {
		return &IncompleteResponseError{HeaderReceived: true, Cause: &ForeignResponseError{}}
	}
	r.complete = false
	return r.readHeader()
}

// HasEnd reports whether the response states where its body ends. Otherwise it ends with
// the connection, which a crash of the upstream ends, too.
func (r *Response) HasEnd() bool {
	return r.Length >= 0 || slices.Contains(r.head.TransferEncoding, "chunked")
}

// RecordRefused records that the upstream stated that it did not run the request. If the
// request is sent to the upstream again, it goes out on another connection: on this one, a
// second copy of the refusal would look like the response to the second send.
func (r *Response) RecordRefused() {
	if r.id != "" {
		r.conn.refused = append(r.conn.refused, r.id)
	}
}

// Read reads the body. It returns io.EOF at the end of a complete body, and an
// IncompleteResponseError if the connection ended before, or the body or the trailer is malformed.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.head.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		failure := r.checkEnd()
		if failure == nil {
			r.complete = true
			return n, io.EOF
		}
		err = failure
	}
	incomplete := r.conn.readError(err)
	incomplete.HeaderReceived = true
	return n, incomplete
}

// checkEnd returns an error if the body is not complete although net/http has met its end. A
// response that ends with its connection is complete only if the request could be delivered, too: the
// socket reports the failure of a connection once, to the writer or to the reader, and it may fail
// later, under the part of the request that the system still has to send.
func (r *Response) checkEnd() error {
	if err := stricthttp.CheckTrailer(r.head.Trailer); err != nil {
		return err
	}
	if r.HasEnd() {
		return nil
	}
	if err := r.bodyWrite.wait(); err != nil {
		return err
	}
	return delivery.Await(r.conn.socket)
}

// Discard reads the rest of the body, so that the connection can be used again. It gives
// up after maxDiscardBytes or discardTimeout; the connection is closed then. It returns
// the errors of Read. Of a response that ends with its connection it reads nothing.
func (r *Response) Discard() error {
	if !r.HasEnd() {
		return nil
	}
	if err := r.conn.socket.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return &IncompleteResponseError{HeaderReceived: true, Cause: err}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDiscardBytes)); err != nil {
		return err
	}
	if err := r.conn.socket.SetReadDeadline(time.Time{}); err != nil {
		return &IncompleteResponseError{HeaderReceived: true, Cause: err}
	}
	return nil
}

// Close returns the connection to the pool if the response was read completely,
// otherwise it closes the connection.
func (r *Response) Close() {
	if !r.stopCancelHook() || !r.complete || r.head.Close || r.conn.tainted || len(r.conn.refused) >= maxRefused || r.conn.reader.Buffered() > 0 || !r.bodyWrite.succeeded() {
		r.conn.close()
		return
	}
	idle := idleTimeOf(r.Header)
	if idle <= 0 {
		r.conn.close()
		return
	}
	r.conn.expiresAt = time.Now().Add(idle)
	r.pool.put(r.key, r.conn)
}

// idleTimeOf returns how long the connection may stay idle before it is reused, from
// the response's Keep-Alive header.
func idleTimeOf(header http.Header) time.Duration {
	for _, item := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTime
		}
		stated := time.Duration(seconds) * time.Second
		return max(stated-idleMargin, stated/2)
	}
	return defaultIdleTime
}
