// Package retry decides whether a failed attempt is repeated, bounds the number
// of retries per route, and identifies and quarantines requests that crash
// upstreams. It does no I/O and reads no clock: callers pass the time.
package retry

import "time"

// ErrorClass classifies a failed attempt by what it says about execution.
type ErrorClass uint8

// Error classes.
const (
	ConnectFailed  ErrorClass = iota // no connection was made, so the request did not run
	RefusedNotRun                    // the upstream refused the request before running it
	ConnectionLost                   // the connection broke after the request was sent
	Silent                           // the connection made no progress (package liveness)
	TimedOut                         // no first byte within the route's time limit
	UpstreamError                    // the upstream answered with an error
	ProtocolError                    // the answer could not be parsed
)

// String returns the name of the class in metrics and dumps.
func (c ErrorClass) String() string {
	names := [...]string{"connect_failed", "refused_not_run", "connection_lost", "silent", "timed_out", "upstream_error", "protocol_error"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// certainlyNotRun reports whether the class rules out that the attempt ran.
func (c ErrorClass) certainlyNotRun() bool { return c == ConnectFailed || c == RefusedNotRun }

// Attempt describes a failed attempt and the state of its request.
type Attempt struct {
	Class             ErrorClass
	Idempotent        bool
	BytesToCaller     int64         // bytes of the answer already sent to the caller
	TimeLeft          time.Duration // until the request's deadline
	TimeNeeded        time.Duration // shortest useful attempt; 0 for no minimum
	BudgetLeft        bool
	Quarantined       bool // the request is refused at every upstream
	EarlierMayHaveRun bool // an earlier attempt of this request may have run
}

// Action is the action to take after a failed attempt.
type Action uint8

// Actions of a Decision.
const (
	Retry Action = iota
	RefuseNotRun
	RefuseMayHaveRun
)

// String returns the name of the action in metrics and dumps.
func (a Action) String() string {
	names := [...]string{"retry", "refuse_not_run", "refuse_may_have_run"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Reason names the rule that prevented a retry.
type Reason string

// Reasons of a Decision.
const (
	ReasonNone          Reason = "" // retried
	ReasonAnswerStarted Reason = "answer_started"
	ReasonNotIdempotent Reason = "not_idempotent"
	ReasonQuarantined   Reason = "quarantined"
	ReasonNoTime        Reason = "no_time"
	ReasonNoBudget      Reason = "no_budget"
)

// Decision is the outcome of Decide. MayHaveRun is the value for
// EarlierMayHaveRun of the next attempt.
type Decision struct {
	Action     Action
	Reason     Reason
	MayHaveRun bool
}

// Decide permits a retry if the request is idempotent or certainly did not run,
// no byte was sent to the caller, the request is not quarantined, and deadline and
// budget allow another attempt.
func Decide(a Attempt) Decision {
	mayHaveRun := a.EarlierMayHaveRun || !a.Class.certainlyNotRun()
	reason := denialReason(a, mayHaveRun)
	if reason == ReasonNone {
		return Decision{Action: Retry, MayHaveRun: mayHaveRun}
	}
	action := RefuseNotRun
	if mayHaveRun {
		action = RefuseMayHaveRun
	}
	return Decision{Action: action, Reason: reason, MayHaveRun: mayHaveRun}
}

// denialReason returns the first rule that prevents a retry, or ReasonNone.
func denialReason(a Attempt, mayHaveRun bool) Reason {
	switch {
	case a.BytesToCaller > 0:
		return ReasonAnswerStarted
	case mayHaveRun && !a.Idempotent:
		return ReasonNotIdempotent
	case a.Quarantined:
		return ReasonQuarantined
	case a.TimeLeft <= a.TimeNeeded:
		return ReasonNoTime
	case !a.BudgetLeft:
		return ReasonNoBudget
	}
	return ReasonNone
}
