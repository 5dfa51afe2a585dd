// Package admission decides when a request may be sent to an upstream: it queues
// requests per model, shares the model's slots between workspaces by weight, and
// refuses at once requests that cannot be served by their deadline.
package admission

import (
	"fmt"
	"time"
)

// Priority is the priority class of a request.
type Priority uint8

// Priority classes. While batch requests are waiting, at least one of every
// batchDispatchPeriod dispatches is a batch request.
const (
	Interactive Priority = iota
	Batch
	priorityCount
)

// String returns the name of the class in the configuration.
func (p Priority) String() string {
	if p == Batch {
		return "batch"
	}
	return "interactive"
}

// Policy selects the order in which requests are dispatched.
type Policy string

// Policies. FCFS (first come, first served) is the baseline in experiments: one
// queue per model, regardless of workspace and class.
const (
	Fair Policy = "fair"
	FCFS Policy = "fcfs"
)

// Request describes a request that needs a slot.
type Request struct {
	ID        string
	Model     string
	Workspace string
	Weight    float64 // weight of the workspace in fair sharing; 0 or less counts as 1
	Priority  Priority
	Deadline  time.Time // latest time at which a dispatch is useful; required
	Cost      float64   // expected tokens; 0 or less counts as 1
}

// Outcome is how a dispatched request ended.
type Outcome uint8

// Outcomes. Only Completed requests contribute to the measured service rate.
const (
	Completed Outcome = iota
	Failed
	NotRun // the slot was released without being used
)

// Limits bounds the number of waiting requests.
type Limits struct {
	Waiting             int // of all workspaces
	WaitingPerWorkspace int
}

// DefaultLimits bound the memory of waiting requests: a request holds its body of
// up to 1 MiB, but most bodies are a few KiB.
var DefaultLimits = Limits{Waiting: 8192, WaitingPerWorkspace: 2048}

// QueueFullError reports that a request was refused because too many requests are
// already waiting. The request did not run.
type QueueFullError struct {
	Workspace  string // empty if the limit on all workspaces was reached
	Limit      int
	RetryAfter time.Duration // estimate; 0: unknown
}

// Error implements error.
func (e *QueueFullError) Error() string {
	if e.Workspace == "" {
		return fmt.Sprintf("%d requests are waiting, the limit of this host", e.Limit)
	}
	return fmt.Sprintf("%d requests of workspace %q are waiting, its limit", e.Limit, e.Workspace)
}

// DeadlineError reports that the deadline of a request passed while it waited, or
// cannot be met (Unmeetable). The request did not run.
type DeadlineError struct {
	Unmeetable bool
	Wait       time.Duration // estimated if Unmeetable, else measured
	RetryAfter time.Duration // 0: unknown
}

// Error implements error.
func (e *DeadlineError) Error() string {
	if e.Unmeetable {
		return fmt.Sprintf("the estimated wait of %v goes beyond the deadline", e.Wait)
	}
	return fmt.Sprintf("the deadline passed after a wait of %v", e.Wait)
}

// CanceledError reports that the context of a waiting request ended before the
// request was dispatched. The request did not run.
type CanceledError struct{ Cause error }

// Error implements error.
func (e *CanceledError) Error() string { return fmt.Sprintf("canceled while queued: %v", e.Cause) }

// Unwrap returns the cause of the context's end.
func (e *CanceledError) Unwrap() error { return e.Cause }
