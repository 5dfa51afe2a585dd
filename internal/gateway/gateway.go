// Package gateway implements a gateway host. It matches opaque requests to routes of
// the configuration, checks keys and allowances, and forwards the requests to
// upstreams. All hosts are equal; the one that holds the lease coordinates the fleet.
package gateway

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/drain"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	defaultMaxBodyBytes = 8 << 20
	// maxConfigAge is the age of the configuration beyond which it is not used to
	// reject requests with "not found" or "unknown key".
	maxConfigAge = 1500 * time.Millisecond
	// leaseDuration is the validity of the lease after a renewal.
	leaseDuration = 2 * time.Second
	// minLargeHostShare is the share of a core from which a host counts as large.
	// Smaller hosts leave work for other hosts, such as coordinating them, to large
	// hosts if there are any: they claim the lease only after claimDelay.
	minLargeHostShare = 0.35
	claimDelay        = 1200 * time.Millisecond
	// leaseMargin covers clock differences and orders in transit.
	leaseMargin = 250 * time.Millisecond
	// notReadyAgeRatio is the part of the key confirmation period after which a host
	// without a new confirmation reports not ready.
	notReadyAgeRatio = 0.6
)

// Options are the settings and dependencies of a gateway.
type Options struct {
	Settings Settings
	Log      logr.Logger
	// DroppedLogLines returns the number of dropped log lines. Optional.
	DroppedLogLines func() float64

	Reader        table.Reader
	Committer     table.Committer
	ConfigTable   string
	UpstreamTable string
	DecodeConfig  DecodeConfig
	// DecodeEvacuation finds evacuations among the rows of ConfigTable. Optional: without it
	// no data centre is evacuated.
	DecodeEvacuation DecodeEvacuation
	DecodeUpstream   DecodeUpstream
	Protocol         call.Protocol
	// Engines returns the client of engines, which passes on what they say of themselves
	// in their responses.
	Engines func(onStatement func(*catalog.Upstream, call.Statement)) coordinator.Engines
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// ListenCallers opens the callers' listener. Optional; the default is drain.Listen.
	ListenCallers func(network, address string) (net.Listener, error)
}

// Gateway is one gateway host. Its ServeHTTP handles callers' requests.
type Gateway struct {
	settings    Settings
	options     Options
	log         logr.Logger
	protocol    call.Protocol
	config      *configuration
	registry    *Registry
	connections *upstream.Pool
	intake      *intake.Guard
	elector     *lease.Elector
	coordinator *coordinator.Coordinator
	exchanger   *exchanger
	slots       *slotQueue
	metrics     *metrics
	inFlight    atomic.Int64
	draining    atomic.Bool
	shutdown    *shutdown
	// uncertainEnds are responses of which it is not known whether they were complete.
	uncertainEnds *uncertainEnds
	random        *rand.Rand // safe for concurrent use
	routeQueries  queryLimiter
}

// globalSource is the random source of the process, which is safe for concurrent use.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns a gateway that is idle until Run.
func New(options Options) *Gateway {
	if options.ListenCallers == nil {
		options.ListenCallers = drain.Listen
	}
	s := options.Settings
	g := &Gateway{
		settings: s, options: options, log: options.Log, protocol: options.Protocol, connections: upstream.NewPool(),
		shutdown: newShutdown(),
		config:   &configuration{decode: options.DecodeConfig, log: options.Log},
	}
	g.intake = newIntake(g)
	g.config.replica.OnChange = g.config.apply
	g.config.settlement.begin(0, 0)
	g.uncertainEnds = newUncertainEnds()
	g.random = rand.New(globalSource{})
	g.registry = NewRegistry(options.DecodeUpstream, g.connections.CloseIdle, options.Log)
	g.registry.slow = newSlowStart(s.Host)
	g.registry.evacuations.bound = s.Evacuation()
	if options.DecodeEvacuation != nil {
		g.config.onRows = func(change table.Change) {
			g.registry.applyEvacuations(options.DecodeEvacuation, change, g.config.replica.PreviouslyConfirmedAt())
		}
	}
	g.elector = &lease.Elector{
		Started: clock.SinceBoot(), Host: s.Host, Address: s.PeerListen, Store: options.Committer, Log: options.Log,
		Terms: lease.Terms{
			Duration: leaseDuration, MaxOrderDelay: coordinator.OrderTimeout, ReacquireDelay: s.Handover(), SafetyMargin: leaseMargin,
		},
	}
	if !s.isLarge() {
		g.elector.ClaimDelay = claimDelay
	}
	g.coordinator = coordinator.New(s.Host, g.elector, fleetState{g.registry, g.config}, options.Engines(g.recordStatement), options.Log)
	g.exchanger = &exchanger{
		settings: &g.settings, log: options.Log, elector: g.elector, coordinator: g.coordinator, config: g.config,
		registry: g.registry, demand: newDemandTracker(), balances: allowance.NewBalances(), retryBudget: NewRetryBudget(s.retryLimits()),
		quarantine: newRequestQuarantine(),
		wake:       make(chan struct{}, 1), allowanceWake: make(chan struct{}, 1),
		replicas: map[string]*table.Replica{options.ConfigTable: &g.config.replica, options.UpstreamTable: &g.registry.Replica},
	}
	g.registry.cold.configure(s.Host, func(name string) *catalog.Service {
		config := g.config.current.Load()
		if config == nil {
			return nil
		}
		return config.Services[name]
	}, g.exchanger.Reached)
	g.config.onFirst = g.registry.reviewCold
	g.exchanger.poolExchanger = newPoolExchanger(&g.settings, g.log, g.exchanger.balances, g.config.current.Load, &g.exchanger.client)
	g.elector.Hosts = g.coordinator.Hosts
	g.elector.CoordinatorReachable = g.exchanger.Reached
	g.elector.Config = g.exchanger.leaseConfig
	g.elector.OnObserved = g.exchanger.observeLease
	g.elector.OnAcquired = func(handover lease.Handover) {
		g.exchanger.acquiredAt.Store(int64(clock.SinceBoot()))
		g.coordinator.BeginTerm(handover.First, handover.Hosts)
	}
	g.slots = newSlotQueue(g)
	g.exchanger.slots = g.slots
	g.exchanger.quarantine.host = s.Host
	g.metrics = newMetrics(g)
	return g
}

func (g *Gateway) droppedLogLines() float64 {
	if g.options.DroppedLogLines == nil {
		return 0
	}
	return g.options.DroppedLogLines()
}

// keysConfirmed reports whether a version of the configuration was confirmed recently
// enough to accept keys by it.
func (g *Gateway) keysConfirmed(by configSnapshot) bool {
	bound := g.settings.KeyConfirmation()
	return bound == 0 || by.age() < bound-keyConfirmationMargin
}

// Ready reports whether the host accepts new connections.
func (g *Gateway) Ready() bool {
	if g.draining.Load() || g.config.current.Load() == nil {
		return false
	}
	bound := seconds(g.settings.KeyConfirmation().Seconds() * notReadyAgeRatio)
	return bound == 0 || g.config.age() < bound
}
