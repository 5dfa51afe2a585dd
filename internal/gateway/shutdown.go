package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// drainDelay is the time between reporting not ready and closing the listener, in
	// which the load balancer notices.
	drainDelay = 2600 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that is left for the exit.
	shutdownMargin = 250 * time.Millisecond
	// responseMargin is the time before the end of a shutdown at which requests in progress
	// are ended, so that their callers get a response.
	responseMargin = 200 * time.Millisecond
	// sendShare is the part of a shutdown in which requests are sent to upstreams. A run that
	// begins later might not finish; another host can serve it.
	sendShare = 0.38
	// minDrainRunTime is the time to the end of a shutdown below which waiting requests are
	// refused.
	minDrainRunTime = 4 * time.Second
)

// shutdownWindow has the times of a shutdown.
type shutdownWindow struct {
	lastSend time.Time // until when requests are sent
	deadline time.Time
}

// shutdown is the state of a graceful shutdown. It is safe for concurrent use.
type shutdown struct {
	window atomic.Pointer[shutdownWindow] // nil: no shutdown
	end    context.Context                // ends shortly before the shutdown does
	endNow context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.end, s.endNow = context.WithCancel(context.Background())
	return s
}

// begin starts a shutdown and returns its end.
func (s *shutdown) begin(timeout time.Duration) (deadline time.Time) {
	now := time.Now()
	w := &shutdownWindow{lastSend: now.Add(time.Duration(float64(timeout) * sendShare)), deadline: now.Add(timeout)}
	s.window.Store(w)
	return w.deadline
}

// tooLateToSend reports whether a run that begins now might be cut off by the end of a
// shutdown.
func (s *shutdown) tooLateToSend() bool {
	w := s.window.Load()
	return w != nil && time.Now().After(w.lastSend)
}

// tooLateToWait reports whether a request that waits for its model might begin to run too
// late.
func (s *shutdown) tooLateToWait() bool {
	w := s.window.Load()
	return w != nil && (time.Until(w.deadline) < minDrainRunTime || s.tooLateToSend())
}

// ending reports whether the requests in progress are being ended.
func (s *shutdown) ending() bool { return s.end.Err() != nil }

// onEnd calls f when the requests in progress are to be ended. The returned function takes
// this back.
func (s *shutdown) onEnd(f func()) (stop func() bool) { return context.AfterFunc(s.end, f) }

// shuttingDown returns the refusal of a request that has not run: another host can serve it.
func shuttingDown() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "shutting down", retryAfter: shortRetryAfter}
}

// shutDown reports not ready, releases the lease and stops the callers' server, which
// finishes the requests in progress, up to the shutdown timeout.
func (g *Gateway) shutDown(stop func(context.Context) error) {
	deadline := g.shutdown.begin(g.settings.ShutdownTimeout() - shutdownMargin)
	g.draining.Store(true)
	g.log.Info("Shutting down.", "requests", g.inFlight.Load(), "coordinator", g.elector.Held())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	defer time.AfterFunc(time.Until(deadline)-responseMargin, g.endRequests).Stop()
	g.elector.Stop(ctx)
	clock.Sleep(ctx, drainDelay)
	if err := stop(ctx); err != nil {
		g.log.Info("Shutdown timeout reached; closing connections with requests in progress.", "requests", g.inFlight.Load(), "error", err.Error())
	}
}

// endRequests ends the requests that are still in progress at the end of a shutdown.
func (g *Gateway) endRequests() {
	if requests := g.inFlight.Load(); requests > 0 {
		g.log.Info("Ending the requests in progress before the shutdown timeout.", "requests", requests)
	}
	g.shutdown.endNow()
}
