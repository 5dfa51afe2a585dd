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

// propagationLimit is the time within which every reachable host must apply a
// version.
const propagationLimit = 2 * time.Second

// fleet connects the followers of the hosts of configtest.Document in memory.
type fleet struct {
	mu          sync.Mutex
	hosts       map[string]*testHost
	partitioned func(from, to string) bool
	hanging     map[string]bool
}

// testHost is one host. It records the versions that its callbacks received.
type testHost struct {
	*configstore.Follower
	store   *configstore.Store
	fleet   *fleet
	name    string
	polls   atomic.Bool
	applied []uint64
	pulls   atomic.Int32
	pushes  atomic.Int32 // number of pushes received
}

// peer returns another host, or an error if it is unreachable. It blocks until ctx
// ends if the other host hangs.
func (h *testHost) peer(ctx context.Context, host string) (*testHost, error) {
	h.fleet.mu.Lock()
	other, partitioned, hanging := h.fleet.hosts[host], h.fleet.partitioned, h.fleet.hanging[host]
	h.fleet.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if other == nil || partitioned != nil && partitioned(h.name, host) {
		return nil, errors.New("host is unreachable")
	}
	return other, nil
}

// PushDeltas implements configstore.Peers.
func (h *testHost) PushDeltas(ctx context.Context, host string, deltas []configstore.Version) error {
	other, err := h.peer(ctx, host)
	if err != nil {
		return err
	}
	other.pushes.Add(1)
	return other.HandlePush(ctx, h.name, deltas)
}

// PullDeltas implements configstore.Peers.
func (h *testHost) PullDeltas(ctx context.Context, host string, from uint64) (configstore.PullResponse, error) {
	other, err := h.peer(ctx, host)
	if err != nil {
		return configstore.PullResponse{}, err
	}
	h.pulls.Add(1)
	return other.HandlePull(from)
}

func newFleet() *fleet { return &fleet{hosts: map[string]*testHost{}, hanging: map[string]bool{}} }

// add adds and runs a host without a current version.
func (f *fleet) add(t *testing.T, p *testPlatform, name string) *testHost {
	t.Helper()
	h := &testHost{store: p.store(), fleet: f, name: name}
	h.Follower = configstore.NewFollower(configstore.FollowerOptions{
		Store: h.store, Peers: h, Host: name,
		DataCenter: configtest.Document().Hosts[name].DataCenter,
		ShouldPoll: h.polls.Load,
	})
	h.OnApply(func(prev, next *config.Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if prev == nil != (len(h.applied) == 0) || prev != nil && prev.Version != h.applied[len(h.applied)-1] {
			t.Errorf("host %s: callback received version %d after %v", name, next.Version, h.applied)
		}
		h.applied = append(h.applied, next.Version)
	})
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

// startFleet runs all hosts of the document at version 0.
func startFleet(t *testing.T, p *testPlatform) *fleet {
	t.Helper()
	p.bootstrappedStore(t)
	f := newFleet()
	for _, name := range slices.Sorted(maps.Keys(configtest.Document().Hosts)) {
		if err := f.add(t, p, name).Start(t.Context(), func() []string { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// submit submits a change at a host, as the host's operator API does.
func (h *testHost) submit(t *testing.T, submission configstore.Submission) {
	t.Helper()
	if err := h.PublishAccepted(t.Context(), mustSubmit(t, h.store, submission)); err != nil {
		t.Error(err)
	}
}

// version returns the current version, or -1 if there is none.
func (h *testHost) version() int64 {
	if current := h.Current(); current != nil {
		return int64(current.Version)
	}
	return -1
}

func waitFor(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", limit, what)
		}
	}
}

// Guards against hosts that a pushed version does not reach, so that they have to
// pull it.
func TestPushReachesEveryHost(t *testing.T) {
	f := startFleet(t, newTestPlatform(t))
	f.hosts["h1"].submit(t, maxReplicasSubmission(0, "a", 5))
	for name, host := range f.hosts {
		waitFor(t, propagationLimit, "version 1 at "+name, func() bool { return host.version() == 1 })
		if appliedAt, ok := host.AppliedAt(1); !ok || time.Since(appliedAt) > propagationLimit {
			t.Errorf("host %s applied version 1 at %v, %v", name, appliedAt, ok)
		}
		if host.pulls.Load() > 0 {
			t.Errorf("host %s pulled", name)
		}
	}
}

// Guards against a version that decreases or is skipped without a callback if hosts
// accept versions concurrently and some responses of the platform are lost.
func TestConcurrentAcceptorsKeepOrder(t *testing.T) {
	const versions = 12
	p := newTestPlatform(t)
	f := startFleet(t, p)
	for _, name := range []string{"h1", "h4"} {
		f.hosts[name].polls.Store(true)
	}
	p.server.SetFaults(standin.Faults{DropResponseRatio: 0.2})
	var group sync.WaitGroup
	for i := range versions {
		host := f.hosts[fmt.Sprintf("h%d", i%6+1)]
		group.Go(func() {
			id := fmt.Sprint("race-", i)
			number := submitUntilAccepted(t, host.store, id, i+1)
			version, err := host.store.Version(t.Context(), number)
			if err == nil {
				err = host.PublishAccepted(t.Context(), version)
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	for name, host := range f.hosts {
		waitFor(t, propagationLimit, "last version at "+name, func() bool { return host.version() == versions })
	}
}

// Guards against a host that stays behind after a network partition, both within and
// beyond the range of the deltas that other hosts keep.
func TestHostBehindPullsFromHeartbeat(t *testing.T) {
	for _, versions := range []int{3, configstore.SnapshotInterval + 3} {
		p := newTestPlatform(t)
		f := startFleet(t, p)
		f.mu.Lock()
		f.partitioned = func(from, to string) bool { return from == "h5" || to == "h5" }
		f.mu.Unlock()
		for i := range versions {
			f.hosts["h1"].submit(t, maxReplicasSubmission(uint64(i), fmt.Sprint("s", i), i+1))
		}
		if behind := f.hosts["h5"].version(); behind != 0 {
			t.Fatalf("host was not partitioned, it has version %d", behind)
		}
		f.mu.Lock()
		f.partitioned = nil
		f.mu.Unlock()
		f.hosts["h5"].Observe("h1", configstore.Head{Version: uint64(versions)})
		waitFor(t, propagationLimit, "catch-up", func() bool { return f.hosts["h5"].version() == int64(versions) })
	}
}

// Guards against a polling host that does not find a new version if it receives
// neither pushes nor heartbeats.
func TestPollerFindsNewVersions(t *testing.T) {
	p := newTestPlatform(t)
	f := startFleet(t, p)
	f.partitioned = func(string, string) bool { return true }
	f.hosts["h3"].polls.Store(true)
	mustSubmit(t, p.store(), maxReplicasSubmission(0, "a", 5))
	waitFor(t, propagationLimit, "version 1 at the poller", func() bool { return f.hosts["h3"].version() == 1 })
}

// Guards against a restart during a platform outage that applies the first version
// received instead of the highest, or waits for a peer that never responds. A restart
// must take at most 2 s.
func TestRestartInOutageAppliesHighestVersion(t *testing.T) {
	p := newTestPlatform(t)
	f := startFleet(t, p)
	f.mu.Lock()
	f.partitioned = func(from, to string) bool { return from == "h2" || to == "h2" }
	f.mu.Unlock()
	f.hosts["h1"].submit(t, maxReplicasSubmission(0, "a", 5))
	waitFor(t, propagationLimit, "version 1 at h3", func() bool { return f.hosts["h3"].version() == 1 })
	f.mu.Lock()
	f.partitioned, f.hanging["h4"] = nil, true
	f.mu.Unlock()
	p.server.SetFaults(standin.Faults{Hang: true})
	defer p.server.SetFaults(standin.Faults{})
	restarted := f.add(t, p, "h6")
	start := time.Now()
	if err := restarted.Start(t.Context(), func() []string { return []string{"h1", "h2", "h3", "h4", "gone"} }); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > 2*time.Second || restarted.version() != 1 || restarted.Confirmed() {
		t.Errorf("version %d after %v, confirmed %v", restarted.version(), took, restarted.Confirmed())
	}
}

// Guards against applying a delta that differs from the accepted one, does not follow
// the current version or is already applied.
func TestFollowerRejectsInvalidDeltas(t *testing.T) {
	p := newTestPlatform(t)
	f := startFleet(t, p)
	host := f.hosts["h1"]
	delta := mustSubmit(t, p.store(), maxReplicasSubmission(0, "a", 5))
	forged := delta
	forged.Patch = maxReplicasSubmission(0, "a", 6).Patch
	var mismatch *config.HashMismatchError
	if err := host.HandlePush(t.Context(), "h2", []configstore.Version{forged}); !errors.As(err, &mismatch) || host.version() != 0 {
		t.Errorf("forged delta returned %v, version %d", err, host.version())
	}
	early := delta
	early.Number = 2
	if err := host.HandlePush(t.Context(), "h2", []configstore.Version{early}); err != nil || host.version() != 0 {
		t.Errorf("early delta returned %v, version %d", err, host.version())
	}
	for range 2 {
		if err := host.HandlePush(t.Context(), "h2", []configstore.Version{delta}); err != nil || host.version() != 1 {
			t.Errorf("delta returned %v, version %d", err, host.version())
		}
	}
	if deltas, ok := host.DeltasSince(0); !ok || len(deltas) != 1 {
		t.Errorf("deltas %v, %v", deltas, ok)
	}
	if update, err := host.HandlePull(configstore.HeadOnly); err != nil || update.Full != nil || update.Deltas != nil || update.Head.Version != 1 {
		t.Errorf("HeadOnly returned %+v, error %v", update, err)
	}
	if update, err := host.HandlePull(configstore.FullDocument); err != nil || update.Full == nil || update.Full.Version != 1 {
		t.Errorf("FullDocument returned %+v, error %v", update, err)
	}
}

// Guards against pushes from every host to every other, and pushes to hosts known to
// be down.
func TestPlanPush(t *testing.T) {
	hosts := configtest.Document().Hosts
	noShuffle := func([]string) {}
	usable := func(host string) bool { return host != "h5" }
	plan := configstore.PlanPush(hosts, "h1", "dc1", true, usable, noShuffle)
	if !slices.Equal(plan.Local, []string{"h2"}) || len(plan.Remote) != 2 || !slices.Equal(plan.Remote[0], []string{"h3", "h4"}) || !slices.Equal(plan.Remote[1], []string{"h6"}) {
		t.Errorf("plan %+v", plan)
	}
	if plan := configstore.PlanPush(hosts, "h1", "dc1", false, usable, noShuffle); len(plan.Remote) != 0 {
		t.Errorf("a forwarding host pushes to other data centres: %+v", plan.Remote)
	}
	ranked := configstore.RankPeers([]configstore.PeerHead{{Host: "b", Head: configstore.Head{Version: 1}}, {Host: "c", Head: configstore.Head{Version: 3}}, {Host: "a", Head: configstore.Head{Version: 3}}})
	if !slices.Equal(ranked, []string{"a", "c", "b"}) {
		t.Errorf("ranked %q", ranked)
	}
}

// Guards against a version reported as confirmed although newer versions may have
// been accepted without this host's knowledge.
func TestConfirmationRequiresHead(t *testing.T) {
	p := newTestPlatform(t)
	p.bootstrappedStore(t)
	fake := clock.NewFake(time.Now())
	host := configstore.NewFollower(configstore.FollowerOptions{Store: p.store(), Peers: &testHost{fleet: newFleet()}, Host: "h1", DataCenter: "dc1", Clock: fake})
	host.Observe("h3", configstore.Head{Version: 9})
	if _, ok := host.Status(); ok || host.Confirmed() {
		t.Error("a heartbeat set a version before Start")
	}
	if err := host.Start(t.Context(), func() []string { return nil }); err != nil {
		t.Fatal(err)
	}
	expect := func(want bool, what string) {
		t.Helper()
		if status, ok := host.Status(); !ok || status.Confirmed != want {
			t.Errorf("%s: status %+v, %v", what, status, ok)
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
