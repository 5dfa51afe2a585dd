package gateway

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxBufferedResponseBytes bounds a response that is buffered until it is
	// complete.
	maxBufferedResponseBytes = 8 << 20
	// maxEventBytes bounds an event of a stream, which is buffered until it is complete.
	maxEventBytes = 1 << 20
	// unsharedBufferBytes is what each response may buffer whatever the others do.
	unsharedBufferBytes = 64 << 10
	minBufferBytes      = 4 << 10
	// bufferMemoryFraction is the part of the host's memory that all responses together
	// may buffer beyond unsharedBufferBytes each.
	bufferMemoryFraction = 0.125
	// defaultBufferBytes applies to hosts whose memory is not limited.
	defaultBufferBytes = 64 << 20
)

// ResponseTooLongError reports a response, or an event of a stream, of more than Limit
// bytes.
type ResponseTooLongError struct{ Limit int }

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("not complete after %d bytes", e.Limit)
}

// BuffersFullError reports that all responses together buffer as much as the host allows.
type BuffersFullError struct{ Limit int64 }

// Error implements error.
func (e *BuffersFullError) Error() string {
	return fmt.Sprintf("responses already buffer %d bytes", e.Limit)
}

// bufferBudget bounds what all responses of a host buffer together. It is safe for
// concurrent use.
type bufferBudget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// newBufferBudget returns the budget of a host; memoryMB is 0 if it is not limited.
func newBufferBudget(memoryMB float64) *bufferBudget {
	if memoryMB <= 0 {
		return &bufferBudget{limit: defaultBufferBytes}
	}
	return &bufferBudget{limit: int64(memoryMB * bufferMemoryFraction * (1 << 20))}
}

func (b *bufferBudget) reserve(bytes int64) error {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return &BuffersFullError{Limit: b.limit}
	}
	return nil
}

func (b *bufferBudget) release(bytes int64) { b.used.Add(-bytes) }

// responseBuffer buffers a part of a response. It is not safe for concurrent use.
type responseBuffer struct {
	budget   *bufferBudget
	limit    int // bytes
	data     []byte
	reserved int64 // bytes of the budget
}

// readAll reads to the end of a response. It returns the reader's error, a
// ResponseTooLongError or a BuffersFullError.
func (b *responseBuffer) readAll(reader io.Reader) error {
	for {
		err := b.readSome(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readSome appends the result of one Read. Its errors are those of readAll and io.EOF.
func (b *responseBuffer) readSome(reader io.Reader) error {
	if len(b.data) == cap(b.data) {
		if err := b.grow(); err != nil {
			return err
		}
	}
	n, err := reader.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	return err
}

// grow doubles the capacity, up to one byte beyond the limit: a response that fills it is
// too long.
func (b *responseBuffer) grow() error {
	if len(b.data) > b.limit {
		return &ResponseTooLongError{Limit: b.limit}
	}
	size := min(max(2*cap(b.data), minBufferBytes), b.limit+1)
	if shared := int64(size) - unsharedBufferBytes; shared > b.reserved {
		if err := b.budget.reserve(shared - b.reserved); err != nil {
			return err
		}
		b.reserved = shared
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}

// consume drops the first n bytes.
func (b *responseBuffer) consume(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
}

// free returns what the buffer reserved of the budget.
func (b *responseBuffer) free() {
	b.budget.release(b.reserved)
	b.data, b.reserved = nil, 0
}
