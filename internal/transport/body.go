package transport

import (
	"context"
	"io"
	"net/http"

	"github.com/arbutusbank/arbutusbank/internal/intake"
)

// shortBodyBytes is the length up to which bodies are read concurrently.
const shortBodyBytes = 64 << 10

// BodyReader reads the bodies of responses to control calls. Of those that are not short it reads
// one at a time: calls go to many upstreams at once, and a body without end takes memory up to its
// limit. It is safe for concurrent use.
type BodyReader struct{ turn chan struct{} }

// NewBodyReader returns a body reader.
func NewBodyReader() *BodyReader { return &BodyReader{turn: make(chan struct{}, 1)} }

// Read reads a body of at most limit bytes. It returns the body's error, an
// intake.TooLargeError, or the context's error if it ended before the body's turn.
func (b *BodyReader) Read(ctx context.Context, response *http.Response, limit int64) ([]byte, error) {
	short, err := io.ReadAll(io.LimitReader(response.Body, shortBodyBytes+1))
	if err != nil || len(short) <= shortBodyBytes {
		return short, err
	}
	select {
	case b.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-b.turn }()
	var unbounded *intake.Exchange // the limit bounds the body, and the turn the number of bodies
	rest, err := unbounded.ReadResponse(ctx, response.Body, limit-int64(len(short)), -1)
	if err != nil {
		return nil, err
	}
	return append(short, rest...), nil
}
