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
	pending     bool
	generation  int64         // that is pending; 0: the first one of this process, not known yet
	since       time.Duration // when this host learned of it, on the boot clock
	confirmedAt time.Duration // last confirmation in a generation that counts; 0: none
}

// begin starts to wait for a generation. confirmedAt is the last confirmation before it.
func (s *settlement) begin(generation int64, confirmedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pending {
		s.confirmedAt = confirmedAt
	}
	s.pending, s.generation, s.since = true, generation, clock.SinceBoot()
}

// settle records that a generation counts; 0: the first one of this process.
func (s *settlement) settle(generation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation == 0 || s.generation == generation {
		s.pending = false
	}
}

// settleStart records that the first generation of this process counts.
func (s *settlement) settleStart() { s.settle(0) }

// limit returns the confirmation that counts, given the latest one.
func (s *settlement) limit(confirmedAt time.Duration, generation int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation == 0 || !s.isPendingLocked() {
		return confirmedAt
	}
	return s.confirmedAt
}

// isPending reports whether a generation does not count yet.
func (s *settlement) isPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isPendingLocked()
}

func (s *settlement) isPendingLocked() bool { return s.pending && clock.SinceBoot()-s.since <= maxUnsettled }

// before returns a confirmation, or the last one before the generation that is pending.
func (s *settlement) before(confirmedAt time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending {
		return s.confirmedAt
	}
	return confirmedAt
}
