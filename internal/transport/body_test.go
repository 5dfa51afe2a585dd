package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/intake"
)

func bodyOf(reader io.Reader) *http.Response { return &http.Response{Body: io.NopCloser(reader)} }

// Guards against bodies that are cut at a limit, or taken for complete beyond it.
func TestBodyReaderLimit(t *testing.T) {
	const limit = 1 << 20
	bodies := NewBodyReader()
	for _, size := range []int{0, shortBodyBytes, shortBodyBytes + 1, limit, limit + 1} {
		body := bytes.Repeat([]byte("b"), size)
		got, err := bodies.Read(context.Background(), bodyOf(bytes.NewReader(body)), limit)
		var tooLarge *intake.TooLargeError
		if size > limit && !errors.As(err, &tooLarge) || size <= limit && (err != nil || !bytes.Equal(got, body)) {
			t.Errorf("%d bytes: read %d, error %v", size, len(got), err)
		}
	}
}

// Guards against long bodies that are read side by side, and against short ones that wait for
// them.
func TestLongBodiesTakeTurns(t *testing.T) {
	bodies := NewBodyReader()
	stalled, writer := io.Pipe()
	done := make(chan error, 1)
	go func() {
		_, err := bodies.Read(context.Background(), bodyOf(stalled), 1<<20)
		done <- err
	}()
	long := strings.Repeat("b", 2*shortBodyBytes)
	if _, err := io.WriteString(writer, long); err != nil { // returns once the body has its turn
		t.Fatal(err)
	}
	if _, err := bodies.Read(context.Background(), bodyOf(strings.NewReader("short")), 1<<20); err != nil {
		t.Errorf("short body: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := bodies.Read(ctx, bodyOf(strings.NewReader(long)), 1<<20); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("second long body: %v, want the end of its context", err)
	}
	_ = writer.Close() // never fails
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := bodies.Read(context.Background(), bodyOf(strings.NewReader(long)), 1<<20); err != nil {
		t.Errorf("long body after the first one: %v", err)
	}
}
