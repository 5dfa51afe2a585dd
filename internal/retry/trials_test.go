package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// admits reports whether a host admits a request, and its part in trials.
func (h *segmentHost) admits(now time.Time, segments ...quarantine.Key) (bool, *SegmentTrial) {
	trial, _, refused := h.Segments().Admit(now, segments, nil)
	return !refused, trial
}

// Guards against a quarantine that ends on all hosts at once: one request runs, at the host
// that owns the trial, and its answer ends the quarantine at the others, too.
func TestOneRequestIsTriedAtTheEnd(t *testing.T) {
	a, b, now := newSegmentHost(t), newSegmentHost(t), time.Now()
	b.Segments().SetOwner(func(quarantine.Key) bool { return false })
	a.run(now, "e9", commonSegment).Completed(now)
	b.run(now, "e9", commonSegment).Completed(now)
	for i := range 3 {
		a.crash(now, "e1", fmt.Sprint("boot-", i))
	}
	for range 4 {
		a.tellsOf(now, b)
		b.tellsOf(now, a)
		now = now.Add(600 * time.Millisecond)
	}
	for name, h := range map[string]*segmentHost{"a": a, "b": b} {
		if ok, _ := h.admits(now, commonSegment, badSegment); ok {
			t.Fatalf("%s admits the segment after three crashes", name)
		}
	}
	now = now.Add(62 * time.Second)
	if ok, _ := b.admits(now, commonSegment, badSegment); ok {
		t.Error("admitted at a host that does not own the trial")
	}
	ok, trial := a.admits(now, commonSegment, badSegment)
	if !ok || trial == nil {
		t.Fatal("the trial was refused")
	}
	if ok, _ := a.admits(now, commonSegment, badSegment); ok {
		t.Error("a second request was admitted")
	}
	trial.End(now, true)
	if ok, _ := a.admits(now.Add(time.Second), commonSegment, badSegment); ok {
		t.Error("admitted while a crash may still be attributed to the trial")
	}
	now = now.Add(trialOutcomeTime + time.Second)
	if ok, _ := a.admits(now, commonSegment, badSegment); ok {
		t.Error("admitted after a trial without an outcome")
	}
	now = now.Add(2*time.Minute + time.Second)
	if ok, trial = a.admits(now, commonSegment, badSegment); !ok {
		t.Fatal("the second trial was refused")
	}
	a.run(now, "e1", commonSegment, badSegment).Completed(now)
	trial.End(now, true)
	for range 2 {
		a.tellsOf(now, b)
		now = now.Add(600 * time.Millisecond)
	}
	for name, h := range map[string]*segmentHost{"a": a, "b": b} {
		if ok, _ := h.admits(now, commonSegment, badSegment); !ok {
			t.Errorf("%s refuses the segment after a trial was answered", name)
		}
	}
}

// Guards against refusing a sound message that stands only behind the one that crashes
// upstreams.
func TestSoundSegmentBehindTheCrashingOneIsTried(t *testing.T) {
	const behind quarantine.Key = 9
	h, now := newSegmentHost(t), time.Now()
	for i := range 3 {
		h.run(now, "e1", badSegment, behind).ConnectionLost(now)
		h.Crashed(now, "e1", fmt.Sprint("boot-", i))
	}
	h.expect(now, "suspected", behind, false)
	now = now.Add(1500 * time.Millisecond)
	if ok, _ := h.admits(now, badSegment, behind); ok {
		t.Error("a request with both segments was admitted")
	}
	ok, trial := h.admits(now, behind)
	if !ok || trial == nil {
		t.Fatal("the request without the other segment was refused")
	}
	h.run(now, "e1", behind).Completed(now)
	trial.End(now, true)
	now = now.Add(time.Second)
	if ok, _ = h.admits(now, behind); !ok {
		t.Error("refused after the trial was answered")
	}
	if ok, _ = h.admits(now, badSegment); ok {
		t.Error("the segment that crashes upstreams is admitted")
	}
}

// Guards against a sound segment that is refused for the whole time of its quarantine because the
// host that runs its trials has just started: it knows the quarantine, but the host that had
// reported the crashes is gone, or did so too long ago.
func TestRestartedHostClearsASoundSegment(t *testing.T) {
	const behind quarantine.Key = 99
	lost, witness, restarted, now := newSegmentHost(t), newSegmentHost(t), newSegmentHost(t), time.Now()
	for i := range 3 {
		boot := fmt.Sprint("boot-", i)
		lost.run(now, "e1", commonSegment, badSegment, behind).ConnectionLost(now)
		lost.Crashed(now, "e1", boot)
		lost.tellsOf(now, witness)
		now = now.Add(time.Second)
	}
	now = now.Add(crashReportWindow)
	witness.expect(now, "after three crashes", behind, true)
	witness.tellsOf(now, restarted)
	now = now.Add(2 * time.Second)
	if ok, _ := restarted.admits(now, commonSegment, badSegment, behind); ok {
		t.Error("a request that crashes upstreams was admitted")
	}
	ok, trial := restarted.admits(now, commonSegment, behind)
	if !ok {
		t.Fatal("the sound request was refused")
	}
	restarted.run(now, "e2", commonSegment, behind).Completed(now)
	trial.End(now, true)
	restarted.tellsOf(now, witness)
	now = now.Add(2 * time.Second)
	for name, h := range map[string]*segmentHost{"witness": witness, "restarted": restarted} {
		h.expect(now, name+", after an answer", behind, false)
		h.expect(now, name+", after an answer", badSegment, true)
	}
}
