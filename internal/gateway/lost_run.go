package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// maxLoggedSegments bounds the segments of a prompt that a log line names.
const maxLoggedSegments = 16

// recordLostRun records a run that may have crashed its upstream.
func (d *dispatcher) recordLostRun() {
	d.logLostRun()
	d.gateway.metrics.lostRuns.Inc()
	d.gateway.exchanger.quarantine.recordLostRun(d.lostRun())
	d.gateway.recordCrash(d.upstream, sameCrashTime, &LostRunError{Request: d.request.ID})
	d.gateway.exchanger.exchangeSoon()
}

// lostRun returns the current run, for the case that it was lost.
func (d *dispatcher) lostRun() quarantine.LostRun {
	run := quarantine.LostRun{
		ID: runID(d.request.ID, d.runs), Upstream: d.upstream.ID, StartedMS: d.upstream.StartedMS, Request: d.keys.request,
	}
	if d.outputAt.IsZero() || time.Since(d.outputAt) < answeredAfter {
		run.Segments = d.keys.segments
	}
	return run
}

// LostRunError reports that the connection of another run at the upstream was lost.
type LostRunError struct{ Request string }

// Error implements error.
func (e *LostRunError) Error() string {
	return "the run of " + e.Request + " was lost at the same time"
}

// logLostRun logs what the runs that an upstream's crash ended may have in common: the
// shared segments of their prompts, and how far the run was.
func (d *dispatcher) logLostRun() {
	now := time.Now()
	segments := d.request.SharedSegments()
	fields := []any{"request", d.request.ID, "upstream", d.upstream.ID, "fingerprint", strconv.FormatUint(uint64(d.keys.request), 16),
		"segments", strings.Join(segments[:min(len(segments), maxLoggedSegments)], ","), "sent_ms", now.Sub(d.sentAt).Milliseconds()}
	if !d.outputAt.IsZero() {
		fields = append(fields, "output_ms", now.Sub(d.outputAt).Milliseconds())
	}
	d.gateway.log.Info("Run lost.", fields...)
}
