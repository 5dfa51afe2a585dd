// Package problem defines the error responses for callers and operators as
// RFC 9457 problem documents.
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document (RFC 9457).
const ContentType = "application/problem+json"

// statusClientClosedRequest is logged for callers that closed the connection
// before the response; it is never sent.
const statusClientClosedRequest = 499

// typePrefix precedes the kind in the URI of a problem type.
const typePrefix = "urn:arbutusbank:problem:"

// Kind identifies a type of problem. Its value is the last part of the problem
// type URI and does not change between releases.
type Kind string

// Kinds of problems.
const (
	NoConfiguration      Kind = "no-configuration"
	MissingKey           Kind = "missing-key"
	InvalidKey           Kind = "invalid-key"
	KeyWithdrawn         Kind = "key-withdrawn"
	Forbidden            Kind = "forbidden"
	BadRequest           Kind = "bad-request"
	BodyTooLarge         Kind = "body-too-large"
	BodyTimeout          Kind = "body-timeout"
	UnknownModel         Kind = "unknown-model"
	UnknownRoute         Kind = "unknown-route"
	MethodNotAllowed     Kind = "method-not-allowed"
	RateLimited          Kind = "rate-limited"
	ExceedsBurst         Kind = "exceeds-burst"
	Overloaded           Kind = "overloaded"
	DeadlineExceeded     Kind = "deadline-exceeded"
	DeadlineUnmeetable   Kind = "deadline-unmeetable"
	NoCapacity           Kind = "no-capacity"
	UpstreamFailed       Kind = "upstream-failed"
	Quarantined          Kind = "quarantined"
	StoreUnavailable     Kind = "store-unavailable"
	InProgress           Kind = "in-progress"
	IdempotencyKeyReused Kind = "idempotency-key-reused"
	HostIsolated         Kind = "host-isolated"
	ShuttingDown         Kind = "shutting-down"
	VersionConflict      Kind = "version-conflict"
	InvalidPatch         Kind = "invalid-patch"
	UnknownOutcome       Kind = "unknown-outcome"
	NotFound             Kind = "not-found"
	CallerGone           Kind = "caller-gone"
	Internal             Kind = "internal"
)

type kindInfo struct {
	status int
	title  string
}

var kinds = map[Kind]kindInfo{
	NoConfiguration:      {http.StatusServiceUnavailable, "This host knows no configuration yet"},
	MissingKey:           {http.StatusUnauthorized, "The request carries no key"},
	InvalidKey:           {http.StatusUnauthorized, "The key is not valid"},
	KeyWithdrawn:         {http.StatusUnauthorized, "The key has been withdrawn"},
	Forbidden:            {http.StatusForbidden, "The workspace may not use this resource"},
	BadRequest:           {http.StatusBadRequest, "The request is malformed"},
	BodyTooLarge:         {http.StatusRequestEntityTooLarge, "The request body is too large"},
	BodyTimeout:          {http.StatusRequestTimeout, "The request body arrived too slowly"},
	UnknownModel:         {http.StatusNotFound, "The model does not exist"},
	UnknownRoute:         {http.StatusNotFound, "The route does not exist"},
	MethodNotAllowed:     {http.StatusMethodNotAllowed, "The method is not allowed on this route"},
	RateLimited:          {http.StatusTooManyRequests, "The workspace has used up its rate"},
	ExceedsBurst:         {http.StatusUnprocessableEntity, "The request costs more than the workspace's burst"},
	Overloaded:           {http.StatusServiceUnavailable, "The queue is full"},
	DeadlineExceeded:     {http.StatusGatewayTimeout, "The deadline passed"},
	DeadlineUnmeetable:   {http.StatusServiceUnavailable, "The deadline cannot be met"},
	NoCapacity:           {http.StatusServiceUnavailable, "No upstream can serve the request"},
	UpstreamFailed:       {http.StatusBadGateway, "The upstream failed"},
	Quarantined:          {http.StatusUnprocessableEntity, "This request has crashed upstreams and is refused for a while"},
	StoreUnavailable:     {http.StatusServiceUnavailable, "The platform's table service is unavailable"},
	InProgress:           {http.StatusConflict, "A request with this idempotency key was already started"},
	IdempotencyKeyReused: {http.StatusUnprocessableEntity, "The idempotency key was used with another request"},
	HostIsolated:         {http.StatusServiceUnavailable, "This host is isolated and the workspace's policy refuses requests"},
	ShuttingDown:         {http.StatusServiceUnavailable, "This host is shutting down"},
	VersionConflict:      {http.StatusConflict, "The base version is not the current version"},
	InvalidPatch:         {http.StatusUnprocessableEntity, "The patch is not valid"},
	UnknownOutcome:       {http.StatusServiceUnavailable, "The outcome is unknown"},
	NotFound:             {http.StatusNotFound, "Not found"},
	CallerGone:           {statusClientClosedRequest, "The caller closed the connection"},
	Internal:             {http.StatusInternalServerError, "Internal error"},
}

// FieldError reports an invalid value by its JSON pointer (RFC 6901).
type FieldError struct {
	Pointer string `json:"pointer"`
	Reason  string `json:"reason"`
}

// Error is a problem to be sent to a caller or an operator. NotRun may be set only
// if the request certainly did not run at any upstream.
type Error struct {
	Kind           Kind
	Detail         string
	NotRun         bool
	RetryAfter     time.Duration // 0: unknown, or a later retry would not succeed
	Fields         []FieldError
	CurrentVersion uint64 // set for VersionConflict
	Cause          error
}

// New returns an error for a request that certainly did not run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), NotRun: true}
}

// MayHaveRun returns an error for a request that may have run.
func MayHaveRun(kind Kind, cause error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// WithRetryAfter sets the delay after which a retry may succeed and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status code of the kind.
func (e *Error) Status() int {
	if info, ok := kinds[e.Kind]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Document is the JSON body of an error response.
type Document struct {
	Type           string       `json:"type"`
	Title          string       `json:"title"`
	Status         int          `json:"status"`
	Detail         string       `json:"detail,omitempty"`
	NotRun         bool         `json:"not_run"`
	RequestID      string       `json:"request_id,omitempty"`
	ConfigVersion  uint64       `json:"config_version"`
	CurrentVersion uint64       `json:"current_version,omitempty"`
	Errors         []FieldError `json:"errors,omitempty"`
}

// Document returns the problem document for a request that was handled under
// configVersion.
func (e *Error) Document(requestID string, configVersion uint64) Document {
	return Document{
		Type:           typePrefix + string(e.Kind),
		Title:          kinds[e.Kind].title,
		Status:         e.Status(),
		Detail:         e.Detail,
		NotRun:         e.NotRun,
		RequestID:      requestID,
		ConfigVersion:  configVersion,
		CurrentVersion: e.CurrentVersion,
		Errors:         e.Fields,
	}
}

// Write sends e as the response. It must be called before the response header is
// written. Retry-After is rounded up to whole seconds.
func Write(w http.ResponseWriter, e *Error, requestID string, configVersion uint64) {
	body, err := json.Marshal(e.Document(requestID, configVersion))
	if err != nil {
		http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", ContentType)
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(body) // a write fails only if the caller closed the connection
}
