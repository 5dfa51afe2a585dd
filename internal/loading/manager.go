package loading

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/scaling"
)

const (
	// busyInterval is the time between control steps while requests wait or
	// loads or unloads are in progress; idleInterval applies otherwise.
	busyInterval = 20 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// refreshInterval is the time between two reads of all rows.
	refreshInterval = 500 * time.Millisecond
	// outageBackoff is the time between two attempts to reach the table service
	// while it is unavailable.
	outageBackoff = 300 * time.Millisecond
	// rangePageSize is the page size of reads of all rows.
	rangePageSize = 500
	// outcomeBufferSize is the number of jobs whose results can wait for the next
	// control step.
	outcomeBufferSize = 256
	// pollNowInterval is the minimum time between two rounds of immediate polls
	// of engines that may be loading requested weights.
	pollNowInterval = 300 * time.Millisecond
	// maxPolledEngines limits the number of engines polled in one round.
	maxPolledEngines = 32
	// historyLength is the number of recent decisions kept for the state dump.
	historyLength = 64
)

// OrderSender sends orders to one engine. *engine.Client implements it.
type OrderSender interface {
	// Order sends an order and returns nil once the engine has acknowledged it.
	Order(ctx context.Context, order engine.Order) error
}

// Options configures a Manager.
type Options struct {
	Table      platform.Table
	View       func() *engine.View  // latest state of the engines
	PollNow    func(address string) // polls an engine immediately; optional
	Client     func(address string) OrderSender
	Config     func() *config.Snapshot // returns nil while there is no configuration
	IsOwner    func(model string) bool
	Peers      Peers  // delivers demand to the owners; nil: demand is not forwarded
	Host       string // unique per incarnation of this host
	DataCenter string
	Clock      clock.Clock
	Rand       *rand.Rand // used by the control goroutine only
	Logger     logr.Logger
	Registerer prometheus.Registerer // optional
	Policy     Policy                // zero: DefaultPolicy
	Scaling    scaling.Policy        // nil: adaptive; used by the control goroutine only
	// Synchronous makes the control step send orders itself instead of starting
	// sender goroutines, so that simulations are deterministic.
	Synchronous bool
}

// Manager decides loads and unloads and sends the orders to engines. RecordDemand,
// RecordUse, ReceiveDemand, Replicas, KnownWeights, CanLoad and State are safe for
// concurrent use; Run and Step are not.
type Manager struct {
	options Options
	policy  Policy
	logger  logr.Logger
	demand  *demandTracker
	metrics *metrics
	cache   replicaCache
	wake    chan struct{}

	published atomic.Pointer[controlState]
	dump      atomic.Pointer[Dump]

	// The fields below belong to the control goroutine.
	rows            *Rows
	rowsKnown       bool
	observations    *Observations
	outcomes        chan []outcome
	pendingOutcomes []outcome // of orders sent synchronously
	senders         map[string]chan orderJob
	blockedUntil    map[string]time.Time // by upstream
	group           *conc.WaitGroup
	sequence        uint64        // of commits; makes the writer names unique
	takeoverJitter  time.Duration // added to this host's takeover delay
	nextRefresh     time.Time
	nextUsesForward time.Time
	nextPollNow     time.Time
	tableDownSince  time.Time // zero: the table service is available
	tableRetryAt    time.Time
	lastError       string
	busy            bool
	history         []Decision
}

// New returns a manager with defaults for options that are not set. It does nothing
// until Run or Step is called.
func New(options Options) *Manager {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Scaling == nil {
		options.Scaling = scaling.NewAdaptive()
	}
	if options.Policy == (Policy{}) {
		options.Policy = DefaultPolicy()
	}
	// The random part distinguishes incarnations of a host with the same name.
	options.Host += "/" + strconv.FormatUint(options.Rand.Uint64(), 36)
	m := &Manager{
		options:        options,
		policy:         options.Policy,
		logger:         options.Logger.WithName("loading"),
		demand:         newDemandTracker(),
		metrics:        newMetrics(options.Registerer),
		wake:           make(chan struct{}, 1),
		rows:           NewRows(),
		observations:   NewObservations(),
		outcomes:       make(chan []outcome, outcomeBufferSize),
		senders:        map[string]chan orderJob{},
		blockedUntil:   map[string]time.Time{},
		group:          conc.NewWaitGroup(),
		takeoverJitter: time.Duration(options.Rand.Int64N(int64(options.Policy.TakeoverDelay) + 1)),
	}
	m.published.Store(&controlState{rows: m.rows})
	m.dump.Store(&Dump{})
	return m
}

// RecordDemand records that requests of this host wait for weights. It replaces the
// previous demand of this host for the same weights and is cheap enough to call for
// each request. waiting 0 ends the demand.
func (m *Manager) RecordDemand(model, adapter string, waiting int, oldestDeadline time.Time) {
	m.storeDemand(Demand{
		From: m.options.Host, Weights: Weights{Model: model, Adapter: adapter},
		Waiting: waiting, Deadline: oldestDeadline,
	})
}

// ReceiveDemand records demand and uses that another host forwarded.
func (m *Manager) ReceiveDemand(demand Demand) {
	if demand.Uses > 0 {
		m.demand.recordUse(demand.Weights, demand.Uses, m.options.Clock.Now())
		if demand.Waiting == 0 {
			return
		}
	}
	m.storeDemand(demand)
}

// storeDemand stores demand and triggers a control step if it is new or has grown.
func (m *Manager) storeDemand(demand Demand) {
	if m.demand.record(demand, m.options.Clock.Now()) {
		m.wakeUp()
	}
}

// RecordUse records that a request of this host uses weights.
func (m *Manager) RecordUse(model, adapter string) {
	m.demand.recordUse(Weights{Model: model, Adapter: adapter}, 1, m.options.Clock.Now())
}

// Replicas returns the upstreams that serve or will serve weights: those whose
// reports show them as loaded, except while they are being unloaded, and those that
// are loading them. The caller must not change the result.
func (m *Manager) Replicas(model, adapter string) []Replica {
	index := m.cache.get(m.options.View(), m.published.Load(), m.options.Clock.Now())
	return index.replicas[Weights{Model: model, Adapter: adapter}]
}

// KnownWeights returns the weights that have replicas, loaded or loading, in no
// particular order.
func (m *Manager) KnownWeights() []Weights {
	index := m.cache.get(m.options.View(), m.published.Load(), m.options.Clock.Now())
	return slices.Collect(maps.Keys(index.replicas))
}

// Run performs control steps until ctx ends, then waits for the sender and
// forwarding goroutines.
func (m *Manager) Run(ctx context.Context) {
	defer m.group.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		m.Step(ctx)
		interval := idleInterval
		if m.busy {
			interval = busyInterval
		}
		timer.Reset(interval)
	}
}

// Step performs one control step. Run calls it; tests call it directly instead of
// Run.
func (m *Manager) Step(ctx context.Context) {
	now := m.options.Clock.Now()
	m.handleOutcomes(ctx)
	if !now.Before(m.nextRefresh) && !now.Before(m.tableRetryAt) {
		m.refresh(ctx)
	}
	snapshot := m.options.Config()
	if snapshot == nil {
		return
	}
	m.forward(ctx, now)
	m.pollEnginesNow(snapshot.Document, now)
	m.observe(now)
	if m.rowsKnown && m.tableDownSince.IsZero() {
		m.reconcile(ctx, snapshot.Document)
		m.decide(ctx, snapshot.Document)
	}
	m.publish(snapshot)
}

// observe records the current reports, passes arrivals to the scaling policy and
// ends demand that no longer applies.
func (m *Manager) observe(now time.Time) {
	m.observations.ObserveView(m.options.View())
	for w, n := range m.demand.drainArrivals() {
		m.options.Scaling.RecordArrivals(w.String(), n, now)
	}
	m.demand.expire(m.options.Host, now, func(w Weights) bool {
		for _, replica := range m.Replicas(w.Model, w.Adapter) {
			if replica.State == StateLoaded {
				return true
			}
		}
		return false
	})
}

func (m *Manager) input(doc *config.Document) Input {
	now := m.options.Clock.Now()
	return Input{
		Now: now, Config: doc, View: m.options.View(), Rows: m.rows, Observations: m.observations, Policy: m.policy,
		ShouldAct: func(model string, since time.Time) bool { return m.shouldAct(model, now.Sub(since)) },
	}
}

// shouldAct reports whether this host performs an action on a model that has been
// due for the time waited: immediately as the model's owner, otherwise after the
// takeover delay. The jitter keeps hosts from taking over at the same time.
func (m *Manager) shouldAct(model string, waited time.Duration) bool {
	return m.options.IsOwner(model) || waited >= m.policy.TakeoverDelay+m.takeoverJitter
}

func (m *Manager) reconcile(ctx context.Context, doc *config.Document) {
	input := m.input(doc)
	m.performAll(ctx, doc, Reconcile(&input))
}

func (m *Manager) decide(ctx context.Context, doc *config.Document) {
	input := &DecisionInput{
		Input:        m.input(doc),
		Owns:         m.options.IsOwner,
		LastUsed:     m.demand.lastUsed,
		BlockedUntil: func(upstream string) time.Time { return m.blockedUntil[upstream] },
		DataCenter:   m.options.DataCenter,
	}
	input.Needs = m.pendingNeeds(input)
	input.KeepAlive = func(w Weights) time.Duration {
		return m.options.Scaling.KeepAlive(w.String(), input.loadTime(w, input.cheapestSource(w.Model)))
	}
	input.DesiredReplicas = func(need Need) int {
		return m.options.Scaling.DesiredReplicas(need.Model, scalingLoad(input, need), input.Now)
	}
	m.busy = len(input.Needs) > 0 || m.changesInProgress()
	m.performAll(ctx, doc, Decide(input))
}

// pendingNeeds returns the demand that this host decides on: for models that it
// owns, for models whose owner does not respond, and the demand that other hosts
// forwarded to it. The latter counts even if this host is not the owner, because
// hosts whose views of the membership differ disagree on the owner, and otherwise no
// host would decide.
func (m *Manager) pendingNeeds(in *DecisionInput) []Need {
	all, own := m.demand.pending(m.options.Host)
	var needs []Need
	for w, entry := range all {
		local := own[w]
		received := entry.waiting > local.waiting
		if !received && !m.options.IsOwner(w.Model) && !m.decidesInPlaceOfOwner(w, local.since, in.Now) {
			continue
		}
		needs = append(needs, Need{Weights: w, Waiting: entry.waiting, Deadline: entry.deadline, Since: entry.since})
	}
	return needs
}

// decidesInPlaceOfOwner reports whether this host decides on demand of its own for a
// model of another host.
func (m *Manager) decidesInPlaceOfOwner(w Weights, since, now time.Time) bool {
	return m.options.Peers == nil || m.demand.ownerUnresponsive(w, since, now, m.policy.TakeoverDelay)
}

// scalingLoad describes the load of a model for the scaling policy. Reports count
// requests per engine, so Running includes requests for other models on the same
// engines; these reduce the room for this model as well.
func scalingLoad(in *DecisionInput, need Need) scaling.Load {
	load := scaling.Load{Waiting: need.Waiting, LoadTime: in.loadTime(Weights{Model: need.Model}, SourceRemote)}
	if need.Waiting > 0 {
		load.WaitingFor = in.Now.Sub(need.Since)
	}
	for _, address := range in.Rows.Replicas(need.Model) {
		state := in.View.Engine(address)
		if state == nil || state.Report == nil {
			continue
		}
		load.MaxBatch = state.Report.MaxBatch
		load.Replicas++
		resident := findResident(state.Report, Weights{Model: need.Model})
		if resident != nil && resident.State == engine.ResidentLoaded {
			load.Running += len(state.Report.Running) + state.Report.QueueDepth
		}
	}
	return load
}

// changesInProgress reports whether any load or unload is in progress.
func (m *Manager) changesInProgress() bool {
	for _, row := range m.rows.Upstreams {
		for _, r := range row.Reservations {
			if r.State != StateLoaded {
				return true
			}
		}
	}
	return false
}

// pollEnginesNow requests immediate polls of engines that may be loading weights for
// which requests of this host wait, because other hosts learn of the owner's
// decision through engine reports. Engines known to load the weights are polled
// first, then others of the same services.
func (m *Manager) pollEnginesNow(doc *config.Document, now time.Time) {
	if m.options.PollNow == nil || now.Before(m.nextPollNow) {
		return
	}
	_, own := m.demand.pending(m.options.Host)
	if len(own) == 0 {
		return
	}
	m.nextPollNow = now.Add(pollNowInterval)
	services := map[string]bool{}
	polled := map[string]bool{}
	for w := range own {
		services[doc.Models[w.Model].Service] = true
		for _, address := range m.rows.Replicas(w.Model) {
			m.options.PollNow(address)
			polled[address] = true
		}
	}
	for _, state := range m.options.View().Engines {
		if len(polled) >= maxPolledEngines {
			return
		}
		if services[state.Service] && !polled[state.Address] {
			m.options.PollNow(state.Address)
			polled[state.Address] = true
		}
	}
}

// forward sends demand for models that other hosts own, and uses of them, to the
// owners.
func (m *Manager) forward(ctx context.Context, now time.Time) {
	if m.options.Peers == nil {
		return
	}
	_, own := m.demand.pending(m.options.Host)
	for w, entry := range own {
		if m.options.IsOwner(w.Model) || !m.demand.startForward(w, now) {
			continue
		}
		demand := Demand{From: m.options.Host, Weights: w, Waiting: entry.waiting, Deadline: entry.deadline}
		m.group.Go(func() {
			err := m.send(ctx, demand)
			m.demand.endForward(w, err, m.options.Clock.Now())
		})
	}
	if now.Before(m.nextUsesForward) {
		return
	}
	m.nextUsesForward = now.Add(usesInterval)
	m.forwardUses(ctx)
}

func (m *Manager) forwardUses(ctx context.Context) {
	uses := m.demand.drainUses(func(model string) bool { return !m.options.IsOwner(model) })
	if len(uses) == 0 {
		return
	}
	m.group.Go(func() {
		for w, n := range uses {
			// Uses only inform evictions and scaling, so a lost message is not
			// repeated; later uses are sent with the next one.
			if err := m.send(ctx, Demand{From: m.options.Host, Weights: w, Uses: n}); err != nil {
				return
			}
		}
	})
}

func (m *Manager) send(ctx context.Context, demand Demand) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return m.options.Peers.SendDemand(ctx, demand)
}
