// Package explain records the decisions made for recent requests in memory, so
// that operators can look up by request ID how a request was handled and why.
package explain

import (
	"sync"
	"time"
)

// Step is one decision made for a request.
type Step struct {
	After     time.Duration `json:"after_ns"` // time since the request arrived
	Component string        `json:"part"`     // component that decided, e.g. "quota" or "routing"; "part" in JSON
	Detail    string        `json:"detail"`
}

// maxSteps bounds the decisions kept per request. A request that waits for a
// model or adapter to load is retried many times.
const maxSteps = 64

// Record holds the decisions made for one request and its outcome.
type Record struct {
	RequestID     string    `json:"request_id"`
	Workspace     string    `json:"workspace,omitempty"`
	KeyID         string    `json:"key_id,omitempty"`
	Target        string    `json:"target"` // model or service route
	ConfigVersion uint64    `json:"config_version"`
	Start         time.Time `json:"start"`
	Outcome       string    `json:"outcome,omitempty"` // "" while the request runs
	Steps         []Step    `json:"steps"`
	Dropped       int       `json:"dropped,omitempty"` // number of oldest steps dropped beyond maxSteps

	mu sync.Mutex
}

// NewRecord starts the record of a request.
func NewRecord(requestID string, start time.Time) *Record {
	return &Record{RequestID: requestID, Start: start, Steps: make([]Step, 0, 6)}
}

// Add appends a decision and drops the oldest one beyond maxSteps. It is safe for
// concurrent use.
func (r *Record) Add(component, detail string) {
	r.mu.Lock()
	if len(r.Steps) == maxSteps {
		r.Steps = append(r.Steps[:0], r.Steps[1:]...)
		r.Dropped++
	}
	r.Steps = append(r.Steps, Step{After: time.Since(r.Start), Component: component, Detail: detail})
	r.mu.Unlock()
}

// Finish sets the outcome. It is safe for concurrent use.
func (r *Record) Finish(outcome string) {
	r.mu.Lock()
	r.Outcome = outcome
	r.mu.Unlock()
}

// clone returns a copy that is not shared with other goroutines.
func (r *Record) clone() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Record{
		RequestID: r.RequestID, Workspace: r.Workspace, KeyID: r.KeyID, Target: r.Target,
		ConfigVersion: r.ConfigVersion, Start: r.Start, Outcome: r.Outcome,
		Steps: append([]Step(nil), r.Steps...), Dropped: r.Dropped,
	}
}

// Log keeps the newest records in a ring buffer of fixed size. It is safe for
// concurrent use.
type Log struct {
	mu   sync.Mutex
	ring []*Record
	next int
	byID map[string]*Record
}

// NewLog returns a log that keeps the newest size records. size must be positive.
func NewLog(size int) *Log {
	return &Log{ring: make([]*Record, size), byID: make(map[string]*Record, size)}
}

// Put adds a record. If the log is full, it replaces the oldest one.
func (l *Log) Put(r *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if oldest := l.ring[l.next]; oldest != nil {
		delete(l.byID, oldest.RequestID)
	}
	l.ring[l.next] = r
	l.byID[r.RequestID] = r
	l.next = (l.next + 1) % len(l.ring)
}

// Get returns a copy of the record of a request, and false if the log has none.
func (l *Log) Get(requestID string) (*Record, bool) {
	l.mu.Lock()
	record, ok := l.byID[requestID]
	l.mu.Unlock()
	if !ok {
		return nil, false
	}
	return record.clone(), true
}

// Recent returns copies of up to n records, newest first.
func (l *Log) Recent(n int) []*Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = min(n, len(l.ring))
	records := make([]*Record, 0, n)
	for i := range n {
		record := l.ring[(l.next-1-i+2*len(l.ring))%len(l.ring)]
		if record == nil {
			break
		}
		records = append(records, record.clone())
	}
	return records
}
