package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/drain"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/presence"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// hostListInterval is the polling interval of the platform's host list.
	hostListInterval = 500 * time.Millisecond
	// slotInterval is the interval of claiming and releasing quota slots while
	// claims or releases are pending; slotIdleInterval applies otherwise.
	slotInterval     = 500 * time.Millisecond
	slotIdleInterval = 5 * time.Second
	// configRetryInterval is the delay between attempts to obtain the initial
	// configuration.
	configRetryInterval = 300 * time.Millisecond
	// drainDelay is the time between reporting not ready and refusing new
	// requests, in which the load balancer stops sending them.
	drainDelay = 500 * time.Millisecond
	// drainPollInterval is the interval of checking whether all requests have
	// finished.
	drainPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the release of quota at the end of a shutdown, and how
	// long closing the HTTP server may exceed the shutdown timeout. The removal of
	// idempotency claims has its own timeout (package idempotency).
	closeTimeout = 2 * time.Second
)

// ListenError reports a failure to listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// ShutdownTimeoutError reports the number of requests still in progress when the
// shutdown timeout expired.
type ShutdownTimeoutError struct{ Requests int64 }

// Error implements error.
func (e *ShutdownTimeoutError) Error() string {
	return fmt.Sprintf("shutdown timeout with %d requests in progress", e.Requests)
}

// incarnationName returns the identifier of a process in rows of the table service.
func incarnationName(host string, incarnation uint64) string {
	return host + "/" + strconv.FormatUint(incarnation, 36)
}

// Run serves until the context ends and then shuts down gracefully; after Kill it
// closes all connections at once. It returns a *ListenError if an address cannot be
// listened on, a *ShutdownTimeoutError if requests were still in progress when the
// shutdown timeout expired, any other error of the HTTP server, and nil otherwise.
func (h *Host) Run(ctx context.Context) error {
	listener, err := drain.Listen("tcp", h.settings.Listen)
	if err != nil {
		return eris.Wrap(&ListenError{Address: h.settings.Listen, Cause: err}, "start")
	}
	peerListener, err := net.Listen("tcp", h.settings.PeerListen)
	if err != nil {
		_ = listener.Close() // no connection has been accepted
		return eris.Wrap(&ListenError{Address: h.settings.PeerListen, Cause: err}, "start")
	}
	h.addresses.Store(&Addresses{Listen: listener.Addr().String(), PeerListen: peerListener.Addr().String()})
	h.log.Info("Listening.", "listen", listener.Addr().String(), "peer_listen", peerListener.Addr().String())

	// The background loops have their own context, because they must run until
	// the end of a graceful shutdown.
	loopCtx, stopLoops := context.WithCancel(context.Background())
	var group conc.WaitGroup
	h.startLoops(loopCtx, &group, peerListener)
	server := h.newServer()
	serving := make(chan error, 1)
	group.Go(func() { serving <- server.Serve(h.intake.Listener(listener)) })
	select {
	case <-ctx.Done():
		err = h.shutdown(server, listener)
	case <-h.killed:
		err = server.Close()
	case err = <-serving:
	}
	stopLoops()
	group.Wait()
	h.background.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Host) newServer() *http.Server {
	server := &http.Server{
		Handler:        h.handler,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      h.idleConns.observe,
	}
	presence.Watch(server)
	h.intake.Attach(server)
	return server
}

// startLoops starts the control goroutine and the other background loops.
func (h *Host) startLoops(ctx context.Context, group *conc.WaitGroup, peerListener net.Listener) {
	h.control.addPeriodic(h.publishMembership)
	h.control.addPeriodic(h.updateCapacities)
	h.control.addPeriodic(h.reportDemand)
	h.mesh.SetHosts(h.bootstrapHosts())
	group.Go(func() { h.control.run(ctx) })
	group.Go(func() {
		if err := h.mesh.Run(ctx, peerListener); err != nil && ctx.Err() == nil {
			h.log.Error(err, "Peer server ended.")
		}
	})
	group.Go(func() { h.follower.Run(ctx) })
	group.Go(func() { h.monitor.Run(ctx) })
	group.Go(func() { h.loading.Run(ctx) })
	group.Go(func() { h.limiter.Run(ctx) })
	group.Go(func() { h.claims.Run(ctx) })
	group.Go(func() { h.watcher.Run(ctx) })
	group.Go(func() { h.readHostList(ctx) })
	group.Go(func() { h.runSlotSync(ctx) })
	group.Go(func() { h.loadConfiguration(ctx) })
}

// bootstrapHosts returns the configured bootstrap peers, which are used until a
// configuration is known.
func (h *Host) bootstrapHosts() map[string]config.Host {
	hosts := map[string]config.Host{}
	for i, address := range h.settings.BootstrapPeers {
		hosts["bootstrap-"+strconv.Itoa(i)] = config.Host{PeerAddress: h.settings.AddressMap.Resolve(address)}
	}
	return hosts
}

// loadConfiguration obtains the current configuration from the table service or
// from other hosts, retrying until it succeeds, and then marks the host as ready.
func (h *Host) loadConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		if h.options.Bootstrap != nil {
			if err := h.store.Bootstrap(ctx, h.options.Bootstrap); err != nil {
				h.log.V(1).Info("Bootstrap not written.", "error", err.Error())
			}
		}
		// A single attempt per iteration, so that the bootstrap configuration is
		// written once the platform becomes available.
		err := h.follower.TryStart(ctx, h.mesh.Hosts())
		if err == nil {
			h.ready.Store(true)
			h.log.Info("Ready.", "version", h.follower.Current().Version, "after_ms", time.Since(h.started).Milliseconds())
			return
		}
		h.log.V(1).Info("No configuration found yet.", "error", err.Error())
		clock.Sleep(ctx, configRetryInterval)
	}
}

// readHostList polls the platform's host list until the context ends. If the
// platform does not respond, it falls back to the upstreams of other hosts.
func (h *Host) readHostList(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := h.platform.List(ctx)
		now := time.Now()
		if err == nil {
			h.platformRespondedAt.Store(int64(now.Sub(h.started)))
			h.control.post(ctx, func() { h.applyHostList(entries, now) })
		} else {
			h.log.V(1).Info("Host list not read.", "error", err.Error())
			h.fetchUpstreams(ctx)
		}
		clock.Sleep(ctx, hostListInterval)
	}
}

func (h *Host) applyHostList(entries []platform.HostEntry, now time.Time) {
	h.members.ObserveList(entries, now)
	h.publishMembership(now)
}

// platformAge returns the time since the platform's last response, or since startup
// if there was none.
func (h *Host) platformAge() time.Duration {
	return time.Since(h.started) - time.Duration(h.platformRespondedAt.Load())
}

// runSlotSync claims the quota slots that the configuration assigns to this host
// and releases those that it no longer assigns, until the context ends.
func (h *Host) runSlotSync(ctx context.Context) {
	for ctx.Err() == nil {
		interval := slotIdleInterval
		if h.syncSlots(ctx) {
			interval = slotInterval
		}
		select {
		case <-ctx.Done():
		case <-h.slotSyncRequests:
		case <-time.After(interval):
		}
	}
}

// syncSlots claims and releases quota slots once and notifies other hosts of
// released ones. It reports whether it should be called again after slotInterval.
func (h *Host) syncSlots(ctx context.Context) bool {
	current := h.follower.Current()
	if current == nil {
		return true
	}
	released, pending, err := h.ledger.Sync(ctx)
	h.reportSlots(current)
	if err != nil {
		h.log.V(1).Info("Quota slots not synchronised.", "error", err.Error())
		return true
	}
	if len(released) > 0 {
		h.log.Info("Released quota slots.", "slots", len(released), "version", current.Version)
		h.broadcast(func(ctx context.Context, host string) error {
			return h.mesh.SlotReleased(ctx, host, current.Version, released)
		})
	}
	return pending
}

// reportSlots logs and exports how many of the configured slots are in use. A slot
// of a process that ended without a graceful shutdown is not in use until all
// requests of that process must have ended.
func (h *Host) reportSlots(current *config.Snapshot) {
	state := h.quota.Dump()
	configured := len(current.Document.Hosts[h.settings.Host].Slots)
	waiting := configured - state.ActiveSlots
	h.waitingSlots.Set(float64(waiting))
	if waiting == h.lastReportedWaiting {
		return
	}
	h.lastReportedWaiting = waiting
	var latest time.Time
	for _, from := range state.Slots {
		if from.After(latest) {
			latest = from
		}
	}
	h.log.Info("Quota slots in use changed.", "version", current.Version, "configured", configured,
		"in_use", state.ActiveSlots, "all_claimed_in_use_in_s", max(0, int(time.Until(latest).Seconds())))
}

// requestSlotSync makes runSlotSync run without waiting for its interval.
func (h *Host) requestSlotSync() {
	select {
	case h.slotSyncRequests <- struct{}{}:
	default:
	}
}

// shutdown marks the host as not ready, waits until the requests in progress have
// finished or the shutdown timeout expires, and releases quota and claims.
func (h *Host) shutdown(server *http.Server, listener net.Listener) error {
	h.log.Info("Shutting down.", "requests", h.callers.InFlight())
	h.draining.Store(true)
	h.ready.Store(false)
	deadline := time.Now().Add(h.settings.ShutdownTimeout())
	time.Sleep(drainDelay)
	h.callers.Drain()
	for h.callers.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	remaining := h.callers.InFlight()
	h.closeIdleConns(listener)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(closeTimeout))
	defer cancel()
	err := server.Shutdown(ctx)
	h.releaseResources()
	if remaining > 0 {
		_ = server.Close() // the timeout is reported instead
		return &ShutdownTimeoutError{Requests: remaining}
	}
	h.log.Info("All requests finished.")
	return err
}

// closeIdleConns stops accepting connections and sends a shutdown response on the
// idle ones. The server closes them afterwards.
func (h *Host) closeIdleConns(listener net.Listener) {
	_ = listener.Close() // closed again by the server
	var version uint64
	if current := h.follower.Current(); current != nil {
		version = current.Version
	}
	h.idleConns.refuse(version)
	time.Sleep(idleCloseLinger)
}

// releaseResources returns loans, releases slot records and waits for the removal
// of abandoned idempotency claims.
func (h *Host) releaseResources() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.limiter.Close(ctx)
	if err := h.ledger.Close(ctx); err != nil {
		h.log.Info("Quota slots not released.", "error", err.Error())
	}
	h.claims.Wait()
}

// Addresses returns the listen addresses, or nil before Run is listening.
func (h *Host) Addresses() *Addresses { return h.addresses.Load() }

// Ready reports whether the host has a configuration and is not shutting down.
func (h *Host) Ready() bool { return h.ready.Load() }
