// Package idempotency ensures that a call with an idempotency key runs at most once
// across all hosts. A host inserts a claim row before it dispatches the call, and
// stores the response in the row afterwards.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

const (
	claimPrefix  = "claim/"
	objectPrefix = "claim-"
	// MaxKeyBytes is the maximum size of an idempotency key.
	MaxKeyBytes = 255
	// inlineBodyBytes is the maximum size of a body stored in the row itself.
	inlineBodyBytes = 64 << 10
	// MaxBodyBytes is the maximum size of a response body that is stored. A repeat
	// of a call with a larger response is refused as "may have run".
	MaxBodyBytes = 16 << 20
	// MinRetention is the minimum retention; shorter ones are raised to it. Half
	// of it must exceed the longest deadline, or the claim of a running call
	// could be swept.
	MinRetention = 10 * time.Minute
)

// ClaimRequest describes a call that is to be claimed.
type ClaimRequest struct {
	Workspace   string
	Key         string // value of the Idempotency-Key header
	Fingerprint string // from function Fingerprint
	RequestID   string
	Retention   time.Duration // how long repeats are recognized; at least MinRetention
}

// Response is the stored response with which repeats of a call are answered.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Kind is the kind of a Result.
type Kind string

// Kinds of results.
const (
	Fresh              Kind = "fresh"               // this call holds the claim: dispatch, then Complete or Release
	Replay             Kind = "replay"              // answer with the stored response
	InProgress         Kind = "in_progress"         // started before, outcome unknown: may have run
	FingerprintDiffers Kind = "fingerprint_differs" // the key was used for another call
)

// Result is the result of Begin.
type Result struct {
	Kind     Kind
	Held     *HeldClaim // set for Fresh
	Response *Response  // set for Replay
	Owner    string     // incarnation of the host that started the call
	Started  time.Time  // time of the start by the owner's wall clock
}

// States of a claim row.
const (
	stateStarted   = "started"
	stateCompleted = "completed"
)

// claimRow is the value of a claim row.
type claimRow struct {
	State       string `json:"state"`
	Fingerprint string `json:"fingerprint"`
	RequestID   string `json:"request_id"`
	Incarnation string `json:"incarnation"`
	// Attempt distinguishes calls of Begin with equal request IDs, which callers
	// can cause.
	Attempt   uint64          `json:"attempt"`
	StartedMS int64           `json:"started_ms"` // wall clock
	ExpiresMS int64           `json:"expires_ms"` // wall clock
	Response  *storedResponse `json:"response,omitempty"`
}

// storedResponse holds the body inline, or the name of the object with the body.
type storedResponse struct {
	Response
	Object string `json:"object,omitempty"`
	SHA256 string `json:"sha256,omitempty"` // of the object
	// Omitted: the body exceeded MaxBodyBytes and was not stored.
	Omitted bool `json:"omitted,omitempty"`
}

// sameOwner reports whether two rows come from the same call of Begin.
func (r *claimRow) sameOwner(other *claimRow) bool {
	return r.Incarnation == other.Incarnation && r.RequestID == other.RequestID && r.Attempt == other.Attempt
}

func (r *claimRow) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &EncodingError{Cause: err}
	}
	return data, nil
}

func decodeRow(key string, data []byte) (*claimRow, error) {
	row := &claimRow{}
	if err := json.Unmarshal(data, row); err != nil {
		return nil, &CorruptClaimError{Key: key, Cause: err}
	}
	return row, nil
}

// Fingerprint returns a hash of method, path and body. A repeat with the same key
// must have the same fingerprint.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	// The lengths delimit method and path; writing to a hash never fails.
	_, _ = fmt.Fprintf(digest, "%d %s %d %s ", len(method), method, len(path), path)
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// rowKey returns the key of a claim row. Its last part has a fixed length and no
// slash, so that slashes in workspace names cannot make two keys equal.
func rowKey(workspace, key string) string {
	return claimPrefix + workspace + "/" + sha256Hex([]byte(key))
}

func sha256Hex(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// InvalidKeyError reports an idempotency key of invalid length.
type InvalidKeyError struct{ Bytes int }

// Error implements error.
func (e *InvalidKeyError) Error() string {
	return fmt.Sprintf("an idempotency key has 1 to %d bytes, not %d", MaxKeyBytes, e.Bytes)
}

// UnavailableError reports that no claim could be obtained because the table
// service did not answer. The call was not dispatched and must not be.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no claim obtained: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ReplayError reports that the call has completed before, but its response cannot
// be read. The caller must not be told that the call did not run.
type ReplayError struct{ Cause error }

// Error implements error.
func (e *ReplayError) Error() string { return fmt.Sprintf("stored response unreadable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ReplayError) Unwrap() error { return e.Cause }

// CorruptClaimError reports a claim row that cannot be decoded. The call may
// have run.
type CorruptClaimError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptClaimError) Error() string { return fmt.Sprintf("claim row %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptClaimError) Unwrap() error { return e.Cause }

// EncodingError reports a value that cannot be stored.
type EncodingError struct{ Cause error }

// Error implements error.
func (e *EncodingError) Error() string { return fmt.Sprintf("encode claim: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// NotHeldError reports an operation on a claim that is no longer held: it was
// completed, released or swept, or its dispatch deadline has passed.
type NotHeldError struct{ Key, Reason string }

// Error implements error.
func (e *NotHeldError) Error() string { return fmt.Sprintf("claim %q not held: %s", e.Key, e.Reason) }

// StorageError reports that a response or a release could not be stored. The claim
// remains in state "started", and repeats are refused as "may have run".
type StorageError struct {
	Operation string // "complete" or "release"
	Cause     error
}

// Error implements error.
func (e *StorageError) Error() string { return fmt.Sprintf("%s claim: %v", e.Operation, e.Cause) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Cause }
