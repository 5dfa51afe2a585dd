package gateway

import (
	"testing"
	"time"
)

// Guards against forgetting a request that crashes upstreams because many others lost
// their connections, as when a data centre is cut off.
func TestManyLostRunsDropTheOldestOnly(t *testing.T) {
	q, now := newRequestQuarantine(), time.Now()
	q.recordLostRun(now, 1)
	for i := range uint64(maxTrackedRequests - 1) {
		q.recordLostRun(now.Add(time.Duration(i+1)*time.Microsecond), 100+i)
	}
	later := now.Add(time.Second)
	for range quarantineThreshold {
		q.recordLostRun(later, 7)
	}
	if !q.isQuarantined(later, 7) {
		t.Error("the request that crashes upstreams is not quarantined")
	}
	if len(q.lostRuns) > maxTrackedRequests {
		t.Errorf("%d requests tracked", len(q.lostRuns))
	}
	if _, known := q.lostRuns[1]; known {
		t.Error("the oldest request is still tracked")
	}
}
