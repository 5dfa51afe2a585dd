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
	poison    = 0 // index of the request that crashes every upstream it runs at
	requests  = 5
	noLimit   = 1 << 20
	maxPasses = 2 // exchanges between all hosts after which their states agree
)

// running is a run of a request at an upstream.
type running struct {
	host, request int
	run           *retry.Run
	suspect       bool // was a suspect when it was permitted
}

// fleet simulates hosts that send the same few requests to upstreams. Only the
// poison request causes crashes.
type fleet struct {
	now               time.Time
	hosts             []*retry.Suspects
	upstreams         int
	boots             []int
	runs              []running // runs in progress, in the order of at
	at                []int     // upstream of each run
	fingerprints      [requests]retry.Fingerprint
	unisolatedCrashes int // caused by runs of the poison request that were not isolated
	isolatedCrashes   int // caused by isolated runs of the poison request
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

// isSuspect reports whether a host has uncleared crash records of a request.
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

// complete completes the first run of a harmless request from index i on.
func (f *fleet) complete(i int) {
	for ; i < len(f.runs); i++ {
		if f.runs[i].request != poison {
			f.runs[i].run.Completed(f.now)
			f.drop(i)
			return
		}
	}
}

// crash crashes an upstream if the poison request runs there.
func (f *fleet) crash(upstream int, lost bool) {
	cause := -1
	for i := range f.runs {
		if f.at[i] == upstream && f.runs[i].request == poison {
			cause = i
		}
	}
	if cause < 0 {
		return
	}
	if f.runs[cause].suspect {
		f.isolatedCrashes++
	} else {
		f.unisolatedCrashes++
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

func (f *fleet) checkHarmless(t *rapid.T) {
	for h, host := range f.hosts {
		for request := range f.fingerprints {
			if _, quarantined := host.Quarantined(f.now, f.fingerprints[request]); quarantined && request != poison {
				t.Fatalf("host %d quarantined the harmless request %d: %+v", h, request, host.Dump(f.now))
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

// Guards against a harmless request that is quarantined, and against a poison request
// that crashes more upstreams than the rules allow, on one host.
func TestOneHostQuarantinesThePoisonRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(1, rapid.IntRange(1, 5).Draw(t, "upstreams"))
		operations := f.operations()
		operations[""] = func(t *rapid.T) {
			f.checkHarmless(t)
			// A crash during an isolated run can be attributed unless an early run of
			// the poison request made another request a suspect at that upstream.
			if f.isolatedCrashes > 1+f.unisolatedCrashes {
				t.Fatalf("%d crashes by isolated runs after %d others", f.isolatedCrashes, f.unisolatedCrashes)
			}
		}
		t.Repeat(operations)
	})
}

// Guards against harmless requests that are quarantined after the hosts have
// exchanged their states, whatever they ran before the exchange.
func TestHostsClearHarmlessRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 3).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "upstreams"))
		operations := f.operations()
		operations["exchange all"] = func(t *rapid.T) {
			f.exchangeAll()
			f.checkHarmless(t)
		}
		t.Repeat(operations)
		f.exchangeAll()
		f.checkHarmless(t)
	})
}

// Guards against retry storms: retries never exceed 10% of the requests plus 10.
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
