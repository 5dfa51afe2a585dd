// Package faults runs entry hosts as real processes behind fault-injecting
// proxies, disturbs them, and checks the invariants by what the stand-ins and
// the callers really saw.
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
	// faultLength is how long a lasting fault lasts.
	faultLength = 3 * time.Second
	// firstFault and secondFault are when faults begin after the load's start.
	firstFault  = 1 * time.Second
	secondFault = 2 * time.Second
	// loadLength is the length of the load; deadlines end after it.
	loadLengthMS = 8000
	// pairCount is the number of pairs of faults in a full run.
	pairCount = 12
)

// scene is what a fault acts on.
type scene struct {
	cluster *cluster
	fleet   *fleet.Fleet
	random  *rand.Rand
}

// fault disturbs a scene and returns when the disturbance has ended.
type fault struct {
	name string
	act  func(s *scene) error
}

var matrix = []fault{
	{"host_killed", func(s *scene) error { return s.cluster.restart(s.anyHost(), 300*time.Millisecond) }},
	{"host_paused", func(s *scene) error { s.cluster.pause(s.anyHost(), faultLength); return nil }},
	{"platform_down", func(s *scene) error { return s.platform(platform.Faults{Down: true}) }},
	{"platform_hangs", func(s *scene) error { return s.platform(platform.Faults{Hang: true}) }},
	{"answers_lost", func(s *scene) error { return s.platform(platform.Faults{LoseAnswerRatio: 0.4}) }},
	{"platform_slow", func(s *scene) error { return s.platform(platform.Faults{LatencyMS: 400}) }},
	{"data_center_cut", func(s *scene) error { return s.cutDataCenter(silent) }},
	{"data_center_deaf", func(s *scene) error { return s.cutDataCenter(deaf) }},
	{"data_center_mute", func(s *scene) error { return s.cutDataCenter(mute) }},
	{"links_slow", func(s *scene) error { return s.disturbLinks(slow) }},
	{"links_drip", func(s *scene) error { return s.disturbLinks(drip) }},
	{"links_reset", func(s *scene) error { s.cluster.links.reset(anyName, anyName); return nil }},
	{"engine_crashes", func(s *scene) error { s.fleet.Engines[s.random.IntN(len(s.fleet.Engines))].Crash(); return nil }},
	{"engines_freeze", func(s *scene) error { s.freezeEngines(); return nil }},
	{"engine_drains", func(s *scene) error { return s.drainEngine() }},
}

// quick are the cases that run in CI: single faults and pairs, by name.
var quick = []string{
	"host_killed+platform_down", "data_center_cut", "answers_lost+engine_crashes", "engines_freeze", "host_paused",
}

func anyName(string) bool { return true }

func (s *scene) anyHost() string {
	names := s.fleet.Deployment.HostNames
	return names[s.random.IntN(len(names))]
}

func (s *scene) platform(faults platform.Faults) error {
	s.fleet.SetPlatformFaults(faults)
	time.Sleep(faultLength)
	s.fleet.SetPlatformFaults(platform.Faults{})
	return nil
}

// cutDataCenter disturbs the links between one data centre's hosts and
// everything outside of it, in both roles.
func (s *scene) cutDataCenter(x toxic) error {
	document := s.fleet.Deployment.Document
	victim := document.Hosts[s.anyHost()].DataCenter
	inside, peers := map[string]bool{}, map[string]bool{}
	for name, host := range document.Hosts {
		if host.DataCenter == victim {
			inside[name] = true
			peers[host.PeerAddress] = true
		}
	}
	leave := s.cluster.links.apply(x, func(host string) bool { return inside[host] }, func(target string) bool { return !peers[target] })
	enter := s.cluster.links.apply(x, func(host string) bool { return !inside[host] }, func(target string) bool { return peers[target] })
	time.Sleep(faultLength)
	leave()
	enter()
	return nil
}

func (s *scene) disturbLinks(x toxic) error {
	remove := s.cluster.links.apply(x, anyName, anyName)
	time.Sleep(faultLength)
	remove()
	return nil
}

// freezeEngines makes the open connections of half of the engines silent.
func (s *scene) freezeEngines() {
	for i, e := range s.fleet.Engines {
		if i%2 == 0 {
			e.FreezeOpen()
		}
	}
}

func (s *scene) drainEngine() error {
	e := s.fleet.Engines[s.random.IntN(len(s.fleet.Engines))]
	faults := e.Faults()
	faults.Draining = true
	e.SetFaults(faults)
	time.Sleep(faultLength)
	faults.Draining = false
	e.SetFaults(faults)
	return nil
}

// Guards against any violation of the invariants under each fault and under
// pairs of faults.
func TestMatrix(t *testing.T) {
	for _, name := range selected() {
		t.Run(name, func(t *testing.T) { runCase(t, faultsOf(t, name)) })
	}
}

func selected() []string {
	if only := os.Getenv("FAULT"); only != "" {
		return []string{only}
	}
	if !*full {
		return quick
	}
	var names []string
	for _, f := range matrix {
		names = append(names, f.name)
	}
	random := rand.New(rand.NewPCG(*seed, 1))
	for range pairCount {
		names = append(names, matrix[random.IntN(len(matrix))].name+"+"+matrix[random.IntN(len(matrix))].name)
	}
	return names
}

func faultsOf(t *testing.T, name string) []fault {
	t.Helper()
	var faults []fault
	for part := range strings.SplitSeq(name, "+") {
		i := slices.IndexFunc(matrix, func(f fault) bool { return f.name == part })
		if i < 0 {
			t.Fatalf("no fault %q", part)
		}
		faults = append(faults, matrix[i])
	}
	return faults
}

// scenario returns the load that all cases run under.
func scenario(t *testing.T, name string) *experiment.Scenario {
	t.Helper()
	s, err := experiment.ReadScenario("../../scenarios/seed-office-quick.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	s.Name = name
	s.Shape.Hosts = 8
	s.Load.DurationMS = loadLengthMS
	return s
}

func runCase(t *testing.T, faults []fault) {
	c := newCluster(t)
	disturb := func(_ context.Context, f *fleet.Fleet, start time.Time) error {
		return act(&scene{cluster: c, fleet: f, random: rand.New(rand.NewPCG(*seed, 2))}, start, faults)
	}
	s := scenario(t, t.Name())
	run, err := experiment.ExecuteWithFaults(context.Background(), s, s.Policies[0], *seed, c.start, disturb)
	if err != nil {
		c.logs()
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for _, outcome := range run.Outcomes() {
		kinds[outcome.Kind+" "+outcome.ProblemType]++
	}
	t.Logf("seed %d, outcomes: %v", *seed, kinds)
	for _, violation := range run.Violations() {
		t.Errorf("seed %d: %s = %v %s, target %s %s", *seed, violation.Metric, violation.Value, violation.Unit, violation.Target, violation.Note)
	}
	if t.Failed() {
		c.logs()
	}
}

// act carries out the faults, the second one while the first goes on.
func act(s *scene, start time.Time, faults []fault) error {
	var group sync.WaitGroup
	errs := make([]error, len(faults))
	for i, f := range faults {
		at := firstFault + time.Duration(i)*(secondFault-firstFault)
		// Each fault has a random source of its own, because they run at the same time.
		own := &scene{cluster: s.cluster, fleet: s.fleet, random: rand.New(rand.NewPCG(*seed, uint64(i)+3))}
		group.Go(func() {
			time.Sleep(time.Until(start.Add(at)))
			if err := f.act(own); err != nil {
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
