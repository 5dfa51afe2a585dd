package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"
)

const (
	// SuspicionTTL is how long a crash is held against a request, and so how
	// long a request is refused after its second crash.
	SuspicionTTL = 10 * time.Minute
	// quarantineCrashes is the number of crashes after which a request is
	// refused everywhere.
	quarantineCrashes = 2
	// maxCrashes bounds the crashes remembered per request, at about the number
	// of upstreams that one request can crash before the first crash is noticed.
	maxCrashes = 16
	// maxSuspects bounds the requests remembered; one takes a few hundred bytes.
	maxSuspects = 4096
)

// Fingerprint identifies requests with equal workspace, route and body. It is
// collision-resistant, because a collision would let one request get another
// one refused.
type Fingerprint [16]byte

// String returns the hexadecimal form.
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

// writeField hashes the length too, so that the field borders count.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:]) // never fails
	_, _ = digest.Write(field)
}

// Crash identifies one crash of one upstream, by the boot that it ended. Hosts
// that see the same crash name it equally.
type Crash struct {
	Upstream string `json:"upstream"`
	Boot     string `json:"boot"`
}

// Suspicion is a crash held against a request, as sent to peers. Suspicions
// merge in any order and any number of times with the same result.
type Suspicion struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crash       Crash         `json:"crash"`
	Isolated    bool          `json:"isolated"` // was permitted there as the only suspect
	Cleared     bool          `json:"cleared"`  // the request completed later
	TTL         time.Duration `json:"left"`     // until it expires
}

// IsolatedRun tells peers that a suspect runs at an upstream.
type IsolatedRun struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    string      `json:"upstream"`
}

// record is a crash held against a request.
type record struct {
	crash    Crash
	isolated bool
	cleared  bool
	changed  time.Time // when this host last learned something about it
	expires  time.Time
}

// merge adds what another account of the same crash knows.
func (r *record) merge(other record) {
	isolated, cleared := r.isolated || other.isolated, r.cleared || other.cleared
	if isolated != r.isolated || cleared != r.cleared {
		r.changed = other.changed
	}
	r.isolated, r.cleared = isolated, cleared
}

// suspect is what is known about one fingerprint.
type suspect struct {
	records []record
}

// find returns the record of a crash, or nil.
func (s *suspect) find(c Crash) *record {
	for i := range s.records {
		if s.records[i].crash == c {
			return &s.records[i]
		}
	}
	return nil
}

// wasAtAll reports whether all of the crashes count against the request.
func (s *suspect) wasAtAll(crashes []Crash) bool {
	for _, crash := range crashes {
		if r := s.find(crash); r == nil || r.cleared {
			return false
		}
	}
	return true
}

// isolatedCrashes returns the crashes that count against the request and to
// which it was sent as the only suspect.
func (s *suspect) isolatedCrashes() []Crash {
	var crashes []Crash
	for i := range s.records {
		if r := &s.records[i]; r.isolated && !r.cleared {
			crashes = append(crashes, r.crash)
		}
	}
	return crashes
}

// lastChange returns when this host last learned something about the request.
func (s *suspect) lastChange() time.Time {
	var last time.Time
	for i := range s.records {
		if changed := s.records[i].changed; changed.After(last) {
			last = changed
		}
	}
	return last
}

// active returns how many crashes count against the request.
func (s *suspect) active() int {
	count := 0
	for i := range s.records {
		if !s.records[i].cleared {
			count++
		}
	}
	return count
}

// lastExpiry returns when the last record expires.
func (s *suspect) lastExpiry() time.Time {
	var last time.Time
	for i := range s.records {
		if s.records[i].expires.After(last) {
			last = s.records[i].expires
		}
	}
	return last
}

// add stores a record, replacing the one that expires first when full.
// Isolated records are kept, because only they can prove guilt.
func (s *suspect) add(r record) {
	if len(s.records) < maxCrashes {
		s.records = append(s.records, r)
		return
	}
	victim := -1
	for i := range s.records {
		if s.records[i].isolated && !r.isolated {
			continue
		}
		if victim < 0 || s.records[i].expires.Before(s.records[victim].expires) {
			victim = i
		}
	}
	if victim >= 0 {
		s.records[victim] = r
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
