package loading

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// victim is a reservation that may be evicted.
type victim struct {
	r     Reservation
	bytes int64   // freed by the eviction, including a base model's adapters
	score float64 // idle time × bytes ÷ reload time
}

// victims returns reservations of an upstream whose eviction frees at least the
// given bytes, or nil if there are not enough. Weights past their keep-alive time
// are evicted first; for urgent needs, those idle for the policy's minimum follow.
func (d *decider) victims(state *engine.EngineState, bytes int64, urgent bool) []Reservation {
	row := d.Rows.Upstreams[state.Address]
	var expired, unexpired []victim
	for _, r := range row.Reservations {
		if !d.evictable(state, row, r) {
			continue
		}
		idle := d.idle(state, r)
		v := d.newVictim(row, r, idle)
		switch {
		case idle >= d.KeepAlive(r.Weights):
			expired = append(expired, v)
		case urgent && idle >= d.Policy.MinIdle:
			unexpired = append(unexpired, v)
		}
	}
	byScore := func(a, b victim) int { return cmp.Compare(b.score, a.score) }
	slices.SortStableFunc(expired, byScore)
	slices.SortStableFunc(unexpired, byScore)
	return selectVictims(append(expired, unexpired...), bytes)
}

// selectVictims returns the first victims that together free the given bytes,
// without those that the remaining ones make unnecessary; nil if all are too few.
func selectVictims(order []victim, bytes int64) []Reservation {
	var taken []victim
	freed := int64(0)
	for _, v := range order {
		if freed >= bytes {
			break
		}
		taken = append(taken, v)
		freed += v.bytes
	}
	if freed < bytes {
		return nil
	}
	var reservations []Reservation
	for _, v := range taken {
		if freed-v.bytes >= bytes {
			freed -= v.bytes
			continue
		}
		reservations = append(reservations, v.r)
	}
	return reservations
}

// evictable reports whether a reservation may be evicted: it is loaded, no
// request known to this host waits for its model, none of its adapters is loading,
// and the model keeps its minimum number of replicas.
func (d *decider) evictable(state *engine.EngineState, row UpstreamRow, r Reservation) bool {
	if r.State != StateLoaded || d.evicted[placement{state.Address, r.Weights}] {
		return false
	}
	if d.hasWaiting[r.Model] {
		return false
	}
	if r.Adapter != "" {
		return !d.evicted[placement{state.Address, Weights{Model: r.Model}}]
	}
	for _, other := range row.Reservations {
		if other.Model == r.Model && other.Adapter != "" && other.State == StateLoading {
			return false
		}
	}
	return len(d.liveReplicas(r.Model)) > d.Config.Models[r.Model].MinReplicas
}

// newVictim computes the bytes and score of a victim.
func (d *decider) newVictim(row UpstreamRow, r Reservation, idle time.Duration) victim {
	v := victim{r: r, bytes: r.Bytes}
	if r.Adapter == "" {
		for _, other := range row.Reservations {
			if other.Model == r.Model && other.Adapter != "" && other.State == StateLoaded {
				v.bytes += other.Bytes
			}
		}
	}
	reload := max(time.Millisecond, d.loadTime(r.Weights, SourceRemote))
	v.score = idle.Seconds() * float64(v.bytes) / reload.Seconds()
	return v
}

// idle returns the time since the last use of weights that this host knows of:
// from uses recorded here, forwarded by other hosts, or in the engine's report.
func (d *decider) idle(state *engine.EngineState, r Reservation) time.Duration {
	last := d.Observations.FirstObserved(state.Address, r)
	if used := d.LastUsed(r.Weights); used.After(last) {
		last = used
	}
	if state.Report != nil {
		resident := findResident(state.Report, r.Weights)
		if resident != nil && resident.IdleMS != nil {
			used := state.ReceivedAt.Add(-time.Duration(*resident.IdleMS) * time.Millisecond)
			if used.After(last) {
				last = used
			}
		}
	}
	return d.Now.Sub(last)
}

func (d *decider) evict(address string, reservations []Reservation, reason string) {
	for _, r := range reservations {
		d.unload(address, r, reason)
	}
}

// unload plans the unload of a reservation and counts its bytes, with those of a
// base model's adapters, as being freed.
func (d *decider) unload(address string, r Reservation, reason string) {
	row := d.Rows.Upstreams[address]
	for _, other := range row.Reservations {
		affected := other.Weights == r.Weights || (r.Adapter == "" && other.Model == r.Model)
		if affected && other.State == StateLoaded && !d.evicted[placement{address, other.Weights}] {
			d.evicted[placement{address, other.Weights}] = true
			d.freeing[address] += other.Bytes
		}
	}
	d.actions = append(d.actions, Action{Kind: ActionUnload, Upstream: address, Reservation: r, Reason: reason})
}

// unloadUnneeded unloads weights of models that this host owns: those that are no
// longer configured, outdated versions, and idle replicas past their keep-alive
// time.
func (d *decider) unloadUnneeded() {
	for _, address := range slices.Sorted(maps.Keys(d.Rows.Upstreams)) {
		state := d.View.Engine(address)
		if state == nil {
			continue
		}
		for _, r := range d.Rows.Upstreams[address].Reservations {
			if r.State != StateLoaded || !d.Owns(r.Model) || d.evicted[placement{address, r.Weights}] {
				continue
			}
			if reason := d.unloadReason(state, r); reason != "" {
				d.unload(address, r, reason)
			}
		}
	}
}

// unloadReason returns why a loaded reservation should be unloaded, or "".
func (d *decider) unloadReason(state *engine.EngineState, r Reservation) string {
	idle := d.idle(state, r)
	switch {
	case !d.configured(r.Weights):
		return "not configured"
	case d.outdated(r) && (idle >= d.Policy.MinIdle || d.replaced(r)):
		return "version is outdated"
	case r.Adapter != "" || d.outdated(r):
		return "" // adapters are unloaded with their base model or when memory is needed
	case !d.evictable(state, d.Rows.Upstreams[state.Address], r):
		return ""
	case len(d.liveReplicas(r.Model)) <= d.desiredReplicas(Need{Weights: r.Weights}):
		return ""
	case len(d.liveReplicas(r.Model)) > 1 && idle >= d.KeepAlive(r.Weights)/extraReplicaKeepAliveDivisor:
		return "an additional replica is idle"
	case idle >= d.KeepAlive(r.Weights):
		return "idle past its keep-alive time"
	}
	return ""
}

// extraReplicaKeepAliveDivisor divides the keep-alive time for replicas beyond the
// first: without them, requests still find the model loaded.
const extraReplicaKeepAliveDivisor = 4

// outdated reports whether a reservation is of another version than configured.
func (d *decider) outdated(r Reservation) bool {
	if r.Adapter != "" {
		return d.Config.Adapters[r.Adapter].Version != r.Version
	}
	return d.Config.Models[r.Model].Version != r.Version
}

// replaced reports whether the current version is loaded on another upstream, or
// cannot be loaded for waiting requests because the maximum of replicas is reached.
func (d *decider) replaced(r Reservation) bool {
	if r.Adapter != "" {
		return true
	}
	for address, row := range d.Rows.Upstreams {
		other, ok := row.Find(r.Weights)
		if ok && other.State == StateLoaded && !d.outdated(other) && d.View.Engine(address) != nil {
			return true
		}
	}
	return len(d.Rows.Replicas(r.Model)) >= d.Config.Models[r.Model].MaxReplicas && d.hasWaiting[r.Model]
}
