// Package liveness tells connections that are slow from connections that have
// gone silent for good, and holds the TCP settings that find dead peers.
package liveness

import "time"

const (
	// QuietThreshold is how long a stream may bring no byte before the engine's
	// report is wanted as evidence.
	QuietThreshold = time.Second
	// ContradictionThreshold is how long the reports must contradict the stream.
	// It covers the lag of reports and bytes that are on their way.
	ContradictionThreshold = 2 * time.Second
)

// State is the state of a stream.
type State uint8

// States of a stream.
const (
	Alive  State = iota // bytes arrive
	Slow                // no byte for QuietTime, and no lasting contradiction
	Silent              // the engine has moved on: the connection is dead
)

// String returns the name of the state in metrics and dumps.
func (s State) String() string {
	names := [...]string{"alive", "slow", "silent"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// RequestStatus is what an engine's report, fetched over a fresh connection, says
// about a request.
type RequestStatus struct {
	BootID     string // the report's boot ID
	Running    bool   // the request is listed
	Tokens     int    // generated according to the report
	QueueDepth int    // requests that wait at the engine and are not listed
}

// StreamMonitor judges one stream by its progress. It is pure and not safe for
// concurrent use.
type StreamMonitor struct {
	lastByte      time.Time
	bytes         int64
	tokens        int
	boot          string    // of the first report seen
	contradiction time.Time // start; zero: none
}

// NewStreamMonitor starts to watch a stream whose request was sent now.
func NewStreamMonitor(now time.Time) *StreamMonitor { return &StreamMonitor{lastByte: now} }

// RecordReceived records bytes that arrived and the tokens among them.
func (w *StreamMonitor) RecordReceived(now time.Time, bytes, tokens int) {
	if bytes <= 0 {
		return
	}
	w.lastByte = now
	w.bytes += int64(bytes)
	w.tokens += tokens
	w.contradiction = time.Time{}
}

// NeedsReport reports whether a report should be fetched now.
func (w *StreamMonitor) NeedsReport(now time.Time) bool { return w.quiet(now) }

// ObserveReport records a report that was fetched while the stream was quiet. A
// report that could not be fetched is no evidence.
func (w *StreamMonitor) ObserveReport(now time.Time, e RequestStatus) {
	if !w.quiet(now) {
		return
	}
	if !w.contradicts(e) {
		w.contradiction = time.Time{}
		return
	}
	if w.contradiction.IsZero() {
		w.contradiction = now
	}
}

// contradicts reports whether the engine's account differs from the stream: the
// engine restarted, generated more than arrived, or no longer has the request.
func (w *StreamMonitor) contradicts(e RequestStatus) bool {
	if w.boot == "" {
		w.boot = e.BootID
	}
	if e.BootID != w.boot {
		return true
	}
	if e.Running {
		return e.Tokens > w.tokens
	}
	// A request that has not started may be one of those that wait.
	mayWait := w.bytes == 0 && e.QueueDepth > 0
	return !mayWait
}

// State returns the stream's state.
func (w *StreamMonitor) State(now time.Time) State {
	switch {
	case !w.quiet(now):
		return Alive
	case !w.contradiction.IsZero() && now.Sub(w.contradiction) >= ContradictionThreshold:
		return Silent
	}
	return Slow
}

func (w *StreamMonitor) quiet(now time.Time) bool { return now.Sub(w.lastByte) >= QuietThreshold }

// Dump is the state of a StreamWatch for operators.
type Dump struct {
	State           string `json:"state"`
	Bytes           int64  `json:"bytes"`
	Tokens          int    `json:"tokens"`
	QuietMS         int64  `json:"quiet_ms"`
	ContradictionMS int64  `json:"contradiction_ms"`
}

// Dump returns the state.
func (w *StreamMonitor) Dump(now time.Time) Dump {
	dump := Dump{
		State:   w.State(now).String(),
		Bytes:   w.bytes,
		Tokens:  w.tokens,
		QuietMS: now.Sub(w.lastByte).Milliseconds(),
	}
	if !w.contradiction.IsZero() {
		dump.ContradictionMS = now.Sub(w.contradiction).Milliseconds()
	}
	return dump
}
