// Package loading_test tests loading decisions of several hosts against fake engines
// and a fake table service that lose responses, pause hosts and delay orders. The
// invariants are checked on the state of the engines.
package loading_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/scaling"
)

const (
	tick                   = 50 * time.Millisecond
	modelBytes             = 40
	adapterBytes           = 5
	engineMemory           = 100
	loadTime               = 600 * time.Millisecond
	reportLag              = 200 * time.Millisecond
	concurrentModelLoads   = 2 // concurrent loads allowed
	concurrentAdapterLoads = 2
)

// faults are the injected faults of a run, as probabilities per event.
type faults struct {
	loseAnswer float64 // commit applied, response lost
	lateCommit float64 // commit applied after the caller received an unknown outcome
	pause      float64 // host paused between commit and order
	lateOrder  float64 // order arrives late; its response is lost
	loseOrder  float64
	crash      float64 // engine restarts, per engine and tick
	losePoll   float64 // poll without a response
	outage     float64 // table call fails without effect
}

// simulation runs hosts, engines and the table service on one fake clock.
type simulation struct {
	clock      *clock.Fake
	random     *rand.Rand
	faults     faults
	doc        *config.Document
	table      *fakeTable
	engines    []*fakeEngine
	hosts      []*fakeHost
	scheduled  []event
	pauseDepth int // nesting depth of pauses
	violation  string
}

type event struct {
	at  time.Time
	run func()
}

func (sim *simulation) chance(p float64) bool { return p > 0 && sim.random.Float64() < p }

func (sim *simulation) now() time.Time { return sim.clock.Now() }

// schedule runs an event at a random time up to limit from now.
func (sim *simulation) schedule(limit time.Duration, run func()) {
	delay := time.Duration(sim.random.Int64N(int64(limit)))
	sim.scheduled = append(sim.scheduled, event{sim.now().Add(delay), run})
}

// advance runs the simulation for d, without the hosts that are paused.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now().Add(d); sim.now().Before(end); {
		sim.clock.Advance(tick)
		sim.runEvents()
		for _, e := range sim.engines {
			e.tick()
		}
		sim.checkInvariants()
		for _, h := range sim.hosts {
			h.step()
		}
		sim.checkInvariants()
	}
}

func (sim *simulation) runEvents() {
	due := func(e event) bool { return !e.at.After(sim.now()) }
	var ready []event
	for _, e := range sim.scheduled {
		if due(e) {
			ready = append(ready, e)
		}
	}
	sim.scheduled = slices.DeleteFunc(sim.scheduled, due)
	slices.SortStableFunc(ready, func(a, b event) int { return a.at.Compare(b.at) })
	for _, e := range ready {
		e.run()
	}
}

// checkInvariants checks the limits on memory, replicas and concurrent loads, and that
// all weights have a reservation.
func (sim *simulation) checkInvariants() {
	replicas := map[string]int{}
	models, adapters := 0, 0
	for _, e := range sim.engines {
		used := int64(0)
		row, err := loading.DecodeUpstream(sim.table.rows[loading.UpstreamKey(e.address)])
		if err != nil {
			sim.fail("row of %s: %v", e.address, err)
		}
		for weights, r := range e.resident {
			used += r.bytes
			if weights.Adapter == "" {
				replicas[weights.Model]++
			}
			if r.readyAt.After(sim.now()) && weights.Adapter == "" {
				models++
			} else if r.readyAt.After(sim.now()) {
				adapters++
			}
			if _, ok := row.Find(weights); !ok {
				sim.fail("%s holds %s without a reservation", e.address, weights)
			}
		}
		if used > engineMemory {
			sim.fail("%s uses %d of %d bytes", e.address, used, engineMemory)
		}
	}
	for model, count := range replicas {
		if count > sim.doc.Models[model].MaxReplicas {
			sim.fail("%d replicas of %s", count, model)
		}
	}
	if models > concurrentModelLoads || adapters > concurrentAdapterLoads {
		sim.fail("%d model and %d adapter loads at once", models, adapters)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...) + " at " + sim.now().Format("05.000")
	}
}

// fakeTable is a table service with injected faults.
type fakeTable struct {
	sim      *simulation
	rows     map[string]platform.Row
	revision uint64
	commits  int
}

var errInjected = errors.New("injected fault")

func (t *fakeTable) Read(_ context.Context, key string) (platform.Row, error) {
	if t.sim.chance(t.sim.faults.outage) {
		return platform.Row{}, &platform.UnavailableError{Cause: errInjected}
	}
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *fakeTable) Range(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if t.sim.chance(t.sim.faults.outage) {
		return nil, &platform.UnavailableError{Cause: errInjected}
	}
	var rows []platform.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *fakeTable) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	sim := t.sim
	switch {
	case sim.chance(sim.faults.outage):
		return 0, &platform.UnavailableError{Cause: errInjected}
	case sim.chance(sim.faults.lateCommit):
		sim.schedule(3*time.Second, func() { _, _ = t.apply(conditions, writes) })
		return 0, &platform.UnknownOutcomeError{Cause: errInjected}
	}
	revision, err := t.apply(conditions, writes)
	if sim.chance(sim.faults.loseAnswer) {
		return 0, &platform.UnknownOutcomeError{Cause: errInjected}
	}
	return revision, err
}

func (t *fakeTable) apply(conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	for _, c := range conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return 0, &platform.ConflictError{Keys: []string{c.Key}}
		}
	}
	t.revision++
	t.commits++
	for _, write := range writes {
		t.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: t.revision}
	}
	return t.revision, nil
}

// fakeEngine is an engine that never refuses a load for lack of memory, so that
// overcommitted memory is detected by checkInvariants.
type fakeEngine struct {
	sim          *simulation
	address      string
	boot         int
	checksFence  bool
	highestFence uint64
	resident     map[loading.Weights]residentWeights
	reports      []timedReport
	loads        int
	downUntil    time.Time
}

type residentWeights struct {
	bytes   int64
	version string
	fence   uint64
	readyAt time.Time
}

type timedReport struct {
	at     time.Time
	report *engine.Report
}

func (e *fakeEngine) tick() {
	if e.sim.chance(e.sim.faults.crash) {
		e.crash(e.sim.random.IntN(2) == 0)
	}
	e.reports = append(e.reports, timedReport{e.sim.now(), e.report()})
	if len(e.reports) > 64 {
		e.reports = e.reports[1:]
	}
}

func (e *fakeEngine) crash(stayDown bool) {
	e.boot++
	e.highestFence = 0
	e.resident = map[loading.Weights]residentWeights{}
	e.reports = nil
	if stayDown {
		e.downUntil = e.sim.now().Add(time.Duration(e.sim.random.Int64N(int64(8 * time.Second))))
	}
}

func (e *fakeEngine) report() *engine.Report {
	report := &engine.Report{
		BootID: fmt.Sprint(e.boot), TimeMS: e.sim.now().UnixMilli(),
		MemoryBytes: engineMemory, ChecksFence: e.checksFence, MaxBatch: 8,
	}
	for weights, r := range e.resident {
		state := engine.ResidentLoaded
		if r.readyAt.After(e.sim.now()) {
			state = engine.ResidentLoading
		}
		report.MemoryUsedBytes += r.bytes
		report.Resident = append(report.Resident, engine.Resident{
			Model: weights.Model, Adapter: weights.Adapter, Version: r.version,
			State: state, Fence: r.fence, Bytes: r.bytes,
		})
	}
	slices.SortFunc(report.Resident, func(a, b engine.Resident) int {
		return cmp.Compare(a.Model+":"+a.Adapter, b.Model+":"+b.Adapter)
	})
	return report
}

// apply executes an order on arrival.
func (e *fakeEngine) apply(order engine.Order) error {
	if e.sim.now().Before(e.downUntil) {
		return &engine.NotSentError{Cause: errInjected}
	}
	if e.checksFence && order.Fence < e.highestFence {
		return &engine.StaleFenceError{Fence: e.highestFence}
	}
	e.highestFence = max(e.highestFence, order.Fence)
	weights := loading.Weights{Model: order.Model, Adapter: order.Adapter}
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		e.load(weights, order)
	default:
		e.unload(weights)
	}
	return nil
}

func (e *fakeEngine) load(weights loading.Weights, order engine.Order) {
	_, base := e.resident[loading.Weights{Model: order.Model}]
	if _, ok := e.resident[weights]; ok || (order.Adapter != "" && !base) {
		return
	}
	e.loads++
	e.resident[weights] = residentWeights{
		bytes: order.Bytes, version: order.Version, fence: order.Fence, readyAt: e.sim.now().Add(loadTime),
	}
}

func (e *fakeEngine) unload(weights loading.Weights) {
	for other := range e.resident {
		if other == weights || (weights.Adapter == "" && other.Model == weights.Model) {
			delete(e.resident, other)
		}
	}
}

// fakeHost is one host: a manager and the view that its monitor would have.
type fakeHost struct {
	sim         *simulation
	manager     *loading.Manager
	states      []*engine.EngineState
	paused      bool
	partitioned bool // receives no reports
}

// step polls the engines and runs one control step.
func (h *fakeHost) step() {
	if h.paused {
		return
	}
	for i, e := range h.sim.engines {
		h.poll(i, e)
	}
	h.manager.Step(context.Background())
}

// poll updates the state of one engine as engine.Monitor does.
func (h *fakeHost) poll(i int, e *fakeEngine) {
	sim := h.sim
	state := *h.states[i]
	visible := e.visibleReport()
	switch {
	case h.partitioned || sim.chance(sim.faults.losePoll):
		state.Reachable, state.RefusedSince = false, time.Time{}
	case sim.now().Before(e.downUntil):
		state.Reachable = false
		if state.RefusedSince.IsZero() {
			state.RefusedSince = sim.now()
		}
	case visible == nil:
		return
	default:
		state.Report, state.ReceivedAt = visible.report, sim.now()
		state.TakenAfter = visible.at.Add(-time.Duration(sim.random.Int64N(int64(reportLag))))
		state.Reachable = true
		state.RefusedSince, state.FailingSince = time.Time{}, time.Time{}
	}
	if !state.Reachable && state.FailingSince.IsZero() {
		state.FailingSince = sim.now()
	}
	states := slices.Clone(h.states)
	states[i] = &state
	h.states = states
}

// visibleReport returns the latest report that is at least reportLag old, or nil.
func (e *fakeEngine) visibleReport() *timedReport {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.sim.now().Sub(e.reports[i].at) >= reportLag {
			return &e.reports[i]
		}
	}
	return nil
}

// orderSender sends orders of one host to one engine, with injected faults.
type orderSender struct {
	host   *fakeHost
	engine *fakeEngine
}

// Order implements loading.OrderSender.
func (s orderSender) Order(_ context.Context, order engine.Order) error {
	sim := s.host.sim
	switch {
	case sim.chance(sim.faults.loseOrder):
		return &engine.UnknownOutcomeError{Cause: errInjected}
	case sim.chance(sim.faults.lateOrder):
		// Together with the send window this stays within the order window.
		sim.schedule(2*time.Second, func() { _ = s.engine.apply(order) })
		return &engine.UnknownOutcomeError{Cause: errInjected}
	}
	return s.engine.apply(order)
}

// pausingTable pauses a host after some of its commits while the rest of the
// simulation continues.
type pausingTable struct {
	*fakeTable
	host *fakeHost
}

// Commit implements platform.Table.
func (t pausingTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	revision, err := t.fakeTable.Commit(ctx, conditions, writes)
	sim := t.sim
	const maxPauseDepth = 2
	if sim.pauseDepth < maxPauseDepth && sim.chance(sim.faults.pause) {
		sim.pauseDepth++
		t.host.paused = true
		sim.advance(time.Duration(sim.random.Int64N(int64(8 * time.Second))))
		t.host.paused = false
		sim.pauseDepth--
	}
	return revision, err
}

// newSimulation returns a simulation with engines and hosts in which every host
// decides.
func newSimulation(seed uint64, engines, hosts, models int, f faults) *simulation {
	sim := &simulation{
		clock:  clock.NewFake(time.Unix(1000, 0)),
		random: rand.New(rand.NewPCG(seed, 1)),
		faults: f,
	}
	sim.table = &fakeTable{sim: sim, rows: map[string]platform.Row{}}
	sim.doc = &config.Document{
		Services: map[string]config.Service{"s": {Kind: config.ServiceEngine}},
		Models:   map[string]config.Model{},
		Adapters: map[string]config.Adapter{},
		WeightStore: config.WeightStore{
			LoadsPerS: 4, ConcurrentLoads: concurrentModelLoads, AdapterLoadsInFlight: concurrentAdapterLoads,
		},
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		sim.doc.Models[name] = config.Model{
			Service: "s", Bytes: modelBytes, Version: "1",
			MaxReplicas: 1 + i%2, LoadMS: int(loadTime.Milliseconds()),
		}
		sim.doc.Adapters[fmt.Sprintf("a%d", i)] = config.Adapter{Model: name, Bytes: adapterBytes, Version: "1"}
	}
	for i := range engines {
		sim.engines = append(sim.engines, &fakeEngine{
			sim: sim, address: fmt.Sprintf("e%d", i), checksFence: i%2 == 0,
			resident: map[loading.Weights]residentWeights{},
		})
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, sim.newHost(i))
	}
	return sim
}

func (sim *simulation) newHost(i int) *fakeHost {
	h := &fakeHost{sim: sim}
	for j, e := range sim.engines {
		target := engine.Target{Address: e.address, Service: "s", DataCenter: fmt.Sprintf("dc%d", j%2)}
		h.states = append(h.states, &engine.EngineState{Target: target})
	}
	snapshot, err := config.NewSnapshot(1, sim.doc)
	if err != nil {
		sim.fail("snapshot: %v", err)
	}
	h.manager = loading.New(loading.Options{
		Table:       pausingTable{sim.table, h},
		View:        func() *engine.View { return engine.NewView(h.states) },
		Client:      func(address string) loading.OrderSender { return orderSender{h, sim.engineAt(address)} },
		Config:      func() *config.Snapshot { return snapshot },
		IsOwner:     func(model string) bool { return int(model[1]-'0')%2 == i%2 },
		Host:        fmt.Sprintf("h%d", i),
		DataCenter:  fmt.Sprintf("dc%d", i%2),
		Clock:       sim.clock,
		Rand:        rand.New(rand.NewPCG(uint64(i), 2)),
		Scaling:     scaling.LRU{},
		Synchronous: true,
	})
	return h
}

func (sim *simulation) engineAt(address string) *fakeEngine {
	for _, e := range sim.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}
