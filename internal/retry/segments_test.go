package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// Segments of the tests: one that all requests share, and one that crashes upstreams.
const (
	commonSegment quarantine.Key = 1 + iota
	badSegment
)

// segmentHost is a host whose runs crash upstreams.
type segmentHost struct {
	*Suspects
	t    *testing.T
	runs int
}

func newSegmentHost(t *testing.T) *segmentHost {
	return &segmentHost{Suspects: NewSuspects(prometheus.NewRegistry()), t: t}
}

// run begins a run of a request like no other.
func (h *segmentHost) run(now time.Time, upstream string, segments ...quarantine.Key) *Run {
	h.t.Helper()
	h.runs++
	f := NewFingerprint("w", "/r", fmt.Append(nil, h.t.Name(), h.runs, time.Now().UnixNano()))
	run, verdict := h.Permit(now, f, upstream, segments...)
	if verdict != Allowed {
		h.t.Fatalf("verdict %v, want the run to be allowed", verdict)
	}
	return run
}

// crash crashes an upstream that runs one request with the bad segment.
func (h *segmentHost) crash(now time.Time, upstream, boot string) {
	h.t.Helper()
	h.run(now, upstream, commonSegment, badSegment).ConnectionLost(now)
	h.Crashed(now, upstream, boot)
}

func (h *segmentHost) expect(now time.Time, when string, segment quarantine.Key, want bool) {
	h.t.Helper()
	if _, quarantined := h.Segments().Quarantined(now, []quarantine.Key{segment}); quarantined != want {
		h.t.Errorf("%s: segment %d quarantined %v, want %v", when, segment, quarantined, want)
	}
}

// tellsOf sends what one host exports to another one.
func (h *segmentHost) tellsOf(now time.Time, peer *segmentHost) {
	peer.Segments().Merge(now, h.Segments().Export(now))
}

// Guards against upstreams that crash one after the other because requests, no two alike,
// share a message that crashes them, and against refusing what sound requests share.
func TestSegmentThatCrashesUpstreams(t *testing.T) {
	h, now := newSegmentHost(t), time.Now()
	h.run(now, "e9", commonSegment).Completed(now)
	for i := range 3 {
		now = now.Add(time.Second)
		h.expect(now, "fewer than three crashes", badSegment, false)
		h.crash(now, "e1", fmt.Sprint("boot-", i))
	}
	if !h.Segments().Suspected(now, []quarantine.Key{badSegment}) {
		t.Error("the segment is not suspected after three crashes")
	}
	now = now.Add(1500 * time.Millisecond) // peers have been heard
	h.expect(now, "three crashes", badSegment, true)
	h.expect(now, "three crashes and an answer", commonSegment, false)
	if decisions := h.Segments().TakeDecisions(now); len(decisions) != 1 || decisions[0].Key != badSegment {
		t.Errorf("decisions %+v, want one for the segment", decisions)
	}
	if dump := h.Segments().Dump(now); len(dump) != 1 || dump[0].Segment != "2" {
		t.Errorf("dump %+v, want the segment", dump)
	}
}

// Guards against three crashes for each host: peers add up what they lost, each crash once,
// whenever they notice it, and a host that has restarted is told.
func TestCrashesOfPeersAddUp(t *testing.T) {
	a, b, now := newSegmentHost(t), newSegmentHost(t), time.Now()
	a.crash(now, "e1", "boot-1")
	b.crash(now.Add(3*time.Second), "e1", "boot-1") // noticed later
	now = now.Add(4 * time.Second)
	a.crash(now, "e2", "boot-2")
	for range 3 {
		a.tellsOf(now, b)
		b.tellsOf(now, a)
		now = now.Add(500 * time.Millisecond)
	}
	a.expect(now, "two crashes", badSegment, false)
	b.crash(now, "e3", "boot-3")
	for range 3 {
		b.tellsOf(now, a)
		now = now.Add(600 * time.Millisecond)
	}
	a.expect(now, "three crashes", badSegment, true)
	b.expect(now, "three crashes", badSegment, true)
	restarted := newSegmentHost(t)
	a.tellsOf(now, restarted)
	restarted.expect(now, "told by a peer", badSegment, true)
}

// Guards against a quarantine that two hosts extend by telling each other of it, each time
// by the time that a message takes, and against telling peers of one that has just ended.
func TestToldQuarantineEnds(t *testing.T) {
	a, b, now := newSegmentHost(t), newSegmentHost(t), time.Now()
	for i := range 3 {
		a.crash(now, "e1", fmt.Sprint("boot-", i))
	}
	now = now.Add(2 * time.Second)
	end, quarantined := a.Segments().Quarantined(now, []quarantine.Key{badSegment})
	if !quarantined {
		t.Fatal("the segment is not quarantined")
	}
	const delay = 300 * time.Millisecond
	for now.Before(end.Add(2 * time.Second)) {
		fromA, fromB := a.Segments().Export(now), b.Segments().Export(now)
		for _, q := range append(fromA.Quarantined, fromB.Quarantined...) {
			if q.Left < 0 {
				t.Fatalf("told of a quarantine that ended %v ago", -q.Left)
			}
		}
		now = now.Add(delay)
		a.Segments().Merge(now, fromB)
		b.Segments().Merge(now, fromA)
		now = now.Add(200 * time.Millisecond)
	}
	a.expect(now, "2 s after its end", badSegment, false)
	b.expect(now, "2 s after its end", badSegment, false)
}

// Guards against refusing a segment that is answered at another host.
func TestAnswersOfPeersClearSegments(t *testing.T) {
	a, b, now := newSegmentHost(t), newSegmentHost(t), time.Now()
	b.run(now, "e9", badSegment).Completed(now)
	for i := range 3 {
		a.crash(now, "e1", fmt.Sprint("boot-", i))
	}
	a.tellsOf(now, b) // now b knows what to answer for
	b.tellsOf(now, a)
	now = now.Add(2 * time.Second)
	a.expect(now, "answered at a peer", badSegment, false)
}

// Guards against blaming segments of runs that had been answered for some time.
func TestAnsweredRunIsNotBlamed(t *testing.T) {
	h, now := newSegmentHost(t), time.Now()
	for i := range 4 {
		run := h.run(now, "e1", badSegment)
		run.Progressed(now)
		now = now.Add(answeredAfter)
		run.ConnectionLost(now)
		h.Crashed(now, "e1", fmt.Sprint("boot-", i))
	}
	now = now.Add(2 * time.Second)
	h.expect(now, "answered before each crash", badSegment, false)
}

// Guards against crashes that are counted for no segment, or for one whose run was never sent,
// because the host notices the crash before the run's own connection ends.
func TestCrashNoticedBeforeTheRunEnds(t *testing.T) {
	for _, sent := range []bool{true, false} {
		h, now := newSegmentHost(t), time.Now()
		for i := range 3 {
			run := h.run(now, "e1", badSegment)
			h.Crashed(now, "e1", fmt.Sprint("boot-", i))
			if sent {
				run.ConnectionLost(now)
			} else {
				run.NotRun(now)
			}
			now = now.Add(time.Second)
		}
		now = now.Add(time.Second)
		h.expect(now, fmt.Sprintf("sent %v", sent), badSegment, sent)
	}
}

// Guards against a workspace that gets the messages of another one refused.
func TestSegmentsBelongToTheirWorkspace(t *testing.T) {
	if NewSegmentKey("a", []byte("hello")) == NewSegmentKey("b", []byte("hello")) {
		t.Error("two workspaces share the key of a message")
	}
}
