package gateway

import (
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// settleTime is how long a new coordinator waits for the hosts to report which version of
	// the configuration they have: until then they find it.
	settleTime = 1200 * time.Millisecond
	// maxUnsettled bounds the time for which a host waits for a settled coordinator. By then a
	// new one has been elected, unless this host can't reach it.
	maxUnsettled = 4 * time.Second
)

// settlement decides from when on the confirmations of a generation of the table service count.
// The service may have come back from a copy that lacks the newest configuration; another host
// may know that one. So a generation counts once a coordinator says that it has asked the hosts,
// and the last confirmation before counts until then. It is safe for concurrent use.
type settlement struct {
	mu          sync.Mutex
	counts      int64         // newest generation that counts
	since       time.Duration // when this host learned of the newest generation, on the boot clock
	confirmedAt time.Duration // last confirmation in a generation that counted; 0: none
}

// begin starts to wait for a generation. The one before was last confirmed at confirmedAt; 0: there
// was none.
func (s *settlement) begin(before int64, confirmedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before <= s.counts {
		s.confirmedAt = confirmedAt
	}
	s.since = clock.SinceBoot()
}

// settle records that a generation, and those before, count.
func (s *settlement) settle(generation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = max(s.counts, generation)
}

// isPending reports whether the newest generation does not count yet.
func (s *settlement) isPending(generation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return generation > s.counts && clock.SinceBoot()-s.since <= maxUnsettled
}

// limit returns the confirmation that counts, given the latest one, of the newest generation.
func (s *settlement) limit(confirmedAt time.Duration, generation int64) time.Duration {
	if !s.isPending(generation) {
		return confirmedAt
	}
	return s.settled(confirmedAt, generation)
}

// settled returns a confirmation of a generation that counts without a time limit.
func (s *settlement) settled(confirmedAt time.Duration, generation int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation > s.counts {
		return s.confirmedAt
	}
	return confirmedAt
}
