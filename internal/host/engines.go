package host

import (
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
func (u engineUpstreams) ConnectionRefused(address string) { u.h.connectionRefused(address) }

// ConnectionLost implements inference.Upstreams. The engine is polled at once,
// because a crash shows as a changed boot identifier or a refused connection.
func (u engineUpstreams) ConnectionLost(address string) { u.h.monitor.PollNow(address) }

// SuspectStarting implements inference.Upstreams.
func (u engineUpstreams) SuspectStarting() { u.h.spreadSuspicions() }

// connectionRefused records a refused connection and has the engine polled.
func (h *Host) connectionRefused(address string) {
	h.monitor.PollNow(address)
	h.observeSign(membership.Sign{Address: address, Kind: membership.SignRefused, At: h.clock.Now(), Source: h.settings.Host})
}

// engineReported takes in a report. It is called from polling goroutines.
func (h *Host) engineReported(address string, report *engine.Report) {
	now := h.clock.Now()
	h.tracker.ObserveReport(address, report, now)
	h.noticeLoads(address, report)
	kind := membership.SignLive
	if report.Draining {
		kind = membership.SignDraining
	}
	h.observeSign(membership.Sign{Address: address, Kind: kind, At: now, Source: h.settings.Host, BootID: report.BootID})
}

// noticeLoads brings the capacities up to date at once when the loaded weights
// of an engine changed, because requests may wait for them.
func (h *Host) noticeLoads(address string, report *engine.Report) {
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
	default: // the control goroutine is behind; its next round does the same
	}
}

// engineRestarted accuses the requests that ran at the engine when it crashed.
func (h *Host) engineRestarted(address, oldBoot, newBoot string) {
	h.log.Info("Engine restarted.", "upstream", address, "old_boot", oldBoot, "new_boot", newBoot)
	h.engineCrashed(address, oldBoot)
}

// engineCrashed accuses the requests that ran at the engine. Other hosts are
// told at once: they may be about to run a suspect beside another one, which
// would prove nothing about either.
func (h *Host) engineCrashed(address, boot string) {
	quarantined := h.suspects.Crashed(h.clock.Now(), address, boot)
	suspicions, isolated := h.suspicionMessages()
	if quarantined || len(suspicions) > 0 || len(isolated) > 0 {
		h.spreadSuspicions()
	}
}

// engineRefused treats a refused connection as a crash when requests ran there.
func (h *Host) engineRefused(address string) {
	h.observeSign(membership.Sign{Address: address, Kind: membership.SignRefused, At: h.clock.Now(), Source: h.settings.Host})
	state := h.monitor.View().Engine(address)
	if state == nil || state.Report == nil {
		return
	}
	h.log.Info("Engine refuses connections.", "upstream", address)
	h.engineCrashed(address, state.Report.BootID)
}

// cacheEvents takes in cache events.
func (h *Host) cacheEvents(address string, events []engine.CacheEvent, _ bool) {
	h.tracker.ObserveEvents(address, events)
}

// engineSlots returns how many requests an engine runs at once.
func engineSlots(view *engine.View, address string) int {
	state := view.Engine(address)
	if state == nil || state.Report == nil || state.Report.MaxBatch <= 0 {
		return defaultEngineSlots
	}
	return state.Report.MaxBatch
}

// splitWeights splits a queue name "model" or "model:adapter".
func splitWeights(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, ":")
	return model, adapter
}

// queueName names the queue of a model or of a model with an adapter.
func queueName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

func isServiceQueue(name string) bool { return strings.HasPrefix(name, "service/") }

// observeSign records a sign about an upstream on the control goroutine.
func (h *Host) observeSign(sign membership.Sign) {
	select {
	case h.control.events <- func() { h.applySign(sign) }:
	default:
		// The queue is full only when the control goroutine is behind; the
		// next report or refusal repeats the sign.
	}
}

func (h *Host) applySign(sign membership.Sign) {
	if h.members.Observe(sign) {
		h.publishMembership(time.Now())
		h.spreadSign(sign)
	}
}
