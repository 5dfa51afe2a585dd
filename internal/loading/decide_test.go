package loading

import (
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

var epoch = time.Unix(1000, 0)

// at returns the time a number of seconds after the epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func document() *config.Document {
	return &config.Document{
		Models: map[string]config.Model{
			"a": {Service: "s", Bytes: 60, Version: "1", MaxReplicas: 1, LoadMS: 1000},
			"b": {Service: "s", Bytes: 60, Version: "1", MaxReplicas: 1, LoadMS: 1000},
			"c": {Service: "s", Bytes: 60, Version: "1", MaxReplicas: 2, MinReplicas: 1, LoadMS: 1000},
		},
		WeightStore: config.WeightStore{LoadsPerS: 10, ConcurrentLoads: 1, AdapterLoadsInFlight: 1},
	}
}

func engineState(address string, report *engine.Report) *engine.EngineState {
	report.BootID, report.MemoryBytes = "1", 100
	return &engine.EngineState{
		Target: engine.Target{Address: address, Service: "s", DataCenter: "dc"},
		Report: report, Reachable: true,
	}
}

// input returns an input in which the rows were first observed at the epoch.
func input(rows *Rows, states ...*engine.EngineState) Input {
	in := Input{
		Now: epoch, Config: document(), View: engine.NewView(states), Rows: rows,
		Observations: NewObservations(), Policy: DefaultPolicy(),
		ShouldAct: func(string, time.Time) bool { return true },
	}
	in.Observations.ObserveRows(rows, epoch)
	return in
}

func rowsWith(address string, reservations ...Reservation) *Rows {
	rows := NewRows()
	rows.Upstreams[address] = UpstreamRow{Revision: 9, Reservations: reservations}
	return rows
}

// TestClassify guards against dropping a reservation while its order can still
// arrive, and against keeping one after proof that the weights are not in memory.
func TestClassify(t *testing.T) {
	loading := Reservation{Weights: Weights{Model: "a"}, Bytes: 60, State: StateLoading, LoadFence: 9}
	loaded := Reservation{Weights: Weights{Model: "a"}, Bytes: 60, State: StateLoaded, LoadFence: 5}
	unloading := Reservation{Weights: Weights{Model: "a"}, Bytes: 60, State: StateUnloading, LoadFence: 5, UnloadFence: 9}
	resident := func(state string, fence uint64) []engine.Resident {
		return []engine.Resident{{Model: "a", State: state, Fence: fence}}
	}
	cases := []struct {
		name    string
		r       Reservation
		now     float64 // seconds after the row was first observed
		taken   float64 // time of the report
		refused float64 // start of refused connections; 0: none
		acked   float64 // time of the order's acknowledgement; 0: none
		present []engine.Resident
		want    ActionKind
	}{
		{name: "order may arrive", r: loading, now: 3.9, taken: 3.9},
		{name: "order cannot arrive", r: loading, now: 4.2, taken: 4.1, want: ActionGone},
		{name: "report is older than the latest arrival", r: loading, now: 9, taken: 3.9},
		{name: "acknowledged, then lost", r: loading, now: 1, taken: 0.9, acked: 0.5, want: ActionGone},
		{name: "loaded", r: loading, now: 1, taken: 0.9, present: resident(engine.ResidentLoaded, 9), want: ActionLoaded},
		{name: "loaded by an earlier order", r: loading, now: 1, taken: 0.9, present: resident(engine.ResidentLoaded, 5)},
		{name: "still loading", r: loading, now: 9, taken: 9, present: resident(engine.ResidentLoading, 9)},
		{name: "ended, order may arrive after a restart", r: loading, now: 3.9, refused: 1},
		{name: "ended", r: loading, now: 4.1, refused: 1, want: ActionGone},
		{name: "just refused", r: loaded, now: 4.1, refused: 3.5, taken: -1},
		{name: "ended while loaded", r: loaded, now: 4.1, refused: 3, want: ActionGone},
		{name: "lost in a restart", r: loaded, now: 1, taken: 0.5, want: ActionGone},
		{name: "old report", r: loaded, now: 1, taken: -0.5},
		{name: "unload may be lost", r: unloading, now: 5, taken: 4.9, present: resident(engine.ResidentLoaded, 5), want: ActionUnload},
		{name: "requests still run", r: unloading, now: 5, taken: 4.9, present: resident(engine.ResidentUnloading, 5)},
		{name: "unloaded", r: unloading, now: 0.3, taken: 0.2, want: ActionGone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := engineState("e", &engine.Report{Resident: c.present})
			state.TakenAfter = at(c.taken)
			if c.refused > 0 {
				state.Reachable, state.RefusedSince = false, at(c.refused)
			}
			in := input(rowsWith("e", c.r), state)
			in.Now = at(c.now)
			if c.acked > 0 {
				in.Observations.OrderAcknowledged("e", c.r, at(c.acked))
			}
			if got, _ := in.classify(state, c.r); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func decision(in Input, needs ...Need) *DecisionInput {
	return &DecisionInput{
		Input: in, Needs: needs,
		Owns:            func(string) bool { return false },
		DesiredReplicas: func(Need) int { return 0 },
		KeepAlive:       func(Weights) time.Duration { return time.Minute },
		LastUsed:        func(Weights) time.Time { return time.Time{} },
		BlockedUntil:    func(string) time.Time { return time.Time{} },
	}
}

func need(model string, deadline float64) Need {
	return Need{Weights: Weights{Model: model}, Waiting: 1, Deadline: at(deadline), Since: epoch}
}

// TestDecideOrder guards against giving the only permit to the less urgent of two
// needs, and against loading from the weight store when an engine has a copy on disk.
func TestDecideOrder(t *testing.T) {
	states := []*engine.EngineState{
		engineState("e1", &engine.Report{}), engineState("e2", &engine.Report{}), engineState("e3", &engine.Report{}),
	}
	actions := Decide(decision(input(NewRows(), states...), need("a", 9), need("b", 5)))
	if len(actions) != 1 || actions[0].Reservation.Model != "b" {
		t.Fatalf("one permit, got %+v", actions)
	}
	states[2].Report.Disk = []string{"a"}
	actions = Decide(decision(input(NewRows(), states...), need("a", 9), need("b", 5)))
	if len(actions) != 2 || actions[1].Upstream != "e3" || actions[1].Reservation.Source != SourceDisk {
		t.Fatalf("a copy on disk, got %+v", actions)
	}
}

// TestEviction guards against evicting weights that are in use, that requests wait
// for, or that a model's minimum of replicas requires.
func TestEviction(t *testing.T) {
	idle, busy := int64(30_000), int64(0)
	cases := []struct {
		name  string
		model string
		idle  *int64
		needs []Need
		evict bool
	}{
		{"idle", "b", &idle, []Need{need("a", 9)}, true},
		{"in use", "b", &busy, []Need{need("a", 9)}, false},
		{"requests waiting", "b", &idle, []Need{need("a", 9), need("b", 20)}, false},
		{"minimum replicas", "c", &idle, []Need{need("a", 9)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Reservation{Weights: Weights{Model: c.model}, Version: "1", Bytes: 60, State: StateLoaded, LoadFence: 5}
			state := engineState("e", &engine.Report{Resident: []engine.Resident{
				{Model: c.model, Version: "1", State: engine.ResidentLoaded, Fence: 5, Bytes: 60, IdleMS: c.idle},
			}})
			in := input(rowsWith("e", r), state)
			in.Now = at(30)
			state.ReceivedAt = in.Now
			actions := Decide(decision(in, c.needs...))
			evicted := len(actions) == 1 && actions[0].Kind == ActionUnload
			if evicted != c.evict || (!c.evict && len(actions) != 0) {
				t.Errorf("got %+v", actions)
			}
		})
	}
}

// TestPlanChecksBounds guards against a faulty decision rule: a plan must be refused
// if it exceeds a bound or its reservation has changed.
func TestPlanChecksBounds(t *testing.T) {
	load := func(model string) Action {
		return Action{Kind: ActionLoad, Upstream: "e", Reservation: Reservation{
			Weights: Weights{Model: model}, Version: "1", Bytes: 60, Source: SourceDisk,
		}}
	}
	bounds := Bounds{Memory: 100, MaxReplicas: 1, Now: epoch, StartObserved: func(uint64) time.Time { return epoch }}
	loaded := Reservation{Weights: Weights{Model: "a"}, Bytes: 60, State: StateLoaded, LoadFence: 5}
	unreserved := bounds
	unreserved.Unreserved = 50
	remote := load("a")
	remote.Reservation.Source = SourceRemote
	cases := []struct {
		name   string
		rows   *Rows
		action Action
		bounds Bounds
		ok     bool
	}{
		{"fits", NewRows(), load("a"), bounds, true},
		{"memory", rowsWith("e", loaded), load("b"), bounds, false},
		{"memory used without a reservation", NewRows(), load("a"), unreserved, false},
		{"unknown memory", NewRows(), load("a"), Bounds{MaxReplicas: 1}, false},
		{"replicas", rowsWith("other", loaded), load("a"), bounds, false},
		{"permit", NewRows(), remote, bounds, false},
		{"changed reservation", NewRows(), Action{Kind: ActionGone, Upstream: "e", Reservation: loaded}, bounds, false},
	}
	for _, c := range cases {
		if _, err := NewPlan(c.rows, c.action, "w", c.bounds); (err == nil) != c.ok {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
}

// TestPlanOfEarlierRowsIsRefused guards against orders of any kind that were decided before
// another host's commit, or the adoption of weights that an old order had loaded, changed the
// rows: the plan of an action is made from the rows that its commit is conditional on.
func TestPlanOfEarlierRowsIsRefused(t *testing.T) {
	reservation := func(model, adapter string, bytes int64, state State) Reservation {
		return Reservation{Weights: Weights{Model: model, Adapter: adapter}, Version: "1", Bytes: bytes, State: state, Source: SourceDisk, LoadFence: 5}
	}
	base, adapter := reservation("a", "", 60, StateLoaded), reservation("a", "x", 10, StateLoaded)
	unloading := base
	unloading.State, unloading.UnloadFence = StateUnloading, 9
	cases := []struct {
		name          string
		action        Action
		before, after []Reservation
	}{
		{"load", Action{Kind: ActionLoad, Reservation: reservation("b", "", 60, "")}, nil, []Reservation{base}},
		{"unload", Action{Kind: ActionUnload, Reservation: base}, []Reservation{base}, []Reservation{unloading}},
		{"load of an adapter", Action{Kind: ActionLoad, Reservation: reservation("a", "y", 10, "")}, []Reservation{base},
			[]Reservation{base, reservation("c", "", 35, StateLoaded)}},
		{"load of an adapter, base unloaded", Action{Kind: ActionLoad, Reservation: reservation("a", "y", 10, "")}, []Reservation{base}, []Reservation{unloading}},
		{"unload of an adapter", Action{Kind: ActionUnload, Reservation: adapter}, []Reservation{base, adapter}, []Reservation{base}},
	}
	for _, c := range cases {
		c.action.Upstream = "e"
		bounds := Bounds{Memory: 100, MaxReplicas: 1, Now: epoch, StartObserved: func(uint64) time.Time { return epoch }}
		bounds.Limits = weightstore.Limits{LoadsPerS: 10, Concurrent: 1, AdapterLoads: 1}
		if _, err := NewPlan(rowsWith("e", c.before...), c.action, "w", bounds); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if _, err := NewPlan(rowsWith("e", c.after...), c.action, "w", bounds); err == nil {
			t.Errorf("%s: planned with changed rows", c.name)
		}
	}
}
