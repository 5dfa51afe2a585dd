package host

import (
	"context"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/membership"
)

// engineUpstreams implements inference.Upstreams.
type engineUpstreams struct{ h *Host }

// Engine implements inference.Upstreams.
func (u engineUpstreams) Engine(address string) *engine.Client { return u.h.engines.client(address) }

// ConnectionRefused implements inference.Upstreams.
func (u engineUpstreams) ConnectionRefused(address string) { u.h.handleConnectionRefused(address) }

// ConnectionLost implements inference.Upstreams. It polls the engine at once,
// because a changed boot identifier or a refused connection reveals a crash.
func (u engineUpstreams) ConnectionLost(address string) { u.h.monitor.PollNow(address) }

// ExchangeSuspicions implements inference.Upstreams. A heartbeat carries the suspicions
// and isolated runs of this host, its reply those of the other host.
func (u engineUpstreams) ExchangeSuspicions(ctx context.Context) {
	start := u.h.clock.Now()
	if failed := u.h.callHosts(ctx, u.h.mesh.Heartbeat); failed > 0 {
		u.h.log.Info("Suspicions not exchanged with all hosts.", "failed", failed, "took_ms", u.h.clock.Now().Sub(start).Milliseconds())
	}
}

// handleConnectionRefused records a refused connection and polls the engine at
// once.
func (h *Host) handleConnectionRefused(address string) {
	h.monitor.PollNow(address)
	h.observeSign(membership.Sign{Address: address, Kind: membership.SignRefused, At: h.clock.Now(), Source: h.settings.Host})
}

// handleEngineReport processes an engine report. It is called from the monitor's
// polling goroutines.
func (h *Host) handleEngineReport(address string, report *engine.Report) {
	now := h.clock.Now()
	h.tracker.ObserveReport(address, report, now)
	h.updateCapacitiesOnLoad(address, report)
	kind := membership.SignLive
	if report.Draining {
		kind = membership.SignDraining
	}
	h.observeSign(membership.Sign{Address: address, Kind: kind, At: now, Source: h.settings.Host, BootID: report.BootID})
}

// updateCapacitiesOnLoad updates the admission capacities at once when the number
// of weights loaded at an engine changes, because requests may be waiting for them.
func (h *Host) updateCapacitiesOnLoad(address string, report *engine.Report) {
	loaded := 0
	for _, resident := range report.Resident {
		if resident.State == engine.ResidentLoaded {
			loaded++
		}
	}
	if before, ok := h.loadedCounts.Swap(address, loaded); ok && before == loaded {
		return
	}
	select {
	case h.control.events <- func() { h.updateCapacities(time.Now()) }:
	default: // the queue is full; the next periodic update covers this change
	}
}

// handleEngineRestart records a crash against the requests that ran at the engine
// under its previous boot identifier.
func (h *Host) handleEngineRestart(address, oldBoot, newBoot string) {
	h.log.Info("Engine restarted.", "upstream", address, "old_boot", oldBoot, "new_boot", newBoot)
	h.recordEngineCrash(address, oldBoot)
}

// recordEngineCrash records a crash against the requests that ran at the engine.
// It notifies other hosts at once: if they ran two suspects at the same engine, a
// crash could not be attributed to either.
func (h *Host) recordEngineCrash(address, boot string) {
	quarantined := h.suspects.Crashed(h.clock.Now(), address, boot)
	message := h.suspicionMessages()
	if quarantined || len(message.Suspicions) > 0 || len(message.IsolatedRuns) > 0 || message.CrashReport != nil {
		h.broadcastSuspicions()
	}
}

// handleEngineRefusal treats a refused connection as a crash of an engine that has
// sent a report before.
func (h *Host) handleEngineRefusal(address string) {
	h.observeSign(membership.Sign{Address: address, Kind: membership.SignRefused, At: h.clock.Now(), Source: h.settings.Host})
	state := h.monitor.View().Engine(address)
	if state == nil || state.Report == nil {
		return
	}
	h.log.Info("Engine refuses connections.", "upstream", address)
	h.recordEngineCrash(address, state.Report.BootID)
}

// handleCacheEvents passes an engine's cache events to routing.
func (h *Host) handleCacheEvents(address string, events []engine.CacheEvent, _ bool) {
	h.tracker.ObserveEvents(address, events)
}

// engineSlots returns the number of requests that an engine runs concurrently.
func engineSlots(view *engine.View, address string) int {
	state := view.Engine(address)
	if state == nil || state.Report == nil || state.Report.MaxBatch <= 0 {
		return defaultEngineSlots
	}
	return state.Report.MaxBatch
}

// splitQueueName splits a queue name of the form "model" or "model:adapter".
func splitQueueName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, ":")
	return model, adapter
}

// queueName returns the name of the admission queue of a model, or of a model with
// an adapter.
func queueName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

func isServiceQueue(name string) bool { return strings.HasPrefix(name, "service/") }

// observeSign queues a sign of an upstream's state for the control goroutine. It
// does not block.
func (h *Host) observeSign(sign membership.Sign) {
	select {
	case h.control.events <- func() { h.applySign(sign) }:
	default:
		// The control queue is full. The next report or refused connection
		// repeats the sign.
	}
}

func (h *Host) applySign(sign membership.Sign) {
	if h.members.Observe(sign) {
		h.publishMembership(time.Now())
		h.broadcastSign(sign)
	}
}
