package retry

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

const (
	// answeredAfter is how long an upstream must have been answering a run for the run's
	// segments to count as answered: what crashes upstreams does so when an answer begins.
	answeredAfter = 500 * time.Millisecond
	// crashReportWindow is how long a crash and an answer are reported to peers: twenty
	// heartbeats of 500 ms.
	crashReportWindow = 10 * time.Second
	// minTold is the shortest rest of a quarantine of which peers are told. It exceeds the
	// time that a message takes, so that hosts do not tell each other of it without end.
	minTold = time.Second
	// crashMemory is how long a crash is remembered: longer than a quarantine, as its runs are
	// reported for so long.
	crashMemory = 20 * time.Minute
	// maxReported bounds each list of a report to peers, maxSegments the segments of a run:
	// of long conversations the latest messages are kept.
	maxReported = 64
	maxSegments = 32
	// notConsulted says that no host was asked for answers: peers report them with their
	// heartbeats, for which the tracker waits before it quarantines a segment.
	notConsulted = time.Duration(-1)
)

// NewSegmentKey returns the key of a segment of a workspace's prompts, such as a message.
// Segments of other workspaces have other keys, so that no workspace can get the segments
// of another one refused.
func NewSegmentKey(workspace string, segment []byte) quarantine.Key {
	digest := sha256.New()
	writeField(digest, []byte(workspace))
	writeField(digest, segment)
	var sum [sha256.Size]byte
	return quarantine.Key(binary.LittleEndian.Uint64(digest.Sum(sum[:0])))
}

// CrashedRun is a run that had not been answered when its upstream crashed, as sent to
// peers.
type CrashedRun struct {
	ID       uint64
	Crash    Crash
	Request  quarantine.Key
	Segments []quarantine.Key // in the order of the prompt
	Age      time.Duration    // since the crash
}

// AnsweredSegment is a suspected segment of which a request was answered.
type AnsweredSegment struct {
	Segment quarantine.Key
	Age     time.Duration
}

// QuarantinedSegment is a segment whose requests are refused.
type QuarantinedSegment struct {
	Segment quarantine.Key
	Left    time.Duration
}

// CrashReport is what a host tells its peers of crashes.
type CrashReport struct {
	Runs        []CrashedRun
	Answered    []AnsweredSegment
	Quarantined []QuarantinedSegment
}

// Empty reports whether there is nothing to tell.
func (r *CrashReport) Empty() bool {
	return len(r.Runs) == 0 && len(r.Answered) == 0 && len(r.Quarantined) == 0
}

// Segments finds out which segments of prompts crash upstreams in requests that share
// them. Each host decides on its own, from its runs and those that peers report. It is safe
// for concurrent use.
type Segments struct {
	mu      sync.Mutex
	epoch   time.Time // zero of the tracker's clock
	tracker *quarantine.Tracker
	answers quarantine.Answers
	recent  []reportedRun // of this host; reported to peers
	// crashedAt is when each crash was first heard of. Hosts notice a crash at different
	// times, and the tracker takes what is far apart for different crashes.
	crashedAt map[Crash]time.Duration
	// suspectedAt is when a segment was last suspected. Peers are told of its answers, also
	// after these have cleared it here.
	suspectedAt map[quarantine.Key]time.Duration
	trials      map[quarantine.Key]*segmentTrial // of this host
	owns        func(segment quarantine.Key) bool
}

// reportedRun is a run that is reported to peers.
type reportedRun struct {
	run  quarantine.LostRun
	boot string
	at   time.Duration
}

func newSegments() *Segments {
	return &Segments{
		tracker: quarantine.NewTracker(), crashedAt: map[Crash]time.Duration{}, suspectedAt: map[quarantine.Key]time.Duration{},
		trials: map[quarantine.Key]*segmentTrial{},
	}
}

// since returns the time on the tracker's clock. It requires s.mu.
func (s *Segments) since(now time.Time) time.Duration {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	return now.Sub(s.epoch)
}

// Quarantined reports whether requests with any of the segments are refused, and until
// when.
func (s *Segments) Quarantined(now time.Time, segments []quarantine.Key) (until time.Time, quarantined bool) {
	if len(segments) == 0 {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.tracker.Quarantined(s.since(now), notConsulted) {
		if slices.Contains(segments, q.Key) {
			return s.epoch.Add(q.Until), true
		}
	}
	return time.Time{}, false
}

// Suspected reports whether a segment may be what crashed upstreams, so that a request
// with it should not be given a second one.
func (s *Segments) Suspected(now time.Time, segments []quarantine.Key) bool {
	if len(segments) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected := s.suspected(now)
	return slices.ContainsFunc(segments, func(key quarantine.Key) bool { return slices.Contains(suspected, key) })
}

// suspected returns the suspected keys, after telling the tracker which of them were
// answered here. It requires s.mu.
func (s *Segments) suspected(now time.Time) []quarantine.Key {
	at := s.since(now)
	for _, key := range s.tracker.Suspected(at, notConsulted) {
		s.suspectedAt[key] = at
		if answered, ok := s.answers.At(key); ok {
			s.tracker.Answered(answered, key)
		}
	}
	return s.tracker.Suspected(at, notConsulted)
}

// recordCrash records that a crash ended a run, unless the upstream had been answering it.
// Requests that share nothing are left to Suspects.
func (s *Segments) recordCrash(now time.Time, run *Run, crash Crash) {
	if len(run.segments) == 0 || run.outputFor(now) >= answeredAfter {
		return
	}
	segments := run.segments[max(0, len(run.segments)-maxSegments):]
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since(now)
	lost := quarantine.LostRun{
		ID: run.id, Upstream: crash.Upstream, StartedMS: bootNumber(crash.Boot),
		Request: quarantine.Key(binary.LittleEndian.Uint64(run.fingerprint[:])), Segments: segments,
	}
	s.tracker.Record(at, s.crashTime(at, at, crash), lost)
	s.recent = append(s.recent, reportedRun{lost, crash.Boot, at})
	s.recent = s.recent[max(0, len(s.recent)-maxReported):]
	s.suspected(now)
}

// crashTime returns when a crash was first heard of; at is when it is heard of now. It
// requires s.mu.
func (s *Segments) crashTime(now, at time.Duration, crash Crash) time.Duration {
	if first, known := s.crashedAt[crash]; known {
		return first
	}
	maps.DeleteFunc(s.crashedAt, func(_ Crash, first time.Duration) bool { return now-first > crashMemory })
	s.crashedAt[crash] = at
	return at
}

// recordAnswer records that a request with the segments was answered.
func (s *Segments) recordAnswer(now time.Time, segments []quarantine.Key) {
	if len(segments) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since(now)
	s.answers.Record(at, segments...)
	s.recordTrialAnswers(at, segments)
}

// bootNumber returns the number by which the tracker knows a boot ID.
func bootNumber(boot string) int64 {
	sum := sha256.Sum256([]byte(boot))
	return int64(binary.LittleEndian.Uint64(sum[:]))
}

// Export returns what to tell peers: recent crashes of this host's runs, those of all hosts that
// speak for quarantines, which suspected segments were answered lately, and the quarantined
// segments.
func (s *Segments) Export(now time.Time) CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since(now)
	s.recent = slices.DeleteFunc(s.recent, func(r reportedRun) bool { return at-r.at > crashReportWindow })
	var report CrashReport
	for _, r := range s.recent {
		report.Runs = append(report.Runs, CrashedRun{
			ID: r.run.ID, Crash: Crash{Upstream: r.run.Upstream, Boot: r.boot}, Request: r.run.Request, Segments: r.run.Segments, Age: at - r.at,
		})
	}
	report.Runs = append(report.Runs, s.supportingRuns(at)...)
	maps.DeleteFunc(s.suspectedAt, func(_ quarantine.Key, last time.Duration) bool { return at-last > crashReportWindow })
	for key := range s.suspectedAt {
		if answered, ok := s.answers.At(key); ok && at-answered < crashReportWindow && len(report.Answered) < maxReported {
			report.Answered = append(report.Answered, AnsweredSegment{key, at - answered})
		}
	}
	for _, q := range s.tracker.Quarantined(at, notConsulted) {
		if q.Until-at >= minTold && len(report.Quarantined) < maxReported {
			report.Quarantined = append(report.Quarantined, QuarantinedSegment{q.Key, q.Until - at})
		}
	}
	return report
}

// supportingRuns returns the runs that speak for quarantines, but for those that are reported
// anyway: a host that has just started can't clear a sound segment without them. It requires s.mu.
func (s *Segments) supportingRuns(now time.Duration) []CrashedRun {
	supporting := s.tracker.SupportingRuns(now, notConsulted)
	if len(supporting) == 0 {
		return nil
	}
	type start struct {
		upstream  string
		startedMS int64
	}
	crashes := map[start]Crash{}
	for crash := range s.crashedAt {
		crashes[start{crash.Upstream, bootNumber(crash.Boot)}] = crash
	}
	var runs []CrashedRun
	for _, run := range supporting {
		crash, known := crashes[start{run.Upstream, run.StartedMS}]
		isRecent := slices.ContainsFunc(s.recent, func(r reportedRun) bool { return r.run.ID == run.ID })
		if known && !isRecent && len(runs) < maxReported {
			runs = append(runs, CrashedRun{ID: run.ID, Crash: crash, Request: run.Request, Segments: run.Segments, Age: now - run.At})
		}
	}
	return runs
}

// Merge adds what a peer reported.
func (s *Segments) Merge(now time.Time, report CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.since(now)
	for _, r := range report.Runs {
		s.tracker.Record(at, s.crashTime(at, at-r.Age, r.Crash), quarantine.LostRun{
			ID: r.ID, Upstream: r.Crash.Upstream, StartedMS: bootNumber(r.Crash.Boot), Request: r.Request, Segments: r.Segments,
		})
	}
	s.suspected(now)
	for _, answered := range report.Answered {
		s.tracker.Answered(at-answered.Age, answered.Segment)
	}
	held := s.tracker.Quarantined(at, notConsulted)
	for _, q := range report.Quarantined {
		if slices.ContainsFunc(held, func(h quarantine.Quarantine) bool { return h.Key == q.Segment }) {
			continue // its end is known here; the told one is later by the time of the message
		}
		s.tracker.Adopt(quarantine.Quarantine{Key: q.Segment, Until: at + min(q.Left, SuspicionTTL)})
	}
}

// TakeDecisions returns the quarantines that were decided or lifted since the last call.
func (s *Segments) TakeDecisions(now time.Time) []quarantine.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Quarantined(s.since(now), notConsulted)
	return s.tracker.TakeDecisions()
}

// Dump returns the quarantined segments with the time for which they stay.
func (s *Segments) Dump(now time.Time) []SegmentDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dumps []SegmentDump
	for _, q := range s.tracker.Quarantined(s.since(now), notConsulted) {
		dumps = append(dumps, SegmentDump{Segment: formatKey(q.Key), Expires: s.epoch.Add(q.Until)})
	}
	return dumps
}
