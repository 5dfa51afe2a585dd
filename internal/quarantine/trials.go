package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEarlyTrials is the number of failed trials after which none takes place before the
	// end of a quarantine.
	maxEarlyTrials = 2
	// maxUnknownTrials is the number of early trials without an outcome that count as a failed
	// one: their requests may have crashed upstreams. After the end of a quarantine each one
	// counts, as its request has all that the crashes had in common.
	maxUnknownTrials = 2
	// trialSilence is the time after which a trial ends of which its host says nothing.
	trialSilence = 3 * time.Second
	// maxTrialTime bounds a trial.
	maxTrialTime = 20 * time.Second
	// maxWithout bounds the groups of keys of which the request of an early trial must have
	// none, and the keys of a group.
	maxWithout = 8
)

// Trial is a quarantined key of which one request at a time may run, at the host that the
// trial names, to find out whether the key still crashes upstreams.
type Trial struct {
	Key Key
	// Without is empty after the end of the quarantine. Before it, only requests may be tried
	// that have no key of at least one of these groups: each group explains the crashes as
	// well, and a request that has none of it tells them apart.
	Without [][]Key
	Host    string // that may run a request; "": none yet
	ID      uint64 // of the trial in progress
	// FailedTrials is the number of trials that crashed an upstream.
	FailedTrials int
}

// TrialOutcome is what a host knows of its trial.
type TrialOutcome uint8

// Outcomes of a trial.
const (
	TrialRunning  TrialOutcome = iota // no outcome yet
	TrialAnswered                     // the request was answered
	TrialLost                         // the run was lost
	TrialUnused                       // no request was sent
	TrialUnknown                      // the request ended in another way
)

// trial is a trial in progress.
type trial struct {
	id                 uint64
	host               string
	startedAt, heardAt time.Duration
}

// Trials returns the quarantined keys that are open for a trial.
func (t *Tracker) Trials(now, consulted time.Duration) []Trial {
	t.refresh(now, consulted)
	return t.trials
}

// MayTryEarly reports whether a quarantined key may be tried before the end of its quarantine
// after a number of failed trials.
func MayTryEarly(failed int) bool { return failed < maxEarlyTrials }

// Alternatives returns the groups of keys of which the request of a trial before the end of a
// key's quarantine must lack one, see Trial.Without.
func (t *Tracker) Alternatives(now, consulted time.Duration, key Key) [][]Key {
	t.refresh(now, consulted)
	return t.alternatives(key)
}

// offer returns the trial of a quarantine, if one may take place.
func (t *Tracker) offer(now time.Duration, key Key, h *hold) (offer Trial, open bool) {
	offer = Trial{Key: key, FailedTrials: h.failed}
	if now <= h.until {
		if MayTryEarly(h.failed) {
			offer.Without = t.alternatives(key)
		}
		if len(offer.Without) == 0 {
			return offer, false
		}
	}
	if h.trial != nil {
		offer.Host, offer.ID = h.trial.host, h.trial.id
	}
	return offer, true
}

// alternatives returns groups of segments that were not answered, each of which explains the
// crashes of a segment as well as it does itself: single segments that stood in all of them,
// and the others together if they leave too few crashes for a quarantine.
func (t *Tracker) alternatives(key Key) [][]Key {
	e := t.evidence[key]
	if h := t.holds[key]; h != nil && (e == nil || len(e.crashes) < crashThreshold) {
		return h.alternatives
	}
	if e == nil || e.isRequest() {
		return nil
	}
	var groups [][]Key
	var others []Key
	left := e.crashes
	for _, other := range t.unanswered {
		o := t.evidence[other]
		if other == key || o == nil {
			continue
		}
		switch rest := without(e.crashes, o.crashes); {
		case len(rest) == 0:
			groups = append(groups, []Key{other})
		case len(e.crashes)-len(rest) >= suspicionThreshold && len(others) < maxWithout:
			others, left = append(others, other), without(left, o.crashes)
		}
	}
	if len(others) > 0 && len(left) < crashThreshold {
		groups = append(groups, others)
	}
	groups = t.withoutRefuted(groups, key, e)
	return groups[:min(len(groups), maxWithout)]
}

// withoutRefuted returns the groups that the failed trials of a key do not speak against, or all
// if they speak against each: an upstream may have crashed for another reason.
func (t *Tracker) withoutRefuted(groups [][]Key, key Key, e *evidence) [][]Key {
	h := t.holds[key]
	if h == nil || h.failed == 0 {
		return groups
	}
	trials := e.crashes[max(0, len(e.crashes)-h.failed):]
	left := slices.DeleteFunc(slices.Clone(groups), func(group []Key) bool { return t.isRefuted(group, trials) })
	if len(left) == 0 {
		return groups
	}
	return left
}

// isRefuted reports whether one of the crashes of failed trials had no key of a group: another
// request without the group would show no more, and crash another upstream.
func (t *Tracker) isRefuted(group []Key, trials []*crash) bool {
	return slices.ContainsFunc(trials, func(c *crash) bool {
		return !slices.ContainsFunc(group, func(key Key) bool { return slices.Contains(t.evidence[key].crashes, c) })
	})
}

// unansweredSegments returns the segments that may be what crashes upstreams, in the order of
// prompts.
func (t *Tracker) unansweredSegments() []Key {
	var keys []Key
	for key, e := range t.evidence {
		if !e.isRequest() && len(e.crashes) >= suspicionThreshold && !t.isAnswered(key, e) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(t.evidence[a].depth, t.evidence[b].depth), cmp.Compare(a, b))
	})
	return keys
}

// BeginTrial names a host that has a request with a quarantined key as the one that may run
// it, unless a trial of the key is in progress or none may take place.
func (t *Tracker) BeginTrial(now, consulted time.Duration, host string, key Key) {
	t.refresh(now, consulted)
	h := t.holds[key]
	if h == nil {
		return
	}
	t.endSilentTrial(now, key, h)
	offer, open := t.offer(now, key, h)
	if !open || offer.Host != "" {
		return
	}
	// A number from the clock differs from those that the trackers before have used.
	t.lastTrial = max(t.lastTrial+1, uint64(now.Microseconds()))
	h.trial = &trial{id: t.lastTrial, host: host, startedAt: now, heardAt: now}
	t.changed = true
}

// ReportTrial records what a host says of its trial. A trial in progress that another
// tracker has begun goes on.
func (t *Tracker) ReportTrial(now time.Duration, host string, key Key, id uint64, outcome TrialOutcome) {
	h := t.holds[key]
	if h == nil {
		return
	}
	if h.trial == nil && outcome == TrialRunning {
		h.trial = &trial{id: id, host: host, startedAt: now, heardAt: now}
		t.changed = true
		return
	}
	if h.trial == nil || h.trial.id != id || h.trial.host != host {
		return
	}
	t.changed = true
	switch outcome {
	case TrialRunning:
		h.trial.heardAt = now
	case TrialAnswered:
		h.trial = nil
		t.Answered(now, key)
	case TrialLost:
		t.failTrial(now, key, h)
	case TrialUnknown:
		t.endUnknownTrial(now, key, h)
	default:
		h.trial = nil
	}
}

// EndTrial records the outcome of a trial that a host has run without asking: it decides
// alone. An answer is recorded by Answered.
func (t *Tracker) EndTrial(now time.Duration, key Key, outcome TrialOutcome) {
	h := t.holds[key]
	if h == nil {
		return
	}
	switch outcome {
	case TrialLost:
		t.failTrial(now, key, h)
	case TrialUnknown:
		t.endUnknownTrial(now, key, h)
	default:
		return
	}
	t.changed = true
}

// endSilentTrial ends a trial whose host has stopped, or that takes too long. Its outcome is
// unknown.
func (t *Tracker) endSilentTrial(now time.Duration, key Key, h *hold) {
	if h.trial != nil && (now-h.trial.heardAt > trialSilence || now-h.trial.startedAt > maxTrialTime) {
		t.endUnknownTrial(now, key, h)
	}
}

func (t *Tracker) endUnknownTrial(now time.Duration, key Key, h *hold) {
	h.trial = nil
	h.unknown++
	if h.unknown >= maxUnknownTrials || now > h.until {
		t.failTrial(now, key, h)
	}
}

func (t *Tracker) failTrial(now time.Duration, key Key, h *hold) {
	h.renew(now)
	decision := Decision{Key: key, Until: h.until}
	if e := t.evidence[key]; e != nil {
		decision.Request, decision.Crashes = e.isRequest(), len(e.crashes)
	}
	t.decide(decision)
}
