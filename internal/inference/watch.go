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

// pollInterval is the time between two checks of the running streams.
const pollInterval = 250 * time.Millisecond

// Watcher ends the streams whose connection is silent. One goroutine checks all
// streams, so that a stream needs no timer of its own. It is safe for concurrent
// use.
type Watcher struct {
	clock   clock.Clock
	report  func(ctx context.Context, address string) (*engine.Report, error)
	metrics *liveness.Metrics

	mu      sync.Mutex
	watches map[*attemptWatch]struct{}
}

// NewWatcher returns a watcher. report must fetch an engine's report over a new
// connection, since a pooled one may be silent too.
func NewWatcher(c clock.Clock, report func(ctx context.Context, address string) (*engine.Report, error), metrics *liveness.Metrics) *Watcher {
	return &Watcher{clock: c, report: report, metrics: metrics, watches: map[*attemptWatch]struct{}{}}
}

// attemptWatch tracks the progress of one attempt of a request at an engine.
type attemptWatch struct {
	watcher *Watcher
	address string
	id      string // request ID
	unary   bool
	cancel  context.CancelCauseFunc
	ctx     context.Context

	mu     sync.Mutex
	stream *liveness.StreamMonitor
}

// start registers an attempt. The returned context is cancelled with a
// *SilentError as its cause when the connection is silent.
func (w *Watcher) start(ctx context.Context, address string, request *Request) (context.Context, *attemptWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	registered := &attemptWatch{
		watcher: w, address: address, id: request.ID, unary: !request.Stream,
		cancel: cancel, ctx: ctx, stream: liveness.NewStreamMonitor(w.clock.Now()),
	}
	w.mu.Lock()
	w.watches[registered] = struct{}{}
	w.mu.Unlock()
	return ctx, registered
}

// stop unregisters the attempt and cancels its context.
func (s *attemptWatch) stop() {
	s.watcher.mu.Lock()
	delete(s.watcher.watches, s)
	s.watcher.mu.Unlock()
	s.mu.Lock()
	state := s.stream.State(s.watcher.clock.Now())
	s.mu.Unlock()
	s.watcher.metrics.StreamEnded(state)
	s.cancel(nil)
}

// recordProgress records that an event of the response arrived.
func (s *attemptWatch) recordProgress() {
	s.mu.Lock()
	s.stream.RecordReceived(s.watcher.clock.Now(), 1, 1)
	s.mu.Unlock()
}

// resolveError replaces an error by the *SilentError that caused it, if any.
func (s *attemptWatch) resolveError(err error) error {
	var silent *SilentError
	if err != nil && errors.As(context.Cause(s.ctx), &silent) {
		return silent
	}
	return err
}

// Run checks the running streams until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.poll(ctx)
		}
	}
}

// poll fetches one report from each engine whose streams have made no progress
// recently, and ends the streams that the report shows to be silent.
func (w *Watcher) poll(ctx context.Context) {
	var group conc.WaitGroup
	for address, watches := range w.watchesNeedingReport() {
		group.Go(func() {
			report, err := w.report(ctx, address)
			if err != nil {
				return // without a report nothing is known about the connection
			}
			for _, s := range watches {
				s.classify(w.clock.Now(), report)
			}
		})
	}
	group.Wait()
}

// watchesNeedingReport returns the watches that need an engine report to tell a
// slow stream from a silent one, by engine address.
func (w *Watcher) watchesNeedingReport() map[string][]*attemptWatch {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	byAddress := map[string][]*attemptWatch{}
	for s := range w.watches {
		s.mu.Lock()
		if s.stream.NeedsReport(now) {
			byAddress[s.address] = append(byAddress[s.address], s)
		}
		s.mu.Unlock()
	}
	return byAddress
}

// classify evaluates a report and ends the attempt if its connection is silent.
func (s *attemptWatch) classify(now time.Time, report *engine.Report) {
	s.mu.Lock()
	s.stream.ObserveReport(now, s.requestStatus(report))
	silent := s.stream.State(now) == liveness.Silent
	s.mu.Unlock()
	if silent {
		s.cancel(&SilentError{Address: s.address})
	}
}

// requestStatus extracts what a report says about the request. A unary response
// arrives only at its end, so its generated tokens do not count as progress that
// the connection missed.
func (s *attemptWatch) requestStatus(report *engine.Report) liveness.RequestStatus {
	status := liveness.RequestStatus{BootID: report.BootID, QueueDepth: report.QueueDepth}
	for _, running := range report.Running {
		if running.RequestID != s.id {
			continue
		}
		status.Running = true
		if !s.unary {
			status.Tokens = running.Tokens
		}
	}
	return status
}

// Streams returns the state of all running attempts, for the state dump.
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

// StreamState describes one running attempt.
type StreamState struct {
	RequestID string        `json:"request_id"`
	Upstream  string        `json:"upstream"` // address
	Progress  liveness.Dump `json:"progress"`
}
