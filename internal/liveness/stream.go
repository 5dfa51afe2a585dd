// Package liveness distinguishes slow connections from dead ones, and holds the TCP
// settings that detect dead peers.
package liveness

import "time"

const (
	// QuietThreshold is the time without a received byte after which the engine's
	// report is needed to classify the stream.
	QuietThreshold = time.Second
	// ContradictionThreshold is how long reports must contradict the stream before
	// it counts as silent. It covers the lag of reports and bytes in transit.
	ContradictionThreshold = 2 * time.Second
)

// State is the state of a stream.
type State uint8

// States of a stream.
const (
	Alive  State = iota // bytes arrive
	Slow                // no byte for QuietThreshold, and no lasting contradiction
	Silent              // the engine's reports contradict the stream: the connection is dead
)

// String returns the name of the state in metrics and dumps.
func (s State) String() string {
	names := [...]string{"alive", "slow", "silent"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// RequestStatus is the status of a request in an engine's report that was fetched
// over a new connection.
type RequestStatus struct {
	BootID     string // boot ID of the report
	Running    bool   // the report lists the request
	Tokens     int    // tokens generated according to the report
	QueueDepth int    // waiting requests at the engine, which the report does not list
}

// StreamMonitor classifies one stream by its progress. It reads no clock and is not
// safe for concurrent use.
type StreamMonitor struct {
	lastByte           time.Time
	bytes              int64
	tokens             int
	bootID             string    // of the first report observed
	contradictionSince time.Time // start of the current contradiction; zero: none
}

// NewStreamMonitor returns a StreamMonitor for a request that was sent at time now.
func NewStreamMonitor(now time.Time) *StreamMonitor { return &StreamMonitor{lastByte: now} }

// RecordReceived records received bytes and the number of tokens in them.
func (m *StreamMonitor) RecordReceived(now time.Time, bytes, tokens int) {
	if bytes <= 0 {
		return
	}
	m.lastByte = now
	m.bytes += int64(bytes)
	m.tokens += tokens
	m.contradictionSince = time.Time{}
}

// NeedsReport reports whether a report should be fetched now.
func (m *StreamMonitor) NeedsReport(now time.Time) bool { return m.quiet(now) }

// ObserveReport records the status from a report that was fetched while the stream
// was quiet. It must not be called for a report that could not be fetched.
func (m *StreamMonitor) ObserveReport(now time.Time, status RequestStatus) {
	if !m.quiet(now) {
		return
	}
	if !m.contradicts(status) {
		m.contradictionSince = time.Time{}
		return
	}
	if m.contradictionSince.IsZero() {
		m.contradictionSince = now
	}
}

// contradicts reports whether the status contradicts the stream: the engine has
// restarted, has generated more than arrived, or no longer has the request.
func (m *StreamMonitor) contradicts(status RequestStatus) bool {
	if m.bootID == "" {
		m.bootID = status.BootID
	}
	if status.BootID != m.bootID {
		return true
	}
	if status.Running {
		return status.Tokens > m.tokens
	}
	// A request that has not started may be one of the waiting requests.
	mayWait := m.bytes == 0 && status.QueueDepth > 0
	return !mayWait
}

// State returns the stream's state.
func (m *StreamMonitor) State(now time.Time) State {
	switch {
	case !m.quiet(now):
		return Alive
	case !m.contradictionSince.IsZero() && now.Sub(m.contradictionSince) >= ContradictionThreshold:
		return Silent
	}
	return Slow
}

func (m *StreamMonitor) quiet(now time.Time) bool { return now.Sub(m.lastByte) >= QuietThreshold }

// Dump is the state of a StreamMonitor as shown to operators.
type Dump struct {
	State           string `json:"state"`
	Bytes           int64  `json:"bytes"`
	Tokens          int    `json:"tokens"`
	QuietMS         int64  `json:"quiet_ms"`
	ContradictionMS int64  `json:"contradiction_ms"`
}

// Dump returns the state of the stream at time now.
func (m *StreamMonitor) Dump(now time.Time) Dump {
	dump := Dump{
		State:   m.State(now).String(),
		Bytes:   m.bytes,
		Tokens:  m.tokens,
		QuietMS: now.Sub(m.lastByte).Milliseconds(),
	}
	if !m.contradictionSince.IsZero() {
		dump.ContradictionMS = now.Sub(m.contradictionSince).Milliseconds()
	}
	return dump
}
