// Package idempotency makes sure that a call with an idempotency key runs at
// most once across all hosts. A host inserts a claim row before it dispatches
// the call, and stores the response in it afterwards.
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
	// MaxKeyBytes bounds idempotency keys.
	MaxKeyBytes = 255
	// inlineBodyBytes is the largest body stored in the row itself.
	inlineBodyBytes = 64 << 10
	// MaxBodyBytes is the largest response body that is stored. A repeat of a
	// call with a larger response is refused as "may have run".
	MaxBodyBytes = 16 << 20
	// MinRetention replaces shorter retentions. Half of it must exceed the
	// longest deadline, or the claim of a running call could be swept.
	MinRetention = 10 * time.Minute
)

// ClaimRequest asks for the right to run one call.
type ClaimRequest struct {
	Workspace   string
	Key         string // the caller's Idempotency-Key
	Fingerprint string // of method, path and body
	RequestID   string
	Retention   time.Duration // how long repeats are recognized; at least MinRetention
}

// Response is what a repeat of a completed call is answered with.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// Kind says what a call may do.
type Kind string

// Kinds of results.
const (
	Fresh              Kind = "fresh"               // dispatch, then Complete or Release
	Replay             Kind = "replay"              // answer with the stored response
	InProgress         Kind = "in_progress"         // started before, outcome unknown: may have run
	FingerprintDiffers Kind = "fingerprint_differs" // the key belongs to another call
)

// Result is the outcome of Begin.
type Result struct {
	Kind     Kind
	Held     *HeldClaim // set for Fresh
	Response *Response  // set for Replay
	Owner    string     // incarnation of the host that started the call
	Started  time.Time  // when the call was started, by the owner's wall clock
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
	// Attempt tells apart calls of Begin with equal request IDs, which callers
	// may cause.
	Attempt   uint64          `json:"attempt"`
	StartedMS int64           `json:"started_ms"` // wall clock
	ExpiresMS int64           `json:"expires_ms"` // wall clock
	Response  *storedResponse `json:"response,omitempty"`
}

// storedResponse holds the body inline or names its object.
type storedResponse struct {
	Response
	Object string `json:"object,omitempty"`
	SHA256 string `json:"sha256,omitempty"` // of the object
	// Omitted: the body was larger than MaxBodyBytes.
	Omitted bool `json:"omitted,omitempty"`
}

// sameOwner reports whether two values come from the same call of Begin.
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

// Fingerprint identifies a call by method, path and body. A repeat with the same
// key must have the same fingerprint.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	// Lengths mark the borders of method and path; writing to a hash never fails.
	_, _ = fmt.Fprintf(digest, "%d %s %d %s ", len(method), method, len(path), path)
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// rowKey returns the key of a claim row. Its last part has a fixed length and no
// slash, so that slashes in workspace names cannot make two keys equal.
func rowKey(workspace, key string) string {
	return claimPrefix + workspace + "/" + hashOf([]byte(key))
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// InvalidKeyError reports an idempotency key that cannot be used.
type InvalidKeyError struct{ Bytes int }

// Error implements error.
func (e *InvalidKeyError) Error() string {
	return fmt.Sprintf("an idempotency key has 1 to %d bytes, not %d", MaxKeyBytes, e.Bytes)
}

// UnavailableError reports that no claim could be obtained because the table
// service gave no answer. The call was not dispatched and must not be.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no claim obtained: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ReplayError reports that the call has completed before, but its response
// cannot be read now. A refusal must not say "not run".
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

// NotHeldError reports an operation on a claim that this call does not hold, or
// holds no longer: it was completed, released, swept, or is too old to dispatch.
type NotHeldError struct{ Key, Reason string }

// Error implements error.
func (e *NotHeldError) Error() string { return fmt.Sprintf("claim %q not held: %s", e.Key, e.Reason) }

// StorageError reports that a response or a release could not be recorded. The
// claim then stays "started", and repeats are refused as "may have run".
type StorageError struct {
	Operation string // "complete" or "release"
	Cause     error
}

// Error implements error.
func (e *StorageError) Error() string { return fmt.Sprintf("%s claim: %v", e.Operation, e.Cause) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Cause }
