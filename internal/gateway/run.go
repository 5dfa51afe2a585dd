package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/drain"
	"github.com/arbutusbank/arbutusbank/internal/presence"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time for which callers keep a connection idle.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes exceeds the longest head that configurations allow; all heads together are
	// bounded by package intake.
	maxHeaderBytes = 256 << 10
	// configWatchTimeout bounds a watch of the configuration.
	configWatchTimeout = 600 * time.Millisecond
	// configConfirmations is the number of confirmations of the configuration that
	// have to fit into the key confirmation period.
	configConfirmations = 4
	// upstreamWatchTimeout and upstreamWatchPause pace the coordinator's watch of the
	// upstreams, in which every heartbeat is a change. Two watches and the pause must
	// take less than maxRelayAge, or all hosts watch the table themselves.
	upstreamWatchTimeout = 500 * time.Millisecond
	upstreamWatchPause   = 250 * time.Millisecond
	// These apply to hosts that watch the tables themselves until a coordinator
	// relays them again.
	followerConfigWatchTimeout   = 1100 * time.Millisecond
	followerUpstreamWatchTimeout = 1500 * time.Millisecond
	followerUpstreamWatchPause   = 600 * time.Millisecond
	// sweepInterval is the interval of closing idle connections and removing expired
	// registry entries.
	sweepInterval = time.Second
)

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

type listeners struct{ callers, ready, peers, metrics net.Listener }

// listen opens the host's listeners. If the metrics address is taken, it continues
// without metrics.
func (g *Gateway) listen() (listeners, error) {
	var l listeners
	for _, item := range []struct {
		address  string
		target   *net.Listener
		optional bool
		listen   func(network, address string) (net.Listener, error) // nil: net.Listen
	}{
		{address: g.settings.Listen, target: &l.callers, listen: g.options.ListenCallers},
		{address: g.settings.ReadyListen, target: &l.ready},
		{address: g.settings.PeerListen, target: &l.peers},
		{address: g.settings.MetricsListen, target: &l.metrics, optional: true},
	} {
		if item.address == "" {
			continue
		}
		if item.listen == nil {
			item.listen = net.Listen
		}
		listener, err := item.listen("tcp", item.address)
		switch {
		case err == nil:
			*item.target = listener
		case item.optional:
			g.log.Error(&ListenError{Address: item.address, Cause: err}, "Metrics address unavailable; serving without metrics and state dump.")
		default:
			return l, eris.Wrap(&ListenError{Address: item.address, Cause: err}, "start")
		}
	}
	return l, nil
}

// Run serves until the context ends, then shuts down gracefully. It returns a
// ListenError if a required address is taken.
func (g *Gateway) Run(ctx context.Context) error {
	l, err := g.listen()
	if err != nil {
		return err
	}
	g.log.Info("Started.", "host", g.settings.Host, "data_center", g.settings.DataCenter, "listen", g.settings.Listen)
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var group conc.WaitGroup
	g.startBackground(background, &group, l)
	server := &http.Server{Handler: g, MaxHeaderBytes: maxHeaderBytes}
	presence.Watch(server)
	connections := drain.Track(server)
	g.intake.Attach(server)
	served := make(chan struct{})
	go func() {
		defer close(served)
		err = server.Serve(g.intake.Listener(l.callers))
	}()
	select {
	case <-ctx.Done():
		g.shutDown(func(ctx context.Context) error { return connections.Stop(ctx, server, l.callers, served) })
		_ = server.Close() // ends what the shutdown timeout left over
	case <-served:
	}
	<-served
	stopBackground()
	_ = l.ready.Close() // the process ends
	if l.metrics != nil {
		_ = l.metrics.Close() // the process ends
	}
	group.Wait()
	g.exchanger.depart(context.Background())
	g.log.Info("Stopped.", "requests", g.inFlight.Load(), "error", errorText(err))
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (g *Gateway) startBackground(ctx context.Context, group *conc.WaitGroup, l listeners) {
	configFollower := &table.Follower{
		Reader: g.options.Reader, Table: g.options.ConfigTable, Replica: &g.config.replica, Log: g.log,
		WatchTiming: func() (wait, pause time.Duration) {
			maxWait := g.settings.keyConfirmationFraction(configConfirmations)
			return g.watchPace(min(configWatchTimeout, maxWait), 0, min(followerConfigWatchTimeout, maxWait), 0)
		},
		Enabled: func() bool { return !g.exchanger.Relayed() },
	}
	upstreamFollower := &table.Follower{
		Reader: g.options.Reader, Table: g.options.UpstreamTable, Replica: &g.registry.Replica,
		Log: g.log, OnFailure: g.registry.TableUnavailable, Enabled: func() bool { return !g.exchanger.Relayed() },
		WatchTiming: func() (wait, pause time.Duration) {
			return g.watchPace(upstreamWatchTimeout, upstreamWatchPause, followerUpstreamWatchTimeout, followerUpstreamWatchPause)
		},
	}
	group.Go(func() { configFollower.Run(ctx) })
	group.Go(func() { upstreamFollower.Run(ctx) })
	group.Go(func() { g.elector.Run(ctx) })
	group.Go(func() { g.exchanger.run(ctx) })
	group.Go(func() { g.exchanger.runAllowanceCalls(ctx) })
	group.Go(func() { g.exchanger.poolExchanger.run(ctx) })
	group.Go(func() { g.coordinator.Run(ctx) })
	group.Go(func() { g.sweep(ctx) })
	group.Go(func() { g.watchStalls(ctx) })
	group.Go(func() { g.serveInternal(l.ready, g.readyHandler()) })
	if l.metrics != nil {
		group.Go(func() { g.serveInternal(l.metrics, g.metricsHandler()) })
	}
	group.Go(func() {
		if err := coordinator.Serve(ctx, l.peers, g.exchanger); err != nil && ctx.Err() == nil {
			g.log.Error(err, "Peer server failed.")
		}
	})
}

// watchPace returns the pace of the table watches, which depends on whether this host
// is the coordinator.
func (g *Gateway) watchPace(wait, pause, hostWait, hostPause time.Duration) (time.Duration, time.Duration) {
	if g.elector.Held() {
		return wait, pause
	}
	return hostWait, hostPause
}

// sweep closes idle connections to upstreams and removes expired registry entries.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.connections.CloseExpired()
			g.registry.RemoveExpired()
		}
	}
}
