package idempotency

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// fixture is a simulated platform shared by several hosts.
type fixture struct {
	server *standin.Server
	client *platform.Client
	clock  *clock.Fake
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	server := standin.New(1)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return &fixture{
		server: server,
		client: platform.NewClient(strings.TrimPrefix(listener.URL, "http://")),
		clock:  clock.NewFake(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
	}
}

func (f *fixture) store(incarnation string, table platform.Table) *Store {
	return NewStore(Config{
		Table: table, Objects: f.client, Clock: f.clock, Incarnation: incarnation,
		Registerer: prometheus.NewRegistry(), Log: logr.Discard(),
	})
}

func newClaimRequest(key string) ClaimRequest {
	return ClaimRequest{Workspace: "w", Key: key, Fingerprint: "f", RequestID: "r", Retention: time.Hour}
}

// requireBegin calls Begin and requires a result of the wanted kind.
func requireBegin(t *testing.T, s *Store, c ClaimRequest, want Kind) Result {
	t.Helper()
	result, err := s.Begin(context.Background(), c)
	if err != nil || result.Kind != want {
		t.Fatalf("Begin: %v, %v, want %v", result.Kind, err, want)
	}
	return result
}

// Guards against a repeat that runs again, or gets another response than the first.
func TestRepeatIsReplayed(t *testing.T) {
	for _, size := range []int{0, inlineBodyBytes, inlineBodyBytes + 1, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFixture(t)
			a, b := f.store("a", f.client), f.store("b", f.client)
			held := requireBegin(t, a, newClaimRequest("k"), Fresh).Held
			if got := requireBegin(t, b, newClaimRequest("k"), InProgress); got.Owner != "a" {
				t.Fatalf("owner %q", got.Owner)
			}
			want := Response{Status: 201, Header: map[string][]string{"X": {"y"}}, Body: bytes.Repeat([]byte("x"), size)}
			if err := held.Complete(context.Background(), want); err != nil {
				t.Fatal(err)
			}
			got := requireBegin(t, b, newClaimRequest("k"), Replay).Response
			if got.Status != 201 || got.Header["X"][0] != "y" || !bytes.Equal(got.Body, want.Body) {
				t.Fatalf("replayed status %d with %d bytes", got.Status, len(got.Body))
			}
			other := newClaimRequest("k")
			other.Fingerprint = "g"
			requireBegin(t, b, other, FingerprintDiffers)
		})
	}
}

// Guards against replaying a response without its body when it was too large to store.
func TestOversizedResponseIsNotReplayed(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	held := requireBegin(t, s, newClaimRequest("k"), Fresh).Held
	if err := held.Complete(context.Background(), Response{Status: 200, Body: make([]byte, MaxBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	requireBegin(t, s, newClaimRequest("k"), InProgress)
}

// Guards against two calls that both hold a claim because their request IDs, which
// callers may choose, are equal.
func TestEqualRequestIDs(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	requireBegin(t, s, newClaimRequest("k"), Fresh)
	requireBegin(t, s, newClaimRequest("k"), InProgress)
}

// Guards against a dispatch after the claim was released, or after a pause in which
// it may have been swept.
func TestDispatchNeedsTheClaim(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	var notHeld *NotHeldError
	held := requireBegin(t, s, newClaimRequest("k"), Fresh).Held
	if err := held.Dispatch(f.clock.Now()); err != nil {
		t.Fatal(err)
	}
	if err := held.Dispatch(f.clock.Now().Add(time.Hour / dispatchRetentionDivisor)); !errors.As(err, &notHeld) {
		t.Fatalf("dispatch after a pause: %v", err)
	}
	if err := held.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := held.Dispatch(f.clock.Now()); !errors.As(err, &notHeld) {
		t.Fatalf("dispatch after release: %v", err)
	}
	if err := held.Complete(context.Background(), Response{}); !errors.As(err, &notHeld) {
		t.Fatalf("completion after release: %v", err)
	}
	requireBegin(t, s, newClaimRequest("k"), Fresh)
}

// Guards against a dispatch without a claim during an outage, and against reporting
// a completed call as not run.
func TestOutage(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	held := requireBegin(t, s, newClaimRequest("large"), Fresh).Held
	if err := held.Complete(context.Background(), Response{Body: make([]byte, inlineBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	f.server.SetFaults(standin.Faults{Down: true})
	var unavailable *UnavailableError
	if _, err := s.Begin(context.Background(), newClaimRequest("k")); !errors.As(err, &unavailable) {
		t.Fatalf("Begin in an outage: %v", err)
	}
	f.server.SetFaults(standin.Faults{})
	if rows := f.server.Rows(claimPrefix + "w/" + sha256Hex([]byte("k"))); len(rows) != 0 {
		t.Fatal("a claim was left behind")
	}
	s.objects = missingObjects{}
	var replay *ReplayError
	if _, err := s.Begin(context.Background(), newClaimRequest("large")); !errors.As(err, &replay) {
		t.Fatalf("Begin with an unreadable response: %v", err)
	}
}

// missingObjects is an object store that has lost all objects.
type missingObjects struct{}

func (missingObjects) Put(context.Context, string, []byte) error { return nil }
func (missingObjects) Get(_ context.Context, name string) ([]byte, error) {
	return nil, &platform.NotFoundError{Name: name}
}

// lossyTable loses the reply to the first commit, which takes effect.
type lossyTable struct {
	platform.Table
	once sync.Once
	lost func()
}

func (f *lossyTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (uint64, error) {
	revision, err := f.Table.Commit(ctx, c, w)
	f.once.Do(func() {
		f.lost()
		revision, err = 0, &platform.UnknownOutcomeError{Cause: context.Canceled}
	})
	return revision, err
}

// Guards against a claim left behind by a caller that goes away during the insert:
// the call did not run, so its repeat must be able to run.
func TestAbandonedClaimIsRemoved(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	s := f.store("a", &lossyTable{Table: f.client, lost: cancel})
	var unavailable *UnavailableError
	if _, err := s.Begin(ctx, newClaimRequest("k")); !errors.As(err, &unavailable) {
		t.Fatalf("Begin: %v", err)
	}
	s.Wait()
	requireBegin(t, f.store("b", f.client), newClaimRequest("k"), Fresh)
}

// Guards against treating a write as failed because its reply was lost.
func TestLostAnswersAreReadBack(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for i, finish := range []func(*HeldClaim) error{
		func(h *HeldClaim) error { return h.Complete(ctx, Response{Status: 200}) },
		func(h *HeldClaim) error { return h.Release(ctx) },
	} {
		s := f.store("a", &lossyTable{Table: f.client, lost: func() {}})
		held := requireBegin(t, s, newClaimRequest(fmt.Sprint(i)), Fresh).Held
		s.table = &lossyTable{Table: f.client, lost: func() {}}
		if err := finish(held); err != nil {
			t.Fatal(err)
		}
	}
	requireBegin(t, f.store("b", f.client), newClaimRequest("0"), Replay)
	requireBegin(t, f.store("b", f.client), newClaimRequest("1"), Fresh)
}

// Guards against calls that run twice and wrong replays when hosts compete for the
// same keys while replies of the table service are lost.
func TestHostsRunEachCallAtMostOnce(t *testing.T) {
	const hosts, keys, rounds = 6, 12, 4
	f := newFixture(t)
	f.server.SetFaults(standin.Faults{DropResponseRatio: 0.4})
	runs := make([]atomic.Int64, keys)
	var group conc.WaitGroup
	for host := range hosts {
		s := f.store(fmt.Sprint("host", host), f.client)
		random := rand.New(rand.NewPCG(1, uint64(host)))
		group.Go(func() {
			for range rounds {
				for key := range keys {
					callOnce(t, s, random, fmt.Sprint(key), &runs[key])
				}
			}
		})
	}
	group.Wait()
	total := 0
	for key := range runs {
		total += int(runs[key].Load())
	}
	if total < keys/2 {
		t.Fatalf("only %d of %d calls ran", total, keys)
	}
}

// callOnce handles one request as a host does; the upstream randomly refuses the
// connection, answers, or crashes.
func callOnce(t *testing.T, s *Store, random *rand.Rand, key string, runs *atomic.Int64) {
	ctx := context.Background()
	result, err := s.Begin(ctx, newClaimRequest(key))
	var unavailable *UnavailableError
	if err != nil {
		if !errors.As(err, &unavailable) {
			t.Errorf("Begin: %v", err)
		}
		return
	}
	if result.Kind == Replay && (runs.Load() != 1 || string(result.Response.Body) != key) {
		t.Errorf("key %s: replay of %q after %d runs", key, result.Response.Body, runs.Load())
	}
	if result.Kind != Fresh {
		return
	}
	if random.IntN(3) == 0 { // connection refused
		_ = result.Held.Release(ctx) // after a failed release, repeats get "may have run"
		return
	}
	if runs.Add(1) > 1 {
		t.Errorf("key %s ran twice", key)
	}
	if random.IntN(2) == 0 {
		_ = result.Held.Complete(ctx, Response{Body: []byte(key)}) // likewise after a failed completion
	}
}

// Guards against claims that are never swept or swept too early, large bodies that
// are left behind, and several hosts sweeping at once.
func TestSweep(t *testing.T) {
	f := newFixture(t)
	hosts := []*Store{f.store("a", f.client), f.store("b", f.client)}
	ctx := context.Background()
	large := requireBegin(t, hosts[0], newClaimRequest("large"), Fresh).Held
	if err := large.Complete(ctx, Response{Body: make([]byte, inlineBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	for i := range sweepPageSize + 10 {
		requireBegin(t, hosts[0], newClaimRequest(fmt.Sprint("old", i)), Fresh)
	}
	f.clock.Advance(time.Hour - 2*sweepInterval)
	kept := requireBegin(t, hosts[1], newClaimRequest("new"), Fresh).Held
	// One sweep before and three sweeps after the old claims expire.
	var deleted []int
	for range 4 {
		deleted = append(deleted, sweepAll(t, hosts))
		f.clock.Advance(2*sweepInterval + time.Millisecond)
	}
	if deleted[0] != 0 || deleted[1]+deleted[2]+deleted[3] != sweepPageSize+11 {
		t.Fatalf("deleted claims per sweep: %v", deleted)
	}
	if rows := f.server.Rows(claimPrefix); len(rows) != 1 || rows[0].Key != kept.key {
		t.Fatalf("%d rows left", len(rows))
	}
	if body, err := f.client.Get(ctx, large.objectName()); err != nil || len(body) != 0 {
		t.Fatalf("the large body is still stored: %d bytes, %v", len(body), err)
	}
}

// sweepAll calls Sweep on all hosts, one of which must acquire the sweep lease. It
// returns the number of claims deleted.
func sweepAll(t *testing.T, hosts []*Store) int {
	t.Helper()
	acquired, deleted := 0, 0
	for _, s := range hosts {
		report, err := s.Sweep(context.Background())
		if err != nil || report.Read > sweepPageSize {
			t.Fatalf("%+v, %v", report, err)
		}
		if report.Acquired {
			acquired++
		}
		deleted += report.Deleted
	}
	if acquired != 1 {
		t.Fatalf("%d hosts acquired the sweep lease, want 1", acquired)
	}
	return deleted
}
