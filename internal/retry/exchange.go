package retry

import (
	"slices"
	"time"
)

const (
	// recentTime is how long a change is exported first: ten heartbeats.
	recentTime = 5 * time.Second
	// peerRunTime is how long a peer's isolated run counts after the peer last
	// mentioned it: four heartbeats of 500 ms.
	peerRunTime = 2 * time.Second
	// DefaultExportLimit bounds the suspicions of one heartbeat to about 2 KB.
	DefaultExportLimit = 24
)

// peerRuns are the suspects that a peer runs, as it last said.
type peerRuns struct {
	runs    []IsolatedRun
	expires time.Time
}

// Export returns up to limit suspicions and the isolated runs to send to peers.
// Recent changes come first; older suspicions fill the rest in random order, so
// that a restarted peer learns them too.
func (s *Suspects) Export(now time.Time, limit int) ([]Suspicion, []IsolatedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent, older []exported
	for f, known := range s.suspects {
		known.dropExpired(now)
		for _, r := range known.records {
			if now.Sub(r.changed) < recentTime {
				recent = append(recent, exported{f, r})
			} else if len(older) < limit {
				older = append(older, exported{f, r})
			}
		}
	}
	slices.SortFunc(recent, func(a, b exported) int { return b.record.changed.Compare(a.record.changed) })
	return suspicions(now, append(recent, older...), limit), s.isolatedRuns()
}

// exported is a record with the request that it is held against.
type exported struct {
	fingerprint Fingerprint
	record      record
}

func suspicions(now time.Time, from []exported, limit int) []Suspicion {
	from = from[:min(limit, len(from))]
	result := make([]Suspicion, 0, len(from))
	for _, x := range from {
		result = append(result, Suspicion{
			Fingerprint: x.fingerprint,
			Crash:       x.record.crash,
			Isolated:    x.record.isolated,
			Cleared:     x.record.cleared,
			TTL:         x.record.expires.Sub(now),
		})
	}
	return result
}

func (s *Suspects) isolatedRuns() []IsolatedRun {
	runs := make([]IsolatedRun, 0, len(s.isolated))
	for f, run := range s.isolated {
		runs = append(runs, IsolatedRun{Fingerprint: f, Upstream: run.upstream})
	}
	return runs
}

// Merge takes over what a peer exported. The peer's isolated runs replace those
// that it named before.
func (s *Suspects) Merge(now time.Time, peer string, suspicions []Suspicion, runs []IsolatedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range suspicions {
		left := min(x.TTL, SuspicionTTL)
		if left > 0 {
			s.accuse(now, x.Fingerprint, record{
				crash: x.Crash, isolated: x.Isolated, cleared: x.Cleared, changed: now, expires: now.Add(left),
			})
		}
	}
	s.mergeRuns(now, peer, runs)
	s.notify()
}

func (s *Suspects) mergeRuns(now time.Time, peer string, runs []IsolatedRun) {
	for name, known := range s.peerRuns {
		if name == peer || !known.expires.After(now) {
			delete(s.peerRuns, name)
		}
	}
	if len(runs) > 0 {
		s.peerRuns[peer] = peerRuns{runs: runs[:min(len(runs), maxSuspects)], expires: now.Add(peerRunTime)}
	}
}
