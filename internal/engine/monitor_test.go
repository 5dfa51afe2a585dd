package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no %s", what)
}

// Guards against missed restarts and refused connections, and against one silent
// connection that stops the polling of an engine for good.
func TestMonitorFollowsEngine(t *testing.T) {
	var boot atomic.Value
	var hang, restarts, refusals, events atomic.Int32
	boot.Store("1")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hang.CompareAndSwap(1, 0) {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/control/cache-events" {
			_ = json.NewEncoder(w).Encode(CacheEvents{Events: []CacheEvent{{Seq: 1}}, Next: 1})
			return
		}
		_ = json.NewEncoder(w).Encode(Report{BootID: boot.Load().(string), TimeMS: time.Now().UnixMilli()})
	}))
	address := server.Listener.Addr().String()
	monitor := NewMonitor(MonitorOptions{Callbacks: Callbacks{
		OnRestart:     func(_, _, _ string) { restarts.Add(1) },
		OnRefused:     func(string) { refusals.Add(1) },
		OnCacheEvents: func(string, []CacheEvent, bool) { events.Add(1) },
	}})
	monitor.SetTargets([]Target{{Address: address}})
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { monitor.Run(ctx) })
	defer group.Wait()
	defer cancel()

	state := func() *EngineState { return monitor.View().Engine(address) }
	waitFor(t, "report", func() bool { return state().Report != nil })
	waitFor(t, "cache events", func() bool { return events.Load() > 0 })
	hang.Store(1)
	waitFor(t, "failed poll", func() bool { return !state().Reachable })
	waitFor(t, "recovery", func() bool { return state().Reachable })
	boot.Store("2")
	waitFor(t, "restart", func() bool { return restarts.Load() == 1 && state().Restarts == 1 })
	server.Close()
	waitFor(t, "refusal", func() bool { return refusals.Load() == 1 && !state().RefusedSince.IsZero() })
	monitor.SetTargets(nil)
	if len(monitor.View().Engines) != 0 {
		t.Fatal("removed engine is still in the view")
	}
}

// Guards against taking an old report for one that reflects a later order: the
// estimate must never be later than the time at which the report was taken.
func TestReportAge(t *testing.T) {
	start := time.Now()
	at := func(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const engineOffset = -7_000_000 // the clocks are not synchronised
	var age ageEstimate
	steps := []struct{ taken, received int64 }{
		{0, 300}, {200, 310}, {400, 500}, {400, 700}, {400, 5_000}, {60_000, 60_100},
	}
	for received := int64(61_000); received < 200_000; received += 1_000 {
		steps = append(steps, struct{ taken, received int64 }{60_000, received}) // the engine returns the same report again and again
	}
	for _, step := range steps {
		got := age.takenAfter(step.taken+engineOffset, at(step.received-5), at(step.received))
		if got.After(at(step.taken)) {
			t.Errorf("report taken at %d, received at %d: estimate %v too late", step.taken, step.received, got.Sub(at(step.taken)))
		}
	}
}
