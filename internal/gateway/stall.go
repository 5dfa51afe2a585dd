package gateway

import (
	"context"
	"time"
)

const (
	// stallInterval is the interval at which the delay of a timer is measured.
	stallInterval = 250 * time.Millisecond
	// minLoggedStall is the delay from which a stall is logged.
	minLoggedStall = 250 * time.Millisecond
)

// watchStalls measures how late a timer fires: a host without processor time, or whose
// goroutines do not yield it, handles requests as late as this timer.
func (g *Gateway) watchStalls(ctx context.Context) {
	timer := time.NewTimer(stallInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(stallInterval)
		timer.Reset(stallInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		late := time.Since(due)
		g.metrics.stalls.Observe(late.Seconds())
		if late >= minLoggedStall {
			g.log.Info("Host stalled.", "late_ms", late.Milliseconds(), "requests", g.inFlight.Load(), "coordinator", g.elector.Held())
		}
	}
}
