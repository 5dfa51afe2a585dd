package coordinator

import (
	"context"
	"time"
)

const (
	// reportTimeout limits the call that reads a report.
	reportTimeout = 400 * time.Millisecond
	// reportLag is the maximum age of a report's content.
	reportLag = 110 * time.Millisecond
	// reportPollInterval is the time between two report reads while an order is overdue.
	reportPollInterval = 60 * time.Millisecond
	// maxConcurrentReports limits how many engine reports are read at once, so that a new
	// coordinator of a large fleet keeps answering hosts meanwhile.
	maxConcurrentReports = 40
	// suspectRecheckDelay is the shortest time between two report reads of an engine that
	// hosts suspect.
	suspectRecheckDelay = 300 * time.Millisecond
)

// startReports starts reading the reports of engines whose content is not settled.
func (c *Coordinator) startReports(ctx context.Context, now time.Duration) {
	for _, engine := range c.fleet {
		if c.activeReports >= maxConcurrentReports {
			return // the rest is started by the next tick
		}
		if engine.settled() || engine.occupied || engine.reportInFlight || engine.leaves() || now < engine.retryAt ||
			c.fleetState.Paused(engine.upstream) {
			continue
		}
		engine.reportInFlight = true
		c.activeReports++
		c.actions.Add(1)
		go func() {
			defer c.actions.Done()
			read := false
			c.confined("reading a report", func() { read = c.refreshReport(ctx, engine) })
			c.mu.Lock()
			defer c.mu.Unlock()
			engine.reportInFlight = false
			c.activeReports--
			if engine.suspected {
				engine.suspected = false
				engine.nextRecheck = c.now() + suspectRecheckDelay
			}
			if !read || !engine.settled() {
				engine.retryAt = c.now() + failureBackoff
			}
		}()
	}
}

// refreshReport reads the engine's report while no order is in flight: a report that
// includes an order whose response is still outstanding would count it twice.
func (c *Coordinator) refreshReport(ctx context.Context, engine *engineState) bool {
	engine.orderMu.Lock()
	defer engine.orderMu.Unlock()
	return c.readReport(ctx, engine)
}

// readReport reads the engine's report. The caller holds engine.orderMu.
func (c *Coordinator) readReport(ctx context.Context, engine *engineState) bool {
	c.mu.Lock()
	upstream := engine.upstream
	c.mu.Unlock()
	if c.fleetState.Evacuated(upstream.DataCenter) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holdings, err := c.engines.Report(ctx, upstream)
	c.mu.Lock()
	defer c.mu.Unlock()
	engine.reportFailed = err != nil
	if err != nil {
		c.log.V(1).Info("Cannot read engine report.", "upstream", upstream.ID, "error", err.Error())
		return false
	}
	if engine.reported && holdings.OrderSeq < engine.holdings.OrderSeq {
		return false
	}
	if len(holdings.OnDisk) == 0 && len(holdings.InMemory) == 0 {
		holdings.OnDisk, holdings.InMemory = engine.holdings.OnDisk, engine.holdings.InMemory
	}
	engine.applyReport(holdings)
	engine.changed = true
	return true
}
