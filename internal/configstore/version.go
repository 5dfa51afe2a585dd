// Package configstore commits, reads back and follows numbered configuration
// versions. Versions are accepted by one conditional commit to the platform's
// table service; every host follows them through its peers and the table.
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
	// snapshotPrefix has no "/": object names are one path segment.
	snapshotPrefix = "config-snapshot-"

	// SnapshotInterval is the number of versions between two snapshots in the
	// object store. Catching up reads one snapshot and fewer versions than this.
	SnapshotInterval = 64
)

// Version is one accepted change of the configuration. The patch of version 0
// adds the whole bootstrap document at the root.
type Version struct {
	Number       uint64          `json:"version"`
	Author       string          `json:"author"`
	Time         time.Time       `json:"time"`
	Reason       string          `json:"reason"`
	SubmissionID string          `json:"submission_id"`
	Patch        json.RawMessage `json:"patch"`
	Hash         string          `json:"hash"` // SHA-256 of the canonical resulting document
}

// Submission is a change that an operator asks for.
type Submission struct {
	BaseVersion  uint64          // the version that the patch was written against
	Author       string          // name of the operator
	Reason       string          // why the change is made
	SubmissionID string          // chosen by the operator, the same on every repeat
	Patch        json.RawMessage // RFC 6902
}

// Head names the newest accepted version.
type Head struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
}

// FullVersion is a version with its whole document in canonical form.
type FullVersion struct {
	Head
	Document json.RawMessage `json:"document"`
}

// submissionRow is the value of a row that remembers a submission.
type submissionRow struct {
	Version uint64 `json:"version"`
}

func versionRow(number uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, number) }

func snapshotObject(number uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, number) }

// ConflictError reports that a submission's base is not the current version.
// Nothing was changed.
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
// accepted. Repeating it with the same submission ID is safe.
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

// CorruptError reports a row or object that cannot be read as what it should
// be.
type CorruptError struct {
	Name  string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("%s is corrupt: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// GapError reports deltas that do not continue the version in force.
type GapError struct{ Have, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	if e.Have == math.MaxUint64 {
		return fmt.Sprintf("no version in force; delta is for version %d", e.Got)
	}
	return fmt.Sprintf("version in force is %d; delta is for version %d", e.Have, e.Got)
}
