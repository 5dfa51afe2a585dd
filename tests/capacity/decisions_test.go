package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/membership"
	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// engineSizes are the measured numbers of engines, up to the growth size.
var engineSizes = []int{18, 1250, 2500, 5000, growthEngines}

func engineAddress(i int) string { return fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1) }

// newEngineView returns the view of a monitor that polls every engine.
func newEngineView(engines, adapters int) *engine.View {
	now := time.Now()
	states := make([]*engine.EngineState, 0, engines)
	for i := range engines {
		states = append(states, &engine.EngineState{
			Target:    engine.Target{Address: engineAddress(i), Service: "assistant", DataCenter: dataCenterName(i)},
			Report:    fakeReport(i, documentModels, adapters),
			Reachable: true, ReceivedAt: now, TakenAfter: now,
		})
	}
	return engine.NewView(states)
}

// fillTable writes the rows that correspond to a view.
func fillTable(b *testing.B, table *countingTable, view *engine.View) {
	b.Helper()
	replicas := map[string][]string{}
	for _, state := range view.Engines {
		row := loading.UpstreamRow{Writer: "host-0001/abc/17"}
		for _, r := range state.Report.Resident {
			w := loading.Weights{Model: r.Model, Adapter: r.Adapter}
			row.Reservations = append(row.Reservations, loading.Reservation{Weights: w, Version: r.Version, Bytes: r.Bytes, State: loading.StateLoaded})
			if r.Adapter == "" {
				replicas[r.Model] = append(replicas[r.Model], state.Address)
			}
		}
		putRow(b, table, loading.UpstreamKey(state.Address), row)
	}
	for model, addresses := range replicas {
		putRow(b, table, loading.ModelKey(model), loading.ModelRow{Writer: "host-0001/abc/17", Replicas: addresses})
	}
}

func putRow(b *testing.B, table *countingTable, key string, value any) {
	b.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := table.Commit(context.Background(), nil, []platform.Write{{Key: key, Value: data}}); err != nil {
		b.Fatal(err)
	}
}

// nopOrderSender discards orders; the benchmark issues none.
type nopOrderSender struct{}

// Order implements loading.OrderSender.
func (nopOrderSender) Order(context.Context, engine.Order) error { return nil }

// BenchmarkLoading measures control steps of a host that polls every engine and
// has nothing to decide: steps that read the rows (two per second) and steps that
// do not (ten per second).
func BenchmarkLoading(b *testing.B) {
	s := newSeries("loading", "engine", growthEngines)
	s.fitFrom = 1000
	for range b.N {
		for _, size := range engineSizes {
			measureLoading(b, s, size)
		}
	}
	s.print()
}

func measureLoading(b *testing.B, s *series, size int) {
	view, table := newEngineView(size, growthAdapters), newCountingTable()
	fillTable(b, table, view)
	snapshot := newSnapshot(b, 1, growthShape(1).document())
	heap := liveHeap()
	now := time.Now()
	clock := &manualClock{now: now}
	manager := loading.New(loading.Options{
		Table: table, View: func() *engine.View { return view }, Host: "h1", DataCenter: dataCenterName(0), Clock: clock,
		Client:  func(string) loading.OrderSender { return nopOrderSender{} },
		Config:  func() *config.Snapshot { return snapshot },
		IsOwner: func(string) bool { return false }, Synchronous: true,
	})
	ctx := context.Background()
	manager.Step(ctx)
	clock.now = clock.now.Add(10 * time.Millisecond)
	withoutReads := timePerCall(b, 200*time.Millisecond, func() { manager.Step(ctx) })
	s.add("step without reads, ms", float64(size), 1000*withoutReads)
	reads, steps := table.reads, 0
	withReads := timePerCall(b, 300*time.Millisecond, func() {
		steps++
		clock.now = clock.now.Add(time.Second)
		manager.Step(ctx)
	})
	s.add("step with reads, ms", float64(size), 1000*withReads)
	s.add("table reads per refresh", float64(size), float64(table.reads-reads)/float64(steps))
	s.add("CPU percent of a core, 2 refreshes and 10 steps a second", float64(size), 100*(2*withReads+8*withoutReads))
	var index any
	s.add("replica index after a report, ms", float64(size), 1000*timePerCall(b, 200*time.Millisecond, func() {
		view = engine.NewView(view.Engines)
		clock.now = clock.now.Add(10 * time.Millisecond)
		index = manager.Replicas("model-1", "")
	}))
	_ = index
	s.add("heap bytes", float64(size), liveHeap()-heap)
	if manager.State().TableDownSince.IsZero() != true {
		b.Error("the table could not be read")
	}
}

// manualClock is a clock that the benchmark advances.
type manualClock struct{ now time.Time }

// Now implements clock.Clock.
func (c *manualClock) Now() time.Time { return c.now }

// After implements clock.Clock.
func (c *manualClock) After(time.Duration) <-chan time.Time { return nil }

// newHostList returns a platform host list with the given number of engines.
func newHostList(engines int) []platform.HostEntry {
	entries := make([]platform.HostEntry, 0, engines)
	for i := range engines {
		entries = append(entries, platform.HostEntry{
			Address: engineAddress(i), Kind: platform.KindEngine, Service: "assistant",
			DataCenter: dataCenterName(i), State: platform.StateLive,
		})
	}
	return entries
}

// BenchmarkMembership measures, per second, the two host list reads and the ten
// publications of a host that knows every upstream.
func BenchmarkMembership(b *testing.B) {
	s := newSeries("membership", "upstream", growthEngines)
	s.fitFrom = 1000
	for range b.N {
		for _, size := range engineSizes {
			list := newHostList(size)
			encoded, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			heap := liveHeap()
			table := membership.NewTable()
			table.ObserveList(list, time.Now())
			s.add("heap bytes", float64(size), liveHeap()-heap)
			read := timePerCall(b, 200*time.Millisecond, func() {
				var decoded []platform.HostEntry
				if err := json.Unmarshal(encoded, &decoded); err != nil {
					b.Fatal(err)
				}
				table.ObserveList(decoded, time.Now())
			})
			evaluate := timePerCall(b, 200*time.Millisecond, func() { table.Upstreams(time.Now()) })
			s.add("list read, ms", float64(size), 1000*read)
			s.add("list bytes", float64(size), float64(len(encoded)))
			s.add("conclusions, ms", float64(size), 1000*evaluate)
			s.add("CPU percent of a core, 2 lists and 12 conclusions a second", float64(size), 100*(2*read+12*evaluate))
		}
	}
	s.print()
}
