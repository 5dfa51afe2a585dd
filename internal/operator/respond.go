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

// operatorRequest is an administration request with its authenticated operator.
type operatorRequest struct {
	*http.Request
	params   httprouter.Params
	operator string
}

// endpoint handles a request and returns the value to send as JSON.
type endpoint func(ctx context.Context, c operatorRequest) (any, error)

// endpointHandler returns a handler that authenticates a request, limits its body
// size and duration, and sends the endpoint's response or a problem document. A
// request continues after its client disconnects.
func (s *server) endpointHandler(route string, next endpoint) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		requestID := s.newRequestID()
		w.Header().Set(requestIDHeader, requestID)
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), requestTimeout)
		defer cancel()
		response, err := s.serve(ctx, operatorRequest{Request: r, params: params}, next)
		if err != nil {
			s.writeProblem(w, route, requestID, err)
			return
		}
		s.metrics.requests.WithLabelValues(route, resultOK).Inc()
		writeJSON(w, response)
	}
}

func (s *server) serve(ctx context.Context, c operatorRequest, next endpoint) (any, error) {
	operator, err := s.authenticate(c.Request)
	if err != nil {
		return nil, err
	}
	c.operator = operator
	return next(ctx, c)
}

func (s *server) writeProblem(w http.ResponseWriter, route, requestID string, err error) {
	prob := problemOf(err)
	s.metrics.requests.WithLabelValues(route, string(prob.Kind)).Inc()
	if prob.Kind == problem.Internal {
		s.Logger.Error(err, "Request failed.", "route", route, "request", requestID)
	}
	problem.Write(w, prob, requestID, s.configVersion())
}

// problemHandler returns a handler that responds to every request with one problem.
func (s *server) problemHandler(prob *problem.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeProblem(w, "none", s.newRequestID(), prob)
	})
}

// PanicError reports that a handler panicked.
type PanicError struct{ Value any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("handler panicked: %v", e.Value) }

func (s *server) handlePanic(w http.ResponseWriter, _ *http.Request, value any) {
	s.writeProblem(w, "none", s.newRequestID(), eris.Wrap(&PanicError{Value: value}, "serve"))
}

func (s *server) newRequestID() string {
	id := make([]byte, requestIDBytes)
	_, _ = io.ReadFull(s.Random, id) // duplicate IDs are harmless
	return hex.EncodeToString(id)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // a write fails only if the client disconnected
}

// decodeBody decodes a JSON body. It rejects unknown fields, trailing data and
// bodies larger than MaxBodyBytes. Errors are *problem.Error.
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

// problemOf maps store errors to problems. "not_run" in a problem document means
// that nothing was changed.
func problemOf(err error) *problem.Error {
	var prob *problem.Error
	if errors.As(err, &prob) {
		return prob
	}
	if prob := submissionProblem(err); prob != nil {
		return prob
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

// submissionProblem maps the errors of a submission to problems. It returns nil for
// other errors.
func submissionProblem(err error) *problem.Error {
	var (
		invalid  *config.InvalidError
		conflict *configstore.ConflictError
		reused   *configstore.ReusedSubmissionError
		unknown  *configstore.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &invalid):
		prob := problem.New(problem.InvalidPatch, "%d values are invalid; nothing was changed", len(invalid.Fields))
		prob.Fields = invalid.Fields
		return prob
	case errors.As(err, &conflict):
		prob := problem.New(problem.VersionConflict, "the current version is %d, not %d", conflict.Current, conflict.Base)
		prob.CurrentVersion = conflict.Current
		return prob
	case errors.As(err, &reused):
		return problem.New(problem.IdempotencyKeyReused, "submission ID %q was used for another patch, version %d", reused.SubmissionID, reused.Version)
	case errors.As(err, &unknown):
		return problem.MayHaveRun(problem.UnknownOutcome, err, "repeat the request with the same submission ID").WithRetryAfter(retryAfter)
	default:
		return nil
	}
}
