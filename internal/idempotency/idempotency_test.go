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

// fixture is a platform with several hosts on it.
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

func claim(key string) ClaimRequest {
	return ClaimRequest{Workspace: "w", Key: key, Fingerprint: "f", RequestID: "r", Retention: time.Hour}
}

// begin requires a result without an error.
func begin(t *testing.T, s *Store, c ClaimRequest, want Kind) Result {
	t.Helper()
	result, err := s.Begin(context.Background(), c)
	if err != nil || result.Kind != want {
		t.Fatalf("Begin: %v, %v, want %v", result.Kind, err, want)
	}
	return result
}

// Guards against a repeat that runs again, or gets another answer than the first.
func TestRepeatIsReplayed(t *testing.T) {
	for _, size := range []int{0, inlineBodyBytes, inlineBodyBytes + 1, 3 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFixture(t)
			a, b := f.store("a", f.client), f.store("b", f.client)
			held := begin(t, a, claim("k"), Fresh).Held
			if got := begin(t, b, claim("k"), InProgress); got.Owner != "a" {
				t.Fatalf("owner %q", got.Owner)
			}
			want := Response{Status: 201, Header: map[string][]string{"X": {"y"}}, Body: bytes.Repeat([]byte("x"), size)}
			if err := held.Complete(context.Background(), want); err != nil {
				t.Fatal(err)
			}
			got := begin(t, b, claim("k"), Replay).Response
			if got.Status != 201 || got.Header["X"][0] != "y" || !bytes.Equal(got.Body, want.Body) {
				t.Fatalf("replayed status %d with %d bytes", got.Status, len(got.Body))
			}
			other := claim("k")
			other.Fingerprint = "g"
			begin(t, b, other, FingerprintDiffers)
		})
	}
}

// Guards against responses too large to store that are replayed without a body.
func TestOversizedResponseIsNotReplayed(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	held := begin(t, s, claim("k"), Fresh).Held
	if err := held.Complete(context.Background(), Response{Status: 200, Body: make([]byte, MaxBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	begin(t, s, claim("k"), InProgress)
}

// Guards against two calls that both take a claim for their own because their
// request IDs, which callers may choose, are equal.
func TestEqualRequestIDs(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	begin(t, s, claim("k"), Fresh)
	begin(t, s, claim("k"), InProgress)
}

// Guards against a dispatch after the claim was released, or after a pause in
// which it may have been swept.
func TestDispatchNeedsTheClaim(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	var notHeld *NotHeldError
	held := begin(t, s, claim("k"), Fresh).Held
	if err := held.Dispatch(f.clock.Now()); err != nil {
		t.Fatal(err)
	}
	if err := held.Dispatch(f.clock.Now().Add(time.Hour / dispatchShare)); !errors.As(err, &notHeld) {
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
	begin(t, s, claim("k"), Fresh)
}

// Guards against a call that is dispatched without a claim in an outage, and
// against a completed call that is said not to have run.
func TestOutage(t *testing.T) {
	f := newFixture(t)
	s := f.store("a", f.client)
	held := begin(t, s, claim("large"), Fresh).Held
	if err := held.Complete(context.Background(), Response{Body: make([]byte, inlineBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	f.server.SetFaults(standin.Faults{Down: true})
	var unavailable *UnavailableError
	if _, err := s.Begin(context.Background(), claim("k")); !errors.As(err, &unavailable) {
		t.Fatalf("Begin in an outage: %v", err)
	}
	f.server.SetFaults(standin.Faults{})
	if rows := f.server.Rows(claimPrefix + "w/" + hashOf([]byte("k"))); len(rows) != 0 {
		t.Fatal("a claim was left behind")
	}
	s.objects = missingObjects{}
	var replay *ReplayError
	if _, err := s.Begin(context.Background(), claim("large")); !errors.As(err, &replay) {
		t.Fatalf("Begin with an unreadable response: %v", err)
	}
}

// missingObjects is an object store that has lost everything.
type missingObjects struct{}

func (missingObjects) Put(context.Context, string, []byte) error { return nil }
func (missingObjects) Get(_ context.Context, name string) ([]byte, error) {
	return nil, &platform.NotFoundError{Name: name}
}

// forgetfulTable loses the answer of the first commit that takes effect.
type forgetfulTable struct {
	platform.Table
	once sync.Once
	lost func()
}

func (f *forgetfulTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (uint64, error) {
	revision, err := f.Table.Commit(ctx, c, w)
	f.once.Do(func() {
		f.lost()
		revision, err = 0, &platform.UnknownOutcomeError{Cause: context.Canceled}
	})
	return revision, err
}

// Guards against a caller that leaves while its claim is inserted: the call did
// not run, so its repeat must be able to run.
func TestClaimOfDepartedCallerIsRemoved(t *testing.T) {
	f := newFixture(t)
	ctx, leave := context.WithCancel(context.Background())
	s := f.store("a", &forgetfulTable{Table: f.client, lost: leave})
	var unavailable *UnavailableError
	if _, err := s.Begin(ctx, claim("k")); !errors.As(err, &unavailable) {
		t.Fatalf("Begin: %v", err)
	}
	s.Wait()
	begin(t, f.store("b", f.client), claim("k"), Fresh)
}

// Guards against outcomes that are taken for failures because an answer was
// lost: the write has taken effect.
func TestLostAnswersAreReadBack(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for i, finish := range []func(*HeldClaim) error{
		func(h *HeldClaim) error { return h.Complete(ctx, Response{Status: 200}) },
		func(h *HeldClaim) error { return h.Release(ctx) },
	} {
		s := f.store("a", &forgetfulTable{Table: f.client, lost: func() {}})
		held := begin(t, s, claim(fmt.Sprint(i)), Fresh).Held
		s.table = &forgetfulTable{Table: f.client, lost: func() {}}
		if err := finish(held); err != nil {
			t.Fatal(err)
		}
	}
	begin(t, f.store("b", f.client), claim("0"), Replay)
	begin(t, f.store("b", f.client), claim("1"), Fresh)
}

// Guards against double runs and untruthful answers when hosts race for the same
// keys while answers of the table service are lost.
func TestHostsRunEachCallAtMostOnce(t *testing.T) {
	const hosts, keys, rounds = 6, 12, 4
	f := newFixture(t)
	f.server.SetFaults(standin.Faults{LoseAnswerRatio: 0.4})
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

// callOnce handles one request as a host does; the upstream may refuse the
// connection, answer, or crash.
func callOnce(t *testing.T, s *Store, random *rand.Rand, key string, runs *atomic.Int64) {
	ctx := context.Background()
	result, err := s.Begin(ctx, claim(key))
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
		_ = result.Held.Release(ctx) // a failed release leaves "may have run"
		return
	}
	if runs.Add(1) > 1 {
		t.Errorf("key %s ran twice", key)
	}
	if random.IntN(2) == 0 {
		_ = result.Held.Complete(ctx, Response{Body: []byte(key)}) // same as above
	}
}

// Guards against claims that stay for ever, claims that are swept early, large
// bodies that stay behind, and all hosts sweeping at once.
func TestSweep(t *testing.T) {
	f := newFixture(t)
	hosts := []*Store{f.store("a", f.client), f.store("b", f.client)}
	ctx := context.Background()
	large := begin(t, hosts[0], claim("large"), Fresh).Held
	if err := large.Complete(ctx, Response{Body: make([]byte, inlineBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	for i := range sweepRows + 10 {
		begin(t, hosts[0], claim(fmt.Sprint("old", i)), Fresh)
	}
	f.clock.Advance(time.Hour - 2*sweepInterval)
	kept := begin(t, hosts[1], claim("new"), Fresh).Held
	// One round before and three rounds after the old claims expire.
	var deleted []int
	for range 4 {
		deleted = append(deleted, sweepAll(t, hosts))
		f.clock.Advance(2*sweepInterval + time.Millisecond)
	}
	if deleted[0] != 0 || deleted[1]+deleted[2]+deleted[3] != sweepRows+11 {
		t.Fatalf("deleted per round: %v", deleted)
	}
	if rows := f.server.Rows(claimPrefix); len(rows) != 1 || rows[0].Key != kept.key {
		t.Fatalf("%d rows left", len(rows))
	}
	if body, err := f.client.Get(ctx, large.objectName()); err != nil || len(body) != 0 {
		t.Fatalf("the large body is still stored: %d bytes, %v", len(body), err)
	}
}

// sweepAll lets all hosts sweep; one of them may have the turn. It returns the
// number of claims deleted.
func sweepAll(t *testing.T, hosts []*Store) int {
	t.Helper()
	turns, deleted := 0, 0
	for _, s := range hosts {
		report, err := s.Sweep(context.Background())
		if err != nil || report.Read > sweepRows {
			t.Fatalf("%+v, %v", report, err)
		}
		if report.Acquired {
			turns++
		}
		deleted += report.Deleted
	}
	if turns != 1 {
		t.Fatalf("%d hosts swept in one round", turns)
	}
	return deleted
}
