package engine

import (
	"context"

	"github.com/arbutusbank/arbutusbank/internal/intake"
)

// lineBuffer holds a long line of a stream, in memory that is reserved for responses. It is not
// safe for concurrent use.
type lineBuffer struct {
	ctx    context.Context
	memory *intake.Buffer // holds no bytes itself
	data   []byte
}

func newLineBuffer(ctx context.Context) *lineBuffer {
	return &lineBuffer{ctx: ctx, memory: intake.Of(ctx).Response(maxEventBytes)}
}

// append appends a part of the line. It returns a ProtocolError if the line is too long, an
// intake.NoMemoryError or the context's error.
func (b *lineBuffer) append(part []byte) error {
	size := len(b.data) + len(part)
	if size > maxEventBytes {
		return &ProtocolError{Detail: "event too large"}
	}
	if size > cap(b.data) {
		if err := b.grow(max(2*cap(b.data), size)); err != nil {
			return err
		}
	}
	b.data = append(b.data, part...)
	return nil
}

func (b *lineBuffer) grow(capacity int) error {
	if err := b.memory.Reserve(b.ctx, int64(capacity)); err != nil {
		return err
	}
	data := make([]byte, len(b.data), capacity)
	copy(data, b.data)
	b.memory.Release(int64(cap(b.data)))
	b.data = data
	return nil
}

// reset drops the line and keeps its memory for the next one.
func (b *lineBuffer) reset() { b.data = b.data[:0] }

// free returns the memory.
func (b *lineBuffer) free() {
	b.memory.Close()
	b.data = nil
}
