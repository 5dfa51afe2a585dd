// Package gateway is a host that serves opaque requests: it matches them to
// routes of the configuration that it follows, checks keys and allowances, and
// sends them to upstreams. Hosts are equal; one of them coordinates the
// others for as long as it holds the lease.
package gateway

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	defaultBodyBytes = 8 << 20
	// staleConfig is the age of the configuration from which "not found" and
	// "unknown key" are not said any more.
	staleConfig = 1500 * time.Millisecond
	// leaseDuration is how long a renewal of the lease is valid.
	leaseDuration = 2 * time.Second
	// largeShare is the part of a core below which a host leaves the work for
	// others to larger ones, if there are any.
	largeShare = 0.35
	reluctance = 1200 * time.Millisecond
	// leaseSlack covers differences of clocks and orders on their way.
	leaseSlack = 250 * time.Millisecond
	// unreadyAge is the part of the bound for keys from which a host that
	// can't confirm them reports not ready.
	unreadyAge = 0.6
)

// Options are the parts of a gateway that depend on its surroundings.
type Options struct {
	Settings Settings
	Log      logr.Logger
	// DroppedLogLines returns the number of log lines that were dropped. Optional.
	DroppedLogLines func() float64

	Reader         table.Reader
	Committer      table.Committer
	ConfigTable    string
	UpstreamTable  string
	DecodeConfig   DecodeConfig
	DecodeUpstream DecodeUpstream
	Protocol       call.Protocol
	Engines        coordinator.Engines
	// ReadyPath is the path of the readiness check.
	ReadyPath string
}

// Gateway is one host. Its ServeHTTP handles callers' requests.
type Gateway struct {
	settings    Settings
	options     Options
	log         logr.Logger
	dialect     call.Protocol
	config      *configuration
	directory   *Registry
	pool        *upstream.Pool
	keeper      *lease.Elector
	coordinator *coordinator.Coordinator
	exchanger   *exchanger
	metrics     *metrics
	inFlight    atomic.Int64
	draining    atomic.Bool
	ends        atomic.Pointer[time.Time] // end of a shutdown; nil: none
}

// New returns a gateway that does nothing until Run.
func New(options Options) *Gateway {
	s := options.Settings
	g := &Gateway{
		settings: s, options: options, log: options.Log, dialect: options.Protocol, pool: upstream.NewPool(),
		config: &configuration{decode: options.DecodeConfig, log: options.Log},
	}
	g.config.replica.OnChange = g.config.apply
	g.directory = NewRegistry(options.DecodeUpstream, g.pool.CloseIdle, options.Log)
	g.keeper = &lease.Elector{
		Started: clock.SinceBoot(), Host: s.Host, Address: s.PeerListen, Store: options.Committer, Log: options.Log,
		Terms: lease.Terms{
			Duration: leaseDuration, MaxOrderDelay: coordinator.OrderTimeout, ReacquireDelay: s.Handover(), SafetyMargin: leaseSlack,
		},
	}
	if !s.large() {
		g.keeper.ClaimDelay = reluctance
	}
	g.coordinator = coordinator.New(s.Host, g.keeper, knowledge{g.directory, g.config}, options.Engines, options.Log)
	g.exchanger = &exchanger{
		settings: &g.settings, log: options.Log, keeper: g.keeper, coordinator: g.coordinator, config: g.config.current.Load,
		directory: g.directory, waiting: newWaitingBook(), bank: allowance.NewBalances(), budget: NewRetryBudget(s.retryTerms()),
		crashes:  newCrashBook(),
		wake:     make(chan struct{}, 1),
		replicas: map[string]*table.Replica{options.ConfigTable: &g.config.replica, options.UpstreamTable: &g.directory.Replica},
	}
	g.exchanger.pooling = newPooling(&g.settings, g.log, g.exchanger.bank, g.config.current.Load, &g.exchanger.client)
	g.keeper.Hosts = g.coordinator.Hosts
	g.keeper.CoordinatorReachable = g.exchanger.Reached
	g.keeper.OnAcquired = func(last lease.Record) { g.coordinator.BeginTerm(last.Holder == "", last.Hosts) }
	g.metrics = newMetrics(g)
	return g
}

func (g *Gateway) dropped() float64 {
	if g.options.DroppedLogLines == nil {
		return 0
	}
	return g.options.DroppedLogLines()
}

// keysConfirmed reports whether keys may be accepted now.
func (g *Gateway) keysConfirmed() bool {
	bound := g.settings.KeyConfirmation()
	return bound == 0 || g.config.age() < bound-confirmMargin
}

// Ready reports whether the host wants new connections.
func (g *Gateway) Ready() bool {
	if g.draining.Load() || g.config.current.Load() == nil {
		return false
	}
	bound := seconds(g.settings.KeyConfirmation().Seconds() * unreadyAge)
	return bound == 0 || g.config.age() < bound
}
