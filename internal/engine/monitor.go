package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// pollInterval is the time between two polls of an engine's report.
	pollInterval = 200 * time.Millisecond
	// fastPollInterval replaces pollInterval while an engine loads weights,
	// because requests wait for the end of the load, and after PollNow.
	fastPollInterval = 40 * time.Millisecond
	// fastPollPeriod is how long an engine is polled at fastPollInterval after
	// PollNow. Reports lag, so the first one after an order may not show its effect.
	fastPollPeriod = 500 * time.Millisecond
	// cachePollInterval is the time between two polls of an engine's cache events.
	cachePollInterval = 500 * time.Millisecond
	// minLagBound is the assumed maximum of the shortest report lag in a window:
	// at least one report per offsetWindow is taken to show the engine's state
	// with a lag of at most minLagBound. The age estimate relies on it.
	minLagBound = 500 * time.Millisecond
	// offsetWindow is the time over which an engine's clock is compared with the
	// local one. Clock drift within it is below one millisecond.
	offsetWindow = 30 * time.Second
)

// Target is an engine to monitor.
type Target struct {
	Address    string
	Service    string
	DataCenter string
	Leaving    bool // membership state: the engine gets no new work
}

// EngineState is the state of one monitored engine. It is immutable.
type EngineState struct {
	Target
	Report     *Report   // last report; nil before the first
	ReceivedAt time.Time // when Report arrived, monotonic
	// TakenAfter is a lower bound, by the local clock, of the time at which Report
	// was taken, which allows using it to verify orders that were sent earlier.
	TakenAfter   time.Time
	Reachable    bool      // the last poll succeeded
	FailingSince time.Time // first failed poll of the current series; zero when reachable
	RefusedSince time.Time // first refused connection of the current series; zero otherwise
	Restarts     int       // number of observed changes of the boot ID
}

// Draining reports whether the engine accepts no new work.
func (e *EngineState) Draining() bool {
	return e.Leaving || (e.Report != nil && e.Report.Draining)
}

// View is an immutable snapshot of all monitored engines, in the order of
// their targets.
type View struct {
	Engines []*EngineState
	// Changes counts the changes of what engines serve: weights, draining and
	// reachability. What engines serve is the same in views of one monitor with
	// equal counts.
	Changes uint64
	index   map[string]int
}

// NewView returns a view of the given states.
func NewView(states []*EngineState) *View {
	return &View{Engines: states, index: indexStates(states)}
}

func indexStates(states []*EngineState) map[string]int {
	index := make(map[string]int, len(states))
	for i, state := range states {
		index[state.Address] = i
	}
	return index
}

// Engine returns the state of one engine, or nil when it is not monitored.
func (v *View) Engine(address string) *EngineState {
	if i, ok := v.index[address]; ok {
		return v.Engines[i]
	}
	return nil
}

// Callbacks are called from polling goroutines and must not block. Each may be
// nil.
type Callbacks struct {
	OnReport  func(address string, report *Report)
	OnRestart func(address, oldBoot, newBoot string)
	OnRefused func(address string) // first refused connection of a series
	// OnChange is called after a change of what the engine serves, when View
	// already returns it.
	OnChange func(address string)
	// OnCacheEvents receives cache events in order. gap is set when events before
	// or among them are missing.
	OnCacheEvents func(address string, events []CacheEvent, gap bool)
}

// MonitorOptions configures a Monitor.
type MonitorOptions struct {
	Clock      clock.Clock
	Logger     logr.Logger
	Registerer prometheus.Registerer // optional
	Callbacks  Callbacks
	// Client returns the client for an address; nil selects NewClient.
	Client func(address string) *Client
}

// Monitor polls the reports and cache events of a set of engines and publishes
// an immutable View. It is safe for concurrent use.
type Monitor struct {
	options        MonitorOptions
	logger         logr.Logger
	view           atomic.Pointer[View]
	polls          *prometheus.CounterVec
	targetsChanged chan struct{}

	mu      sync.Mutex // guards writes to view, and the fields below
	targets []Target
	pollers map[string]*poller
}

// NewMonitor returns a monitor without targets.
func NewMonitor(options MonitorOptions) *Monitor {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.Client == nil {
		options.Client = NewClient
	}
	m := &Monitor{
		options:        options,
		logger:         options.Logger.WithName("engine-monitor"),
		targetsChanged: make(chan struct{}, 1),
		pollers:        map[string]*poller{},
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusbank_engine_polls_total",
			Help: "Polls of engine reports by result.",
		}, []string{"result"}),
	}
	m.view.Store(NewView(nil))
	if options.Registerer != nil {
		options.Registerer.MustRegister(m.polls)
	}
	return m
}

// View returns the current state of all monitored engines.
func (m *Monitor) View() *View { return m.view.Load() }

// SetTargets replaces the set of monitored engines. Engines that stay in the set
// keep their state.
func (m *Monitor) SetTargets(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets = slices.Clone(targets)
	old := m.view.Load()
	states := make([]*EngineState, 0, len(targets))
	for _, target := range targets {
		state := EngineState{Target: target}
		if known := old.Engine(target.Address); known != nil {
			state = *known
			state.Target = target
		}
		states = append(states, &state)
	}
	view := NewView(states)
	view.Changes = old.Changes + 1
	m.view.Store(view)
	select {
	case m.targetsChanged <- struct{}{}:
	default:
	}
}

// PollNow makes the monitor poll an engine at once, and at fastPollInterval for
// fastPollPeriod, for instance after an order. It does not block.
func (m *Monitor) PollNow(address string) {
	m.mu.Lock()
	p := m.pollers[address]
	m.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		m.syncPollers(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-m.targetsChanged:
		}
	}
}

// syncPollers starts a poller for each new target and stops those of removed
// ones.
func (m *Monitor) syncPollers(ctx context.Context, group *conc.WaitGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool, len(m.targets))
	for _, target := range m.targets {
		wanted[target.Address] = true
		if m.pollers[target.Address] != nil {
			continue
		}
		pollerContext, stop := context.WithCancel(ctx)
		p := &poller{
			monitor: m,
			client:  m.options.Client(target.Address),
			stop:    stop,
			pollNow: make(chan struct{}, 1),
		}
		m.pollers[target.Address] = p
		group.Go(func() { p.run(pollerContext) })
	}
	for address, p := range m.pollers {
		if !wanted[address] {
			p.stop()
			delete(m.pollers, address)
		}
	}
}

// update changes the state of one engine, if it is still monitored, and calls
// OnChange.
func (m *Monitor) update(address string, change func(*EngineState)) {
	if m.replace(address, change) && m.options.Callbacks.OnChange != nil {
		m.options.Callbacks.OnChange(address)
	}
}

// replace publishes a view with the changed state and reports whether what the
// engine serves has changed.
func (m *Monitor) replace(address string, change func(*EngineState)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.view.Load()
	i, ok := old.index[address]
	if !ok {
		return false
	}
	state := *old.Engines[i]
	change(&state)
	engines := slices.Clone(old.Engines)
	engines[i] = &state
	view := &View{Engines: engines, index: old.index, Changes: old.Changes}
	changed := !servesSame(old.Engines[i], &state)
	if changed {
		view.Changes++
	}
	m.view.Store(view)
	return changed
}

// servesSame reports whether two states of an engine serve the same weights
// under the same conditions.
func servesSame(a, b *EngineState) bool {
	if a.Reachable != b.Reachable || a.RefusedSince.IsZero() != b.RefusedSince.IsZero() || a.Draining() != b.Draining() {
		return false
	}
	if a.Report == nil || b.Report == nil {
		return a.Report == b.Report
	}
	return slices.EqualFunc(a.Report.Resident, b.Report.Resident, func(x, y Resident) bool {
		return x.Model == y.Model && x.Adapter == y.Adapter && x.Version == y.Version && x.State == y.State
	})
}

// poller polls one engine.
type poller struct {
	monitor *Monitor
	client  *Client
	stop    context.CancelFunc
	pollNow chan struct{}
	age     ageEstimate
	bootID  string
	refused bool

	fastUntil time.Time

	lastCacheSeq  uint64
	lastCachePoll time.Time
}

// run polls until ctx ends.
func (p *poller) run(ctx context.Context) {
	defer p.client.control.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pollNow:
			now := p.monitor.options.Clock.Now()
			fast := now.Before(p.fastUntil)
			p.fastUntil = now.Add(fastPollPeriod)
			if fast {
				continue // the timer is already set to the short interval
			}
		case <-timer.C:
		}
		timer.Reset(p.poll(ctx))
	}
}

// poll fetches a report and, when due, cache events. It returns the time until the
// next poll.
func (p *poller) poll(ctx context.Context) time.Duration {
	sent := p.monitor.options.Clock.Now()
	report, err := p.client.Report(ctx)
	received := p.monitor.options.Clock.Now()
	if ctx.Err() != nil {
		return pollInterval
	}
	if err != nil {
		p.handleFailure(err, received)
		return pollInterval
	}
	p.handleReport(report, sent, received)
	if received.Sub(p.lastCachePoll) >= cachePollInterval {
		p.lastCachePoll = received
		p.pollCacheEvents(ctx)
	}
	if received.Before(p.fastUntil) || report.loading() {
		return fastPollInterval
	}
	return pollInterval
}

// loading reports whether the engine is loading weights.
func (r *Report) loading() bool {
	return slices.ContainsFunc(r.Resident, func(resident Resident) bool {
		return resident.State == ResidentLoading
	})
}

// handleReport publishes a report and calls OnRestart and OnReport. received and
// sent are times of the local clock.
func (p *poller) handleReport(report *Report, sent, received time.Time) {
	p.monitor.polls.WithLabelValues("answered").Inc()
	oldBoot := p.bootID
	restarted := oldBoot != "" && oldBoot != report.BootID
	if oldBoot != report.BootID {
		p.age = ageEstimate{}
		p.lastCacheSeq = 0
		p.bootID = report.BootID
	}
	p.refused = false
	taken := p.age.takenAfter(report.TimeMS, sent, received)
	p.monitor.update(p.client.address, func(state *EngineState) {
		state.Report = report
		state.ReceivedAt = received
		state.TakenAfter = taken
		state.Reachable = true
		state.FailingSince = time.Time{}
		state.RefusedSince = time.Time{}
		if restarted {
			state.Restarts++
		}
	})
	callbacks := &p.monitor.options.Callbacks
	if restarted && callbacks.OnRestart != nil {
		callbacks.OnRestart(p.client.address, oldBoot, report.BootID)
	}
	if callbacks.OnReport != nil {
		callbacks.OnReport(p.client.address, report)
	}
}

// handleFailure publishes a failed poll and calls OnRefused for the first refused
// connection of a series.
func (p *poller) handleFailure(err error, now time.Time) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	result := "failed"
	if refused {
		result = "refused"
	}
	p.monitor.polls.WithLabelValues(result).Inc()
	p.monitor.update(p.client.address, func(state *EngineState) {
		state.Reachable = false
		if state.FailingSince.IsZero() {
			state.FailingSince = now
		}
		switch {
		case !refused:
			state.RefusedSince = time.Time{}
		case state.RefusedSince.IsZero():
			state.RefusedSince = now
		}
	})
	first := refused && !p.refused
	p.refused = refused
	if !first {
		return
	}
	p.monitor.logger.Info("Engine refused a connection.", "address", p.client.address)
	if p.monitor.options.Callbacks.OnRefused != nil {
		p.monitor.options.Callbacks.OnRefused(p.client.address)
	}
}

func (p *poller) pollCacheEvents(ctx context.Context) {
	deliver := p.monitor.options.Callbacks.OnCacheEvents
	if deliver == nil {
		return
	}
	page, err := p.client.CacheEvents(ctx, p.lastCacheSeq)
	if err != nil {
		// Cache events only improve routing; the next poll tries again.
		return
	}
	if len(page.Events) > 0 {
		deliver(p.client.address, page.Events, hasGap(p.lastCacheSeq, page.Events))
	}
	p.lastCacheSeq = max(p.lastCacheSeq, page.Next)
}

// hasGap reports whether sequence numbers greater than after are missing from
// events.
func hasGap(after uint64, events []CacheEvent) bool {
	for _, event := range events {
		if event.Seq != after+1 {
			return true
		}
		after = event.Seq
	}
	return false
}

// ageEstimate estimates when reports were taken from the times of the engine's own
// clock in them. The largest difference (engine time of a report − local time of
// its arrival) within a window belongs to the report with the shortest lag; every
// other report is older by the amount by which its difference is smaller. The
// clocks need not be synchronised.
type ageEstimate struct {
	origin            time.Time // local time from which differences are measured, monotonic
	lastMS            int64     // engine time of the latest report
	lastTaken         time.Time // estimate for the latest report
	windowStart       time.Time
	current, previous int64 // largest difference of this and the previous window, milliseconds
	hasCurrent        bool
	hasPrevious       bool
}

// takenAfter returns a lower bound, by the local clock, of the time at which a
// report was taken. sent and received are the times of its poll.
func (a *ageEstimate) takenAfter(engineMS int64, sent, received time.Time) time.Time {
	if a.origin.IsZero() {
		a.origin = received
	}
	if engineMS == a.lastMS && !a.lastTaken.IsZero() {
		// The same report was polled again, so the estimate still holds.
		return a.lastTaken
	}
	a.lastMS, a.lastTaken = engineMS, a.estimate(engineMS, sent, received)
	return a.lastTaken
}

func (a *ageEstimate) estimate(engineMS int64, sent, received time.Time) time.Time {
	difference := engineMS - received.Sub(a.origin).Milliseconds()
	if received.Sub(a.windowStart) > offsetWindow {
		a.previous, a.hasPrevious = a.current, a.hasCurrent
		a.current, a.hasCurrent = difference, true
		a.windowStart = received
	}
	a.current = max(a.current, difference)
	largest := a.current
	if a.hasPrevious {
		largest = max(largest, a.previous)
	}
	excess := time.Duration(largest-difference) * time.Millisecond
	return sent.Add(-minLagBound - excess)
}
