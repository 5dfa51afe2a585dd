// Package logsink writes log lines without ever blocking the caller: lines that
// the output can't take in time are dropped and counted.
package logsink

import (
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for the output.
const queueLines = 4096

// Sink is a writer of log lines. It is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to an output until Close.
func New(output io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run(output)
	return s
}

// Write queues one line, or drops it.
func (s *Sink) Write(line []byte) (int, error) {
	own := make([]byte, len(line))
	copy(own, line)
	select {
	case s.lines <- own:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the queued lines and ends the sink. Write must not be called after.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// run joins the lines that wait, to save calls of the system.
func (s *Sink) run(output io.Writer) {
	defer close(s.done)
	const most = 32 << 10
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < most; {
			select {
			case next, ok := <-s.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := output.Write(batch); err != nil {
			s.dropped.Add(1) // there is no other place to say it
		}
	}
}
