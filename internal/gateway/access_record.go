package gateway

import (
	"math"
	"time"
)

// Values of accessRecord.status for requests that did not end with a complete
// response.
const (
	statusCallerGone = 0
	statusTruncated  = 1
)

// reasonCallerGone is the logged reason of requests whose caller disconnected.
const reasonCallerGone = "caller gone"

// accessRecord collects the fields of a request's log line.
type accessRecord struct {
	status     int
	reason     string
	upstream   string
	sends      int
	firstEvent time.Duration // time to the first event; 0: none
	grantWait  time.Duration // time that the request waited for its workspace's allowance
	modelWait  time.Duration // time that it waited for its model
	slotWait   time.Duration // time that it waited for a slot of an upstream
	// adapterWait is the time that it waited for its adapter.
	adapterWait time.Duration
	// adapterCalls counts the calls to load the request's adapter.
	adapterCalls int
	// choice is the candidate that was chosen last; nil: none.
	choice *Candidate
}

func (r *accessRecord) recordFirstEvent(startedAt time.Time) {
	if r.firstEvent == 0 {
		r.firstEvent = time.Since(startedAt)
	}
}

// finish logs the request and updates the metrics.
func (in *inbound) finish() {
	g := in.gateway
	now := time.Now()
	took := now.Sub(in.startedAt)
	fields := []any{"status", in.record.status, "reason", in.record.reason, "sends", in.record.sends, "upstream", in.record.upstream,
		"took_ms", took.Milliseconds(), "first_ms", in.record.firstEvent.Milliseconds(), "config_age_ms", g.config.age().Milliseconds()}
	routeName := ""
	if in.request != nil {
		fields = append(fields, "request", in.request.ID, "model", in.request.Model, "adapter", in.request.Adapter)
	}
	if in.route != nil {
		routeName = in.route.Name
		fields = append(fields, "route", routeName, "config", in.config.Version, "deadline_ms", in.deadline.Sub(in.startedAt).Milliseconds())
	}
	if in.workspace != nil {
		fields = append(fields, "workspace", in.workspace.Name, "cost", in.cost, "grant_wait_ms", in.record.grantWait.Milliseconds())
	}
	if c := in.record.choice; c != nil {
		fields = append(fields, "load", c.Load, "own", c.Own, "pace", math.Round(100*c.Pace)/100, "loads_age_ms", c.OthersAge.Milliseconds())
	}
	if in.record.adapterCalls > 0 {
		fields = append(fields, "adapter_calls", in.record.adapterCalls, "adapter_wait_ms", in.record.adapterWait.Milliseconds())
	}
	if in.record.modelWait > 0 {
		fields = append(fields, "model_wait_ms", in.record.modelWait.Milliseconds())
	}
	if in.record.slotWait > 0 {
		fields = append(fields, "slot_wait_ms", in.record.slotWait.Milliseconds())
	}
	fields = append(fields, in.departure.report(now, g.metrics)...)
	_, view := g.registry.ViewVersion()
	g.log.Info("Request ended.", append(fields, "view", view)...)
	g.metrics.observe(routeName, in.record.status, took)
}
