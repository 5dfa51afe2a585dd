package pace

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// windowEvents is the number of events of which the pauses make up one sample. Long
	// answers so tell of their engine before they end.
	windowEvents = 8
	// firstWeight is the weight of a time to the first event, which also depends on what is
	// cached at the engine.
	firstWeight = 0.1
	// maxFirstLoad is the load, in requests per slot, from which it depends more on the
	// engine's queue than on its pace and is no sample. In TestChoiceUnderLoad, a weight of
	// 0.5 at any load made 0.898 instead of 0.914 of a wave's answers be on time.
	maxFirstLoad = 0.75
	// overdueRatio is the ratio of a time without an event to the expected one from which
	// a request in progress counts as a sample. It counts again when it has doubled.
	overdueRatio = 3.0
	// overdueWeight is the weight of such a sample.
	overdueWeight = 0.5
	// minOverdueRuns is the number of requests in progress from which a majority that is
	// overdue is put down to this host: one that is short of processor time is late to read
	// from every upstream.
	minOverdueRuns = 4
	// minKeptWeight is the weight below which a pace is as good as unknown and is forgotten.
	minKeptWeight = 0.01
	// factorTTL is how long a computed factor is used while no samples arrive; it fades by a
	// few per cent meanwhile. Without it, 40% of the time of a choice among 140 upstreams whose
	// pace is known went into exponentials.
	factorTTL = 500 * time.Millisecond
	// maxSweepGap is the time between two calls of Overdue beyond which this host was frozen
	// in between: what it measures then says nothing of its upstreams.
	maxSweepGap = 1500 * time.Millisecond
)

// Incarnation is one start of an upstream.
type Incarnation struct {
	ID        string
	StartedMS int64 // Unix ms
}

// Sample is what a host has measured at an upstream since its last report.
type Sample struct {
	Incarnation
	Ratio  float64 // geometric mean of the measured times relative to the usual ones
	Weight float64 // number of measured times
}

// Shared is the pace of an upstream over all hosts.
type Shared struct {
	Incarnation
	Ratio  float64 // of its times to the usual ones; 1 withdraws what was shared before
	Weight float64 // number of samples that the ratio relies on
}

// upstream is what is known of the current incarnation.
type upstream struct {
	startedMS int64
	own       Estimate
	shared    Estimate
	// listed reports that the coordinator that answers now shares the pace. One of an earlier
	// coordinator, or from before a time without contact, fades.
	listed bool
	// factor is the pace by own and shared at factorAt; 0: to be computed.
	factor   float64
	factorAt time.Duration
	// freshSum and freshWeight are the samples since the last report.
	freshSum, freshWeight float64
}

// Run is one request in progress at an upstream.
type Run struct {
	of       Incarnation
	service  string
	load     float64 // requests per slot when it was sent
	prefill  float64 // s
	sentAt   time.Duration
	lastAt   time.Duration // time of the last event; 0: none yet
	windowAt time.Duration
	events   int
	reported float64 // ratio up to which it was sampled as overdue
}

// Tracker keeps the paces of the upstreams that a host uses. It is not safe for concurrent
// use.
type Tracker struct {
	// OnSample, if set, is called with each sample: ratio is the measured time relative to the
	// usual one.
	OnSample  func(now time.Duration, of Incarnation, ratio, weight float64)
	upstreams map[string]*upstream
	services  map[string]*usual
	runs      map[*Run]struct{}
	sweptAt   time.Duration // last call of Overdue; 0: none
}

// NewTracker returns a Tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{upstreams: map[string]*upstream{}, services: map[string]*usual{}, runs: map[*Run]struct{}{}}
}

func (t *Tracker) usual(service string) *usual {
	u := t.services[service]
	if u == nil {
		u = &usual{}
		t.services[service] = u
	}
	return u
}

// of returns the state of an incarnation, nil if a later one is known. A later incarnation
// replaces an earlier one: its pace is unknown.
func (t *Tracker) of(in Incarnation) *upstream {
	u := t.upstreams[in.ID]
	if u != nil && u.startedMS > in.StartedMS {
		return nil
	}
	if u == nil || u.startedMS < in.StartedMS {
		u = &upstream{startedMS: in.StartedMS}
		t.upstreams[in.ID] = u
	}
	return u
}

// Forget removes an upstream.
func (t *Tracker) Forget(id string) { delete(t.upstreams, id) }

// Factor returns the expected ratio of an upstream's times to the usual ones, by this host's
// samples and those of all hosts.
func (t *Tracker) Factor(now time.Duration, in Incarnation) float64 {
	u := t.upstreams[in.ID]
	if u == nil || u.startedMS != in.StartedMS {
		return 1
	}
	if u.factor == 0 || now-u.factorAt > factorTTL {
		u.factor, u.factorAt = combine(now, &u.own, &u.shared), now
	}
	return u.factor
}

// Times are the usual times of a service; 0: unknown.
type Times struct {
	Answer   time.Duration // to the response of an idle upstream or, for streams, to the first event without prefill
	Duration time.Duration // to the end of a response, at the usual load
}

// Times returns the usual times of a service.
func (t *Tracker) Times(service string) Times {
	u := t.services[service]
	if u == nil {
		return Times{}
	}
	answer := &u.duration
	if u.first.n > 0 {
		answer = &u.first
	}
	idle, _ := answer.at(0)
	return Times{Answer: duration(idle), Duration: duration(u.duration.mean())}
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// Begin records that a request was sent. load is the requests per slot at the upstream.
func (t *Tracker) Begin(now time.Duration, service string, in Incarnation, load float64, promptTokens int) *Run {
	run := &Run{of: in, service: service, load: load, prefill: Prefill(promptTokens).Seconds(), sentAt: now}
	t.runs[run] = struct{}{}
	return run
}

// Events records that events of a stream arrived.
func (t *Tracker) Events(now time.Duration, run *Run, count int) {
	u := t.usual(run.service)
	if run.lastAt == 0 {
		run.lastAt, run.windowAt, run.reported = now, now, 0
		took := (now - run.sentAt).Seconds()
		weight := firstWeight
		if run.load >= maxFirstLoad {
			weight = 0
		}
		t.observe(now, run, &u.first, took, run.prefill, weight)
		return
	}
	run.lastAt, run.reported = now, 0
	run.events += count
	if run.events >= windowEvents {
		t.closeWindow(now, run, u)
	}
}

func (t *Tracker) closeWindow(now time.Duration, run *Run, u *usual) {
	if run.events > 0 {
		weight := float64(run.events) / windowEvents
		t.observe(now, run, &u.pause, (now-run.windowAt).Seconds()/float64(run.events), 0, min(weight, 1))
	}
	run.windowAt, run.events = now, 0
}

// Skip leaves the time up to now out of the measurement: the upstream was not read
// meanwhile, because the caller did not read.
func (t *Tracker) Skip(now time.Duration, run *Run) {
	if run.lastAt != 0 {
		run.lastAt, run.windowAt, run.events = now, now, 0
	}
}

// End records the end of a request. complete reports that the response was complete and
// successful.
func (t *Tracker) End(now time.Duration, run *Run, complete bool) {
	if _, running := t.runs[run]; !running {
		return
	}
	delete(t.runs, run)
	if !complete {
		return
	}
	u := t.usual(run.service)
	took := (now - run.sentAt).Seconds()
	if run.lastAt == 0 {
		t.observe(now, run, &u.duration, took, 0, 1)
		return
	}
	u.duration.add(run.load, took)
	if run.events >= windowEvents/2 {
		t.closeWindow(run.lastAt, run, u)
	}
}

// observe compares a measured time with the usual one plus extra seconds, and includes it in
// the usual.
func (t *Tracker) observe(now time.Duration, run *Run, usual *trend, seconds, extra, weight float64) {
	if t.frozen(now) {
		return
	}
	expected, known := usual.at(run.load)
	usual.add(run.load, max(0, seconds-extra))
	if known && weight > 0 {
		t.sample(now, run, seconds/(expected+extra), weight)
	}
}

func (t *Tracker) sample(now time.Duration, run *Run, ratio, weight float64) {
	u := t.of(run.of)
	if u == nil {
		return
	}
	u.own.Observe(now, ratio, weight)
	u.factor = 0
	u.freshSum += weight * logRatio(ratio)
	u.freshWeight += weight
	if t.OnSample != nil {
		t.OnSample(now, run.of, ratio, weight)
	}
}

// frozen reports whether this host may have been frozen since the last call of Overdue.
func (t *Tracker) frozen(now time.Duration) bool { return t.sweptAt > 0 && now-t.sweptAt > maxSweepGap }

// Overdue samples the requests in progress that have waited for an event much longer than
// usual. An upstream that has stalled shows in no other way. It is to be called several times
// a second.
func (t *Tracker) Overdue(now time.Duration) {
	frozen := t.frozen(now)
	t.sweptAt = now
	type late struct {
		run   *Run
		ratio float64
	}
	var overdue []late
	for run := range t.runs {
		if frozen {
			t.Skip(now, run)
			continue
		}
		if ratio := t.overdue(now, run); ratio >= overdueRatio {
			overdue = append(overdue, late{run, ratio})
		}
	}
	if len(t.runs) >= minOverdueRuns && 2*len(overdue) > len(t.runs) {
		return
	}
	for _, l := range overdue {
		if l.ratio >= 2*l.run.reported {
			l.run.reported = l.ratio
			t.sample(now, l.run, l.ratio, overdueWeight)
		}
	}
}

// overdue returns how long a request has waited for its next event, relative to the usual;
// 0: unknown.
func (t *Tracker) overdue(now time.Duration, run *Run) float64 {
	u := t.usual(run.service)
	since, extra, wait := run.sentAt, run.prefill, &u.first
	switch {
	case run.lastAt != 0:
		since, extra, wait = run.lastAt, 0, &u.pause
	case u.first.n == 0:
		extra, wait = 0, &u.duration
	}
	expected, known := wait.at(run.load)
	if !known || wait == &u.first && run.load >= maxFirstLoad {
		return 0
	}
	return (now - since).Seconds() / (expected + extra)
}

// TakeSamples returns what was measured since the last call, of the upstreams whose pace is
// notable by these samples or by those of all hosts. Samples near neutral of the others are
// dropped: they would tell nothing.
func (t *Tracker) TakeSamples(now time.Duration) []Sample {
	var samples []Sample
	for id, u := range t.upstreams {
		if u.freshWeight == 0 {
			if u.own.weightAt(now)+u.shared.weightAt(now) < minKeptWeight {
				delete(t.upstreams, id)
			}
			continue
		}
		ratio, weight := ratioOf(u.freshSum/u.freshWeight), u.freshWeight
		u.freshSum, u.freshWeight = 0, 0
		if Notable(ratio) || Notable(u.shared.Factor(now)) {
			samples = append(samples, Sample{Incarnation{id, u.startedMS}, ratio, weight})
		}
	}
	return samples
}

// Dump is the pace of an upstream as shown to operators.
type Dump struct {
	ID         string  `json:"upstream"`
	StartedMS  int64   `json:"born"`       // Unix ms
	Factor     float64 `json:"factor"`     // its times relative to the usual ones
	Confidence float64 `json:"confidence"` // 0 to 1
	SampleMS   int64   `json:"sample_ms"`  // time since this host's last sample; -1: none
}

// Dump returns the upstreams whose pace is notable, by ID.
func (t *Tracker) Dump(now time.Duration) []Dump {
	dumps := []Dump{}
	for id, u := range t.upstreams {
		factor := combine(now, &u.own, &u.shared)
		if !Notable(factor) {
			continue
		}
		weight := u.own.weightAt(now) + u.shared.weightAt(now)
		d := Dump{ID: id, StartedMS: u.startedMS, Factor: ratioOf(math.Log(factor)), Confidence: math.Round(100*weight/(weight+priorWeight)) / 100, SampleMS: -1}
		if u.own.weight > 0 {
			d.SampleMS = u.own.Age(now).Milliseconds()
		}
		dumps = append(dumps, d)
	}
	slices.SortFunc(dumps, func(a, b Dump) int { return strings.Compare(a.ID, b.ID) })
	return dumps
}

// ApplyShared applies the paces over all hosts. full reports that paces lists all that the
// coordinator knows as notable; otherwise it lists those that changed.
func (t *Tracker) ApplyShared(now time.Duration, paces []Shared, full bool) {
	if full {
		for _, u := range t.upstreams {
			u.listed = false
		}
	}
	for _, p := range paces {
		if u := t.of(p.Incarnation); u != nil {
			u.shared, u.listed, u.factor = estimateOf(now, p), true, 0
		}
	}
}

// ConfirmShared records that the paces over all hosts are unchanged, so that they do not
// fade.
func (t *Tracker) ConfirmShared(now time.Duration) {
	for u := range maps.Values(t.upstreams) {
		if u.listed {
			u.shared.at = now
		}
	}
}
