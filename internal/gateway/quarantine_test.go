package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// quarantineAt returns a quarantine with a clock that the test sets.
func quarantineAt(now *time.Duration) *requestQuarantine {
	q := newRequestQuarantine()
	q.now = func() time.Duration { return *now }
	return q
}

func lostRun(id uint64, born int64, request quarantine.Key, segments ...quarantine.Key) quarantine.LostRun {
	return quarantine.LostRun{ID: id, Upstream: "u", StartedMS: born, Request: request, Segments: segments}
}

// Guards against forgetting a request that crashes upstreams because many others lost
// their connections, as when a data centre is cut off.
func TestManyLostRunsDropTheOldestOnly(t *testing.T) {
	now := time.Hour
	q := quarantineAt(&now)
	for i := range uint64(2 * maxLostRuns) {
		q.recordLostRun(lostRun(i, int64(i), quarantine.Key(100+i)))
	}
	now += time.Second
	for i := range uint64(3) {
		q.recordLostRun(lostRun(1_000_000+i, 1, 7))
	}
	if key, _ := q.find(quarantineKeys{request: 7}, false); key != 7 {
		t.Error("the request that crashes upstreams is not quarantined")
	}
	if len(q.lost) > maxLostRuns {
		t.Errorf("%d lost runs kept", len(q.lost))
	}
	if slices.ContainsFunc(q.lost, func(run reportedRun) bool { return run.Request == 100 }) {
		t.Error("the oldest lost run is still kept")
	}
}

// Guards against lost runs that never reach the coordinator because the exchange that
// carried them failed, and against a new coordinator that does not learn of them.
func TestLostRunsAreReportedUntilTheCoordinatorKnows(t *testing.T) {
	now := time.Hour
	q := quarantineAt(&now)
	q.apply(q.report(), &coordinator.ExchangeReply{Epoch: 1})
	q.recordLostRun(lostRun(1, 1, 7))
	if report := q.report(); len(report.lost) != 1 {
		t.Fatalf("%d lost runs reported", len(report.lost))
	}
	report := q.report() // the exchange with the one before failed
	if len(report.lost) != 1 {
		t.Errorf("%d lost runs reported after a failed exchange", len(report.lost))
	}
	q.apply(report, &coordinator.ExchangeReply{Epoch: 1})
	if report = q.report(); len(report.lost) != 0 {
		t.Errorf("%d lost runs reported though the coordinator knows them", len(report.lost))
	}
	q.apply(report, &coordinator.ExchangeReply{Epoch: 2})
	if report = q.report(); len(report.lost) != 1 {
		t.Errorf("%d lost runs reported to a new coordinator", len(report.lost))
	}
}

// Guards against dropping quarantines at a change of the coordinator: the new one does not
// know them at first.
func TestNewCoordinatorLearnsQuarantines(t *testing.T) {
	now := time.Hour
	q := quarantineAt(&now)
	keys := quarantineKeys{request: 1, segments: []quarantine.Key{7}}
	q.apply(q.report(), &coordinator.ExchangeReply{Epoch: 1})
	q.apply(q.report(), &coordinator.ExchangeReply{Epoch: 1, Quarantines: []coordinator.Quarantine{{Key: 7, RemainingMS: 60_000}}})
	q.apply(q.report(), &coordinator.ExchangeReply{Epoch: 2})
	if key, _ := q.find(keys, true); key != 7 {
		t.Error("the first reply of a new coordinator lifted the quarantine")
	}
	report := q.report()
	if len(report.quarantines) != 1 || report.quarantines[0].Key != 7 {
		t.Errorf("quarantines reported to the new coordinator: %v", report.quarantines)
	}
	q.apply(report, &coordinator.ExchangeReply{Epoch: 2})
	if _, remaining := q.find(keys, true); remaining > 0 {
		t.Error("a quarantine is kept that the coordinator has lifted")
	}
}

// Guards against giving a sound request no second upstream when two engines have crashed:
// the coordinator suspects a segment that many requests share until the hosts have replied.
func TestSegmentAnsweredHereIsNotSuspected(t *testing.T) {
	now := time.Hour
	q := quarantineAt(&now)
	keys := quarantineKeys{request: 1, segments: []quarantine.Key{7}}
	q.recordAnswer(keys)
	now += time.Second
	q.apply(q.report(), &coordinator.ExchangeReply{Epoch: 1, Suspected: []quarantine.Key{7, 8}})
	if q.isSuspected(keys, true) {
		t.Error("a segment that was answered here a second ago is suspected")
	}
	if !q.isSuspected(quarantineKeys{request: 2, segments: []quarantine.Key{7, 8}}, true) {
		t.Error("a segment that was not answered here is not suspected")
	}
	now += time.Minute
	if !q.isSuspected(keys, true) {
		t.Error("a segment that was answered long ago is not suspected")
	}
}

// Guards against requests that every host lets through as soon as the time of a quarantine
// has passed by its own clock.
func TestClockDoesNotEndAQuarantine(t *testing.T) {
	now := time.Hour
	q := quarantineAt(&now)
	keys := quarantineKeys{request: 1, segments: []quarantine.Key{7}}
	for range 2 {
		q.apply(q.report(), &coordinator.ExchangeReply{Epoch: 1, Quarantines: []coordinator.Quarantine{{Key: 7, RemainingMS: 1000}}})
	}
	now += 1001 * time.Millisecond
	for _, coordinated := range []bool{true, false} {
		if key, _ := q.find(keys, coordinated); key != 7 {
			t.Errorf("coordinated %v: not refused at the end, before the coordinator has decided", coordinated)
		}
	}
}
