package quarantine

import (
	"slices"
	"testing"
	"time"
)

// Guards against quarantining a segment by crashes that are minutes apart although it was
// answered between them: the hosts are asked again.
func TestAnswersBetweenRareCrashesCount(t *testing.T) {
	s := newScenario()
	for i := range int64(2) {
		at := start + time.Duration(i)*8*time.Minute
		s.lose(at, i, Key(100+i), doc)
		s.expect(t, at+time.Second, "fewer than three crashes")
	}
	at := start + 16*time.Minute
	if suspected := s.Suspected(at-time.Minute, at-time.Minute); len(suspected) != 0 {
		t.Errorf("suspected %v long after the second crash", suspected)
	}
	s.lose(at, 3, 103, doc)
	s.Quarantined(at, at-1)
	if suspected := s.Suspected(at+1, at-1); !slices.Equal(suspected, []Key{doc}) || len(s.Quarantined(at+1, at-1)) != 0 {
		t.Errorf("suspected %v, quarantined %v; want the segment suspected", suspected, s.Quarantined(at+1, at-1))
	}
	s.Answered(at-time.Minute, doc)
	s.expect(t, at+time.Second, "answered since the second crash")
}

// Guards against crashes that never lead to a quarantine because they are minutes apart.
func TestRareCrashesAddUp(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start+time.Duration(i)*8*time.Minute, i, 7, bad)
	}
	s.expect(t, start+16*time.Minute+2*time.Second, "three crashes by a request within 16 minutes", 7)
	s.lose(start+16*time.Minute+30*time.Second, 9, 8, bad)
	s.expect(t, start+16*time.Minute+32*time.Second, "a fourth by another one with the segment", bad, 7)
}
