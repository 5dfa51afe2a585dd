package gateway

import (
	"context"
	"fmt"
	"io"

	"github.com/arbutusbank/arbutusbank/internal/intake"
)

const (
	// maxBufferedResponseBytes bounds a response that is buffered until it is
	// complete.
	maxBufferedResponseBytes = 8 << 20
	// maxEventBytes bounds an event of a stream, which is buffered until it is complete.
	maxEventBytes  = 1 << 20
	minBufferBytes = 4 << 10
)

// ResponseTooLongError reports a response, or an event of a stream, of more than Limit
// bytes.
type ResponseTooLongError struct{ Limit int }

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("not complete after %d bytes", e.Limit)
}

// responseBuffer buffers a part of a response. It is not safe for concurrent use.
type responseBuffer struct {
	ctx    context.Context
	memory *intake.Buffer // holds no bytes itself
	limit  int            // bytes
	data   []byte
}

// readSome appends the result of one Read. It returns the reader's error, a
// ResponseTooLongError, an intake.NoMemoryError or the context's error.
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
	if err := b.memory.Reserve(b.ctx, int64(size)); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.memory.Release(int64(cap(b.data)))
	b.data = data
	return nil
}

// consume drops the first n bytes.
func (b *responseBuffer) consume(n int) {
	b.data = b.data[:copy(b.data, b.data[n:])]
}

// free returns the buffer's memory.
func (b *responseBuffer) free() {
	b.memory.Close()
	b.data = nil
}
