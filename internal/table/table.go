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

// Page is the content or the changes of a table as of a revision.
type Page struct {
	Rows     []Row
	Revision int64
}

// Reader reads and watches tables.
type Reader interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the changes after a revision. If there are none, it waits up to wait
	// for one. It returns a HistoryGoneError if the changes are no longer available.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Committer reads and conditionally writes single rows.
type Committer interface {
	// Get returns one row; a missing row has revision 0.
	Get(ctx context.Context, table, key string) (Row, error)
	// Put writes a row if its revision equals expected (0: the row is missing) and returns
	// the new revision. Otherwise it returns a ConflictError.
	Put(ctx context.Context, table, key string, expected int64, value []byte) (int64, error)
}

// HistoryGoneError reports that the changes requested by a watch are no longer available,
// so that the table has to be read again.
type HistoryGoneError struct{ Table string }

// Error implements error.
func (e *HistoryGoneError) Error() string { return "history of table " + e.Table + " is gone" }

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
