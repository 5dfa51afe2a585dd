package gateway

import (
	"slices"
	"time"
)

const (
	// firstPenalty is how long an upstream that failed is avoided; it doubles
	// with each further failure up to maxPenalty.
	firstPenalty = 500 * time.Millisecond
	maxPenalty   = 4 * time.Second
	// absentFor is how long an engine is not asked for what it said it lacks.
	absentFor = 400 * time.Millisecond
	// failureWeight is the weight of a new outcome in an upstream's failure rate.
	failureWeight = 0.2
)

// health is what this host has seen of an upstream.
type health struct {
	avoidUntil time.Time
	penalty    time.Duration
	failures   float64 // rate of failed requests, 0 to 1
	// unreachable says that the last connection could not be opened.
	unreachable bool
}

// RecordOutcome notes the outcome of a request at an upstream.
func (d *Registry) RecordOutcome(id string, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.health[id]
	if h == nil {
		h = &health{}
		d.health[id] = h
	}
	failed := 0.0
	if outcome != OutcomeSuccess {
		failed = 1
	}
	h.failures += failureWeight * (failed - h.failures)
	switch outcome {
	case OutcomeSuccess:
		h.penalty, h.avoidUntil, h.unreachable = 0, time.Time{}, false
	case OutcomeUnreachable, OutcomeConnectionLost:
		h.unreachable = outcome == OutcomeUnreachable
		h.penalty = min(max(2*h.penalty, firstPenalty), maxPenalty)
		h.avoidUntil = time.Now().Add(h.penalty)
	}
}

// Outcome is how a request at an upstream ended.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeSuccess        Outcome = iota
	OutcomeFailed                 // answered with a failure, or with a broken answer
	OutcomeConnectionLost         // the connection broke
	OutcomeUnreachable            // no connection
)

// Unreachable returns the upstreams that this host does not reach.
func (d *Registry) Unreachable() []string {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id, h := range d.health {
		if h.unreachable && now.Before(h.avoidUntil.Add(firstPenalty)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RecordMissing records that an engine said that it lacks a model or adapter: it is
// not asked again for a moment, and the coordinator is told to look.
func (d *Registry) RecordMissing(id, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.absent[runningKey{id, model, adapter}] = time.Now().Add(absentFor)
}

// SuspectedUpstreams returns the engines that lack what the view says.
func (d *Registry) SuspectedUpstreams() []string {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for key, until := range d.absent {
		if now.After(until) {
			delete(d.absent, key)
			continue
		}
		if !slices.Contains(ids, key.upstream) {
			ids = append(ids, key.upstream)
		}
	}
	return ids
}

// isAbsent reports whether an engine has just said that it lacks a model or adapter.
func (d *Registry) isAbsent(id, model, adapter string, now time.Time) bool {
	return now.Before(d.absent[runningKey{id, model, adapter}])
}
