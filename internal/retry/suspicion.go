package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"
)

const (
	// SuspicionTTL is how long a crash record is kept, and so how long a request
	// is refused after its second crash.
	SuspicionTTL = 10 * time.Minute
	// quarantineCrashes is the least number of crashes after which a request can
	// be quarantined.
	quarantineCrashes = 2
	// maxCrashes bounds the crash records per request. It is about the number of
	// upstreams that one request can crash before the first crash is detected.
	maxCrashes = 16
	// maxSuspects bounds the requests with crash records, which take a few hundred
	// bytes each.
	maxSuspects = 4096
)

// Fingerprint identifies requests with equal workspace, route and body. It is a
// truncated SHA-256 hash: with a weaker hash, a collision could be constructed so
// that one request gets another one quarantined.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(workspace, route string, body []byte) Fingerprint {
	digest := sha256.New()
	writeField(digest, []byte(workspace))
	writeField(digest, []byte(route))
	writeField(digest, body)
	var sum [sha256.Size]byte
	var f Fingerprint
	copy(f[:], digest.Sum(sum[:0]))
	return f
}

// writeField hashes a field with a length prefix, so that the fields cannot run
// into each other.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:]) // never fails
	_, _ = digest.Write(field)
}

// Crash identifies one crash of one upstream by the boot ID that it ended, so
// that all hosts identify the same crash alike.
type Crash struct {
	Upstream string `json:"upstream"`
	Boot     string `json:"boot"`
}

// Suspicion is a crash record as sent to peers. Merging is order-independent
// and idempotent.
type Suspicion struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crash       Crash         `json:"crash"`
	Isolated    bool          `json:"isolated"` // the request ran as the only suspect
	Cleared     bool          `json:"cleared"`  // the request has completed since
	TTL         time.Duration `json:"left"`     // time until the record expires
}

// IsolatedRun announces to peers that a suspect runs at an upstream.
type IsolatedRun struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
	Begun       bool        `json:"begun"` // the request was sent; see Run.Begin
}

// RunList holds the isolated runs of a host at one moment. Lists of a host may arrive in
// another order than they were made; those with the higher Sequence are newer. Sequence 0
// stands for hosts that do not number their lists.
type RunList struct {
	Sequence uint64        `json:"sequence"`
	Runs     []IsolatedRun `json:"runs"`
}

// record states that a request was running at an upstream when it crashed.
type record struct {
	crash     Crash
	isolated  bool
	cleared   bool
	changedAt time.Time // when this host last changed the record
	expires   time.Time
}

// merge combines the record with another one of the same crash.
func (r *record) merge(other record) {
	isolated, cleared := r.isolated || other.isolated, r.cleared || other.cleared
	if isolated != r.isolated || cleared != r.cleared {
		r.changedAt = other.changedAt
	}
	r.isolated, r.cleared = isolated, cleared
}

// suspect holds the crash records of one fingerprint.
type suspect struct {
	records []record
}

// findRecord returns the record of a crash, or nil.
func (s *suspect) findRecord(c Crash) *record {
	for i := range s.records {
		if s.records[i].crash == c {
			return &s.records[i]
		}
	}
	return nil
}

// involvedInAll reports whether the request has an uncleared record of each of
// the crashes.
func (s *suspect) involvedInAll(crashes []Crash) bool {
	for _, crash := range crashes {
		if r := s.findRecord(crash); r == nil || r.cleared {
			return false
		}
	}
	return true
}

// isolatedCrashes returns the uncleared crashes during which the request ran as
// the only suspect.
func (s *suspect) isolatedCrashes() []Crash {
	var crashes []Crash
	for i := range s.records {
		if r := &s.records[i]; r.isolated && !r.cleared {
			crashes = append(crashes, r.crash)
		}
	}
	return crashes
}

// lastChange returns when this host last changed a record of the request.
func (s *suspect) lastChange() time.Time {
	var last time.Time
	for i := range s.records {
		if changed := s.records[i].changedAt; changed.After(last) {
			last = changed
		}
	}
	return last
}

// activeCrashes returns the number of uncleared crash records.
func (s *suspect) activeCrashes() int {
	count := 0
	for i := range s.records {
		if !s.records[i].cleared {
			count++
		}
	}
	return count
}

// lastExpiry returns the latest expiry time of the records.
func (s *suspect) lastExpiry() time.Time {
	var last time.Time
	for i := range s.records {
		if s.records[i].expires.After(last) {
			last = s.records[i].expires
		}
	}
	return last
}

// add stores a record and, at maxCrashes, replaces the one that expires first. A
// record of an isolated run is replaced only by another one, because only these
// can attribute a crash to a request.
func (s *suspect) add(r record) {
	if len(s.records) < maxCrashes {
		s.records = append(s.records, r)
		return
	}
	replaced := -1
	for i := range s.records {
		if s.records[i].isolated && !r.isolated {
			continue
		}
		if replaced < 0 || s.records[i].expires.Before(s.records[replaced].expires) {
			replaced = i
		}
	}
	if replaced >= 0 {
		s.records[replaced] = r
	}
}

// dropExpired removes expired records.
func (s *suspect) dropExpired(now time.Time) {
	kept := s.records[:0]
	for _, r := range s.records {
		if r.expires.After(now) {
			kept = append(kept, r)
		}
	}
	s.records = kept
}
