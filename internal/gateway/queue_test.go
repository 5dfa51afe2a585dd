package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// queueFixture is a gateway with the plain service "s" of upstreams with two slots, and the
// routes "urgent" and "patient". Nothing is sent to the upstreams.
type queueFixture struct {
	*Gateway
	config *catalog.Config
	routes map[string]*catalog.Route
}

func newQueueFixture(upstreams ...string) *queueFixture {
	f := &queueFixture{routes: map[string]*catalog.Route{
		"urgent": {
			Name: "urgent", Kind: catalog.Safe, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, MaxUpstreams: 1,
			Targets: []catalog.Target{{Service: "s"}},
		},
		"patient": {
			Name: "patient", Kind: catalog.Safe, Timeout: 10 * time.Second, Objective: 3 * time.Second, Priority: 2, MaxUpstreams: 1,
			Targets: []catalog.Target{{Service: "s"}},
		},
	}}
	f.config = catalog.NewConfig(1, []*catalog.Route{f.routes["urgent"], f.routes["patient"]}, []*catalog.Service{{Name: "s"}}, catalog.Limits{})
	f.Gateway = New(Options{
		Settings: DefaultSettings(), Log: logr.Discard(),
		Engines: func(func(*catalog.Upstream, call.Statement)) coordinator.Engines { return nil },
		DecodeUpstream: func(row table.Row) (*catalog.Upstream, error) {
			return &catalog.Upstream{ID: row.Key, Service: "s", Address: row.Key + ":1", StartedMS: row.Revision, Slots: 2}, nil
		},
	})
	for _, id := range upstreams {
		f.registry.Apply(table.Change{Rows: []table.Row{{Key: id, Revision: 1}}})
	}
	return f
}

// dispatcher returns the dispatcher of a new request.
func (f *queueFixture) dispatcher(ctx context.Context, route string) *dispatcher {
	r := f.routes[route]
	in := &inbound{
		gateway: f.Gateway, httpRequest: httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), startedAt: time.Now(),
		request: &call.Request{ID: route}, config: f.config, route: r, service: f.config.Services["s"], deadline: time.Now().Add(r.Timeout),
	}
	return &dispatcher{inbound: in, ctx: ctx, tried: map[string]bool{}}
}

// begin begins a run as soon as there is a slot. The returned function ends the run.
func (f *queueFixture) begin(d *dispatcher) (end func(), refused *refusal) {
	candidate, refused := d.selectUpstream()
	if refused != nil {
		return nil, refused
	}
	return d.trackSend(candidate.Upstream.ID), nil
}

// fill takes all slots of an upstream.
func (f *queueFixture) fill(t *testing.T, slots int) (ends []func()) {
	t.Helper()
	for range slots {
		end, refused := f.begin(f.dispatcher(context.Background(), "urgent"))
		if refused != nil {
			t.Fatal(refused.reason)
		}
		ends = append(ends, end)
	}
	return ends
}

func (f *queueFixture) waitQueued(t *testing.T, count int64) {
	t.Helper()
	for range 1000 {
		if f.slots.count.Load() == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d requests wait, want %d", f.slots.count.Load(), count)
}

// Guards against two requests in one slot, and against slots that no request gets although
// some wait.
func TestSlotsAreTakenOnce(t *testing.T) {
	f := newQueueFixture("a", "b")
	var group conc.WaitGroup
	for range 40 {
		group.Go(func() {
			end, refused := f.begin(f.dispatcher(context.Background(), "patient"))
			if refused != nil {
				t.Errorf("refused: %s", refused.reason)
				return
			}
			for _, c := range f.registry.Candidates("s", "", "") {
				if c.Load > 2 {
					t.Errorf("%d requests in 2 slots", c.Load)
				}
			}
			time.Sleep(5 * time.Millisecond)
			end()
		})
	}
	group.Wait()
	if running := f.registry.RunningCounts(); len(running) != 0 || f.slots.hasWaiting() {
		t.Errorf("still running: %v", running)
	}
}

// Guards against patient requests that go before urgent ones, and against requests of callers
// that left and keep their place.
func TestUrgentRequestGoesFirst(t *testing.T) {
	f := newQueueFixture("a")
	ends := f.fill(t, 2)
	order := make(chan string, 3)
	ctx, leave := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for i, route := range []string{"patient", "urgent", "urgent"} {
		caller := context.Background()
		if i == 2 {
			caller = ctx
		}
		group.Go(func() {
			end, refused := f.begin(f.dispatcher(caller, route))
			if refused != nil {
				order <- fmt.Sprint(refused.reason)
				return
			}
			order <- route
			end()
		})
		f.waitQueued(t, int64(i+1))
	}
	leave()
	if got := <-order; got != reasonCallerGone {
		t.Errorf("%s, want a refusal of the caller that left", got)
	}
	f.waitQueued(t, 2)
	ends[0]()
	if first, second := <-order, <-order; first != "urgent" || second != "patient" {
		t.Errorf("order %s, %s", first, second)
	}
	group.Wait()
	ends[1]()
}

// Guards against holding requests because of counts of other hosts that are no longer told,
// and against using them while they are.
func TestOldCountsOfOtherHosts(t *testing.T) {
	f := newQueueFixture("a")
	f.registry.ApplyExchange(&coordinator.ExchangeReply{Running: []coordinator.RunningCount{{Upstream: "a", Count: 9}}})
	f.exchanger.reachedAt.Store(int64(clock.SinceBoot()))
	for range 5 { // service times are known
		d := f.dispatcher(context.Background(), "urgent")
		d.sentAt = time.Now().Add(-time.Second)
		f.slots.recordRun(d)
	}
	held := make(chan *refusal, 1)
	started := time.Now()
	go func() {
		end, refused := f.begin(f.dispatcher(context.Background(), "patient"))
		if refused == nil {
			end()
		}
		held <- refused
	}()
	f.waitQueued(t, 1)
	if refused := <-held; refused != nil || time.Since(started) < reachedTimeout/2 || time.Since(started) > 2*reachedTimeout {
		t.Errorf("%v after %v, want a slot once the counts are %v old", refused, time.Since(started), reachedTimeout)
	}
}

// Guards against requests that wait for ever for slots of an upstream that crashed, or are not
// passed on when it is back.
func TestSlotsComeBackAfterACrash(t *testing.T) {
	f := newQueueFixture("a")
	ends := f.fill(t, 2)
	results := make(chan *refusal, 2)
	wait := func(count int64) {
		go func() {
			end, refused := f.begin(f.dispatcher(context.Background(), "urgent"))
			if refused == nil {
				end()
			}
			results <- refused
		}()
		f.waitQueued(t, count)
	}
	wait(1)
	f.registry.Apply(table.Change{Rows: []table.Row{{Key: "a", Deleted: true}}})
	if refused := <-results; refused == nil || refused.reason != "no upstream" {
		t.Errorf("%v, want a refusal: no upstream is left", refused)
	}
	f.registry.Apply(table.Change{Rows: []table.Row{{Key: "a", Revision: 2}}})
	wait(1)
	for _, end := range ends { // the runs that the crash ended
		end()
	}
	if refused := <-results; refused != nil {
		t.Errorf("refused although the upstream is back: %s", refused.reason)
	}
}

// Guards against a request that can't be served in time and is held until its deadline, or
// gets a constant Retry-After.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	f := newQueueFixture("a")
	f.fill(t, 2)
	for range 5 {
		d := f.dispatcher(context.Background(), "urgent")
		d.sentAt = time.Now().Add(-8 * time.Second)
		f.slots.recordRun(d)
	}
	started := time.Now()
	_, refused := f.begin(f.dispatcher(context.Background(), "urgent"))
	if refused == nil || refused.status != http.StatusServiceUnavailable || time.Since(started) > 500*time.Millisecond {
		t.Fatalf("%+v after %v", refused, time.Since(started))
	}
	if refused.retryAfter < 3900*time.Millisecond || refused.retryAfter > 4100*time.Millisecond {
		t.Errorf("Retry-After %v, want 4 s: two slots, each free every 8 s", refused.retryAfter)
	}
}

// Guards against flooding an upstream that refuses for lack of room what this host takes for
// free, because it does not know of other hosts' requests.
func TestUpstreamThatRefusedCountsAsFull(t *testing.T) {
	f := newQueueFixture("a", "b")
	d := f.dispatcher(context.Background(), "urgent")
	f.slots.recordFull(d, "a", 2)
	for range 2 {
		if candidate, refused := f.dispatcher(context.Background(), "urgent").selectUpstream(); refused != nil || candidate.Upstream.ID != "b" {
			t.Fatalf("%+v %v, want b", candidate, refused)
		}
	}
	time.Sleep(maxFullTime)
	if candidate, refused := f.dispatcher(context.Background(), "urgent").selectUpstream(); refused != nil || candidate.Upstream.ID != "a" {
		t.Errorf("%+v %v, want a again", candidate, refused)
	}
}

// Guards against an engine priority that leaves patient requests behind all others when their
// time is nearly up, or that puts them before urgent ones while it is not.
func TestEnginePriorityFollowsSlack(t *testing.T) {
	f := newQueueFixture("a")
	for _, c := range []struct {
		route   string
		waited  time.Duration
		urgency int
	}{{"urgent", 0, 0}, {"patient", 0, 2}, {"patient", 2 * time.Second, 2}, {"patient", 2700 * time.Millisecond, 0}} {
		d := f.dispatcher(context.Background(), c.route)
		d.startedAt = d.startedAt.Add(-c.waited)
		if got := d.urgency(); got != c.urgency {
			t.Errorf("%s after %v: urgency %d, want %d", c.route, c.waited, got, c.urgency)
		}
	}
}
