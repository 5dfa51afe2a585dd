package coordinator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// trialSettleTime is the time from the first exchange of a term to its first trial: until
	// then hosts find the new coordinator and report the trials that the one before has begun.
	trialSettleTime = 1200 * time.Millisecond
	// maxEvidence bounds the runs of which hosts are told in one term, maxRepliedEvidence those
	// in one reply.
	maxEvidence        = 1024
	maxRepliedEvidence = 32
	// maxTrialsWanted bounds the keys for which one exchange asks for a trial.
	maxTrialsWanted = 64
	// deputyInterval is how long a deputy stays the same, so that it is not computed for each
	// reply.
	deputyInterval = 2 * time.Second
)

// consultedHostTimeout is the time without an exchange after which a host is not waited for
// when hosts are asked about answers.
const consultedHostTimeout = time.Second

// crashReports collects the lost runs and answers that hosts report. It is not safe for
// concurrent use.
type crashReports struct {
	tracker   *quarantine.Tracker
	log       logr.Logger
	exchanges map[string]exchangeTimes // by host
	startedAt time.Duration            // first exchange; 0: none yet
	deputies  map[quarantine.Key]deputy
	evidence  []quarantine.TimedRun // told to all hosts; its length is the version
	told      map[uint64]bool       // IDs of the runs in evidence
}

// deputy is the host that may run trials of a key if there is no coordinator.
type deputy struct {
	host string
	at   time.Duration
}

// exchangeTimes are the times of a host's last two exchanges. The reply to the first named
// the suspected keys, the second reported the answers that the host knew of.
type exchangeTimes struct{ previous, latest time.Duration }

func newCrashReports(log logr.Logger) *crashReports {
	return &crashReports{
		tracker: quarantine.NewTracker(), log: log, exchanges: map[string]exchangeTimes{},
		deputies: map[quarantine.Key]deputy{}, told: map[uint64]bool{},
	}
}

// record applies a host's reports.
func (r *crashReports) record(now time.Duration, request *ExchangeRequest) {
	if r.startedAt == 0 {
		r.startedAt = now
	}
	r.exchanges[request.Host] = exchangeTimes{previous: r.exchanges[request.Host].latest, latest: now}
	for _, q := range request.Quarantines {
		added := r.tracker.Adopt(quarantine.Quarantine{
			Key: q.Key, Until: now + milliseconds(q.RemainingMS), FailedTrials: max(0, q.FailedTrials), Alternatives: q.Alternatives,
		})
		if added {
			r.log.Info("Quarantine taken over.", "key", strconv.FormatUint(uint64(q.Key), 16), "host", request.Host, "for_ms", q.RemainingMS,
				"failed_trials", q.FailedTrials, "alternatives", len(q.Alternatives), "lost_runs", len(request.LostRuns))
		}
	}
	for _, lost := range request.LostRuns {
		r.tracker.Record(now, now-milliseconds(lost.AgeMS), lost.LostRun)
	}
	for _, answered := range request.Answered {
		r.tracker.Answered(now-milliseconds(answered.AgeMS), answered.Key)
	}
	for _, trial := range request.Trials {
		r.tracker.ReportTrial(now, request.Host, trial.Key, trial.ID, trial.Outcome)
	}
	if !r.settled(now) {
		return
	}
	for _, key := range request.TrialsWanted[:min(len(request.TrialsWanted), maxTrialsWanted)] {
		r.tracker.BeginTrial(now, r.consulted(now), request.Host, key)
	}
}

// settled reports whether trials may begin in this term.
func (r *crashReports) settled(now time.Duration) bool {
	return r.startedAt != 0 && now-r.startedAt >= trialSettleTime
}

// milliseconds converts a number of another host, which must not be negative.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxReportedMS)) * time.Millisecond
}

// maxReportedMS bounds the ages and remaining times that hosts report: one hour.
const maxReportedMS = 3_600_000

// consulted returns the time up to which suspected keys have been named to all hosts whose
// answers have been reported since.
func (r *crashReports) consulted(now time.Duration) time.Duration {
	consulted := now
	for host, times := range r.exchanges {
		if now-times.latest > consultedHostTimeout {
			delete(r.exchanges, host)
			continue
		}
		consulted = min(consulted, times.previous)
	}
	return consulted
}

// reply adds what crashes upstreams to a reply.
func (r *crashReports) reply(now time.Duration, reply *ExchangeReply) {
	consulted := r.consulted(now)
	reply.Quarantines, reply.TrialsSettled = r.quarantines(now, consulted), r.settled(now)
	reply.Suspected = r.tracker.Suspected(now, consulted)
	r.collectEvidence(now, consulted)
	for _, d := range r.tracker.TakeDecisions() {
		r.log.Info("Quarantine decided.", "key", strconv.FormatUint(uint64(d.Key), 16), "request", d.Request, "lifted", d.Lifted,
			"crashes", d.Crashes, "alternatives", len(r.tracker.Alternatives(now, consulted, d.Key)), "for_ms", max(0, d.Until-now).Milliseconds())
	}
}

// collectEvidence adds the runs that speak for new quarantines to what hosts are told.
func (r *crashReports) collectEvidence(now, consulted time.Duration) {
	for _, run := range r.tracker.SupportingRuns(now, consulted) {
		if len(r.evidence) < maxEvidence && !r.told[run.ID] {
			r.told[run.ID] = true
			r.evidence = append(r.evidence, run)
		}
	}
}

// replyEvidence adds the evidence after the version that a host has to a reply.
func (r *crashReports) replyEvidence(now time.Duration, version int64, reply *ExchangeReply) {
	from := min(max(0, version), int64(len(r.evidence)))
	to := min(from+maxRepliedEvidence, int64(len(r.evidence)))
	for _, run := range r.evidence[from:to] {
		reply.Evidence = append(reply.Evidence, LostRun{LostRun: run.LostRun, AgeMS: max(0, now-run.At).Milliseconds()})
	}
	reply.EvidenceVersion = to
}

// quarantines returns the quarantined keys, and those that only trials may run.
func (r *crashReports) quarantines(now, consulted time.Duration) []Quarantine {
	trials := map[quarantine.Key]*Trial{}
	var list []Quarantine
	held := r.tracker.Quarantined(now, consulted)
	isHeld := make(map[quarantine.Key]bool, len(held))
	for _, q := range held {
		isHeld[q.Key] = true
	}
	for _, t := range r.tracker.Trials(now, consulted) {
		trials[t.Key] = &Trial{Without: t.Without, Host: t.Host, ID: t.ID}
		if !isHeld[t.Key] {
			list = append(list, Quarantine{Key: t.Key, FailedTrials: t.FailedTrials, Trial: trials[t.Key], Deputy: r.deputy(now, t.Key)})
		}
	}
	for _, q := range held {
		list = append(list, Quarantine{
			Key: q.Key, RemainingMS: (q.Until - now).Milliseconds(), FailedTrials: q.FailedTrials, Trial: trials[q.Key], Deputy: r.deputy(now, q.Key),
		})
	}
	return list
}

// deputy returns the host that may run trials of a key if there is no coordinator.
func (r *crashReports) deputy(now time.Duration, key quarantine.Key) string {
	if known, ok := r.deputies[key]; ok && now-known.at < deputyInterval {
		return known.host
	}
	maps.DeleteFunc(r.deputies, func(_ quarantine.Key, d deputy) bool { return now-d.at > 2*deputyInterval })
	hosts := slices.Collect(maps.Keys(r.exchanges))
	host := rendezvous.Owner("trial "+strconv.FormatUint(uint64(key), 16), hosts)
	r.deputies[key] = deputy{host: host, at: now}
	return host
}
