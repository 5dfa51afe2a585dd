// Package table defines access to the platform's table service, which offers rows with
// revisions, conditional writes and a change feed, and replicates its tables between hosts.
package table

import (
	"context"
	"fmt"
	"time"
)

// Row is one row of a table.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`          // increases with each change, across all tables
	Deleted  bool   `json:"deleted,omitempty"` // in change feeds only
}

// Position is a point in the history of the table service. When the service comes back from
// an older copy of its content, its generation increases, and it assigns the revisions since
// that copy again: revisions of different generations can't be compared.
type Position struct {
	Generation int64 `json:"generation,omitempty"` // 0: the service states none
	Revision   int64 `json:"revision"`
}

// Before reports whether p is an earlier point than q.
func (p Position) Before(q Position) bool {
	if p.Generation != q.Generation {
		return p.Generation < q.Generation
	}
	return p.Revision < q.Revision
}

// Page is the content or the changes of a table as of a position.
type Page struct {
	Rows []Row
	Position
}

// Reader reads and watches tables.
type Reader interface {
	// Read returns all rows of a table, as of one generation.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the changes after a revision. If there are none, it waits up to wait
	// for one. It returns a HistoryGoneError if the changes are no longer available. The page
	// has the generation of the service at that time, which may be a later one than that of
	// the revision.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Write is one row of a conditional write.
type Write struct {
	Key      string
	Expected int64  // revision that the row must have; 0: the row is missing
	Value    []byte // nil: the row is checked only
}

// Committer reads tables and writes rows conditionally.
type Committer interface {
	// Read returns all rows of a table, as of one generation.
	Read(ctx context.Context, table string) (Page, error)
	// Commit writes rows of one table if all of them have the expected revisions, and returns
	// the position of the write. Otherwise it returns a ConflictError. The write may have
	// been applied in a later generation than that of the expected revisions.
	Commit(ctx context.Context, table string, writes ...Write) (Position, error)
}

// HistoryGoneError reports that the changes requested by a watch are no longer available,
// so that the table has to be read again.
type HistoryGoneError struct{ Table string }

// Error implements error.
func (e *HistoryGoneError) Error() string { return "history of table " + e.Table + " is gone" }

// GenerationChangedError reports that the service came back from an older copy while a table
// was read.
type GenerationChangedError struct {
	Table         string
	Before, After int64
}

// Error implements error.
func (e *GenerationChangedError) Error() string {
	return fmt.Sprintf("table %s: generation changed from %d to %d during the read", e.Table, e.Before, e.After)
}

// ConflictError reports that a row did not have the expected revision.
type ConflictError struct{ Table, Key string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("row %s/%s has changed", e.Table, e.Key) }

// UnavailableError reports that the service refused a call or did not answer. If Unknown is
// set, a write may have been applied.
type UnavailableError struct {
	Call    string
	Status  int // HTTP status; 0: no response
	Unknown bool
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table service: %s: status %d: %v", e.Call, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
