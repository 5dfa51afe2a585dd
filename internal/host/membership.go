package host

import (
	"context"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/membership"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// publishMembership publishes the current membership to the request path, the
// engine monitor and the heartbeats. It runs on the control goroutine.
func (h *Host) publishMembership(now time.Time) {
	upstreams := h.members.Upstreams(now)
	if !sameSlice(upstreams, h.replicas.view.Load().all()) {
		h.replicas.view.Store(newUpstreamView(upstreams))
		h.publishTargets(upstreams)
	}
	h.publishSigns(upstreams, now)
}

// sameSlice reports whether two results of membership.Table share their backing
// array, which means that the membership has not changed.
func sameSlice(a, b []membership.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// all returns the upstreams, sorted by address.
func (v *upstreamView) all() []membership.Upstream { return v.list }

// publishTargets updates the monitor's targets and the engine clients if the set of
// engines has changed.
func (h *Host) publishTargets(upstreams []membership.Upstream) {
	var targets []engine.Target
	addresses := map[string]bool{}
	for _, upstream := range upstreams {
		if upstream.Kind != platform.KindEngine {
			continue
		}
		addresses[upstream.Address] = true
		targets = append(targets, engine.Target{
			Address: upstream.Address, Service: upstream.Service, DataCenter: upstream.DataCenter,
			Leaving: upstream.State == membership.Leaving,
		})
	}
	if sameTargets(targets, h.targets) {
		return
	}
	h.targets = targets
	h.monitor.SetTargets(targets)
	h.engines.retain(addresses)
}

func sameTargets(a, b []engine.Target) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// publishSigns updates the signs sent in heartbeats: the upstreams that this host
// itself observed to be leaving.
func (h *Host) publishSigns(upstreams []membership.Upstream, now time.Time) {
	var signs []*peerpb.Sign
	for _, upstream := range upstreams {
		if upstream.State == membership.Leaving && upstream.Direct && len(signs) < peer.MaxSigns {
			signs = append(signs, h.leavingSign(upstream, now))
		}
	}
	h.signs.Store(&signs)
}

func (h *Host) leavingSign(upstream membership.Upstream, now time.Time) *peerpb.Sign {
	return &peerpb.Sign{
		Service: upstream.Service, Address: upstream.Address, Kind: peerpb.Sign_LEAVING,
		AgeMs: max(0, now.Sub(upstream.Since).Milliseconds()), Source: h.settings.Host,
	}
}

// mergeSigns applies the signs received from another host.
func (h *Host) mergeSigns(signs []*peerpb.Sign) {
	now := h.clock.Now()
	for _, sign := range signs {
		if sign.GetKind() != peerpb.Sign_LEAVING && sign.GetKind() != peerpb.Sign_DRAINING {
			continue // other kinds, such as a refused connection, concern only the host that observed them
		}
		h.observeSign(membership.Sign{
			Address: sign.GetAddress(), Kind: membership.SignLeaving, Source: sign.GetSource(),
			At: now.Add(-time.Duration(sign.GetAgeMs()) * time.Millisecond), Received: now,
		})
	}
}

// broadcastSign notifies other hosts that an upstream is leaving, without waiting
// for the next heartbeat. Other kinds of signs are not sent.
func (h *Host) broadcastSign(sign membership.Sign) {
	if sign.Kind != membership.SignDraining {
		return
	}
	message := []*peerpb.Sign{{
		Address: sign.Address, Kind: peerpb.Sign_LEAVING, Source: h.settings.Host,
		AgeMs: max(0, time.Since(sign.At).Milliseconds()),
	}}
	h.broadcast(func(ctx context.Context, host string) error { return h.mesh.UpstreamSign(ctx, host, message) })
}

// fetchUpstreams requests the host list from other hosts, those of the own data
// centre first, if this host knows no upstream because it was restarted while the
// platform is down.
func (h *Host) fetchUpstreams(ctx context.Context) {
	if len(h.replicas.view.Load().list) > 0 {
		return
	}
	live := h.liveHosts()
	for _, host := range append(slices.Clone(live.local), live.all...) {
		if host == h.settings.Host {
			continue
		}
		reply, err := h.mesh.Upstreams(ctx, host)
		if err != nil || len(reply.GetUpstreams()) == 0 {
			continue
		}
		entries := entriesFromMessage(reply)
		h.control.post(ctx, func() { h.applyHostList(entries, time.Now()) })
		h.log.Info("Fetched upstreams from another host.", "from", host, "upstreams", len(entries))
		return
	}
}

func entriesFromMessage(message *peerpb.UpstreamList) []platform.HostEntry {
	entries := make([]platform.HostEntry, 0, len(message.GetUpstreams()))
	for _, upstream := range message.GetUpstreams() {
		entries = append(entries, platform.HostEntry{
			Address: upstream.GetAddress(), Kind: upstream.GetKind(), Service: upstream.GetService(),
			DataCenter: upstream.GetDataCenter(), State: upstream.GetState(),
		})
	}
	return entries
}

// handleUpstreams serves an Upstreams call from a host that knows no upstream.
func (h *Host) handleUpstreams(context.Context, *peerpb.UpstreamsRequest) (*peerpb.UpstreamList, error) {
	reply := &peerpb.UpstreamList{}
	for _, upstream := range h.replicas.view.Load().list {
		state := platform.StateLive
		if upstream.State == membership.Leaving {
			state = platform.StateLeaving
		}
		reply.Upstreams = append(reply.Upstreams, &peerpb.Upstream{
			Address: upstream.Address, Kind: upstream.Kind, Service: upstream.Service,
			DataCenter: upstream.DataCenter, State: state,
		})
	}
	return reply, nil
}
