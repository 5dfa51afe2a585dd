package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// reachLimit is the bound on a version being in force at every reachable host.
const reachLimit = 2 * time.Second

// fleet connects the followers of the hosts of configtest.Document in memory.
type fleet struct {
	mu    sync.Mutex
	hosts map[string]*member
	cut   func(from, to string) bool
	hang  map[string]bool
}

// member is one host. It records the versions that its callbacks saw.
type member struct {
	*configstore.Follower
	store *configstore.Store
	fleet *fleet
	name  string
	polls atomic.Bool
	seen  []uint64
	pulls atomic.Int32
	took  atomic.Int32 // pushes received
}

func (m *member) reach(ctx context.Context, host string) (*member, error) {
	m.fleet.mu.Lock()
	other, cut, hang := m.fleet.hosts[host], m.fleet.cut, m.fleet.hang[host]
	m.fleet.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if other == nil || cut != nil && cut(m.name, host) {
		return nil, errors.New("cut off")
	}
	return other, nil
}

// PushDeltas implements configstore.Peers.
func (m *member) PushDeltas(ctx context.Context, host string, deltas []configstore.Version) error {
	other, err := m.reach(ctx, host)
	if err != nil {
		return err
	}
	other.took.Add(1)
	return other.Receive(ctx, m.name, deltas)
}

// PullDeltas implements configstore.Peers.
func (m *member) PullDeltas(ctx context.Context, host string, from uint64) (configstore.Update, error) {
	other, err := m.reach(ctx, host)
	if err != nil {
		return configstore.Update{}, err
	}
	m.pulls.Add(1)
	return other.Answer(from)
}

func newFleet() *fleet { return &fleet{hosts: map[string]*member{}, hang: map[string]bool{}} }

// add runs a host without a version in force.
func (f *fleet) add(t *testing.T, w *world, name string) *member {
	t.Helper()
	m := &member{store: w.store(), fleet: f, name: name}
	m.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: m.store, Peers: m, Host: name,
		DataCenter: configtest.Document().Hosts[name].DataCenter,
		ShouldPoll: m.polls.Load,
	})
	m.OnApply(func(prev, next *config.Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if prev == nil != (len(m.seen) == 0) || prev != nil && prev.Version != m.seen[len(m.seen)-1] {
			t.Errorf("host %s was told of %d after %v", name, next.Version, m.seen)
		}
		m.seen = append(m.seen, next.Version)
	})
	f.mu.Lock()
	f.hosts[name] = m
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

// startAll runs all hosts of the document with version 0 in force.
func startAll(t *testing.T, w *world) *fleet {
	t.Helper()
	w.bootstrapped(t)
	f := newFleet()
	for _, name := range slices.Sorted(maps.Keys(configtest.Document().Hosts)) {
		if err := f.add(t, w, name).Start(t.Context(), func() []string { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// accept submits a change at a host, as its operator interface does.
func (m *member) accept(t *testing.T, submission configstore.Submission) {
	t.Helper()
	if err := m.Accepted(t.Context(), mustSubmit(t, m.store, submission)); err != nil {
		t.Error(err)
	}
}

func (m *member) version() int64 {
	if current := m.Current(); current != nil {
		return int64(current.Version)
	}
	return -1
}

func waitFor(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// Guards against hosts that a pushed version does not reach, and against pushes
// from the accepting host to all hosts of other data centres.
func TestPushReachesEveryHost(t *testing.T) {
	f := startAll(t, newWorld(t))
	f.hosts["h1"].accept(t, replicas(0, "a", 5))
	for name, host := range f.hosts {
		waitFor(t, reachLimit, "version 1 at "+name, func() bool { return host.version() == 1 })
		if since, ok := host.Since(1); !ok || time.Since(since) > reachLimit {
			t.Errorf("host %s knows version 1 since %v, %v", name, since, ok)
		}
		if host.pulls.Load() > 0 {
			t.Errorf("host %s had to pull", name)
		}
	}
}

// Guards against a version number that goes down or is skipped without a
// callback when hosts accept versions at the same time and some answers are lost.
func TestRacingAcceptorsKeepOrder(t *testing.T) {
	const versions = 12
	w := newWorld(t)
	f := startAll(t, w)
	for _, name := range []string{"h1", "h4"} {
		f.hosts[name].polls.Store(true)
	}
	w.platform.SetFaults(standin.Faults{DropResponseRatio: 0.2})
	var group sync.WaitGroup
	for i := range versions {
		host := f.hosts[fmt.Sprintf("h%d", i%6+1)]
		group.Go(func() {
			id := fmt.Sprint("race-", i)
			number := submitUntilAccepted(t, host.store, id, i+1)
			version, err := host.store.Version(t.Context(), number)
			if err == nil {
				err = host.Accepted(t.Context(), version)
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	for name, host := range f.hosts {
		waitFor(t, reachLimit, "last version at "+name, func() bool { return host.version() == versions })
	}
}

// Guards against a host that stays behind after it was cut off, near enough for
// deltas or too far behind for them.
func TestHostBehindPullsFromHeartbeat(t *testing.T) {
	for _, versions := range []int{3, configstore.SnapshotInterval + 3} {
		w := newWorld(t)
		f := startAll(t, w)
		f.mu.Lock()
		f.cut = func(from, to string) bool { return from == "h5" || to == "h5" }
		f.mu.Unlock()
		for i := range versions {
			f.hosts["h1"].accept(t, replicas(uint64(i), fmt.Sprint("s", i), i+1))
		}
		if behind := f.hosts["h5"].version(); behind != 0 {
			t.Fatalf("host was not cut off, it has version %d", behind)
		}
		f.mu.Lock()
		f.cut = nil
		f.mu.Unlock()
		f.hosts["h5"].Observe("h1", configstore.Head{Version: uint64(versions)})
		waitFor(t, reachLimit, "catch-up", func() bool { return f.hosts["h5"].version() == int64(versions) })
	}
}

// Guards against a host that misses pushes and heartbeats and does not poll.
func TestPollerFindsNewVersions(t *testing.T) {
	w := newWorld(t)
	f := startAll(t, w)
	f.cut = func(string, string) bool { return true }
	f.hosts["h3"].polls.Store(true)
	mustSubmit(t, w.store(), replicas(0, "a", 5))
	waitFor(t, reachLimit, "version 1 at the poller", func() bool { return f.hosts["h3"].version() == 1 })
}

// Guards against a restart during an outage that takes the first answer and not
// the highest, or waits for a peer that never answers. The bound on a restart
// is 2 s.
func TestRestartInOutageTakesHighest(t *testing.T) {
	w := newWorld(t)
	f := startAll(t, w)
	f.mu.Lock()
	f.cut = func(from, to string) bool { return from == "h2" || to == "h2" }
	f.mu.Unlock()
	f.hosts["h1"].accept(t, replicas(0, "a", 5))
	waitFor(t, reachLimit, "version 1 at h3", func() bool { return f.hosts["h3"].version() == 1 })
	f.mu.Lock()
	f.cut, f.hang["h4"] = nil, true
	f.mu.Unlock()
	w.platform.SetFaults(standin.Faults{Hang: true})
	defer w.platform.SetFaults(standin.Faults{})
	restarted := f.add(t, w, "h6")
	start := time.Now()
	if err := restarted.Start(t.Context(), func() []string { return []string{"h1", "h2", "h3", "h4", "gone"} }); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > 2*time.Second || restarted.version() != 1 || restarted.Confirmed() {
		t.Errorf("version %d after %v, confirmed %v", restarted.version(), took, restarted.Confirmed())
	}
}

// Guards against a version put in force that is not the accepted one, comes too
// early or is older than the one in force.
func TestFollowerRefusesWrongDeltas(t *testing.T) {
	w := newWorld(t)
	f := startAll(t, w)
	host := f.hosts["h1"]
	delta := mustSubmit(t, w.store(), replicas(0, "a", 5))
	forged := delta
	forged.Patch = replicas(0, "a", 6).Patch
	var mismatch *config.HashError
	if err := host.Receive(t.Context(), "h2", []configstore.Version{forged}); !errors.As(err, &mismatch) || host.version() != 0 {
		t.Errorf("forged delta gave %v, version %d", err, host.version())
	}
	early := delta
	early.Number = 2
	if err := host.Receive(t.Context(), "h2", []configstore.Version{early}); err != nil || host.version() != 0 {
		t.Errorf("early delta gave %v, version %d", err, host.version())
	}
	for range 2 {
		if err := host.Receive(t.Context(), "h2", []configstore.Version{delta}); err != nil || host.version() != 1 {
			t.Errorf("delta gave %v, version %d", err, host.version())
		}
	}
	if deltas, ok := host.DeltasSince(0); !ok || len(deltas) != 1 {
		t.Errorf("deltas %v, %v", deltas, ok)
	}
	if update, err := host.Answer(configstore.HeadOnly); err != nil || update.Full != nil || update.Deltas != nil || update.Head.Version != 1 {
		t.Errorf("head alone gave %+v, error %v", update, err)
	}
	if update, err := host.Answer(configstore.FromNothing); err != nil || update.Full == nil || update.Full.Version != 1 {
		t.Errorf("the whole document gave %+v, error %v", update, err)
	}
}

// Guards against all-to-all pushes and pushes to hosts known to be down.
func TestPlanPush(t *testing.T) {
	hosts := configtest.Document().Hosts
	keepOrder := func([]string) {}
	usable := func(host string) bool { return host != "h5" }
	plan := configstore.PlanPush(hosts, "h1", "dc1", true, usable, keepOrder)
	if !slices.Equal(plan.Near, []string{"h2"}) || len(plan.Far) != 2 || !slices.Equal(plan.Far[0], []string{"h3", "h4"}) || !slices.Equal(plan.Far[1], []string{"h6"}) {
		t.Errorf("plan %+v", plan)
	}
	if plan := configstore.PlanPush(hosts, "h1", "dc1", false, usable, keepOrder); len(plan.Far) != 0 {
		t.Errorf("a forwarding host pushes to %+v", plan.Far)
	}
	ranked := configstore.RankPeers([]configstore.PeerHead{{Host: "b", Head: configstore.Head{Version: 1}}, {Host: "c", Head: configstore.Head{Version: 3}}, {Host: "a", Head: configstore.Head{Version: 3}}})
	if !slices.Equal(ranked, []string{"a", "c", "b"}) {
		t.Errorf("ranked %q", ranked)
	}
}

// Guards against a version reported as confirmed although a newer one may be in
// force where this host cannot see it.
func TestConfirmationNeedsTheHead(t *testing.T) {
	w := newWorld(t)
	w.bootstrapped(t)
	fake := clock.NewFake(time.Now())
	host := configstore.NewFollower(configstore.FollowerOptions{Store: w.store(), Peers: &member{fleet: newFleet()}, Host: "h1", DataCenter: "dc1", Clock: fake})
	host.Observe("h3", configstore.Head{Version: 9})
	if _, ok := host.InForce(); ok || host.Confirmed() {
		t.Error("a heartbeat gave a version before the start")
	}
	if err := host.Start(t.Context(), func() []string { return nil }); err != nil {
		t.Fatal(err)
	}
	expect := func(want bool, what string) {
		t.Helper()
		if inForce, ok := host.InForce(); !ok || inForce.Confirmed != want {
			t.Errorf("%s: in force %+v, %v", what, inForce, ok)
		}
	}
	expect(true, "read from the platform")
	fake.Advance(6 * time.Second)
	host.Observe("h3", configstore.Head{})
	expect(false, "only a heartbeat for 6 s")
	if contact, ok := host.LastContact(); !ok || !contact.Equal(fake.Now()) {
		t.Errorf("last contact %v, %v", contact, ok)
	}
	host.ObserveConfirmed(9, 0)
	expect(false, "a peer confirmed a newer version")
	host.ObserveConfirmed(0, time.Second)
	expect(true, "a peer confirmed the version")
}
