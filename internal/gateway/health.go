package gateway

import (
	"slices"
	"time"
)

const (
	// minBackoff is the time for which an upstream is avoided after its connection
	// broke or could not be opened, or after a malformed response; it doubles with each
	// further such failure up to maxBackoff. Error responses only raise the failure rate.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// missingModelBackoff is how long requests for a model or adapter are not sent to
	// an engine that reported not to have it.
	missingModelBackoff = 400 * time.Millisecond
	// failureRateWeight is the weight of a new outcome in the moving average of
	// failures.
	failureRateWeight = 0.2
)

// health is what this host has observed of an upstream.
type health struct {
	backoffUntil time.Time
	backoff      time.Duration
	failureRate  float64 // moving average of failed requests, 0 to 1
	failures     int     // failed answers since the last success
	// unreachable reports that the last connection attempt failed.
	unreachable bool
}

// RecordOutcome records the outcome of a request at an upstream.
func (r *Registry) RecordOutcome(id string, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health[id]
	if h == nil {
		h = &health{}
		r.health[id] = h
	}
	failed := 0.0
	if outcome != OutcomeSuccess {
		failed = 1
	}
	h.failureRate += failureRateWeight * (failed - h.failureRate)
	switch outcome {
	case OutcomeSuccess:
		h.backoff, h.backoffUntil, h.unreachable = 0, time.Time{}, false
	case OutcomeUnreachable, OutcomeConnectionLost, OutcomeMalformed:
		h.unreachable = outcome == OutcomeUnreachable
		h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
		h.backoffUntil = time.Now().Add(h.backoff)
	}
	r.noteFailure(id, h, outcome)
}

// Outcome is how a request at an upstream ended.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeSuccess        Outcome = iota
	OutcomeFailed                 // an error response or an incomplete one
	OutcomeConnectionLost         // the connection broke during the request
	OutcomeUnreachable            // the connection could not be opened
	OutcomeMalformed              // bytes that are no response
)

// Unreachable returns the upstreams that this host recently failed to connect to.
func (r *Registry) Unreachable() []string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, h := range r.health {
		if h.unreachable && now.Before(h.backoffUntil.Add(minBackoff)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RecordMissing records that an engine does not have a model or adapter. The engine
// gets no requests for it for missingModelBackoff, and is reported to the coordinator
// as suspected.
func (r *Registry) RecordMissing(id, model, adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missingModels[requestKey{id, model, adapter}] = time.Now().Add(missingModelBackoff)
}

// SuspectedUpstreams returns the engines that lack a model or adapter which the
// coordinator's view lists.
func (r *Registry) SuspectedUpstreams() []string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for key, until := range r.missingModels {
		if now.After(until) {
			delete(r.missingModels, key)
			continue
		}
		if !slices.Contains(ids, key.upstream) {
			ids = append(ids, key.upstream)
		}
	}
	return ids
}

// isMissing reports whether an engine recently reported not to have a model or
// adapter.
func (r *Registry) isMissing(id, model, adapter string, now time.Time) bool {
	return now.Before(r.missingModels[requestKey{id, model, adapter}])
}
