package operator

import (
	"context"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// Status is the response to GET /admin/v1/status.
type Status struct {
	Hosts []HostStatus `json:"hosts"`
}

func (s *server) showStatus(ctx context.Context, _ operatorRequest) (any, error) {
	if s.Status == nil {
		return nil, problem.New(problem.NotFound, "this host has no status")
	}
	return Status{Hosts: s.Status(ctx)}, nil
}

func (s *server) showDump(ctx context.Context, _ operatorRequest) (any, error) {
	if s.Dump == nil {
		return nil, problem.New(problem.NotFound, "this host has no dump")
	}
	return s.Dump(ctx), nil
}

func (s *server) explainRequest(ctx context.Context, c operatorRequest) (any, error) {
	id := c.params.ByName("request")
	if s.Explain != nil {
		if explanation, ok := s.Explain(ctx, id); ok {
			return explanation, nil
		}
	}
	return nil, problem.New(problem.NotFound, "nothing is known of request %q; a host keeps its newest requests, until it ends", id)
}

func (s *server) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, struct {
		Alive bool `json:"alive"`
	}{true})
}

// readyz responds with a problem while this host does not accept requests.
func (s *server) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if prob := s.checkReady(); prob != nil {
		problem.Write(w, prob, s.newRequestID(), s.configVersion())
		return
	}
	writeJSON(w, struct {
		Ready   bool   `json:"ready"`
		Version uint64 `json:"config_version"`
	}{true, s.configVersion()})
}

// checkReady returns the reason why this host does not accept requests, or nil if
// it does.
func (s *server) checkReady() *problem.Error {
	if s.Current() == nil {
		return problem.New(problem.NoConfiguration, "this host has not learned of a configuration")
	}
	if s.ReadinessProblem == nil {
		return nil
	}
	return s.ReadinessProblem()
}

// servePprof serves the net/http/pprof handlers to authenticated operators.
func (s *server) servePprof(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if _, err := s.authenticate(r); err != nil {
		s.writeProblem(w, "pprof", s.newRequestID(), err)
		return
	}
	s.metrics.requests.WithLabelValues("pprof", resultOK).Inc()
	switch strings.TrimPrefix(params.ByName("profile"), "/") {
	case "cmdline":
		pprof.Cmdline(w, r)
	case "profile":
		pprof.Profile(w, r)
	case "symbol":
		pprof.Symbol(w, r)
	case "trace":
		pprof.Trace(w, r)
	default:
		pprof.Index(w, r)
	}
}

type metrics struct {
	requests *prometheus.CounterVec
	changes  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: newCounterVec("requests", "Administration requests by endpoint and result: ok, or the kind of problem.", "route", "result"),
		changes:  newCounterVec("generated_changes", "Submissions of generated patches, such as issues of keys, by result; a conflict or unknown outcome is submitted again.", "result"),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.changes)
	}
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusbank_operator_" + name + "_total", Help: help}, labels)
}
