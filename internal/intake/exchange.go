package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/membudget"
)

const (
	// firstSegment and lastSegment are the sizes of the first and of long bodies' further
	// segments, which double in between.
	firstSegment = 8 << 10
	lastSegment  = 64 << 10
	// evictionWait is how long a reservation waits for the memory of evicted accounts.
	evictionWait = 500 * time.Millisecond
	// responseWait is how long a response waits for memory: its request has run, and those that
	// hold the memory count as stalled after bodyGrace. One at a time waits for patientWait, so
	// that responses which have part of their memory do not all wait for each other.
	responseWait = 1500 * time.Millisecond
	patientWait  = 4 * time.Second
	// maxLingering bounds the connections that were not admitted and stay half open.
	maxLingering = 32
	// RetryAfter is the time after which memory is free again: stalled bodies are evicted then.
	RetryAfter = time.Second
)

// NoMemoryError reports that the host's memory for a kind of bytes is used up.
type NoMemoryError struct{ Kind membudget.Kind }

// Error implements error.
func (e *NoMemoryError) Error() string { return "no memory for " + e.Kind.String() }

// StalledError reports a body that arrived too slowly while memory was short.
type StalledError struct{}

// Error implements error.
func (e *StalledError) Error() string { return "the body arrived too slowly while memory was short" }

// TooLargeError reports a body or response of more than Limit bytes.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("more than %d bytes", e.Limit) }

// reserve reserves bytes for an account. It waits for evicted accounts, and with responseWait
// also for others to count as stalled.
func (g *Guard) reserve(ctx context.Context, a *membudget.Account, kind membudget.Kind, bytes int64, wait time.Duration) error {
	decision := a.Reserve(bytes, g.now())
	if decision.Granted {
		return nil
	}
	run(decision.Evict)
	if wait == responseWait && g.patient.CompareAndSwap(false, true) {
		defer g.patient.Store(false)
		wait = patientWait
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		released := g.budget.Released()
		decision = a.Reserve(bytes, g.now())
		run(decision.Evict)
		if decision.Granted {
			return nil
		}
		if !decision.Wait && wait <= evictionWait {
			return &NoMemoryError{Kind: kind}
		}
		select {
		case <-released:
		case <-time.After(evictionWait / 4): // others may count as stalled by now
		case <-end.C:
			return &NoMemoryError{Kind: kind}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func run(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// Exchange is the memory of one request and its response. Its zero value and nil do not bound
// anything. It is safe for concurrent use.
type Exchange struct {
	guard   *Guard
	conn    *conn
	reading atomic.Bool // the body

	mu       sync.Mutex
	accounts []*membudget.Account
	closed   bool
}

// Of returns the exchange of a request's context, nil if its server has no guard.
func Of(ctx context.Context) *Exchange {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.exchange.Load()
}

// close returns what the exchange has reserved.
func (e *Exchange) close() {
	e.conn.exchange.Store(nil)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, a := range e.accounts {
		a.Close()
	}
}

// open opens an account that ends with the exchange at the latest.
func (e *Exchange) open(kind membudget.Kind) *membudget.Account {
	a := e.guard.budget.Open(kind, e.conn.source, e.evict)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		a.Close()
	}
	e.accounts = append(e.accounts, a)
	return a
}

// buffer returns an empty buffer of at most limit bytes.
func (e *Exchange) buffer(kind membudget.Kind, limit int64) *Buffer {
	b := &Buffer{limit: limit, kind: kind}
	if e != nil {
		b.guard, b.account = e.guard, e.open(kind)
	}
	return b
}

// Response returns a buffer for a response of at most limit bytes.
func (e *Exchange) Response(limit int64) *Buffer { return e.buffer(membudget.Responses, limit) }

// ReadResponse reads a response of at most limit bytes, whose memory stays reserved until the
// request ends. expected is its length if known, otherwise negative. It returns the errors of
// Buffer.Read.
func (e *Exchange) ReadResponse(ctx context.Context, reader io.Reader, limit, expected int64) ([]byte, error) {
	b := e.Response(limit)
	if err := b.Read(ctx, reader, expected); err != nil {
		b.Close()
		return nil, err
	}
	return b.Join(ctx)
}

// await records that bytes are being written to the caller, which may not read them: when
// memory is short it is disconnected, and all that the exchange has reserved becomes free.
func (e *Exchange) await() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.guard.now()
	for _, a := range e.accounts {
		a.Expect(now, bodyGrace)
	}
}

// proceed ends what await began.
func (e *Exchange) proceed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.accounts {
		a.Suspend()
	}
}

// evict ends the exchange: a body that is being read is refused, otherwise the connection is
// closed.
func (e *Exchange) evict() {
	if e.reading.Load() {
		e.conn.expireReads()
		return
	}
	e.conn.evict()
}

// ReadBody reads the body of a request of at most limit bytes. It returns a TooLargeError, a
// NoMemoryError, a StalledError or the reader's error; the connection must be closed then, see
// Abandon.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		Of(r.Context()).count("too_large")
		return nil, &TooLargeError{Limit: limit}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	e := Of(r.Context())
	b := e.buffer(membudget.Bodies, limit)
	if e == nil {
		if err := b.Read(r.Context(), r.Body, r.ContentLength); err != nil {
			return nil, err
		}
		return b.Join(r.Context())
	}
	e.reading.Store(true)
	b.account.Expect(e.guard.now(), bodyGrace)
	err := b.Read(r.Context(), r.Body, r.ContentLength)
	settled := b.account.Settle()
	if settled {
		e.reading.Store(false) // otherwise evict may be about to be called; the request is refused
	}
	var tooLarge *TooLargeError
	var full *NoMemoryError
	switch {
	case !settled && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
		e.count("stalled")
		return nil, &StalledError{}
	case errors.As(err, &tooLarge):
		e.count("too_large")
	case errors.As(err, &full):
		e.count("memory")
	}
	if err != nil {
		return nil, err
	}
	return b.Join(r.Context())
}

func (e *Exchange) count(reason string) {
	if e != nil {
		e.guard.count(reason)
	}
}

// Abandon prepares the refusal of a request whose body was not read: the connection is closed
// after it, and the rest of the body is not read.
func Abandon(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if e := Of(r.Context()); e != nil {
		e.conn.lingers.Store(true)
		e.conn.expireReads()
	}
}

// Reserve reserves further memory for the request, until it ends. It returns a NoMemoryError
// or the context's error.
func (e *Exchange) Reserve(ctx context.Context, bytes int64) error {
	if e == nil || bytes <= 0 {
		return nil
	}
	err := e.guard.reserve(ctx, e.open(membudget.Bodies), membudget.Bodies, bytes, evictionWait)
	if err != nil {
		e.count("memory")
	}
	return err
}

// Buffer holds a body or response in segments, for which memory is reserved as bytes arrive.
type Buffer struct {
	guard    *Guard             // nil: not bounded
	account  *membudget.Account // nil if guard is
	kind     membudget.Kind
	limit    int64
	segments [][]byte
	size     int64
	waited   time.Duration // for memory
}

// Size returns the number of bytes.
func (b *Buffer) Size() int64 { return b.size }

// Waited returns how long the buffer has waited for memory.
func (b *Buffer) Waited() time.Duration { return b.waited }

// Read reads to the end of a reader. expected is the number of bytes if known, otherwise
// negative. It returns the reader's error, a TooLargeError or a NoMemoryError.
func (b *Buffer) Read(ctx context.Context, reader io.Reader, expected int64) error {
	for {
		segment, err := b.space(ctx, expected)
		if err != nil {
			return err
		}
		n, err := reader.Read(segment[len(segment):cap(segment)])
		b.segments[len(b.segments)-1] = segment[:len(segment)+n]
		b.size += int64(n)
		if b.account != nil && n > 0 {
			b.account.Progress(n, b.guard.now())
		}
		switch {
		case b.size > b.limit:
			return &TooLargeError{Limit: b.limit}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// space returns the last segment, a new one if it is full.
func (b *Buffer) space(ctx context.Context, expected int64) ([]byte, error) {
	size := firstSegment
	if count := len(b.segments); count > 0 {
		last := b.segments[count-1]
		if len(last) < cap(last) {
			return last, nil
		}
		size = min(2*cap(last), lastSegment)
	}
	if left := expected - b.size; expected >= 0 && left >= 0 && left < int64(size) {
		size = int(left) + 1 // one byte more to see the end
	}
	if err := b.Reserve(ctx, int64(size)); err != nil {
		return nil, err
	}
	segment := make([]byte, 0, size)
	b.segments = append(b.segments, segment)
	return segment, nil
}

// Reserve reserves further memory for the buffer. It returns a NoMemoryError or the context's
// error.
func (b *Buffer) Reserve(ctx context.Context, bytes int64) error {
	if b.account == nil {
		return nil
	}
	wait := evictionWait
	if b.kind == membudget.Responses {
		wait = responseWait
	}
	start := b.guard.now()
	err := b.guard.reserve(ctx, b.account, b.kind, bytes, wait)
	b.waited += b.guard.now() - start
	return err
}

// Join returns all bytes in one piece; the buffer is empty then, but its memory stays reserved.
// It returns the errors of a reservation.
func (b *Buffer) Join(ctx context.Context) ([]byte, error) {
	if len(b.segments) == 1 {
		joined := b.segments[0]
		b.segments, b.size = nil, 0
		return joined, nil
	}
	if err := b.Reserve(ctx, b.size); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, b.size)
	for i, segment := range b.segments {
		joined = append(joined, segment...)
		b.segments[i] = nil
	}
	b.Release(b.size)
	b.segments, b.size = nil, 0
	return joined, nil
}

// WriteTo writes all bytes to a caller and releases their memory on the way.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for i, segment := range b.segments {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
		b.segments[i] = nil
		b.Release(int64(cap(segment)))
	}
	b.segments, b.size = nil, 0
	return written, nil
}

// Release gives memory back.
func (b *Buffer) Release(bytes int64) {
	if b.account != nil {
		b.account.Release(bytes)
	}
}

// Close releases the memory.
func (b *Buffer) Close() {
	b.segments = nil
	if b.account != nil {
		b.account.Close()
	}
}
