package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// reportedRun is a lost run with the epoch of the coordinator that knows of it.
type reportedRun struct {
	quarantine.LostRun
	at       time.Duration
	informed int64
}

// quarantineReport is what an exchange reports.
type quarantineReport struct {
	epoch       int64 // of the coordinator for which the report is complete
	evidence    int64 // version of the coordinator's evidence that this host has
	lost        []coordinator.LostRun
	answered    []coordinator.Answered
	quarantines []coordinator.Quarantine
	wanted      []quarantine.Key
	trials      []coordinator.TrialReport
}

// maxReportedRuns bounds the lost runs of one exchange; the others follow with the next ones.
const maxReportedRuns = 256

// report returns what the coordinator that replied last does not know yet.
func (q *requestQuarantine) report() quarantineReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	expired := func(run reportedRun) bool { return now-run.at > lostRunRetention }
	q.lost, q.evidence = slices.DeleteFunc(q.lost, expired), slices.DeleteFunc(q.evidence, expired)
	report := quarantineReport{epoch: q.epoch, evidence: q.evidenceVersion}
	for _, runs := range [][]reportedRun{q.lost, q.evidence} {
		for _, run := range runs {
			if run.informed != q.epoch && len(report.lost) < maxReportedRuns {
				report.lost = append(report.lost, coordinator.LostRun{LostRun: run.LostRun, AgeMS: (now - run.at).Milliseconds()})
			}
		}
	}
	for key, d := range q.decided {
		report.addAnswer(q, now, key)
		if q.informed != q.epoch {
			remaining := max(0, d.until-now).Milliseconds()
			report.quarantines = append(report.quarantines, coordinator.Quarantine{
				Key: key, RemainingMS: remaining, FailedTrials: d.failed, Alternatives: d.alternatives(),
			})
		}
	}
	for key := range q.suspected {
		report.addAnswer(q, now, key)
	}
	q.reportTrials(now, &report)
	return report
}

func (r *quarantineReport) addAnswer(q *requestQuarantine, now time.Duration, key quarantine.Key) {
	if at, ok := q.answeredAt(key); ok {
		r.answered = append(r.answered, coordinator.Answered{Key: key, AgeMS: (now - at).Milliseconds()})
	}
}

// apply applies the reply to a report. The quarantines of a coordinator that does not know
// those of this host yet do not replace them. unknown reports whether the reply names
// suspected keys that the one before did not.
func (q *requestQuarantine) apply(report quarantineReport, reply *coordinator.ExchangeReply) (unknown bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if reply.TrialsSettled || q.repliedAt == 0 {
		q.settledAt = now
	}
	q.epoch, q.repliedAt = reply.Epoch, now
	q.learnEvidence(now, reply)
	if report.epoch == reply.Epoch {
		q.confirm(report)
	}
	known := maps.Clone(q.decided)
	if q.informed == reply.Epoch {
		clear(q.decided)
	}
	for _, decided := range reply.Quarantines {
		q.decided[decided.Key] = &decidedQuarantine{
			until: now + time.Duration(decided.RemainingMS)*time.Millisecond, failed: decided.FailedTrials, trial: decided.Trial, deputy: decided.Deputy,
		}
		if before := known[decided.Key]; decided.RemainingMS > 0 && (before == nil || before.until <= now) {
			q.cancelRuns(decided.Key)
		}
	}
	q.applyTrials(now)
	for _, key := range reply.Suspected {
		unknown = unknown || !q.suspected[key]
	}
	clear(q.suspected)
	for _, key := range reply.Suspected {
		q.suspected[key] = true
	}
	q.dropOwn(now)
	return unknown
}

// confirm records that the coordinator knows of a report.
func (q *requestQuarantine) confirm(report quarantineReport) {
	q.informed = report.epoch
	for _, sent := range report.lost {
		for _, runs := range [][]reportedRun{q.lost, q.evidence} {
			for i := range runs {
				if runs[i].ID == sent.ID {
					runs[i].informed = report.epoch
				}
			}
		}
	}
}

// learnEvidence keeps the lost runs of other hosts that the coordinator tells of: the next one
// may know neither them nor this host's, and decides by what hosts report.
func (q *requestQuarantine) learnEvidence(now time.Duration, reply *coordinator.ExchangeReply) {
	q.evidenceVersion = reply.EvidenceVersion
	for _, told := range reply.Evidence {
		isTold := func(run reportedRun) bool { return run.ID == told.ID }
		if slices.ContainsFunc(q.lost, isTold) || slices.ContainsFunc(q.evidence, isTold) {
			continue
		}
		at := now - time.Duration(max(0, told.AgeMS))*time.Millisecond
		q.evidence = append(q.evidence, reportedRun{LostRun: told.LostRun, at: at, informed: reply.Epoch})
		q.recordOwn(at, told.LostRun)
	}
	q.evidence = slices.Delete(q.evidence, 0, max(0, len(q.evidence)-maxLostRuns))
}
