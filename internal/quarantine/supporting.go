package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSupportingCrashes is the number of crashes of a quarantined key, the latest ones, whose
	// runs other trackers are told of: enough to quarantine the key, and those that trials add.
	maxSupportingCrashes = crashThreshold + 2
	// maxSupportingRuns bounds the runs of one crash of which they are told.
	maxSupportingRuns = 6
)

// TimedRun is a lost run with the time at which it was lost.
type TimedRun struct {
	LostRun
	At time.Duration
}

// SupportingRuns returns the lost runs that speak for the quarantines. A tracker that knows no
// others comes to the same quarantines and trials, also after an answer has cleared a key.
func (t *Tracker) SupportingRuns(now, consulted time.Duration) []TimedRun {
	t.refresh(now, consulted)
	return t.supporting
}

// supportingRuns computes the result of SupportingRuns.
func (t *Tracker) supportingRuns() []TimedRun {
	var runs []TimedRun
	seen := map[*crash]bool{}
	for key := range t.holds {
		e := t.evidence[key]
		if e == nil {
			continue
		}
		for _, c := range e.crashes[max(0, len(e.crashes)-maxSupportingCrashes):] {
			if seen[c] {
				continue
			}
			seen[c] = true
			for _, run := range t.distinctRuns(c) {
				runs = append(runs, TimedRun{LostRun: run, At: c.at})
			}
		}
	}
	slices.SortFunc(runs, func(a, b TimedRun) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	return runs
}

// distinctRuns returns the runs of a crash that show what its runs had in common with others:
// those with quarantined keys, and of the others only those with further segments.
func (t *Tracker) distinctRuns(c *crash) []LostRun {
	isHeld := func(key Key) bool { return t.holds[key] != nil }
	rank := func(run LostRun) int {
		switch {
		case isHeld(run.Request):
			return 0
		case slices.ContainsFunc(run.Segments, isHeld):
			return 1
		default:
			return 2
		}
	}
	runs := slices.Clone(c.runs)
	slices.SortFunc(runs, func(a, b LostRun) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(len(b.Segments), len(a.Segments)), cmp.Compare(a.ID, b.ID))
	})
	var distinct []LostRun
	shown := map[Key]bool{}
	for _, run := range runs {
		isNew := isHeld(run.Request) || slices.ContainsFunc(run.Segments, func(key Key) bool { return !shown[key] })
		if !isNew || len(distinct) >= maxSupportingRuns {
			continue
		}
		distinct = append(distinct, run)
		for _, key := range run.Segments {
			shown[key] = true
		}
	}
	return distinct
}
