package gateway

import (
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// estimateValidity is how long an estimate of the coordinator is used.
const estimateValidity = 700 * time.Millisecond

type modelCounts struct {
	arrivals int
	// adapterArrivals counts the arrivals that name an adapter.
	adapterArrivals int
	waitingSince    map[int64]time.Time // start of each wait, by its ID
}

type observedEstimate struct {
	readyAt    time.Time
	observedAt time.Time
}

// demandTracker counts the requests for each model and those that wait for a replica,
// and keeps the coordinator's estimates of when models become ready. It is safe for
// concurrent use.
type demandTracker struct {
	mu        sync.Mutex
	nextID    int64
	waiting   int
	models    map[coordinator.ModelKey]*modelCounts
	estimates map[coordinator.ModelKey]observedEstimate
}

func newDemandTracker() *demandTracker {
	return &demandTracker{
		models:    map[coordinator.ModelKey]*modelCounts{},
		estimates: map[coordinator.ModelKey]observedEstimate{},
	}
}

func (t *demandTracker) countsOf(key coordinator.ModelKey) *modelCounts {
	m := t.models[key]
	if m == nil {
		m = &modelCounts{waitingSince: map[int64]time.Time{}}
		t.models[key] = m
	}
	return m
}

// recordArrival counts a request for a model; adapter is "" for the model itself.
func (t *demandTracker) recordArrival(key coordinator.ModelKey, adapter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.countsOf(key)
	m.arrivals++
	if adapter != "" {
		m.adapterArrivals++
	}
}

// wait registers a waiting request until done is called.
func (t *demandTracker) wait(key coordinator.ModelKey, since time.Time) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	id := t.nextID
	t.countsOf(key).waitingSince[id] = since
	t.waiting++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.countsOf(key).waitingSince, id)
		t.waiting--
	}
}

// hasWaiting reports whether any request is waiting for a model.
func (t *demandTracker) hasWaiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.waiting > 0
}

// takeDemand returns the demand to report and resets the counts of arrivals.
func (t *demandTracker) takeDemand(now time.Time) []coordinator.ModelDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var demand []coordinator.ModelDemand
	for key, m := range t.models {
		if m.arrivals == 0 && len(m.waitingSince) == 0 {
			delete(t.models, key)
			continue
		}
		d := coordinator.ModelDemand{ModelKey: key, Arrivals: m.arrivals, AdapterArrivals: m.adapterArrivals, Waiting: len(m.waitingSince)}
		for _, since := range m.waitingSince {
			d.OldestMS = max(d.OldestMS, int(now.Sub(since).Milliseconds()))
		}
		m.arrivals, m.adapterArrivals = 0, 0
		demand = append(demand, d)
	}
	return demand
}

// observeEstimates stores the coordinator's estimates and drops expired ones.
func (t *demandTracker) observeEstimates(now time.Time, estimates []coordinator.Estimate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.estimates {
		if now.Sub(e.observedAt) > estimateValidity {
			delete(t.estimates, key)
		}
	}
	for _, e := range estimates {
		ready := now.Add(time.Duration(e.ReadyInMS) * time.Millisecond)
		t.estimates[e.ModelKey] = observedEstimate{readyAt: ready, observedAt: now}
	}
}

// estimate returns the time until a model is ready, if the coordinator has estimated
// it.
func (t *demandTracker) estimate(now time.Time, key coordinator.ModelKey) (readyIn time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.estimates[key]
	if !ok || now.Sub(e.observedAt) > estimateValidity {
		return 0, false
	}
	return e.readyAt.Sub(now), true
}
