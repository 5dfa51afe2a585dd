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
	// serviceTimeWeight is the weight of one completed request in the moving
	// average; about the last ten count.
	serviceTimeWeight = 0.1
	// reportWeight is the weight of one report in the moving average of the load
	// by other hosts. With 0.2 and reports every 500 ms that lag by 300 ms, the
	// eight hosts of tests/routing all switched from one engine to the next at
	// the same time at 87% load, because they reacted to the same old reports.
	reportWeight = 0.1
	// DefaultIndexBlocks is the size of the prefix index of one upstream; 16,384
	// blocks represent 1 MiB of prompts and take about 1 MB.
	DefaultIndexBlocks = 16384
)

// Tracker holds this host's view of the load and caches of its upstreams. It is
// safe for concurrent use; each upstream has its own lock.
type Tracker struct {
	indexBlocks int
	ownIDPrefix string
	metrics     *trackerMetrics

	mu        sync.RWMutex
	upstreams map[string]*upstream
}

// NewTracker returns an empty Tracker whose prefix index holds at most
// indexBlocks blocks per upstream. The IDs of this host's requests start with
// ownIDPrefix: a lagging report may list finished requests of this host, and they
// must not count as load of other hosts. An empty ownIDPrefix disables this check.
func NewTracker(indexBlocks int, ownIDPrefix string, registerer prometheus.Registerer) *Tracker {
	return &Tracker{
		indexBlocks: indexBlocks,
		ownIDPrefix: ownIDPrefix,
		metrics:     newTrackerMetrics(registerer),
		upstreams:   map[string]*upstream{},
	}
}

type inFlightRequest struct {
	started          time.Time
	oversubscription float64 // at the start
	prefixes         []uint64
}

type upstream struct {
	mu           sync.Mutex
	inFlight     map[string]inFlightRequest // by request ID
	serviceTime  time.Duration              // 0: unknown
	otherLoad    float64                    // moving average of the load by other hosts
	hasReport    bool                       // otherLoad is based on a report
	slots        int
	prefixes     prefixIndex
	lastEventSeq uint64 // sequence number of the last cache event
	bootID       string
}

// upstream returns the state of an upstream and creates it if needed.
func (t *Tracker) upstream(address string) *upstream {
	if u := t.lookup(address); u != nil {
		return u
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.upstreams[address]; ok {
		return u
	}
	u := &upstream{inFlight: map[string]inFlightRequest{}, prefixes: newPrefixIndex(t.indexBlocks)}
	t.upstreams[address] = u
	return u
}

func (t *Tracker) lookup(address string) *upstream {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.upstreams[address]
}

// RecordStart records that a request was sent to an upstream. Its prefixes are
// expected in the engine's cache from then on.
func (t *Tracker) RecordStart(address, id string, prefixes []uint64, now time.Time) {
	u := t.upstream(address)
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(prefixes) > 0 {
		t.metrics.observePrefix(u.prefixes.matchLength(prefixes), len(prefixes))
	}
	u.inFlight[id] = inFlightRequest{started: now, oversubscription: u.oversubscription(), prefixes: prefixes}
	u.prefixes.touchChain(prefixes)
}

// RecordFinish records the end of a request. Only completed requests contribute to
// the service time.
func (t *Tracker) RecordFinish(address, id string, completed bool, now time.Time) {
	u := t.lookup(address)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	request, ok := u.inFlight[id]
	if !ok {
		return
	}
	delete(u.inFlight, id)
	if completed {
		u.observeServiceTime(time.Duration(float64(now.Sub(request.started)) / request.oversubscription))
	}
}

// oversubscription returns the number of requests per slot, at least 1. Service
// times are divided by it, so that load does not count twice when upstreams are
// compared.
func (u *upstream) oversubscription() float64 {
	if u.slots <= 0 {
		return 1
	}
	load := float64(len(u.inFlight)+1) + u.otherLoad
	return max(1, load/float64(u.slots))
}

func (u *upstream) observeServiceTime(d time.Duration) {
	if u.serviceTime == 0 {
		u.serviceTime = d
		return
	}
	u.serviceTime += time.Duration(serviceTimeWeight * float64(d-u.serviceTime))
}

// ObserveReport applies an engine's load report. The report describes the engine
// at time at of this host's clock, which is not later than the fetch. This host's
// own requests in the report do not count as load of other hosts.
func (t *Tracker) ObserveReport(address string, report *engine.Report, at time.Time) {
	u := t.upstream(address)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observeBootID(report.BootID)
	u.slots = report.MaxBatch
	others, ownRunning := 0, 0
	for i := range report.Running {
		id := report.Running[i].RequestID
		if _, own := u.inFlight[id]; own {
			ownRunning++
		} else if !t.isOwn(id) {
			others++
		}
	}
	ownQueued := u.startedBefore(at) - ownRunning
	u.observeOtherLoad(others + max(0, report.QueueDepth-max(0, ownQueued)))
}

func (u *upstream) observeOtherLoad(load int) {
	if !u.hasReport {
		u.otherLoad, u.hasReport = float64(load), true
		return
	}
	u.otherLoad += reportWeight * (float64(load) - u.otherLoad)
}

// isOwn reports whether an ID has the prefix of this host's request IDs.
func (t *Tracker) isOwn(id string) bool {
	return t.ownIDPrefix != "" && strings.HasPrefix(id, t.ownIDPrefix)
}

// startedBefore returns how many of this host's requests were at the engine when
// the report was made.
func (u *upstream) startedBefore(at time.Time) int {
	count := 0
	for _, request := range u.inFlight {
		if !request.started.After(at) {
			count++
		}
	}
	return count
}

// observeBootID clears the prefix index if the engine has restarted.
func (u *upstream) observeBootID(bootID string) {
	if u.bootID != "" && u.bootID != bootID {
		u.prefixes.clear()
		u.lastEventSeq = 0
	}
	u.bootID = bootID
}

// LastEventSeq returns the sequence number of the last cache event observed; later
// events are still to be fetched.
func (t *Tracker) LastEventSeq(address string) uint64 {
	u := t.lookup(address)
	if u == nil {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastEventSeq
}

// ObserveEvents applies a page of cache events, in the order of their sequence
// numbers, to the prefix index.
func (t *Tracker) ObserveEvents(address string, events []engine.CacheEvent) {
	u := t.upstream(address)
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range events {
		t.observeEvent(u, &events[i])
	}
}

func (t *Tracker) observeEvent(u *upstream, event *engine.CacheEvent) {
	if event.Seq <= u.lastEventSeq {
		return
	}
	if event.Seq != u.lastEventSeq+1 && u.lastEventSeq != 0 {
		t.metrics.gaps.Inc()
		u.evictAfterGap(event.Seq - u.lastEventSeq - 1)
	}
	u.lastEventSeq = event.Seq
	switch event.Kind {
	case engine.CacheStored:
		u.prefixes.touch(event.PrefixHash)
	case engine.CacheRemoved:
		u.prefixes.remove(event.PrefixHash)
	case engine.CacheReset:
		u.prefixes.clear()
	}
}

// evictAfterGap evicts as many hashes as events are missing, because each of them
// may have reported a removal. Engines evict the least recently used blocks; the
// blocks of requests in flight are in use.
func (u *upstream) evictAfterGap(missing uint64) {
	for _, request := range u.inFlight {
		u.prefixes.touchChain(request.prefixes)
	}
	u.prefixes.evictOldest(int(min(missing, uint64(u.prefixes.len()))))
}

// FillCandidate sets the fields of a candidate that the Tracker knows.
func (t *Tracker) FillCandidate(c *Candidate, prefixes []uint64) {
	u := t.lookup(c.Address)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	c.InFlight = len(u.inFlight)
	c.OtherLoad = int(math.Round(u.otherLoad))
	c.ServiceTime = u.serviceTime
	c.PrefixBlocks = u.prefixes.matchLength(prefixes)
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
	return len(u.inFlight)
}

// RemoveUpstream removes an upstream that no longer exists. It has no effect while
// requests are in flight there.
func (t *Tracker) RemoveUpstream(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.upstreams[address]
	if !ok {
		return
	}
	u.mu.Lock()
	idle := len(u.inFlight) == 0
	u.mu.Unlock()
	if idle {
		delete(t.upstreams, address)
	}
}

// Dump is the state of one upstream as shown to operators.
type Dump struct {
	Address       string  `json:"address"`
	InFlight      int     `json:"in_flight"`
	OtherLoad     int     `json:"other_load"`
	Slots         int     `json:"slots"`
	ServiceTimeMS float64 `json:"service_time_ms"`
	PrefixBlocks  int     `json:"prefix_blocks"`
	LastEvent     uint64  `json:"last_event"`
}

// Dump returns the state of all upstreams, sorted by address.
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
		InFlight:      len(u.inFlight),
		OtherLoad:     int(math.Round(u.otherLoad)),
		Slots:         u.slots,
		ServiceTimeMS: float64(u.serviceTime) / float64(time.Millisecond),
		PrefixBlocks:  u.prefixes.len(),
		LastEvent:     u.lastEventSeq,
	}
}
