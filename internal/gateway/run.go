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

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time that callers keep a connection idle.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
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
	// drainNotice is the time between reporting not ready and closing the
	// listener, in which the balancer takes notice.
	drainNotice = 2600 * time.Millisecond
	// exitMargin is kept from the end of the shutdown timeout.
	exitMargin = 250 * time.Millisecond
	// sweepEvery is the period of closing idle connections to upstreams.
	sweepEvery = time.Second
)

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

// listen opens the host's addresses. It serves without metrics where theirs is taken.
func (g *Gateway) listen() (listeners, error) {
	var l listeners
	for _, item := range []struct {
		address  string
		into     *net.Listener
		optional bool
	}{
		{address: g.settings.Listen, into: &l.callers},
		{address: g.settings.ReadyListen, into: &l.ready},
		{address: g.settings.PeerListen, into: &l.peers},
		{address: g.settings.MetricsListen, into: &l.metrics, optional: true},
	} {
		if item.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", item.address)
		switch {
		case err == nil:
			*item.into = listener
		case item.optional:
			g.log.Error(&ListenError{Address: item.address, Cause: err}, "No metrics and no state dump.")
		default:
			return l, eris.Wrap(&ListenError{Address: item.address, Cause: err}, "start")
		}
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
		WatchTiming: func() (wait, pause time.Duration) {
			most := g.settings.partOfBound(confirmParts)
			return g.pace(min(configWait, most), 0, min(hostConfigWait, most), 0)
		},
		Enabled: func() bool { return !g.exchanger.Relayed() },
	}
	upstreams := &table.Follower{
		Reader: g.options.Reader, Table: g.options.UpstreamTable, Replica: &g.directory.Replica,
		Log: g.log, OnFailure: g.directory.TableUnavailable, Enabled: func() bool { return !g.exchanger.Relayed() },
		WatchTiming: func() (wait, pause time.Duration) {
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

// sweep closes idle connections to upstreams.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.CloseExpired()
			g.directory.RemoveExpired()
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
