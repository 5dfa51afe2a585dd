package host

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	// probeLead is how long before the expected end of a load the engine becomes
	// a candidate for probe requests. The report of the end arrives up to one
	// reporting interval late, while a refused request costs about 1 ms.
	probeLead = 50 * time.Millisecond
	// confirmationTTL is how long a request that ran at an engine replaces the
	// engine's report that the weights are loaded.
	confirmationTTL = time.Second
	// announcementTTL is how long an announcement stays valid after the expected
	// end of its load.
	announcementTTL = 5 * time.Second
)

// placement identifies a model, or a model with an adapter, at an engine.
type placement struct {
	weights loading.Weights
	address string
}

// loadHints tracks loads that the engines' reports do not show yet: loads in
// progress announced by the placement owner, and loads confirmed by a request that
// ran. It is safe for concurrent use.
type loadHints struct {
	mu        sync.Mutex
	announced map[loading.Weights]map[string]announcement // by address
	confirmed map[placement]time.Time                     // time of the last confirmation
}

// announcement describes a load in progress that another host decided.
type announcement struct {
	dataCenter string
	version    string
	readyAt    time.Time
	expires    time.Time
}

func newLoadHints() *loadHints {
	return &loadHints{
		announced: map[loading.Weights]map[string]announcement{},
		confirmed: map[placement]time.Time{},
	}
}

// announce records a load in progress.
func (l *loadHints) announce(weights loading.Weights, address string, a announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.announced[weights] == nil {
		l.announced[weights] = map[string]announcement{}
	}
	l.announced[weights][address] = a
}

// weights returns the weights with announcements, including expired ones.
func (l *loadHints) weights() []loading.Weights {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.announced))
}

// announcements returns the unexpired announcements for weights, by engine
// address.
func (l *loadHints) announcements(weights loading.Weights, now time.Time) map[string]announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := make(map[string]announcement, len(l.announced[weights]))
	for address, a := range l.announced[weights] {
		if now.Before(a.expires) {
			current[address] = a
		}
	}
	if len(current) == 0 {
		delete(l.announced, weights)
	}
	return current
}

// confirm records that an engine ran a request with the weights. It returns false
// if an unexpired confirmation existed already.
func (l *loadHints) confirm(p placement, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := now.Sub(l.confirmed[p]) < confirmationTTL
	l.confirmed[p] = now
	return !known
}

// clearConfirmation removes the confirmation after the engine refused a request
// because the weights were not loaded.
func (l *loadHints) clearConfirmation(p placement) {
	l.mu.Lock()
	delete(l.confirmed, p)
	l.mu.Unlock()
}

// isConfirmed reports whether a recent request confirmed that the weights are
// loaded.
func (l *loadHints) isConfirmed(p placement, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.confirmed[p]
	if ok && now.Sub(at) >= confirmationTTL {
		delete(l.confirmed, p)
		return false
	}
	return ok
}

// unreportedCandidates returns the engines whose reports still show a load in
// progress: confirmed ones, where a request has run with the weights, and probes,
// whose load is due to end within probeLead.
func (r *replicas) unreportedCandidates(weights loading.Weights, version string, now time.Time) (confirmed, probes []routing.Candidate) {
	loads := r.host.hints.announcements(weights, now)
	for _, replica := range r.loading.Replicas(weights.Model, weights.Adapter) {
		if replica.State == loading.StateLoading {
			loads[replica.Address] = announcement{dataCenter: replica.DataCenter, version: replica.Version, readyAt: replica.ReadyAt}
		}
	}
	for address, load := range loads {
		if load.version != version {
			continue
		}
		candidate := r.candidate(address, load.dataCenter)
		switch {
		case candidate.Leaving || candidate.Suspect:
		case r.host.hints.isConfirmed(placement{weights, address}, now):
			confirmed = append(confirmed, candidate)
		case now.After(load.readyAt.Add(-probeLead)):
			probes = append(probes, candidate)
		}
	}
	return confirmed, probes
}
