package gateway

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/statement"
)

// recordStatement counts and records a statement.
func (g *Gateway) recordStatement(upstream *catalog.Upstream, said call.Statement) {
	if said.Leaving {
		g.metrics.statements.WithLabelValues("leaving").Inc()
	}
	if said.PauseFor > 0 {
		g.metrics.statements.WithLabelValues("pause").Inc()
	}
	g.registry.RecordStatement(upstream, said)
}

// RecordStatement records what a response says of the upstream that sent it. An upstream
// that leaves gets no further requests, whatever its entry says.
func (r *Registry) RecordStatement(upstream *catalog.Upstream, said call.Statement) {
	if said == (call.Statement{}) && r.statements.Empty() {
		return
	}
	r.learnStated(upstream, said.ColdFor)
	of := statement.IncarnationOf(upstream)
	leaves := r.statements.Record(r.now(), of, said)
	if said.PauseFor > 0 {
		r.log.Info("Upstream wants no requests.", "upstream", upstream.ID, "for_ms", said.PauseFor.Milliseconds())
	}
	if leaves {
		r.withdraw(of, "told by", "itself")
	}
}

// applyLeaving records upstreams that told other hosts that they leave.
func (r *Registry) applyLeaving(leaving []coordinator.Incarnation) {
	for _, told := range leaving {
		r.mu.Lock()
		entry := r.entries[told.Upstream]
		r.mu.Unlock()
		if entry == nil || entry.StartedMS != told.StartedMS {
			continue // not known here, or started again
		}
		of := statement.IncarnationOf(entry)
		if r.statements.RecordLeaving(r.now(), of) {
			r.withdraw(of, "told by", "the coordinator")
		}
	}
}

// withdraw marks an upstream as leaving, in place of its entry, and closes its idle
// connections.
func (r *Registry) withdraw(of statement.Incarnation, details ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entries[of.ID]
	if entry == nil || statement.IncarnationOf(entry) != of || entry.Draining {
		return
	}
	r.log.Info("Upstream leaves.", append([]any{"upstream", of.ID, "born", of.StartedMS}, details...)...)
	withdrawn := *entry
	withdrawn.Draining = true
	r.entries[of.ID] = &withdrawn
	r.onRemove(of.ID)
	r.notifyChanged()
}

// isLeaving reports whether an upstream has said that it leaves, itself or in its entry.
func (r *Registry) isLeaving(upstream *catalog.Upstream) bool {
	if r.statements.Leaving(statement.IncarnationOf(upstream)) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entries[upstream.ID]
	return entry != nil && entry.StartedMS == upstream.StartedMS && entry.Draining
}

// BeginSend reports whether a request may be sent to an upstream now. It is called right
// before the first byte.
func (r *Registry) BeginSend(upstream *catalog.Upstream) bool {
	if !r.beginEvacuated(upstream) {
		return false
	}
	if r.statements.Empty() {
		return true
	}
	return r.statements.Begin(r.now(), statement.IncarnationOf(upstream))
}

// Paused implements coordinator.FleetState.
func (r *Registry) Paused(upstream *catalog.Upstream) bool { return r.pauses().of(upstream) > 0 }

// pauses tells how long upstreams want no requests, at one moment.
type pauses struct {
	statements *statement.Tracker // nil: no statement is in force
	now        time.Duration
}

func (r *Registry) pauses() pauses {
	if r.statements.Empty() {
		return pauses{}
	}
	return pauses{r.statements, r.now()}
}

// of returns how long an upstream wants no requests; 0: it takes requests.
func (p pauses) of(upstream *catalog.Upstream) time.Duration {
	if p.statements == nil {
		return 0
	}
	return p.statements.PausedFor(p.now, statement.IncarnationOf(upstream))
}

// ResumesIn returns the time until the first of the upstreams that have a model and want
// no requests now takes requests again. paused is false if there is none.
func (r *Registry) ResumesIn(service, model string) (resumesIn time.Duration, paused bool) {
	p := r.pauses()
	if p.statements == nil {
		return 0, false
	}
	now := time.Now()
	leaving := r.evacuations.at(r.now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.entries {
		if _, ok := r.serves(entry, service, model, now); !ok || leaving.affects(entry) {
			continue
		}
		if left := p.of(entry); left > 0 && (!paused || left < resumesIn) {
			resumesIn, paused = left, true
		}
	}
	return resumesIn, paused
}

// leavingReport returns the upstreams of which the coordinator should hear that they leave.
func (r *Registry) leavingReport() []coordinator.Incarnation {
	if r.statements.Empty() {
		return nil
	}
	var report []coordinator.Incarnation
	for _, of := range r.statements.ToRelay(r.now()) {
		report = append(report, coordinator.Incarnation{Upstream: of.ID, StartedMS: of.StartedMS})
	}
	return report
}

// pausedReport returns the upstreams that want no requests from this host now.
func (r *Registry) pausedReport() []string {
	if r.statements.Empty() {
		return nil
	}
	var report []string
	for _, said := range r.statements.Dump(r.now()) {
		if said.PausedForMS > 0 && !said.Leaving {
			report = append(report, said.ID)
		}
	}
	return report
}
