// Package faults runs entry hosts as separate processes behind fault-injecting
// proxies, injects faults, and checks the invariants against the requests and
// responses that the stand-ins and the callers recorded.
package faults

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/experiment"
	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

var (
	full = flag.Bool("full", false, "run every fault and seeded pairs instead of the quick part")
	seed = flag.Uint64("seed", 1, "seed of the load, of targets and of pairs")
)

const (
	// faultDuration is the duration of faults that are not instantaneous.
	faultDuration = 3 * time.Second
	// firstFaultDelay and secondFaultDelay are measured from the load's start.
	firstFaultDelay  = 1 * time.Second
	secondFaultDelay = 2 * time.Second
	// loadDurationMS is the duration of the load in milliseconds. Deadlines of
	// requests may end later.
	loadDurationMS = 8000
	// pairCount is the number of fault pairs in a full run.
	pairCount = 12
)

// faultTarget is the system that a fault is injected into.
type faultTarget struct {
	cluster *cluster
	fleet   *fleet.Fleet
	random  *rand.Rand
}

// fault is a named fault; inject returns when the fault has ended.
type fault struct {
	name   string
	inject func(s *faultTarget) error
}

var allFaults = []fault{
	{"host_killed", func(s *faultTarget) error { return s.cluster.restart(s.randomHost(), 300*time.Millisecond) }},
	{"host_paused", func(s *faultTarget) error { s.cluster.pause(s.randomHost(), faultDuration); return nil }},
	{"platform_down", func(s *faultTarget) error { return s.platform(platform.Faults{Down: true}) }},
	{"platform_hangs", func(s *faultTarget) error { return s.platform(platform.Faults{Hang: true}) }},
	{"answers_lost", func(s *faultTarget) error { return s.platform(platform.Faults{DropResponseRatio: 0.4}) }},
	{"platform_slow", func(s *faultTarget) error { return s.platform(platform.Faults{LatencyMS: 400}) }},
	{"data_center_cut", func(s *faultTarget) error { return s.cutDataCenter(blockBoth) }},
	{"data_center_deaf", func(s *faultTarget) error { return s.cutDataCenter(blockDownstream) }},
	{"data_center_mute", func(s *faultTarget) error { return s.cutDataCenter(blockUpstream) }},
	{"links_slow", func(s *faultTarget) error { return s.applyToAllLinks(highLatency) }},
	{"links_drip", func(s *faultTarget) error { return s.applyToAllLinks(lowBandwidth) }},
	{"links_reset", func(s *faultTarget) error { s.cluster.links.reset(matchAll, matchAll); return nil }},
	{"engine_crashes", func(s *faultTarget) error { s.fleet.Engines[s.random.IntN(len(s.fleet.Engines))].Crash(); return nil }},
	{"engines_freeze", func(s *faultTarget) error { s.freezeEngines(); return nil }},
	{"engine_drains", func(s *faultTarget) error { return s.drainEngine() }},
}

// quickCases run in CI. A case is a fault name or two names joined by "+".
var quickCases = []string{
	"host_killed+platform_down", "data_center_cut", "answers_lost+engine_crashes", "engines_freeze", "host_paused",
}

func matchAll(string) bool { return true }

func (s *faultTarget) randomHost() string {
	names := s.fleet.Deployment.HostNames
	return names[s.random.IntN(len(names))]
}

func (s *faultTarget) platform(faults platform.Faults) error {
	s.fleet.SetPlatformFaults(faults)
	time.Sleep(faultDuration)
	s.fleet.SetPlatformFaults(platform.Faults{})
	return nil
}

// cutDataCenter applies a toxic to all links between the hosts of a random data
// centre and everything outside it, whichever side dialled.
func (s *faultTarget) cutDataCenter(tox toxic) error {
	document := s.fleet.Deployment.Document
	dataCenter := document.Hosts[s.randomHost()].DataCenter
	inside, peers := map[string]bool{}, map[string]bool{}
	for name, host := range document.Hosts {
		if host.DataCenter == dataCenter {
			inside[name] = true
			peers[host.PeerAddress] = true
		}
	}
	restoreOutbound := s.cluster.links.apply(tox, func(host string) bool { return inside[host] }, func(target string) bool { return !peers[target] })
	restoreInbound := s.cluster.links.apply(tox, func(host string) bool { return !inside[host] }, func(target string) bool { return peers[target] })
	time.Sleep(faultDuration)
	restoreOutbound()
	restoreInbound()
	return nil
}

func (s *faultTarget) applyToAllLinks(tox toxic) error {
	remove := s.cluster.links.apply(tox, matchAll, matchAll)
	time.Sleep(faultDuration)
	remove()
	return nil
}

// freezeEngines stops data on the open connections of half of the engines.
func (s *faultTarget) freezeEngines() {
	for i, e := range s.fleet.Engines {
		if i%2 == 0 {
			e.FreezeConnections()
		}
	}
}

func (s *faultTarget) drainEngine() error {
	e := s.fleet.Engines[s.random.IntN(len(s.fleet.Engines))]
	faults := e.Faults()
	faults.Draining = true
	e.SetFaults(faults)
	time.Sleep(faultDuration)
	faults.Draining = false
	e.SetFaults(faults)
	return nil
}

// Guards against violations of the invariants under single faults and pairs of
// faults.
func TestFaultMatrix(t *testing.T) {
	for _, name := range selectedCases() {
		t.Run(name, func(t *testing.T) { runCase(t, parseCase(t, name)) })
	}
}

func selectedCases() []string {
	if only := os.Getenv("FAULT"); only != "" {
		return []string{only}
	}
	if !*full {
		return quickCases
	}
	var names []string
	for _, f := range allFaults {
		names = append(names, f.name)
	}
	random := rand.New(rand.NewPCG(*seed, 1))
	for range pairCount {
		names = append(names, allFaults[random.IntN(len(allFaults))].name+"+"+allFaults[random.IntN(len(allFaults))].name)
	}
	return names
}

func parseCase(t *testing.T, name string) []fault {
	t.Helper()
	var faults []fault
	for part := range strings.SplitSeq(name, "+") {
		i := slices.IndexFunc(allFaults, func(f fault) bool { return f.name == part })
		if i < 0 {
			t.Fatalf("no fault %q", part)
		}
		faults = append(faults, allFaults[i])
	}
	return faults
}

// loadScenario returns the scenario that all cases run under.
func loadScenario(t *testing.T, name string) *experiment.Scenario {
	t.Helper()
	s, err := experiment.ReadScenario("../../scenarios/seed-office-quick.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s.Name = name
	s.Shape.Hosts = 8
	s.Load.DurationMS = loadDurationMS
	return s
}

func runCase(t *testing.T, faults []fault) {
	c := newCluster(t)
	inject := func(_ context.Context, f *fleet.Fleet, start time.Time) error {
		return injectAll(&faultTarget{cluster: c, fleet: f, random: rand.New(rand.NewPCG(*seed, 2))}, start, faults)
	}
	s := loadScenario(t, t.Name())
	run, err := experiment.ExecuteWith(context.Background(), s, s.Policies[0], *seed, c.start, inject)
	if err != nil {
		c.printLogs()
		t.Fatal(err)
	}
	counts := map[string]int{}
	for _, outcome := range run.Outcomes() {
		counts[outcome.Kind+" "+outcome.Problem]++
	}
	t.Logf("seed %d, outcomes: %v", *seed, counts)
	for _, violation := range run.Violations() {
		t.Errorf("seed %d: %s = %v %s, target %s %s", *seed, violation.Metric, violation.Value, violation.Unit, violation.Target, violation.Note)
	}
	if t.Failed() {
		c.printLogs()
	}
}

// injectAll injects the faults; the second starts while the first is active.
func injectAll(s *faultTarget, start time.Time, faults []fault) error {
	var group sync.WaitGroup
	errs := make([]error, len(faults))
	for i, f := range faults {
		at := firstFaultDelay + time.Duration(i)*(secondFaultDelay-firstFaultDelay)
		// Each fault has its own random source, because the faults run concurrently.
		target := &faultTarget{cluster: s.cluster, fleet: s.fleet, random: rand.New(rand.NewPCG(*seed, uint64(i)+3))}
		group.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			if err := f.inject(target); err != nil {
				errs[i] = fmt.Errorf("%s: %w", f.name, err)
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
