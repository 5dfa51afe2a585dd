// Package caller serves the HTTP interface for callers: OpenAI-compatible model
// routes and routes to plain services. It authenticates and validates requests,
// bounds their size and number, and reports every failure as a typed refusal.
package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/julienschmidt/httprouter"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/explain"
	"github.com/arbutusbank/arbutusbank/internal/inference"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/service"
)

// Options are the dependencies of a Handler.
type Options struct {
	// HostName is part of every request ID.
	HostName string
	// Incarnation differs between restarts of the host and is part of every
	// request ID.
	Incarnation uint64
	// Current returns the current configuration, or nil when the host has not
	// received one.
	Current func() *config.Snapshot
	// Isolated returns the time since this host last had contact with the
	// platform or another data centre, or since startup if it has had none.
	Isolated  func() time.Duration
	Inference inference.Runner
	Services  service.Runner
	Active    *ActiveRequests
	Explain   *explain.Log
	Metrics   *Metrics
	Logger    logr.Logger
	// MaxConcurrent bounds the number of requests in progress, including queued
	// ones.
	MaxConcurrent int
}

// Handler is the http.Handler of the callers' routes. It is safe for concurrent
// use.
type Handler struct {
	options  Options
	router   *httprouter.Router
	sequence atomic.Uint64 // number of request IDs issued
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a handler of the callers' routes.
func New(options Options) *Handler {
	h := &Handler{options: options, router: httprouter.New()}
	h.router.HandleMethodNotAllowed = true
	h.router.POST("/v1/chat/completions", h.wrap((*requestState).serveInference))
	h.router.POST("/v1/completions", h.wrap((*requestState).serveInference))
	h.router.GET("/v1/models", h.wrap((*requestState).serveModels))
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		h.router.Handle(method, "/services/:service/*path", h.wrap((*requestState).serveService))
	}
	h.router.NotFound = h.refuseWith(problem.New(problem.UnknownRoute, "no such route"))
	h.router.MethodNotAllowed = h.refuseWith(problem.New(problem.MethodNotAllowed, "method not allowed"))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Drain makes the handler refuse new requests and close their connections, so that
// the load balancer uses another host.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight returns the number of requests in progress, including queued ones.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// requestState is the state of one request while it is handled.
type requestState struct {
	h               *Handler
	w               http.ResponseWriter
	r               *http.Request
	params          httprouter.Params
	id              string
	snapshot        *config.Snapshot
	identity        Identity
	record          *explain.Record
	arrived         time.Time
	responseStarted bool // a byte of the response may have been sent
	bodyRead        bool // completely
}

// route handles a request. A non-nil result is the refusal to report to the caller.
type route func(rs *requestState) *problem.Error

// wrap returns an HTTP handler that admits a request, runs the route and writes its
// refusal.
func (h *Handler) wrap(next route) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		active := h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		rs := h.newRequestState(w, r, params)
		refusal := h.admit(active)
		if refusal == nil {
			refusal = next(rs)
		}
		h.finish(rs, refusal)
	}
}

func (h *Handler) newRequestState(w http.ResponseWriter, r *http.Request, params httprouter.Params) *requestState {
	now := time.Now()
	id := h.newRequestID()
	rs := &requestState{
		h: h, w: w, r: r, params: params, id: id, arrived: now,
		snapshot: h.options.Current(),
		record:   explain.NewRecord(id, now),
	}
	rs.record.ConfigVersion = rs.version()
	header := w.Header()
	header.Set(HeaderRequestID, id)
	header.Set(HeaderConfigVersion, strconv.FormatUint(rs.version(), 10))
	return rs
}

// newRequestID returns an ID that is unique across hosts and restarts:
// HOSTNAME-INCARNATION-SEQUENCE.
func (h *Handler) newRequestID() string {
	id := make([]byte, 0, 48)
	id = append(id, h.options.HostName...)
	id = append(id, '-')
	id = strconv.AppendUint(id, h.options.Incarnation, 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, h.sequence.Add(1), 36))
}

// admit applies the checks that do not depend on the request. active is the number
// of requests in progress, including this one.
func (h *Handler) admit(active int64) *problem.Error {
	if h.draining.Load() {
		return problem.New(problem.ShuttingDown, "this host is shutting down").WithRetryAfter(time.Second)
	}
	if active > int64(h.options.MaxConcurrent) {
		return problem.New(problem.Overloaded, "this host handles its maximum number of requests").WithRetryAfter(time.Second)
	}
	if h.options.Current() == nil {
		return problem.New(problem.NoConfiguration, "this host has not received a configuration").WithRetryAfter(time.Second)
	}
	return nil
}

// version returns the configuration version of the request, 0 without one.
func (rs *requestState) version() uint64 {
	if rs.snapshot == nil {
		return 0
	}
	return rs.snapshot.Version
}

// finish writes the refusal unless the response has started, and records the outcome
// in the explain log, the metrics and the log.
func (h *Handler) finish(rs *requestState, refusal *problem.Error) {
	elapsed := time.Since(rs.arrived)
	if refusal == nil {
		rs.record.Finish("served")
		h.options.Explain.Put(rs.record)
		h.options.Metrics.recordServed(elapsed)
		return
	}
	if h.draining.Load() {
		rs.w.Header().Set("Connection", "close")
	}
	if !rs.bodyRead && rs.r.ContentLength != 0 {
		intake.Abandon(rs.w, rs.r)
	}
	if !rs.responseStarted {
		problem.Write(rs.w, refusal, rs.id, rs.version())
	}
	rs.record.Finish(string(refusal.Kind))
	rs.record.Add("caller", refusal.Error())
	h.options.Explain.Put(rs.record)
	h.options.Metrics.recordRefused(refusal, elapsed)
	if log := h.options.Logger.V(1); log.Enabled() {
		log.Info("Refused request.", "request", rs.id, "workspace", rs.identity.Workspace, "version", rs.version(),
			"kind", refusal.Kind, "not_run", refusal.NotRun, "elapsed_ms", elapsed.Milliseconds())
	}
}

// authenticate identifies the caller and applies the workspace's isolation policy.
func (rs *requestState) authenticate() *problem.Error {
	identity, refusal := authenticate(rs.snapshot, presentedKey(rs.r))
	if refusal != nil {
		return refusal
	}
	rs.identity = identity
	rs.record.Workspace = identity.Workspace
	rs.record.KeyID = identity.KeyID
	return rs.checkIsolation()
}

// checkIsolation refuses the request if the workspace's policy is to refuse when
// this host has been isolated for longer than the policy allows.
func (rs *requestState) checkIsolation() *problem.Error {
	policy := rs.workspace().Isolation
	if policy.Mode != config.IsolationRefuse {
		return nil
	}
	isolated := rs.h.options.Isolated()
	if isolated <= time.Duration(policy.AfterS)*time.Second {
		return nil
	}
	return problem.New(problem.HostIsolated, "no contact with the platform or another data centre for %s", isolated.Round(time.Second))
}

func (rs *requestState) workspace() config.Workspace {
	return rs.snapshot.Document.Workspaces[rs.identity.Workspace]
}

// requestContext returns a context that ends at the deadline or when the key is
// withdrawn. The returned function must be called when the request has ended.
func (rs *requestState) requestContext(deadline time.Time) (context.Context, func(), *problem.Error) {
	ctx, cancelCause := context.WithCancelCause(rs.r.Context())
	remove := rs.h.options.Active.add(rs.identity, cancelCause)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := func() {
		cancel()
		cancelCause(nil)
		remove()
	}
	// A new configuration may have been activated between the check of the key and
	// the registration; CancelWithdrawn did not see this request then.
	current := rs.h.options.Current()
	if current != rs.snapshot && !keyValid(current, activeKey{rs.identity.Workspace, rs.identity.KeyID}, rs.identity.KeyHash) {
		stop()
		return nil, nil, problem.New(problem.KeyWithdrawn, "the key was withdrawn")
	}
	return ctx, stop, nil
}

// contextRefusal replaces a refusal by the one that cancelled the context, such as
// that of a withdrawn key. It keeps NotRun and appends the original detail.
func contextRefusal(ctx context.Context, refusal *problem.Error) *problem.Error {
	var cause *problem.Error
	if refusal == nil || !errors.As(context.Cause(ctx), &cause) {
		return refusal
	}
	replaced := *cause
	replaced.NotRun = refusal.NotRun
	replaced.Detail = fmt.Sprintf("%s (%s)", cause.Detail, refusal.Detail)
	return &replaced
}

// refuseWith returns a handler that refuses every request.
func (h *Handler) refuseWith(refusal *problem.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			intake.Abandon(w, r)
		}
		var version uint64
		if snapshot := h.options.Current(); snapshot != nil {
			version = snapshot.Version
		}
		id := h.newRequestID()
		header := w.Header()
		header.Set(HeaderRequestID, id)
		header.Set(HeaderConfigVersion, strconv.FormatUint(version, 10))
		problem.Write(w, refusal, id, version)
	})
}
