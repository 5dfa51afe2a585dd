// Package configstore commits, reads and distributes numbered configuration
// versions. A version is accepted by one conditional commit to the platform's table
// service. Every host follows the accepted versions through its peers and the table.
//
// The head is the newest accepted version. A host's current version is the newest
// version that the host has applied, and may be behind the head.
package configstore

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

const (
	headRow          = "config/head"
	versionPrefix    = "config/versions/"
	submissionPrefix = "config/submissions/"
	// snapshotPrefix contains no "/", because an object name is one path segment.
	snapshotPrefix = "config-snapshot-"

	// SnapshotInterval is the number of versions between two snapshots in the object
	// store. Building a version reads one snapshot and fewer versions than this.
	SnapshotInterval = 64
)

// Version is an accepted change of the configuration. The patch of version 0 adds
// the bootstrap document at the root.
type Version struct {
	Number       uint64          `json:"version"`
	Author       string          `json:"author"`
	Time         time.Time       `json:"time"`
	Reason       string          `json:"reason"`
	SubmissionID string          `json:"submission_id"`
	Patch        json.RawMessage `json:"patch"`
	Hash         string          `json:"hash"` // SHA-256 of the canonical resulting document
}

// Submission is a change requested by an operator.
type Submission struct {
	BaseVersion  uint64          // the version that the patch was written against
	Author       string          // name of the operator
	Reason       string          // why the operator makes the change
	SubmissionID string          // chosen by the operator; the same for every retry
	Patch        json.RawMessage // RFC 6902
}

// Head is the number and document hash of a version, usually the newest accepted
// one.
type Head struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// FullVersion is a version with its full document in canonical form.
type FullVersion struct {
	Head
	Document json.RawMessage `json:"document"`
}

// submissionRow is the value of the table row that maps a submission ID to the
// version that it created.
type submissionRow struct {
	Version uint64 `json:"version"`
}

func versionRow(number uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, number) }

func snapshotObject(number uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, number) }

// ConflictError reports that the base version of a submission is not the head,
// Current. Nothing was changed.
type ConflictError struct{ Base, Current uint64 }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("base version %d is not the current version %d", e.Base, e.Current)
}

// ReusedSubmissionError reports that a submission ID was already used for
// another patch.
type ReusedSubmissionError struct {
	SubmissionID string
	Version      uint64
}

// Error implements error.
func (e *ReusedSubmissionError) Error() string {
	return fmt.Sprintf("submission ID %q was used for another patch, version %d", e.SubmissionID, e.Version)
}

// UnknownOutcomeError reports that a submission may or may not have been
// accepted. Retrying it with the same submission ID is safe.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NoConfigurationError reports that no version exists yet.
type NoConfigurationError struct{}

// Error implements error.
func (*NoConfigurationError) Error() string { return "no configuration exists yet" }

// VersionNotFoundError reports that a version does not exist.
type VersionNotFoundError struct{ Number uint64 }

// Error implements error.
func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %d does not exist", e.Number)
}

// CorruptError reports a table row or object that cannot be decoded.
type CorruptError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("%s is corrupt: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// GapError reports a delta that does not directly follow the current version. Have
// is math.MaxUint64 if there is no current version.
type GapError struct{ Have, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	if e.Have == math.MaxUint64 {
		return fmt.Sprintf("no current version, got delta for version %d", e.Got)
	}
	return fmt.Sprintf("current version is %d, got delta for version %d", e.Have, e.Got)
}
