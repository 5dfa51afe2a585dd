package quarantine

import (
	"testing"
	"time"
)

// crashAll records crashes, one second apart, that end one run each with the same segments.
func crashAll(t *Tracker, from time.Duration, count int, segments ...Key) time.Duration {
	for i := range count {
		at := from + time.Duration(i)*time.Second
		id := uint64(at.Milliseconds())
		t.Record(at, at, LostRun{ID: id, Upstream: "e", StartedMS: int64(id), Request: Key(10_000 + id), Segments: segments})
	}
	return from + time.Duration(count-1)*time.Second
}

// quarantinedKeys returns the quarantined keys after the hosts have been asked about suspects.
func quarantinedKeys(t *Tracker, now time.Duration) map[Key]bool {
	t.Quarantined(now, now)
	keys := map[Key]bool{}
	for _, q := range t.Quarantined(now, now) {
		keys[q.Key] = true
	}
	return keys
}

// Guards against a new coordinator that knows the quarantine of a sound segment but not its
// crashes: it must offer the trial that clears the segment, and then refuse the one that crashes
// upstreams, without a further crash.
func TestSupportingRunsCarryTheEvidence(t *testing.T) {
	const first, crashing, behind = Key(1), Key(2), Key(3)
	old := NewTracker()
	now := crashAll(old, time.Hour, 3, first, crashing, behind)
	if !quarantinedKeys(old, now)[behind] {
		t.Fatal("the last segment is not quarantined")
	}
	next := NewTracker()
	for _, run := range old.SupportingRuns(now, now) {
		next.Record(now, run.At, run.LostRun)
	}
	for _, q := range old.Quarantined(now, now) {
		next.Adopt(q)
	}
	now += time.Second
	if trials := next.Trials(now, now); len(trials) != 1 || len(trials[0].Without) == 0 {
		t.Fatalf("trials %+v, want one that tells the segments apart", trials)
	}
	next.Answered(now, behind)
	next.Answered(now, first)
	if keys := quarantinedKeys(next, now); keys[behind] || keys[first] || !keys[crashing] {
		t.Errorf("quarantined %v, want the segment that crashes upstreams", keys)
	}
}

// Guards against a quarantine without known crashes that no trial can end before its time: the
// hosts still know what the coordinator before has told them of alternatives.
func TestAlternativesOutliveTheEvidence(t *testing.T) {
	old, next := NewTracker(), NewTracker()
	now := crashAll(old, time.Hour, 3, 1, 2, 3)
	old.Quarantined(now, now)
	for _, q := range old.Quarantined(now, now) {
		next.Adopt(q)
	}
	trials := next.Trials(now, now)
	if len(trials) != 1 || len(trials[0].Without) == 0 {
		t.Errorf("trials %+v, want one that tells the segments apart", trials)
	}
}

// Guards against a host that was cut off and brings a quarantine back that others have lifted:
// nobody knows its crashes, but the key was answered after them.
func TestAnswerLiftsAQuarantineWithoutCrashes(t *testing.T) {
	tracker, now := NewTracker(), time.Hour
	tracker.Adopt(Quarantine{Key: 3, Until: now + 50*time.Second})
	tracker.Answered(now-2*time.Second, 3)
	if quarantinedKeys(tracker, now)[3] {
		t.Error("the key is still quarantined")
	}
	tracker.Adopt(Quarantine{Key: 4, Until: now + 50*time.Second})
	tracker.Answered(now-time.Minute, 4) // long before the crashes
	if !quarantinedKeys(tracker, now)[4] {
		t.Error("a key that was answered only before its crashes is not quarantined")
	}
}

// Guards against crashes between the moment in which a sound segment is cleared and the one in
// which the hosts have been asked about the segment that crashes upstreams.
func TestClearedSegmentIsReplacedAtOnce(t *testing.T) {
	tracker := NewTracker()
	now := crashAll(tracker, time.Hour, 3, 1, 2, 3)
	tracker.Adopt(Quarantine{Key: 3, Until: now + time.Minute})
	tracker.Quarantined(now, 0) // the other segments are suspected; no host has been asked
	tracker.Answered(now, 3)
	now += 200 * time.Millisecond
	if len(tracker.Quarantined(now, 0)) == 0 {
		t.Error("nothing is quarantined while hosts are asked")
	}
	tracker.Answered(now, 1)
	keys := quarantinedKeys(tracker, now)
	if !keys[2] || keys[3] {
		t.Errorf("quarantined %v after the hosts have been asked, want 2", keys)
	}
	tracker = NewTracker()
	now = crashAll(tracker, time.Hour, 3, 1, 2, 3)
	tracker.Adopt(Quarantine{Key: 3, Until: now + time.Minute})
	tracker.Quarantined(now, 0)
	tracker.Answered(now, 3)
	now += maxConsultation + 200*time.Millisecond
	if keys := quarantinedKeys(tracker, now); keys[3] {
		t.Errorf("quarantined %v, though a host that does not reply is waited for no longer", keys)
	}
}

// Guards against a sound request that is refused for a minute because its repetitions were lost
// beside requests that crash upstreams.
func TestRequestLostBesideACrashingSegmentIsCleared(t *testing.T) {
	const crashing, repeated = Key(2), Key(77)
	tracker := NewTracker()
	now := time.Hour
	crash := func(beside bool) {
		now += time.Second
		id := uint64(now.Milliseconds())
		run := LostRun{ID: id, Upstream: "e", StartedMS: int64(id), Request: Key(10_000 + id), Segments: []Key{1, crashing}}
		tracker.Record(now, now, run)
		if beside {
			run.ID, run.Request, run.Segments = id+1, repeated, []Key{1}
			tracker.Record(now, now, run)
		}
	}
	tracker.Answered(now, 1)
	for range 3 {
		crash(true)
		tracker.Answered(now, 1)
	}
	if !quarantinedKeys(tracker, now)[repeated] {
		t.Fatal("the repeated request is not quarantined by crashes that nothing else explains better")
	}
	crash(false)
	tracker.Answered(now, 1)
	tracker.Quarantined(now, now)
	now += refreshInterval + time.Millisecond
	if keys := quarantinedKeys(tracker, now); keys[repeated] || !keys[crashing] {
		t.Errorf("quarantined %v, want the crashing segment alone", keys)
	}
}

// Guards against a sound segment that is refused because the host that had answered it, longer ago
// than answerWindow, replied too late: it was asked, but is not waited for longer than a second.
func TestLateAnswerMovesTheQuarantine(t *testing.T) {
	const first, crashing, behind = Key(1), Key(2), Key(3)
	tracker := NewTracker()
	now := crashAll(tracker, time.Hour, 3, first, crashing, behind)
	tracker.Quarantined(now, 0)
	now += maxConsultation + refreshInterval
	if held := tracker.Quarantined(now, 0); len(held) != 1 || held[0].Key != behind {
		t.Fatalf("quarantined %v without any reply, want the last segment", held)
	}
	now += time.Second
	answeredAt := time.Hour - 14*time.Second
	tracker.Answered(answeredAt, behind)
	tracker.Answered(answeredAt, first)
	if keys := quarantinedKeys(tracker, now); keys[behind] || keys[first] || !keys[crashing] {
		t.Errorf("quarantined %v after the late reply, want the segment that nobody has answered", keys)
	}
}

// Guards against trials that all go to requests which crash upstreams: they lack a segment that
// stood in most of the crashes, and the trial that clears the sound segment took place no more.
func TestFailedTrialSpeaksAgainstItsAlternative(t *testing.T) {
	const sound, crashing, other = Key(1), Key(2), Key(3)
	tracker := NewTracker()
	now := crashAll(tracker, time.Hour, 3, crashing, sound, other)
	now = crashAll(tracker, now+time.Second, 1, sound, crashing)
	tracker.Adopt(Quarantine{Key: sound, Until: now + time.Minute})
	tracker.Quarantined(now, now)
	tracker.BeginTrial(now, now, "host", sound)
	trials := tracker.Trials(now, now)
	if len(trials) != 1 || len(trials[0].Without) != 2 || trials[0].Host != "host" {
		t.Fatalf("trials %+v, want one that any of two segments tells apart", trials)
	}
	now = crashAll(tracker, now+time.Second, 1, sound, crashing) // a request without the other segment
	tracker.ReportTrial(now, "host", sound, trials[0].ID, TrialLost)
	now += refreshInterval + time.Millisecond
	trials = tracker.Trials(now, now)
	if len(trials) != 1 || len(trials[0].Without) != 1 || trials[0].Without[0][0] != crashing {
		t.Errorf("trials %+v after a crash without the other segment, want requests without the crashing one only", trials)
	}
}
