package retry

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// SuspectDump describes one suspect in the diagnostic dump.
type SuspectDump struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     []Crash   `json:"crashes"`
	Quarantined bool      `json:"quarantined"`
	Running     string    `json:"running,omitempty"` // upstream of the isolated run
	Expires     time.Time `json:"expires"`
}

// SegmentDump describes one quarantined segment of prompts in the diagnostic dump.
type SegmentDump struct {
	Segment string    `json:"segment"`
	Expires time.Time `json:"expires"`
}

func formatKey(key quarantine.Key) string { return strconv.FormatUint(uint64(key), 16) }

// Dump returns the requests with uncleared crash records, sorted by fingerprint.
func (s *Suspects) Dump(now time.Time) []SuspectDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dumps []SuspectDump
	for f := range s.suspects {
		if entry := s.lookup(now, f); entry != nil && entry.activeCrashes() > 0 {
			dumps = append(dumps, s.dump(now, f, entry))
		}
	}
	slices.SortFunc(dumps, func(a, b SuspectDump) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })
	return dumps
}

func (s *Suspects) dump(now time.Time, f Fingerprint, entry *suspect) SuspectDump {
	dump := SuspectDump{Fingerprint: f.String(), Expires: entry.lastExpiry()}
	_, dump.Quarantined = s.quarantined(now, f)
	if run := s.isolated[f]; run != nil {
		dump.Running = run.upstream
	}
	for _, r := range entry.records {
		if !r.cleared {
			dump.Crashes = append(dump.Crashes, r.crash)
		}
	}
	slices.SortFunc(dump.Crashes, func(a, b Crash) int {
		return cmp.Or(strings.Compare(a.Upstream, b.Upstream), strings.Compare(a.Boot, b.Boot))
	})
	return dump
}
