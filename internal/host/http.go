package host

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/operator"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/problem"
)

// operatorPaths are the path prefixes of the operator interface; all other paths
// are served by the caller interface.
var operatorPaths = []string{"/admin/", "/debug/", "/metrics", "/healthz", "/readyz"}

// newHandler returns the HTTP handler that dispatches requests to the caller or the
// operator interface by path.
func (h *Host) newHandler() http.Handler {
	operators := operator.New(operator.Options{
		Store:            h.store,
		Current:          h.follower.Current,
		PublishAccepted:  h.follower.PublishAccepted,
		Status:           h.Status,
		Dump:             func(context.Context) any { return h.Dump() },
		Explain:          h.explainRequest,
		ReadinessProblem: h.notReady,
		Gatherer:         h.registry, Registerer: h.registry, Logger: h.log,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, prefix := range operatorPaths {
			if strings.HasPrefix(r.URL.Path, prefix) {
				operators.ServeHTTP(w, r)
				return
			}
		}
		h.callers.ServeHTTP(w, r)
	})
}

// notReady returns the reason why this host does not accept requests, or nil if it
// does.
func (h *Host) notReady() *problem.Error {
	if h.draining.Load() {
		return problem.New(problem.ShuttingDown, "this host is shutting down")
	}
	if !h.ready.Load() {
		return problem.New(problem.NoConfiguration, "this host has no configuration yet").WithRetryAfter(time.Second)
	}
	return nil
}

// explainRequest returns the decision record of a recent request. If this host has
// none, it queries the host whose name prefixes the request ID.
func (h *Host) explainRequest(ctx context.Context, requestID string) (any, bool) {
	if record, ok := h.explain.Get(requestID); ok {
		return record, true
	}
	for _, host := range h.mesh.Hosts() {
		if !strings.HasPrefix(requestID, host+"-") {
			continue
		}
		reply, err := h.mesh.Explain(ctx, host, requestID)
		if err == nil && reply.GetKnown() {
			return json.RawMessage(reply.GetRecord()), true
		}
	}
	return nil, false
}

// handleExplain serves an Explain call from another host.
func (h *Host) handleExplain(_ context.Context, message *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	record, ok := h.explain.Get(message.GetRequestId())
	if !ok {
		return &peerpb.ExplainReply{}, nil
	}
	data, err := json.Marshal(record)
	if err != nil {
		return nil, eris.Wrap(&StatusFormatError{Cause: err}, "explain")
	}
	return &peerpb.ExplainReply{Known: true, Record: data}, nil
}
