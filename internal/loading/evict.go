package loading

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// victim is a reservation that could be evicted.
type victim struct {
	r     Reservation
	bytes int64   // freed, with the adapters of a base model
	score float64 // idle time × bytes ÷ reload time
}

// victims returns reservations of an upstream whose eviction frees at least
// the given bytes, or nil. Weights past their keep-alive time go first; for
// urgent needs, others that were not used for the minimum idle time may follow.
func (d *decider) victims(state *engine.EngineState, bytes int64, urgent bool) []Reservation {
	row := d.Rows.Upstreams[state.Address]
	var expired, kept []victim
	for _, r := range row.Reservations {
		if !d.evictable(state, row, r) {
			continue
		}
		idle := d.idle(state, r)
		v := d.victim(row, r, idle)
		switch {
		case idle >= d.KeepAlive(r.Weights):
			expired = append(expired, v)
		case urgent && idle >= d.Policy.MinIdle:
			kept = append(kept, v)
		}
	}
	byScore := func(a, b victim) int { return cmp.Compare(b.score, a.score) }
	slices.SortStableFunc(expired, byScore)
	slices.SortStableFunc(kept, byScore)
	return takeVictims(append(expired, kept...), bytes)
}

// takeVictims returns the first victims that free enough, without those that
// later, larger ones make unnecessary.
func takeVictims(order []victim, bytes int64) []Reservation {
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

// evictable reports whether a reservation may be unloaded at all: it is loaded,
// nobody waits for it here, and its model stays above its minimum.
func (d *decider) evictable(state *engine.EngineState, row UpstreamRow, r Reservation) bool {
	if r.State != StateLoaded || d.evicted[placement{state.Address, r.Weights}] {
		return false
	}
	if d.waiting[r.Model] {
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
	return len(d.live(r.Model)) > d.Config.Models[r.Model].MinReplicas
}

func (d *decider) victim(row UpstreamRow, r Reservation, idle time.Duration) victim {
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

// idle returns for how long weights have not been used, as far as this host
// knows: from its own and forwarded uses, and from the engine's report.
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

func (d *decider) unload(address string, r Reservation, reason string) {
	row := d.Rows.Upstreams[address]
	for _, other := range row.Reservations {
		part := other.Weights == r.Weights || (r.Adapter == "" && other.Model == r.Model)
		if part && other.State == StateLoaded && !d.evicted[placement{address, other.Weights}] {
			d.evicted[placement{address, other.Weights}] = true
			d.freeing[address] += other.Bytes
		}
	}
	d.actions = append(d.actions, Action{Kind: ActionUnload, Upstream: address, Reservation: r, Reason: reason})
}

// trim unloads what the configuration no longer contains, old versions, and
// idle replicas past their keep-alive time.
func (d *decider) trim() {
	for _, address := range slices.Sorted(maps.Keys(d.Rows.Upstreams)) {
		state := d.View.Engine(address)
		if state == nil {
			continue
		}
		for _, r := range d.Rows.Upstreams[address].Reservations {
			if r.State != StateLoaded || !d.Owns(r.Model) || d.evicted[placement{address, r.Weights}] {
				continue
			}
			if reason := d.trimReason(state, r); reason != "" {
				d.unload(address, r, reason)
			}
		}
	}
}

func (d *decider) trimReason(state *engine.EngineState, r Reservation) string {
	idle := d.idle(state, r)
	switch {
	case !d.known(r.Weights):
		return "not configured"
	case d.outdated(r) && (idle >= d.Policy.MinIdle || d.replaced(r)):
		return "version is outdated"
	case r.Adapter != "" || d.outdated(r):
		return "" // adapters leave with their base model or when memory is needed
	case !d.evictable(state, d.Rows.Upstreams[state.Address], r):
		return ""
	case len(d.live(r.Model)) <= d.wanted(Need{Weights: r.Weights}):
		return ""
	case len(d.live(r.Model)) > 1 && idle >= d.KeepAlive(r.Weights)/furtherKeepAlivePart:
		return "a further replica is idle"
	case idle >= d.KeepAlive(r.Weights):
		return "idle past its keep-alive time"
	}
	return ""
}

// furtherKeepAlivePart is the part of the keep-alive time for which replicas
// beyond the first stay: without them, requests still find the model loaded.
const furtherKeepAlivePart = 4

func (d *decider) outdated(r Reservation) bool {
	if r.Adapter != "" {
		return d.Config.Adapters[r.Adapter].Version != r.Version
	}
	return d.Config.Models[r.Model].Version != r.Version
}

// replaced reports whether the current version is loaded elsewhere, or cannot
// be for lack of room in the replica bound.
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
	return len(d.Rows.Replicas(r.Model)) >= d.Config.Models[r.Model].MaxReplicas && d.waiting[r.Model]
}
