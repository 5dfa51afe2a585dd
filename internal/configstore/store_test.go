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

// testPlatform is a fake platform that hosts call over HTTP.
type testPlatform struct {
	server  *standin.Server
	address string
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{server: standin.New(1)}
	server := httptest.NewServer(p.server)
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

func (p *testPlatform) store() *configstore.Store {
	client := platform.NewClient(p.address)
	return configstore.NewStore(configstore.StoreOptions{Table: client, Objects: client})
}

// bootstrappedStore writes version 0 to the platform and returns a store.
func (p *testPlatform) bootstrappedStore(t *testing.T) *configstore.Store {
	t.Helper()
	store := p.store()
	if err := store.Bootstrap(t.Context(), configtest.Document()); err != nil {
		t.Fatal(err)
	}
	return store
}

// maxReplicasSubmission returns a submission that sets max_replicas of model m1.
func maxReplicasSubmission(base uint64, id string, value int) configstore.Submission {
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

// submitVersions submits versions 1 to n.
func submitVersions(t *testing.T, store *configstore.Store, n int) {
	t.Helper()
	for i := range n {
		mustSubmit(t, store, maxReplicasSubmission(uint64(i), fmt.Sprint("s", i+1), i+1))
	}
}

// Guards against different versions 0 at hosts that start concurrently with different
// bootstrap documents, also if responses to their commits are lost.
func TestConcurrentBootstrapsAgree(t *testing.T) {
	p := newTestPlatform(t)
	p.server.SetFaults(standin.Faults{DropResponseRatio: 0.5})
	hashes := make([]string, 8)
	var group sync.WaitGroup
	for i := range hashes {
		group.Go(func() {
			doc := configtest.Document()
			doc.Deployment = fmt.Sprint("from-host-", i)
			store := p.store()
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
			t.Fatalf("hashes of version 0 differ between hosts: %q", hashes)
		}
	}
}

// Guards against two accepted patches for one base version, and against a submission
// that is lost: with concurrent submitters every version number is accepted once.
func TestConcurrentSubmittersGetOneVersionEach(t *testing.T) {
	const submitters = 6
	p := newTestPlatform(t)
	p.bootstrappedStore(t)
	p.server.SetFaults(standin.Faults{DropResponseRatio: 0.3})
	numbers := make([]uint64, submitters)
	var group sync.WaitGroup
	for i := range submitters {
		group.Go(func() { numbers[i] = submitUntilAccepted(t, p.store(), fmt.Sprint("racer-", i), i+1) })
	}
	group.Wait()
	seen := map[uint64]bool{}
	for _, number := range numbers {
		seen[number] = true
	}
	head, err := p.store().Head(t.Context())
	if err != nil || len(seen) != submitters || head.Version != submitters {
		t.Errorf("versions %v, head %+v, error %v", numbers, head, err)
	}
}

// submitUntilAccepted submits against the reported head until the submission is
// accepted, and returns its version number.
func submitUntilAccepted(t *testing.T, store *configstore.Store, id string, value int) uint64 {
	for base := uint64(0); ; {
		version, err := store.Submit(t.Context(), maxReplicasSubmission(base, id, value))
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

// Guards against a submission that, retried after its response was lost, creates a
// second version or conflicts with itself.
func TestRepeatedSubmissionReturnsItsVersion(t *testing.T) {
	p := newTestPlatform(t)
	store := p.bootstrappedStore(t)
	first := mustSubmit(t, store, maxReplicasSubmission(0, "once", 5))
	for i := range 3 {
		mustSubmit(t, store, maxReplicasSubmission(uint64(i+1), fmt.Sprint("later-", i), i+6))
	}
	again := mustSubmit(t, p.store(), maxReplicasSubmission(0, "once", 5))
	if again.Number != first.Number || again.Hash != first.Hash {
		t.Errorf("the repeated submission returned %+v, want %+v", again, first)
	}
	var reused *configstore.ReusedSubmissionError
	if _, err := store.Submit(t.Context(), maxReplicasSubmission(4, "once", 9)); !errors.As(err, &reused) || reused.Version != first.Number {
		t.Errorf("another patch with the same ID returned %v, want *ReusedSubmissionError", err)
	}
}

// Guards against reporting a failure for a commit that took effect. If all responses
// are lost, the store must find the version by reading the submission row.
func TestLostResponsesAreReadBack(t *testing.T) {
	p := newTestPlatform(t)
	store := p.bootstrappedStore(t)
	p.server.SetFaults(standin.Faults{DropResponseRatio: 1})
	version := mustSubmit(t, store, maxReplicasSubmission(0, "lost", 5))
	if rows := p.server.Rows("config/versions/"); version.Number != 1 || len(rows) != 2 {
		t.Errorf("version %d, %d rows", version.Number, len(rows))
	}
}

// delayedTable holds back the first commit until delayed is called, like a network that
// delays a message, and reports an unknown outcome for it.
type delayedTable struct {
	platform.Table
	delayed func()
}

func (d *delayedTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (uint64, error) {
	if d.delayed == nil {
		d.delayed = func() { _, _ = d.Table.Commit(context.WithoutCancel(ctx), conditions, writes) }
		return 0, &platform.UnknownOutcomeError{Cause: context.DeadlineExceeded}
	}
	return d.Table.Commit(ctx, conditions, writes)
}

// Guards against a delayed commit that takes effect after its retry did, and so
// creates a version twice or reverts later versions.
func TestDelayedCommitHasNoEffect(t *testing.T) {
	p := newTestPlatform(t)
	p.bootstrappedStore(t)
	client := platform.NewClient(p.address)
	table := &delayedTable{Table: client}
	store := configstore.NewStore(configstore.StoreOptions{Table: table, Objects: client})
	mustSubmit(t, store, maxReplicasSubmission(0, "late", 5))
	mustSubmit(t, store, maxReplicasSubmission(1, "next", 6))
	before := fmt.Sprint(p.server.Rows("config/"))
	table.delayed()
	if after := fmt.Sprint(p.server.Rows("config/")); after != before {
		t.Errorf("rows changed from %s to %s", before, after)
	}
}

// Guards against a conflict error without the number of the head, and against an
// outage that is not reported as *platform.UnavailableError.
func TestRejectedSubmissions(t *testing.T) {
	p := newTestPlatform(t)
	store := p.bootstrappedStore(t)
	mustSubmit(t, store, maxReplicasSubmission(0, "a", 5))
	for _, base := range []uint64{0, 2} {
		var conflict *configstore.ConflictError
		if _, err := store.Submit(t.Context(), maxReplicasSubmission(base, "b", 6)); !errors.As(err, &conflict) || conflict.Current != 1 {
			t.Errorf("base %d returned %v, want *ConflictError", base, err)
		}
	}
	var invalid *config.InvalidError
	if _, err := store.Submit(t.Context(), maxReplicasSubmission(1, "c/d", 6)); !errors.As(err, &invalid) {
		t.Errorf("submission ID with a slash returned %v, want *InvalidError", err)
	}
	if _, err := store.Submit(t.Context(), maxReplicasSubmission(1, "e", -1)); !errors.As(err, &invalid) {
		t.Errorf("invalid patch returned %v, want *InvalidError", err)
	}
	p.server.SetFaults(standin.Faults{Down: true})
	var unavailable *platform.UnavailableError
	if _, err := store.Submit(t.Context(), maxReplicasSubmission(1, "f", 6)); !errors.As(err, &unavailable) {
		t.Errorf("outage returned %v, want *UnavailableError", err)
	}
	p.server.SetFaults(standin.Faults{})
	var absent *configstore.NoConfigurationError
	if _, err := newTestPlatform(t).store().Load(t.Context()); !errors.As(err, &absent) {
		t.Errorf("empty platform returned %v, want *NoConfigurationError", err)
	}
}

// Guards against loading the newest version by reading all versions, and against a
// failure to load it if a snapshot is missing or corrupt.
func TestLoadUsesSnapshots(t *testing.T) {
	const versions = 2*configstore.SnapshotInterval + 10
	p := newTestPlatform(t)
	store := p.bootstrappedStore(t)
	submitVersions(t, store, versions)
	want, err := store.Load(t.Context())
	if err != nil || want.Version != versions {
		t.Fatal(want, err)
	}
	snapshotName := fmt.Sprintf("config-snapshot-%020d", 2*configstore.SnapshotInterval)
	client := platform.NewClient(p.address)
	good, err := client.Get(t.Context(), snapshotName)
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Put(t.Context(), snapshotName, []byte(strings.Replace(string(good), "max_replicas", "min_replicas", 1))); err != nil {
		t.Fatal(err)
	}
	if got, err := p.store().Load(t.Context()); err != nil || got.Hash != want.Hash {
		t.Errorf("loaded %+v with a corrupt snapshot, error %v", got, err)
	}
	if repaired, err := client.Get(t.Context(), snapshotName); err != nil || string(repaired) != string(good) {
		t.Errorf("the corrupt snapshot was not rewritten, error %v", err)
	}
	before := p.server.Stats().Reads
	if got, err := p.store().Load(t.Context()); err != nil || got.Hash != want.Hash {
		t.Errorf("loaded %+v, error %v", got, err)
	}
	if reads := p.server.Stats().Reads - before; reads > 3 {
		t.Errorf("Load took %d reads", reads)
	}
	checkHistory(t, p.store(), versions)
}

func checkHistory(t *testing.T, store *configstore.Store, versions uint64) {
	t.Helper()
	for _, number := range []uint64{0, 1, configstore.SnapshotInterval, versions - 1} {
		snapshot, err := store.SnapshotAt(t.Context(), number)
		if err != nil || snapshot.Version != number || number > 0 && snapshot.Document.Models["m1"].MaxReplicas != int(number) {
			t.Errorf("version %d: %+v, error %v", number, snapshot, err)
		}
	}
	var absent *configstore.VersionNotFoundError
	if _, err := store.SnapshotAt(t.Context(), versions+1); !errors.As(err, &absent) {
		t.Errorf("a future version returned %v, want *VersionNotFoundError", err)
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

// Guards against a submission that waits much longer than the timeouts of its calls
// if the platform hangs.
func TestSubmitTimesOutOnHangingPlatform(t *testing.T) {
	p := newTestPlatform(t)
	store := p.bootstrappedStore(t)
	p.server.SetFaults(standin.Faults{Hang: true})
	start := time.Now()
	if _, err := store.Submit(t.Context(), maxReplicasSubmission(0, "hang", 5)); err == nil {
		t.Error("Submit succeeded on a hanging platform")
	}
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("Submit returned after %v", took)
	}
	p.server.SetFaults(standin.Faults{})
}
