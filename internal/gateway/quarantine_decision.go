package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// quarantineDecision is the decision on a request.
type quarantineDecision struct {
	key       quarantine.Key // for which the request is refused
	remaining time.Duration  // until it may come back; 0: it is not refused
	wanted    []quarantine.Key
	open      map[quarantine.Key]*hostTrial // trials that the request may use
}

func (a *quarantineDecision) refuse(key quarantine.Key, remaining time.Duration) {
	if remaining > a.remaining {
		a.key, a.remaining = key, remaining
	}
}

// check decides on a request; of is its part in trials, nil if it has none. It requires q.mu.
func (q *requestQuarantine) check(keys quarantineKeys, coordinated bool, of *requestTrial) quarantineDecision {
	now := q.now()
	var a quarantineDecision
	for _, key := range keys.all() {
		d := q.decided[key]
		if d == nil || q.isTrying(now, key, of) {
			continue
		}
		if d.until > now && !keys.tellsApart(q.alternatives(now, key, d, coordinated)) {
			a.refuse(key, d.until-now)
			continue
		}
		q.beginAlone(now, key, d, coordinated)
		q.checkTrial(now, key, &a)
	}
	if !coordinated {
		q.checkOwn(now, keys, of, &a)
	}
	return a
}

// tellsApart reports whether a request has no key of at least one group.
func (k quarantineKeys) tellsApart(groups [][]quarantine.Key) bool {
	return slices.ContainsFunc(groups, func(group []quarantine.Key) bool { return !slices.ContainsFunc(group, k.has) })
}

// checkTrial lets a request use the trial of a key, or refuses it.
func (q *requestQuarantine) checkTrial(now time.Duration, key quarantine.Key, a *quarantineDecision) {
	if t := q.trials[key]; t != nil && t.isOpen(now) {
		if a.open == nil {
			a.open = map[quarantine.Key]*hostTrial{}
		}
		a.open[key] = t
		return
	}
	a.wanted = append(a.wanted, key)
	a.refuse(key, trialRetryAfter)
}

// checkOwn decides by the lost runs of this host. Nothing is tried after the end of a
// quarantine that only this host has decided: it does not know the others' quarantines.
// A request that tells segments apart may run.
func (q *requestQuarantine) checkOwn(now time.Duration, keys quarantineKeys, of *requestTrial, a *quarantineDecision) {
	trials := map[quarantine.Key]quarantine.Trial{}
	for _, trial := range q.own.Trials(now, now) {
		trials[trial.Key] = trial
		if len(trial.Without) == 0 && keys.has(trial.Key) && q.decided[trial.Key] == nil {
			a.refuse(trial.Key, trialRetryAfter)
		}
	}
	for _, own := range q.own.Quarantined(now, now) {
		if !keys.has(own.Key) || q.decided[own.Key] != nil || q.isTrying(now, own.Key, of) {
			continue
		}
		trial := trials[own.Key]
		if !keys.tellsApart(trial.Without) {
			a.refuse(own.Key, own.Until-now)
			continue
		}
		q.beginOwnTrial(now, own.Key)
		q.checkTrial(now, own.Key, a)
	}
}

func (k quarantineKeys) has(key quarantine.Key) bool {
	return key == k.request || slices.Contains(k.segments, key)
}

// alternatives returns the groups of keys that tell a request apart before the end of a
// quarantine: those of the coordinator's trial. A host without a coordinator goes by the lost
// runs that it knows of if that one had none, as it may not have known them itself yet.
func (q *requestQuarantine) alternatives(now time.Duration, key quarantine.Key, d *decidedQuarantine, coordinated bool) [][]quarantine.Key {
	groups := d.alternatives()
	if len(groups) == 0 && (!coordinated || now-q.settledAt >= isolatedTrialDelay) && quarantine.MayTryEarly(d.failed) {
		return q.own.Alternatives(now, now, key)
	}
	return groups
}

// alternatives returns the groups of keys that explain the crashes as well, as far as the
// coordinator has told them.
func (d *decidedQuarantine) alternatives() [][]quarantine.Key {
	if d.trial == nil {
		return nil
	}
	return d.trial.Without
}

// admit decides on a request, and lets it use the trials that it needs.
func (q *requestQuarantine) admit(keys quarantineKeys, coordinated bool, of *requestTrial) (a quarantineDecision, trial *requestTrial) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a = q.check(keys, coordinated, of)
	if a.settle() {
		return a, of
	}
	trial = &requestTrial{trials: a.open}
	if of != nil {
		for key, t := range of.trials {
			trial.trials[key] = t
		}
	}
	for _, t := range a.open {
		t.request = keys.request
	}
	return a, trial
}

// settle reports whether a request uses no further trial.
func (a *quarantineDecision) settle() bool {
	if a.remaining <= 0 && len(a.open) > 0 {
		return false
	}
	if a.remaining > trialRetryAfter || len(a.wanted) == 0 {
		a.wanted = nil // another key refuses the request anyway
	}
	return true
}

// preview decides on a request as admit does, without effect on trials. waits reports whether
// the request may wait for a trial.
func (q *requestQuarantine) preview(keys quarantineKeys, coordinated bool) (a quarantineDecision, waits bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	trials := q.trials
	q.trials = maps.Clone(trials) // check may begin trials
	defer func() { q.trials = trials }()
	a = q.check(keys, coordinated, nil)
	a.settle()
	return a, coordinated && q.mayWait(a.wanted)
}
