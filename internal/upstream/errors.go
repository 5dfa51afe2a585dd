package upstream

import (
	"fmt"
	"strconv"
)

// UnwantedError reports that a request was not sent because its context had ended or
// BeforeSend did not want it any more.
type UnwantedError struct{ Address string }

// Error implements error.
func (e *UnwantedError) Error() string { return "request to " + e.Address + " is no longer wanted" }

// IncompleteResponseError reports that a connection ended before the response was
// complete. The request may have run.
type IncompleteResponseError struct {
	// HeaderReceived reports that the response header had been received.
	HeaderReceived bool
	Cause          error
}

// Error implements error.
func (e *IncompleteResponseError) Error() string { return fmt.Sprintf("answer lost: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// ForeignResponseError reports a response that belongs to another request and that can't be
// skipped.
type ForeignResponseError struct{}

// Error implements error.
func (e *ForeignResponseError) Error() string { return "response to another request" }

// HeaderTooLongError reports a response header of more than Limit bytes.
type HeaderTooLongError struct{ Limit int }

// Error implements error.
func (e *HeaderTooLongError) Error() string {
	return "the response header has more than " + strconv.Itoa(e.Limit) + " bytes"
}

// MalformedResponseError is the cause of an IncompleteResponseError if the upstream sent bytes
// that are no response; it has not lost the connection.
type MalformedResponseError struct{ Cause error }

// Error implements error.
func (e *MalformedResponseError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }
