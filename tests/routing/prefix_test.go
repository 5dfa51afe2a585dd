package routing

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	engines          = 4
	slots            = 8
	cacheBlocks      = 1500 // of one engine; all conversations together need more
	systemPrompts    = 12
	systemBlocks     = 30
	conversations    = 120
	turnBlocks       = 4
	maxTurns         = 10
	arrivals         = 10000
	seed             = 1
	baseServiceTime  = 60 * time.Millisecond
	blockServiceTime = time.Millisecond // prefill of a block that is not cached
)

// cachedEngine is an engine with an LRU prompt cache.
type cachedEngine struct {
	blocks  map[uint64]*list.Element
	lru     *list.List
	events  []engine.CacheEvent
	running map[string]bool
}

func newCachedEngine() *cachedEngine {
	return &cachedEngine{blocks: map[uint64]*list.Element{}, lru: list.New(), running: map[string]bool{}}
}

func (e *cachedEngine) publish(kind string, hash uint64) {
	e.events = append(e.events, engine.CacheEvent{Seq: uint64(len(e.events) + 1), Kind: kind, PrefixHash: hash})
}

// run uses the cache for a prompt and returns the number of leading blocks hit.
func (e *cachedEngine) run(chain []uint64) int {
	hits := 0
	for hits < len(chain) && e.blocks[chain[hits]] != nil {
		hits++
	}
	for _, hash := range chain[hits:] {
		if e.blocks[hash] == nil {
			e.blocks[hash] = e.lru.PushFront(hash)
			e.publish(engine.CacheStored, hash)
		}
	}
	// The first block is used last: later blocks are useless without it.
	for i := len(chain) - 1; i >= 0; i-- {
		e.lru.MoveToFront(e.blocks[chain[i]])
	}
	for len(e.blocks) > cacheBlocks {
		oldest := e.lru.Back()
		hash := e.lru.Remove(oldest).(uint64)
		delete(e.blocks, hash)
		e.publish(engine.CacheRemoved, hash)
	}
	return hits
}

func (e *cachedEngine) report() *engine.Report {
	report := &engine.Report{BootID: "b", MaxBatch: slots}
	for id := range e.running {
		report.Running = append(report.Running, engine.Running{RequestID: id})
	}
	return report
}

// runningRequest is a request in flight at an engine.
type runningRequest struct {
	endsAt       time.Time
	host, engine int
	id           string
}

// visibility describes how fresh and complete the hosts' information is.
type visibility struct {
	hosts    int
	interval time.Duration // between polls of an engine
	lag      time.Duration // of reports and cache events
	gapRatio float64       // share of polls that miss some events
}

// poll is the result of a poll, which a host receives after the lag.
type poll struct {
	at        time.Time
	report    *engine.Report
	events    int // published at the time of the poll
	delivered bool
}

// simulation routes requests of conversations from several hosts.
type simulation struct {
	visibility
	meanInterarrival time.Duration
	params           routing.Params
	random           *rand.Rand
	now              time.Time
	trackers         []*routing.Tracker
	engines          []*cachedEngine
	polls            map[[2]int]poll // by host and engine
	deliveredEvents  map[[2]int]int  // count, by host and engine
	inFlight         []runningRequest
	hitBlocks        int
	totalServiceTime time.Duration
	totalBlocks      int
}

func newSimulation(v visibility, meanInterarrival time.Duration, params routing.Params, seed uint64) *simulation {
	s := &simulation{
		visibility:       v,
		meanInterarrival: meanInterarrival,
		params:           params,
		random:           rand.New(rand.NewPCG(seed, 0)),
		now:              time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		polls:            map[[2]int]poll{},
		deliveredEvents:  map[[2]int]int{},
	}
	for host := range v.hosts {
		tracker := routing.NewTracker(routing.DefaultIndexBlocks, fmt.Sprintf("h%d-", host), prometheus.NewRegistry())
		s.trackers = append(s.trackers, tracker)
	}
	for range engines {
		s.engines = append(s.engines, newCachedEngine())
	}
	return s
}

func address(e int) string { return fmt.Sprint("engine", e) }

// prompt returns the hash chain of a random turn of a random conversation.
// Conversations share system prompts; a few conversations are much busier than the
// others.
func (s *simulation) prompt() []uint64 {
	conversation := int(float64(conversations) * s.random.Float64() * s.random.Float64())
	turns := 1 + s.random.IntN(maxTurns)
	chain := make([]uint64, 0, systemBlocks+turns*turnBlocks)
	for block := range systemBlocks {
		chain = append(chain, uint64(conversation%systemPrompts)<<32|uint64(block))
	}
	for block := range turns * turnBlocks {
		chain = append(chain, 1<<62|uint64(conversation)<<32|uint64(block))
	}
	return chain
}

// pollEngines delivers reports and events whose lag has passed, and polls again.
func (s *simulation) pollEngines() {
	for host := range s.trackers {
		for e := range s.engines {
			s.pollEngine([2]int{host, e})
		}
	}
}

func (s *simulation) pollEngine(key [2]int) {
	pending, polled := s.polls[key]
	if polled && !pending.delivered && s.now.Sub(pending.at) >= s.lag {
		s.deliver(key, pending)
		pending.delivered = true
		s.polls[key] = pending
	}
	if !polled || (pending.delivered && s.now.Sub(pending.at) >= s.interval) {
		target := s.engines[key[1]]
		s.polls[key] = poll{at: s.now, report: target.report(), events: len(target.events)}
	}
}

func (s *simulation) deliver(key [2]int, p poll) {
	tracker, name := s.trackers[key[0]], address(key[1])
	tracker.ObserveReport(name, p.report, p.at)
	events := s.engines[key[1]].events[s.deliveredEvents[key]:p.events]
	if len(events) > 1 && s.random.Float64() < s.gapRatio {
		events = events[len(events)/2:]
	}
	tracker.ObserveEvents(name, events)
	s.deliveredEvents[key] = p.events
}

func (s *simulation) finishDue() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r runningRequest) bool {
		if r.endsAt.After(s.now) {
			return false
		}
		delete(s.engines[r.engine].running, r.id)
		s.trackers[r.host].RecordFinish(address(r.engine), r.id, true, r.endsAt)
		return true
	})
}

func (s *simulation) arrive(i int) {
	host := s.random.IntN(s.hosts)
	chain := s.prompt()
	candidates := make([]routing.Candidate, engines)
	for e := range candidates {
		candidates[e] = routing.Candidate{Address: address(e), DataCenter: "dc"}
		s.trackers[host].FillCandidate(&candidates[e], chain)
	}
	chosen, _ := s.params.Choose(routing.Request{DataCenter: "dc", PrefixHashes: chain}, candidates, s.random)
	id := fmt.Sprintf("h%d-%d", host, i)
	s.trackers[host].RecordStart(address(chosen), id, chain, s.now)
	target := s.engines[chosen]
	hits := target.run(chain)
	target.running[id] = true
	s.hitBlocks += hits
	s.totalBlocks += len(chain)
	oversubscription := max(1, float64(len(target.running))/slots)
	serviceTime := time.Duration(oversubscription * float64(baseServiceTime+time.Duration(len(chain)-hits)*blockServiceTime))
	s.totalServiceTime += serviceTime
	s.inFlight = append(s.inFlight, runningRequest{endsAt: s.now.Add(serviceTime), host: host, engine: chosen, id: id})
}

// result holds the measurements of a simulation.
type result struct {
	hitRatio        float64
	meanServiceTime time.Duration
}

func (s *simulation) run() result {
	for i := range arrivals {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(s.meanInterarrival)))
		s.finishDue()
		s.pollEngines()
		s.arrive(i)
	}
	return result{float64(s.hitBlocks) / float64(s.totalBlocks), s.totalServiceTime / arrivals}
}

// Guards against hosts that spread prefixes over engines because each host sees
// only its own requests, and cache events arrive late and with gaps; and against
// hosts that all switch engines at the same time because they react to the same
// old reports. The design requires a hit ratio within 5% of a single-host router
// with complete information.
func TestPrefixHitsNearSingleHostRouter(t *testing.T) {
	fleet := visibility{hosts: 8, interval: 500 * time.Millisecond, lag: 300 * time.Millisecond, gapRatio: 0.05}
	random := routing.DefaultParams
	random.Policy = routing.Random
	// A request with all blocks cached takes a slot for 60 ms; the engines have
	// 32 slots, so about 40%, 65% and 87% of them are busy.
	for _, meanInterarrival := range []time.Duration{4800 * time.Microsecond, 2900 * time.Microsecond, 2200 * time.Microsecond} {
		single := newSimulation(visibility{hosts: 1}, meanInterarrival, routing.DefaultParams, seed).run()
		many := newSimulation(fleet, meanInterarrival, routing.DefaultParams, seed).run()
		baseline := newSimulation(fleet, meanInterarrival, random, seed).run()
		t.Logf("arrivals every %v: single host %+v, 8 hosts %+v, random %+v", meanInterarrival, single, many, baseline)
		if many.hitRatio < 0.95*single.hitRatio {
			t.Errorf("hit ratio %.3f, single host %.3f", many.hitRatio, single.hitRatio)
		}
		if baseline.hitRatio >= 0.95*single.hitRatio {
			t.Error("the workload does not reward affinity")
		}
		if many.meanServiceTime > baseline.meanServiceTime {
			t.Errorf("mean service time %v, random choice %v", many.meanServiceTime, baseline.meanServiceTime)
		}
	}
}
