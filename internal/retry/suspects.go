package retry

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// lostRunTime is how long a run whose connection was lost may still turn out to
// have been ended by a crash.
const lostRunTime = 5 * time.Second

// yieldTime is how long a suspect waits for another one to run first: the engine
// restarts, and the request is sent again.
const yieldTime = 4 * time.Second

// Verdict says whether a request may run at an upstream now.
type Verdict uint8

// Verdicts of Permit.
const (
	Allowed        Verdict = iota
	AwaitIsolation         // a suspect must wait or try another upstream
	Quarantined            // refused everywhere for now
)

// Suspects tracks which requests run where and which of them were running at
// upstreams that crashed. A request that has shared a crash is a suspect and
// runs again only where no other suspect runs. It is quarantined when it has
// been at two crashes and was the only suspect at one of them, or at three
// crashes, was sent as the only suspect to two of them, and no single other
// suspect was at all of these: an innocent request may share any number of
// crashes with the guilty one. It is safe for concurrent use.
type Suspects struct {
	metrics *suspectMetrics

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	runs     map[string]map[*Run]struct{} // by upstream
	isolated map[Fingerprint]*Run         // suspects of this host that run
	peerRuns map[string]peerRuns          // by peer
	lost     map[*Run]time.Time           // connection lost, crash not confirmed
	changed  chan struct{}                // nil while nobody waits for a change
}

// NewSuspects returns an empty Suspects.
func NewSuspects(registerer prometheus.Registerer) *Suspects {
	s := &Suspects{
		suspects: map[Fingerprint]*suspect{},
		runs:     map[string]map[*Run]struct{}{},
		isolated: map[Fingerprint]*Run{},
		peerRuns: map[string]peerRuns{},
		lost:     map[*Run]time.Time{},
	}
	s.metrics = newSuspectMetrics(registerer, s.count)
	return s
}

// Permit asks to run a request at an upstream. When it is allowed, the caller
// must end the Run.
func (s *Suspects) Permit(now time.Time, f Fingerprint, upstream string) (*Run, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, isolate := s.judge(now, f, upstream)
	if verdict != Allowed {
		s.metrics.refused(verdict)
		return nil, verdict
	}
	run := &Run{suspects: s, fingerprint: f, upstream: upstream, isolated: isolate}
	s.start(run)
	return run, Allowed
}

// judge applies the rules; isolate reports whether the request is a suspect.
func (s *Suspects) judge(now time.Time, f Fingerprint, upstream string) (verdict Verdict, isolate bool) {
	if _, quarantined := s.quarantined(now, f); quarantined {
		return Quarantined, false
	}
	if !s.suspected(now, f) {
		return Allowed, false
	}
	if s.isolated[f] != nil || s.suspectRunsAt(now, f, upstream) || s.peerInTheWay(now, f, upstream) || s.yields(now, f) {
		return AwaitIsolation, true
	}
	return Allowed, true
}

func (s *Suspects) start(run *Run) {
	runs, ok := s.runs[run.upstream]
	if !ok {
		runs = map[*Run]struct{}{}
		s.runs[run.upstream] = runs
	}
	runs[run] = struct{}{}
	if run.isolated {
		s.isolated[run.fingerprint] = run
	}
}

// Changed returns a channel that is closed when a suspect may have become free to
// run: a run ended, or something was learned. A request that is Busy takes the
// channel, asks again, and then waits for it. Expiry closes no channel, so the
// wait should also end after a heartbeat.
func (s *Suspects) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify wakes those who wait for a change. It requires s.mu.
func (s *Suspects) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// PermittedUpstreams returns the candidates at which a request may run now. All of them
// are returned for a request that is no suspect; none for one that must wait.
func (s *Suspects) PermittedUpstreams(now time.Time, f Fingerprint, candidates []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects) == 0 && len(s.lost) == 0 {
		return candidates
	}
	var permitted []string
	for _, upstream := range candidates {
		if verdict, _ := s.judge(now, f, upstream); verdict == Allowed {
			permitted = append(permitted, upstream)
		}
	}
	return permitted
}

// Quarantined reports whether a request is refused everywhere, and until when.
func (s *Suspects) Quarantined(now time.Time, f Fingerprint) (until time.Time, quarantined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantined(now, f)
}

func (s *Suspects) quarantined(now time.Time, f Fingerprint) (time.Time, bool) {
	known := s.known(now, f)
	if known == nil || known.active() < quarantineCrashes {
		return time.Time{}, false
	}
	isolated := known.isolatedCrashes()
	if known.active() > quarantineCrashes && len(isolated) >= quarantineCrashes && !s.shared(f, isolated...) {
		return known.lastExpiry(), true
	}
	for _, crash := range isolated {
		if !s.shared(f, crash) {
			return known.lastExpiry(), true
		}
	}
	return time.Time{}, false
}

// yields reports whether another suspect goes first. Two requests that shared all
// crashes to which one of them was sent alone can't be told apart, and another shared
// crash would not help: hosts that have not heard of each other's runs send both at
// once. The one with the lower fingerprint runs first, so that either it completes or
// its crash is its own.
func (s *Suspects) yields(now time.Time, f Fingerprint) bool {
	known := s.known(now, f)
	if known == nil {
		return false
	}
	isolated := known.isolatedCrashes()
	if len(isolated) == 0 {
		return false
	}
	for other, suspect := range s.suspects {
		goesFirst := bytes.Compare(other[:], f[:]) < 0 && now.Sub(suspect.lastChange()) < yieldTime
		if goesFirst && suspect.active() >= quarantineCrashes && suspect.wasAtAll(isolated) {
			return true
		}
	}
	return false
}

// shared reports whether another request that is a suspect because of another
// crash, too, was at all of the given crashes: then they prove nothing. It
// happens when a request became a suspect while it ran beside an isolated run,
// and when two hosts had not yet heard of each other's runs.
func (s *Suspects) shared(f Fingerprint, crashes ...Crash) bool {
	for other, known := range s.suspects {
		if other != f && known.active() >= quarantineCrashes && known.wasAtAll(crashes) {
			return true
		}
	}
	return false
}

// known returns the unexpired knowledge about a fingerprint, or nil.
func (s *Suspects) known(now time.Time, f Fingerprint) *suspect {
	known, ok := s.suspects[f]
	if !ok {
		return nil
	}
	known.dropExpired(now)
	if len(known.records) == 0 {
		delete(s.suspects, f)
		return nil
	}
	return known
}

// suspected reports whether a request must be isolated. A lost connection may
// turn out to be a crash, so the request counts as a suspect until it is known.
func (s *Suspects) suspected(now time.Time, f Fingerprint) bool {
	if known := s.known(now, f); known != nil && known.active() > 0 {
		return true
	}
	s.dropLost(now)
	for run := range s.lost {
		if run.fingerprint == f {
			return true
		}
	}
	return false
}

// suspectRunsAt reports whether another suspect of this host runs at an
// upstream. A request that became a suspect while it ran counts.
func (s *Suspects) suspectRunsAt(now time.Time, f Fingerprint, upstream string) bool {
	for run := range s.runs[upstream] {
		if _, lost := s.lost[run]; lost {
			continue
		}
		if run.fingerprint != f && s.suspected(now, run.fingerprint) {
			return true
		}
	}
	return false
}

// peerInTheWay reports whether a peer runs a suspect at the upstream, or the
// same request anywhere: one run at a time bounds the crashes that a guilty
// request causes.
func (s *Suspects) peerInTheWay(now time.Time, f Fingerprint, upstream string) bool {
	inTheWay := func(run IsolatedRun) bool { return run.Upstream == upstream || run.Fingerprint == f }
	for _, peer := range s.peerRuns {
		if peer.expires.After(now) && slices.ContainsFunc(peer.runs, inTheWay) {
			return true
		}
	}
	return false
}

// dropLost forgets lost runs that no crash was found for.
func (s *Suspects) dropLost(now time.Time) {
	for run, at := range s.lost {
		if now.Sub(at) >= lostRunTime {
			s.remove(run)
		}
	}
}

// remove takes a run out of all indexes.
func (s *Suspects) remove(run *Run) {
	delete(s.lost, run)
	runs := s.runs[run.upstream]
	delete(runs, run)
	if len(runs) == 0 {
		delete(s.runs, run.upstream)
	}
	s.releaseIsolation(run)
	s.notify()
}

func (s *Suspects) releaseIsolation(run *Run) {
	if s.isolated[run.fingerprint] == run {
		delete(s.isolated, run.fingerprint)
	}
}

// Crashed records that an upstream crashed: every request running there becomes
// a suspect. Boot is the boot ID that ended. It reports whether a request is
// newly quarantined, in which case peers should be told at once.
func (s *Suspects) Crashed(now time.Time, upstream, boot string) (quarantine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLost(now)
	crash := Crash{Upstream: upstream, Boot: boot}
	for run := range s.runs[upstream] {
		s.remove(run)
		s.accuse(now, run.fingerprint, record{
			crash: crash, isolated: run.isolated, changed: now, expires: now.Add(SuspicionTTL),
		})
		if _, ok := s.quarantined(now, run.fingerprint); ok {
			s.metrics.quarantined.Inc()
			quarantine = true
		}
	}
	return quarantine
}

// accuse adds or merges a record.
func (s *Suspects) accuse(now time.Time, f Fingerprint, r record) {
	known := s.known(now, f)
	if known == nil {
		s.makeRoom()
		known = &suspect{}
		s.suspects[f] = known
	}
	if old := known.find(r.crash); old != nil {
		old.merge(r)
		return
	}
	known.add(r)
}

// makeRoom drops the suspect that expires first when the bound is reached.
func (s *Suspects) makeRoom() {
	if len(s.suspects) < maxSuspects {
		return
	}
	var victim Fingerprint
	var earliest time.Time
	for f, known := range s.suspects {
		if expiry := known.lastExpiry(); earliest.IsZero() || expiry.Before(earliest) {
			victim, earliest = f, expiry
		}
	}
	delete(s.suspects, victim)
}

func (s *Suspects) count() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.suspects))
}
