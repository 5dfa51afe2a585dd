package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simKind is a kind of request of a simulated service.
type simKind struct {
	name              string
	perS              float64
	urgency           int
	objective, caller time.Duration // caller: how long the caller waits for the response
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
type simResult struct {
	sent, served, inTime int
	refusedLate          int // refused after waiting for 100 ms
	wait                 time.Duration
}

func (r *simResult) shares() (served, inTime float64) {
	return float64(r.served) / float64(r.sent), float64(r.inTime) / float64(r.sent)
}

// sim simulates upstreams with slots behind one host. Callers retry once after a
// Retry-After of up to a third of their remaining time.
type sim struct {
	backlog  *Backlog
	fcfs     bool
	random   *rand.Rand
	slots    int
	running  int
	service  time.Duration
	events   simEvents
	results  map[string]*simResult // by kind and by workspace
	queue    QueueKey
	sequence int
	entries  map[*Entry]func(now time.Time, served bool)
}

func newSim(fcfs bool, slots int, service time.Duration) *sim {
	return &sim{
		backlog: NewBacklog(DefaultLimits), fcfs: fcfs, random: rand.New(rand.NewPCG(1, 2)), slots: slots, service: service,
		results: map[string]*simResult{}, queue: QueueKey{"s", "m"}, entries: map[*Entry]func(time.Time, bool){},
	}
}

func (s *sim) at(t time.Time, run func(now time.Time)) { heap.Push(&s.events, simEvent{t, run}) }

func (s *sim) result(name string) *simResult {
	if s.results[name] == nil {
		s.results[name] = &simResult{}
	}
	return s.results[name]
}

// arrivals schedules the requests of a kind up to a time.
func (s *sim) arrivals(k *simKind, from, until time.Time) {
	gap := time.Duration(s.random.ExpFloat64() / k.perS * float64(time.Second))
	if next := from.Add(gap); next.Before(until) {
		s.at(next, func(now time.Time) {
			s.send(now, k, k.workspaces[s.random.IntN(len(k.workspaces))], now, false)
			s.arrivals(k, now, until)
		})
	}
}

func (s *sim) send(now time.Time, k *simKind, workspace string, first time.Time, retry bool) {
	s.sequence++
	deadline := first.Add(k.caller)
	r := SlotRequest{
		ID: fmt.Sprint(s.sequence), Queue: s.queue, Workspace: workspace, Cost: 1600, Urgency: k.urgency, Patient: k.patient,
		ArrivedAt: now, Objective: k.objective, Deadline: deadline,
	}
	if !retry {
		s.result(k.name).sent++
		s.result(workspace).sent++
	}
	done := func(at time.Time, served bool) {
		for _, result := range []*simResult{s.result(k.name), s.result(workspace)} {
			result.wait += at.Sub(now)
			switch {
			case !served && at.Sub(now) > 100*time.Millisecond:
				result.refusedLate++
			case served:
				result.served++
			}
			if served && !at.After(first.Add(k.objective)) {
				result.inTime++
			}
		}
		if served {
			s.start(at, k)
		}
	}
	if s.running < s.slots && s.backlog.Len() == 0 {
		s.backlog.RecordServed(now, &r)
		done(now, true)
		return
	}
	if s.fcfs { // no estimates, order of arrival
		r.Objective, r.Patient, r.Urgency, r.Workspace = time.Hour, false, 0, ""
	} else {
		s.backlog.SetSupply(s.queue, Supply{Slots: s.slots})
	}
	e, refused := s.backlog.Submit(now, r)
	s.entries[e] = func(at time.Time, served bool) {
		var late *DeadlineError
		if err, ok := e.Err.(*DeadlineError); ok {
			late = err
		}
		if !served && !retry && late != nil && late.RetryAfter > 0 && late.RetryAfter <= deadline.Sub(at)/3 {
			s.at(at.Add(late.RetryAfter), func(again time.Time) { s.send(again, k, workspace, first, true) })
			return
		}
		done(at, served)
	}
	s.refuse(now, refused)
}

func (s *sim) refuse(now time.Time, refused []*Entry) {
	for _, e := range refused {
		s.entries[e](now, false)
		delete(s.entries, e)
	}
}

func (s *sim) start(now time.Time, _ *simKind) {
	s.running++
	took := time.Duration((0.5 + s.random.Float64()) * float64(s.service))
	s.at(now.Add(took), func(end time.Time) {
		s.running--
		if !s.fcfs {
			s.backlog.RecordRun(s.queue, took)
		}
		s.release(end)
	})
}

func (s *sim) release(now time.Time) {
	for s.running < s.slots {
		e := s.backlog.Next(now, func(*Entry) bool { return true })
		if e == nil {
			return
		}
		s.entries[e](now, true)
		delete(s.entries, e)
	}
}

// run simulates until no request is left.
func (s *sim) run() {
	s.at(start, s.tick)
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		event.run(event.at)
	}
}

func (s *sim) tick(now time.Time) {
	s.refuse(now, s.backlog.Review(now))
	if len(s.events) > 0 {
		s.at(now.Add(25*time.Millisecond), s.tick)
	}
}

// loadA and loadB are the kinds of the deployments A and B of docs/design/scope.md at a
// tenth of their rates.
var (
	tenWorkspaces = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"}
	loadA         = []*simKind{
		{"part match", 7.5, 0, 600 * time.Millisecond, 2400 * time.Millisecond, false, tenWorkspaces},
		{"dealer", 12, 1, 800 * time.Millisecond, 3200 * time.Millisecond, false, tenWorkspaces},
		{"key account", 5.2, 1, 2500 * time.Millisecond, 10 * time.Second, true, tenWorkspaces},
	}
	loadB = []*simKind{
		{"reorder", 6.8, 0, 500 * time.Millisecond, 2400 * time.Millisecond, false, tenWorkspaces},
		{"refill", 4.1, 1, 600 * time.Millisecond, 2400 * time.Millisecond, false, tenWorkspaces},
		{"review", 4.2, 2, 8 * time.Second, 20 * time.Second, true, tenWorkspaces},
	}
)

// Load at 150 percent for a minute, urgent and patient kinds. Guards against an order in
// which overload makes every kind late, starves one kind, or serves an urgent kind worse.
func TestOverloadServesAllKindsInTime(t *testing.T) {
	for name, kinds := range map[string][]*simKind{"A": loadA, "B": loadB} {
		total := 0.0
		for _, k := range kinds {
			total += k.perS
		}
		shares := map[bool]float64{}
		for _, fcfs := range []bool{true, false} {
			s := newSim(fcfs, int(total/1.5*1.8), 1800*time.Millisecond)
			inTime, last := 0, 2.0
			for _, k := range kinds {
				s.arrivals(k, start, start.Add(time.Minute))
			}
			s.run()
			sent := 0
			for _, k := range kinds {
				r := s.result(k.name)
				served, on := r.shares()
				t.Logf("%s fcfs=%v %-12s sent %d served %.2f in time %.2f refused late %d mean wait %v", name, fcfs, k.name, r.sent, served, on,
					r.refusedLate, (r.wait / time.Duration(r.sent)).Round(time.Millisecond))
				sent, inTime = sent+r.sent, inTime+r.inTime
				if fcfs {
					continue
				}
				if on < 0.4 {
					t.Errorf("%s: %s: %.2f in time", name, k.name, on)
				}
				if served > last+0.05 {
					t.Errorf("%s: %s is served more often (%.2f) than a more urgent kind (%.2f)", name, k.name, served, last)
				}
				last = min(last, served)
			}
			shares[fcfs] = float64(inTime) / float64(sent)
			t.Logf("%s fcfs=%v in time %.2f", name, fcfs, shares[fcfs])
		}
		if shares[false] < shares[true]+0.2 {
			t.Errorf("%s: %.2f in time, %.2f first come first served", name, shares[false], shares[true])
		}
	}
}
