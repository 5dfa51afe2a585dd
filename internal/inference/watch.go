package inference

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/liveness"
)

// watchInterval is the time between two looks at the running streams.
const watchInterval = 250 * time.Millisecond

// Watcher finds streams whose connection has gone silent and ends them. One
// goroutine looks at all streams, so that a stream costs no timer of its own.
type Watcher struct {
	clock   clock.Clock
	report  func(ctx context.Context, address string) (*engine.Report, error)
	metrics *liveness.Metrics

	mu      sync.Mutex
	watches map[*watch]struct{}
}

// NewWatcher returns a watcher that fetches engines' reports over fresh
// connections with the function given.
func NewWatcher(c clock.Clock, report func(ctx context.Context, address string) (*engine.Report, error), metrics *liveness.Metrics) *Watcher {
	return &Watcher{clock: c, report: report, metrics: metrics, watches: map[*watch]struct{}{}}
}

// watch is one attempt of a request at an engine.
type watch struct {
	watcher *Watcher
	address string
	id      string
	unary   bool
	cancel  context.CancelCauseFunc
	ctx     context.Context

	mu     sync.Mutex
	stream *liveness.StreamMonitor
}

// start registers an attempt. The context ends with a *SilentError as its
// cause when the connection has gone silent.
func (w *Watcher) start(ctx context.Context, address string, request *Request) (context.Context, *watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	registered := &watch{
		watcher: w, address: address, id: request.ID, unary: !request.Stream,
		cancel: cancel, ctx: ctx, stream: liveness.NewStreamMonitor(w.clock.Now()),
	}
	w.mu.Lock()
	w.watches[registered] = struct{}{}
	w.mu.Unlock()
	return ctx, registered
}

// stop unregisters the attempt.
func (s *watch) stop() {
	s.watcher.mu.Lock()
	delete(s.watcher.watches, s)
	s.watcher.mu.Unlock()
	s.mu.Lock()
	state := s.stream.State(s.watcher.clock.Now())
	s.mu.Unlock()
	s.watcher.metrics.StreamEnded(state)
	s.cancel(nil)
}

// progressed records an event of the answer.
func (s *watch) progressed() {
	s.mu.Lock()
	s.stream.RecordReceived(s.watcher.clock.Now(), 1, 1)
	s.mu.Unlock()
}

// explain replaces an error that came from ending a silent connection.
func (s *watch) explain(err error) error {
	var silent *SilentError
	if err != nil && errors.As(context.Cause(s.ctx), &silent) {
		return silent
	}
	return err
}

// Run looks at the running streams until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.look(ctx)
		}
	}
}

// look fetches one report for each engine with quiet streams and judges them.
func (w *Watcher) look(ctx context.Context) {
	var group conc.WaitGroup
	for address, quiet := range w.quiet() {
		group.Go(func() {
			report, err := w.report(ctx, address)
			if err != nil {
				return // no evidence
			}
			for _, s := range quiet {
				s.judge(w.clock.Now(), report)
			}
		})
	}
	group.Wait()
}

// quiet returns the streams that want evidence, by engine.
func (w *Watcher) quiet() map[string][]*watch {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	quiet := map[string][]*watch{}
	for s := range w.watches {
		s.mu.Lock()
		if s.stream.NeedsReport(now) {
			quiet[s.address] = append(quiet[s.address], s)
		}
		s.mu.Unlock()
	}
	return quiet
}

// judge weighs a report and ends the attempt when its connection is silent.
func (s *watch) judge(now time.Time, report *engine.Report) {
	s.mu.Lock()
	s.stream.ObserveReport(now, s.evidence(report))
	silent := s.stream.State(now) == liveness.Silent
	s.mu.Unlock()
	if silent {
		s.cancel(&SilentError{Address: s.address})
	}
}

// evidence extracts what a report says about the request. A unary answer
// arrives only at its end, so generated tokens contradict nothing.
func (s *watch) evidence(report *engine.Report) liveness.RequestStatus {
	evidence := liveness.RequestStatus{BootID: report.BootID, QueueDepth: report.QueueDepth}
	for _, running := range report.Running {
		if running.RequestID != s.id {
			continue
		}
		evidence.Running = true
		if !s.unary {
			evidence.Tokens = running.Tokens
		}
	}
	return evidence
}

// Streams returns the state of all running streams, for the state dump.
func (w *Watcher) Streams() []StreamState {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	states := make([]StreamState, 0, len(w.watches))
	for s := range w.watches {
		s.mu.Lock()
		states = append(states, StreamState{RequestID: s.id, Upstream: s.address, Progress: s.stream.Dump(now)})
		s.mu.Unlock()
	}
	return states
}

// StreamState describes one running stream.
type StreamState struct {
	RequestID string        `json:"request_id"`
	Upstream  string        `json:"upstream"`
	Progress  liveness.Dump `json:"progress"`
}
