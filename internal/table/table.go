// Package table is the product's view of the platform's table service: rows
// with revisions, conditional writes, and a feed of changes.
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
	Revision int64  `json:"revision"`          // grows with each change, over all tables
	Deleted  bool   `json:"deleted,omitempty"` // in feeds only
}

// Page is the content or the changes of a table as of a revision.
type Page struct {
	Rows     []Row
	Revision int64
}

// Reader reads and follows tables.
type Reader interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Page, error)
	// Watch returns the changes after a revision, waiting for one up to wait.
	// It returns a HistoryGoneError when the changes are no longer known.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// Committer writes rows conditionally.
type Committer interface {
	// Get returns one row; a missing row has revision 0.
	Get(ctx context.Context, table, key string) (Row, error)
	// Put writes a row if its revision is the expected one (0: missing) and
	// returns the new revision. It returns a ConflictError otherwise.
	Put(ctx context.Context, table, key string, expected int64, value []byte) (int64, error)
}

// HistoryGoneError reports that a watch must start again with a read.
type HistoryGoneError struct{ Table string }

// Error implements error.
func (e *HistoryGoneError) Error() string { return "history of table " + e.Table + " is gone" }

// ConflictError reports that a conditional write did not apply.
type ConflictError struct{ Table, Key string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("row %s/%s has changed", e.Table, e.Key) }

// UnavailableError reports that the service refused a call or did not answer.
// A write may have been performed when Unknown is set.
type UnavailableError struct {
	Call    string
	Status  int // 0: no answer
	Unknown bool
	Cause   error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table service: %s: status %d: %v", e.Call, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
