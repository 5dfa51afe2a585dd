package configstore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// world is a platform stand-in that hosts reach over HTTP.
type world struct {
	platform *standin.Server
	address  string
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{platform: standin.New(1)}
	server := httptest.NewServer(w.platform)
	t.Cleanup(server.Close)
	w.address = strings.TrimPrefix(server.URL, "http://")
	return w
}

func (w *world) store() *configstore.Store {
	client := platform.NewClient(w.address)
	return configstore.NewStore(configstore.StoreOptions{Table: client, Objects: client})
}

// bootstrapped returns a store whose platform holds version 0.
func (w *world) bootstrapped(t *testing.T) *configstore.Store {
	t.Helper()
	store := w.store()
	if err := store.Bootstrap(t.Context(), configtest.Document()); err != nil {
		t.Fatal(err)
	}
	return store
}

func replicas(base uint64, id string, value int) configstore.Submission {
	return configstore.Submission{
		BaseVersion: base, Author: "alice", Reason: "test", SubmissionID: id,
		Patch: fmt.Appendf(nil, `[{"op": "replace", "path": "/models/m1/max_replicas", "value": %d}]`, value),
	}
}

func mustSubmit(t *testing.T, store *configstore.Store, submission configstore.Submission) configstore.Version {
	t.Helper()
	version, err := store.Submit(t.Context(), submission)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// submitMany accepts n versions on top of version 0.
func submitMany(t *testing.T, store *configstore.Store, n int) {
	t.Helper()
	for i := range n {
		mustSubmit(t, store, replicas(uint64(i), fmt.Sprint("s", i+1), i+1))
	}
}

// Guards against hosts that start together with different bootstrap documents
// and disagree on version 0, also when answers to their commits are lost.
func TestRacingBootstrapsAgree(t *testing.T) {
	w := newWorld(t)
	w.platform.SetFaults(standin.Faults{DropResponseRatio: 0.5})
	hashes := make([]string, 8)
	var group sync.WaitGroup
	for i := range hashes {
		group.Go(func() {
			doc := configtest.Document()
			doc.Deployment = fmt.Sprint("from-host-", i)
			store := w.store()
			if err := store.Bootstrap(t.Context(), doc); err != nil {
				t.Error(err)
				return
			}
			snapshot, err := store.Load(t.Context())
			if err != nil || snapshot.Version != 0 {
				t.Error(snapshot, err)
				return
			}
			hashes[i] = snapshot.Hash
		})
	}
	group.Wait()
	for _, hash := range hashes {
		if hash != hashes[0] {
			t.Fatalf("hosts disagree: %q", hashes)
		}
	}
}

// Guards against two accepted patches for one base version, and against a lost
// submission: every version number is accepted exactly once.
func TestRacingSubmittersGetOneVersionEach(t *testing.T) {
	const submitters = 6
	w := newWorld(t)
	w.bootstrapped(t)
	w.platform.SetFaults(standin.Faults{DropResponseRatio: 0.3})
	numbers := make([]uint64, submitters)
	var group sync.WaitGroup
	for i := range submitters {
		group.Go(func() { numbers[i] = submitUntilAccepted(t, w.store(), fmt.Sprint("racer-", i), i+1) })
	}
	group.Wait()
	seen := map[uint64]bool{}
	for _, number := range numbers {
		seen[number] = true
	}
	head, err := w.store().Head(t.Context())
	if err != nil || len(seen) != submitters || head.Version != submitters {
		t.Errorf("versions %v, head %+v, error %v", numbers, head, err)
	}
}

func submitUntilAccepted(t *testing.T, store *configstore.Store, id string, value int) uint64 {
	for base := uint64(0); ; {
		version, err := store.Submit(t.Context(), replicas(base, id, value))
		var conflict *configstore.ConflictError
		var unknown *configstore.UnknownOutcomeError
		switch {
		case err == nil:
			return version.Number
		case errors.As(err, &conflict):
			base = conflict.Current
		case !errors.As(err, &unknown):
			t.Error(err)
			return 0
		}
	}
}

// Guards against a submission that is repeated after its answer was lost and
// creates a second version or a conflict with itself.
func TestRepeatedSubmissionReturnsItsVersion(t *testing.T) {
	w := newWorld(t)
	store := w.bootstrapped(t)
	first := mustSubmit(t, store, replicas(0, "once", 5))
	for i := range 3 {
		mustSubmit(t, store, replicas(uint64(i+1), fmt.Sprint("later-", i), i+6))
	}
	again := mustSubmit(t, w.store(), replicas(0, "once", 5))
	if again.Number != first.Number || again.Hash != first.Hash {
		t.Errorf("repeat gave %+v, want %+v", again, first)
	}
	var reused *configstore.ReusedSubmissionError
	if _, err := store.Submit(t.Context(), replicas(4, "once", 9)); !errors.As(err, &reused) || reused.Version != first.Number {
		t.Errorf("another patch under the same ID gave %v", err)
	}
}

// Guards against reporting a failure for a commit that took effect: with every
// answer lost, the read-back finds the version.
func TestLostAnswersAreReadBack(t *testing.T) {
	w := newWorld(t)
	store := w.bootstrapped(t)
	w.platform.SetFaults(standin.Faults{DropResponseRatio: 1})
	version := mustSubmit(t, store, replicas(0, "lost", 5))
	if rows := w.platform.Rows("config/versions/"); version.Number != 1 || len(rows) != 2 {
		t.Errorf("version %d, %d rows", version.Number, len(rows))
	}
}

// lateTable delivers a commit only after a later one was answered, as a network
// that delays a message does.
type lateTable struct {
	platform.Table
	held func()
}

func (l *lateTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	if l.held == nil {
		l.held = func() { _, _ = l.Table.Commit(context.WithoutCancel(ctx), conditions, writes) }
		return 0, &platform.UnknownOutcomeError{Cause: context.DeadlineExceeded}
	}
	return l.Table.Commit(ctx, conditions, writes)
}

// Guards against a delayed commit that takes effect after its repeat did and
// creates a version twice or takes back later versions.
func TestDelayedCommitHasNoEffect(t *testing.T) {
	w := newWorld(t)
	w.bootstrapped(t)
	client := platform.NewClient(w.address)
	late := &lateTable{Table: client}
	store := configstore.NewStore(configstore.StoreOptions{Table: late, Objects: client})
	mustSubmit(t, store, replicas(0, "late", 5))
	mustSubmit(t, store, replicas(1, "next", 6))
	before := fmt.Sprint(w.platform.Rows("config/"))
	late.held()
	if after := fmt.Sprint(w.platform.Rows("config/")); after != before {
		t.Errorf("rows changed from %s to %s", before, after)
	}
}

// Guards against a conflict that does not name the current version, and against
// an outage reported as anything but "not accepted".
func TestRefusedSubmissions(t *testing.T) {
	w := newWorld(t)
	store := w.bootstrapped(t)
	mustSubmit(t, store, replicas(0, "a", 5))
	for _, base := range []uint64{0, 2} {
		var conflict *configstore.ConflictError
		if _, err := store.Submit(t.Context(), replicas(base, "b", 6)); !errors.As(err, &conflict) || conflict.Current != 1 {
			t.Errorf("base %d gave %v", base, err)
		}
	}
	var invalid *config.InvalidError
	if _, err := store.Submit(t.Context(), replicas(1, "c/d", 6)); !errors.As(err, &invalid) {
		t.Errorf("submission ID with a slash gave %v", err)
	}
	if _, err := store.Submit(t.Context(), replicas(1, "e", -1)); !errors.As(err, &invalid) {
		t.Errorf("invalid patch gave %v", err)
	}
	w.platform.SetFaults(standin.Faults{Down: true})
	var unavailable *platform.UnavailableError
	if _, err := store.Submit(t.Context(), replicas(1, "f", 6)); !errors.As(err, &unavailable) {
		t.Errorf("outage gave %v", err)
	}
	w.platform.SetFaults(standin.Faults{})
	var absent *configstore.NoConfigurationError
	if _, err := newWorld(t).store().Load(t.Context()); !errors.As(err, &absent) {
		t.Errorf("empty platform gave %v", err)
	}
}

// Guards against a catch-up that reads all versions ever, and against one that
// fails because a snapshot was never written or is damaged.
func TestCatchUpUsesSnapshots(t *testing.T) {
	const versions = 2*configstore.SnapshotInterval + 10
	w := newWorld(t)
	store := w.bootstrapped(t)
	submitMany(t, store, versions)
	want, err := store.Load(t.Context())
	if err != nil || want.Version != versions {
		t.Fatal(want, err)
	}
	snapshotName := fmt.Sprintf("config-snapshot-%020d", 2*configstore.SnapshotInterval)
	client := platform.NewClient(w.address)
	good, err := client.Get(t.Context(), snapshotName)
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Put(t.Context(), snapshotName, []byte(strings.Replace(string(good), "max_replicas", "min_replicas", 1))); err != nil {
		t.Fatal(err)
	}
	if got, err := w.store().Load(t.Context()); err != nil || got.Hash != want.Hash {
		t.Errorf("loaded %+v with a damaged snapshot, error %v", got, err)
	}
	if repaired, err := client.Get(t.Context(), snapshotName); err != nil || string(repaired) != string(good) {
		t.Errorf("the damaged snapshot was not repaired, error %v", err)
	}
	before := w.platform.Stats().Reads
	if got, err := w.store().Load(t.Context()); err != nil || got.Hash != want.Hash {
		t.Errorf("loaded %+v, error %v", got, err)
	}
	if reads := w.platform.Stats().Reads - before; reads > 3 {
		t.Errorf("catch-up took %d reads", reads)
	}
	checkHistory(t, w.store(), versions)
}

func checkHistory(t *testing.T, store *configstore.Store, versions uint64) {
	t.Helper()
	for _, number := range []uint64{0, 1, configstore.SnapshotInterval, versions - 1} {
		snapshot, err := store.At(t.Context(), number)
		if err != nil || snapshot.Version != number || number > 0 && snapshot.Document.Models["m1"].MaxReplicas != int(number) {
			t.Errorf("version %d: %+v, error %v", number, snapshot, err)
		}
	}
	var absent *configstore.VersionNotFoundError
	if _, err := store.At(t.Context(), versions+1); !errors.As(err, &absent) {
		t.Errorf("a future version gave %v", err)
	}
	listed, err := store.Versions(t.Context(), 3, 2)
	if err != nil || len(listed) != 2 || listed[0].Number != 4 || listed[1].SubmissionID != "s5" {
		t.Errorf("listed %+v, error %v", listed, err)
	}
	first, err := store.Version(t.Context(), 1)
	if err != nil || first.Author != "alice" || first.Reason != "test" || time.Since(first.Time) > time.Minute || !json.Valid(first.Patch) {
		t.Errorf("version 1 is %+v, error %v", first, err)
	}
}

// Guards against a platform that hangs and holds a submission much longer than
// the calls' own timeouts.
func TestHangingPlatformIsGivenUp(t *testing.T) {
	w := newWorld(t)
	store := w.bootstrapped(t)
	w.platform.SetFaults(standin.Faults{Hang: true})
	start := time.Now()
	if _, err := store.Submit(t.Context(), replicas(0, "hang", 5)); err == nil {
		t.Error("a hanging platform accepted a submission")
	}
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("gave up after %v", took)
	}
	w.platform.SetFaults(standin.Faults{})
}
