package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// Load: requests wait for a model that only an engine in a disconnected data centre has,
// according to its entry. Guards against a new coordinator that takes the model for ready
// until the entry expires: the requests were kept waiting for 3 s and then refused (check
// LOST).
func TestModelOnUnreadEngineIsLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		booted := time.Now().Add(-time.Hour)
		service := fastService(3)
		engines := &fakeEngines{silent: "e1", engines: map[string]*fakeEngine{
			"e1": {service: service, holdings: catalog.Holdings{Models: map[string][]string{"m0": nil}, OnDisk: []string{"m0"}}},
			"e2": {service: service, holdings: catalog.Holdings{Models: map[string][]string{"m1": nil}, OnDisk: []string{"m0", "m1", "m2"}}},
		}}
		c := startCoordinatorWith(t, service, engines, func() time.Duration { return time.Since(booted) })
		demand := []ModelDemand{{ModelKey: ModelKey{"llm", "m0"}, Waiting: 1}} // too little for a second replica
		for range 10 {
			c.Exchange(1, &ExchangeRequest{Host: "h", Demand: demand})
			time.Sleep(100 * time.Millisecond)
		}
		reply := c.Exchange(1, &ExchangeRequest{Host: "h", ViewVersion: -1, Demand: demand})
		if reply.View == nil || len(reply.View.Engines) != 1 {
			t.Fatalf("view %+v, want a change of e2", reply.View)
		}
		if _, ready := reply.View.Engines[0].Ready["m0"]; !ready {
			t.Errorf("view %+v, want m0 ready on e2 after 1 s", reply.View.Engines)
		}
	})
}

// Guards against fetching models from the weight store as if their copies were lost, just
// because their engine can't be reached now.
func TestCopiesOnUnreachableEngineAreKept(t *testing.T) {
	input := testInput(testService(2), testEngine("e1", "m0"), testEngine("e2", "m1"))
	input.Engines[0].Unreachable = true
	input.Prefetch = true
	if actions := Plan(input); len(actions) != 0 {
		t.Errorf("actions %+v, want none", actions)
	}
	input.Demand["m0"] = &Demand{Waiting: 1}
	if actions := Plan(input); len(actions) != 1 || actions[0].Load != "m0" || actions[0].Engine != "e2" {
		t.Errorf("actions %+v, want a load of m0 on e2", actions)
	}
}
