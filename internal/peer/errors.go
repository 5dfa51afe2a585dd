package peer

import "fmt"

// UnknownHostError reports a call to a host that was not passed to SetHosts.
type UnknownHostError struct{ Host string }

// Error implements error.
func (e *UnknownHostError) Error() string { return fmt.Sprintf("host %q is not known", e.Host) }

// UnreachableError reports that a host did not respond. The call may have taken
// effect there.
type UnreachableError struct {
	Host  string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("host %q: %v", e.Host, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RemoteError reports that a host responded with an error.
type RemoteError struct {
	Host  string
	Cause error
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("host %q refused: %v", e.Host, e.Cause) }

// Unwrap returns the cause.
func (e *RemoteError) Unwrap() error { return e.Cause }

// BackoffError reports that a host was not dialled because of the backoff after
// failed dials.
type BackoffError struct{}

// Error implements error.
func (e *BackoffError) Error() string { return "waiting before the next dial" }

// ClosedError reports a call on a closed mesh.
type ClosedError struct{}

// Error implements error.
func (e *ClosedError) Error() string { return "mesh is closed" }

// InvalidMessageError reports a message with a field that is out of bounds.
type InvalidMessageError struct {
	Message string
	Field   string
}

// Error implements error.
func (e *InvalidMessageError) Error() string {
	return fmt.Sprintf("%s: field %s is out of bounds", e.Message, e.Field)
}

// UnhandledError reports a call for which this process has no handler.
type UnhandledError struct{ Call string }

// Error implements error.
func (e *UnhandledError) Error() string { return fmt.Sprintf("call %s is not served", e.Call) }
