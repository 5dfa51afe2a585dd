// Package logsink writes log lines asynchronously. It never blocks the caller: when
// the output is too slow, lines are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the number of lines that wait to be written.
const maxQueuedLines = 4096

// Sink is an io.Writer of log lines. Write and Dropped are safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to output until Close. It starts a goroutine.
func New(output io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(output)
	return s
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	queued := make([]byte, len(line))
	copy(queued, line)
	select {
	case s.lines <- queued:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because of a full queue, plus the
// number of failed writes.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and stops the sink. Write must not be called after
// or during Close.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// run writes the queued lines, joined into batches to reduce the number of system
// calls.
func (s *Sink) run(output io.Writer) {
	defer close(s.done)
	const maxBatchBytes = 32 << 10 // no line is added to a batch of this size
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case next, ok := <-s.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := output.Write(batch); err != nil {
			s.dropped.Add(1) // the failure cannot be logged
		}
	}
}
