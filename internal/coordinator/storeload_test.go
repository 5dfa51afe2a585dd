package coordinator

import (
	"slices"
	"testing"
)

// Guards against a load from the weight store, which takes seconds, on an engine that could
// load models from its disk for waiting requests meanwhile: after the loss of a data centre
// four of five engines were blocked like this, and sound requests were refused (check LOST).
func TestStoreLoadWaitsForLoadsFromDisk(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0"))
	input.Engines[0].Holdings.OnDisk = append(input.Engines[0].Holdings.OnDisk, "m5")
	input.Demand["m5"] = &Demand{Waiting: 1}
	input.Demand["m6"] = &Demand{Waiting: 2} // no copy; more requests, so planned first
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Load != "m5" {
		t.Fatalf("actions %+v, want a load of m5 from the disk of e1", actions)
	}
	input.Engines = append(input.Engines, testEngine("e2", "m1"))
	actions = Plan(input)
	onE2 := slices.IndexFunc(actions, func(a Action) bool { return a.Load == "m6" && a.Engine == "e2" })
	if len(actions) != 2 || onE2 < 0 {
		t.Fatalf("actions %+v, want a load of m6 on e2, which has no copies that requests wait for", actions)
	}
}

// Guards against models without a copy that never get their turn while requests wait for
// others.
func TestStoreLoadOfManyWaitingRequestsGoesFirst(t *testing.T) {
	input := testInput(testService(8), testEngine("e1", "m0"))
	input.Engines[0].Holdings.OnDisk = append(input.Engines[0].Holdings.OnDisk, "m5")
	input.Demand["m5"] = &Demand{Waiting: 1}
	input.Demand["m6"] = &Demand{Waiting: 20}
	actions := Plan(input)
	if len(actions) != 1 || actions[0].Load != "m6" {
		t.Fatalf("actions %+v, want a load of m6", actions)
	}
}
