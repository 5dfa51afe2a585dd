package gateway

import (
	"time"
)

// Statuses of requests that did not end with an answer.
const (
	statusCallerGone = 0
	statusBrokenOff  = 1
)

// reasonCallerGone is the reason in the log where the caller has left.
const reasonCallerGone = "caller gone"

// record collects what the log says about a request.
type record struct {
	status   int
	reason   string
	upstream string
	sends    int
	first    time.Duration // until the first event; 0: none
}

func (r *record) noteFirst(begun time.Time) {
	if r.first == 0 {
		r.first = time.Since(begun)
	}
}

// finish writes the request's line in the log and counts it.
func (e *inbound) finish() {
	g := e.gateway
	took := time.Since(e.begun)
	fields := []any{"status", e.record.status, "reason", e.record.reason, "sends", e.record.sends, "upstream", e.record.upstream,
		"took_ms", took.Milliseconds(), "first_ms", e.record.first.Milliseconds(), "config_age_ms", g.config.age().Milliseconds()}
	routeName := ""
	if e.request != nil {
		fields = append(fields, "request", e.request.ID, "model", e.request.Model, "adapter", e.request.Adapter)
	}
	if e.route != nil {
		routeName = e.route.Name
		fields = append(fields, "route", routeName, "config", e.config.Version, "deadline_ms", e.deadline.Sub(e.begun).Milliseconds())
	}
	if e.workspace != nil {
		fields = append(fields, "workspace", e.workspace.Name, "cost", e.cost)
	}
	_, view := g.directory.ViewVersion()
	g.log.Info("Request ended.", append(fields, "view", view)...)
	g.metrics.request(routeName, e.record.status, took)
}
