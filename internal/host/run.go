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
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// hostListInterval is the period of reading the platform's host list.
	hostListInterval = 500 * time.Millisecond
	// slotInterval is the period of claiming and releasing quota slots while a
	// handover is under way; slotIdleInterval applies otherwise.
	slotInterval     = 500 * time.Millisecond
	slotIdleInterval = 5 * time.Second
	// startRetryInterval is the period of attempts to learn the configuration.
	startRetryInterval = 300 * time.Millisecond
	// drainNotice is the time between reporting not ready and refusing new
	// requests, in which the balancer takes notice.
	drainNotice = 500 * time.Millisecond
	// drainPoll is the period of checking whether all requests have finished.
	drainPoll = 20 * time.Millisecond
	// closeTimeout bounds handing over tokens and claims at the end.
	closeTimeout = 2 * time.Second
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

// ShutdownTimeoutError reports requests that were still running when the
// shutdown timeout passed.
type ShutdownTimeoutError struct{ Requests int64 }

// Error implements error.
func (e *ShutdownTimeoutError) Error() string {
	return fmt.Sprintf("shutdown timeout with %d requests in progress", e.Requests)
}

// incarnationName names a process for rows in the table service.
func incarnationName(host string, incarnation uint64) string {
	return host + "/" + strconv.FormatUint(incarnation, 36)
}

// Run serves until the context ends, then shuts down gracefully. It returns
// nil after a shutdown in which every request was answered.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return eris.Wrap(&ListenError{Address: h.settings.Listen, Cause: err}, "start")
	}
	peerListener, err := net.Listen("tcp", h.settings.PeerListen)
	if err != nil {
		_ = listener.Close() // nothing was accepted yet
		return eris.Wrap(&ListenError{Address: h.settings.PeerListen, Cause: err}, "start")
	}
	h.addresses.Store(&Addresses{Listen: listener.Addr().String(), PeerListen: peerListener.Addr().String()})
	h.log.Info("Listening.", "listen", listener.Addr().String(), "peer_listen", peerListener.Addr().String())

	// The work outlives the given context, because a graceful shutdown needs it.
	work, stopWork := context.WithCancel(context.Background())
	var group conc.WaitGroup
	h.startWork(work, &group, peerListener)
	server := h.newServer()
	serving := make(chan error, 1)
	group.Go(func() { serving <- server.Serve(listener) })
	select {
	case <-ctx.Done():
		err = h.shutdown(server, listener)
	case <-h.killed:
		err = server.Close()
	case err = <-serving:
	}
	stopWork()
	group.Wait()
	h.background.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (h *Host) newServer() *http.Server {
	return &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         h.idle.observe,
	}
}

// startWork starts the control goroutine and the loops beside it.
func (h *Host) startWork(ctx context.Context, group *conc.WaitGroup, peerListener net.Listener) {
	h.control.every(h.publishMembership)
	h.control.every(h.updateCapacities)
	h.control.every(h.reportDemand)
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
	group.Go(func() { h.keepSlots(ctx) })
	group.Go(func() { h.start(ctx) })
}

// bootstrapHosts returns the peers to ask while no configuration is known.
func (h *Host) bootstrapHosts() map[string]config.Host {
	hosts := map[string]config.Host{}
	for i, address := range h.settings.BootstrapPeers {
		hosts["bootstrap-"+strconv.Itoa(i)] = config.Host{PeerAddress: h.settings.AddressMap.Resolve(address)}
	}
	return hosts
}

// start learns the configuration in force from the table service or from other
// hosts, and then reports ready.
func (h *Host) start(ctx context.Context) {
	for ctx.Err() == nil {
		if h.options.Bootstrap != nil {
			if err := h.store.Bootstrap(ctx, h.options.Bootstrap); err != nil {
				h.log.V(1).Info("Bootstrap not written.", "error", err.Error())
			}
		}
		// One attempt at a time: the platform may come later, and the bootstrap
		// configuration is written then.
		err := h.follower.TryStart(ctx, h.mesh.Hosts())
		if err == nil {
			h.ready.Store(true)
			h.log.Info("Ready.", "version", h.follower.Current().Version, "after_ms", time.Since(h.started).Milliseconds())
			return
		}
		h.log.V(1).Info("No configuration found yet.", "error", err.Error())
		clock.Sleep(ctx, startRetryInterval)
	}
}

// readHostList reads the platform's host list until the context ends.
func (h *Host) readHostList(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := h.platform.List(ctx)
		now := time.Now()
		if err == nil {
			h.platformSeen.Store(int64(now.Sub(h.started)))
			h.control.post(ctx, func() { h.applyHostList(entries, now) })
		} else {
			h.log.V(1).Info("Host list not read.", "error", err.Error())
			h.learnUpstreams(ctx)
		}
		clock.Sleep(ctx, hostListInterval)
	}
}

func (h *Host) applyHostList(entries []platform.HostEntry, now time.Time) {
	h.members.ObserveList(entries, now)
	h.publishMembership(now)
}

// platformAge returns the time since the platform last answered.
func (h *Host) platformAge() time.Duration {
	return time.Since(h.started) - time.Duration(h.platformSeen.Load())
}

// keepSlots claims the quota slots that the configuration gives to this host
// and releases those that it takes away.
func (h *Host) keepSlots(ctx context.Context) {
	for ctx.Err() == nil {
		interval := slotIdleInterval
		if h.syncSlotsNow(ctx) {
			interval = slotInterval
		}
		select {
		case <-ctx.Done():
		case <-h.slotWake:
		case <-time.After(interval):
		}
	}
}

// syncSlotsNow reports whether it should be called again soon.
func (h *Host) syncSlotsNow(ctx context.Context) bool {
	current := h.follower.Current()
	if current == nil {
		return true
	}
	released, pending, err := h.ledger.Sync(ctx)
	h.noteSlots(current)
	if err != nil {
		h.log.V(1).Info("Quota slots not synchronised.", "error", err.Error())
		return true
	}
	if len(released) > 0 {
		h.log.Info("Released quota slots.", "slots", len(released), "version", current.Version)
		h.spread(func(ctx context.Context, host string) error {
			return h.mesh.SlotReleased(ctx, host, current.Version, released)
		})
	}
	return pending
}

// noteSlots logs and exports how many of the configured slots are in use. Slots
// of a process that ended without a graceful shutdown wait until its requests
// have certainly ended.
func (h *Host) noteSlots(current *config.Snapshot) {
	state := h.quota.Dump()
	configured := len(current.Document.Hosts[h.settings.Host].Slots)
	waiting := configured - state.ActiveSlots
	h.waitingSlots.Set(float64(waiting))
	if waiting == h.waitingBeforeNote {
		return
	}
	h.waitingBeforeNote = waiting
	var latest time.Time
	for _, from := range state.Slots {
		if from.After(latest) {
			latest = from
		}
	}
	h.log.Info("Quota slots in use changed.", "version", current.Version, "configured", configured,
		"in_use", state.ActiveSlots, "all_claimed_in_use_in_s", max(0, int(time.Until(latest).Seconds())))
}

// syncSlots makes keepSlots run now.
func (h *Host) syncSlots() {
	select {
	case h.slotWake <- struct{}{}:
	default:
	}
}

// shutdown reports not ready, lets the requests in progress finish, and hands
// over what other hosts can use.
func (h *Host) shutdown(server *http.Server, listener net.Listener) error {
	h.log.Info("Shutting down.", "requests", h.callers.InFlight())
	h.draining.Store(true)
	h.ready.Store(false)
	deadline := time.Now().Add(h.settings.ShutdownTimeout())
	time.Sleep(drainNotice)
	h.callers.Drain()
	for h.callers.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	remaining := h.callers.InFlight()
	h.closeIdle(listener)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(closeTimeout))
	defer cancel()
	err := server.Shutdown(ctx)
	h.handOver()
	if remaining > 0 {
		_ = server.Close() // the error is the reason for closing
		return &ShutdownTimeoutError{Requests: remaining}
	}
	h.log.Info("All requests finished.")
	return err
}

// closeIdle stops accepting connections and ends the idle ones with an answer.
func (h *Host) closeIdle(listener net.Listener) {
	_ = listener.Close() // the server closes it once more
	var version uint64
	if current := h.follower.Current(); current != nil {
		version = current.Version
	}
	h.idle.refuse(version)
	time.Sleep(idleCloseLinger)
}

// handOver returns loans, releases slot records and waits for claims.
func (h *Host) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	h.limiter.Close(ctx)
	if err := h.ledger.Close(ctx); err != nil {
		h.log.Info("Quota slots not released.", "error", err.Error())
	}
	h.claims.Wait()
}

// Addresses returns the listening addresses, or nil before Run has started.
func (h *Host) Addresses() *Addresses { return h.addresses.Load() }

// Ready reports whether the host serves callers.
func (h *Host) Ready() bool { return h.ready.Load() }
