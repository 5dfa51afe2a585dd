package admission

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request returns a request of model m with a deadline one hour after the start.
func request(workspace string, priority Priority) Request {
	return Request{Model: "m", Workspace: workspace, Priority: priority, Deadline: start.Add(time.Hour)}
}

// newFullScheduler returns a scheduler with one slot, and the request that uses it.
func newFullScheduler(t *testing.T, policy Policy) (*Scheduler, *Waiter) {
	t.Helper()
	s := NewScheduler(policy, DefaultLimits)
	s.SetCapacity(start, "m", 1)
	return s, submit(t, s, request("first", Interactive))
}

func submit(t *testing.T, s *Scheduler, r Request) *Waiter {
	t.Helper()
	w, err := s.Submit(start, r)
	if err != nil {
		t.Fatalf("Submit: %v", err)
	}
	return w
}

// dispatchOrder finishes requests one by one and returns the workspaces in the
// order of dispatch.
func dispatchOrder(t *testing.T, s *Scheduler, running *Waiter, count int) []string {
	t.Helper()
	workspaces, _ := dispatchNext(t, s, running, count)
	return workspaces
}

// dispatchNext is like dispatchOrder and also returns the last request dispatched.
func dispatchNext(t *testing.T, s *Scheduler, running *Waiter, count int) ([]string, *Waiter) {
	t.Helper()
	var workspaces []string
	for range count {
		decided := s.Finish(start, running, Failed)
		if len(decided) != 1 || decided[0].State() != Dispatched {
			t.Fatalf("a free slot must dispatch one request, got %v", decided)
		}
		running = decided[0]
		workspaces = append(workspaces, running.Request().Workspace)
	}
	return workspaces, running
}

// Guards against starvation of batch requests under interactive load, and against
// batch requests that get more than their share.
func TestBatchGetsOneOfEightDispatches(t *testing.T) {
	s, running := newFullScheduler(t, Fair)
	for range 64 {
		submit(t, s, request("interactive", Interactive))
	}
	for range 8 {
		submit(t, s, request("batch", Batch))
	}
	for i, workspace := range dispatchOrder(t, s, running, 64) {
		wantBatch := i%batchDispatchPeriod == batchDispatchPeriod-1
		if (workspace == "batch") != wantBatch {
			t.Fatalf("dispatch %d went to %s", i, workspace)
		}
	}
}

// Guards against a burst of one workspace that delays a request of another one.
func TestBurstDoesNotDelayOtherWorkspace(t *testing.T) {
	s, running := newFullScheduler(t, Fair)
	for range 100 {
		submit(t, s, request("burst", Interactive))
	}
	submit(t, s, request("small", Interactive))
	if got := dispatchOrder(t, s, running, 2); got[0] != "small" && got[1] != "small" {
		t.Fatalf("first dispatches: %v", got)
	}
}

// Guards against an FCFS baseline that shares fairly by accident.
func TestFCFSKeepsOrderOfArrival(t *testing.T) {
	s, running := newFullScheduler(t, FCFS)
	want := []string{"a", "b", "a", "a", "c", "b"}
	for i, workspace := range want {
		submit(t, s, request(workspace, Priority(i%int(priorityCount))))
	}
	if got := dispatchOrder(t, s, running, len(want)); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("order %v, want %v", got, want)
	}
}

// Guards against charging a workspace for requests that were canceled.
func TestCancelIsNotCharged(t *testing.T) {
	s, running := newFullScheduler(t, Fair)
	for range 10 {
		w := submit(t, s, request("a", Interactive))
		if !s.Cancel(w) || s.Cancel(w) {
			t.Fatal("a waiting request must be cancelable exactly once")
		}
	}
	submit(t, s, request("a", Interactive))
	submit(t, s, request("b", Interactive))
	if got := dispatchOrder(t, s, running, 1); got[0] != "a" {
		t.Fatalf("dispatched %v, want a, which arrived first", got)
	}
}

// Guards against a workspace that accumulates credit while it is idle.
func TestIdleTimeGivesNoCredit(t *testing.T) {
	s, running := newFullScheduler(t, Fair)
	for range 60 {
		submit(t, s, request("steady", Interactive))
	}
	_, running = dispatchNext(t, s, running, 40)
	for range 10 {
		submit(t, s, request("idle before", Interactive))
	}
	served := 0
	for _, workspace := range dispatchOrder(t, s, running, 10) {
		if workspace == "steady" {
			served++
		}
	}
	if served < 4 {
		t.Fatalf("the steady workspace got %d of 10 dispatches", served)
	}
}

// Guards against queueing requests that cannot be served in time, and against
// refusals without a measurement.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	s := NewScheduler(Fair, DefaultLimits)
	r := request("a", Interactive)
	r.Deadline = start.Add(time.Second)
	submit(t, s, r) // the load time is unknown, so the request may wait
	s.SetExpectedReady("m", start.Add(5*time.Second))
	_, err := s.Submit(start, r)
	var deadline *DeadlineError
	if !errors.As(err, &deadline) || !deadline.Unmeetable || deadline.Wait != 5*time.Second {
		t.Fatalf("got %v, want an unmeetable deadline with a wait of 5 s", err)
	}
	if deadline.RetryAfter != 4*time.Second {
		t.Fatalf("RetryAfter %v, want 4 s", deadline.RetryAfter)
	}
}

// Guards against an estimate that ignores the measured service rate.
func TestEstimateFollowsServiceRate(t *testing.T) {
	s, running := newFullScheduler(t, Fair)
	for range 3 {
		submit(t, s, request("a", Interactive))
	}
	// One second per request; two requests are ahead of the new one.
	s.Finish(start.Add(time.Second), running, Completed)
	r := request("a", Interactive)
	r.Deadline = start.Add(time.Second + 2400*time.Millisecond)
	_, err := s.Submit(start.Add(time.Second), r)
	var deadline *DeadlineError
	if !errors.As(err, &deadline) || deadline.Wait != 2500*time.Millisecond {
		t.Fatalf("got %v, want an estimated wait of 2.5 s", err)
	}
}

// Guards against an estimate that ignores workspaces which are served as fast as
// their requests arrive, and so rarely have requests in the queue.
func TestEstimateFollowsDispatchRate(t *testing.T) {
	s, running := newFullScheduler(t, Fair)
	now := start
	for range 30 {
		submit(t, s, request("burst", Interactive))
	}
	for range 20 {
		submit(t, s, request("steady", Interactive))
		now = now.Add(time.Second)
		running = s.Finish(now, running, Completed)[0]
	}
	// The burst gets every other second: about 20 requests take 40 s.
	r := request("burst", Interactive)
	r.Deadline = now.Add(30 * time.Second)
	_, err := s.Submit(now, r)
	var deadline *DeadlineError
	if !errors.As(err, &deadline) || deadline.Wait < 35*time.Second || deadline.Wait > 45*time.Second {
		t.Fatalf("got %v, want an estimated wait of about 40 s", err)
	}
}

// Guards against unbounded queues, and against one workspace that fills the queue.
func TestLimits(t *testing.T) {
	s := NewScheduler(Fair, Limits{Waiting: 3, WaitingPerWorkspace: 2})
	submit(t, s, request("a", Interactive))
	submit(t, s, request("a", Interactive))
	var full *QueueFullError
	if _, err := s.Submit(start, request("a", Interactive)); !errors.As(err, &full) || full.Workspace != "a" {
		t.Fatalf("got %v, want the workspace's limit", err)
	}
	submit(t, s, request("b", Interactive))
	if _, err := s.Submit(start, request("c", Interactive)); !errors.As(err, &full) || full.Workspace != "" {
		t.Fatalf("got %v, want the host's limit", err)
	}
}

// Guards against memory use that grows with the number of workspaces ever seen.
func TestIdleFlowsAreDropped(t *testing.T) {
	s, _ := newFullScheduler(t, Fair)
	s.SetCapacity(start, "m", 2)
	for i := range 10 * maxIdleFlows {
		w := submit(t, s, request(fmt.Sprint("w", i), Interactive))
		s.Finish(start, w, Completed)
	}
	if flows := len(s.queues["m"].classes[Interactive].flows); flows > maxIdleFlows+1 {
		t.Fatalf("%d flows kept", flows)
	}
}
