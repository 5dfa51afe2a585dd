package gateway

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const (
	// stallInterval is the interval at which the host measures how late it reads.
	stallInterval = 250 * time.Millisecond
	// minLoggedStall is the delay from which a stall is logged.
	minLoggedStall = 250 * time.Millisecond
)

// watchStalls measures how late the host reads what has arrived: it writes a byte into
// a pipe at each tick and reads it like any connection. A host that lacks processor time
// reads late, and so does one whose goroutines keep the network poller from running.
func (g *Gateway) watchStalls(ctx context.Context) {
	reader, writer, err := os.Pipe()
	if err != nil {
		g.log.Error(eris.Wrap(err, "pipe"), "Stalls are not measured.")
		return
	}
	start := time.Now()
	var due atomic.Int64 // tick whose byte has not been read, nanoseconds since start; 0: none
	var group conc.WaitGroup
	group.Go(func() { g.readTicks(reader, start, &due) })
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case at := <-ticker.C:
			if !due.CompareAndSwap(0, int64(at.Sub(start))) {
				continue // the byte of an earlier tick has not been read
			}
			if _, err := writer.Write([]byte{1}); err != nil {
				g.log.Error(eris.Wrap(err, "pipe"), "Stalls are no longer measured.")
				<-ctx.Done()
			}
		}
	}
	_ = writer.Close() // ends readTicks
	group.Wait()
	_ = reader.Close() // nothing is read from it any more
}

// readTicks observes how late each byte is read, until the pipe is closed.
func (g *Gateway) readTicks(reader *os.File, start time.Time, due *atomic.Int64) {
	buffer := make([]byte, 1)
	for {
		if _, err := reader.Read(buffer); err != nil {
			return // the other end was closed
		}
		late := time.Since(start) - time.Duration(due.Swap(0))
		g.metrics.stalls.Observe(late.Seconds())
		if late >= minLoggedStall {
			g.log.Info("Host stalled.", "late_ms", late.Milliseconds(), "requests", g.inFlight.Load(), "coordinator", g.elector.Held())
		}
	}
}
