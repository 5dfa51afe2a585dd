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
	// weights load or unload; idleInterval applies otherwise.
	busyInterval = 20 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	// refreshInterval is the time between two reads of all rows.
	refreshInterval = 500 * time.Millisecond
	// outageBackOff is the time between two attempts while the table service
	// is unavailable.
	outageBackOff = 300 * time.Millisecond
	// rangeLimit is the page size of reads of all rows.
	rangeLimit = 500
	// outcomeBuffer holds results of orders until the next control step.
	outcomeBuffer = 256
	// pokeInterval is the time between two pokes of the engines that may come
	// to hold wanted weights.
	pokeInterval = 300 * time.Millisecond
	// pokeLimit bounds the engines that are poked at a time.
	pokeLimit = 32
	// historyLength is the number of recent decisions in the state dump.
	historyLength = 64
)

// OrderSender sends orders to one engine. *engine.Client implements it.
type OrderSender interface {
	Order(ctx context.Context, order engine.Order) error
}

// Options configures a Manager.
type Options struct {
	Table      platform.Table
	View       func() *engine.View
	PollNow    func(address string) // makes the monitor poll an engine now; optional
	Client     func(address string) OrderSender
	Config     func() *config.Snapshot // nil result: no configuration yet
	IsOwner    func(model string) bool
	Peers      Peers  // nil: demand is never forwarded
	Host       string // unique per incarnation of this host
	DataCenter string
	Clock      clock.Clock
	Rand       *rand.Rand // used by the control goroutine only
	Logger     logr.Logger
	Registerer prometheus.Registerer // optional
	Policy     Policy                // zero: DefaultPolicy
	Scaling    scaling.Policy        // nil: adaptive; used by the control goroutine only
	// Synchronous sends orders within the control step, which makes
	// simulations deterministic.
	Synchronous bool
}

// Manager decides and executes loads. Demand, Used, Receive, Replicas and State
// are safe for concurrent use.
type Manager struct {
	options Options
	policy  Policy
	logger  logr.Logger
	board   *board
	metrics *metrics
	cache   replicaCache
	wake    chan struct{}

	published atomic.Pointer[published]
	dump      atomic.Pointer[Dump]

	// The fields below belong to the control goroutine.
	rows        *Rows
	rowsKnown   bool
	sightings   *Observations
	outcomes    chan []outcome
	unhandled   []outcome // of synchronous orders
	senders     map[string]chan orderJob
	blocked     map[string]time.Time
	group       *conc.WaitGroup
	sequence    uint64
	jitter      time.Duration // of this host's takeover delay
	nextRefresh time.Time
	nextUses    time.Time
	nextPoke    time.Time
	downSince   time.Time // table service; zero: available
	retryAt     time.Time
	lastError   string
	busy        bool
	history     []Decision
}

// New returns a manager; Run makes it work.
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
	// The random part separates incarnations of a host that share a name.
	options.Host += "/" + strconv.FormatUint(options.Rand.Uint64(), 36)
	m := &Manager{
		options:   options,
		policy:    options.Policy,
		logger:    options.Logger.WithName("loading"),
		board:     newBoard(),
		metrics:   newMetrics(options.Registerer),
		wake:      make(chan struct{}, 1),
		rows:      NewRows(),
		sightings: NewObservations(),
		outcomes:  make(chan []outcome, outcomeBuffer),
		senders:   map[string]chan orderJob{},
		blocked:   map[string]time.Time{},
		group:     conc.NewWaitGroup(),
		jitter:    time.Duration(options.Rand.Int64N(int64(options.Policy.TakeoverDelay) + 1)),
	}
	m.published.Store(&published{rows: m.rows})
	m.dump.Store(&Dump{})
	return m
}

// RecordDemand records that requests of this host wait for weights. It coalesces
// and is cheap. Waiting 0 ends the demand.
func (m *Manager) RecordDemand(model, adapter string, waiting int, oldestDeadline time.Time) {
	m.put(Demand{
		From: m.options.Host, Weights: Weights{Model: model, Adapter: adapter},
		Waiting: waiting, Deadline: oldestDeadline,
	})
}

// ReceiveDemand records demand or uses that another host forwarded.
func (m *Manager) ReceiveDemand(demand Demand) {
	if demand.Uses > 0 {
		m.board.use(demand.Weights, demand.Uses, m.options.Clock.Now())
		if demand.Waiting == 0 {
			return
		}
	}
	m.put(demand)
}

func (m *Manager) put(demand Demand) {
	if m.board.put(demand, m.options.Clock.Now()) {
		m.notify()
	}
}

// RecordUse records that a request uses weights.
func (m *Manager) RecordUse(model, adapter string) {
	m.board.use(Weights{Model: model, Adapter: adapter}, 1, m.options.Clock.Now())
}

// Replicas returns the upstreams that serve or will serve weights: those that
// reports show as loaded, without those being unloaded, and those being loaded.
// The result must not be changed.
func (m *Manager) Replicas(model, adapter string) []Replica {
	index := m.cache.get(m.options.View(), m.published.Load(), m.options.Clock.Now())
	return index.replicas[Weights{Model: model, Adapter: adapter}]
}

// KnownWeights returns the weights that have replicas, loaded or loading.
func (m *Manager) KnownWeights() []Weights {
	index := m.cache.get(m.options.View(), m.published.Load(), m.options.Clock.Now())
	return slices.Collect(maps.Keys(index.replicas))
}

// Run works until ctx ends.
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

// Step performs one control step. Run calls it; tests call it directly in place
// of Run.
func (m *Manager) Step(ctx context.Context) {
	now := m.options.Clock.Now()
	m.handleOutcomes(ctx)
	if !now.Before(m.nextRefresh) && !now.Before(m.retryAt) {
		m.refresh(ctx)
	}
	snapshot := m.options.Config()
	if snapshot == nil {
		return
	}
	m.forward(ctx, now)
	m.pokeEngines(snapshot.Document, now)
	m.observe(now)
	if m.rowsKnown && m.downSince.IsZero() {
		m.reconcile(ctx, snapshot.Document)
		m.decide(ctx, snapshot.Document)
	}
	m.publish(snapshot)
}

func (m *Manager) observe(now time.Time) {
	m.sightings.ObserveView(m.options.View())
	for w, n := range m.board.takeArrivals() {
		m.options.Scaling.RecordArrivals(w.String(), n, now)
	}
	m.board.expire(m.options.Host, now, func(w Weights) bool {
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
		Now: now, Config: doc, View: m.options.View(), Rows: m.rows, Observations: m.sightings, Policy: m.policy,
		ShouldAct: func(model string, since time.Time) bool { return m.acts(model, now.Sub(since)) },
	}
}

// acts reports whether this host acts on a model: at once as its owner, and
// otherwise when nobody has for the takeover delay. The jitter keeps hosts from
// acting all at once.
func (m *Manager) acts(model string, waited time.Duration) bool {
	return m.options.IsOwner(model) || waited >= m.policy.TakeoverDelay+m.jitter
}

func (m *Manager) reconcile(ctx context.Context, doc *config.Document) {
	input := m.input(doc)
	m.performAll(ctx, doc, Reconcile(&input))
}

func (m *Manager) decide(ctx context.Context, doc *config.Document) {
	input := &DecisionInput{
		Input:        m.input(doc),
		Owns:         m.options.IsOwner,
		LastUsed:     m.board.lastUsed,
		BlockedUntil: func(upstream string) time.Time { return m.blocked[upstream] },
		DataCenter:   m.options.DataCenter,
	}
	input.Needs = m.needs(input)
	input.KeepAlive = func(w Weights) time.Duration {
		return m.options.Scaling.KeepAlive(w.String(), input.loadTime(w, input.cheapest(w.Model)))
	}
	input.DesiredReplicas = func(need Need) int {
		return m.options.Scaling.DesiredReplicas(need.Model, loadOf(input, need), input.Now)
	}
	m.busy = len(input.Needs) > 0 || m.inProgress()
	m.performAll(ctx, doc, Decide(input))
}

// needs returns the demand that this host decides on: of its own models, of
// models whose owner is silent, and what other hosts sent it. They take it for
// the owner; while views of the membership differ, it may not be, and then
// nobody would decide.
func (m *Manager) needs(in *DecisionInput) []Need {
	all, own := m.board.pending(m.options.Host)
	var needs []Need
	for w, entry := range all {
		mine := own[w]
		received := entry.waiting > mine.waiting
		if !received && !m.options.IsOwner(w.Model) && !m.decidesFor(w, mine.since, in.Now) {
			continue
		}
		needs = append(needs, Need{Weights: w, Waiting: entry.waiting, Deadline: entry.deadline, Since: entry.since})
	}
	return needs
}

func (m *Manager) decidesFor(w Weights, since, now time.Time) bool {
	return m.options.Peers == nil || m.board.ownerSilent(w, since, now, m.policy.TakeoverDelay)
}

// loadOf describes the load of a model for the scaling policy. Reports count
// requests per engine, so the requests of other models on an engine count too:
// they leave less room for this one.
func loadOf(in *DecisionInput, need Need) scaling.Load {
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

func (m *Manager) inProgress() bool {
	for _, row := range m.rows.Upstreams {
		for _, r := range row.Reservations {
			if r.State != StateLoaded {
				return true
			}
		}
	}
	return false
}

// pokeEngines has the engines polled often on which weights may appear that
// requests of this host wait for. The owner's decision reaches other hosts only
// through reports. Engines known to load the weights go first.
func (m *Manager) pokeEngines(doc *config.Document, now time.Time) {
	if m.options.PollNow == nil || now.Before(m.nextPoke) {
		return
	}
	_, own := m.board.pending(m.options.Host)
	if len(own) == 0 {
		return
	}
	m.nextPoke = now.Add(pokeInterval)
	services := map[string]bool{}
	poked := map[string]bool{}
	for w := range own {
		services[doc.Models[w.Model].Service] = true
		for _, address := range m.rows.Replicas(w.Model) {
			m.options.PollNow(address)
			poked[address] = true
		}
	}
	for _, state := range m.options.View().Engines {
		if len(poked) >= pokeLimit {
			return
		}
		if services[state.Service] && !poked[state.Address] {
			m.options.PollNow(state.Address)
			poked[state.Address] = true
		}
	}
}

// forward sends the demand and uses of models that other hosts own to them.
func (m *Manager) forward(ctx context.Context, now time.Time) {
	if m.options.Peers == nil {
		return
	}
	_, own := m.board.pending(m.options.Host)
	for w, entry := range own {
		if m.options.IsOwner(w.Model) || !m.board.startForward(w, now) {
			continue
		}
		demand := Demand{From: m.options.Host, Weights: w, Waiting: entry.waiting, Deadline: entry.deadline}
		m.group.Go(func() {
			err := m.send(ctx, demand)
			m.board.endForward(w, err, m.options.Clock.Now())
		})
	}
	if now.Before(m.nextUses) {
		return
	}
	m.nextUses = now.Add(useInterval)
	m.forwardUses(ctx)
}

func (m *Manager) forwardUses(ctx context.Context) {
	uses := m.board.takeUses(func(model string) bool { return !m.options.IsOwner(model) })
	if len(uses) == 0 {
		return
	}
	m.group.Go(func() {
		for w, n := range uses {
			// Uses only inform eviction; a lost message is repaired by the next.
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
