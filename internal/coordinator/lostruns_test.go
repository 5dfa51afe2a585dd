package coordinator

import (
	"slices"
	"testing"
	"time"
)

func TestLostRunsOfAllHostsAddUp(t *testing.T) {
	book := lostRunBook{}
	book.note(time.Second, []LostRuns{{Fingerprint: 1, Count: 2}, {Fingerprint: 2, Count: 1}})
	if refused := book.refused(); len(refused) != 0 {
		t.Errorf("refused %v after two runs", refused)
	}
	book.note(2*time.Second, []LostRuns{{Fingerprint: 1, Count: 1}})
	if refused := book.refused(); !slices.Equal(refused, []uint64{1}) {
		t.Errorf("refused %v, want the request with three lost runs", refused)
	}
	// Answers of upstreams get lost without a crash, and the request succeeds later.
	book.note(3*time.Second, []LostRuns{{Fingerprint: 1, Count: Answered}})
	if refused := book.refused(); len(refused) != 0 {
		t.Errorf("refused %v after an answer", refused)
	}
	book.note(4*time.Second, []LostRuns{{Fingerprint: 2, Count: 2}})
	book.forget(4*time.Second + lostRunMemory + 1)
	if refused := book.refused(); len(refused) != 0 {
		t.Errorf("refused %v after their time", refused)
	}
}
