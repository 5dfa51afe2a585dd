package gateway

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/pace"
)

// Candidate is an upstream that can serve a request.
type Candidate struct {
	Upstream   *catalog.Upstream
	Load       int  // requests in progress there, over all hosts
	Own        int  // part of Load: requests of this host
	Tokens     int  // KV memory that the requests in progress may take, over all hosts
	HasAdapter bool // the requested adapter is loaded
	InBackoff  bool // its connection recently broke or could not be opened
	// Limited reports that the upstream has started or recovered and its window of concurrent
	// requests limits it. Room is what the window leaves to this host, negative if exceeded.
	Limited     bool
	Room        float32
	FailureRate float64
	// ColdFor is how long the upstream stays cold; 0: it is not. A candidate that is cold may
	// get a request now.
	ColdFor time.Duration
	Pace    float64 // its times relative to the usual ones of its service
	*Situation
}

// Situation is what all candidates of a choice have in common.
type Situation struct {
	Usual pace.Times // usual times of the service
	// OthersAge is the age of the counts of other hosts' requests.
	OthersAge time.Duration
}

// Candidates returns the upstreams of a service that have the model loaded; model is
// "" for plain services. Upstreams that are shutting down, and those that want no requests
// now, are left out. Upstreams of an evacuated data centre are returned only while they are
// in their last use and no other upstream has the model. Cold upstreams that may get no request now
// are left out, too.
func (r *Registry) Candidates(service, model, adapter string) []Candidate {
	return r.candidates(service, model, adapter, nil)
}

// candidates returns what Candidates does. A query, if there is one, learns of the upstreams
// that are left out, and nothing is recorded.
func (r *Registry) candidates(service, model, adapter string, query *routeQuery) []Candidate {
	now, sinceBoot, paused := time.Now(), r.now(), r.pauses()
	leaving, cold := r.evacuations.at(r.now), r.cold.states()
	r.mu.Lock()
	defer r.mu.Unlock()
	situation := &Situation{Usual: r.paces.Times(service), OthersAge: r.othersAge(sinceBoot)}
	candidates := make([]Candidate, 0, r.candidateCount)
	elsewhere := false // an upstream outside the evacuated data centres has the model
	for id, entry := range r.entries {
		adapters, ok := r.serves(entry, service, model, now)
		if !ok || leaving.closed(entry) {
			query.excludeUnserving(entry, service, ok)
			continue
		}
		elsewhere = elsewhere || !leaving.affects(entry)
		if paused.of(entry) > 0 {
			query.exclude(entry, "paused")
			continue
		}
		if cold[id].Blocked {
			if query == nil {
				r.cold.want(id)
			}
			query.exclude(entry, "cold")
			continue
		}
		candidate := Candidate{
			Upstream: entry, ColdFor: cold[id].ColdFor, Pace: r.paces.Factor(sinceBoot, paceIncarnation(entry)),
			Situation:  situation,
			HasAdapter: adapter == "" || (slices.Contains(adapters, adapter) && !r.isMissing(id, model, adapter, now)),
		}
		if load := r.loads[id]; load != nil {
			candidate.Own, candidate.Load = load.own.count, load.own.count+load.others.count
			candidate.Tokens = load.own.tokens + load.others.tokens
		}
		if h := r.health[id]; h != nil {
			candidate.InBackoff, candidate.FailureRate = now.Before(h.backoffUntil), h.failureRate
		}
		r.limitSlowStart(sinceBoot, &candidate)
		candidates = append(candidates, candidate)
	}
	if query == nil {
		r.candidateCount = len(candidates)
	}
	if elsewhere {
		query.excludeEvacuated(leaving, candidates)
		candidates = leaving.remove(candidates)
	}
	if r.arrange != nil {
		r.arrange(candidates)
	}
	return candidates
}

// serves reports whether an upstream is one of a service that has the model loaded and is
// not shutting down. It returns the model's loaded adapters.
func (r *Registry) serves(entry *catalog.Upstream, service, model string, now time.Time) (adapters []string, ok bool) {
	if entry.Service != service || entry.Draining {
		return nil, false
	}
	adapters, loaded := r.loadedAdapters(entry, model)
	return adapters, model == "" || (loaded && !r.isMissing(entry.ID, model, "", now))
}

// loadedAdapters returns the adapters that an engine has loaded for a model, and
// whether it has the model. The coordinator's view takes precedence over the engine's
// own table entry, which lags behind orders.
func (r *Registry) loadedAdapters(entry *catalog.Upstream, model string) ([]string, bool) {
	view, ok := r.engines[entry.ID]
	if ok && view.StartedMS == entry.StartedMS {
		adapters, loaded := view.Ready[model]
		return adapters, loaded
	}
	adapters, loaded := entry.Holdings.Models[model]
	return adapters, loaded
}
