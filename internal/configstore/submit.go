package configstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"regexp"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	// maxCommitAttempts bounds the commits of one submission whose outcomes are
	// unknown. The platform client times out after 1 s, so a submission takes a few
	// seconds at most.
	maxCommitAttempts = 4
	// commitRetryDelay is the delay between attempts, in which an interrupted
	// connection can recover.
	commitRetryDelay = 20 * time.Millisecond

	maxReasonLength = 1024 // bytes
	bootstrapAuthor = "bootstrap"
)

// submissionPattern matches submission IDs that are safe in row keys.
var submissionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// bootstrapOperation is the only operation in the patch of version 0.
type bootstrapOperation struct {
	Op    string          `json:"op"`
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value"`
}

// Bootstrap writes version 0 if no configuration exists. Of concurrent bootstraps the
// first commit takes effect; the others return nil as well, and their hosts load the
// committed document. It returns *config.InvalidError if doc is invalid.
func (s *Store) Bootstrap(ctx context.Context, doc *config.Document) error {
	if problems := config.Validate(doc); len(problems) > 0 {
		return eris.Wrap(&config.InvalidError{Fields: problems}, "bootstrap")
	}
	version, err := s.newBootstrapVersion(doc)
	if err != nil {
		return err
	}
	conditions := []platform.Condition{{Key: headRow}, {Key: versionRow(0)}}
	writes, err := versionWrites(version)
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		_, err := s.Head(ctx)
		var absent *NoConfigurationError
		if !errors.As(err, &absent) {
			return err
		}
		_, err = s.table.Commit(ctx, conditions, writes)
		var unknown *platform.UnknownOutcomeError
		var conflict *platform.ConflictError
		retriable := errors.As(err, &unknown) || errors.As(err, &conflict)
		if !retriable || attempt+1 == maxCommitAttempts {
			return eris.Wrap(err, "bootstrap")
		}
	}
}

func (s *Store) newBootstrapVersion(doc *config.Document) (Version, error) {
	canonical, err := doc.Canonical()
	if err != nil {
		return Version{}, err
	}
	hash, err := doc.Hash()
	if err != nil {
		return Version{}, err
	}
	patch, err := json.Marshal([]bootstrapOperation{{Op: "add", Path: "", Value: canonical}})
	if err != nil {
		return Version{}, eris.Wrap(&config.EncodeError{Cause: err}, "bootstrap")
	}
	return Version{Author: bootstrapAuthor, Time: s.now(), Reason: "bootstrap document", Patch: patch, Hash: hash}, nil
}

func (s *Store) now() time.Time { return s.clock.Now().UTC().Round(0) }

// Submit validates a patch against its base version and commits the next version.
// A retry of an accepted submission returns the version that it created, however
// many versions were accepted since. Submit returns *config.InvalidError,
// *ConflictError, *ReusedSubmissionError, *UnknownOutcomeError (retry with the same
// submission ID), *NoConfigurationError, *CorruptError or *platform.UnavailableError
// (not accepted).
func (s *Store) Submit(ctx context.Context, submission Submission) (Version, error) {
	version, err := s.submit(ctx, submission)
	s.metrics.submissions.WithLabelValues(submitResult(err)).Inc()
	return version, err
}

func (s *Store) submit(ctx context.Context, submission Submission) (Version, error) {
	if err := checkSubmission(submission); err != nil {
		return Version{}, err
	}
	// The head is read before the submission row, so that a submission accepted
	// between the two reads is found and never reported as a conflict.
	head, row, err := s.readHead(ctx)
	if err != nil {
		return Version{}, err
	}
	if version, found, err := s.findSubmission(ctx, submission); found || err != nil {
		return version, err
	}
	if submission.BaseVersion != head.Version {
		return Version{}, eris.Wrap(&ConflictError{Base: submission.BaseVersion, Current: head.Version}, "submit")
	}
	base, err := s.loadHead(ctx, head)
	if err != nil {
		return Version{}, err
	}
	version, next, err := s.buildVersion(base, submission)
	if err != nil {
		return Version{}, err
	}
	version, err = s.commit(ctx, row.Revision, submission, version)
	if err != nil {
		return Version{}, err
	}
	s.onAccepted(ctx, version, next)
	return version, nil
}

func checkSubmission(submission Submission) error {
	var fields []problem.FieldError
	if !submissionPattern.MatchString(submission.SubmissionID) {
		fields = append(fields, problem.FieldError{Pointer: "/submission_id", Reason: "must be 1 to 128 letters, digits, '.', '_', ':' or '-', and start with a letter or digit"})
	}
	if len(submission.Reason) > maxReasonLength {
		fields = append(fields, problem.FieldError{Pointer: "/reason", Reason: "is too long"})
	}
	if len(fields) > 0 {
		return eris.Wrap(&config.InvalidError{Fields: fields}, "submit")
	}
	return nil
}

// findSubmission returns the version that a submission created and true, or false if
// the submission was not accepted. It returns *ReusedSubmissionError if its ID was
// used with another patch.
func (s *Store) findSubmission(ctx context.Context, submission Submission) (Version, bool, error) {
	key := submissionPrefix + submission.SubmissionID
	row, err := s.table.Read(ctx, key)
	if err != nil {
		return Version{}, false, eris.Wrap(err, "read submission")
	}
	if row.Revision == 0 {
		return Version{}, false, nil
	}
	var found submissionRow
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return Version{}, false, eris.Wrap(&CorruptError{Name: key, Cause: err}, "read submission")
	}
	version, err := s.Version(ctx, found.Version)
	if err != nil {
		return Version{}, false, err
	}
	if !samePatch(version.Patch, submission.Patch) {
		return Version{}, false, eris.Wrap(&ReusedSubmissionError{SubmissionID: submission.SubmissionID, Version: version.Number}, "submit")
	}
	return version, true, nil
}

// samePatch compares patches ignoring insignificant white space.
func samePatch(a, b json.RawMessage) bool {
	return bytes.Equal(compactJSON(a), compactJSON(b))
}

func compactJSON(data json.RawMessage) json.RawMessage {
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, data); err != nil {
		return data
	}
	return buffer.Bytes()
}

// buildVersion validates a submission against its base and returns the next version.
func (s *Store) buildVersion(base *config.Snapshot, submission Submission) (Version, *config.Snapshot, error) {
	doc, err := config.ApplyPatch(base.Document, submission.Patch)
	if err != nil {
		return Version{}, nil, err
	}
	next, err := config.NewSnapshot(base.Version+1, doc)
	if err != nil {
		return Version{}, nil, err
	}
	version := Version{
		Number:       next.Version,
		Author:       submission.Author,
		Time:         s.now(),
		Reason:       submission.Reason,
		SubmissionID: submission.SubmissionID,
		Patch:        compactJSON(submission.Patch),
		Hash:         next.Hash,
	}
	return version, next, nil
}

// versionWrites returns the table writes that commit a version.
func versionWrites(version Version) ([]platform.Write, error) {
	record, err := json.Marshal(version)
	if err != nil {
		return nil, eris.Wrap(&config.EncodeError{Cause: err}, "version")
	}
	head, err := json.Marshal(Head{Version: version.Number, Hash: version.Hash})
	if err != nil {
		return nil, eris.Wrap(&config.EncodeError{Cause: err}, "head")
	}
	writes := []platform.Write{{Key: versionRow(version.Number), Value: record}, {Key: headRow, Value: head}}
	if version.SubmissionID == "" {
		return writes, nil
	}
	submission, err := json.Marshal(submissionRow{Version: version.Number})
	if err != nil {
		return nil, eris.Wrap(&config.EncodeError{Cause: err}, "submission")
	}
	return append(writes, platform.Write{Key: submissionPrefix + version.SubmissionID, Value: submission}), nil
}

// commit writes a version on condition that its base is still the head and that the
// submission was not accepted before. After an unknown outcome it retries the same
// commit: the conditions let at most one of the attempts take effect, even if an
// earlier one arrives late.
func (s *Store) commit(ctx context.Context, headRevision uint64, submission Submission, version Version) (Version, error) {
	writes, err := versionWrites(version)
	if err != nil {
		return Version{}, err
	}
	conditions := []platform.Condition{
		{Key: headRow, Revision: headRevision},
		{Key: submissionPrefix + version.SubmissionID},
	}
	uncertain := false
	for attempt := 1; ; attempt++ {
		_, err := s.table.Commit(ctx, conditions, writes)
		if err == nil {
			return version, nil
		}
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			return s.resolveConflict(ctx, submission, uncertain)
		}
		var unknown *platform.UnknownOutcomeError
		uncertain = uncertain || errors.As(err, &unknown)
		if !uncertain {
			return Version{}, eris.Wrap(err, "submit")
		}
		if attempt == maxCommitAttempts || !clock.Sleep(ctx, commitRetryDelay) {
			return s.checkOutcome(ctx, submission, err)
		}
		s.metrics.submissions.WithLabelValues("repeated").Inc()
	}
}

// resolveConflict distinguishes a submission that was already accepted, possibly by
// an attempt whose response was lost, from one that conflicts with another. After a
// conflict no earlier attempt can still take effect, because its conditions can
// never hold again.
func (s *Store) resolveConflict(ctx context.Context, submission Submission, uncertain bool) (Version, error) {
	version, found, err := s.findSubmission(ctx, submission)
	if err != nil {
		return Version{}, outcomeError(err, uncertain)
	}
	if found {
		return version, nil
	}
	head, err := s.Head(ctx)
	if err != nil {
		return Version{}, outcomeError(err, uncertain)
	}
	return Version{}, eris.Wrap(&ConflictError{Base: submission.BaseVersion, Current: head.Version}, "submit")
}

// checkOutcome reads whether a submission was accepted after the last attempt. If it
// is not found, the outcome remains unknown, because an attempt may still be in
// transit.
func (s *Store) checkOutcome(ctx context.Context, submission Submission, cause error) (Version, error) {
	version, found, err := s.findSubmission(ctx, submission)
	if found {
		return version, nil
	}
	if err != nil {
		cause = err
	}
	return Version{}, outcomeError(cause, true)
}

// outcomeError converts a failure to read the outcome of an uncertain submission to
// *UnknownOutcomeError. *ReusedSubmissionError is returned unchanged, because it
// shows that the submission was not accepted.
func outcomeError(err error, uncertain bool) error {
	var reused *ReusedSubmissionError
	if !uncertain || errors.As(err, &reused) {
		return err
	}
	return eris.Wrap(&UnknownOutcomeError{Cause: err}, "submit")
}

// onAccepted caches the new version, and writes its snapshot if its number is a
// multiple of SnapshotInterval.
func (s *Store) onAccepted(ctx context.Context, version Version, next *config.Snapshot) {
	if next.Version != version.Number || next.Hash != version.Hash {
		return // an earlier submission with the same ID created another version
	}
	s.cacheNewest(next)
	s.log.Info("Version accepted.", "version", version.Number, "author", version.Author)
	if version.Number%SnapshotInterval == 0 {
		s.writeSnapshot(ctx, next)
	}
}

// submitResult returns the value of the metric label "result" for a submission.
func submitResult(err error) string {
	var (
		invalid  *config.InvalidError
		conflict *ConflictError
		reused   *ReusedSubmissionError
		unknown  *UnknownOutcomeError
	)
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &invalid):
		return "invalid"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &reused):
		return "reused"
	case errors.As(err, &unknown):
		return "unknown"
	default:
		return "unavailable"
	}
}
