package gateway

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

const (
	// lostRunRetention is how long a lost run is reported to new coordinators: as long as it
	// counts there.
	lostRunRetention = 30 * time.Minute
	// maxLostRuns bounds the lost runs that are kept for reports, and those of other hosts; the
	// oldest are dropped.
	maxLostRuns = 1024
	// answeredAfter is the time of output after which an upstream has survived the
	// beginning of an answer.
	answeredAfter = 500 * time.Millisecond
	// noEpoch stands for no coordinator; epochs are not negative.
	noEpoch = -1
)

// requestQuarantine refuses requests that crash upstreams. It reports the runs that were
// lost at this host to the coordinator, which decides for all hosts; a host without a
// coordinator decides from its own lost runs. It is safe for concurrent use.
type requestQuarantine struct {
	now  func() time.Duration // the boot clock
	host string
	// answers are those of segments, requestAnswers those of requests, of which there are
	// many more.
	answers, requestAnswers quarantine.Answers

	mu   sync.Mutex
	own  *quarantine.Tracker // of the runs lost at this host
	lost []reportedRun
	// evidence are lost runs of all hosts that the coordinator has told of; evidenceVersion is
	// its version of them.
	evidence        []reportedRun
	evidenceVersion int64
	// decided are the quarantines of the coordinator, suspected the keys that it asks about.
	decided   map[quarantine.Key]*decidedQuarantine
	suspected map[quarantine.Key]bool
	trials    map[quarantine.Key]*hostTrial // of this host
	wanted    map[quarantine.Key]time.Duration
	waiting   map[quarantine.Key]bool // a request waits for a trial
	repliedAt time.Duration           // last reply of a coordinator
	settledAt time.Duration           // last reply of one that names hosts for trials, or the first reply
	watched   map[*watchedRun]struct{}
	epoch     int64 // of the coordinator that replied last
	informed  int64 // epoch of the coordinator that knows this host's quarantines
}

// watchedRun is a run whose upstream has not begun to answer: it is cancelled if the request
// is quarantined meanwhile.
type watchedRun struct {
	keys   quarantineKeys
	cancel context.CancelCauseFunc
}

// QuarantinedRunError is the cause of the cancellation of a run that would have crashed its
// upstream.
type QuarantinedRunError struct{}

// Error implements error.
func (e *QuarantinedRunError) Error() string { return "cancelled: the request is quarantined" }

// decidedQuarantine is a quarantine that the coordinator has decided. Until the next reply,
// its end does not end the refusal.
type decidedQuarantine struct {
	until  time.Duration
	failed int                // trials
	trial  *coordinator.Trial // nil: none may take place
	deputy string             // host that may run trials if there is no coordinator
}

func newRequestQuarantine() *requestQuarantine {
	return &requestQuarantine{
		now: clock.SinceBoot, own: quarantine.NewTracker(),
		decided: map[quarantine.Key]*decidedQuarantine{}, suspected: map[quarantine.Key]bool{}, epoch: noEpoch, informed: noEpoch,
		watched: map[*watchedRun]struct{}{}, trials: map[quarantine.Key]*hostTrial{}, wanted: map[quarantine.Key]time.Duration{},
		waiting: map[quarantine.Key]bool{},
	}
}

// recordLostRun records a run that was lost now.
func (q *requestQuarantine) recordLostRun(run quarantine.LostRun) { q.recordLostRunAt(q.now(), run) }

// recordLostRunAt records a run that was lost at a time on the boot clock.
func (q *requestQuarantine) recordLostRunAt(at time.Duration, run quarantine.LostRun) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordOwn(at, run)
	q.endTrials(run.Request, quarantine.TrialLost)
	q.lost = append(q.lost, reportedRun{LostRun: run, at: at, informed: noEpoch})
	if len(q.lost) > maxLostRuns {
		q.lost = slices.Delete(q.lost, 0, len(q.lost)-maxLostRuns)
	}
}

// recordOwn records a lost run, and what this host knows of answers to its keys, in this host's
// own tracker. It requires q.mu.
func (q *requestQuarantine) recordOwn(at time.Duration, run quarantine.LostRun) {
	q.own.Record(q.now(), at, run)
	for _, key := range append(slices.Clone(run.Segments), run.Request) {
		if answeredAt, ok := q.answeredAt(key); ok {
			q.own.Answered(answeredAt, key)
		}
	}
}

// recordAnswer records that an upstream answered a request, or has been answering it for
// answeredAfter: it does not crash upstreams.
func (q *requestQuarantine) recordAnswer(keys quarantineKeys) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.answers.Record(now, keys.segments...)
	q.requestAnswers.Record(now, keys.request)
	for _, key := range keys.all() {
		q.own.Answered(now, key)
	}
	q.endTrials(keys.request, quarantine.TrialAnswered)
}

// answeredAt returns when a key was answered last.
func (q *requestQuarantine) answeredAt(key quarantine.Key) (time.Duration, bool) {
	if at, ok := q.answers.At(key); ok {
		return at, true
	}
	return q.requestAnswers.At(key)
}

// find returns the key for which a request is refused the longest, and for how long; 0: it is
// not quarantined. coordinated reports whether a coordinator decides.
func (q *requestQuarantine) find(keys quarantineKeys, coordinated bool) (found quarantine.Key, remaining time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.check(keys, coordinated, nil)
	return a.key, a.remaining
}

// isSuspected reports whether a request has something in common with requests whose
// upstreams crashed, and that nobody is known to have answered lately.
func (q *requestQuarantine) isSuspected(keys quarantineKeys, coordinated bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, all := q.now(), keys.all()
	if slices.ContainsFunc(all, func(key quarantine.Key) bool {
		return q.suspected[key] && !q.answers.Lately(now, key) && !q.requestAnswers.Lately(now, key)
	}) {
		return true
	}
	if coordinated {
		return false
	}
	return slices.ContainsFunc(q.own.Suspected(now, now), func(key quarantine.Key) bool { return slices.Contains(all, key) })
}

// watch cancels a run if its request is quarantined before the returned function is called.
func (q *requestQuarantine) watch(keys quarantineKeys, cancel context.CancelCauseFunc) (stop func()) {
	run := &watchedRun{keys: keys, cancel: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watched[run] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.watched, run)
	}
}

// cancelRuns cancels the watched runs of requests with a key.
func (q *requestQuarantine) cancelRuns(key quarantine.Key) {
	for run := range q.watched {
		if run.keys.request == key || slices.Contains(run.keys.segments, key) {
			run.cancel(&QuarantinedRunError{})
		}
	}
}

// QuarantineDump is a quarantine in the state dump.
type QuarantineDump struct {
	Key         string `json:"key"`          // hexadecimal, as in logs
	RemainingMS int64  `json:"remaining_ms"` // 0: only trials may run
}

// count returns the number of quarantines that the coordinator has decided.
func (q *requestQuarantine) count() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return float64(len(q.decided))
}

// dump returns the quarantines that the coordinator has decided.
func (q *requestQuarantine) dump() []QuarantineDump {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	dump := []QuarantineDump{}
	for key, d := range q.decided {
		dump = append(dump, QuarantineDump{Key: strconv.FormatUint(uint64(key), 16), RemainingMS: max(0, d.until-now).Milliseconds()})
	}
	slices.SortFunc(dump, func(a, b QuarantineDump) int { return strings.Compare(a.Key, b.Key) })
	return dump
}
