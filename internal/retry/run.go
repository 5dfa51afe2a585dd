package retry

import (
	"bytes"
	"slices"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// Run is one attempt of a request at an upstream.
type Run struct {
	suspects    *Suspects
	fingerprint Fingerprint
	upstream    string
	isolated    bool
	begun       bool // see Begin; guarded by suspects.mu
	id          uint64
	segments    []quarantine.Key // the shared segments of the prompt; never changes
	// firstOutput is when the upstream began to answer; nil: not yet. answered reports that
	// it has been answering for answeredAfter.
	firstOutput atomic.Pointer[time.Time]
	answered    atomic.Bool
	// held is the crash that was recorded against the run although its connection had not
	// been lost; guarded by suspects.mu. mayBeCleared reports that there is one.
	held         Crash
	mayBeCleared atomic.Bool
}

// Completed ends a run whose answer was complete. It clears all crashes recorded
// against the request.
func (r *Run) Completed(now time.Time) {
	s := r.suspects
	s.segments.recordAnswer(now, r.segments)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRun(r)
	if entry := s.lookup(now, r.fingerprint); entry != nil {
		s.metrics.cleared.Inc()
		for i := range entry.records {
			entry.records[i].cleared = true
			entry.records[i].changedAt = now
		}
	}
}

// Progressed records that the upstream goes on with a run. A crash that was recorded against
// it is cleared: the run began after the upstream had started again.
func (r *Run) Progressed(now time.Time) {
	if r.outputFor(now) >= answeredAfter && !r.answered.Swap(true) {
		r.suspects.segments.recordAnswer(now, r.segments)
	}
	r.firstOutput.CompareAndSwap(nil, &now)
	if !r.mayBeCleared.Swap(false) {
		return
	}
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearHeld(now, r)
	s.addRun(r)
	s.notify()
}

// clearHeld clears the crash that was recorded against a run although its connection had
// not been lost. It requires s.mu.
func (s *Suspects) clearHeld(now time.Time, r *Run) {
	entry := s.lookup(now, r.fingerprint)
	if entry == nil {
		return
	}
	if held := entry.findRecord(r.held); held != nil {
		held.cleared, held.changedAt = true, now
	}
}

// NotRun ends a run that the upstream did not begin: it was not sent, or the upstream stated
// that it did not run. A crash that was recorded against it is cleared.
func (r *Run) NotRun(now time.Time) {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.mayBeCleared.Swap(false) {
		s.clearHeld(now, r)
	}
	s.removeRun(r)
}

// outputFor returns for how long the upstream has been answering the run.
func (r *Run) outputFor(now time.Time) time.Duration {
	first := r.firstOutput.Load()
	if first == nil {
		return 0
	}
	return now.Sub(*first)
}

// Ended ends a run that neither completed nor lost its connection, for example
// because the caller disconnected or the upstream answered with an error. It leaves
// the crash records unchanged.
func (r *Run) Ended() {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeRun(r)
}

// ConnectionLost ends a run whose connection broke. If a crash of the upstream is
// reported within lostRunTTL, the run counts as one that was in progress there.
func (r *Run) ConnectionLost(now time.Time) {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.runs[r.upstream][r]; !running {
		// The crash is already recorded against the request.
		if r.mayBeCleared.Load() {
			s.segments.recordCrash(now, r, r.held)
		}
		return
	}
	s.lostRuns[r] = now
	s.releaseIsolation(r)
	s.notify()
}

// Isolated reports whether the request was a suspect when the run was permitted;
// it must then be the only suspect at its upstream. The value never changes.
func (r *Run) Isolated() bool { return r.isolated }

// Begin reports whether a permitted run may be sent now; it is called right before the
// request is sent. A run that may not is given up, because a peer runs the same request at
// any upstream, or a suspect at the same upstream that was sent already or has a lower
// fingerprint. If both ran, a crash could not be attributed to either request.
//
// Two hosts may permit suspects at one upstream before either knows of the other's run.
// Each exchanges its isolated runs with the others after Permit and before Begin, in both
// directions. Whatever the order of messages, one of the two then knows the other's run
// and gives way: a run that was not announced when the other one was sent finds it in the
// reply to its own announcement.
func (r *Run) Begin(now time.Time) bool {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.isolated && s.preempted(now, r) {
		return false
	}
	r.begun = true
	return true
}

// preempted reports whether the run must give way to a run of a peer.
func (s *Suspects) preempted(now time.Time, r *Run) bool {
	hasPriority := func(other IsolatedRun) bool {
		if other.Fingerprint == r.fingerprint {
			return true
		}
		return other.Upstream == r.upstream && (other.Begun || bytes.Compare(other.Fingerprint[:], r.fingerprint[:]) < 0)
	}
	for _, peer := range s.peerRuns {
		if peer.expires.After(now) && slices.ContainsFunc(peer.Runs, hasPriority) {
			return true
		}
	}
	return false
}
