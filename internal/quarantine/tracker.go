// Package quarantine finds out which requests crash upstreams, from the runs that crashes
// ended. What crashes them may be one request that comes again and again, or one segment
// of a prompt that many requests share. The package does no I/O and takes the time, on
// the boot clock, as an argument.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashThreshold is the number of crashes from which a key is quarantined.
	crashThreshold = 3
	// suspicionThreshold is the number of crashes from which hosts are asked whether a key
	// was answered.
	suspicionThreshold = 2
	// suspicionTime is how long after its last crash a key is suspected. After a later crash,
	// hosts are asked anew, as it may have been answered between.
	suspicionTime = time.Minute
	// crashRetention is how long a crash counts: what crashes an upstream every few minutes
	// is quarantined, too.
	crashRetention = 30 * time.Minute
	// crashSpan is the time within which the runs that one crash ends are lost. Later ones
	// at the same incarnation are those of another crash.
	crashSpan = 2 * time.Second
	// answerWindow is how long before the crashes an answer still clears a key: a segment
	// that many requests share was answered lately when an upstream crashes.
	answerWindow = 10 * time.Second
	// maxConsultation bounds the wait for the answers that hosts know of.
	maxConsultation = time.Second
	// initialQuarantine is how long a key is quarantined after its last crash. The first
	// failed trial doubles it, the second makes it maxQuarantine: three requests in half an
	// hour reach upstreams after the crashes that led to the quarantine.
	initialQuarantine = time.Minute
	maxQuarantine     = 16 * time.Minute
	// probationTime is how long after the end of a quarantine its key is refused except for
	// trials. A key that nobody requests any more is forgotten then.
	probationTime = time.Hour
	// maxCrashes, maxRunsPerCrash and maxSegments bound what is kept. The oldest crash, and
	// the first segments of a prompt, are dropped.
	maxCrashes      = 128
	maxRunsPerCrash = 256
	maxSegments     = 32
	// droppedCrashes is how many of the oldest crashes are dropped at once.
	droppedCrashes = maxCrashes / 4
	// maxQuarantined bounds the quarantined keys; the one that ends first is dropped.
	maxQuarantined = 1024
	// maxSuspected bounds the suspected keys that are published.
	maxSuspected = 128
	// refreshInterval is the time between two evaluations without a change.
	refreshInterval = 100 * time.Millisecond
	// requestDepth is the depth of a request's own key: deeper than all segments.
	requestDepth = maxSegments
)

// Key identifies a request, or a segment of prompts.
type Key uint64

// LostRun is a run that ended with the connection to its upstream.
type LostRun struct {
	ID        uint64 `json:"id"` // identifies the run; reports may be repeated
	Upstream  string `json:"upstream"`
	StartedMS int64  `json:"born"` // start of the upstream's incarnation, Unix ms; wire name: born
	Request   Key    `json:"request"`
	// Segments are the shared segments of the prompt, in order; none if the upstream had
	// been answering for some time, because it crashes when an answer begins.
	Segments []Key `json:"segments,omitempty"`
}

// Quarantine is a key that hosts refuse until a time, and after it except for trials.
type Quarantine struct {
	Key          Key
	Until        time.Duration
	FailedTrials int
	// Alternatives are groups of keys that explain the crashes as well, see Trial.Without.
	Alternatives [][]Key
}

// Decision is a change of the quarantines, for logs.
type Decision struct {
	Key     Key
	Request bool // the key is that of one request, not of a segment
	Lifted  bool // the key was answered
	Crashes int  // that speak against the key
	Until   time.Duration
}

// crash is the end of an incarnation with the runs that it cost.
type crash struct {
	upstream  string
	startedMS int64
	at        time.Duration // when the first of the runs was lost
	runs      []LostRun
}

// evidence is what speaks against a key.
type evidence struct {
	depth int // position in prompts: the deeper, the fewer requests share the key
	// crashes has each crash once for a segment, and once a run for a request: one crash
	// ends many runs with the same segment, but hardly two of the same request.
	crashes     []*crash
	suspected   bool          // hosts are asked whether the key was answered
	suspectedAt time.Duration // since when
}

func (e *evidence) isRequest() bool { return e.depth == requestDepth }

// last returns the time of the n-th latest crash, or of the first if there are fewer.
func (e *evidence) last(n int) time.Duration {
	return e.crashes[max(0, len(e.crashes)-n)].at
}

// hold is a quarantine. After its end the key is on probation.
type hold struct {
	until    time.Duration
	duration time.Duration
	failed   int    // trials and other runs after the end that crashed an upstream
	unknown  int    // trials without an outcome since the last failed one
	trial    *trial // in progress; nil: none
	// alternatives are those that the tracker knew which has decided the quarantine; they
	// count as long as this one does not know its crashes.
	alternatives [][]Key
}

func newHold(until time.Duration, failed int) *hold {
	return &hold{until: until, failed: failed, duration: DurationAfter(failed)}
}

// lastCrash returns when the last crash was that the quarantine counts from.
func (h *hold) lastCrash() time.Duration { return h.until - h.duration }

func (h *hold) adoptAlternatives(groups [][]Key) {
	if len(groups) > 0 {
		h.alternatives = groups[:min(len(groups), maxWithout)]
	}
}

// DurationAfter returns how long a quarantine lasts after a number of failed trials.
func DurationAfter(failed int) time.Duration {
	switch failed {
	case 0:
		return initialQuarantine
	case 1:
		return 2 * initialQuarantine
	default:
		return maxQuarantine
	}
}

// renew begins the quarantine anew after a failed trial.
func (h *hold) renew(at time.Duration) {
	h.failed++
	h.unknown, h.trial, h.duration = 0, nil, DurationAfter(h.failed)
	h.until = at + h.duration
}

// Tracker collects lost runs and answers. It is not safe for concurrent use.
type Tracker struct {
	crashes  []*crash // in the order of reports
	evidence map[Key]*evidence
	answers  map[Key]time.Duration // latest answer, of keys in evidence or holds
	holds    map[Key]*hold

	evaluatedAt time.Duration
	changed     bool
	consulting  bool // a key would be quarantined if all hosts had been asked
	quarantined []Quarantine
	trials      []Trial
	lastTrial   uint64
	suspected   []Key
	unanswered  []Key      // segments with crashes, in the order of prompts; computed with trials
	supporting  []TimedRun // that speak for the quarantines
	// supportingStale reports that crashes or quarantines were added since supporting was computed.
	supportingStale bool
	decisions       []Decision // not yet taken
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{evidence: map[Key]*evidence{}, answers: map[Key]time.Duration{}, holds: map[Key]*hold{}}
}

// Record records a run that was lost at a time. It ignores a repeated report.
func (t *Tracker) Record(now, at time.Duration, run LostRun) {
	if now-at > crashRetention {
		return
	}
	if excess := len(run.Segments) - maxSegments; excess > 0 {
		run.Segments = run.Segments[excess:]
	}
	of := t.crashOf(at, run)
	known := slices.ContainsFunc(of.runs, func(other LostRun) bool { return other.ID == run.ID })
	if known || len(of.runs) >= maxRunsPerCrash {
		return
	}
	of.runs = append(of.runs, run)
	t.changed, t.supportingStale = true, true
	t.addEvidence(of, run)
	if len(t.crashes) > maxCrashes {
		t.crashes = t.crashes[droppedCrashes:]
		t.rebuild()
	}
}

// crashOf returns the crash that ended a run, a new one if none is known.
func (t *Tracker) crashOf(at time.Duration, run LostRun) *crash {
	for _, c := range t.crashes {
		if c.upstream == run.Upstream && c.startedMS == run.StartedMS && (at-c.at).Abs() <= crashSpan {
			return c
		}
	}
	c := &crash{upstream: run.Upstream, startedMS: run.StartedMS, at: at}
	t.crashes = append(t.crashes, c)
	return c
}

func (t *Tracker) addEvidence(of *crash, run LostRun) {
	for depth, segment := range run.Segments {
		t.addCrash(of, segment, depth)
	}
	t.addCrash(of, run.Request, requestDepth)
}

func (t *Tracker) addCrash(of *crash, key Key, depth int) {
	e := t.evidence[key]
	if e == nil {
		e = &evidence{}
		t.evidence[key] = e
	}
	e.depth = max(e.depth, depth)
	if !e.isRequest() && slices.Contains(e.crashes, of) {
		return
	}
	e.crashes = append(e.crashes, of)
	slices.SortStableFunc(e.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
}

// rebuild computes the evidence anew from the crashes that are left.
func (t *Tracker) rebuild() {
	previous := t.evidence
	t.evidence = map[Key]*evidence{}
	for _, c := range t.crashes {
		for _, run := range c.runs {
			t.addEvidence(c, run)
		}
	}
	for key, e := range t.evidence {
		e.suspected, e.suspectedAt = previous[key].suspected, previous[key].suspectedAt
	}
	maps.DeleteFunc(t.answers, func(key Key, _ time.Duration) bool { return !t.isTracked(key) })
	t.changed = true
}

func (t *Tracker) isTracked(key Key) bool { return t.evidence[key] != nil || t.holds[key] != nil }

// Answered records that a request with a key was answered at a time: the upstream had
// answered it completely, or for long enough that it did not crash when the answer began.
func (t *Tracker) Answered(at time.Duration, key Key) {
	if !t.isTracked(key) {
		return
	}
	if latest, ok := t.answers[key]; ok && latest >= at {
		return
	}
	t.answers[key] = at
	t.changed = true
}

// Adopt records a quarantine that another tracker has decided. It reports whether the key was
// not quarantined.
func (t *Tracker) Adopt(q Quarantine) (added bool) {
	t.changed = true
	if h := t.holds[q.Key]; h != nil {
		h.until = max(h.until, q.Until)
		h.adoptAlternatives(q.Alternatives)
		if q.FailedTrials > h.failed {
			h.failed, h.duration = q.FailedTrials, DurationAfter(q.FailedTrials)
		}
		return false
	}
	h := newHold(q.Until, q.FailedTrials)
	h.adoptAlternatives(q.Alternatives)
	t.hold(q.Key, h)
	return true
}

func (t *Tracker) hold(key Key, h *hold) {
	t.holds[key] = h
	t.supportingStale = true
	if len(t.holds) <= maxQuarantined {
		return
	}
	first := key
	for other, o := range t.holds {
		if o.until < t.holds[first].until {
			first = other
		}
	}
	delete(t.holds, first)
}
