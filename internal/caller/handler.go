// Package caller is the HTTP interface for callers: OpenAI-compatible model
// routes and routes to plain services. It authenticates, checks and bounds
// requests, and turns every failure into a typed refusal.
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
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/service"
)

// Options are the dependencies of a Handler.
type Options struct {
	// HostName is part of every request identifier.
	HostName string
	// Incarnation tells restarts of the host apart.
	Incarnation uint64
	// Current returns the configuration in force, or nil.
	Current func() *config.Snapshot
	// Isolated returns for how long this host has had no contact with the
	// platform nor with any other data centre; 0 when it has contact.
	Isolated  func() time.Duration
	Inference inference.Runner
	Services  service.Runner
	Active    *ActiveRequests
	Explain   *explain.Log
	Metrics   *Metrics
	Logger    logr.Logger
	// MaxConcurrent bounds the requests in progress, waiting ones included.
	MaxConcurrent int
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options  Options
	router   *httprouter.Router
	sequence atomic.Uint64
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a handler of the callers' routes.
func New(options Options) *Handler {
	h := &Handler{options: options, router: httprouter.New()}
	h.router.HandleMethodNotAllowed = true
	h.router.POST("/v1/chat/completions", h.wrap((*exchange).serveInference))
	h.router.POST("/v1/completions", h.wrap((*exchange).serveInference))
	h.router.GET("/v1/models", h.wrap((*exchange).serveModels))
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		h.router.Handle(method, "/services/:service/*path", h.wrap((*exchange).serveService))
	}
	h.router.NotFound = h.refuseWith(problem.New(problem.UnknownRoute, "no such route"))
	h.router.MethodNotAllowed = h.refuseWith(problem.New(problem.MethodNotAllowed, "method not allowed"))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

// Drain makes the handler close connections after their current request and
// refuse new ones, which the balancer sends to another host.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// exchange is one request being handled.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	params   httprouter.Params
	id       string
	snapshot *config.Snapshot
	identity Identity
	record   *explain.Record
	arrived  time.Time
	begun    bool // a byte of the answer may have been sent
}

type route func(x *exchange) *problem.Error

// wrap prepares an exchange, runs the route and writes its refusal.
func (h *Handler) wrap(next route) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		active := h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
		x := h.newExchange(w, r, params)
		refusal := h.admit(active)
		if refusal == nil {
			refusal = next(x)
		}
		h.finish(x, refusal)
	}
}

func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, params httprouter.Params) *exchange {
	now := time.Now()
	id := h.newRequestID()
	x := &exchange{
		h: h, w: w, r: r, params: params, id: id, arrived: now,
		snapshot: h.options.Current(),
		record:   explain.NewRecord(id, now),
	}
	x.record.ConfigVersion = x.version()
	header := w.Header()
	header.Set(HeaderRequestID, id)
	header.Set(HeaderConfigVersion, strconv.FormatUint(x.version(), 10))
	return x
}

// newRequestID returns an identifier that is unique across hosts and restarts.
func (h *Handler) newRequestID() string {
	id := make([]byte, 0, 48)
	id = append(id, h.options.HostName...)
	id = append(id, '-')
	id = strconv.AppendUint(id, h.options.Incarnation, 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, h.sequence.Add(1), 36))
}

// admit applies the checks that need nothing of the request.
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

// version returns the configuration version of the exchange, 0 without one.
func (x *exchange) version() uint64 {
	if x.snapshot == nil {
		return 0
	}
	return x.snapshot.Version
}

func (h *Handler) finish(x *exchange, refusal *problem.Error) {
	elapsed := time.Since(x.arrived)
	if refusal == nil {
		x.record.Finish("served")
		h.options.Explain.Put(x.record)
		h.options.Metrics.served(elapsed)
		return
	}
	if h.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	if !x.begun {
		problem.Write(x.w, refusal, x.id, x.version())
	}
	x.record.Finish(string(refusal.Kind))
	x.record.Add("caller", refusal.Error())
	h.options.Explain.Put(x.record)
	h.options.Metrics.refused(refusal, elapsed)
	if log := h.options.Logger.V(1); log.Enabled() {
		log.Info("Refused request.", "request", x.id, "workspace", x.identity.Workspace, "version", x.version(),
			"kind", refusal.Kind, "not_run", refusal.NotRun, "elapsed_ms", elapsed.Milliseconds())
	}
}

// authenticate identifies the caller and checks the workspace's isolation policy.
func (x *exchange) authenticate() *problem.Error {
	identity, refusal := authenticate(x.snapshot, presentedKey(x.r))
	if refusal != nil {
		return refusal
	}
	x.identity = identity
	x.record.Workspace = identity.Workspace
	x.record.KeyID = identity.KeyID
	return x.checkIsolation()
}

func (x *exchange) checkIsolation() *problem.Error {
	policy := x.workspace().Isolation
	if policy.Mode != config.IsolationRefuse {
		return nil
	}
	isolated := x.h.options.Isolated()
	if isolated <= time.Duration(policy.AfterS)*time.Second {
		return nil
	}
	return problem.New(problem.HostIsolated, "no contact with the platform or another data centre for %s", isolated.Round(time.Second))
}

func (x *exchange) workspace() config.Workspace {
	return x.snapshot.Document.Workspaces[x.identity.Workspace]
}

// guard returns a context that ends at the deadline or when the key is
// withdrawn. The stop function must be called when the request has ended.
func (x *exchange) guard(deadline time.Time) (context.Context, func(), *problem.Error) {
	ctx, cancelCause := context.WithCancelCause(x.r.Context())
	remove := x.h.options.Active.add(x.identity, cancelCause)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := func() {
		cancel()
		cancelCause(nil)
		remove()
	}
	// A version may have come into force between the check of the key and the
	// registration; its enforcement did not see this request.
	current := x.h.options.Current()
	if current != x.snapshot && !keyValid(current, activeKey{x.identity.Workspace, x.identity.KeyID}, x.identity.KeyHash) {
		stop()
		return nil, nil, problem.New(problem.KeyWithdrawn, "the key was withdrawn")
	}
	return ctx, stop, nil
}

// contextRefusal replaces a refusal by the reason for which the context ended,
// such as a withdrawn key.
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

func (h *Handler) refuseWith(refusal *problem.Error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
