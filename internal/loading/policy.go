// Package loading decides which models and adapters are loaded on which
// upstream. Each decision is recorded by a conditional commit to the table
// service before the order is sent to the engine, and is completed when the
// engine's reports show its effect. The decision functions (Reconcile, Decide,
// NewPlan) are pure; Manager runs them.
package loading

import "time"

// Policy holds the time limits of loading decisions.
type Policy struct {
	// SendWindow is the maximum time from the start of a commit to sending its
	// orders. An order that is not sent in time is left to reconciliation.
	SendWindow time.Duration
	// OrderWindow is the maximum time from the first observation of a decision
	// by any host to the arrival of its order at the engine: send window plus
	// call timeout plus a margin for network delays.
	OrderWindow time.Duration
	// RefusedGrace is how long an engine must refuse connections before its
	// process is considered ended.
	RefusedGrace time.Duration
	// PermitGrace is added to the order window and ten times the expected load
	// time before the permit of a load on an unresponsive engine is released.
	PermitGrace time.Duration
	// MinIdle is the minimum idle time before weights within their keep-alive
	// time may be evicted for waiting requests.
	MinIdle time.Duration
	// TakeoverDelay is how long a host that does not own a model waits before
	// it acts in place of the owner.
	TakeoverDelay time.Duration
	// Backoff is how long an upstream that refused a load gets no further ones.
	Backoff time.Duration
}

// Default values of Policy.
const (
	defaultSendWindow    = 1500 * time.Millisecond
	defaultOrderWindow   = 4 * time.Second
	defaultRefusedGrace  = time.Second
	defaultPermitGrace   = time.Minute
	defaultMinIdle       = 400 * time.Millisecond
	defaultTakeoverDelay = time.Second
	defaultBackoff       = 2 * time.Second
)

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{
		SendWindow:    defaultSendWindow,
		OrderWindow:   defaultOrderWindow,
		RefusedGrace:  defaultRefusedGrace,
		PermitGrace:   defaultPermitGrace,
		MinIdle:       defaultMinIdle,
		TakeoverDelay: defaultTakeoverDelay,
		Backoff:       defaultBackoff,
	}
}
