package coordinator

import (
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
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
}

// exchangeTimes are the times of a host's last two exchanges. The reply to the first named
// the suspected keys, the second reported the answers that the host knew of.
type exchangeTimes struct{ previous, latest time.Duration }

func newCrashReports(log logr.Logger) *crashReports {
	return &crashReports{tracker: quarantine.NewTracker(), log: log, exchanges: map[string]exchangeTimes{}}
}

// record applies a host's reports.
func (r *crashReports) record(now time.Duration, request *ExchangeRequest) {
	r.exchanges[request.Host] = exchangeTimes{previous: r.exchanges[request.Host].latest, latest: now}
	for _, q := range request.Quarantines {
		r.tracker.Adopt(quarantine.Quarantine{Key: q.Key, Until: now + milliseconds(q.RemainingMS)})
	}
	for _, lost := range request.LostRuns {
		r.tracker.Record(now, now-milliseconds(lost.AgeMS), lost.LostRun)
	}
	for _, answered := range request.Answered {
		r.tracker.Answered(now-milliseconds(answered.AgeMS), answered.Key)
	}
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
	for _, q := range r.tracker.Quarantined(now, consulted) {
		reply.Quarantines = append(reply.Quarantines, Quarantine{Key: q.Key, RemainingMS: (q.Until - now).Milliseconds()})
	}
	reply.Suspected = r.tracker.Suspected(now, consulted)
	for _, d := range r.tracker.TakeDecisions() {
		r.log.Info("Quarantine decided.", "key", strconv.FormatUint(uint64(d.Key), 16), "request", d.Request, "lifted", d.Lifted,
			"crashes", d.Crashes, "for_ms", max(0, d.Until-now).Milliseconds())
	}
}
