package routing

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

const (
	// serviceTimeSmoothing is the weight of one answer in the moving average;
	// about the last ten answers count.
	serviceTimeSmoothing = 0.1
	// reportSmoothing is the weight of one report in the moving average of the
	// load of others. With 0.2 and reports every 500 ms that lag by 300 ms,
	// eight hosts in tests/routing moved together from one engine to the next
	// at 87% load, because all of them reacted to the same old reports.
	reportSmoothing = 0.1
	// DefaultIndexBlocks bounds the prefix index of one upstream; 16,384
	// blocks stand for 1 MiB of prompts and take about 1 MB.
	DefaultIndexBlocks = 16384
)

// Tracker holds what this host knows about its upstreams. It is safe for
// concurrent use; each upstream has its own lock.
type Tracker struct {
	indexBlocks int
	ownIDs      string
	metrics     *trackerMetrics

	mu        sync.RWMutex
	upstreams map[string]*upstream
}

// NewTracker returns an empty Tracker whose prefix index holds at most
// indexBlocks blocks per upstream. The IDs of this host's requests start with
// ownIDs; a lagging report may list requests that have finished, and they are
// not load of others. An empty ownIDs means that IDs have no such prefix.
func NewTracker(indexBlocks int, ownIDs string, registerer prometheus.Registerer) *Tracker {
	return &Tracker{
		indexBlocks: indexBlocks,
		ownIDs:      ownIDs,
		metrics:     newTrackerMetrics(registerer),
		upstreams:   map[string]*upstream{},
	}
}

type inFlight struct {
	started  time.Time
	crowding float64 // at the start
	prefixes []uint64
}

type upstream struct {
	mu          sync.Mutex
	running     map[string]inFlight // by request ID
	serviceTime time.Duration       // 0: unknown
	otherLoad   float64             // moving average
	reported    bool                // otherLoad comes from a report
	slots       int
	prefixes    prefixIndex
	lastEvent   uint64 // sequence number
	bootID      string
}

// upstream returns the record of an address, creating it when needed.
func (t *Tracker) upstream(address string) *upstream {
	if u := t.lookup(address); u != nil {
		return u
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.upstreams[address]; ok {
		return u
	}
	u := &upstream{running: map[string]inFlight{}, prefixes: newPrefixIndex(t.indexBlocks)}
	t.upstreams[address] = u
	return u
}

func (t *Tracker) lookup(address string) *upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.upstreams[address]
}

// RecordStart records that a request was sent to an upstream. Its prefixes are
// expected in the engine's cache from now on.
func (t *Tracker) RecordStart(address, id string, prefixes []uint64, now time.Time) {
	u := t.upstream(address)
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(prefixes) > 0 {
		t.metrics.observePrefix(u.prefixes.leading(prefixes), len(prefixes))
	}
	u.running[id] = inFlight{started: now, crowding: u.crowding(), prefixes: prefixes}
	u.prefixes.addChain(prefixes)
}

// RecordFinish records the end of a request. Only completed requests count for the
// service time.
func (t *Tracker) RecordFinish(address, id string, completed bool, now time.Time) {
	u := t.lookup(address)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	request, ok := u.running[id]
	if !ok {
		return
	}
	delete(u.running, id)
	if completed {
		u.observeServiceTime(time.Duration(float64(now.Sub(request.started)) / request.crowding))
	}
}

// crowding is how many requests share a slot, at least 1. Service times are
// divided by it, so that load does not count twice when upstreams are compared.
func (u *upstream) crowding() float64 {
	if u.slots <= 0 {
		return 1
	}
	load := float64(len(u.running)+1) + u.otherLoad
	return max(1, load/float64(u.slots))
}

func (u *upstream) observeServiceTime(d time.Duration) {
	if u.serviceTime == 0 {
		u.serviceTime = d
		return
	}
	u.serviceTime += time.Duration(serviceTimeSmoothing * float64(d-u.serviceTime))
}

// ObserveReport takes over an engine's load report that describes the engine at
// a time of this host's clock, not later than the fetch. What the report lists
// of this host's own requests is not load of others.
func (t *Tracker) ObserveReport(address string, report *engine.Report, at time.Time) {
	u := t.upstream(address)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observeBoot(report.BootID)
	u.slots = report.MaxBatch
	others, ownRunning := 0, 0
	for i := range report.Running {
		id := report.Running[i].RequestID
		if _, own := u.running[id]; own {
			ownRunning++
		} else if !t.isOwn(id) {
			others++
		}
	}
	ownQueued := u.startedBefore(at) - ownRunning
	u.observeOthers(others + max(0, report.QueueDepth-max(0, ownQueued)))
}

func (u *upstream) observeOthers(load int) {
	if !u.reported {
		u.otherLoad, u.reported = float64(load), true
		return
	}
	u.otherLoad += reportSmoothing * (float64(load) - u.otherLoad)
}

// isOwn reports whether an ID is one of this host's, by its form.
func (t *Tracker) isOwn(id string) bool {
	return t.ownIDs != "" && strings.HasPrefix(id, t.ownIDs)
}

// startedBefore counts requests of this host that were at the engine when the
// report was made.
func (u *upstream) startedBefore(at time.Time) int {
	count := 0
	for _, request := range u.running {
		if !request.started.After(at) {
			count++
		}
	}
	return count
}

// observeBoot empties the prefix index when the engine has restarted.
func (u *upstream) observeBoot(bootID string) {
	if u.bootID != "" && u.bootID != bootID {
		u.prefixes.clear()
		u.lastEvent = 0
	}
	u.bootID = bootID
}

// LastEventSeq returns the sequence number after which cache events of an
// upstream are wanted.
func (t *Tracker) LastEventSeq(address string) uint64 {
	u := t.lookup(address)
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastEvent
}

// ObserveEvents corrects the prefix index by a page of cache events, in the
// order of their sequence numbers.
func (t *Tracker) ObserveEvents(address string, events []engine.CacheEvent) {
	u := t.upstream(address)
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range events {
		t.observeEvent(u, &events[i])
	}
}

func (t *Tracker) observeEvent(u *upstream, event *engine.CacheEvent) {
	if event.Seq <= u.lastEvent {
		return
	}
	if event.Seq != u.lastEvent+1 && u.lastEvent != 0 {
		t.metrics.gaps.Inc()
		u.forgetAfterGap(event.Seq - u.lastEvent - 1)
	}
	u.lastEvent = event.Seq
	switch event.Kind {
	case engine.CacheStored:
		u.prefixes.add(event.PrefixHash)
	case engine.CacheRemoved:
		u.prefixes.remove(event.PrefixHash)
	case engine.CacheReset:
		u.prefixes.clear()
	}
}

// forgetAfterGap forgets as many hashes as events are missing, because each of
// them may have announced a removal. Engines remove what was not used for the
// longest time; the blocks of running requests are in use.
func (u *upstream) forgetAfterGap(missing uint64) {
	for _, request := range u.running {
		u.prefixes.addChain(request.prefixes)
	}
	u.prefixes.removeOldest(int(min(missing, uint64(u.prefixes.len()))))
}

// FillCandidate sets the fields of a candidate that the Tracker knows.
func (t *Tracker) FillCandidate(c *Candidate, prefixes []uint64) {
	u := t.lookup(c.Address)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c.InFlight = len(u.running)
	c.OtherLoad = int(math.Round(u.otherLoad))
	c.ServiceTime = u.serviceTime
	c.PrefixBlocks = u.prefixes.leading(prefixes)
	if u.slots > 0 {
		c.Slots = u.slots
	}
}

// InFlight returns the number of this host's requests at an upstream.
func (t *Tracker) InFlight(address string) int {
	u := t.lookup(address)
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.running)
}

// RemoveUpstream drops an upstream that has gone. It has no effect while requests run
// there.
func (t *Tracker) RemoveUpstream(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.upstreams[address]
	if !ok {
		return
	}
	u.mu.Lock()
	idle := len(u.running) == 0
	u.mu.Unlock()
	if idle {
		delete(t.upstreams, address)
	}
}

// Dump is the state of one upstream for operators.
type Dump struct {
	Address       string  `json:"address"`
	InFlight      int     `json:"in_flight"`
	OtherLoad     int     `json:"other_load"`
	Slots         int     `json:"slots"`
	ServiceTimeMS float64 `json:"service_time_ms"`
	PrefixBlocks  int     `json:"prefix_blocks"`
	LastEvent     uint64  `json:"last_event"`
}

// Dump returns the state of all upstreams, by address.
func (t *Tracker) Dump() []Dump {
	t.mu.RLock()
	defer t.mu.RUnlock()
	dumps := make([]Dump, 0, len(t.upstreams))
	for address, u := range t.upstreams {
		dumps = append(dumps, u.dump(address))
	}
	slices.SortFunc(dumps, func(a, b Dump) int { return strings.Compare(a.Address, b.Address) })
	return dumps
}

func (u *upstream) dump(address string) Dump {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Dump{
		Address:       address,
		InFlight:      len(u.running),
		OtherLoad:     int(math.Round(u.otherLoad)),
		Slots:         u.slots,
		ServiceTimeMS: float64(u.serviceTime) / float64(time.Millisecond),
		PrefixBlocks:  u.prefixes.len(),
		LastEvent:     u.lastEvent,
	}
}
