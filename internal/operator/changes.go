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
	// maxChangeAttempts limits the submissions of one generated patch. Each
	// conflict means that another change was accepted in between.
	maxChangeAttempts = 32
	// maxRetryDelay is the longest delay between two submissions. The delay grows
	// with each attempt so that concurrent operators do not conflict again.
	maxRetryDelay = 100 * time.Millisecond
	// retryAfter is the Retry-After value of retriable problems.
	retryAfter = time.Second

	keyBytes         = 32 // random bytes in a caller's key
	keyPrefix        = "abk_"
	generatedIDBytes = 8 // random bytes in a generated key ID or submission ID
)

// PatchRequest is the body of POST /admin/v1/patches.
type PatchRequest struct {
	BaseVersion  *uint64         `json:"base_version"` // required
	SubmissionID string          `json:"submission_id"`
	Reason       string          `json:"reason"`
	Patch        json.RawMessage `json:"patch"` // RFC 6902
}

// submitPatch returns the accepted configstore.Version.
func (s *server) submitPatch(ctx context.Context, c operatorRequest) (any, error) {
	var request PatchRequest
	if err := decodeBody(c.Request, &request); err != nil {
		return nil, err
	}
	if request.BaseVersion == nil {
		prob := problem.New(problem.BadRequest, "name the version that the patch was written against")
		prob.Fields = []problem.FieldError{{Pointer: "/base_version", Reason: "is missing"}}
		return nil, prob
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
	s.applyAccepted(ctx, version)
	return version, nil
}

// applyAccepted passes an accepted version to the follower, which applies it and
// pushes it to other hosts. An error is only logged: the version is accepted
// already, and the follower picks it up through its polls and heartbeats.
func (s *server) applyAccepted(ctx context.Context, version configstore.Version) {
	if err := s.PublishAccepted(ctx, version); err != nil {
		s.Logger.Error(err, "Accepted version could not be applied on this host; it will be picked up by polling or heartbeats.", "version", version.Number)
	}
}

// IssueKeyRequest is the body of POST /admin/v1/workspaces/W/keys. All fields are
// optional.
type IssueKeyRequest struct {
	KeyID  string `json:"key_id,omitempty"` // generated if absent
	Reason string `json:"reason,omitempty"`
}

// IssuedKey is the response to POST /admin/v1/workspaces/W/keys. The plaintext key
// is not stored and cannot be shown again.
type IssuedKey struct {
	Workspace string `json:"workspace"`
	KeyID     string `json:"key_id"`
	Key       string `json:"key"`
	Version   uint64 `json:"version"` // first version in which the key is valid
}

func (s *server) issueKey(ctx context.Context, c operatorRequest) (any, error) {
	var request IssueKeyRequest
	if err := decodeOptionalBody(c.Request, &request); err != nil {
		return nil, err
	}
	workspace := c.params.ByName("workspace")
	if request.KeyID == "" {
		request.KeyID = "k-" + s.randomID()
	}
	key, err := s.newKey()
	if err != nil {
		return nil, err
	}
	version, err := s.submitGenerated(ctx, c.operator, reasonOrDefault(request.Reason, "issue key "+request.KeyID+" of workspace "+workspace), func(base *config.Snapshot) (json.RawMessage, error) {
		return issueKeyPatch(base.Document, workspace, request.KeyID, config.HashKey(key))
	})
	if err != nil {
		return nil, err
	}
	s.Logger.Info("Key issued.", "workspace", workspace, "key", request.KeyID, "operator", c.operator, "version", version.Number)
	return IssuedKey{Workspace: workspace, KeyID: request.KeyID, Key: key, Version: version.Number}, nil
}

// issueKeyPatch returns the patch that adds a key. It rejects the ID of an
// existing key, which the patch's "add" would replace.
func issueKeyPatch(base *config.Document, workspace, keyID, hash string) (json.RawMessage, error) {
	found, ok := base.Workspaces[workspace]
	if !ok {
		return nil, problem.New(problem.NotFound, "workspace %q does not exist", workspace)
	}
	if _, taken := found.Keys[keyID]; taken {
		prob := problem.New(problem.InvalidPatch, "choose another key ID")
		prob.Fields = []problem.FieldError{{Pointer: "/key_id", Reason: "the workspace already has a key with this ID"}}
		return nil, prob
	}
	return encodePatch(patchOperation{Op: "add", Path: config.Pointer("workspaces", workspace, "keys", keyID), Value: config.Key{SHA256: hash}})
}

// WithdrawnKey is the response to DELETE /admin/v1/workspaces/W/keys/K.
type WithdrawnKey struct {
	Workspace        string `json:"workspace"`
	KeyID            string `json:"key_id"`
	Version          uint64 `json:"version"` // version of the withdrawal; the newest version if AlreadyWithdrawn
	AlreadyWithdrawn bool   `json:"already"` // the key was withdrawn by an earlier request
}

// withdrawKey withdraws a key. The reason is the query parameter "reason"; the
// body of the DELETE request is ignored.
func (s *server) withdrawKey(ctx context.Context, c operatorRequest) (any, error) {
	withdrawn := WithdrawnKey{Workspace: c.params.ByName("workspace"), KeyID: c.params.ByName("key")}
	reason := reasonOrDefault(c.URL.Query().Get("reason"), "withdraw key "+withdrawn.KeyID+" of workspace "+withdrawn.Workspace)
	version, err := s.submitGenerated(ctx, c.operator, reason, func(base *config.Snapshot) (json.RawMessage, error) {
		withdrawn.Version = base.Version
		return withdrawKeyPatch(base.Document, withdrawn.Workspace, withdrawn.KeyID)
	})
	var already *AlreadyWithdrawnError
	if errors.As(err, &already) {
		withdrawn.AlreadyWithdrawn = true
		return withdrawn, nil
	}
	if err != nil {
		return nil, err
	}
	withdrawn.Version = version.Number
	s.Logger.Info("Key withdrawn.", "workspace", withdrawn.Workspace, "key", withdrawn.KeyID, "operator", c.operator, "version", version.Number)
	return withdrawn, nil
}

// AlreadyWithdrawnError reports that a key is already withdrawn.
type AlreadyWithdrawnError struct{}

// Error implements error.
func (*AlreadyWithdrawnError) Error() string { return "the key is already withdrawn" }

func withdrawKeyPatch(base *config.Document, workspace, keyID string) (json.RawMessage, error) {
	key, ok := base.Workspaces[workspace].Keys[keyID]
	if !ok {
		return nil, problem.New(problem.NotFound, "workspace %q has no key %q", workspace, keyID)
	}
	if key.Withdrawn {
		return nil, eris.Wrap(&AlreadyWithdrawnError{}, "withdraw")
	}
	return encodePatch(patchOperation{Op: "add", Path: config.Pointer("workspaces", workspace, "keys", keyID, "withdrawn"), Value: true})
}

// patchOperation is one RFC 6902 operation of a generated patch.
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

func encodePatch(operations ...patchOperation) (json.RawMessage, error) {
	patch, err := json.Marshal(operations)
	if err != nil {
		return nil, eris.Wrap(&config.EncodeError{Cause: err}, "patch")
	}
	return patch, nil
}

// submitGenerated submits a generated patch against the newest version and
// regenerates it after a conflict. While the outcome of a submission is unknown,
// it repeats the same submission, which cannot create a second version.
func (s *server) submitGenerated(ctx context.Context, operator, reason string, generate func(base *config.Snapshot) (json.RawMessage, error)) (configstore.Version, error) {
	submission := configstore.Submission{Author: operator, Reason: reason, SubmissionID: "generated-" + s.randomID()}
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		if !outcomeUnknown {
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
			s.applyAccepted(ctx, version)
			return version, nil
		}
		s.metrics.changes.WithLabelValues(string(problemOf(err).Kind)).Inc()
		retriable, unknown := retriableChange(err, outcomeUnknown)
		if !retriable || attempt == maxChangeAttempts || !waitForRetry(ctx, attempt) {
			return configstore.Version{}, outcomeError(err, outcomeUnknown)
		}
		outcomeUnknown = unknown
	}
}

// retriableChange reports whether a submission may be retried after err, and
// whether its outcome is unknown. A conflict proves that it had no effect.
func retriableChange(err error, outcomeUnknown bool) (retriable, unknown bool) {
	var conflict *configstore.ConflictError
	if errors.As(err, &conflict) {
		return true, false
	}
	var target *configstore.UnknownOutcomeError
	if errors.As(err, &target) {
		return true, true
	}
	return outcomeUnknown && problemOf(err).Kind == problem.StoreUnavailable, outcomeUnknown
}

// outcomeError returns the error of the last attempt. If the store is unavailable
// after an attempt with an unknown outcome, the outcome remains unknown.
func outcomeError(err error, outcomeUnknown bool) error {
	if outcomeUnknown && problemOf(err).Kind == problem.StoreUnavailable {
		return eris.Wrap(&configstore.UnknownOutcomeError{Cause: err}, "change")
	}
	return err
}

// waitForRetry waits for the delay after an attempt. It returns false if ctx ends
// first.
func waitForRetry(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(min(time.Duration(attempt)*5*time.Millisecond, maxRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// decodeOptionalBody is like decodeBody but accepts an empty body.
func decodeOptionalBody(r *http.Request, into any) error {
	if r.ContentLength == 0 {
		return nil
	}
	return decodeBody(r, into)
}

func reasonOrDefault(reason, generated string) string {
	if reason == "" {
		return generated
	}
	return reason
}

// RandomError reports a failed read from the source of random bytes.
type RandomError struct{ Cause error }

// Error implements error.
func (e *RandomError) Error() string { return "read random bytes: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RandomError) Unwrap() error { return e.Cause }

// newKey generates a caller's key: keyPrefix and base64url-encoded random bytes.
func (s *server) newKey() (string, error) {
	random := make([]byte, keyBytes)
	if _, err := io.ReadFull(s.Random, random); err != nil {
		return "", eris.Wrap(&RandomError{Cause: err}, "generate key")
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random), nil
}

// randomID returns a random hexadecimal identifier.
func (s *server) randomID() string {
	random := make([]byte, generatedIDBytes)
	if _, err := io.ReadFull(s.Random, random); err != nil {
		_, _ = rand.Read(random) // crypto/rand.Read never returns an error
	}
	return hex.EncodeToString(random)
}
