package retry

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// lostRunTTL is how long after the loss of a connection a reported crash of the
// upstream is attributed to the run.
const lostRunTTL = 5 * time.Second

// deferTimeout is how long after the last change of its crash records a suspect
// with priority makes others wait (see mustDefer). It covers the restart of the engine and the retry of that request.
const deferTimeout = 4 * time.Second

// Verdict is the result of Permit.
type Verdict uint8

// Verdicts.
const (
	Allowed        Verdict = iota
	AwaitIsolation         // suspect: must wait or try another upstream
	Quarantined            // refused at every upstream until the records expire
)

// Suspects tracks the runs of requests at upstreams and the crashes during which
// they were in progress. A request with an uncleared crash record is a suspect: it
// runs again only isolated, at an upstream without any other suspect.
//
// A suspect is quarantined after two crashes if it ran isolated during one of
// them and no other suspect with two crashes was involved in that one; or after
// three crashes if it ran isolated during two of them and no single other suspect
// was involved in all of these. A harmless request may share any number of crashes
// with the request that causes them, so shared crashes alone prove nothing.
//
// Suspects is safe for concurrent use.
type Suspects struct {
	metrics  *suspectMetrics
	segments *Segments

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	runs     map[string]map[*Run]struct{} // by upstream
	isolated map[Fingerprint]*Run         // runs of suspects at this host
	peerRuns map[string]peerRuns          // by peer process
	// runSequence numbers the exported lists of isolated runs.
	runSequence uint64
	lostRuns    map[*Run]time.Time // time of the loss; no crash reported yet
	lastCrashes map[string]string  // boot ID of the last crash, by upstream
	changed     chan struct{}      // nil while nothing waits for a change
}

// NewSuspects returns an empty Suspects and registers its metrics.
func NewSuspects(registerer prometheus.Registerer) *Suspects {
	s := &Suspects{
		segments: newSegments(),
		suspects: map[Fingerprint]*suspect{},
		runs:     map[string]map[*Run]struct{}{},
		isolated: map[Fingerprint]*Run{},
		peerRuns: map[string]peerRuns{},
		lostRuns: map[*Run]time.Time{}, lastCrashes: map[string]string{},
	}
	s.metrics = newSuspectMetrics(registerer, s.count)
	return s
}

// Segments returns the attribution of crashes to segments that requests share.
func (s *Suspects) Segments() *Segments { return s.segments }

// Permit decides whether a request may run at an upstream now, and records the run
// if it may. The segments are those of the prompt that other requests may share. The Run is nil unless the verdict is Allowed; the caller must end it
// with Completed, Ended or ConnectionLost.
func (s *Suspects) Permit(now time.Time, f Fingerprint, upstream string, segments ...quarantine.Key) (*Run, Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, isolate := s.classify(now, f, upstream)
	if verdict != Allowed {
		s.metrics.countRefusal(verdict)
		return nil, verdict
	}
	run := &Run{suspects: s, fingerprint: f, upstream: upstream, isolated: isolate, id: rand.Uint64(), segments: segments}
	s.addRun(run)
	return run, Allowed
}

// classify returns the verdict on a request at an upstream, and whether the
// request is a suspect that must run isolated.
func (s *Suspects) classify(now time.Time, f Fingerprint, upstream string) (verdict Verdict, isolate bool) {
	if _, quarantined := s.quarantined(now, f); quarantined {
		return Quarantined, false
	}
	if !s.isSuspect(now, f) {
		return Allowed, false
	}
	if s.isolated[f] != nil || s.otherSuspectRunsAt(now, f, upstream) || s.blockedByPeer(now, f, upstream) || s.mustDefer(now, f) {
		return AwaitIsolation, true
	}
	return Allowed, true
}

// addRun indexes a permitted run.
func (s *Suspects) addRun(run *Run) {
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

// Changed returns a channel that is closed when a suspect may have become
// permitted: a run ended, or a peer's state was merged. After the verdict
// AwaitIsolation, the caller takes the channel, calls Permit again, and then waits
// for the channel. Expiry of a record does not close it, so the wait should be
// bounded by a heartbeat interval.
func (s *Suspects) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify closes the channel returned by Changed. It requires s.mu.
func (s *Suspects) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// PermittedUpstreams returns the candidates for which Permit would return Allowed:
// all of them for a request that is not a suspect.
func (s *Suspects) PermittedUpstreams(now time.Time, f Fingerprint, candidates []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects) == 0 && len(s.lostRuns) == 0 {
		return candidates
	}
	var permitted []string
	for _, upstream := range candidates {
		if verdict, _ := s.classify(now, f, upstream); verdict == Allowed {
			permitted = append(permitted, upstream)
		}
	}
	return permitted
}

// Quarantined reports whether a request is refused at every upstream, and until
// when.
func (s *Suspects) Quarantined(now time.Time, f Fingerprint) (until time.Time, quarantined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantined(now, f)
}

func (s *Suspects) quarantined(now time.Time, f Fingerprint) (time.Time, bool) {
	entry := s.lookup(now, f)
	if entry == nil || entry.activeCrashes() < quarantineCrashes {
		return time.Time{}, false
	}
	isolated := entry.isolatedCrashes()
	if entry.activeCrashes() > quarantineCrashes && len(isolated) >= quarantineCrashes && !s.explainedByOther(f, isolated...) {
		return entry.lastExpiry(), true
	}
	for _, crash := range isolated {
		if !s.explainedByOther(f, crash) {
			return entry.lastExpiry(), true
		}
	}
	return time.Time{}, false
}

// mustDefer reports whether another suspect has priority. If one request was
// involved in all crashes during which another one ran isolated, the two cannot be
// told apart, and hosts that have not yet received each other's announcements would
// run both at one upstream again. The request with the lower fingerprint therefore
// runs first: it either completes or crashes an upstream on its own.
func (s *Suspects) mustDefer(now time.Time, f Fingerprint) bool {
	entry := s.lookup(now, f)
	if entry == nil {
		return false
	}
	isolated := entry.isolatedCrashes()
	if len(isolated) == 0 {
		return false
	}
	for other, suspect := range s.suspects {
		hasPriority := bytes.Compare(other[:], f[:]) < 0 && now.Sub(suspect.lastChange()) < deferTimeout
		if hasPriority && suspect.activeCrashes() >= quarantineCrashes && suspect.involvedInAll(isolated) {
			return true
		}
	}
	return false
}

// explainedByOther reports whether another request with at least two uncleared
// crashes was involved in all of the given crashes, which then cannot be
// attributed. This occurs when a request became a suspect while it ran beside an
// isolated run, and when two hosts had not yet received each other's announcements.
func (s *Suspects) explainedByOther(f Fingerprint, crashes ...Crash) bool {
	for other, entry := range s.suspects {
		if other != f && entry.activeCrashes() >= quarantineCrashes && entry.involvedInAll(crashes) {
			return true
		}
	}
	return false
}

// Suspected reports whether a request may run isolated only.
func (s *Suspects) Suspected(now time.Time, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isSuspect(now, f)
}

// lookup returns the suspect with unexpired records of a fingerprint, or nil.
func (s *Suspects) lookup(now time.Time, f Fingerprint) *suspect {
	entry, ok := s.suspects[f]
	if !ok {
		return nil
	}
	entry.dropExpired(now)
	if len(entry.records) == 0 {
		delete(s.suspects, f)
		return nil
	}
	return entry
}

// isSuspect reports whether a request must run isolated. A request whose
// connection was lost counts as a suspect for lostRunTTL, because a crash may be
// the cause.
func (s *Suspects) isSuspect(now time.Time, f Fingerprint) bool {
	if entry := s.lookup(now, f); entry != nil && entry.activeCrashes() > 0 {
		return true
	}
	s.expireLostRuns(now)
	for run := range s.lostRuns {
		if run.fingerprint == f {
			return true
		}
	}
	return false
}

// otherSuspectRunsAt reports whether another suspect of this host runs at an
// upstream, including one that became a suspect while it ran.
func (s *Suspects) otherSuspectRunsAt(now time.Time, f Fingerprint, upstream string) bool {
	for run := range s.runs[upstream] {
		if _, lost := s.lostRuns[run]; lost {
			continue
		}
		if run.fingerprint != f && s.isSuspect(now, run.fingerprint) {
			return true
		}
	}
	return false
}

// blockedByPeer reports whether a peer runs a suspect at the upstream, or the
// same request at any upstream. One run at a time bounds the number of crashes that
// one request causes.
func (s *Suspects) blockedByPeer(now time.Time, f Fingerprint, upstream string) bool {
	blocks := func(run IsolatedRun) bool { return run.Upstream == upstream || run.Fingerprint == f }
	for _, peer := range s.peerRuns {
		if peer.expires.After(now) && slices.ContainsFunc(peer.Runs, blocks) {
			return true
		}
	}
	return false
}

// expireLostRuns removes lost runs for which no crash was reported in time.
func (s *Suspects) expireLostRuns(now time.Time) {
	for run, at := range s.lostRuns {
		if now.Sub(at) >= lostRunTTL {
			s.removeRun(run)
		}
	}
}

// removeRun removes a run from all indexes.
func (s *Suspects) removeRun(run *Run) {
	delete(s.lostRuns, run)
	runs := s.runs[run.upstream]
	delete(runs, run)
	if len(runs) == 0 {
		delete(s.runs, run.upstream)
	}
	s.releaseIsolation(run)
	s.notify()
}

// releaseIsolation permits another run of the request.
func (s *Suspects) releaseIsolation(run *Run) {
	if s.isolated[run.fingerprint] == run {
		delete(s.isolated, run.fingerprint)
	}
}

// Crashed records a crash of an upstream against every request running there.
// Boot is the boot ID that ended. A host may notice a crash twice, by a refused connection
// and by the restart; the second time the runs whose connection was not lost have begun
// since, and nothing is recorded against them. Crashed reports whether a request running
// there is now quarantined, in which case the caller should notify peers without delay.
func (s *Suspects) Crashed(now time.Time, upstream, boot string) (quarantine bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLostRuns(now)
	crash := Crash{Upstream: upstream, Boot: boot}
	again := s.lastCrashes[upstream] == boot
	s.recordLastCrash(crash)
	for run := range s.runs[upstream] {
		_, lost := s.lostRuns[run]
		if again && !lost {
			continue
		}
		s.removeRun(run)
		if lost {
			s.segments.recordCrash(now, run, crash)
		} else {
			run.held = crash
			run.mayBeCleared.Store(true)
		}
		s.addCrash(now, run.fingerprint, record{
			crash: crash, isolated: run.isolated, changedAt: now, expires: now.Add(SuspicionTTL),
		})
		if _, ok := s.quarantined(now, run.fingerprint); ok {
			s.metrics.quarantined.Inc()
			quarantine = true
		}
	}
	return quarantine
}

// recordLastCrash remembers the crash of an upstream. At maxSuspects it forgets another one.
func (s *Suspects) recordLastCrash(crash Crash) {
	if _, known := s.lastCrashes[crash.Upstream]; !known && len(s.lastCrashes) >= maxSuspects {
		for other := range s.lastCrashes {
			delete(s.lastCrashes, other)
			break
		}
	}
	s.lastCrashes[crash.Upstream] = crash.Boot
}

// addCrash adds a crash record, or merges it into the record of the same crash.
func (s *Suspects) addCrash(now time.Time, f Fingerprint, r record) {
	entry := s.lookup(now, f)
	if entry == nil {
		s.evictIfFull()
		entry = &suspect{}
		s.suspects[f] = entry
	}
	if old := entry.findRecord(r.crash); old != nil {
		old.merge(r)
		return
	}
	entry.add(r)
}

// evictIfFull removes the suspect that expires first at maxSuspects.
func (s *Suspects) evictIfFull() {
	if len(s.suspects) < maxSuspects {
		return
	}
	var oldest Fingerprint
	var earliest time.Time
	for f, entry := range s.suspects {
		if expiry := entry.lastExpiry(); earliest.IsZero() || expiry.Before(earliest) {
			oldest, earliest = f, expiry
		}
	}
	delete(s.suspects, oldest)
}

func (s *Suspects) count() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.suspects))
}
