package retry

import (
	"slices"
	"time"
)

const (
	// recentChangeWindow is how long a changed record takes precedence in exports:
	// ten heartbeats of 500 ms.
	recentChangeWindow = 5 * time.Second
	// peerRunTTL is how long a peer's isolated run counts after the peer last
	// announced it: four heartbeats of 500 ms.
	peerRunTTL = 2 * time.Second
	// DefaultExportLimit bounds the suspicions of one heartbeat to about 2 KB.
	DefaultExportLimit = 24
)

// peerRuns holds the newest list of a peer's isolated runs.
type peerRuns struct {
	RunList
	expires time.Time
}

// Export returns up to limit suspicions, and all isolated runs of this host, to
// send to peers. Recently changed records come first; others fill the rest in
// random order, so that a restarted peer receives them eventually.
func (s *Suspects) Export(now time.Time, limit int) ([]Suspicion, RunList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent, older []exportedRecord
	for f, entry := range s.suspects {
		entry.dropExpired(now)
		for _, r := range entry.records {
			if now.Sub(r.changedAt) < recentChangeWindow {
				recent = append(recent, exportedRecord{f, r})
			} else if len(older) < limit {
				older = append(older, exportedRecord{f, r})
			}
		}
	}
	slices.SortFunc(recent, func(a, b exportedRecord) int { return b.record.changedAt.Compare(a.record.changedAt) })
	return toSuspicions(now, append(recent, older...), limit), s.isolatedRuns()
}

// exportedRecord is a crash record with the fingerprint of its request.
type exportedRecord struct {
	fingerprint Fingerprint
	record      record
}

// toSuspicions converts up to limit records.
func toSuspicions(now time.Time, from []exportedRecord, limit int) []Suspicion {
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

func (s *Suspects) isolatedRuns() RunList {
	s.runSequence++
	runs := make([]IsolatedRun, 0, len(s.isolated))
	for f, run := range s.isolated {
		runs = append(runs, IsolatedRun{Fingerprint: f, Upstream: run.upstream, Begun: run.begun})
	}
	return RunList{Sequence: s.runSequence, Runs: runs}
}

// Merge adds the suspicions that a peer exported. The peer's isolated runs replace
// those of its older lists. peer names a process: one that restarts counts anew.
func (s *Suspects) Merge(now time.Time, peer string, suspicions []Suspicion, runs RunList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range suspicions {
		left := min(x.TTL, SuspicionTTL)
		if left > 0 {
			s.addCrash(now, x.Fingerprint, record{
				crash: x.Crash, isolated: x.Isolated, cleared: x.Cleared, changedAt: now, expires: now.Add(left),
			})
		}
	}
	s.mergeRuns(now, peer, runs)
	s.notify()
}

// mergeRuns replaces a peer's isolated runs, unless a newer list was merged, and removes
// expired ones of others.
func (s *Suspects) mergeRuns(now time.Time, peer string, list RunList) {
	for name, entry := range s.peerRuns {
		if name != peer && !entry.expires.After(now) {
			delete(s.peerRuns, name)
		}
	}
	if known := s.peerRuns[peer]; list.Sequence != 0 && list.Sequence < known.Sequence {
		return
	}
	list.Runs = list.Runs[:min(len(list.Runs), maxSuspects)]
	s.peerRuns[peer] = peerRuns{RunList: list, expires: now.Add(peerRunTTL)}
}
