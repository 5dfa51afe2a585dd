package gateway

import (
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// estimateValid is how long an estimate of the coordinator holds.
const estimateValid = 700 * time.Millisecond

type waitingModel struct {
	arrivals int
	// adapterArrivals are those of arrivals that name an adapter.
	adapterArrivals int
	since           map[int64]time.Time // start of each wait
}

type heardEstimate struct {
	readyAt time.Time
	at      time.Time
}

// waitingBook counts the requests for models and those that wait for a
// replica. It is safe for concurrent use.
type waitingBook struct {
	mu        sync.Mutex
	next      int64
	waiting   int
	models    map[coordinator.ModelKey]*waitingModel
	estimates map[coordinator.ModelKey]heardEstimate
}

func newWaitingBook() *waitingBook {
	return &waitingBook{
		models:    map[coordinator.ModelKey]*waitingModel{},
		estimates: map[coordinator.ModelKey]heardEstimate{},
	}
}

func (b *waitingBook) model(key coordinator.ModelKey) *waitingModel {
	m := b.models[key]
	if m == nil {
		m = &waitingModel{since: map[int64]time.Time{}}
		b.models[key] = m
	}
	return m
}

// arrived counts a request for a model, and for one of its adapters if it names one.
func (b *waitingBook) arrived(key coordinator.ModelKey, adapter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.model(key)
	m.arrivals++
	if adapter != "" {
		m.adapterArrivals++
	}
}

// wait registers a request that waits until the returned function is called.
func (b *waitingBook) wait(key coordinator.ModelKey, since time.Time) (done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	id := b.next
	b.model(key).since[id] = since
	b.waiting++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.model(key).since, id)
		b.waiting--
	}
}

// any reports whether requests wait.
func (b *waitingBook) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.waiting > 0
}

// demand returns what is to be reported and starts to count arrivals anew.
func (b *waitingBook) demand(now time.Time) []coordinator.ModelDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	var demand []coordinator.ModelDemand
	for key, m := range b.models {
		if m.arrivals == 0 && len(m.since) == 0 {
			delete(b.models, key)
			continue
		}
		d := coordinator.ModelDemand{ModelKey: key, Arrivals: m.arrivals, AdapterArrivals: m.adapterArrivals, Waiting: len(m.since)}
		for _, since := range m.since {
			d.OldestMS = max(d.OldestMS, int(now.Sub(since).Milliseconds()))
		}
		m.arrivals, m.adapterArrivals = 0, 0
		demand = append(demand, d)
	}
	return demand
}

// hear takes over the coordinator's estimates.
func (b *waitingBook) hear(now time.Time, estimates []coordinator.Estimate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, e := range b.estimates {
		if now.Sub(e.at) > estimateValid {
			delete(b.estimates, key)
		}
	}
	for _, e := range estimates {
		ready := now.Add(time.Duration(e.ReadyInMS) * time.Millisecond)
		b.estimates[e.ModelKey] = heardEstimate{readyAt: ready, at: now}
	}
}

// estimate returns when a model will be ready.
func (b *waitingBook) estimate(now time.Time, key coordinator.ModelKey) (readyIn time.Duration, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.estimates[key]
	if !ok || now.Sub(e.at) > estimateValid {
		return 0, false
	}
	return e.readyAt.Sub(now), true
}
