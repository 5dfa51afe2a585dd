package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/retry"
)

// isolationFleet simulates hosts that run suspects and exchange their isolated runs over
// a network that delivers messages in any order.
type isolationFleet struct {
	now   time.Time
	hosts []*retry.Suspects
	// requests are suspects at every host.
	requests []retry.Fingerprint
	pending  []*pendingRun
	begun    []begunRun
	messages []message // sent and not delivered
}

// pendingRun is a permitted run whose host exchanges its isolated runs with all others.
type pendingRun struct {
	host, request, upstream int
	run                     *retry.Run
	replies                 int // still to come
}

type begunRun struct {
	host, request, upstream int
	run                     *retry.Run
}

// message is a list of isolated runs on its way. A call is answered with the list of its
// receiver; reply names the run that waits for the answer.
type message struct {
	from, to int
	runs     retry.RunList
	call     *pendingRun
	reply    *pendingRun
}

func newIsolationFleet(hosts, requests int) *isolationFleet {
	f := &isolationFleet{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for i := range requests {
		f.requests = append(f.requests, retry.NewFingerprint("w", "r", fmt.Appendf(nil, "%d", i)))
	}
	for range hosts {
		s := retry.NewSuspects(prometheus.NewRegistry())
		for _, request := range f.requests {
			s.Permit(f.now, request, "crashed")
		}
		s.Crashed(f.now, "crashed", "boot")
		f.hosts = append(f.hosts, s)
	}
	return f
}

func hostName(host int) string { return fmt.Sprint("host", host) }

func (f *isolationFleet) permit(host, request, upstream int) {
	run, verdict := f.hosts[host].Permit(f.now, f.requests[request], address(upstream))
	if verdict != retry.Allowed {
		return
	}
	p := &pendingRun{host: host, request: request, upstream: upstream, run: run, replies: len(f.hosts) - 1}
	f.pending = append(f.pending, p)
	for to := range f.hosts {
		if to != host {
			f.send(message{from: host, to: to, call: p})
		}
	}
}

// send sends a host's current list.
func (f *isolationFleet) send(m message) {
	_, m.runs = f.hosts[m.from].Export(f.now, noLimit)
	f.messages = append(f.messages, m)
}

func (f *isolationFleet) deliver(i int) {
	m := f.messages[i]
	f.messages = append(f.messages[:i], f.messages[i+1:]...)
	f.hosts[m.to].Merge(f.now, hostName(m.from), nil, m.runs)
	if m.call != nil {
		f.send(message{from: m.to, to: m.from, reply: m.call})
	}
	if m.reply != nil {
		m.reply.replies--
	}
}

// begin begins a run whose host has all replies.
func (f *isolationFleet) begin(i int) {
	p := f.pending[i]
	if p.replies > 0 {
		return
	}
	f.pending = append(f.pending[:i], f.pending[i+1:]...)
	if !p.run.Begin(f.now) {
		p.run.Ended()
		return
	}
	f.begun = append(f.begun, begunRun{p.host, p.request, p.upstream, p.run})
}

func (f *isolationFleet) check(t *rapid.T) {
	for i, a := range f.begun {
		for _, b := range f.begun[:i] {
			if a.upstream == b.upstream || a.request == b.request {
				t.Fatalf("suspect %d of host %d and suspect %d of host %d run at upstreams %d and %d at once",
					a.request, a.host, b.request, b.host, a.upstream, b.upstream)
			}
		}
	}
}

// pick draws an index of a list, -1 if the list is empty.
func pick(t *rapid.T, length int, label string) int {
	if length == 0 {
		return -1
	}
	return rapid.IntRange(0, length-1).Draw(t, label)
}

// simulatedSteps is the number of steps of a simulation; a violation takes about twelve.
const simulatedSteps = 60

// announcementTTL exceeds the time for which a host remembers a list that is not repeated.
const announcementTTL = 3 * time.Second

// step makes one random step.
func (f *isolationFleet) step(t *rapid.T, upstreams int) {
	switch rapid.SampledFrom([]string{"permit", "permit", "heartbeat", "deliver", "deliver", "deliver", "begin", "begin", "end", "forget"}).Draw(t, "step") {
	case "permit":
		f.permit(pick(t, len(f.hosts), "host"), pick(t, len(f.requests), "request"), pick(t, upstreams, "upstream"))
	case "heartbeat":
		from, to := pick(t, len(f.hosts), "from"), pick(t, len(f.hosts), "to")
		if from != to {
			f.send(message{from: from, to: to})
		}
	case "deliver":
		if i := pick(t, len(f.messages), "message"); i >= 0 {
			f.deliver(i)
		}
	case "begin":
		if i := pick(t, len(f.pending), "run"); i >= 0 {
			f.begin(i)
		}
	case "end":
		if i := pick(t, 4*len(f.begun), "run"); i >= 0 && i < len(f.begun) { // most runs take long
			f.begun[i].run.Ended()
			f.begun = append(f.begun[:i], f.begun[i+1:]...)
		}
	case "forget":
		f.forget()
	}
}

// forget lets all lists expire while no run waits for replies: hosts that hear of each
// other too late know of no run. Messages that are older than that are lost.
func (f *isolationFleet) forget() {
	if len(f.pending) == 0 {
		f.now = f.now.Add(announcementTTL)
		f.messages = nil
	}
}

// Guards against two suspects that run at one upstream, or one suspect that runs twice,
// whatever the order in which the hosts' announcements arrive: a crash could not be
// attributed then, and a request that crashes upstreams took down four of them.
func TestSuspectsRunAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newIsolationFleet(rapid.IntRange(2, 3).Draw(t, "hosts"), 2)
		upstreams := rapid.IntRange(1, 2).Draw(t, "upstreams")
		for range simulatedSteps {
			f.step(t, upstreams)
			f.check(t)
		}
	})
}

// Guards against hosts that all give way: of the suspects that wait for one upstream, one
// runs.
func TestOneOfTheSuspectsRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		f := newIsolationFleet(hosts, hosts)
		for host := range hosts {
			f.permit(host, host, 0)
		}
		for len(f.messages) > 0 {
			f.deliver(pick(t, len(f.messages), "message"))
		}
		for len(f.pending) > 0 {
			f.begin(pick(t, len(f.pending), "run"))
		}
		if len(f.begun) != 1 {
			t.Fatalf("%d of %d suspects run at one upstream", len(f.begun), hosts)
		}
	})
}

// Guards against a heartbeat that was overtaken by an announcement and makes a host forget
// the announced run.
func TestOlderListIsIgnored(t *testing.T) {
	f := newIsolationFleet(2, 2)
	_, older := f.hosts[0].Export(f.now, noLimit)
	if _, verdict := f.hosts[0].Permit(f.now, f.requests[1], address(0)); verdict != retry.Allowed {
		t.Fatalf("verdict %v", verdict)
	}
	_, newer := f.hosts[0].Export(f.now, noLimit)
	f.hosts[1].Merge(f.now, hostName(0), nil, newer)
	f.hosts[1].Merge(f.now, hostName(0), nil, older)
	if _, verdict := f.hosts[1].Permit(f.now, f.requests[0], address(0)); verdict != retry.AwaitIsolation {
		t.Errorf("verdict %v on a run beside an announced one", verdict)
	}
	// A new process of the host counts anew.

	f.hosts[1].Merge(f.now, hostName(0)+"/restarted", nil, retry.RunList{Sequence: 1, Runs: []retry.IsolatedRun{{Fingerprint: f.requests[1], Upstream: address(1)}}})
	if _, verdict := f.hosts[1].Permit(f.now, f.requests[0], address(1)); verdict != retry.AwaitIsolation {
		t.Errorf("verdict %v on a run beside one of a restarted host", verdict)
	}
}
