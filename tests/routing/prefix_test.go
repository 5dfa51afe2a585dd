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
	engines       = 4
	slots         = 8
	cacheBlocks   = 1500 // of one engine; all conversations together need more
	systemPrompts = 12
	systemBlocks  = 30
	conversations = 120
	turnBlocks    = 4
	maxTurns      = 10
	arrivals      = 10000
	seed          = 1
	baseService   = 60 * time.Millisecond
	blockService  = time.Millisecond // prefill of a block that is not cached
)

// cachedEngine is an engine with a prompt cache that drops the least recently
// used blocks.
type cachedEngine struct {
	blocks  map[uint64]*list.Element
	recent  *list.List
	events  []engine.CacheEvent
	running map[string]bool
}

func newCachedEngine() *cachedEngine {
	return &cachedEngine{blocks: map[uint64]*list.Element{}, recent: list.New(), running: map[string]bool{}}
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
			e.blocks[hash] = e.recent.PushFront(hash)
			e.publish(engine.CacheStored, hash)
		}
	}
	// The first block is used last: later blocks are useless without it.
	for i := len(chain) - 1; i >= 0; i-- {
		e.recent.MoveToFront(e.blocks[chain[i]])
	}
	for len(e.blocks) > cacheBlocks {
		oldest := e.recent.Back()
		hash := e.recent.Remove(oldest).(uint64)
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

// ending is a running request.
type ending struct {
	at           time.Time
	host, engine int
	id           string
}

// knowledge is how well hosts are informed.
type knowledge struct {
	hosts    int
	interval time.Duration // between polls of an engine
	lag      time.Duration // of reports and cache events
	gapRatio float64       // share of polls that miss some events
}

// poll is what a host will learn after the lag.
type poll struct {
	at        time.Time
	report    *engine.Report
	events    int // published at the time of the poll
	delivered bool
}

// simulation routes requests of conversations from several hosts.
type simulation struct {
	knowledge
	arrivalTime time.Duration // mean
	params      routing.Params
	random      *rand.Rand
	now         time.Time
	trackers    []*routing.Tracker
	engines     []*cachedEngine
	polls       map[[2]int]poll // by host and engine
	seen        map[[2]int]int  // events delivered
	ends        []ending
	hits        int
	service     time.Duration // sum of all service times
	total       int
}

func newSimulation(k knowledge, arrivalTime time.Duration, params routing.Params, seed uint64) *simulation {
	s := &simulation{
		knowledge:   k,
		arrivalTime: arrivalTime,
		params:      params,
		random:      rand.New(rand.NewPCG(seed, 0)),
		now:         time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		polls:       map[[2]int]poll{},
		seen:        map[[2]int]int{},
	}
	for host := range k.hosts {
		tracker := routing.NewTracker(routing.DefaultIndexBlocks, fmt.Sprintf("h%d-", host), prometheus.NewRegistry())
		s.trackers = append(s.trackers, tracker)
	}
	for range engines {
		s.engines = append(s.engines, newCachedEngine())
	}
	return s
}

func address(e int) string { return fmt.Sprint("engine", e) }

// prompt returns the chain of a conversation's next turn. Conversations share
// system prompts; a few conversations are much busier than the others.
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

// learn delivers reports and events whose lag has passed, and polls again.
func (s *simulation) learn() {
	for host := range s.trackers {
		for e := range s.engines {
			s.learnOne([2]int{host, e})
		}
	}
}

func (s *simulation) learnOne(key [2]int) {
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
	events := s.engines[key[1]].events[s.seen[key]:p.events]
	if len(events) > 1 && s.random.Float64() < s.gapRatio {
		events = events[len(events)/2:]
	}
	tracker.ObserveEvents(name, events)
	s.seen[key] = p.events
}

func (s *simulation) finishDue() {
	s.ends = slices.DeleteFunc(s.ends, func(end ending) bool {
		if end.at.After(s.now) {
			return false
		}
		delete(s.engines[end.engine].running, end.id)
		s.trackers[end.host].RecordFinish(address(end.engine), end.id, true, end.at)
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
	s.hits += hits
	s.total += len(chain)
	crowding := max(1, float64(len(target.running))/slots)
	service := time.Duration(crowding * float64(baseService+time.Duration(len(chain)-hits)*blockService))
	s.service += service
	s.ends = append(s.ends, ending{at: s.now.Add(service), host: host, engine: chosen, id: id})
}

// result is what a simulation measures.
type result struct {
	hitRatio float64
	service  time.Duration // mean
}

func (s *simulation) run() result {
	for i := range arrivals {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() * float64(s.arrivalTime)))
		s.finishDue()
		s.learn()
		s.arrive(i)
	}
	return result{float64(s.hits) / float64(s.total), s.service / arrivals}
}

// Guards against hosts that scatter prefixes because each of them sees only
// what it sent itself, and cache events come late and with gaps; and against
// hosts that move together from one engine to the next because all of them
// react to the same old reports. The bound on hits is the design's: within 5% of
// a single-host router that sees everything.
func TestPrefixHitsNearSingleHostRouter(t *testing.T) {
	fleet := knowledge{hosts: 8, interval: 500 * time.Millisecond, lag: 300 * time.Millisecond, gapRatio: 0.05}
	random := routing.DefaultParams
	random.Policy = routing.Random
	// A request with all blocks cached takes a slot for 60 ms; the engines have
	// 32 slots, so about 40%, 65% and 87% of them are busy.
	for _, arrivalTime := range []time.Duration{4800 * time.Microsecond, 2900 * time.Microsecond, 2200 * time.Microsecond} {
		single := newSimulation(knowledge{hosts: 1}, arrivalTime, routing.DefaultParams, seed).run()
		many := newSimulation(fleet, arrivalTime, routing.DefaultParams, seed).run()
		baseline := newSimulation(fleet, arrivalTime, random, seed).run()
		t.Logf("arrivals every %v: single host %+v, 8 hosts %+v, random %+v", arrivalTime, single, many, baseline)
		if many.hitRatio < 0.95*single.hitRatio {
			t.Errorf("hit ratio %.3f, single host %.3f", many.hitRatio, single.hitRatio)
		}
		if baseline.hitRatio >= 0.95*single.hitRatio {
			t.Error("the workload does not reward affinity")
		}
		if many.service > baseline.service {
			t.Errorf("mean service time %v, random choice %v", many.service, baseline.service)
		}
	}
}
