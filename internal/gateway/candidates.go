package gateway

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// Candidate is an upstream that may take a request.
type Candidate struct {
	Upstream    *catalog.Upstream
	Load        int  // requests there, over all hosts
	HasAdapter  bool // the adapter asked for is loaded
	InBackoff   bool // it failed a moment ago
	FailureRate float64
}

// Candidates returns the upstreams of a service that can run a request for a
// model (plain services: "").
func (d *Registry) Candidates(service, model, adapter string) []Candidate {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	local := map[string]int{}
	for key, count := range d.running {
		local[key.upstream] += count
	}
	var candidates []Candidate
	for id, entry := range d.entries {
		if entry.Service != service || entry.Draining {
			continue
		}
		adapters, holds := d.holds(entry, model)
		if model != "" && (!holds || d.isAbsent(id, model, "", now)) {
			continue
		}
		candidate := Candidate{
			Upstream: entry, Load: local[id] + d.others[id],
			HasAdapter: adapter == "" || (slices.Contains(adapters, adapter) && !d.isAbsent(id, model, adapter, now)),
		}
		if h := d.health[id]; h != nil {
			candidate.InBackoff, candidate.FailureRate = now.Before(h.avoidUntil), h.failures
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// holds returns the adapters that an engine has for a model: as the
// coordinator knows it, else as the entry says, which lags behind orders.
func (d *Registry) holds(entry *catalog.Upstream, model string) ([]string, bool) {
	view, ok := d.engines[entry.ID]
	if ok && view.StartedMS == entry.StartedMS {
		adapters, holds := view.Ready[model]
		return adapters, holds
	}
	adapters, holds := entry.Holdings.Models[model]
	return adapters, holds
}
