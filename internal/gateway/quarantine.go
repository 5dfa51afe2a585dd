package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

const (
	// quarantineThreshold is the number of lost runs, over all hosts, from which a
	// request is assumed to crash upstreams.
	quarantineThreshold = 3
	// lostRunRetention is how long lost runs count after the last one.
	lostRunRetention = time.Minute
	// maxTrackedRequests bounds the number of tracked requests. When it is reached, the
	// request whose last lost run is oldest is dropped.
	maxTrackedRequests = 4096
	// quarantineRetryAfter is the Retry-After for a quarantined request.
	quarantineRetryAfter = 5 * time.Second
)

// requestQuarantine counts, for each request, the runs during which the connection to
// the upstream broke. The coordinator sums up the counts of all hosts. It is safe for
// concurrent use.
type requestQuarantine struct {
	mu          sync.Mutex
	lostRuns    map[uint64]lostRuns // of this host, by fingerprint
	unreported  map[uint64]int      // not yet reported to the coordinator, by fingerprint
	quarantined map[uint64]bool     // according to the coordinator, by fingerprint
}

type lostRuns struct {
	count int
	last  time.Time
}

func newRequestQuarantine() *requestQuarantine {
	return &requestQuarantine{lostRuns: map[uint64]lostRuns{}, unreported: map[uint64]int{}, quarantined: map[uint64]bool{}}
}

// fingerprint identifies repetitions of a request by its method, host, target, key
// and body.
func (in *inbound) fingerprint() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{in.httpRequest.Method, in.httpRequest.Host, in.httpRequest.RequestURI, in.request.Key} {
		_, _ = digest.WriteString(part) // xxhash never fails
		_, _ = digest.Write([]byte{0})  // separates the parts
	}
	_, _ = digest.Write(in.body)
	return digest.Sum64()
}

// recordLostRun counts a lost run.
func (q *requestQuarantine) recordLostRun(now time.Time, fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	runs, known := q.lostRuns[fingerprint]
	if !known && len(q.lostRuns) >= maxTrackedRequests {
		q.dropOldest()
	}
	q.lostRuns[fingerprint] = lostRuns{count: runs.count + 1, last: now}
	q.unreported[fingerprint] = max(0, q.unreported[fingerprint]) + 1
}

// clear drops the lost runs of a request that was answered: it does not crash
// upstreams.
func (q *requestQuarantine) clear(fingerprint func() uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.lostRuns) == 0 && len(q.quarantined) == 0 {
		return
	}
	key := fingerprint()
	_, known := q.lostRuns[key]
	if !known && !q.quarantined[key] {
		return
	}
	delete(q.lostRuns, key)
	delete(q.quarantined, key)
	q.unreported[key] = coordinator.Answered
}

// dropOldest drops the request whose last lost run is oldest.
func (q *requestQuarantine) dropOldest() {
	var oldest uint64
	var earliest time.Time
	for fingerprint, runs := range q.lostRuns {
		if earliest.IsZero() || runs.last.Before(earliest) {
			oldest, earliest = fingerprint, runs.last
		}
	}
	delete(q.lostRuns, oldest)
}

// expire drops requests whose last lost run is older than age.
func (q *requestQuarantine) expire(now time.Time, age time.Duration) {
	for fingerprint, runs := range q.lostRuns {
		if now.Sub(runs.last) > age {
			delete(q.lostRuns, fingerprint)
		}
	}
}

// isQuarantined reports whether a request must be refused.
func (q *requestQuarantine) isQuarantined(now time.Time, fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := q.lostRuns[fingerprint]
	return q.quarantined[fingerprint] || (runs.count >= quarantineThreshold && now.Sub(runs.last) < lostRunRetention)
}

// takeReport returns the counts that were not yet reported to the coordinator.
func (q *requestQuarantine) takeReport(now time.Time) []coordinator.LostRuns {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now, lostRunRetention)
	var lost []coordinator.LostRuns
	for fingerprint, count := range q.unreported {
		lost = append(lost, coordinator.LostRuns{Fingerprint: fingerprint, Count: count})
	}
	clear(q.unreported)
	return lost
}

// apply replaces the requests that the coordinator has quarantined.
func (q *requestQuarantine) apply(fingerprints []uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.quarantined)
	for _, fingerprint := range fingerprints {
		q.quarantined[fingerprint] = true
	}
}
