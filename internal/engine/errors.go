package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// StaleFenceError reports that the engine refused an order because it has
// already received a higher fencing token. The order had no effect.
type StaleFenceError struct {
	Fence uint64 // highest fencing token that the engine has received
}

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order refused: fencing token is lower than %d", e.Fence)
}

// NoMemoryError reports that the engine refused a load because it has not enough
// memory. The order had no effect.
type NoMemoryError struct{}

// Error implements error.
func (e *NoMemoryError) Error() string { return "order refused: not enough memory" }

// DrainingError reports that the engine refused an order because it is
// draining. The order had no effect.
type DrainingError struct{}

// Error implements error.
func (e *DrainingError) Error() string { return "order refused: engine is draining" }

// NotLoadedError reports that the engine refused to load an adapter because the
// base model is not resident. The order had no effect.
type NotLoadedError struct{}

// Error implements error.
func (e *NotLoadedError) Error() string { return "order refused: base model is not loaded" }

// NotSentError reports that a call certainly did not reach the engine.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("call not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a call failed after it may have reached the
// engine, so that it may have taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// InterruptedError reports that a response ended before it was complete.
type InterruptedError struct{ Cause error }

// Error implements error.
func (e *InterruptedError) Error() string { return fmt.Sprintf("response interrupted: %v", e.Cause) }

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// MismatchError reports a response that carries another request's ID. The
// response is discarded and the connection closed.
type MismatchError struct{ Want, Got string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("response carries request ID %q instead of %q", e.Got, e.Want)
}

// ProtocolError reports a response that violates the engine protocol.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "engine protocol violation: " + e.Detail }

// RefusalNotLoaded is the reason of a 409 response to an inference call whose
// model or adapter is not resident, and to an order for an adapter whose base
// model is not resident.
const RefusalNotLoaded = "not_loaded"

// RefusedError is a response to an inference call with a status other than 200.
type RefusedError struct {
	Status int
	Body   []byte // truncated to maxRefusalBytes
	// Unnamed reports that the response carried no request ID.
	Unnamed bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine responded with status %d", e.Status)
}

// NotLoaded reports whether the engine refused because the model or adapter is
// not resident.
func (e *RefusedError) NotLoaded() bool {
	if e.Status != http.StatusConflict {
		return false
	}
	var refusal OrderRefusal
	err := json.Unmarshal(e.Body, &refusal)
	return err == nil && refusal.Reason == RefusalNotLoaded
}

// NotRun reports whether the request certainly did not run: the model is not
// resident, or the engine is draining and takes no new work. A refusal that names no
// request may belong to an earlier one.
func (e *RefusedError) NotRun() bool {
	if e.Unnamed {
		return false
	}
	return e.NotLoaded() || e.Status == http.StatusServiceUnavailable
}
