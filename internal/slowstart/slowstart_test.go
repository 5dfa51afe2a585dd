package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	trialSlots    = 16
	trialUsual    = 60 * time.Millisecond
	trialTick     = 5 * time.Millisecond
	trialTime     = 40 * time.Second
	exchangeDelay = 400 * time.Millisecond
)

// server is an upstream that starts at time 0. Up to slowUntil its answers take factor times as
// long as usual, or it refuses (0). It loses all runs at each of crashes.
type server struct {
	name      string
	slowUntil time.Duration
	factor    float64
	crashes   []time.Duration
}

type trialRun struct {
	host       int
	sent, ends time.Duration // ends 0: queued
	overdue    bool
}

// tally is the result of a trial: requests that were late (five times the usual time), refused or
// lost, the most at a time while the server was slow, and the slot seconds by which less than 10
// slots were used afterwards, of the 10.8 that the demand takes.
type tally struct {
	sent, late, failed, peak int
	wasted                   float64
}

// try runs a trial: hosts that all see the upstream start, beside others that serve what it does
// not. Its share of the demand is 180 requests per second, divided by its pace as they know it.
// rule nil: no windows.
func (result *tally) try(rule *Rule, hosts int, s server, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	in := Incarnation{"s", 1}
	trackers, own := make([]*Tracker, hosts), make([]int, hosts)
	for i := range trackers {
		r := Doubling
		if rule != nil {
			r = *rule
		}
		phase := random.Float64()
		trackers[i] = NewTracker(r, func(string) float64 { return phase })
		trackers[i].SetHosts(hosts)
		trackers[i].Begin(0, in, "", Started, 0, trialSlots)
	}
	var runs []*trialRun
	pace, shared, sharedNext, due, crashed := 1.0, 1.0, 1.0, 0.0, 0
	answer := func(host int, ratio float64, now time.Duration) {
		trackers[host].Answer(now, in, ratio, own[host])
		pace += 0.2 * (ratio - pace)
	}
	for now := time.Duration(0); now < trialTime; now += trialTick {
		if now%exchangeDelay == 0 {
			shared, sharedNext = sharedNext, pace
			pace += 0.05 * (1 - pace)
			for _, t := range trackers {
				t.Sweep(now, func(Incarnation, string) View { return View{shared, trialUsual} })
			}
		}
		factor := 1.0
		if now < s.slowUntil {
			factor = s.factor
		}
		crash := crashed < len(s.crashes) && now >= s.crashes[crashed]
		busy, kept := 0, runs[:0]
		for _, r := range runs {
			took := now - r.sent
			switch {
			case crash:
				result.failed++
				own[r.host]--
				trackers[r.host].Begin(now, in, "", Recovered, now+500*time.Millisecond, trialSlots)
				continue
			case r.ends > 0 && now >= r.ends:
				answer(r.host, float64(took)/float64(trialUsual), now)
				own[r.host]--
				if took > 5*trialUsual {
					result.late++
				}
				continue
			case r.ends == 0 && busy < trialSlots && factor > 0:
				r.ends = now + time.Duration(factor*float64(trialUsual))
			}
			if r.ends > 0 {
				busy++
			}
			if !r.overdue && took > 3*trialUsual {
				r.overdue = true
				answer(r.host, 3, now)
			}
			kept = append(kept, r)
		}
		runs = kept
		if crash {
			crashed++
		}
		if factor != 1 {
			result.peak = max(result.peak, len(runs))
		} else {
			result.wasted += float64(max(0, 10-busy)) * trialTick.Seconds()
		}
		for due += 180 * trialTick.Seconds(); due >= 1; due-- {
			h := random.IntN(hosts)
			window, limited := trackers[h].Window(now, in)
			if random.Float64()*shared > 1 || rule != nil && limited && float64(own[h]) >= window {
				continue
			}
			result.sent++
			if factor == 0 || len(runs) >= 2*trialSlots {
				result.failed++
				trackers[h].Refused(now, in)
				continue
			}
			own[h]++
			runs = append(runs, &trialRun{host: h, sent: now})
		}
	}
}

// Guards against a window that lets a flood through to an upstream that can't answer yet, or that
// leaves a fast one idle. With -v it prints the figures of docs/design/slow-start.md.
func TestRulesAtStartingServers(t *testing.T) {
	const seeds = 5
	for _, hosts := range []int{2, 87} {
		for _, s := range []server{
			{name: "slow 1 s", slowUntil: time.Second, factor: 10}, {name: "slow 5 s", slowUntil: 5 * time.Second, factor: 10},
			{name: "slow 20 s", slowUntil: 20 * time.Second, factor: 10}, {name: "fast at once"},
			{name: "refuses 5 s", slowUntil: 5 * time.Second}, {name: "1.6 x usual", slowUntil: trialTime, factor: 1.6},
			{name: "flapping", crashes: []time.Duration{3 * time.Second, 6 * time.Second, 9 * time.Second}},
		} {
			var results [4]tally
			for i, rule := range []*Rule{nil, &Doubling, &Additive, &Gradient} {
				r := &results[i]
				for seed := range uint64(seeds) {
					r.try(rule, hosts, s, seed)
				}
				name := "none"
				if rule != nil {
					name = rule.Name
				}
				t.Logf("%2d hosts, %-12s %-8s: sent %4d late %3d failed %3d peak %2d wasted %5.1f", hosts, s.name, name, r.sent/seeds, r.late/seeds, r.failed/seeds, r.peak, r.wasted/seeds)
			}
			none, chosen := results[0], results[1]
			if s.factor != 1.6 && s.slowUntil > 0 && 4*(chosen.late+chosen.failed) > none.late+none.failed {
				t.Errorf("%d hosts, %s: %+v, without a window %+v", hosts, s.name, chosen, none)
			}
			if s.slowUntil == 0 && chosen.wasted > none.wasted+25*seeds {
				t.Errorf("%d hosts, %s: %+v, without a window %+v", hosts, s.name, chosen, none)
			}
		}
	}
}

// Guards against a start that grows with the number of hosts, and a window that outlives MaxAge or
// opens by the time of a freeze.
func TestWindowOfAllHosts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	in := Incarnation{"s", 1}
	idle := func(Incarnation, string) View { return View{Pace: 1} }
	for _, hosts := range []int{2, 8, 87, 195} {
		sum := 0.0
		const starts = 500
		for range starts * hosts {
			tracker := NewTracker(Doubling, func(string) float64 { return random.Float64() })
			tracker.SetHosts(hosts)
			tracker.Begin(0, in, "", Started, 0, 32)
			own, _ := tracker.Window(0, in)
			sum += own / starts
			tracker.Sweep(0, idle)
			tracker.Sweep(20*time.Second, idle) // frozen
			if _, limited := tracker.Window(20*time.Second, in); !limited {
				t.Fatal("opened by a freeze")
			}
			if _, limited := tracker.Window(MaxAge, in); limited || len(tracker.Sweep(MaxAge, idle)) != 1 || tracker.Len() != 0 {
				t.Fatal("window without end")
			}
		}
		if sum < 0.8*StartSize || sum > 1.2*StartSize {
			t.Errorf("%d hosts start with %.2f requests", hosts, sum)
		}
	}
}
