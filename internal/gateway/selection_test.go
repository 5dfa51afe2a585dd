package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// choice selects the upstream of a simulated request.
type choice func(candidates []Candidate, request *call.Request, random *rand.Rand) *Candidate

func chooseNow(candidates []Candidate, request *call.Request, random *rand.Rand) *Candidate {
	return selection{request: request, random: random}.choose(candidates)
}

// chooseByCount is the choice before internal/pace: the lowest count of requests, of equal
// ones at random, with a constant gain of 2.5 requests for the owner of the prompt's prefix.
func chooseByCount(candidates []Candidate, request *call.Request, random *rand.Rand) *Candidate {
	owner, _ := selection{request: request}.affinityOwner(candidates)
	var best *Candidate
	bestCost := 0.0
	for _, i := range random.Perm(len(candidates)) {
		cost := float64(candidates[i].Load)
		if i == owner {
			cost -= 2.5
		}
		if best == nil || cost < bestCost {
			best, bestCost = &candidates[i], cost
		}
	}
	return best
}

// chooseByPeakEWMA chooses the better of two random upstreams by pace times load.
func chooseByPeakEWMA(candidates []Candidate, _ *call.Request, random *rand.Rand) *Candidate {
	a, b := &candidates[random.IntN(len(candidates))], &candidates[random.IntN(len(candidates))]
	if b.Pace*float64(b.Load+1) < a.Pace*float64(a.Load+1) {
		return b
	}
	return a
}

// chooseShortest chooses the shortest expected time, as if no other host chose meanwhile.
func chooseShortest(candidates []Candidate, request *call.Request, random *rand.Rand) *Candidate {
	candidates[0].OthersAge = 0
	return chooseNow(candidates, request, random)
}

const (
	simTick     = 10 * time.Millisecond
	simExchange = 40               // ticks: reports are up to 400 ms old
	simCached   = 8                // prompt segments that an engine caches
	simDrain    = 20 * time.Second // time for the last requests to end
	simQueue    = 4                // requests that an upstream queues beyond its slots
)

// simUpstream is an engine or, with events == 0 requests, a plain service.
type simUpstream struct {
	entry   *catalog.Upstream
	speed   func(now time.Duration) float64
	running []*simRequest // the first Slots run, the others wait
	cached  []string      // prompt segments, the last used one last
	busy    int           // sum of running requests over ticks
}

type simRequest struct {
	host          *simHost
	run           *pace.Run
	arrived, last time.Duration
	work          float64 // ms at usual speed until the first event or the end
	events        int     // to come; -1: plain
	late          bool
}

type simHost struct {
	paces   *pace.Tracker
	version int64
	own     map[string]int
	others  map[string]int
	at      time.Duration // of others
}

// simulation is a fleet whose hosts exchange with a coordinator in turns.
type simulation struct {
	hosts     int
	upstreams []*simUpstream
	rate      func(now time.Duration) float64 // requests per second of the fleet
	objective time.Duration
	plain     time.Duration // work of plain services; 0: engines
	choose    choice
	duration  time.Duration
	after     time.Duration // start of the measurement
}

type simResult struct {
	requests, onTime, refused, sends int
	busiest                          float64 // busiest upstream against the mean, by running requests
}

func (r simResult) share() float64 { return float64(r.onTime) / float64(max(1, r.requests)) }

func (r simResult) String() string {
	return fmt.Sprintf("%.3f on time of %d, %d refused, %d sends, busiest %.2f of the mean", r.share(), r.requests, r.refused, r.sends, r.busiest)
}

func newUpstreams(count, slots int, speed func(i int, now time.Duration) float64) []*simUpstream {
	var upstreams []*simUpstream
	for i := range count {
		entry := &catalog.Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Slots: slots, StartedMS: 1}
		upstreams = append(upstreams, &simUpstream{entry: entry, speed: func(now time.Duration) float64 { return speed(i, now) }})
	}
	return upstreams
}

func (s *simulation) run(seed uint64) simResult {
	random := rand.New(rand.NewPCG(seed, 1))
	collector := pace.NewCollector()
	reported := map[string]int{} // by the hosts' last reports
	lastReport := make([]map[string]int, s.hosts)
	var hosts []*simHost
	for range s.hosts {
		hosts = append(hosts, &simHost{paces: pace.NewTracker(), own: map[string]int{}})
	}
	var result simResult
	due := 0.0
	for tick := 0; time.Duration(tick)*simTick < s.duration+simDrain; tick++ {
		now := time.Duration(tick+1) * simTick
		for i, h := range hosts {
			if (tick+i*simExchange/s.hosts)%simExchange != 0 {
				continue
			}
			h.paces.Overdue(now)
			collector.Record(now, h.paces.TakeSamples(now))
			collector.Refresh(now)
			paces, full, version := collector.Since(now, true, h.version)
			h.version = version
			h.paces.ConfirmShared(now)
			h.paces.ApplyShared(now, paces, full)
			for id, n := range lastReport[i] {
				reported[id] -= n
			}
			lastReport[i] = map[string]int{}
			h.others, h.at = map[string]int{}, now
			for id, n := range reported {
				h.others[id] = n
			}
			for id, n := range h.own {
				lastReport[i][id] = n
				reported[id] += n
			}
		}
		if now < s.duration {
			due += s.rate(now) * simTick.Seconds()
		}
		for ; due >= 1; due-- {
			s.arrive(now, hosts[random.IntN(len(hosts))], random, &result)
		}
		for _, u := range s.upstreams {
			s.serve(now, u, &result)
		}
	}
	most, sum := 0, 0
	for _, u := range s.upstreams {
		most, sum = max(most, u.busy), sum+u.busy
	}
	result.busiest = float64(most*len(s.upstreams)) / float64(max(1, sum))
	return result
}

func (s *simulation) arrive(now time.Duration, h *simHost, random *rand.Rand, result *simResult) {
	request := &call.Request{PromptTokens: 500 + random.IntN(1920), OutputTokens: 170}
	request.PromptSegments = []call.PromptSegment{{ID: fmt.Sprint(random.IntN(30)), Tokens: request.PromptTokens / 2}, {ID: "own", Tokens: request.PromptTokens / 2}}
	r := &simRequest{host: h, arrived: now, work: float64(request.PromptTokens)/25.8 + 8.2, events: 20 + random.IntN(29)}
	if s.plain > 0 {
		request.PromptTokens, request.PromptSegments = 0, nil
		r.work, r.events = s.plain.Seconds()*1000*(0.5+random.Float64()), -1
	}
	if now > s.after {
		result.requests++
	}
	tried := map[string]bool{}
	for range 4 {
		var candidates []Candidate
		situation := &Situation{Usual: h.paces.Times("s"), OthersAge: now - h.at + exchangeInterval}
		for _, u := range s.upstreams {
			id := u.entry.ID
			if !tried[id] {
				candidates = append(candidates, Candidate{
					Upstream: u.entry, Load: h.own[id] + h.others[id], Own: h.own[id], HasAdapter: true,
					Pace: h.paces.Factor(now, paceIncarnation(u.entry)), Situation: situation,
				})
			}
		}
		chosen := s.choose(candidates, request, random)
		if chosen == nil {
			break
		}
		if now > s.after {
			result.sends++
		}
		for _, u := range s.upstreams {
			if u.entry == chosen.Upstream && len(u.running) < u.entry.Slots+simQueue {
				if len(request.PromptSegments) > 0 && u.cache(request.PromptSegments[0].ID) {
					r.work -= float64(request.PromptSegments[0].Tokens) / pace.DefaultPrefillRate
				}
				r.run = h.paces.Begin(now, "s", paceIncarnation(u.entry), float64(chosen.Load)/float64(u.entry.Slots), request.PromptTokens)
				u.running = append(u.running, r)
				h.own[u.entry.ID]++
				return
			}
		}
		tried[chosen.Upstream.ID] = true
	}
	if now > s.after {
		result.refused++
	}
}

// cache reports whether a prompt segment is cached, and caches it.
func (u *simUpstream) cache(id string) bool {
	i := slices.Index(u.cached, id)
	if i >= 0 {
		u.cached = slices.Delete(u.cached, i, i+1)
	}
	u.cached = append(u.cached, id)
	u.cached = u.cached[max(0, len(u.cached)-simCached):]
	return i >= 0
}

// serve advances an upstream by a tick.
func (s *simulation) serve(now time.Duration, u *simUpstream, result *simResult) {
	const tokensPerEvent, stepMS = 5, 8.2
	running := u.running[:min(len(u.running), u.entry.Slots)]
	u.busy += len(u.running)
	step := 1.0
	if s.plain == 0 {
		step += float64(len(running)) / float64(u.entry.Slots)
	}
	done := simTick.Seconds() * 1000 * u.speed(now)
	kept := u.running[:0]
	for i, r := range u.running {
		if i >= len(running) {
			kept = append(kept, r)
			continue
		}
		r.work -= done / step
		if r.work > 0 {
			kept = append(kept, r)
			continue
		}
		took := now - max(r.last, r.arrived)
		r.late = r.late || (r.last == 0 && took > s.objective) || (r.last > 0 && took > 300*time.Millisecond)
		if r.events > 0 {
			r.host.paces.Events(now, r.run, 1)
			r.last, r.events = now, r.events-1
			r.work += tokensPerEvent * stepMS
			kept = append(kept, r)
			continue
		}
		r.host.paces.End(now, r.run, true)
		r.host.own[u.entry.ID]--
		if r.arrived > s.after && !r.late {
			result.onTime++
		}
	}
	u.running = kept
}

func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Guards against a choice that counts requests only, and so sends as many to a slow upstream
// as to a fast one, and one that herds on the upstream that the last reports show as idle. The
// bounds are for the mean of three seeds; by count 0.82, 0.89, 0.85 and 0.91 are on time.
func TestChoiceUnderLoad(t *testing.T) {
	engines := simulation{hosts: 87, objective: 600 * time.Millisecond, duration: 60 * time.Second, after: 12 * time.Second}
	for _, load := range []struct {
		name   string
		onTime float64
		sim    func() simulation
	}{
		{"wave over slow and fast engines", 0.88, func() simulation {
			s := engines
			s.upstreams = newUpstreams(20, 12, func(i int, _ time.Duration) float64 { return 0.6 + float64(i*7%20)/19 })
			s.rate = func(now time.Duration) float64 {
				if now%(12*time.Second) < 5*time.Second {
					return 100
				}
				return 45
			}
			return s
		}},
		{"one engine slow for 5 s", 0.97, func() simulation {
			s := engines
			s.upstreams = newUpstreams(12, 12, func(i int, now time.Duration) float64 {
				if i == 3 && now > 20*time.Second && now < 25*time.Second {
					return 0.08
				}
				return 1
			})
			s.rate, s.duration, s.after = constantRate(35), 28*time.Second, 19*time.Second
			return s
		}},
		{"equal engines, reports of 87 hosts up to 400 ms old", 0.98, func() simulation {
			s := engines
			s.upstreams, s.rate = newUpstreams(20, 12, func(int, time.Duration) float64 { return 1 }), constantRate(65)
			return s
		}},
		{"plain service with one slow upstream of four", 0.99, func() simulation {
			s := engines
			s.upstreams = newUpstreams(4, 6, func(i int, _ time.Duration) float64 { return []float64{0.2, 1, 1, 1}[i] })
			s.rate, s.plain, s.objective = constantRate(74), 60*time.Millisecond, 300*time.Millisecond
			return s
		}},
	} {
		t.Run(load.name, func(t *testing.T) {
			const seeds = 3
			for _, c := range []struct {
				name   string
				choice choice
				onTime float64
			}{{"by count", chooseByCount, 0}, {"peak EWMA of two", chooseByPeakEWMA, 0}, {"shortest", chooseShortest, 0}, {"now", chooseNow, load.onTime}} {
				if c.onTime == 0 && !testing.Verbose() {
					continue // for comparison only
				}
				share := 0.0
				for seed := range uint64(seeds) {
					s := load.sim()
					s.choose = c.choice
					result := s.run(seed)
					share += result.share() / seeds
					t.Logf("%-16s %v", c.name, result)
				}
				if share < c.onTime {
					t.Errorf("%s: %.3f on time, want %.2f", c.name, share, c.onTime)
				}
			}
		})
	}
}

// newChoice returns candidates of equal pace with the given requests of other hosts.
func newChoice(others ...int) []Candidate {
	situation := &Situation{Usual: pace.Times{Duration: 2 * time.Second, Answer: 10 * time.Millisecond}}
	candidates := make([]Candidate, len(others))
	for i, load := range others {
		entry := &catalog.Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Slots: 12, DataCenter: "dc"}
		candidates[i] = Candidate{Upstream: entry, Load: load, HasAdapter: true, Pace: 1, Situation: situation}
	}
	return candidates
}

// requireShare checks the share of choices of the first candidate.
func requireShare(t *testing.T, what string, s selection, candidates []Candidate, lowest, highest float64) {
	t.Helper()
	s.random, s.dataCenter = rand.New(rand.NewPCG(1, 1)), "dc"
	if s.request == nil {
		s.request = &call.Request{PromptTokens: 1460, OutputTokens: 170}
	}
	chosen := 0
	for range 400 {
		if s.choose(candidates) == &candidates[0] {
			chosen++
		}
	}
	if share := float64(chosen) / 400; share < lowest || share > highest {
		t.Errorf("%s: the first is chosen in %.2f of the cases, want %.2f to %.2f", what, share, lowest, highest)
	}
}

// Guards against serving deployments of equal upstreams in another way than before: without
// requests that other hosts may have sent meanwhile, the least loaded one is chosen, with the
// same regard to failures, data centre, adapter and tried upstreams.
func TestEqualUpstreamsAreChosenByLoad(t *testing.T) {
	with := func(change func(c *Candidate), others ...int) []Candidate {
		candidates := newChoice(others...)
		change(&candidates[0])
		return candidates
	}
	none := func(*Candidate) {}
	requireShare(t, "least loaded", selection{}, with(none, 1, 2, 2), 1, 1)
	requireShare(t, "equal", selection{}, with(none, 1, 1, 1, 1), 0.2, 0.3)
	requireShare(t, "remote", selection{}, with(func(c *Candidate) { c.Upstream.DataCenter = "other" }, 0, 0), 0, 0)
	requireShare(t, "remote, less loaded", selection{}, with(func(c *Candidate) { c.Upstream.DataCenter = "other" }, 0, 1), 1, 1)
	requireShare(t, "failing", selection{}, with(func(c *Candidate) { c.FailureRate = 0.2 }, 0, 5), 0, 0)
	requireShare(t, "backoff", selection{}, with(func(c *Candidate) { c.InBackoff = true }, 0, 40), 0, 0)
	requireShare(t, "cold", selection{}, with(func(c *Candidate) { c.ColdFor = time.Second }, 0, 2), 0, 0)
	requireShare(t, "adapter", selection{}, with(func(c *Candidate) { c.HasAdapter = false }, 0, 7), 0, 0)
	requireShare(t, "adapter, far less loaded", selection{}, with(func(c *Candidate) { c.HasAdapter = false }, 0, 9), 1, 1)
	requireShare(t, "tried", selection{tried: map[string]bool{"u0": true}}, with(none, 0, 9), 0, 0)
	requireShare(t, "slow", selection{}, with(func(c *Candidate) { c.Pace = 4 }, 2, 5), 0, 0)
}

// Guards against a constant gain for the engine that caches a prompt's prefix, which filled
// it while others were idle: it is worth the prefill that it saves.
func TestAffinityYieldsWhenBusy(t *testing.T) {
	request := &call.Request{PromptTokens: 2580, PromptSegments: []call.PromptSegment{{ID: "shared", Tokens: 2580}, {ID: "own"}}}
	candidates := newChoice(0, 0, 0)
	owner, tokens := selection{request: request}.affinityOwner(candidates)
	if tokens != 2580 {
		t.Errorf("%d tokens saved", tokens)
	}
	candidates[0], candidates[owner] = candidates[owner], candidates[0]
	for load, share := range map[int]float64{0: 1, 1: 1, 2: 0, 12: 0} {
		candidates[0].Load = load // 100 ms are saved; a request adds 0.5 * 2 s / 12 = 83 ms
		requireShare(t, fmt.Sprint("load ", load), selection{request: request}, candidates, share, share)
	}
}

// Guards against requests that exceed the KV memory of an engine, which preempts others then,
// while another engine has room.
func TestFullMemoryIsAvoided(t *testing.T) {
	s := selection{engine: &catalog.Engine{BatchSlots: 12, MemoryTokens: 65409}}
	candidates := newChoice(1, 11)
	candidates[0].Tokens, candidates[1].Tokens = 64000, 60000
	requireShare(t, "another has room", s, candidates, 0, 0)
	candidates[1].Tokens = 64000
	requireShare(t, "none has room", s, candidates, 1, 1)
	candidates[1].Tokens, candidates[1].InBackoff = 0, true
	requireShare(t, "the other is in backoff", s, candidates, 1, 1)
}

// Guards against hosts that cut off from the coordinator choose by counts of requests which
// have ended long ago.
func TestOldCountsTendToTheMean(t *testing.T) {
	candidates := newChoice(12, 0, 0)
	for age, share := range map[time.Duration][2]float64{0: {0, 0}, 400 * time.Millisecond: {0, 0}, 20 * time.Second: {0.2, 0.45}} {
		candidates[0].OthersAge = age
		requireShare(t, age.String(), selection{}, candidates, share[0], share[1])
	}
}

// BenchmarkChoice measures a choice among 140 engines that have the model.
func BenchmarkChoice(b *testing.B) {
	r, request := newBenchmarkRegistry(140)
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		candidates := r.Candidates("llm", "m1", "")
		if (selection{request: request, engine: &catalog.Engine{MemoryTokens: 65409}, random: random}).choose(candidates) == nil {
			b.Fatal("no choice")
		}
	}
}

func newBenchmarkRegistry(engines int) (*Registry, *call.Request) {
	decode := func(row table.Row) (*catalog.Upstream, error) {
		models := map[string][]string{"m1": nil, "m2": nil}
		return &catalog.Upstream{ID: row.Key, Service: "llm", Slots: 12, StartedMS: 1, Holdings: catalog.Holdings{Models: models}}, nil
	}
	r := NewRegistry(decode, func(string) {}, logr.Discard())
	var rows []table.Row
	for i := range engines {
		rows = append(rows, table.Row{Key: fmt.Sprintf("i-%010x", i)})
	}
	r.Apply(table.Change{Rows: rows, Full: true})
	for i := range 15 {
		r.TrackRequest(rows[i].Key, "m1", "", 1630)
	}
	reply := coordinator.ExchangeReply{PaceVersion: 1, PacesFull: true}
	for i := range engines {
		of := coordinator.Incarnation{Upstream: rows[i].Key, StartedMS: 1}
		reply.Running = append(reply.Running, coordinator.RunningCount{Upstream: rows[i].Key, Count: i % 12, Tokens: 1630 * (i % 12)})
		reply.Paces = append(reply.Paces, coordinator.SharedPace{Incarnation: of, Ratio: 1 + float64(i%10)/10, Weight: 4})
	}
	r.ApplyExchange(&reply)
	return r, &call.Request{Model: "m1", PromptTokens: 1460, PromptSegments: []call.PromptSegment{{ID: "s", Tokens: 1000}, {ID: "own", Tokens: 460}}}
}
