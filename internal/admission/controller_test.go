package admission

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

// maxLateness is the latest a waiting request may end after its deadline.
const maxLateness = 500 * time.Millisecond

func newController() *Controller {
	return NewController(clock.System{}, Fair, DefaultLimits, prometheus.NewRegistry())
}

func requestWithin(wait time.Duration) Request {
	return Request{Model: "m", Workspace: "w", Deadline: time.Now().Add(wait)}
}

// Guards against waiting requests that never end.
func TestWaitingRequestExpires(t *testing.T) {
	c := newController()
	begin := time.Now()
	_, err := c.Admit(context.Background(), requestWithin(50*time.Millisecond))
	var deadline *DeadlineError
	if !errors.As(err, &deadline) || deadline.Unmeetable {
		t.Fatalf("got %v, want a DeadlineError of a passed deadline", err)
	}
	if waited := time.Since(begin); waited > 50*time.Millisecond+maxLateness {
		t.Fatalf("expired after %v", waited)
	}
}

// Guards against a timer that stays set to a later deadline.
func TestEarlierDeadlineOfLaterRequest(t *testing.T) {
	c := newController()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = c.Admit(ctx, requestWithin(time.Minute)) }()
	for count := 0; count == 0; count, _ = c.Waiting("m") {
		time.Sleep(time.Millisecond)
	}
	begin := time.Now()
	if _, err := c.Admit(ctx, requestWithin(20*time.Millisecond)); err == nil || time.Since(begin) > 20*time.Millisecond+maxLateness {
		t.Fatalf("got %v after %v", err, time.Since(begin))
	}
}

// Guards against canceled requests that keep their slot or place in the queue.
func TestCanceledRequestLeavesQueue(t *testing.T) {
	c := newController()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := c.Admit(ctx, requestWithin(time.Minute))
	var canceled *CanceledError
	if !errors.As(err, &canceled) || !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want a canceled request", err)
	}
	if count, deadline := c.Waiting("m"); count != 0 || !deadline.IsZero() {
		t.Fatalf("%d requests still wait, earliest deadline %v", count, deadline)
	}
}

// Guards against a lost wake-up when capacity is added, and against a slot that is
// released twice.
func TestCapacityWakesWaiter(t *testing.T) {
	c := newController()
	time.AfterFunc(10*time.Millisecond, func() { c.SetCapacity("m", 1) })
	ticket, err := c.Admit(context.Background(), requestWithin(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if ticket.Wait() <= 0 {
		t.Fatal("the wait was not measured")
	}
	ticket.Done(Completed)
	ticket.Done(Completed)
	if inFlight := c.Dump().Models[0].InFlight; inFlight != 0 {
		t.Fatalf("%d in flight", inFlight)
	}
}

// Guards against a leaked slot when the context ends at the same moment as the
// request is dispatched.
func TestDispatchAfterCancelReleasesSlot(t *testing.T) {
	c := newController()
	w, err := c.scheduler.Submit(time.Now(), requestWithin(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	w.ready = make(chan struct{})
	c.SetCapacity("m", 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.wait(ctx, w); err == nil {
		t.Fatal("a canceled caller got a ticket")
	}
	if inFlight := c.Dump().Models[0].InFlight; inFlight != 0 {
		t.Fatalf("%d in flight", inFlight)
	}
}

func BenchmarkEnterWithoutWaiting(b *testing.B) {
	c := newController()
	c.SetCapacity("m", 1<<30)
	r := requestWithin(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := c.Admit(context.Background(), r)
			if err != nil {
				b.Fatal(err)
			}
			ticket.Done(Completed)
		}
	})
}

func BenchmarkRefuse(b *testing.B) {
	c := NewController(clock.System{}, Fair, Limits{}, prometheus.NewRegistry())
	r := requestWithin(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Admit(context.Background(), r); err == nil {
			b.Fatal("not refused")
		}
	}
}
