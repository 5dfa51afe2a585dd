package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

const (
	// crashLimit is the number of lost runs of one request, over all hosts, from
	// which it counts as one that crashes upstreams.
	crashLimit = 3
	// crashMemory is how long a lost run counts.
	crashMemory = time.Minute
	// maxCrashes bounds the requests that are remembered.
	maxCrashes = 4096
	// quarantineRetry is the Retry-After for a quarantined request.
	quarantineRetry = 5 * time.Second
)

// crashBook counts the runs of each request that ended with the connection to
// the upstream. The coordinator adds the counts of all hosts up. It is safe for
// concurrent use.
type crashBook struct {
	mu      sync.Mutex
	lost    map[uint64]lostRuns // of this host, by fingerprint
	unsent  map[uint64]int      // not yet told to the coordinator
	refused map[uint64]bool     // by the coordinator's counts
}

type lostRuns struct {
	count int
	last  time.Time
}

func newCrashBook() *crashBook {
	return &crashBook{lost: map[uint64]lostRuns{}, unsent: map[uint64]int{}, refused: map[uint64]bool{}}
}

// fingerprint identifies a request that comes again: its target, key and body.
func (e *inbound) fingerprint() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{e.http.Method, e.http.Host, e.http.RequestURI, e.request.Key} {
		_, _ = digest.WriteString(part) // xxhash never fails
		_, _ = digest.Write([]byte{0})  // separates the parts
	}
	_, _ = digest.Write(e.body)
	return digest.Sum64()
}

// note counts a lost run.
func (b *crashBook) note(now time.Time, fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lost) >= maxCrashes {
		b.forget(now, 0)
	}
	runs := b.lost[fingerprint]
	b.lost[fingerprint] = lostRuns{count: runs.count + 1, last: now}
	b.unsent[fingerprint] = max(0, b.unsent[fingerprint]) + 1
}

// clear forgets the lost runs of a request that has been answered: it does not
// crash upstreams.
func (b *crashBook) clear(fingerprint func() uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.lost) == 0 && len(b.refused) == 0 {
		return
	}
	key := fingerprint()
	_, known := b.lost[key]
	if !known && !b.refused[key] {
		return
	}
	delete(b.lost, key)
	delete(b.refused, key)
	b.unsent[key] = coordinator.Answered
}

// forget drops what is older than the age.
func (b *crashBook) forget(now time.Time, age time.Duration) {
	for fingerprint, runs := range b.lost {
		if now.Sub(runs.last) > age {
			delete(b.lost, fingerprint)
		}
	}
}

// quarantined reports whether a request is to be refused.
func (b *crashBook) quarantined(now time.Time, fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := b.lost[fingerprint]
	return b.refused[fingerprint] || (runs.count >= crashLimit && now.Sub(runs.last) < crashMemory)
}

// report returns the counts that the coordinator does not know.
func (b *crashBook) report(now time.Time) []coordinator.LostRuns {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now, crashMemory)
	var lost []coordinator.LostRuns
	for fingerprint, count := range b.unsent {
		lost = append(lost, coordinator.LostRuns{Fingerprint: fingerprint, Count: count})
	}
	clear(b.unsent)
	return lost
}

// apply takes over the requests that the coordinator holds responsible.
func (b *crashBook) apply(fingerprints []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.refused)
	for _, fingerprint := range fingerprints {
		b.refused[fingerprint] = true
	}
}
