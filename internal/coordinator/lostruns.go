package coordinator

import "time"

const (
	// lostRunLimit is the number of lost runs of a request, over all hosts, from which all
	// hosts refuse it.
	lostRunLimit = 3
	// lostRunTTL is how long lost runs count after the last one.
	lostRunTTL = time.Minute
)

// lostRunTracker counts, by request fingerprint, the lost runs that hosts report. It is not
// safe for concurrent use.
type lostRunTracker map[uint64]lostRunCount

type lostRunCount struct {
	count int
	last  time.Duration
}

func (t lostRunTracker) record(now time.Duration, lost []LostRuns) {
	for _, l := range lost {
		if l.Count == Answered {
			delete(t, l.Fingerprint)
			continue
		}
		t[l.Fingerprint] = lostRunCount{count: t[l.Fingerprint].count + l.Count, last: now}
	}
}

// expire drops counts that are older than lostRunTTL.
func (t lostRunTracker) expire(now time.Duration) {
	for fingerprint, runs := range t {
		if now-runs.last > lostRunTTL {
			delete(t, fingerprint)
		}
	}
}

// quarantined returns the fingerprints of requests that all hosts should refuse.
func (t lostRunTracker) quarantined() []uint64 {
	var fingerprints []uint64
	for fingerprint, runs := range t {
		if runs.count >= lostRunLimit {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}
