package loading_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standinengine "github.com/arbutusbank/arbutusbank/internal/standin/engine"
	standinplatform "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// runningHost is a manager with its monitor, both running on the system clock.
type runningHost struct {
	monitor *engine.Monitor
	manager *loading.Manager
}

func startHost(ctx context.Context, group *conc.WaitGroup, i int, table string, targets []engine.Target, snapshot *config.Snapshot) *runningHost {
	registry := prometheus.NewRegistry()
	h := &runningHost{monitor: engine.NewMonitor(engine.MonitorOptions{Registerer: registry})}
	h.monitor.SetTargets(targets)
	clients := map[string]*engine.Client{}
	for _, target := range targets {
		clients[target.Address] = engine.NewClient(target.Address)
	}
	h.manager = loading.New(loading.Options{
		Table: platform.NewClient(table), View: h.monitor.View, PollNow: h.monitor.PollNow,
		Client:     func(address string) loading.OrderSender { return clients[address] },
		Config:     func() *config.Snapshot { return snapshot },
		IsOwner:    func(string) bool { return i == 0 },
		Host:       fmt.Sprintf("h%d", i),
		Registerer: registry,
	})
	group.Go(func() { h.monitor.Run(ctx) })
	group.Go(func() { h.manager.Run(ctx) })
	return h
}

// TestBurstAtSeveralHosts guards against data races between request, control and
// sender goroutines, and against a burst at several hosts that results in more than
// one load or leaves a host without the replica. Responses to commits are lost at
// random, so hosts must read back the outcome.
func TestBurstAtSeveralHosts(t *testing.T) {
	const hosts, engines = 3, 2
	store := standinplatform.New(1)
	store.SetFaults(standinplatform.Faults{DropResponseRatio: 0.2})
	table := httptest.NewServer(store)
	defer table.Close()
	var targets []engine.Target
	var testEngines []*standinengine.Engine
	for range engines {
		e, err := standinengine.Start(standinengine.Options{Address: "127.0.0.1:0", MemoryBytes: engineMemory})
		if err != nil {
			t.Fatal(err)
		}
		defer e.Stop()
		testEngines = append(testEngines, e)
		targets = append(targets, engine.Target{Address: e.Address(), Service: "s"})
	}
	snapshot, err := config.NewSnapshot(1, newSimulation(1, 1, 1, 2, faults{}).doc)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	var running []*runningHost
	for i := range hosts {
		running = append(running, startHost(ctx, &group, i, table.Listener.Addr().String(), targets, snapshot))
	}
	deadline := time.Now().Add(20 * time.Second)
	ready := 0
	for ready < hosts && time.Now().Before(deadline) {
		ready = 0
		for _, h := range running {
			h.manager.RecordDemand("m0", "a0", 4, deadline)
			h.manager.RecordUse("m0", "a0")
			_ = h.manager.State()
			if replicas := h.manager.Replicas("m0", "a0"); len(replicas) == 1 && replicas[0].State == loading.StateLoaded {
				ready++
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	if ready != hosts {
		t.Fatalf("%d hosts see the replica, state %+v", ready, running[0].manager.State())
	}
	loads := 0
	for _, e := range testEngines {
		loads += len(e.Record().Loads)
	}
	if loads != 2 { // one of the model, one of its adapter
		t.Fatalf("%d loads, want 2", loads)
	}
}
