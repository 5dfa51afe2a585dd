package gateway

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// runningLoad counts running requests and their prompt and maximum output tokens.
type runningLoad struct{ count, tokens int }

func (l *runningLoad) add(count, tokens int) {
	l.count += count
	l.tokens += tokens
}

// upstreamLoad is the load of an upstream by this host, exactly, and by the others, as the
// coordinator counted it.
type upstreamLoad struct{ own, others runningLoad }

// loadOf returns the load of an upstream, to be changed.
func (r *Registry) loadOf(id string) *upstreamLoad {
	load := r.loads[id]
	if load == nil {
		load = &upstreamLoad{}
		r.loads[id] = load
	}
	return load
}

// applyRunning applies the coordinator's counts of the requests of other hosts.
func (r *Registry) applyRunning(running []coordinator.RunningCount) {
	for id, load := range r.loads {
		load.others = runningLoad{}
		if load.own.count == 0 {
			delete(r.loads, id)
		}
	}
	for _, counted := range running {
		r.loadOf(counted.Upstream).others.add(counted.Count, counted.Tokens)
	}
	r.othersAt = r.now()
}

// RunningCounts returns the number of this host's requests at each upstream.
func (r *Registry) RunningCounts() []coordinator.RunningCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]coordinator.RunningCount, 0, len(r.running))
	for key, load := range r.running {
		counts = append(counts, coordinator.RunningCount{
			Upstream: key.upstream, Model: key.model, Adapter: key.adapter, Count: load.count, Tokens: load.tokens,
		})
	}
	return counts
}

// TrackRequest counts a request at an upstream until release is called. tokens are its prompt
// and maximum output tokens.
func (r *Registry) TrackRequest(id, model, adapter string, tokens int) (release func()) {
	key := requestKey{id, model, adapter}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addRunning(key, 1, tokens)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.addRunning(key, -1, -tokens)
	}
}

func (r *Registry) addRunning(key requestKey, count, tokens int) {
	running := r.running[key]
	running.add(count, tokens)
	r.running[key] = running
	if running.count == 0 {
		delete(r.running, key)
	}
	load := r.loadOf(key.upstream)
	load.own.add(count, tokens)
	if *load == (upstreamLoad{}) {
		delete(r.loads, key.upstream)
	}
}

// othersAge returns the age of the counts of other hosts' requests: the time since the
// exchange, and that from the reports of these hosts to it. It is 0 if there were none.
func (r *Registry) othersAge(now time.Duration) time.Duration {
	if r.othersAt == 0 {
		return 0
	}
	return max(0, now-r.othersAt) + exchangeInterval
}
