package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Quarantined returns the keys that hosts refuse. consulted is the time up to which all
// hosts have been asked about the keys that were suspected then, and have replied.
func (t *Tracker) Quarantined(now, consulted time.Duration) []Quarantine {
	t.refresh(now, consulted)
	return t.quarantined
}

// Suspected returns the keys of which hosts are asked whether they were answered. A request
// that has one should not be given a second upstream.
func (t *Tracker) Suspected(now, consulted time.Duration) []Key {
	t.refresh(now, consulted)
	return t.suspected
}

func (t *Tracker) refresh(now, consulted time.Duration) {
	if !t.changed && !t.consulting && now-t.evaluatedAt < refreshInterval {
		return
	}
	t.changed, t.evaluatedAt = false, now
	t.expire(now)
	t.reviewHolds(now, consulted)
	for _, key := range t.candidates(now, consulted) {
		if e := t.evidence[key]; !t.isExplained(e) {
			h := newHold(e.last(1)+initialQuarantine, 0)
			t.hold(key, h)
			t.decide(Decision{Key: key, Request: e.isRequest(), Crashes: len(e.crashes), Until: h.until})
		}
	}
	t.publish(now)
}

func (t *Tracker) decide(d Decision) {
	if len(t.decisions) < maxQuarantined {
		t.decisions = append(t.decisions, d)
	}
}

// TakeDecisions returns the decisions since the last call.
func (t *Tracker) TakeDecisions() []Decision {
	taken := t.decisions
	t.decisions = nil
	return taken
}

// expire drops crashes that are older than crashRetention.
func (t *Tracker) expire(now time.Duration) {
	kept := slices.DeleteFunc(slices.Clone(t.crashes), func(c *crash) bool { return now-c.at > crashRetention })
	if len(kept) == len(t.crashes) {
		return
	}
	t.crashes = kept
	t.rebuild()
	t.changed = false
}

// reviewHolds lifts quarantines of keys that were answered, extends those of keys that
// crash upstreams further, and drops those whose probation has ended.
func (t *Tracker) reviewHolds(now, consulted time.Duration) {
	for key, h := range t.holds {
		e := t.evidence[key]
		answeredAt, answered := t.answers[key]
		switch {
		case answered && answeredAt > h.until:
			delete(t.holds, key)
			t.decide(Decision{Key: key, Lifted: true})
		case now > h.until+probationTime:
			delete(t.holds, key)
		case e == nil && answered && answeredAt > h.lastCrash()-answerWindow:
			delete(t.holds, key)
			t.decide(Decision{Key: key, Lifted: true})
		case e == nil:
		case answered && t.hasLikelierSegment(now, consulted, e):
			delete(t.holds, key)
			t.decide(Decision{Key: key, Request: e.isRequest(), Lifted: true, Crashes: len(e.crashes)})
		case t.isOutweighed(e):
			delete(t.holds, key)
			t.decide(Decision{Key: key, Request: true, Lifted: true, Crashes: len(e.crashes)})
		case t.isAnswered(key, e) && t.awaitsReplacement(now, consulted, e):
			// Nothing would be refused until the hosts have been asked about the other keys.
		case t.isAnswered(key, e):
			delete(t.holds, key)
			t.decide(Decision{Key: key, Request: e.isRequest(), Lifted: true, Crashes: len(e.crashes)})
		case e.last(1) > h.until:
			h.renew(e.last(1))
			t.decide(Decision{Key: key, Request: e.isRequest(), Crashes: len(e.crashes), Until: h.until})
		default:
			h.until = max(h.until, e.last(1)+h.duration)
		}
	}
}

// hasLikelierSegment reports whether a segment that was never answered explains all crashes of a
// quarantined segment that was, however long ago. A host's answers may arrive after the decision,
// as it is not waited for longer than maxConsultation.
func (t *Tracker) hasLikelierSegment(now, consulted time.Duration, e *evidence) bool {
	if e.isRequest() || len(e.crashes) < crashThreshold {
		return false
	}
	for key, other := range t.evidence {
		_, answered := t.answers[key]
		if other == e || answered || other.isRequest() || t.holds[key] != nil || !other.asked(now, consulted) {
			continue
		}
		if len(without(e.crashes, other.crashes)) == 0 {
			return true
		}
	}
	return false
}

// isOutweighed reports whether a quarantined segment explains all crashes of a request, and
// further ones: the request was lost beside others that crash upstreams.
func (t *Tracker) isOutweighed(e *evidence) bool {
	if !e.isRequest() {
		return false
	}
	for key := range t.holds {
		other := t.evidence[key]
		if other == nil || other.isRequest() {
			continue
		}
		if len(without(e.crashes, other.crashes)) == 0 && len(without(other.crashes, e.crashes)) > 0 {
			return true
		}
	}
	return false
}

// awaitsReplacement reports whether another segment will be quarantined for the crashes of an
// answered key, unless hosts that are being asked have answered it.
func (t *Tracker) awaitsReplacement(now, consulted time.Duration, e *evidence) bool {
	for key, other := range t.evidence {
		if other == e || other.isRequest() || t.holds[key] != nil || t.isAnswered(key, other) || other.asked(now, consulted) {
			continue
		}
		shared := len(e.crashes) - len(without(e.crashes, other.crashes))
		if shared >= crashThreshold && now-other.last(1) <= suspicionTime {
			return true
		}
	}
	return false
}

// asked reports whether all hosts have been asked whether a key was answered.
func (e *evidence) asked(now, consulted time.Duration) bool {
	return e.suspected && (e.suspectedAt <= consulted || now-e.suspectedAt > maxConsultation)
}

// isAnswered reports whether a key was answered too lately to be what crashes upstreams.
func (t *Tracker) isAnswered(key Key, e *evidence) bool {
	at, ok := t.answers[key]
	return ok && at > e.last(crashThreshold)-answerWindow
}

// candidates returns the keys with enough crashes to be quarantined. Those come first that
// are not known to have been answered, however long ago; then those of most crashes; of
// equally many the deepest: the segments before it are shared by more requests, so it says
// best what the crashes have in common. If a sound segment stands
// only behind the one that crashes upstreams, this takes it for that one until a trial with a
// request that lacks one of the two has been answered.
func (t *Tracker) candidates(now, consulted time.Duration) []Key {
	var keys []Key
	t.consulting = false
	for key, e := range t.evidence {
		if len(e.crashes) < crashThreshold || t.holds[key] != nil || t.isAnswered(key, e) {
			continue
		}
		if e.isRequest() || e.asked(now, consulted) {
			keys = append(keys, key)
			continue
		}
		t.consulting = true
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.evidence[a], t.evidence[b]
		return cmp.Or(cmp.Compare(min(t.answers[a], 1), min(t.answers[b], 1)), cmp.Compare(len(y.crashes), len(x.crashes)),
			cmp.Compare(t.answers[a], t.answers[b]), cmp.Compare(y.depth, x.depth), cmp.Compare(a, b))
	})
	return keys
}

// isExplained reports whether quarantined keys explain the crashes that speak against a
// key. A segment explains each crash in which it stood. A request explains those of a
// segment only if it explains all of them: otherwise the segment is what several requests
// that crash upstreams have in common.
func (t *Tracker) isExplained(e *evidence) bool {
	left := slices.Clone(e.crashes)
	for key := range t.holds {
		other := t.evidence[key]
		if other == nil {
			continue
		}
		unexplained := without(e.crashes, other.crashes)
		if len(unexplained) == 0 {
			return true
		}
		if !other.isRequest() {
			left = without(left, other.crashes)
		}
	}
	return len(left) < crashThreshold
}

func without(crashes, explained []*crash) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return slices.Contains(explained, c) })
}

// publish computes the lists of quarantined and suspected keys.
func (t *Tracker) publish(now time.Duration) {
	t.quarantined, t.suspected, t.trials = nil, nil, nil
	t.unanswered = t.unansweredSegments()
	for key, h := range t.holds {
		t.endSilentTrial(now, key, h)
		if now <= h.until {
			t.quarantined = append(t.quarantined, Quarantine{Key: key, Until: h.until, FailedTrials: h.failed, Alternatives: t.alternatives(key)})
		}
		if offer, open := t.offer(now, key, h); open {
			t.trials = append(t.trials, offer)
		}
	}
	if t.supportingStale {
		t.supporting, t.supportingStale = t.supportingRuns(), false
	}
	slices.SortFunc(t.trials, func(a, b Trial) int { return cmp.Compare(a.Key, b.Key) })
	for key, e := range t.evidence {
		suspected := len(e.crashes) >= suspicionThreshold && now-e.last(1) <= suspicionTime && t.holds[key] == nil && !t.isAnswered(key, e)
		if suspected && !e.suspected {
			e.suspectedAt = now
		}
		e.suspected = suspected
		if suspected {
			t.suspected = append(t.suspected, key)
		}
	}
	slices.SortFunc(t.quarantined, func(a, b Quarantine) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortFunc(t.suspected, func(a, b Key) int {
		return cmp.Or(cmp.Compare(len(t.evidence[b].crashes), len(t.evidence[a].crashes)), cmp.Compare(a, b))
	})
	t.suspected = t.suspected[:min(len(t.suspected), maxSuspected)]
}
