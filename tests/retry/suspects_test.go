package retry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/arbutusbank/arbutusbank/internal/retry"
)

const (
	guilty    = 0 // index of the request that crashes every upstream
	requests  = 5
	noLimit   = 1 << 20
	maxPasses = 2 // exchanges after which all hosts know the same
)

// running is one run of a request at an upstream.
type running struct {
	host, request int
	run           *retry.Run
	suspect       bool // was a suspect when it was permitted
}

// fleet simulates hosts that send the same few requests to upstreams, where
// only one request ever causes a crash.
type fleet struct {
	now          time.Time
	hosts        []*retry.Suspects
	upstreams    int
	boots        []int
	runs         []running // per upstream: at[run index]
	at           []int     // upstream of each run
	fingerprints [requests]retry.Fingerprint
	earlyCrashes int // by runs of the guilty request that were not isolated
	lateCrashes  int // by isolated runs of the guilty request
}

func newFleet(hosts, upstreams int) *fleet {
	f := &fleet{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), upstreams: upstreams, boots: make([]int, upstreams)}
	for range hosts {
		f.hosts = append(f.hosts, retry.NewSuspects(prometheus.NewRegistry()))
	}
	for i := range f.fingerprints {
		f.fingerprints[i] = retry.NewFingerprint("w", "r", fmt.Appendf(nil, "%d", i))
	}
	return f
}

func address(upstream int) string { return fmt.Sprint("u", upstream) }

// isSuspect reports whether crashes count against a request at a host.
func (f *fleet) isSuspect(host, request int) bool {
	for _, dump := range f.hosts[host].Dump(f.now) {
		if dump.Fingerprint == f.fingerprints[request].String() {
			return true
		}
	}
	return false
}

func (f *fleet) start(host, request, upstream int) {
	suspect := f.isSuspect(host, request)
	run, verdict := f.hosts[host].Permit(f.now, f.fingerprints[request], address(upstream))
	if verdict == retry.Allowed {
		f.runs = append(f.runs, running{host, request, run, suspect})
		f.at = append(f.at, upstream)
	}
}

func (f *fleet) drop(i int) {
	f.runs = append(f.runs[:i], f.runs[i+1:]...)
	f.at = append(f.at[:i], f.at[i+1:]...)
}

// complete ends the first run of an innocent request from position i on.
func (f *fleet) complete(i int) {
	for ; i < len(f.runs); i++ {
		if f.runs[i].request != guilty {
			f.runs[i].run.Completed(f.now)
			f.drop(i)
			return
		}
	}
}

// crash lets the guilty request crash an upstream where it runs.
func (f *fleet) crash(upstream int, lost bool) {
	cause := -1
	for i := range f.runs {
		if f.at[i] == upstream && f.runs[i].request == guilty {
			cause = i
		}
	}
	if cause < 0 {
		return
	}
	if f.runs[cause].suspect {
		f.lateCrashes++
	} else {
		f.earlyCrashes++
	}
	for i := len(f.runs) - 1; i >= 0; i-- {
		if f.at[i] != upstream {
			continue
		}
		if lost {
			f.runs[i].run.ConnectionLost(f.now)
		}
		f.drop(i)
	}
	for _, host := range f.hosts {
		host.Crashed(f.now, address(upstream), fmt.Sprint(f.boots[upstream]))
	}
	f.boots[upstream]++
}

func (f *fleet) exchange(from, to int) {
	if from != to {
		suspicions, runs := f.hosts[from].Export(f.now, noLimit)
		f.hosts[to].Merge(f.now, fmt.Sprint("host", from), suspicions, runs)
	}
}

func (f *fleet) exchangeAll() {
	for range maxPasses {
		for from := range f.hosts {
			for to := range f.hosts {
				f.exchange(from, to)
			}
		}
	}
}

func (f *fleet) checkInnocents(t *rapid.T) {
	for h, host := range f.hosts {
		for request := range f.fingerprints {
			if _, quarantined := host.Quarantined(f.now, f.fingerprints[request]); quarantined && request != guilty {
				t.Fatalf("host %d quarantined the innocent request %d: %+v", h, request, host.Dump(f.now))
			}
		}
	}
}

// operations returns the steps of the simulation.
func (f *fleet) operations() map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(f.hosts)-1)
	upstream := rapid.IntRange(0, f.upstreams-1)
	request := rapid.IntRange(0, requests-1)
	begin := func(t *rapid.T) {
		f.start(host.Draw(t, "host"), request.Draw(t, "request"), upstream.Draw(t, "upstream"))
	}
	return map[string]func(*rapid.T){
		"start":       begin,
		"start again": begin, // starts are the most frequent step
		"complete":    func(t *rapid.T) { f.complete(rapid.IntRange(0, 10).Draw(t, "run")) },
		"crash":       func(t *rapid.T) { f.crash(upstream.Draw(t, "upstream"), rapid.Bool().Draw(t, "lost")) },
		"exchange":    func(t *rapid.T) { f.exchange(host.Draw(t, "from"), host.Draw(t, "to")) },
		"advance": func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Guards against an innocent request that is quarantined, and against a guilty
// one that crashes more upstreams than the rules allow for, on one host.
func TestOneHostFindsTheGuiltyRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(1, rapid.IntRange(1, 5).Draw(t, "upstreams"))
		operations := f.operations()
		operations[""] = func(t *rapid.T) {
			f.checkInnocents(t)
			// An isolated run proves guilt unless an early run of the guilty
			// request made another one a suspect at the same upstream.
			if f.lateCrashes > 1+f.earlyCrashes {
				t.Fatalf("%d crashes by isolated runs after %d others", f.lateCrashes, f.earlyCrashes)
			}
		}
		t.Repeat(operations)
	})
}

// Guards against innocent requests that stay in quarantine once the hosts have
// exchanged what they know, whatever they did before they heard of each other.
func TestHostsClearInnocentRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 3).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "upstreams"))
		operations := f.operations()
		operations["exchange all"] = func(t *rapid.T) {
			f.exchangeAll()
			f.checkInnocents(t)
		}
		t.Repeat(operations)
		f.exchangeAll()
		f.checkInnocents(t)
	})
}

// Guards against retry storms: at no time may there be more retries than 10% of
// the requests plus 10.
func TestBudgetBound(t *testing.T) {
	budgets := &retry.Budgets{}
	var requests, retries atomic.Int64
	var group conc.WaitGroup
	for range 8 {
		group.Go(func() {
			budget := budgets.Route("r")
			for i := range 2000 {
				if i%3 == 0 {
					requests.Add(1)
					budget.RecordRequest()
				}
				if budget.Available() && budget.Take() {
					retries.Add(1)
				}
			}
		})
	}
	group.Wait()
	bound := 10 + requests.Load()/10
	if retries.Load() > bound || retries.Load() < bound-10 {
		t.Fatalf("%d retries after %d requests", retries.Load(), requests.Load())
	}
}
