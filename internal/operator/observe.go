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

// Status is the answer to GET /admin/v1/status.
type Status struct {
	Hosts []HostStatus `json:"hosts"`
}

func (s *server) showStatus(ctx context.Context, _ call) (any, error) {
	if s.Status == nil {
		return nil, problem.New(problem.NotFound, "this host has no status")
	}
	return Status{Hosts: s.Status(ctx)}, nil
}

func (s *server) showDump(ctx context.Context, _ call) (any, error) {
	if s.Dump == nil {
		return nil, problem.New(problem.NotFound, "this host has no dump")
	}
	return s.Dump(ctx), nil
}

func (s *server) explainRequest(ctx context.Context, c call) (any, error) {
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

// readyz answers with a problem while this host takes no requests.
func (s *server) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if refusal := s.notReady(); refusal != nil {
		problem.Write(w, refusal, s.newRequestID(), s.configVersion())
		return
	}
	writeJSON(w, struct {
		Ready   bool   `json:"ready"`
		Version uint64 `json:"config_version"`
	}{true, s.configVersion()})
}

func (s *server) notReady() *problem.Error {
	if s.Current() == nil {
		return problem.New(problem.NoConfiguration, "this host has not learned of a configuration")
	}
	if s.ReadinessProblem == nil {
		return nil
	}
	return s.ReadinessProblem()
}

// profile serves net/http/pprof to operators.
func (s *server) profile(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	if _, err := s.authenticate(r); err != nil {
		s.refuse(w, "pprof", s.newRequestID(), err)
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
		requests: counters("requests", "Administration requests by endpoint and result: ok, or the kind of problem.", "route", "result"),
		changes:  counters("generated_changes", "Submissions of generated patches, such as issues of keys, by result; a conflict or unknown outcome is submitted again.", "result"),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.changes)
	}
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusbank_operator_" + name + "_total", Help: help}, labels)
}
