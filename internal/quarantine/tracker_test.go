package quarantine

import (
	"slices"
	"testing"
	"time"
)

// Keys of the tests: two segments that many requests share, and one that crashes upstreams.
const (
	first Key = 1 + iota
	doc
	bad
)

const start = time.Hour

// scenario records lost runs, each with an ID of its own.
type scenario struct {
	*Tracker
	runs uint64
}

func newScenario() *scenario { return &scenario{Tracker: NewTracker()} }

// lose records a run of a request that was lost when an incarnation crashed.
func (s *scenario) lose(at time.Duration, incarnation int64, request Key, segments ...Key) {
	s.runs++
	s.Record(at, at, LostRun{ID: s.runs, Upstream: "u", StartedMS: incarnation, Request: request, Segments: segments})
}

// keys returns the quarantined keys, all hosts having been consulted.
func (s *scenario) keys(now time.Duration) []Key {
	var keys []Key
	s.Quarantined(now, now) // names the suspected keys
	for _, q := range s.Quarantined(now+1, now+1) {
		keys = append(keys, q.Key)
	}
	return keys
}

func (s *scenario) expect(t *testing.T, now time.Duration, when string, want ...Key) {
	t.Helper()
	if keys := s.keys(now); !slices.Equal(keys, want) {
		t.Errorf("%s: quarantined %v, want %v", when, keys, want)
	}
}

// Guards against refusing what requests that crash upstreams share with sound ones: their
// caller's first segment, and the segments beside the one that crashes.
func TestDeepestCommonSegmentIsQuarantined(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		at := start + time.Duration(i)*time.Second
		s.lose(at, i, Key(100+i), first, doc, bad)
		s.lose(at, i, Key(200+i), first, Key(300+i))
	}
	s.expect(t, start+4*time.Second, "three crashes", bad)
}

// Guards against quarantining segments that are answered, whatever crashes beside them.
func TestAnsweredSegmentIsNotQuarantined(t *testing.T) {
	s := newScenario()
	for i := range int64(6) {
		at := start + time.Duration(i)*100*time.Millisecond
		s.lose(at, i, Key(100+i), first, doc)
		s.Answered(start-5*time.Second, first)
		s.Answered(at, doc)
	}
	s.expect(t, start+2*time.Second, "six crashes")
}

// Guards against taking the end of many runs by one crash for many crashes.
func TestOneCrashCountsOnceForASegment(t *testing.T) {
	s := newScenario()
	for i := range 20 {
		s.lose(start, 1, Key(100+i), first)
	}
	s.lose(start+time.Millisecond, 2, 200, first)
	s.expect(t, start+2*time.Second, "two crashes")
}

// Guards against quarantining what many hosts answer before they have been asked: when
// several upstreams crash at once, all reports arrive together.
func TestHostsAreConsultedBeforeASegmentIsQuarantined(t *testing.T) {
	s := newScenario()
	for i := range int64(4) {
		s.lose(start, i, Key(100+i), first)
	}
	if quarantined := s.Quarantined(start+refreshInterval, start-1); len(quarantined) != 0 {
		t.Errorf("quarantined %v before the hosts were asked", quarantined)
	}
	if suspected := s.Suspected(start+refreshInterval, start-1); !slices.Equal(suspected, []Key{first}) {
		t.Errorf("suspected %v, want the segment", suspected)
	}
	s.Answered(start-time.Second, first)
	s.expect(t, start+2*time.Second, "an answer was reported")
}

// Guards against refusing a segment that many requests share because its answers were
// reported long ago: the hosts are asked again.
func TestHostsAreConsultedAgain(t *testing.T) {
	s := newScenario()
	s.lose(start, 1, 101, first)
	s.lose(start, 2, 102, first)
	s.expect(t, start, "two crashes")
	s.Answered(start, first)
	s.expect(t, start+time.Second, "an answer")
	later := start + 2*answerWindow
	for i := range int64(3) {
		s.lose(later, 10+i, Key(200+i), first)
	}
	s.Quarantined(later, later-1)
	if quarantined := s.Quarantined(later+refreshInterval, later-1); len(quarantined) != 0 {
		t.Errorf("quarantined %v before the hosts were asked again", quarantined)
	}
	s.Answered(later, first)
	s.expect(t, later+2*maxConsultation, "another answer")
}

// Guards against waiting for a host that does not report any more.
func TestSilentHostDoesNotDelayAQuarantineForLong(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start, i, Key(100+i), bad)
	}
	s.Quarantined(start, 0)
	if quarantined := s.Quarantined(start+maxConsultation+1, 0); len(quarantined) != 1 {
		t.Errorf("quarantined %v", quarantined)
	}
}

// Guards against refusing a whole segment because of one request that comes again and
// again, and against not refusing it once other requests with it crash upstreams, too.
func TestRequestIsToldFromItsSegments(t *testing.T) {
	s := newScenario()
	const request = 100
	for i := range int64(3) {
		s.lose(start+time.Duration(i)*time.Second, i, request, first, bad)
	}
	s.expect(t, start+3*time.Second, "one request crashed three upstreams", request)
	s.lose(start+4*time.Second, 4, 101, first, bad)
	s.expect(t, start+5*time.Second, "another request with the segment crashed a fourth", bad, request)
}

// Guards against quarantining a sound segment that stood beside the one that crashes, and
// was also running at an upstream that crashed for another reason.
func TestSegmentBesideTheQuarantinedOneIsExplained(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start+time.Duration(i)*time.Second, i, Key(100+i), first, bad)
	}
	s.expect(t, start+3*time.Second, "three crashes", bad)
	s.lose(start+4*time.Second, 10, 200, first)
	s.lose(start+5*time.Second, 11, 201, first)
	s.expect(t, start+6*time.Second, "two further crashes", bad)
}

// Guards against counting the lost runs of one host only, and against a quarantine that
// outlasts its reason.
func TestLostRunsOfAllHostsAddUp(t *testing.T) {
	s := newScenario()
	s.lose(start, 1, 1)
	s.lose(start+time.Second, 2, 1)
	s.lose(start, 1, 2)
	s.expect(t, start+time.Second, "two lost runs")
	s.lose(start+2*time.Second, 3, 1)
	s.expect(t, start+2*time.Second, "three lost runs", 1)
	// A connection can be lost without a crash of the upstream, and the request succeeds
	// later.
	s.Answered(start+3*time.Second, 1)
	s.expect(t, start+3*time.Second, "an answer")
	s.lose(start+4*time.Second, 4, 2)
	s.lose(start+4*time.Second+crashRetention+1, 5, 2)
	s.expect(t, start+4*time.Second+crashRetention+1, "the first crashes are older than a minute")
}

// Guards against counting a repeated report as another lost run.
func TestRepeatedReportCountsOnce(t *testing.T) {
	s := newScenario()
	run := LostRun{ID: 1, Upstream: "u", StartedMS: 1, Request: 7}
	for i := range 5 {
		s.Record(start+time.Duration(i)*time.Second, start, run)
	}
	s.expect(t, start+5*time.Second, "one run, reported five times")
}

// Guards against upstreams that crash three at a time whenever a quarantine has ended.
func TestOneCrashRenewsAQuarantine(t *testing.T) {
	s := newScenario()
	for i := range int64(3) {
		s.lose(start, i, Key(100+i), bad)
	}
	s.expect(t, start+time.Second, "three crashes", bad)
	after := start + initialQuarantine + 5*time.Second
	s.expect(t, after, "the quarantine has ended")
	s.lose(after, 4, 104, bad)
	s.expect(t, after+time.Second, "a crash on probation", bad)
	s.expect(t, after+2*initialQuarantine-time.Second, "the second quarantine is longer", bad)
	s.expect(t, after+2*initialQuarantine+time.Second, "the second quarantine has ended")
	s.Answered(after+2*initialQuarantine+2*time.Second, bad)
	s.lose(after+2*initialQuarantine+3*time.Second, 5, 105, bad)
	s.expect(t, after+2*initialQuarantine+4*time.Second, "a crash after an answer")
}

// Guards against a quarantine that a new coordinator does not take over, or that it keeps
// for longer than the one before had decided.
func TestAdoptedQuarantineEndsInTime(t *testing.T) {
	s := newScenario()
	for _, host := range []time.Duration{0, 5 * time.Millisecond} { // two hosts report it
		s.Adopt(Quarantine{Key: bad, Until: start + 20*time.Second + host})
	}
	s.expect(t, start, "taken over", bad)
	s.expect(t, start+19*time.Second, "before its end", bad)
	s.expect(t, start+21*time.Second, "after its end")
}

// Guards against unbounded memory when very many upstreams are lost.
func TestTrackerIsBounded(t *testing.T) {
	s := newScenario()
	for i := range int64(3 * maxCrashes) {
		for j := range Key(3) {
			s.lose(start+time.Duration(i)*time.Millisecond, i, Key(1000+3*i)+j, make([]Key, 2*maxSegments)...)
		}
	}
	s.keys(start + time.Second)
	if len(s.crashes) > maxCrashes || len(s.evidence) > maxCrashes*4 {
		t.Errorf("%d crashes, %d keys", len(s.crashes), len(s.evidence))
	}
	s.keys(start + 2*crashRetention)
	if len(s.crashes) != 0 || len(s.evidence) != 0 {
		t.Errorf("%d crashes, %d keys after their time", len(s.crashes), len(s.evidence))
	}
}
