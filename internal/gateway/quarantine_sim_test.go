package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	simStep = 10 * time.Millisecond
	// simFirstEvent is the time to the first event, at which a crashing request ends its engine.
	simFirstEvent = 100 * time.Millisecond
	simAnswer     = simFirstEvent + answeredAfter + 200*time.Millisecond
	// simDowntime is how long a crashed engine is away.
	simDowntime = 2 * time.Second
	// simTakeover is the time after which another host takes over a lease that ended by itself,
	// simHandover that after a stop.
	simTakeover = 2850 * time.Millisecond
	simHandover = 300 * time.Millisecond
	// simContact is how long after a disturbance a host is not in touch.
	simContact = 3 * time.Second
)

// simLease is held by the host that coordinates.
type simLease struct{}

func (simLease) Held() bool { return true }
func (simLease) Validity() (table.Position, time.Duration) {
	return table.Position{Revision: 1}, time.Second
}
func (simLease) TimeUntilOrders() time.Duration       { return 0 }
func (simLease) MayOrder(time.Duration) (int64, bool) { return 1, true }

// simFleet is a fleet state without engines.
type simFleet struct{ config *catalog.Config }

func (f simFleet) Config() *catalog.Config      { return f.config }
func (simFleet) Upstreams() []*catalog.Upstream { return nil }
func (simFleet) Paused(*catalog.Upstream) bool  { return false }
func (simFleet) Evacuated(string) bool          { return false }

// simulatedHost is a host: its knowledge of what crashes engines, and what has happened to it.
type simulatedHost struct {
	name      string
	q         *requestQuarantine
	downUntil time.Duration // killed or stopped until then
	// frozenUntil and cutUntil are the ends of a suspension, and of a cut from the other hosts.
	frozenUntil, cutUntil time.Duration
	disturbedAt           time.Duration // end of the last disturbance
	reachedAt             time.Duration // last reply of a coordinator; 0: none
	nextExchange          time.Duration
}

// simEngine is an engine with its runs.
type simEngine struct {
	id        string
	startedMS int64
	downUntil time.Duration
	runs      []*simRun
}

// simRun is a request at an engine.
type simRun struct {
	engine    *simEngine
	host      *simulatedHost
	q         *requestQuarantine // of the host's process
	keys      quarantineKeys
	bad       bool
	trial     *requestTrial
	at        time.Duration
	id        uint64
	survived  bool
	cancelled bool
	leavesAt  time.Duration // its caller has its answer, or leaves
	unwatch   func()
}

// simWait is a request that waits to be named for a trial.
type simWait struct {
	host  *simulatedHost
	q     *requestQuarantine
	keys  quarantineKeys
	names []quarantine.Key // for which it waits
	sound *simSound        // nil: a request that crashes engines
	until time.Duration
}

// simLook is a look at the engine of a trial whose caller left.
type simLook struct {
	at        time.Duration
	run       *simRun
	startedMS int64 // of the engine during the run
}

// simSound is the outcome of a sound request.
type simSound struct {
	at       time.Duration
	admitted bool
	inTouch  bool
}

// quarantineSim plays hosts, coordinators and engines in virtual time.
type quarantineSim struct {
	t       *testing.T // whose log has the events, with -v
	random  *rand.Rand
	now     time.Duration
	hosts   []*simulatedHost
	engines []*simEngine
	waits   []*simWait
	looks   []simLook

	holder     *simulatedHost // that coordinates; nil: none
	coord      *coordinator.Coordinator
	epoch      int64
	takeoverAt time.Duration
	requests   uint64
	// badAtHolder sends the crashing requests to the host that coordinates, so that it alone
	// loses their runs. leaving is the part of sound callers, in percent, that leave early.
	badAtHolder bool
	leaving     int

	crashes []time.Duration
	late    []time.Duration // arrivals of crashing requests from hosts in touch
	sounds  []*simSound
}

func newQuarantineSim(t *testing.T, seed uint64) *quarantineSim {
	s := &quarantineSim{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Hour}
	for i := range 3 + s.random.IntN(4) {
		h := &simulatedHost{name: fmt.Sprintf("host-%d", i)}
		s.startHost(h)
		s.hosts = append(s.hosts, h)
	}
	for i := range 12 {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprintf("e%d", i), startedMS: 1})
	}
	s.takeoverAt = s.now
	return s
}

func (s *quarantineSim) startHost(h *simulatedHost) {
	h.q = newRequestQuarantine()
	h.q.now = func() time.Duration { return s.now }
	h.q.host = h.name
	h.reachedAt = 0
}

func (s *quarantineSim) isUp(h *simulatedHost) bool {
	return s.now >= h.downUntil && s.now >= h.frozenUntil
}

func (s *quarantineSim) reaches(h *simulatedHost) bool {
	return s.holder != nil && s.isUp(h) && s.isUp(s.holder) && (h == s.holder || s.now >= h.cutUntil && s.now >= s.holder.cutUntil)
}

func (h *simulatedHost) coordinated(now time.Duration) bool {
	return h.reachedAt != 0 && now-h.reachedAt < reachedTimeout
}

// log logs an event with its time.
func (s *quarantineSim) log(format string, args ...any) {
	if testing.Verbose() {
		s.t.Logf("%7.2f s  %s", (s.now - time.Hour).Seconds(), fmt.Sprintf(format, args...))
	}
}

// step advances the time.
func (s *quarantineSim) step() {
	s.now += simStep
	if s.holder == nil && s.now >= s.takeoverAt {
		s.beginTerm()
	}
	for _, h := range s.hosts {
		if s.isUp(h) && s.now >= h.nextExchange {
			s.exchange(h)
		}
	}
	for _, e := range s.engines {
		s.advance(e)
	}
	s.waits = slices.DeleteFunc(s.waits, s.retry)
	s.looks = slices.DeleteFunc(s.looks, s.look)
}

// beginTerm makes a host the coordinator.
func (s *quarantineSim) beginTerm() {
	up := slices.DeleteFunc(slices.Clone(s.hosts), func(h *simulatedHost) bool { return !s.isUp(h) })
	if len(up) == 0 {
		return
	}
	s.holder = up[s.random.IntN(len(up))]
	s.epoch++
	s.log("%s coordinates, epoch %d", s.holder.name, s.epoch)
	var names []string
	for _, h := range s.hosts {
		names = append(names, h.name)
	}
	config := catalog.NewConfig(1, nil, nil, catalog.Limits{})
	s.coord = coordinator.NewWithClock(s.holder.name, simLease{}, simFleet{config}, nil, logr.Discard(), func() time.Duration { return s.now })
	s.coord.BeginTerm(s.epoch == 1, names)
}

// exchange makes one exchange of a host; now and then its reply is lost.
func (s *quarantineSim) exchange(h *simulatedHost) {
	h.nextExchange = s.now + exchangeInterval
	if !s.reaches(h) {
		return
	}
	report := h.q.report()
	epoch := int64(0)
	if report.epoch != noEpoch {
		epoch = report.epoch
	}
	reply := s.coord.Exchange(s.epoch, &coordinator.ExchangeRequest{
		Host: h.name, Epoch: epoch, ViewVersion: -1, LostRuns: report.lost, Answered: report.answered, Quarantines: report.quarantines,
		EvidenceVersion: report.evidence, TrialsWanted: report.wanted, Trials: report.trials,
	})
	if s.random.IntN(50) == 0 {
		return
	}
	h.reachedAt = s.now
	for _, d := range reply.Quarantines {
		if before := h.q.decided[d.Key]; before == nil {
			s.log("%s refuses %d for %d ms, trial %+v", h.name, d.Key, d.RemainingMS, d.Trial)
		}
	}
	for key := range h.q.decided {
		if !slices.ContainsFunc(reply.Quarantines, func(d coordinator.Quarantine) bool { return d.Key == key }) {
			s.log("%s is told that %d is not quarantined", h.name, key)
		}
	}
	if h.q.apply(report, reply) {
		h.nextExchange = s.now + minExchangeGap
	}
}

func (s *quarantineSim) exchangeSoon(h *simulatedHost) {
	h.nextExchange = min(h.nextExchange, s.now+minExchangeGap)
}

// send sends a request with some segments to a random host that is up.
func (s *quarantineSim) send(segments []quarantine.Key, bad bool) {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if bad && s.badAtHolder && s.holder != nil {
		h = s.holder
	}
	if !s.isUp(h) {
		return
	}
	s.requests++
	w := &simWait{host: h, q: h.q, keys: quarantineKeys{request: quarantine.Key(1_000_000 + s.requests), segments: segments}, until: s.now + trialWait}
	if !bad {
		w.sound = &simSound{at: s.now, inTouch: s.inTouch(h)}
		s.sounds = append(s.sounds, w.sound)
	}
	a, trial := w.q.admit(w.keys, h.coordinated(s.now), nil)
	if a.remaining <= 0 {
		s.run(w, trial)
		return
	}
	if len(a.wanted) > 0 && h.coordinated(s.now) && w.q.beginWait(a.wanted) {
		w.names = a.wanted
		s.exchangeSoon(h)
		s.waits = append(s.waits, w)
	}
}

// retry decides anew on a request that waits. It reports whether it waits no longer.
func (s *quarantineSim) retry(w *simWait) bool {
	if !s.isUp(w.host) || w.q != w.host.q {
		return w.q != w.host.q
	}
	a, trial := w.q.admit(w.keys, w.host.coordinated(s.now), nil)
	if a.remaining > 0 && s.now < w.until && len(a.wanted) > 0 {
		return false
	}
	w.q.endWait(w.names)
	if a.remaining <= 0 {
		s.run(w, trial)
	}
	return true
}

func (s *quarantineSim) inTouch(h *simulatedHost) bool {
	return s.now >= h.disturbedAt+simContact && s.now >= h.cutUntil
}

// run sends an admitted request to an engine.
func (s *quarantineSim) run(w *simWait, trial *requestTrial) {
	up := slices.DeleteFunc(slices.Clone(s.engines), func(e *simEngine) bool { return s.now < e.downUntil })
	if len(up) == 0 {
		w.q.finishTrial(trial)
		return
	}
	if w.sound != nil {
		w.sound.admitted = true
	} else if s.inTouch(w.host) {
		s.late = append(s.late, s.now)
	}
	if trial != nil || w.sound == nil {
		s.log("%s sends %v, trial %v, in touch %v, decided %v", w.host.name, w.keys.segments, trial != nil, s.inTouch(w.host), slices.Collect(maps.Keys(w.q.decided)))
	}
	e := up[s.random.IntN(len(up))]
	run := &simRun{engine: e, host: w.host, q: w.q, keys: w.keys, bad: w.sound == nil, trial: trial, at: s.now, id: s.requests}
	run.leavesAt = s.now + simAnswer
	if !run.bad && s.random.IntN(100) < s.leaving {
		run.leavesAt = s.now + time.Duration(s.random.Int64N(int64(simFirstEvent+answeredAfter)))
	}
	run.unwatch = w.q.watch(w.keys, func(error) { run.cancelled = true })
	e.runs = append(e.runs, run)
}

// advance lets the runs of an engine go on.
func (s *quarantineSim) advance(e *simEngine) {
	for _, run := range e.runs {
		if run.bad && !run.cancelled && s.now-run.at >= simFirstEvent {
			s.crash(e)
			return
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(run *simRun) bool {
		if run.q != run.host.q {
			return true // its host has been restarted
		}
		if !s.isUp(run.host) {
			return false
		}
		since := s.now - run.at
		if since >= simFirstEvent {
			run.unwatch()
		}
		if !run.survived && !run.cancelled && s.now < run.leavesAt && since >= simFirstEvent+answeredAfter {
			run.survived = true
			run.q.recordAnswer(run.keys)
		}
		if run.cancelled && since < simFirstEvent || s.now >= run.leavesAt {
			s.finish(run)
			return true
		}
		return false
	})
}

func (s *quarantineSim) finish(run *simRun) {
	run.unwatch()
	if run.trial != nil {
		run.trial.ran = true
	}
	run.q.finishTrial(run.trial)
	if run.trial != nil && run.leavesAt < run.at+simAnswer {
		s.looks = append(s.looks, simLook{at: s.now + probeDelay, run: run, startedMS: run.engine.startedMS})
	}
}

// look tells hosts whether engines have survived trials whose callers left. It reports whether
// it is time for that.
func (s *quarantineSim) look(l simLook) bool {
	if s.now < l.at {
		return false
	}
	if l.run.engine.startedMS == l.startedMS {
		l.run.q.endInconclusiveTrial(l.run.trial)
	}
	return true
}

// crash ends an engine, by a crashing request, and the runs at it.
func (s *quarantineSim) crash(e *simEngine) {
	s.crashes = append(s.crashes, s.now)
	s.log("crash %d", len(s.crashes))
	s.end(e)
}

// end ends an engine for whatever reason.
func (s *quarantineSim) end(e *simEngine) {
	if s.now < e.downUntil {
		return
	}
	for _, run := range e.runs {
		if run.q != run.host.q {
			continue
		}
		lost := quarantine.LostRun{ID: run.id, Upstream: e.id, StartedMS: e.startedMS, Request: run.keys.request}
		if !run.survived {
			lost.Segments = run.keys.segments
		}
		run.q.recordLostRun(lost)
		s.finish(run)
		s.exchangeSoon(run.host)
	}
	e.runs, e.startedMS, e.downUntil = nil, e.startedMS+1, s.now+simDowntime
}

// isKnownBeside reports whether the hosts would know their quarantines without one of them: what
// all hosts forget at once is learnt anew.
func (s *quarantineSim) isKnownBeside(h *simulatedHost) bool {
	return slices.ContainsFunc(s.hosts, func(other *simulatedHost) bool {
		return other != h && s.isUp(other) && s.inTouch(other) && other.coordinated(s.now)
	})
}

// disturb does one thing to a host: preferably to the one that coordinates.
func (s *quarantineSim) disturb() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if s.holder != nil && s.random.IntN(3) > 0 {
		h = s.holder
	}
	kind := s.random.IntN(5)
	if kind < 2 && !s.isKnownBeside(h) {
		kind = 2
	}
	lasts := time.Second + time.Duration(s.random.Int64N(int64(4*time.Second)))
	takeover := simTakeover
	s.log("%s: %s for %v", h.name, []string{"killed", "stopped", "suspended", "cut off from the store", "cut off from the hosts"}[kind], lasts)
	switch kind {
	case 0: // killed, and started again
		h.downUntil = s.now + lasts
		s.startHost(h)
	case 1: // stopped, and started again
		h.downUntil, takeover = s.now+lasts, simHandover
		s.startHost(h)
	case 2: // suspended
		h.frozenUntil = s.now + lasts
		if lasts < 2*time.Second {
			takeover = 0 // the lease holds on
		}
	case 3: // cut off from the store: it gives the lease up
	default: // cut off from the other hosts
		h.cutUntil, takeover = s.now+lasts, 0
	}
	h.disturbedAt = max(h.disturbedAt, h.downUntil, h.frozenUntil, h.cutUntil, s.now)
	if h == s.holder && takeover > 0 {
		s.holder, s.takeoverAt = nil, s.now+takeover
	}
}
