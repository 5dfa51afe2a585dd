package coordinator

import (
	"slices"
	"testing"
	"time"
)

func TestLostRunsOfAllHostsAddUp(t *testing.T) {
	tracker := lostRunTracker{}
	tracker.record(time.Second, []LostRuns{{Fingerprint: 1, Count: 2}, {Fingerprint: 2, Count: 1}})
	if quarantined := tracker.quarantined(); len(quarantined) != 0 {
		t.Errorf("quarantined %v after two lost runs", quarantined)
	}
	tracker.record(2*time.Second, []LostRuns{{Fingerprint: 1, Count: 1}})
	if quarantined := tracker.quarantined(); !slices.Equal(quarantined, []uint64{1}) {
		t.Errorf("quarantined %v, want the request with three lost runs", quarantined)
	}
	// A response can be lost without a crash of the upstream, and the request succeeds
	// later.
	tracker.record(3*time.Second, []LostRuns{{Fingerprint: 1, Count: Answered}})
	if quarantined := tracker.quarantined(); len(quarantined) != 0 {
		t.Errorf("quarantined %v after an answer", quarantined)
	}
	tracker.record(4*time.Second, []LostRuns{{Fingerprint: 2, Count: 2}})
	tracker.expire(4*time.Second + lostRunTTL + 1)
	if quarantined := tracker.quarantined(); len(quarantined) != 0 {
		t.Errorf("quarantined %v after lostRunTTL", quarantined)
	}
}
