// Package gateway is a host that serves opaque requests: it matches them to
// routes of the configuration that it follows, checks keys and allowances, and
// sends them to upstreams. Hosts are equal; one of them coordinates the
// others for as long as it holds the lease.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time that callers keep a connection idle.
	idleTimeout      = 2 * time.Minute
	maxHeaderBytes   = 64 << 10
	defaultBodyBytes = 8 << 20
	// staleConfig is the age of the configuration from which "not found" and
	// "unknown key" are not said any more.
	staleConfig = 1500 * time.Millisecond
	// configWait is the longest time that a watch of the configuration waits.
	configWait = 600 * time.Millisecond
	// confirmParts is the number of confirmations of the configuration that are
	// to come within the bound for keys.
	confirmParts = 4
	// upstreamWait and upstreamPause pace the coordinator's watch of the
	// upstreams; each heartbeat of each of them is a change. Two waits and the
	// pause are less than relayAge, or all hosts watch for themselves.
	upstreamWait  = 500 * time.Millisecond
	upstreamPause = 250 * time.Millisecond
	// hostConfigWait, hostUpstreamWait and hostUpstreamPause apply to hosts that
	// only follow for themselves, until a coordinator relays again.
	hostConfigWait    = 1100 * time.Millisecond
	hostUpstreamWait  = 1500 * time.Millisecond
	hostUpstreamPause = 600 * time.Millisecond
	// leaseDuration is how long a renewal of the lease is valid.
	leaseDuration = 2 * time.Second
	// largeShare is the part of a core below which a host leaves the work for
	// others to larger ones, if there are any.
	largeShare = 0.35
	reluctance = 1200 * time.Millisecond
	// leaseSlack covers differences of clocks and orders on their way.
	leaseSlack = 250 * time.Millisecond
	// drainNotice is the time between reporting not ready and closing the
	// listener, in which the balancer takes notice.
	drainNotice = 2600 * time.Millisecond
	// exitMargin is kept from the end of the shutdown timeout.
	exitMargin = 250 * time.Millisecond
	// sweepEvery is the period of closing idle connections to upstreams.
	sweepEvery = time.Second
	// unreadyAge is the part of the bound for keys from which a host that
	// can't confirm them reports not ready.
	unreadyAge = 0.6
)

// Options are the parts of a gateway that depend on its surroundings.
type Options struct {
	Settings Settings
	Log      logr.Logger
	// Dropped returns the number of log lines that were dropped. Optional.
	Dropped func() float64

	Reader         table.Reader
	Committer      table.Committer
	ConfigTable    string
	UpstreamTable  string
	DecodeConfig   DecodeConfig
	DecodeUpstream DecodeUpstream
	Dialect        call.Dialect
	Engines        coordinator.Engines
	// ReadyPath is the path of the readiness check.
	ReadyPath string
}

// Gateway is one host. Its ServeHTTP handles callers' requests.
type Gateway struct {
	settings    Settings
	options     Options
	log         logr.Logger
	dialect     call.Dialect
	config      *configuration
	directory   *Directory
	pool        *upstream.Pool
	keeper      *lease.Keeper
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
		settings: s, options: options, log: options.Log, dialect: options.Dialect, pool: upstream.NewPool(),
		config: &configuration{decode: options.DecodeConfig, log: options.Log},
	}
	g.config.replica.Apply = g.config.apply
	g.directory = NewDirectory(options.DecodeUpstream, g.pool.Forget, options.Log)
	g.keeper = &lease.Keeper{
		Started: clock.SinceBoot(), Host: s.Host, Address: s.PeerListen, Store: options.Committer, Log: options.Log,
		Terms: lease.Terms{
			Duration: leaseDuration, Arrival: coordinator.OrderTimeout, Handover: s.Handover(), Slack: leaseSlack,
		},
	}
	if !s.large() {
		g.keeper.Reluctance = reluctance
	}
	g.coordinator = coordinator.New(s.Host, g.keeper, knowledge{g.directory, g.config}, options.Engines, options.Log)
	g.exchanger = &exchanger{
		settings: &g.settings, log: options.Log, keeper: g.keeper, coordinator: g.coordinator, config: g.config.current.Load,
		directory: g.directory, waiting: newWaitingBook(), bank: allowance.NewBank(), budget: NewBudget(s.retryTerms()),
		crashes:  newCrashBook(),
		wake:     make(chan struct{}, 1),
		replicas: map[string]*table.Replica{options.ConfigTable: &g.config.replica, options.UpstreamTable: &g.directory.Replica},
	}
	g.exchanger.pooling = newPooling(&g.settings, g.log, g.exchanger.bank, g.config.current.Load, &g.exchanger.client)
	g.keeper.Hosts = g.coordinator.Hosts
	g.keeper.Reached = g.exchanger.Reached
	g.keeper.Taken = func(last lease.Record) { g.coordinator.Take(last.Holder == "", last.Hosts) }
	g.metrics = newMetrics(g)
	return g
}

func (g *Gateway) dropped() float64 {
	if g.options.Dropped == nil {
		return 0
	}
	return g.options.Dropped()
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

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

type listeners struct{ callers, ready, peers, metrics net.Listener }

func (g *Gateway) listen() (listeners, error) {
	var l listeners
	for _, item := range []struct {
		address string
		into    *net.Listener
	}{
		{g.settings.Listen, &l.callers}, {g.settings.ReadyListen, &l.ready},
		{g.settings.PeerListen, &l.peers}, {g.settings.MetricsListen, &l.metrics},
	} {
		if item.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", item.address)
		if err != nil {
			return l, eris.Wrap(&ListenError{Address: item.address, Cause: err}, "start")
		}
		*item.into = listener
	}
	return l, nil
}

// Run serves until the context ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	l, err := g.listen()
	if err != nil {
		return err
	}
	g.log.Info("Started.", "host", g.settings.Host, "data_center", g.settings.DataCenter, "listen", g.settings.Listen)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var group conc.WaitGroup
	g.startWork(work, &group, l)
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	serving := make(chan error, 1)
	go func() { serving <- server.Serve(l.callers) }()
	select {
	case <-ctx.Done():
		g.shutdown(server)
	case err = <-serving:
	}
	stopWork()
	_ = l.ready.Close() // the process ends
	if l.metrics != nil {
		_ = l.metrics.Close() // the process ends
	}
	group.Wait()
	g.log.Info("Stopped.", "requests", g.inFlight.Load(), "error", errorText(err))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (g *Gateway) startWork(ctx context.Context, group *conc.WaitGroup, l listeners) {
	configs := &table.Follower{
		Reader: g.options.Reader, Table: g.options.ConfigTable, Replica: &g.config.replica, Log: g.log,
		Pace: func() (wait, pause time.Duration) {
			most := g.settings.partOfBound(confirmParts)
			return g.pace(min(configWait, most), 0, min(hostConfigWait, most), 0)
		},
		Needed: func() bool { return !g.exchanger.Relayed() },
	}
	upstreams := &table.Follower{
		Reader: g.options.Reader, Table: g.options.UpstreamTable, Replica: &g.directory.Replica,
		Log: g.log, Lost: g.directory.Lost, Needed: func() bool { return !g.exchanger.Relayed() },
		Pace: func() (wait, pause time.Duration) {
			return g.pace(upstreamWait, upstreamPause, hostUpstreamWait, hostUpstreamPause)
		},
	}
	group.Go(func() { configs.Run(ctx) })
	group.Go(func() { upstreams.Run(ctx) })
	group.Go(func() { g.keeper.Run(ctx) })
	group.Go(func() { g.exchanger.run(ctx) })
	group.Go(func() { g.exchanger.pooling.run(ctx) })
	group.Go(func() { g.coordinator.Run(ctx) })
	group.Go(func() { g.sweep(ctx) })
	group.Go(func() { g.serveSide(l.ready, g.readyHandler()) })
	if l.metrics != nil {
		group.Go(func() { g.serveSide(l.metrics, g.metricsHandler()) })
	}
	group.Go(func() {
		if err := coordinator.Serve(ctx, l.peers, g.exchanger); err != nil && ctx.Err() == nil {
			g.log.Error(err, "Server for other hosts ended.")
		}
	})
}

// pace returns the pace of the coordinator's or of another host's watches.
func (g *Gateway) pace(wait, pause, hostWait, hostPause time.Duration) (time.Duration, time.Duration) {
	if g.keeper.Held() {
		return wait, pause
	}
	return hostWait, hostPause
}

func (g *Gateway) serveSide(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	if err := server.Serve(listener); err != nil && !errors.Is(err, net.ErrClosed) {
		g.log.Error(err, "Side server ended.", "address", listener.Addr().String())
	}
}

func (g *Gateway) readyHandler() http.Handler {
	router := httprouter.New()
	router.GET(g.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

func (g *Gateway) metricsHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	router.GET("/state", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(g.State()); err != nil {
			g.log.Info("State dump not written.", "error", err.Error())
		}
	})
	return router
}

// sweep closes idle connections to upstreams.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.Sweep()
			g.directory.Expire()
		}
	}
}

// endsWithin reports whether the host ends within a time.
func (g *Gateway) endsWithin(d time.Duration) bool {
	ends := g.ends.Load()
	return ends != nil && time.Until(*ends) < d
}

// shutdown reports not ready, hands the coordination over, and lets the
// requests in progress finish.
func (g *Gateway) shutdown(server *http.Server) {
	deadline := time.Now().Add(g.settings.ShutdownTimeout() - exitMargin)
	g.ends.Store(&deadline)
	g.draining.Store(true)
	g.log.Info("Shutting down.", "requests", g.inFlight.Load(), "coordinator", g.keeper.Held())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	g.keeper.Stop(ctx)
	clock.Sleep(ctx, drainNotice)
	if err := server.Shutdown(ctx); err != nil {
		g.log.Info("Requests cut at the end of the shutdown.", "requests", g.inFlight.Load(), "error", err.Error())
		_ = server.Close() // the process ends
	}
}

// State is the state dump of a host.
type State struct {
	Host          string       `json:"host"`
	Ready         bool         `json:"ready"`
	ConfigVersion int64        `json:"config_version"`
	ConfigAgeMS   int64        `json:"config_age_ms"`
	Lease         lease.Status `json:"lease"`
	Reached       bool         `json:"coordinator_reached"`
	InFlight      int64        `json:"requests_in_flight"`
	ViewEpoch     int64        `json:"view_epoch"`
	ViewVersion   int64        `json:"view_version"`
	Upstreams     int          `json:"upstreams"`
}

// State returns the state dump.
func (g *Gateway) State() State {
	epoch, version := g.directory.ViewVersion()
	return State{
		Host: g.settings.Host, Ready: g.Ready(), ConfigVersion: g.config.version(), ConfigAgeMS: g.config.age().Milliseconds(),
		Lease: g.keeper.Status(), Reached: g.exchanger.Reached(), InFlight: g.inFlight.Load(),
		ViewEpoch: epoch, ViewVersion: version, Upstreams: len(g.directory.Upstreams()),
	}
}
