package operator

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	// changeAttempts bounds the submissions of one generated patch. Each
	// conflict means that another change was accepted in between.
	changeAttempts = 32
	// changePause is the longest pause between two of them; the pause grows up
	// to it so that racing operators do not conflict again.
	changePause = 100 * time.Millisecond
	// retryAfter is the time after which operators should try again.
	retryAfter = time.Second

	keyBytes       = 32 // of randomness in a caller's key
	keyPrefix      = "abk_"
	generatedBytes = 8 // of randomness in a generated key or submission ID
)

// PatchRequest is the body of POST /admin/v1/patches.
type PatchRequest struct {
	BaseVersion  *uint64         `json:"base_version"` // required
	SubmissionID string          `json:"submission_id"`
	Reason       string          `json:"reason"`
	Patch        json.RawMessage `json:"patch"` // RFC 6902
}

// submitPatch answers with the accepted configstore.Version.
func (s *server) submitPatch(ctx context.Context, c call) (any, error) {
	var request PatchRequest
	if err := decodeBody(c.Request, &request); err != nil {
		return nil, err
	}
	if request.BaseVersion == nil {
		refusal := problem.New(problem.BadRequest, "name the version that the patch was written against")
		refusal.Fields = []problem.FieldError{{Pointer: "/base_version", Reason: "is missing"}}
		return nil, refusal
	}
	version, err := s.Store.Submit(ctx, configstore.Submission{
		BaseVersion:  *request.BaseVersion,
		Author:       c.operator,
		Reason:       request.Reason,
		SubmissionID: request.SubmissionID,
		Patch:        request.Patch,
	})
	if err != nil {
		return nil, err
	}
	s.putInForce(ctx, version)
	return version, nil
}

// putInForce hands an accepted version to the follower. A failure does not
// concern the operator: the version is accepted, and the follower's polls and
// heartbeats make up for it.
func (s *server) putInForce(ctx context.Context, version configstore.Version) {
	if err := s.PublishAccepted(ctx, version); err != nil {
		s.Logger.Error(err, "Accepted version is not in force here yet.", "version", version.Number)
	}
}

// IssueKeyRequest is the body of POST /admin/v1/workspaces/W/keys. All members are
// optional.
type IssueKeyRequest struct {
	KeyID  string `json:"key_id,omitempty"` // generated if absent
	Reason string `json:"reason,omitempty"`
}

// IssuedKey is the answer to an issue. The clear key is not stored anywhere and
// cannot be shown again.
type IssuedKey struct {
	Workspace string `json:"workspace"`
	KeyID     string `json:"key_id"`
	Key       string `json:"key"`
	Version   uint64 `json:"version"` // since which the key is valid
}

func (s *server) issueKey(ctx context.Context, c call) (any, error) {
	var request IssueKeyRequest
	if err := decodeOptionalBody(c.Request, &request); err != nil {
		return nil, err
	}
	workspace := c.params.ByName("workspace")
	if request.KeyID == "" {
		request.KeyID = "k-" + s.generated()
	}
	key, err := s.newKey()
	if err != nil {
		return nil, err
	}
	version, err := s.change(ctx, c.operator, reasonOr(request.Reason, "issue key "+request.KeyID+" of workspace "+workspace), func(base *config.Snapshot) (json.RawMessage, error) {
		return issuePatch(base.Document, workspace, request.KeyID, config.HashKey(key))
	})
	if err != nil {
		return nil, err
	}
	s.Logger.Info("Key issued.", "workspace", workspace, "key", request.KeyID, "operator", c.operator, "version", version.Number)
	return IssuedKey{Workspace: workspace, KeyID: request.KeyID, Key: key, Version: version.Number}, nil
}

// issuePatch refuses to replace a key, as "add" would do.
func issuePatch(base *config.Document, workspace, keyID, hash string) (json.RawMessage, error) {
	found, ok := base.Workspaces[workspace]
	if !ok {
		return nil, problem.New(problem.NotFound, "workspace %q does not exist", workspace)
	}
	if _, taken := found.Keys[keyID]; taken {
		refusal := problem.New(problem.InvalidPatch, "choose another key ID")
		refusal.Fields = []problem.FieldError{{Pointer: "/key_id", Reason: "the workspace already has a key with this ID"}}
		return nil, refusal
	}
	return patchOf(operation{Op: "add", Path: config.Pointer("workspaces", workspace, "keys", keyID), Value: config.Key{SHA256: hash}})
}

// WithdrawnKey is the answer to a withdrawal.
type WithdrawnKey struct {
	Workspace        string `json:"workspace"`
	KeyID            string `json:"key_id"`
	Version          uint64 `json:"version"` // of the withdrawal, or the current one if Already
	AlreadyWithdrawn bool   `json:"already"` // the key had been withdrawn before
}

// withdrawKey withdraws a key. The body of a DELETE is not used; the reason is
// the query parameter "reason".
func (s *server) withdrawKey(ctx context.Context, c call) (any, error) {
	answer := WithdrawnKey{Workspace: c.params.ByName("workspace"), KeyID: c.params.ByName("key")}
	reason := reasonOr(c.URL.Query().Get("reason"), "withdraw key "+answer.KeyID+" of workspace "+answer.Workspace)
	version, err := s.change(ctx, c.operator, reason, func(base *config.Snapshot) (json.RawMessage, error) {
		answer.Version = base.Version
		return withdrawPatch(base.Document, answer.Workspace, answer.KeyID)
	})
	var already *AlreadyWithdrawnError
	if errors.As(err, &already) {
		answer.AlreadyWithdrawn = true
		return answer, nil
	}
	if err != nil {
		return nil, err
	}
	answer.Version = version.Number
	s.Logger.Info("Key withdrawn.", "workspace", answer.Workspace, "key", answer.KeyID, "operator", c.operator, "version", version.Number)
	return answer, nil
}

// AlreadyWithdrawnError reports that a key was withdrawn before.
type AlreadyWithdrawnError struct{}

// Error implements error.
func (*AlreadyWithdrawnError) Error() string { return "the key was withdrawn before" }

func withdrawPatch(base *config.Document, workspace, keyID string) (json.RawMessage, error) {
	key, ok := base.Workspaces[workspace].Keys[keyID]
	if !ok {
		return nil, problem.New(problem.NotFound, "workspace %q has no key %q", workspace, keyID)
	}
	if key.Withdrawn {
		return nil, eris.Wrap(&AlreadyWithdrawnError{}, "withdraw")
	}
	return patchOf(operation{Op: "add", Path: config.Pointer("workspaces", workspace, "keys", keyID, "withdrawn"), Value: true})
}

// operation is an operation of a generated patch.
type operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

func patchOf(operations ...operation) (json.RawMessage, error) {
	patch, err := json.Marshal(operations)
	if err != nil {
		return nil, eris.Wrap(&config.EncodeError{Cause: err}, "patch")
	}
	return patch, nil
}

// change submits a generated patch against the current version, and generates
// it again after a conflict. While the outcome is unknown it repeats the same
// submission.
func (s *server) change(ctx context.Context, operator, reason string, generate func(base *config.Snapshot) (json.RawMessage, error)) (configstore.Version, error) {
	submission := configstore.Submission{Author: operator, Reason: reason, SubmissionID: "generated-" + s.generated()}
	uncertain := false
	for attempt := 1; ; attempt++ {
		if !uncertain {
			base, err := s.Store.Load(ctx)
			if err != nil {
				return configstore.Version{}, err
			}
			submission.BaseVersion = base.Version
			if submission.Patch, err = generate(base); err != nil {
				return configstore.Version{}, err
			}
		}
		version, err := s.Store.Submit(ctx, submission)
		if err == nil {
			s.metrics.changes.WithLabelValues(resultOK).Inc()
			s.putInForce(ctx, version)
			return version, nil
		}
		s.metrics.changes.WithLabelValues(string(problemOf(err).Kind)).Inc()
		retriable, unknown := retriableChange(err, uncertain)
		if !retriable || attempt == changeAttempts || !wait(ctx, attempt) {
			return configstore.Version{}, settled(err, uncertain)
		}
		uncertain = unknown
	}
}

// retriableChange reports whether a submission may be sent again, and whether
// its outcome is unknown. A conflict proves that it had no effect.
func retriableChange(err error, uncertain bool) (retriable, unknown bool) {
	var conflict *configstore.ConflictError
	if errors.As(err, &conflict) {
		return true, false
	}
	var target *configstore.UnknownOutcomeError
	if errors.As(err, &target) {
		return true, true
	}
	return uncertain && problemOf(err).Kind == problem.StoreUnavailable, uncertain
}

// settled reports a failure after an unknown outcome as an unknown outcome.
func settled(err error, uncertain bool) error {
	if uncertain && problemOf(err).Kind == problem.StoreUnavailable {
		return eris.Wrap(&configstore.UnknownOutcomeError{Cause: err}, "change")
	}
	return err
}

// wait pauses after an attempt and reports whether there is time for another.
func wait(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(min(time.Duration(attempt)*5*time.Millisecond, changePause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// decodeOptionalBody is decodeBody for a body that may be empty.
func decodeOptionalBody(r *http.Request, into any) error {
	if r.ContentLength == 0 {
		return nil
	}
	return decodeBody(r, into)
}

func reasonOr(reason, generated string) string {
	if reason == "" {
		return generated
	}
	return reason
}

// RandomError reports that the system gave no random bytes.
type RandomError struct{ Cause error }

// Error implements error.
func (e *RandomError) Error() string { return "no random bytes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RandomError) Unwrap() error { return e.Cause }

// newKey generates a caller's key.
func (s *server) newKey() (string, error) {
	random := make([]byte, keyBytes)
	if _, err := io.ReadFull(s.Random, random); err != nil {
		return "", eris.Wrap(&RandomError{Cause: err}, "generate key")
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random), nil
}

// generated returns a random identifier.
func (s *server) generated() string {
	random := make([]byte, generatedBytes)
	if _, err := io.ReadFull(s.Random, random); err != nil {
		_, _ = rand.Read(random) // never fails
	}
	return hex.EncodeToString(random)
}
