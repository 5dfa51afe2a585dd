package retry

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

const (
	// trialRetryAfter is the time after which a request is to come back that is refused while
	// another one may show whether their segment still crashes upstreams.
	trialRetryAfter = time.Second
	// trialOutcomeTime is how long after the end of a trial's request a crash may be
	// attributed to it. After that its outcome is unknown.
	trialOutcomeTime = lostRunTTL + time.Second
	// maxTrialTime bounds a trial.
	maxTrialTime = time.Minute
)

// SegmentTrial is a request's part in the trials of quarantined segments.
type SegmentTrial struct {
	segments *Segments
	keys     []quarantine.Key
}

// segmentTrial is a trial at this host.
type segmentTrial struct {
	begunAt time.Duration
	endedAt time.Duration // of its request; 0: it runs
}

// SetOwner sets the function that reports whether this host, and no other one, runs the
// trials of a segment. Without it the host is alone.
func (s *Segments) SetOwner(owns func(segment quarantine.Key) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owns = owns
}

// Admit reports whether a request with some segments is refused, and until when. One request
// of a quarantined segment at a time runs as a trial, at the host that owns its trials; part
// is what the request has in trials already, nil if nothing.
func (s *Segments) Admit(now time.Time, segments []quarantine.Key, part *SegmentTrial) (trial *SegmentTrial, until time.Time, refused bool) {
	if len(segments) == 0 {
		return part, time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since(now)
	s.endTrials(at)
	var end time.Duration
	var open, decided []quarantine.Key
	for _, offer := range s.tracker.Trials(at, notConsulted) {
		switch key := offer.Key; {
		case !slices.Contains(segments, key), len(offer.Without) > 0 && !tellsApart(segments, offer.Without):
		case part != nil && slices.Contains(part.keys, key):
			decided = append(decided, key)
		case s.trials[key] == nil && (s.owns == nil || s.owns(key)):
			decided, open = append(decided, key), append(open, key)
		default:
			decided, end = append(decided, key), max(end, at+trialRetryAfter)
		}
	}
	for _, q := range s.tracker.Quarantined(at, notConsulted) {
		if slices.Contains(segments, q.Key) && !slices.Contains(decided, q.Key) {
			end = max(end, q.Until)
		}
	}
	if end > 0 || len(open) == 0 {
		return part, s.epoch.Add(end), end > 0
	}
	trial = &SegmentTrial{segments: s, keys: open}
	if part != nil {
		trial.keys = append(trial.keys, part.keys...)
	}
	for _, key := range open {
		s.trials[key] = &segmentTrial{begunAt: at}
	}
	return trial, time.Time{}, false
}

// tellsApart reports whether a request has no segment of at least one group.
func tellsApart(segments []quarantine.Key, groups [][]quarantine.Key) bool {
	return slices.ContainsFunc(groups, func(group []quarantine.Key) bool {
		return !slices.ContainsFunc(group, func(key quarantine.Key) bool { return slices.Contains(segments, key) })
	})
}

// End ends the trial of a request; ran reports whether it may have run. It may be nil.
func (t *SegmentTrial) End(now time.Time, ran bool) {
	if t == nil {
		return
	}
	s := t.segments
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range t.keys {
		if trial := s.trials[key]; trial != nil && ran {
			trial.endedAt = s.since(now)
		} else {
			delete(s.trials, key)
		}
	}
}

// endTrials forgets the trials whose outcome is known, or was not known in time. It requires
// s.mu.
func (s *Segments) endTrials(now time.Duration) {
	for key, trial := range s.trials {
		answered, ok := s.answers.At(key)
		switch {
		case ok && answered >= trial.begunAt:
			delete(s.trials, key)
		case now-trial.begunAt > maxTrialTime, trial.endedAt > 0 && now-trial.endedAt > trialOutcomeTime:
			delete(s.trials, key)
			s.tracker.EndTrial(now, key, quarantine.TrialUnknown)
		}
	}
}

// recordTrialAnswers clears the segments of an answered request that are quarantined, and
// makes peers learn of the answer. It requires s.mu.
func (s *Segments) recordTrialAnswers(now time.Duration, segments []quarantine.Key) {
	for _, q := range s.tracker.Quarantined(now, notConsulted) {
		if slices.Contains(segments, q.Key) {
			s.suspectedAt[q.Key] = now
		}
	}
	for _, trial := range s.tracker.Trials(now, notConsulted) {
		if slices.Contains(segments, trial.Key) {
			s.suspectedAt[trial.Key] = now
		}
	}
	for _, key := range segments {
		s.tracker.Answered(now, key)
	}
}
