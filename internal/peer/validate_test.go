package peer

import (
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
)

// Guards against a peer whose crash report fills the memory of its readers, or puts crashes
// and quarantines where no clock can.
func TestCrashReportBounds(t *testing.T) {
	valid := &peerpb.CrashReport{
		Runs:        []*peerpb.CrashedRun{{Upstream: "e1", BootId: "b", Segments: make([]uint64, MaxSegments), AgeMs: 5}},
		Answered:    []*peerpb.AnsweredSegment{{Segment: 1, AgeMs: 5}},
		Quarantined: []*peerpb.QuarantinedSegment{{Segment: 1, LeftMs: 5}},
	}
	if err := validate(&peerpb.Suspicions{CrashReport: valid}); err != nil {
		t.Errorf("valid report: %v", err)
	}
	for field, report := range map[string]*peerpb.CrashReport{
		"runs":                {Runs: make([]*peerpb.CrashedRun, MaxCrashedRuns+1)},
		"runs.segments":       {Runs: []*peerpb.CrashedRun{{Segments: make([]uint64, MaxSegments+1)}}},
		"runs.upstream":       {Runs: []*peerpb.CrashedRun{{Upstream: string(make([]byte, maxNameBytes+1))}}},
		"runs.age_ms":         {Runs: []*peerpb.CrashedRun{{AgeMs: -1}}},
		"answered":            {Answered: make([]*peerpb.AnsweredSegment, MaxCrashedRuns+1)},
		"answered.age_ms":     {Answered: []*peerpb.AnsweredSegment{{AgeMs: maxDurationMS + 1}}},
		"quarantined":         {Quarantined: make([]*peerpb.QuarantinedSegment, MaxCrashedRuns+1)},
		"quarantined.left_ms": {Quarantined: []*peerpb.QuarantinedSegment{{LeftMs: -1}}},
	} {
		if err := validate(&peerpb.Suspicions{CrashReport: report}); err == nil {
			t.Errorf("suspicions: %s out of bounds is accepted", field)
		}
		if err := validate(&peerpb.HeartbeatMessage{CrashReport: report}); err == nil {
			t.Errorf("heartbeat: %s out of bounds is accepted", field)
		}
	}
}
