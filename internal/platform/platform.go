// Package platform is the client of the platform: its transactional table service,
// its object store and its host list, which lags behind changes. To support another
// platform, implement the interfaces in this file.
package platform

import (
	"context"
	"fmt"
)

// Row is one row of the table service. Revision is the revision of the commit
// that last wrote the row; 0 means that the row is absent.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// GenerationBits is the number of low bits of a revision that count commits. The bits
// above count how often the service has come back from an older copy, from which rows keep
// their revisions: what it has lost shares no revision with what is written afterwards.
const GenerationBits = 40

// Condition is a precondition of a commit: the current revision of the row must
// equal Revision. Revision 0 requires the row to be absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Read returns the row, with Revision 0 when it is absent.
	Read(ctx context.Context, key string) (Row, error)
	// Range returns up to limit rows whose keys start with prefix and sort
	// after the key given, in key order.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes atomically if all conditions hold. The
	// revision returned is unique and greater than that of any earlier
	// commit, also of one that the service has lost because it came back
	// from an older copy (see GenerationBits): conditions and fencing
	// tokens rely on it. It returns *ConflictError when a condition failed,
	// *UnavailableError when nothing was written, and *UnknownOutcomeError
	// when the writes may or may not have taken effect.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error)
}

// ObjectStore stores objects by name.
type ObjectStore interface {
	// Put stores an object under a name.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns *NotFoundError when the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// HostList is the platform's list of hosts and upstreams. It lags behind changes:
// the absence of an entry does not prove that its process has ended.
type HostList interface {
	// List returns the current entries, which may be outdated.
	List(ctx context.Context) ([]HostEntry, error)
}

// Kinds and states of HostEntry.
const (
	KindEngine  = "engine"
	KindService = "service"
	KindEntry   = "entry"

	StateLive    = "live"
	StateLeaving = "leaving"
)

// HostEntry is one host or upstream in the host list.
type HostEntry struct {
	Address    string `json:"address"` // "IP:port"
	Kind       string `json:"kind"`
	Service    string `json:"service,omitempty"`
	DataCenter string `json:"data_center"`
	State      string `json:"state"`
}

// ConflictError reports that a condition of a commit did not hold. Nothing was
// written.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on rows %q", e.Keys) }

// UnknownOutcomeError reports that a write may or may not have taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports that the platform could not be reached or refused
// the call before it took effect.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotFoundError reports that an object does not exist.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Name) }

// ProtocolError reports a response that violates the platform's protocol.
type ProtocolError struct{ Detail string }

// Error implements error.
func (e *ProtocolError) Error() string { return "platform protocol: " + e.Detail }
