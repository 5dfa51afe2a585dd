package quota

import (
	"fmt"
	"time"
)

// UnknownWorkspaceError reports a workspace that is not in the current
// configuration.
type UnknownWorkspaceError struct{ Workspace string }

// Error implements error.
func (e *UnknownWorkspaceError) Error() string {
	return fmt.Sprintf("workspace %q has no allowance", e.Workspace)
}

// ExceedsBurstError reports a cost above the workspace's burst, which can never be
// covered.
type ExceedsBurstError struct {
	Workspace string
	Tokens    float64
	Burst     float64 // tokens
}

// Error implements error.
func (e *ExceedsBurstError) Error() string {
	return fmt.Sprintf("cost of %g tokens exceeds the burst of %g of workspace %q", e.Tokens, e.Burst, e.Workspace)
}

// ShortfallError reports that the tokens available at the host do not cover a cost.
type ShortfallError struct {
	Workspace string
	Missing   float64 // tokens
}

// Error implements error.
func (e *ShortfallError) Error() string {
	return fmt.Sprintf("workspace %q lacks %g tokens at this host", e.Workspace, e.Missing)
}

// RateLimitedError reports that the tokens for a request are not expected before its
// deadline.
type RateLimitedError struct {
	Workspace  string
	RetryAfter time.Duration // expected wait for the tokens; 0 if unknown
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("workspace %q has used up its rate; retry after %v", e.Workspace, e.RetryAfter)
}

// InvalidCostError reports a cost that is negative, infinite or not a number.
type InvalidCostError struct{ Tokens float64 }

// Error implements error.
func (e *InvalidCostError) Error() string { return fmt.Sprintf("invalid cost of %g tokens", e.Tokens) }

// ClosedError reports that the limiter has been closed.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "limiter is closed" }

// SlotRecordError reports a slot record that cannot be decoded or encoded.
type SlotRecordError struct {
	Slot  int
	Cause error
}

// Error implements error.
func (e *SlotRecordError) Error() string { return fmt.Sprintf("slot %d: %v", e.Slot, e.Cause) }

// Unwrap returns the cause.
func (e *SlotRecordError) Unwrap() error { return e.Cause }

// HeadRecordError reports that the record of the newest configuration version cannot
// be decoded.
type HeadRecordError struct{ Cause error }

// Error implements error.
func (e *HeadRecordError) Error() string { return fmt.Sprintf("configuration head: %v", e.Cause) }

// Unwrap returns the cause.
func (e *HeadRecordError) Unwrap() error { return e.Cause }
