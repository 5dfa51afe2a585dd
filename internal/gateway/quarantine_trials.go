package gateway

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

const (
	// trialRetryAfter is the time after which a request is to come back that is refused while
	// the trial of another one runs.
	trialRetryAfter = time.Second
	// trialWait is how long a request that may be tried waits for the coordinator to name
	// this host: one exchange, also in a large fleet.
	trialWait = 600 * time.Millisecond
	// trialWaitStep is the interval at which it looks.
	trialWaitStep = 20 * time.Millisecond
	// unusedTrialTime is how long a trial waits for a request.
	unusedTrialTime = 2 * time.Second
	// maxTrialWait is how long after its begin the request of a trial may still be sent. It is
	// shorter than the time after which the coordinator counts the trial as ended.
	maxTrialWait = 15 * time.Second
	// trialOutcomeTime is how long after the end of its request a trial waits for an outcome.
	trialOutcomeTime = time.Second
	// isolatedTrialDelay is how long a host has to be without a coordinator that names hosts for
	// trials before it runs one that tells keys apart on its own: another host takes over a lease
	// in less.
	isolatedTrialDelay = 4500 * time.Millisecond
	// deputyDelay is how long a host has to be without a coordinator before it runs trials as
	// a deputy: those that the coordinator has begun have ended.
	deputyDelay = 20 * time.Second
)

// hostTrial is a trial at this host.
type hostTrial struct {
	id      uint64        // given by the coordinator; 0: this host's own
	begunAt time.Duration // when this host learned of it
	request quarantine.Key
	// outcomeBy is the time after which the outcome is unknown; 0: the request has not ended.
	outcomeBy time.Duration
	outcome   quarantine.TrialOutcome
}

// isOpen reports whether a request may still use the trial.
func (t *hostTrial) isOpen(now time.Duration) bool {
	return t.outcome == quarantine.TrialRunning && t.request == 0 && now-t.begunAt <= unusedTrialTime
}

// requestTrial is a request's part in the trials of its keys.
type requestTrial struct {
	trials map[quarantine.Key]*hostTrial
	ran    bool // the request may have run
	// uncertain reports that it is known later whether the response was complete.
	uncertain bool
	// abandoned is the upstream of a run that ended because the caller left or its time was up;
	// nil: none.
	abandoned *catalog.Upstream
}

// isTrying reports whether a request runs as the trial of a key.
func (q *requestQuarantine) isTrying(now time.Duration, key quarantine.Key, of *requestTrial) bool {
	if of == nil || of.trials[key] == nil {
		return false
	}
	t := of.trials[key]
	return q.trials[key] == t && t.outcome == quarantine.TrialRunning && now-t.begunAt <= maxTrialWait
}

// beginAlone begins a trial that no coordinator has named, if this host may. Before the end of a
// quarantine each host may for which none has named hosts for some time, as it can't learn the
// outcome of another host's trial; after it only the deputy may.
func (q *requestQuarantine) beginAlone(now time.Duration, key quarantine.Key, d *decidedQuarantine, coordinated bool) {
	switch {
	case d.until > now && now-q.settledAt >= isolatedTrialDelay && quarantine.MayTryEarly(d.failed):
	case !coordinated && d.deputy == q.host && q.host != "" && now-q.repliedAt >= deputyDelay:
	default:
		return
	}
	q.beginOwnTrial(now, key)
}

// beginOwnTrial begins a trial that no coordinator has named, unless one is in progress.
func (q *requestQuarantine) beginOwnTrial(now time.Duration, key quarantine.Key) {
	if t := q.trials[key]; t == nil || t.outcome != quarantine.TrialRunning || t.request == 0 {
		q.trials[key] = &hostTrial{begunAt: now}
	}
}

// mayWait reports whether a request may wait for trials of keys. It requires q.mu.
func (q *requestQuarantine) mayWait(keys []quarantine.Key) bool {
	return len(keys) > 0 && !slices.ContainsFunc(keys, func(key quarantine.Key) bool { return q.waiting[key] })
}

// beginWait makes a request that may be tried wait for the coordinator. It reports false if
// another one waits already.
func (q *requestQuarantine) beginWait(keys []quarantine.Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.mayWait(keys) {
		return false
	}
	for _, key := range keys {
		q.waiting[key], q.wanted[key] = true, q.now()
	}
	return true
}

func (q *requestQuarantine) endWait(keys []quarantine.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range keys {
		delete(q.waiting, key)
		delete(q.wanted, key)
	}
}

// finishTrial ends a request's part in trials. If its caller left early, the upstream tells
// whether the run crashed it.
func (g *Gateway) finishTrial(of *requestTrial) {
	g.exchanger.quarantine.finishTrial(of)
	if of == nil || of.abandoned == nil {
		return
	}
	time.AfterFunc(probeDelay, func() {
		err := confine.Call("look at the upstream of a trial", func() error {
			if g.connect(of.abandoned) == nil {
				g.exchanger.quarantine.endInconclusiveTrial(of)
			}
			return nil
		})
		if err != nil {
			g.log.Error(err, "Look at the upstream of a trial failed.", "upstream", of.abandoned.ID)
		}
	})
}

// endInconclusiveTrial records that a request whose outcome is not known did not crash its
// upstream: the trial shows nothing, and another request may be tried.
func (q *requestQuarantine) endInconclusiveTrial(of *requestTrial) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range of.trials {
		if t.outcome == quarantine.TrialRunning {
			t.outcome = quarantine.TrialUnused
		}
	}
}

// finishTrial records that the request of a trial has ended.
func (q *requestQuarantine) finishTrial(of *requestTrial) {
	if of == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range of.trials {
		switch {
		case t.outcome != quarantine.TrialRunning:
		case of.ran:
			t.outcomeBy = q.now() + trialOutcomeTime
			if of.uncertain {
				t.outcomeBy = q.now() + uncertainTime
			}
		default:
			t.outcome = quarantine.TrialUnused
		}
	}
}

// endTrials records the outcome of the trials that a request has run as. It requires q.mu.
func (q *requestQuarantine) endTrials(request quarantine.Key, outcome quarantine.TrialOutcome) {
	now := q.now()
	for key, t := range q.trials {
		if t.request != request || t.outcome != quarantine.TrialRunning {
			continue
		}
		t.outcome = outcome
		if t.id == 0 {
			q.endOwnTrial(now, key, outcome)
		}
	}
}

// endOwnTrial applies the outcome of a trial that no coordinator has begun.
func (q *requestQuarantine) endOwnTrial(now time.Duration, key quarantine.Key, outcome quarantine.TrialOutcome) {
	d := q.decided[key]
	switch {
	case d == nil:
	case outcome == quarantine.TrialAnswered:
		delete(q.decided, key)
		q.adoptOwn(now)
	default:
		d.failed++
		d.until = now + quarantine.DurationAfter(d.failed)
	}
	q.own.EndTrial(now, key, outcome)
}

// adoptOwn refuses, until the coordinator decides, what explains the crashes by this host's own
// tracker after it has cleared a key.
func (q *requestQuarantine) adoptOwn(now time.Duration) {
	for _, own := range q.own.Quarantined(now, now) {
		if q.decided[own.Key] == nil {
			q.decided[own.Key] = &decidedQuarantine{until: own.Until, failed: own.FailedTrials}
		}
	}
}

// reportTrials adds this host's trials to a report.
func (q *requestQuarantine) reportTrials(now time.Duration, report *quarantineReport) {
	for key, at := range q.wanted {
		if now-at <= trialWait {
			report.wanted = append(report.wanted, key)
		}
	}
	for key, t := range q.trials {
		if t.outcome == quarantine.TrialRunning {
			switch {
			case t.request == 0 && now-t.begunAt > unusedTrialTime:
				t.outcome = quarantine.TrialUnused
			case t.outcomeBy > 0 && now > t.outcomeBy:
				t.outcome = quarantine.TrialUnknown
				if t.id == 0 {
					q.endOwnTrial(now, key, t.outcome)
				}
			}
		}
		if t.id != 0 {
			report.trials = append(report.trials, coordinator.TrialReport{Key: key, ID: t.id, Outcome: t.outcome})
		}
	}
}

// applyTrials learns the trials that the coordinator has named this host for, and forgets
// those that it knows to have ended.
func (q *requestQuarantine) applyTrials(now time.Duration) {
	for key, d := range q.decided {
		if d.trial == nil || d.trial.Host != q.host || d.trial.ID == 0 {
			continue
		}
		if t := q.trials[key]; t == nil || t.id != d.trial.ID {
			q.trials[key] = &hostTrial{id: d.trial.ID, begunAt: now}
		}
	}
	for key, t := range q.trials {
		d := q.decided[key]
		named := d != nil && d.trial != nil && d.trial.ID == t.id
		if !named && t.outcome != quarantine.TrialRunning {
			delete(q.trials, key)
		}
	}
}

// dropOwn clears the quarantines that this host would decide alone, unless the coordinator
// has decided or may still decide them: it knows all lost runs, and the answers of all hosts.
func (q *requestQuarantine) dropOwn(now time.Duration) {
	if slices.ContainsFunc(q.lost, func(run reportedRun) bool { return run.informed != q.epoch }) {
		return
	}
	drop := func(key quarantine.Key) {
		if q.decided[key] == nil && !q.suspected[key] {
			q.own.Answered(now, key)
		}
	}
	for _, own := range q.own.Quarantined(now, now) {
		drop(own.Key)
	}
	for _, trial := range q.own.Trials(now, now) {
		drop(trial.Key)
	}
}

// waitForTrial waits for the coordinator to name this host for the trial of a request, and
// decides anew.
func (in *inbound) waitForTrial(a quarantineDecision) quarantineDecision {
	e := in.gateway.exchanger
	if !e.Reached() || !e.quarantine.beginWait(a.wanted) {
		return a
	}
	defer e.quarantine.endWait(a.wanted)
	e.exchangeSoon()
	for until := time.Now().Add(min(trialWait, time.Until(in.deadline))); time.Now().Before(until) && len(a.wanted) > 0; {
		if !clock.Sleep(in.httpRequest.Context(), trialWaitStep) {
			break
		}
		a, in.trial = e.quarantine.admit(in.keys, e.Reached(), in.trial)
	}
	return a
}
