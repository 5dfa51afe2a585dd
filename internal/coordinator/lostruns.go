package coordinator

import "time"

const (
	// lostRunLimit is the number of lost runs of a request, over all hosts, from
	// which it is refused everywhere.
	lostRunLimit = 3
	// lostRunMemory is how long a lost run counts.
	lostRunMemory = time.Minute
)

// lostRunBook adds up the lost runs that hosts report. It is used by one
// goroutine at a time.
type lostRunBook map[uint64]lostRunCount

type lostRunCount struct {
	count int
	last  time.Duration
}

func (b lostRunBook) note(now time.Duration, lost []LostRuns) {
	for _, l := range lost {
		if l.Count == Answered {
			delete(b, l.Fingerprint)
			continue
		}
		b[l.Fingerprint] = lostRunCount{count: b[l.Fingerprint].count + l.Count, last: now}
	}
}

// forget drops counts that are too old.
func (b lostRunBook) forget(now time.Duration) {
	for fingerprint, runs := range b {
		if now-runs.last > lostRunMemory {
			delete(b, fingerprint)
		}
	}
}

// refused returns the requests that are to be refused everywhere.
func (b lostRunBook) refused() []uint64 {
	var fingerprints []uint64
	for fingerprint, runs := range b {
		if runs.count >= lostRunLimit {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}
