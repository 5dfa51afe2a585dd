package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simKind is a kind of request of a simulated service.
type simKind struct {
	name              string
	perS              float64
	urgency           int
	objective, caller time.Duration // caller: how long the caller waits for the first event
	patient           bool
	workspaces        []string
}

type simEvent struct {
	at  time.Time
	run func(now time.Time)
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simResult counts the requests of a kind or workspace by outcome.
type simResult struct{ sent, served, inTime, refusedLate int }

// simEngine runs requests in slots, queues some by priority and refuses the rest.
type simEngine struct {
	slots, running int
	queue          []*simRequest
}

// simRequest is an attempt of a caller. Callers retry once, at another host, after a
// Retry-After of up to a third of their remaining time.
type simRequest struct {
	kind           *simKind
	workspace      string
	first, arrived time.Time
	retry          bool
	took           time.Duration
	host           *simHost
	entry          *Entry
	sends          int
	priority       int
	tried          []bool
}

func (r *simRequest) deadline() time.Time { return r.first.Add(r.kind.caller) }

type simHost struct {
	backlog           *Backlog
	own, others, told []int // requests by engine; told: as of the last exchange
	full              []time.Time
	waiting           map[*Entry]*simRequest
	supply            Supply // the news of other hosts
	toldWaiting       int
	toldCounts        []KindCount
}

type simPolicy int

// Policies: atOnce sends each request at once, as hosts did before they had a queue.
const (
	queued simPolicy = iota
	fcfs
	atOnce
)

// sim simulates hosts, and engines with one model.
type sim struct {
	policy       simPolicy
	random       *rand.Rand // decisions
	traffic      *rand.Rand // arrivals and service times
	service      time.Duration
	news         time.Duration // between exchanges; 0: hosts know nothing of each other
	engines      []*simEngine
	hosts        []*simHost
	events       simEvents
	results      map[string]*simResult // by kind and by workspace
	end          time.Time
	arrivalsPerS float64
}

const (
	simPrompt      = 100 * time.Millisecond // from the start of a run to the first event
	simEngineQueue = 24
)

var simQueue = QueueKey{"s", "m"}

func newSim(policy simPolicy, hosts, engines int, news time.Duration) *sim {
	s := &sim{policy: policy, random: rand.New(rand.NewPCG(1, 2)), traffic: rand.New(rand.NewPCG(3, 4)), service: 1800 * time.Millisecond, news: news, results: map[string]*simResult{}}
	for range engines {
		s.engines = append(s.engines, &simEngine{slots: 12})
	}
	for range hosts {
		s.hosts = append(s.hosts, &simHost{
			backlog: NewBacklog(DefaultLimits), own: make([]int, engines), others: make([]int, engines), told: make([]int, engines),
			full: make([]time.Time, engines), waiting: map[*Entry]*simRequest{},
		})
	}
	return s
}

func (s *sim) at(t time.Time, run func(now time.Time)) { heap.Push(&s.events, simEvent{t, run}) }

func (s *sim) count(r *simRequest, add func(*simResult)) {
	for _, name := range []string{r.kind.name, r.workspace} {
		if s.results[name] == nil {
			s.results[name] = &simResult{}
		}
		add(s.results[name])
	}
}

// run simulates the kinds at a load, relative to the slots, for a time.
func (s *sim) run(kinds []*simKind, load float64, length time.Duration) {
	total, slots := 0.0, 0
	for _, k := range kinds {
		total += k.perS
	}
	for _, e := range s.engines {
		slots += e.slots
	}
	scale := load * float64(slots) / s.service.Seconds() / total
	s.end = start.Add(length)
	s.arrivalsPerS = scale * total
	for _, k := range kinds {
		s.arrivals(k, start, scale*k.perS)
	}
	for _, h := range s.hosts {
		s.at(start.Add(time.Duration(s.random.Float64()*float64(s.news))), func(now time.Time) { s.exchange(now, h) })
		s.at(start.Add(time.Duration(s.random.Float64()*4e7)), func(now time.Time) { s.tick(now, h) })
	}
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		event.run(event.at)
	}
}

func (s *sim) arrivals(k *simKind, from time.Time, perS float64) {
	if next := from.Add(seconds(s.traffic.ExpFloat64() / perS)); next.Before(s.end) {
		s.at(next, func(now time.Time) {
			r := &simRequest{kind: k, workspace: k.workspaces[s.traffic.IntN(len(k.workspaces))], first: now, took: seconds((0.5 + s.traffic.Float64()) * s.service.Seconds())}
			s.count(r, func(c *simResult) { c.sent++ })
			s.receive(now, r)
			s.arrivals(k, now, perS)
		})
	}
}

func (s *sim) receive(now time.Time, r *simRequest) {
	r.host, r.arrived, r.sends, r.tried = s.hosts[s.random.IntN(len(s.hosts))], now, 0, make([]bool, len(s.engines))
	s.dispatch(now, r)
}

// dispatch sends a request, or has it wait in its host's queue.
func (s *sim) dispatch(now time.Time, r *simRequest) {
	h := r.host
	if r.sends == 4 {
		s.refuse(now, r, 400*time.Millisecond)
		return
	}
	if s.policy == atOnce {
		s.send(now, r, s.choose(h, func(i int) bool { return !r.tried[i] }))
		return
	}
	if i := s.choose(h, func(i int) bool { return s.free(now, h, i) }); i >= 0 && h.backlog.Len() == 0 && h.backlog.MaySend(now, simQueue) {
		h.backlog.RecordServed(now, s.slotRequest(r))
		s.send(now, r, i)
		return
	}
	if s.policy == queued {
		h.backlog.SetSupply(simQueue, s.supply(h))
	}
	e, refused := h.backlog.Submit(now, *s.slotRequest(r))
	r.entry, h.waiting[e] = e, r
	s.refuseAll(now, h, refused)
	s.release(now, h)
}

func (s *sim) slotRequest(r *simRequest) *SlotRequest {
	k := r.kind
	if s.policy == fcfs {
		return &SlotRequest{Queue: simQueue, ArrivedAt: r.arrived, Objective: time.Hour, Deadline: r.deadline()}
	}
	return &SlotRequest{
		Queue: simQueue, Workspace: r.workspace, Cost: 1600, Urgency: k.urgency, Patient: k.patient,
		ArrivedAt: r.arrived, Objective: k.objective, Deadline: r.deadline(),
	}
}

func (s *sim) occupancy(h *simHost, i int) *Occupancy {
	return &Occupancy{
		Slots: s.engines[i].slots, Own: h.own[i], Others: h.others[i], ServiceTime: h.backlog.ServiceTime(simQueue), NewsInterval: s.news,
	}
}

func (s *sim) free(now time.Time, h *simHost, i int) bool {
	return !now.Before(h.full[i]) && s.occupancy(h, i).Free()
}

func (s *sim) supply(h *simHost) Supply {
	supply := h.supply
	for i, e := range s.engines {
		supply.Slots += e.slots
		supply.Queued += max(0, h.own[i]+h.others[i]-e.slots)
	}
	return supply
}

// choose returns the less loaded of two engines that fit, as far as the host knows; -1: none.
func (s *sim) choose(h *simHost, fits func(i int) bool) int {
	best, seen := -1, 0
	for _, i := range s.random.Perm(len(s.engines)) {
		if seen < 2 && fits(i) {
			seen++
			if best < 0 || h.own[i]+h.others[i] < h.own[best]+h.others[best] {
				best = i
			}
		}
	}
	return best
}

func (s *sim) release(now time.Time, h *simHost) {
	engine := -1
	for {
		e := h.backlog.Next(now, func(e *Entry) bool {
			if !h.backlog.MaySend(now, simQueue) {
				return false
			}
			yields := h.backlog.Yields(now, &e.Request)
			engine = s.choose(h, func(i int) bool {
				return s.free(now, h, i) || !yields && !now.Before(h.full[i]) && s.occupancy(h, i).QueueThere(h.backlog.Due(&e.Request).Sub(now))
			})
			return engine >= 0
		})
		if e == nil {
			return
		}
		r := h.waiting[e]
		delete(h.waiting, e)
		s.send(now, r, engine)
	}
}

func (s *sim) send(now time.Time, r *simRequest, i int) {
	h := r.host
	if i < 0 { // all engines have refused it
		s.at(now.Add(60*time.Millisecond), func(now time.Time) { clear(r.tried); s.dispatch(now, r) })
		return
	}
	r.sends++
	r.priority = r.kind.urgency
	if s.policy == queued {
		r.priority = h.backlog.Urgency(now, s.slotRequest(r))
	}
	e := s.engines[i]
	if e.running >= e.slots && len(e.queue) >= simEngineQueue {
		r.tried[i], h.full[i] = true, now.Add(150*time.Millisecond)
		s.at(now.Add(2*time.Millisecond), func(now time.Time) { s.dispatch(now, r) })
		return
	}
	h.own[i]++
	e.queue = append(e.queue, r)
	s.begin(now, i)
}

// begin runs the queued requests of an engine for which there are slots.
func (s *sim) begin(now time.Time, i int) {
	e := s.engines[i]
	for e.running < e.slots && len(e.queue) > 0 {
		next := 0
		for j, r := range e.queue {
			if r.priority < e.queue[next].priority {
				next = j
			}
		}
		r := e.queue[next]
		e.queue = slices.Delete(e.queue, next, next+1)
		if now.After(r.deadline()) { // its caller has left
			r.host.own[i]--
			r.host.backlog.RecordLost(now, s.slotRequest(r))
			s.count(r, func(c *simResult) { c.refusedLate++ })
			continue
		}
		sent := now
		e.running++
		s.count(r, func(c *simResult) {
			c.served++
			if !now.Add(simPrompt).After(r.first.Add(r.kind.objective)) {
				c.inTime++
			}
		})
		r.host.backlog.RecordFirst(simQueue, simPrompt)
		s.at(now.Add(r.took), func(now time.Time) {
			e.running--
			r.host.own[i]--
			if s.policy != fcfs {
				r.host.backlog.RecordRun(simQueue, now.Sub(sent))
			}
			s.begin(now, i)
			s.release(now, r.host)
		})
	}
}

func (s *sim) refuseAll(now time.Time, h *simHost, entries []*Entry) {
	for _, e := range entries {
		r := h.waiting[e]
		delete(h.waiting, e)
		after := time.Duration(0)
		if late, ok := e.Err.(*DeadlineError); ok {
			after = late.RetryAfter
		}
		s.refuse(now, r, after)
	}
}

func (s *sim) refuse(now time.Time, r *simRequest, after time.Duration) {
	if !r.retry && after > 0 && after <= r.deadline().Sub(now)/3 {
		r.retry = true
		s.at(now.Add(after), func(now time.Time) { s.receive(now, r) })
		return
	}
	if now.Sub(r.arrived) > 100*time.Millisecond {
		s.count(r, func(c *simResult) { c.refusedLate++ })
	}
}

func (s *sim) tick(now time.Time, h *simHost) {
	s.refuseAll(now, h, h.backlog.Review(now))
	s.release(now, h)
	if now.Before(s.end) || h.backlog.Len() > 0 {
		s.at(now.Add(40*time.Millisecond), func(now time.Time) { s.tick(now, h) })
	}
}

// exchange tells a host what the others have told last.
func (s *sim) exchange(now time.Time, h *simHost) {
	if s.news == 0 {
		return
	}
	copy(h.told, h.own)
	h.toldWaiting = 0
	for e := range h.waiting {
		if !h.backlog.Yields(now, &e.Request) {
			h.toldWaiting++
		}
	}
	h.toldCounts = h.backlog.Counts(now)
	sums := map[kind]*KindCount{}
	clear(h.others)
	h.supply.Elsewhere = 0
	for _, other := range s.hosts {
		if other != h {
			h.supply.Elsewhere += other.toldWaiting
			for _, c := range other.toldCounts {
				key := kind{c.Urgency, c.Objective}
				if sums[key] == nil {
					sums[key] = &KindCount{Service: c.Service, Urgency: c.Urgency, Objective: c.Objective}
				}
				sums[key].Served += c.Served
				sums[key].Refused += c.Refused
			}
			for i := range h.others {
				h.others[i] += other.told[i]
			}
		}
	}
	switch {
	case h.supply.Elsewhere == 0:
		h.supply.Since = time.Time{}
	case h.supply.Since.IsZero():
		h.supply.Since = now
	}
	if s.policy == queued {
		room := 0.0
		for i := range s.engines {
			room += s.occupancy(h, i).Room()
		}
		h.backlog.News(now, simQueue, News{Room: room, Waiting: h.supply.Elsewhere, Arrivals: s.arrivalsPerS * s.news.Seconds(), Interval: s.news})
		var elsewhere []KindCount
		for _, c := range sums {
			elsewhere = append(elsewhere, *c)
		}
		h.backlog.SetElsewhere(elsewhere)
	}
	s.release(now, h)
	if now.Before(s.end.Add(10 * time.Second)) {
		s.at(now.Add(s.news), func(now time.Time) { s.exchange(now, h) })
	}
}

// log logs the results of the kinds and returns the share served in time.
func (s *sim) log(t *testing.T, name string, kinds []*simKind) float64 {
	t.Helper()
	sent, inTime := 0, 0
	for _, k := range kinds {
		c := s.results[k.name]
		n := float64(c.sent)
		t.Logf("%s: %-12s sent %4d served %.2f in time %.2f refused late %.2f", name, k.name, c.sent, float64(c.served)/n, float64(c.inTime)/n, float64(c.refusedLate)/n)
		sent, inTime = sent+c.sent, inTime+c.inTime
	}
	share := float64(inTime) / float64(sent)
	t.Logf("%s: in time %.3f", name, share)
	return share
}

// loadA and loadB are the kinds of the deployments A and B of docs/design/scope.md.
var (
	tenWorkspaces = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"}
	loadA         = []*simKind{
		{"part match", 75, 0, 600 * time.Millisecond, 2400 * time.Millisecond, false, tenWorkspaces},
		{"dealer", 120, 1, 800 * time.Millisecond, 3200 * time.Millisecond, false, tenWorkspaces},
		{"key account", 52, 1, 2500 * time.Millisecond, 10 * time.Second, true, tenWorkspaces},
	}
	loadB = []*simKind{
		{"reorder", 68, 0, 500 * time.Millisecond, 2400 * time.Millisecond, false, tenWorkspaces},
		{"refill", 41, 1, 600 * time.Millisecond, 2400 * time.Millisecond, false, tenWorkspaces},
		{"review", 42, 2, 8 * time.Second, 20 * time.Second, true, tenWorkspaces},
	}
)

// Load at 150 percent for a minute, urgent and patient kinds. Guards against an order in
// which overload makes every kind late, starves one kind, or serves an urgent kind worse.
func TestOverloadServesAllKindsInTime(t *testing.T) {
	for name, kinds := range map[string][]*simKind{"A": loadA, "B": loadB} {
		first := newSim(fcfs, 1, 2, 0)
		first.run(kinds, 1.5, time.Minute)
		s := newSim(queued, 1, 2, 0)
		s.run(kinds, 1.5, time.Minute)
		before, now := first.log(t, name+" first come first served", kinds), s.log(t, name+" by slack", kinds)
		if now < before+0.15 {
			t.Errorf("%s: %.2f in time, %.2f first come first served", name, now, before)
		}
		for _, k := range kinds {
			if c := s.results[k.name]; float64(c.inTime) < 0.5*float64(c.sent) {
				t.Errorf("%s: %s: %+v", name, k.name, *c)
			}
		}
		s.checkOrder(t, kinds)
	}
}

// checkOrder checks that no kind is served notably more often than a more urgent one. The
// kinds are in order of urgency.
func (s *sim) checkOrder(t *testing.T, kinds []*simKind) {
	t.Helper()
	for i, k := range kinds {
		for _, urgent := range kinds[:i] {
			served := float64(s.results[k.name].served) / float64(s.results[k.name].sent)
			of := float64(s.results[urgent.name].served) / float64(s.results[urgent.name].sent)
			if urgent.urgency < k.urgency && served > of+0.05 {
				t.Errorf("%s is served more often (%.2f) than %s (%.2f)", k.name, served, urgent.name, of)
			}
		}
	}
}

// Guards against holding requests at hosts that learn late of each other's while engines have
// free slots, against hosts that all send to the same free slot, and against a patient kind
// that outwaits the others because each host refuses by itself.
func TestHostsWithOldCounts(t *testing.T) {
	for name, kinds := range map[string][]*simKind{"A": loadA, "B": loadB} {
		for _, c := range []struct{ load, gain float64 }{{0.6, -0.01}, {0.95, -0.06}, {1.5, 0.1}} {
			before := newSim(atOnce, 40, 6, 400*time.Millisecond)
			before.run(kinds, c.load, time.Minute)
			want := before.log(t, fmt.Sprintf("%s at %v, each sent at once", name, c.load), kinds) + c.gain
			for _, news := range []time.Duration{217 * time.Millisecond, 400 * time.Millisecond} {
				s := newSim(queued, 40, 6, news)
				s.run(kinds, c.load, time.Minute)
				if got := s.log(t, fmt.Sprintf("%s at %v, news every %v", name, c.load, news), kinds); got < want {
					t.Errorf("%s at %v, news every %v: %.3f in time, want %.3f", name, c.load, news, got, want)
				}
				s.checkOrder(t, kinds)
			}
		}
	}
}

// Guards against hosts that know nothing of each other and hold requests for slots that they
// can't see, instead of leaving the order to the engines.
func TestHostsWithoutNews(t *testing.T) {
	for name, kinds := range map[string][]*simKind{"A": loadA, "B": loadB} {
		before, s := newSim(atOnce, 40, 6, 0), newSim(queued, 40, 6, 0)
		before.run(kinds, 1.5, time.Minute)
		s.run(kinds, 1.5, time.Minute)
		want := before.log(t, name+" each sent at once", kinds)
		if got := s.log(t, name+" without news", kinds); got < want-0.02 {
			t.Errorf("%s: %.3f in time, %.3f if each is sent at once", name, got, want)
		}
	}
}

// A burst of the patient kind while all slots are in use. Guards against refusing it although
// it can wait, and against urgent requests that wait behind it.
func TestBurstOfPatientKind(t *testing.T) {
	s := newSim(queued, 1, 2, 0)
	urgent, patient := *loadB[0], *loadB[2]
	urgent.perS = 9
	s.at(start.Add(10*time.Second), func(now time.Time) {
		for range 60 {
			r := &simRequest{kind: &patient, workspace: "w0", first: now, took: s.service}
			s.count(r, func(c *simResult) { c.sent++ })
			s.receive(now, r)
		}
	})
	s.run([]*simKind{&urgent}, 0.6, 30*time.Second)
	s.log(t, "burst", []*simKind{&urgent, &patient})
	u, p := s.results[urgent.name], s.results[patient.name]
	if u.inTime < u.sent*85/100 || p.served < 59 || p.inTime < 40 {
		t.Errorf("urgent %+v, burst %+v", *u, *p)
	}
}

// Guards against a workspace that sends ten times as much as the others and makes them wait
// or be refused, beside patient requests of another workspace.
func TestHotWorkspaceBesidePatientWork(t *testing.T) {
	hot := &simKind{"hot", 100, 1, 600 * time.Millisecond, 2400 * time.Millisecond, false, []string{"hot"}}
	quiet := &simKind{"quiet", 10, 1, 600 * time.Millisecond, 2400 * time.Millisecond, false, []string{"quiet"}}
	patient := &simKind{"patient", 10, 1, 2500 * time.Millisecond, 10 * time.Second, true, []string{"other"}}
	s := newSim(queued, 1, 4, 0)
	s.run([]*simKind{hot, quiet, patient}, 1.5, time.Minute)
	s.log(t, "hot workspace", []*simKind{hot, quiet, patient})
	for _, name := range []string{"quiet", "other"} {
		if c := s.results[name]; c.served < c.sent*95/100 || c.inTime < c.sent*85/100 {
			t.Errorf("workspace %s: %+v", name, *c)
		}
	}
	if c := s.results["hot"]; float64(c.served) < 0.45*float64(c.sent) {
		t.Errorf("hot workspace does not get the rest: %+v", *c)
	}
}
