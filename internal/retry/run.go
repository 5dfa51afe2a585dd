package retry

import (
	"bytes"
	"slices"
	"time"
)

// Run is one attempt of a request at an upstream.
type Run struct {
	suspects    *Suspects
	fingerprint Fingerprint
	upstream    string
	isolated    bool
}

// Completed ends a run whose answer was complete; that clears the request.
func (r *Run) Completed(now time.Time) {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(r)
	if known := s.known(now, r.fingerprint); known != nil {
		s.metrics.cleared.Inc()
		for i := range known.records {
			known.records[i].cleared = true
			known.records[i].changed = now
		}
	}
}

// Ended ends a run that neither completed nor lost its connection: the caller
// left, or the upstream refused the request.
func (r *Run) Ended() {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(r)
}

// ConnectionLost ends a run whose connection broke. If the upstream turns out to have
// crashed within lostRunTime, the run counts as having been there.
func (r *Run) ConnectionLost(now time.Time) {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, running := s.runs[r.upstream][r]; !running {
		return // the crash is already recorded
	}
	s.lost[r] = now
	s.releaseIsolation(r)
	s.notify()
}

// Isolated reports whether the run is that of a suspect, which must be the only
// one at its upstream. It never changes.
func (r *Run) Isolated() bool { return r.isolated }

// Preempted reports whether a peer runs another suspect at the same upstream
// that goes first, or the same request anywhere. Two hosts may permit suspects
// at one upstream before they hear of each other. Each announces its run, waits
// until the other must have heard, and gives way when its run is contested: the
// lower fingerprint goes first. If both ran, a crash would prove nothing.
func (r *Run) Preempted(now time.Time) bool {
	s := r.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.isolated {
		return false
	}
	goesFirst := func(other IsolatedRun) bool {
		if other.Fingerprint == r.fingerprint {
			return true
		}
		return other.Upstream == r.upstream && bytes.Compare(other.Fingerprint[:], r.fingerprint[:]) < 0
	}
	for _, peer := range s.peerRuns {
		if peer.expires.After(now) && slices.ContainsFunc(peer.runs, goesFirst) {
			return true
		}
	}
	return false
}
