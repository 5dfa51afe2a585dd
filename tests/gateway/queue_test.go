package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// Guards against hosts that send an engine all requests at once, whatever its slots, and
// against urgent requests that wait behind patient ones.
func TestRequestsWaitForSlots(t *testing.T) {
	f := newTestFleet(t, 1)
	f.engine.EventInterval = 150 * time.Millisecond // 0.6 s for a request, 8 slots
	var group conc.WaitGroup
	statuses := make(chan int, 64)
	send := func(count int, path string) {
		for i := range count {
			group.Go(func() { statuses <- f.sendModelRequest(0, path, fmt.Sprint(path, i), "m1").status })
		}
	}
	send(24, "/patient/1")
	time.Sleep(200 * time.Millisecond)
	send(4, "/chat/1")
	group.Wait()
	close(statuses)
	for status := range statuses {
		if status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	received := f.engine.ReceivedRequests()
	checkSlots(t, received, 8, 550*time.Millisecond)
	urgentBefore := 0
	for _, request := range received[:16] {
		if request.Target == "/chat/1" {
			urgentBefore++
		}
	}
	if urgentBefore != 4 {
		t.Errorf("%d of 4 urgent requests are among the first 16", urgentBefore)
	}
}

// checkSlots checks that no more requests than slots arrive within a run.
func checkSlots(t *testing.T, received []platformtest.ReceivedRequest, slots int, run time.Duration) {
	t.Helper()
	for i := slots; i < len(received); i++ {
		if gap := received[i].At.Sub(received[i-slots].At); gap < run {
			t.Errorf("request %d arrived %v after that %d before", i, gap, slots)
		}
	}
}
