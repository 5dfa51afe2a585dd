package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/configstore"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	requestIDHeader = "X-Request-Id"
	requestIDBytes  = 12
	resultOK        = "ok"
)

// call is an authenticated request.
type call struct {
	*http.Request
	params   httprouter.Params
	operator string
}

// endpoint answers a call with a value to send as JSON.
type endpoint func(ctx context.Context, c call) (any, error)

// operatorCall authenticates a request, bounds its body and time, and sends
// the endpoint's answer or problem.
func (s *server) operatorCall(route string, next endpoint) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		requestID := s.newRequestID()
		w.Header().Set(requestIDHeader, requestID)
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), requestTimeout)
		defer cancel()
		answer, err := s.answer(ctx, call{Request: r, params: params}, next)
		if err != nil {
			s.refuse(w, route, requestID, err)
			return
		}
		s.metrics.requests.WithLabelValues(route, resultOK).Inc()
		writeJSON(w, answer)
	}
}

func (s *server) answer(ctx context.Context, c call, next endpoint) (any, error) {
	operator, err := s.authenticate(c.Request)
	if err != nil {
		return nil, err
	}
	c.operator = operator
	return next(ctx, c)
}

func (s *server) refuse(w http.ResponseWriter, route, requestID string, err error) {
	refusal := problemOf(err)
	s.metrics.requests.WithLabelValues(route, string(refusal.Kind)).Inc()
	if refusal.Kind == problem.Internal {
		s.Logger.Error(err, "Request failed.", "route", route, "request", requestID)
	}
	problem.Write(w, refusal, requestID, s.configVersion())
}

// refuseAll answers every request with one problem.
func (s *server) refuseAll(refusal *problem.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.refuse(w, "none", s.newRequestID(), refusal)
	})
}

// PanicError reports that a handler panicked.
type PanicError struct{ Value any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("handler panicked: %v", e.Value) }

func (s *server) recovered(w http.ResponseWriter, _ *http.Request, value any) {
	s.refuse(w, "none", s.newRequestID(), eris.Wrap(&PanicError{Value: value}, "serve"))
}

func (s *server) newRequestID() string {
	id := make([]byte, requestIDBytes)
	_, _ = io.ReadFull(s.Random, id) // an ID that is not unique does no harm
	return hex.EncodeToString(id)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // a failed write means the operator has gone
}

// decodeBody reads a JSON body strictly.
func decodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && decoder.More():
		return problem.New(problem.BadRequest, "data after the end of the body")
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return problem.New(problem.BodyTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	default:
		return problem.New(problem.BadRequest, "the body is not the JSON expected: %v", err)
	}
}

// problemOf maps the errors of the store to problems. "not_run" of a problem
// says that nothing was changed.
func problemOf(err error) *problem.Error {
	var refusal *problem.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	if refusal := changeProblem(err); refusal != nil {
		return refusal
	}
	var (
		noConfiguration *configstore.NoConfigurationError
		notFound        *configstore.VersionNotFoundError
		pointer         *config.PointerError
		unavailable     *platform.UnavailableError
	)
	switch {
	case errors.As(err, &noConfiguration):
		return problem.New(problem.NoConfiguration, "no configuration exists yet")
	case errors.As(err, &notFound):
		return problem.New(problem.NotFound, "version %d does not exist", notFound.Number)
	case errors.As(err, &pointer):
		return problem.New(problem.BadRequest, "%q is not a JSON pointer", pointer.Pointer)
	case errors.As(err, &unavailable):
		return problem.New(problem.StoreUnavailable, "nothing was changed; try again").WithRetryAfter(retryAfter)
	default:
		return problem.MayHaveRun(problem.Internal, err, "see the log of this host")
	}
}

// changeProblem maps the errors of a submission, nil for others.
func changeProblem(err error) *problem.Error {
	var (
		invalid  *config.InvalidError
		conflict *configstore.ConflictError
		reused   *configstore.ReusedSubmissionError
		unknown  *configstore.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &invalid):
		refusal := problem.New(problem.InvalidPatch, "%d values are invalid; nothing was changed", len(invalid.Fields))
		refusal.Fields = invalid.Fields
		return refusal
	case errors.As(err, &conflict):
		refusal := problem.New(problem.VersionConflict, "the current version is %d, not %d", conflict.Current, conflict.Base)
		refusal.CurrentVersion = conflict.Current
		return refusal
	case errors.As(err, &reused):
		return problem.New(problem.IdempotencyKeyReused, "submission ID %q was used for another patch, version %d", reused.SubmissionID, reused.Version)
	case errors.As(err, &unknown):
		return problem.MayHaveRun(problem.UnknownOutcome, err, "repeat the request with the same submission ID").WithRetryAfter(retryAfter)
	default:
		return nil
	}
}
