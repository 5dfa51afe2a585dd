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
	// pollInterval is the time between two reports of one engine.
	pollInterval = 200 * time.Millisecond
	// loadingPollInterval applies while an engine loads, because the end of
	// the load is on the critical path of waiting requests.
	loadingPollInterval = 40 * time.Millisecond
	// pokedFor is how long an engine is polled at loadingPollInterval after a
	// poke. Reports lag, so the first one after an order may not show it.
	pokedFor = 500 * time.Millisecond
	// cacheInterval is the time between two polls of cache events.
	cacheInterval = 500 * time.Millisecond
	// leastLagBound bounds the shortest lag between an engine's state and the
	// report of it within one window of the age estimate.
	leastLagBound = 500 * time.Millisecond
	// offsetWindow is the time over which the engine's clock is compared with
	// ours; clock drift within it is below a millisecond.
	offsetWindow = 30 * time.Second
)

// Target is an engine to poll.
type Target struct {
	Address    string
	Service    string
	DataCenter string
	Leaving    bool
}

// EngineState is what the monitor knows about one engine. It is immutable.
type EngineState struct {
	Target
	Report     *Report   // last report; nil before the first
	ReceivedAt time.Time // when Report arrived, monotonic
	// TakenAfter is a time before which Report was certainly not taken, by our
	// clock. It makes a report usable as evidence about orders sent earlier.
	TakenAfter   time.Time
	Reachable    bool      // the last poll was answered
	FailingSince time.Time // first failed poll of the current series; zero when reachable
	RefusedSince time.Time // first refused connection of the current series; zero otherwise
	Restarts     int       // changes of the boot ID seen
}

// Draining reports whether the engine takes no new work.
func (e *EngineState) Draining() bool {
	return e.Leaving || (e.Report != nil && e.Report.Draining)
}

// View is an immutable snapshot of all monitored engines, in the order of
// their targets.
type View struct {
	Engines []*EngineState
	// Changes counts the changes of what engines serve: weights, draining and
	// reachability. Views of one monitor with equal counts serve the same.
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
	// OnChange follows a change of what the engine serves, once the view
	// shows it.
	OnChange func(address string)
	// OnCacheEvents delivers cache events in order; gap is set when events
	// before them were missed.
	OnCacheEvents func(address string, events []CacheEvent, gap bool)
}

// MonitorOptions configures a Monitor.
type MonitorOptions struct {
	Clock      clock.Clock
	Logger     logr.Logger
	Registerer prometheus.Registerer // optional
	Callbacks  Callbacks
	// Client returns the client of an address; nil makes the monitor create
	// its own.
	Client func(address string) *Client
}

// Monitor polls the reports and cache events of a set of engines and publishes
// an immutable View. It is safe for concurrent use.
type Monitor struct {
	options MonitorOptions
	logger  logr.Logger
	view    atomic.Pointer[View]
	polls   *prometheus.CounterVec
	changed chan struct{}

	mu      sync.Mutex // guards changes of view, and the fields below
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
		options: options,
		logger:  options.Logger.WithName("engine-monitor"),
		changed: make(chan struct{}, 1),
		pollers: map[string]*poller{},
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

// View returns the current snapshot.
func (m *Monitor) View() *View { return m.view.Load() }

// SetTargets replaces the set of monitored engines.
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
	case m.changed <- struct{}{}:
	default:
	}
}

// PollNow makes the monitor poll an engine now and often for a short time, for
// instance after an order.
func (m *Monitor) PollNow(address string) {
	m.mu.Lock()
	p := m.pollers[address]
	m.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.poke <- struct{}{}:
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
		case <-m.changed:
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
			poke:    make(chan struct{}, 1),
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

// update replaces the state of one engine, if it is still monitored.
func (m *Monitor) update(address string, change func(*EngineState)) {
	if m.replace(address, change) && m.options.Callbacks.OnChange != nil {
		m.options.Callbacks.OnChange(address)
	}
}

// replace publishes a view with the changed state. It reports whether what the
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
	poke    chan struct{}
	age     ageEstimate
	boot    string
	refused bool

	fastUntil time.Time

	cacheAfter uint64
	cacheAt    time.Time
}

func (p *poller) run(ctx context.Context) {
	defer p.client.control.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.poke:
			now := p.monitor.options.Clock.Now()
			fast := now.Before(p.fastUntil)
			p.fastUntil = now.Add(pokedFor)
			if fast {
				continue // the timer is already set to the short interval
			}
		case <-timer.C:
		}
		timer.Reset(p.poll(ctx))
	}
}

// poll fetches a report and, when due, cache events. It returns the time to
// the next poll.
func (p *poller) poll(ctx context.Context) time.Duration {
	sent := p.monitor.options.Clock.Now()
	report, err := p.client.Report(ctx)
	received := p.monitor.options.Clock.Now()
	if ctx.Err() != nil {
		return pollInterval
	}
	if err != nil {
		p.failed(err, received)
		return pollInterval
	}
	p.succeeded(report, sent, received)
	if received.Sub(p.cacheAt) >= cacheInterval {
		p.cacheAt = received
		p.pollCache(ctx)
	}
	if received.Before(p.fastUntil) || report.loading() {
		return loadingPollInterval
	}
	return pollInterval
}

// loading reports whether the engine is loading weights.
func (r *Report) loading() bool {
	return slices.ContainsFunc(r.Resident, func(resident Resident) bool {
		return resident.State == ResidentLoading
	})
}

func (p *poller) succeeded(report *Report, sent, received time.Time) {
	p.monitor.polls.WithLabelValues("answered").Inc()
	oldBoot := p.boot
	restarted := oldBoot != "" && oldBoot != report.BootID
	if oldBoot != report.BootID {
		p.age = ageEstimate{}
		p.cacheAfter = 0
		p.boot = report.BootID
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

func (p *poller) failed(err error, now time.Time) {
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

func (p *poller) pollCache(ctx context.Context) {
	deliver := p.monitor.options.Callbacks.OnCacheEvents
	if deliver == nil {
		return
	}
	page, err := p.client.CacheEvents(ctx, p.cacheAfter)
	if err != nil {
		// Cache events only improve routing; the next poll asks again.
		return
	}
	if len(page.Events) > 0 {
		deliver(p.client.address, page.Events, hasGap(p.cacheAfter, page.Events))
	}
	p.cacheAfter = max(p.cacheAfter, page.Next)
}

// hasGap reports whether sequence numbers after the last seen one are missing.
func hasGap(after uint64, events []CacheEvent) bool {
	for _, event := range events {
		if event.Seq != after+1 {
			return true
		}
		after = event.Seq
	}
	return false
}

// ageEstimate derives when reports were taken from the engine's own clock. The
// largest difference (engine time of a report − our time of its arrival) within
// a window belongs to the report with the shortest lag, so every other report
// is older by the shortfall against it. Clocks need not be synchronised.
type ageEstimate struct {
	origin            time.Time // differences count monotonic time from here
	lastMS            int64     // of the latest report
	lastTaken         time.Time // estimate for it
	windowStart       time.Time
	current, previous int64 // largest differences, milliseconds
	hasCurrent        bool
	hasPrevious       bool
}

// takenAfter returns a time by our clock before which the report was not taken.
func (a *ageEstimate) takenAfter(engineMS int64, sent, received time.Time) time.Time {
	if a.origin.IsZero() {
		a.origin = received
	}
	if engineMS == a.lastMS && !a.lastTaken.IsZero() {
		// The same report again: it has only become older.
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
	return sent.Add(-leastLagBound - excess)
}
