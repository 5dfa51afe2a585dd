package quarantine

import (
	"slices"
	"testing"
	"time"
)

// trial returns the trial of a key, all hosts having been consulted.
func (s *scenario) trial(now time.Duration, key Key) (Trial, bool) {
	for _, trial := range s.Trials(now, now) {
		if trial.Key == key {
			return trial, true
		}
	}
	return Trial{}, false
}

// crashing returns a tracker that has quarantined the segment bad at the returned time.
func crashing() (*scenario, time.Duration) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start, i, Key(100+i), bad)
	}
	s.keys(start + time.Second)
	return s, start + initialQuarantine + time.Second
}

// Guards against refusing a sound segment that stands only behind the one that crashes
// upstreams: as all hosts refuse it, nothing but a trial can clear it.
func TestSegmentBehindTheCrashingOneIsCleared(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start, i, Key(100+i), first, bad, doc)
	}
	now := start + 2*time.Second
	s.expect(t, now, "three crashes", doc)
	trial, open := s.trial(now, doc)
	if !open || len(trial.Without) != 2 || !slices.Equal(slices.Concat(trial.Without...), []Key{first, bad}) || trial.Host != "" {
		t.Fatalf("trial %+v, %v; want one of requests without either of the other segments", trial, open)
	}
	s.BeginTrial(now, now, "a", doc)
	s.BeginTrial(now, now, "b", doc)
	if trial, _ = s.trial(now, doc); trial.Host != "a" {
		t.Fatalf("trial at %q, want the first host that asked", trial.Host)
	}
	s.expect(t, now+time.Second, "the trial runs", doc)
	now += 2 * time.Second
	s.Answered(now, first)
	s.ReportTrial(now, "a", doc, trial.ID, TrialAnswered)
	s.expect(t, now, "the trial was answered", bad)
}

// Guards against refusing for long what two segments that crash upstreams at once, and crashes
// of another cause, have in common.
func TestSegmentBeforeTwoCrashingOnesIsCleared(t *testing.T) {
	const other Key = 9
	s := newScenario()
	for i := range int64(3) {
		s.lose(start, i, Key(100+i), first, bad)
		s.lose(start, 10+i, Key(200+i), first, other)
	}
	s.lose(start, 20, 300, first)
	now := start + 2*time.Second
	s.expect(t, now, "seven crashes", first)
	trial, open := s.trial(now, first)
	if !open || len(trial.Without) != 1 || !slices.Equal(trial.Without[0], []Key{bad, other}) {
		t.Fatalf("trial %+v, %v; want one of requests without both of the deeper segments", trial, open)
	}
	s.Answered(now, first)
	s.expect(t, now, "the trial was answered", bad, other)
}

// Guards against taking a segment for the one that crashes upstreams that was answered some
// time before, while another that explains the crashes never was.
func TestSegmentAnsweredBeforeIsNotBlamed(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start, i, Key(100+i), bad, doc)
		s.Answered(start-2*answerWindow, doc)
	}
	s.lose(start-time.Minute, 9, 200, doc)
	s.expect(t, start+2*time.Second, "three crashes, and an earlier one of another cause", bad)
}

// Guards against a quarantine that ends on all hosts at once, so that each lets requests
// through until a crash is known to all.
func TestOneTrialEndsAQuarantine(t *testing.T) {
	s, now := crashing()
	if _, open := s.trial(now-2*time.Second, bad); open {
		t.Error("a trial before the end of the quarantine")
	}
	s.BeginTrial(now, now, "a", bad)
	trial, _ := s.trial(now, bad)
	for second := range 6 { // the host goes on to report it
		now += time.Second
		s.BeginTrial(now, now, "b", bad)
		s.ReportTrial(now, "a", bad, trial.ID, TrialRunning)
		if other, open := s.trial(now, bad); !open || other.ID != trial.ID {
			t.Fatalf("trial %+v, %v after %d s, want the first", other, open, second)
		}
	}
	s.ReportTrial(now, "b", bad, trial.ID, TrialAnswered) // not its trial
	s.lose(now, 10, 110, bad)
	s.ReportTrial(now, "a", bad, trial.ID, TrialLost)
	s.expect(t, now+2*initialQuarantine-time.Second, "after a failed trial", bad)
	if _, open := s.trial(now+2*initialQuarantine-time.Second, bad); open {
		t.Error("a trial within the second quarantine")
	}
	now += 2*initialQuarantine + time.Second
	s.BeginTrial(now, now, "b", bad)
	trial, _ = s.trial(now, bad)
	s.ReportTrial(now, "b", bad, trial.ID, TrialAnswered)
	if _, open := s.trial(now+time.Second, bad); open || len(s.holds) != 0 {
		t.Error("quarantined after the trial was answered")
	}
}

// Guards against more than three requests that reach upstreams after the crashes that led to
// a quarantine, whatever becomes of the trials, and against an answer assumed for a trial
// whose host has stopped.
func TestTrialsAreFew(t *testing.T) {
	for name, outcome := range map[string]TrialOutcome{"lost": TrialLost, "unknown": TrialUnknown, "silent host": TrialRunning} {
		t.Run(name, func(t *testing.T) {
			s, now := crashing()
			trials, begun := 0, uint64(0)
			for end := start + 20*time.Minute; now < end; now += 500 * time.Millisecond {
				trial, open := s.trial(now, bad)
				if len(s.holds) != 1 || !open && len(s.Quarantined(now, now)) == 0 {
					t.Fatalf("neither quarantined nor on trial after %v", now-start)
				}
				if open && trial.Host == "" {
					s.BeginTrial(now, now, "a", bad)
					trial, _ = s.trial(now, bad)
				}
				if open && trial.ID != begun {
					trials, begun = trials+1, trial.ID
					if outcome != TrialRunning {
						s.ReportTrial(now, "a", bad, begun, outcome)
					}
				}
			}
			if trials < 2 || trials > 3 {
				t.Errorf("%d trials, want 2 or 3", trials)
			}
		})
	}
}

// Guards against two trials at a time after a change of the coordinator.
func TestTrialOutlivesItsTracker(t *testing.T) {
	before, now := crashing()
	before.BeginTrial(now, now, "a", bad)
	trial, _ := before.trial(now, bad)
	s := newScenario()
	s.Adopt(Quarantine{Key: bad, Until: now, FailedTrials: 1})
	s.ReportTrial(now, "a", bad, trial.ID, TrialRunning)
	now += time.Second
	s.BeginTrial(now, now, "b", bad)
	if other, open := s.trial(now, bad); !open || other.Host != "a" {
		t.Errorf("trial %+v, %v; want that of the tracker before", other, open)
	}
	s.ReportTrial(now, "a", bad, trial.ID, TrialLost)
	s.expect(t, now+maxQuarantine-time.Second, "the second failed trial", bad)
}
