package admission

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/clock"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// referenceModel tracks the expected state of each request of a Scheduler.
type referenceModel struct {
	scheduler *admission.Scheduler
	now       time.Time
	waiting   map[*admission.Waiter]bool
	running   map[*admission.Waiter]bool
	capacity  map[string]int
}

// settle checks requests that the scheduler has dispatched or expired.
func (m *referenceModel) settle(t *rapid.T, decided []*admission.Waiter) {
	for _, w := range decided {
		if !m.waiting[w] {
			t.Fatalf("dispatched or expired a request that was not waiting: %+v", w.Request())
		}
		delete(m.waiting, w)
		switch w.State() {
		case admission.Dispatched:
			if !w.Request().Deadline.After(m.now) {
				t.Fatalf("dispatched after its deadline: %+v", w.Request())
			}
			m.running[w] = true
		case admission.Expired:
			if w.Request().Deadline.After(m.now) {
				t.Fatalf("expired before its deadline: %+v", w.Request())
			}
		default:
			t.Fatalf("dispatched or expired request in state %v", w.State())
		}
	}
}

// advance advances the clock. Deadlines may pass without a call of Expire.
func (m *referenceModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
}

// check asserts that no request waits beyond its deadline or while a slot is free,
// and that no waiter is lost.
func (m *referenceModel) check(t *rapid.T) {
	m.settle(t, m.scheduler.Expire(m.now))
	inFlight := map[string]int{}
	for w := range m.running {
		inFlight[w.Request().Model]++
	}
	for w := range m.waiting {
		if w.State() != admission.Waiting || !w.Request().Deadline.After(m.now) {
			t.Fatalf("state %v of a request that should wait: %+v", w.State(), w.Request())
		}
		if name := w.Request().Model; inFlight[name] < m.capacity[name] {
			t.Fatalf("model %s has %d of %d slots in use while a request waits", name, inFlight[name], m.capacity[name])
		}
	}
	count := m.scheduler.Dump().Waiting
	if count != len(m.waiting) {
		t.Fatalf("%d wait, want %d", count, len(m.waiting))
	}
	earliest, _ := m.scheduler.NextDeadline()
	for _, demand := range m.scheduler.Demands() {
		count -= demand.Waiting
		if demand.EarliestDeadline.Before(earliest) || !m.waitsUntil(demand) {
			t.Fatalf("wrong demand %+v, earliest deadline %v", demand, earliest)
		}
	}
	if count != 0 {
		t.Fatalf("%d waiting requests are missing from the demands", count)
	}
}

// waitsUntil reports whether the demand's deadline is the earliest one of the
// model's waiting requests.
func (m *referenceModel) waitsUntil(d admission.Demand) bool {
	found := false
	for w := range m.waiting {
		if r := w.Request(); r.Model == d.Model {
			found = found || r.Deadline.Equal(d.EarliestDeadline)
			if r.Deadline.Before(d.EarliestDeadline) {
				return false
			}
		}
	}
	return found
}

// pick returns a random request, or nil if there is none.
func pick(t *rapid.T, from map[*admission.Waiter]bool) *admission.Waiter {
	if len(from) == 0 {
		return nil
	}
	waiters := slices.SortedFunc(maps.Keys(from), func(a, b *admission.Waiter) int {
		return strings.Compare(a.Request().ID, b.Request().ID)
	})
	return rapid.SampledFrom(waiters).Draw(t, "waiter")
}

// Guards against waiters that are lost, outlive their deadline, or wait while a
// slot is free, under any sequence of operations.
func TestNoWaiterIsLost(t *testing.T) {
	for _, policy := range []admission.Policy{admission.Fair, admission.FCFS} {
		t.Run(string(policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { runOperations(t, policy) })
		})
	}
}

func runOperations(t *rapid.T, policy admission.Policy) {
	m := &referenceModel{
		scheduler: admission.NewScheduler(policy, admission.Limits{Waiting: 12, WaitingPerWorkspace: 5}),
		now:       start,
		waiting:   map[*admission.Waiter]bool{},
		running:   map[*admission.Waiter]bool{},
		capacity:  map[string]int{},
	}
	names := rapid.SampledFrom([]string{"m1", "m2"})
	sequence := 0
	t.Repeat(map[string]func(*rapid.T){
		// The operation labels "enter" and "leave" stay because the drawn sequences depend on them.
		"enter": func(t *rapid.T) {
			sequence++
			w, err := m.scheduler.Submit(m.now, admission.Request{
				ID:        fmt.Sprint("r", sequence),
				Model:     names.Draw(t, "model"),
				Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
				Weight:    rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "weight"),
				Priority:  admission.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
				Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline ms")) * time.Millisecond),
				Cost:      rapid.Float64Range(0, 500).Draw(t, "cost"),
			})
			switch {
			case err != nil:
			case w.State() == admission.Dispatched:
				m.running[w] = true
			default:
				m.waiting[w] = true
			}
		},
		"leave": func(t *rapid.T) {
			if w := pick(t, m.waiting); w != nil {
				if !m.scheduler.Cancel(w) {
					t.Fatal("a waiting request could not be canceled")
				}
				delete(m.waiting, w)
			}
		},
		"finish": func(t *rapid.T) {
			if w := pick(t, m.running); w != nil {
				delete(m.running, w)
				m.advance(t)
				m.settle(t, m.scheduler.Finish(m.now, w, admission.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))))
			}
		},
		"capacity": func(t *rapid.T) {
			name := names.Draw(t, "model")
			m.capacity[name] = rapid.IntRange(0, 4).Draw(t, "slots")
			m.advance(t)
			m.settle(t, m.scheduler.SetCapacity(m.now, name, m.capacity[name]))
		},
		"advance": m.advance,
		"":        func(t *rapid.T) { m.check(t) },
	})
	// Every request that still waits must end by its deadline.
	m.now = m.now.Add(time.Hour)
	m.check(t)
	if len(m.waiting) != 0 {
		t.Fatalf("%d requests wait after all deadlines", len(m.waiting))
	}
}

// Guards against unfair sharing: while two workspaces have requests waiting, their
// service by weight differs by at most one request of each (the bound of
// start-time fair queueing), whichever requests are canceled in between.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{
			"a": rapid.Float64Range(0.25, 4).Draw(t, "weight a"),
			"b": rapid.Float64Range(0.25, 4).Draw(t, "weight b"),
			"c": rapid.Float64Range(0.25, 4).Draw(t, "weight c"),
		}
		// More than the dispatches, so that every workspace always has waiting requests.
		const perWorkspace, dispatches = 150, 100
		s := admission.NewScheduler(admission.Fair, admission.Limits{Waiting: 1000, WaitingPerWorkspace: 1000})
		s.SetCapacity(start, "m", 1)
		running, err := s.Submit(start, admission.Request{Model: "m", Workspace: "z", Deadline: start.Add(time.Hour)})
		if err != nil {
			t.Fatal(err)
		}
		maxCost := map[string]float64{}
		var canceled []*admission.Waiter
		costs := rapid.SliceOfN(rapid.Float64Range(1, 300), perWorkspace, perWorkspace)
		for _, name := range []string{"a", "b", "c"} {
			for i, cost := range costs.Draw(t, "costs") {
				maxCost[name] = max(maxCost[name], cost)
				w, err := s.Submit(start, admission.Request{
					Model: "m", Workspace: name, Weight: weights[name], Cost: cost, Deadline: start.Add(time.Hour),
				})
				if err != nil {
					t.Fatal(err)
				}
				if i%10 == 5 {
					canceled = append(canceled, w)
				}
			}
		}
		service := map[string]float64{}
		for i := range dispatches {
			if i < len(canceled) {
				s.Cancel(canceled[i])
			}
			running = s.Finish(start, running, admission.Failed)[0]
			name := running.Request().Workspace
			service[name] += running.Request().Cost / weights[name]
			for f := range weights {
				for g := range weights {
					bound := maxCost[f]/weights[f] + maxCost[g]/weights[g]
					if difference := math.Abs(service[f] - service[g]); difference > bound+1e-6 {
						t.Fatalf("%s and %s differ by %v, more than %v, after %d dispatches", f, g, difference, bound, i+1)
					}
				}
			}
		}
	})
}

// Guards against lost wake-ups, leaked slots and calls that never return when
// dispatches, deadlines and cancellations race.
func TestConcurrentCallersAllEnd(t *testing.T) {
	const callers, requests, slots = 64, 60, 4
	c := admission.NewController(clock.System{}, admission.Fair, admission.DefaultLimits, prometheus.NewRegistry())
	c.SetCapacity("m", slots)
	var inFlight, late atomic.Int64
	var group conc.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for range requests {
				callOnce(t, c, random, &inFlight, &late)
			}
		})
	}
	for range 50 {
		c.SetCapacity("m", rand.N(slots)+1)
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	dump := c.Dump()
	if dump.Waiting != 0 || dump.Models[0].InFlight != 0 || late.Load() != 0 {
		t.Fatalf("%d wait, %d in flight, %d ended late", dump.Waiting, dump.Models[0].InFlight, late.Load())
	}
}

func callOnce(t *testing.T, c *admission.Controller, random *rand.Rand, inFlight, late *atomic.Int64) {
	const slots, lateness = 4, 500 * time.Millisecond
	deadline := time.Now().Add(time.Duration(random.IntN(20)) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(40))*time.Millisecond)
	defer cancel()
	ticket, err := c.Admit(ctx, admission.Request{Model: "m", Workspace: fmt.Sprint(random.IntN(3)), Deadline: deadline})
	if time.Since(deadline) > lateness {
		late.Add(1)
	}
	var refused *admission.DeadlineError
	if err != nil {
		if !errors.As(err, &refused) {
			t.Errorf("unexpected error %v", err)
		}
		return
	}
	if inFlight.Add(1) > slots {
		t.Error("more requests in flight than slots")
	}
	time.Sleep(time.Duration(random.IntN(500)) * time.Microsecond)
	inFlight.Add(-1)
	ticket.Done(admission.Completed)
}
