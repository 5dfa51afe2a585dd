// Package loading decides which model is loaded on which upstream, records
// each decision by a conditional commit before it is ordered, and completes
// decisions from engine reports. Decision functions are pure; Manager runs
// them.
package loading

import "time"

// Policy holds the times and sizes of loading decisions.
type Policy struct {
	// SendWindow bounds the time from the start of a commit to the sending of
	// its orders; later, the order is left to recovery.
	SendWindow time.Duration
	// OrderWindow is the latest possible arrival of an order after its
	// decision was first seen by any host: send window, call timeout and a
	// margin for delays in the network.
	OrderWindow time.Duration
	// RefusedGrace is how long an engine must refuse connections before its
	// process counts as ended.
	RefusedGrace time.Duration
	// PermitGrace is added to ten times the expected load time before the
	// permit of a load on a silent engine is released.
	PermitGrace time.Duration
	// MinIdle protects weights that were used just now from eviction on
	// behalf of waiting requests.
	MinIdle time.Duration
	// TakeoverDelay is how long a host that does not own a model waits before
	// it acts in place of the owner.
	TakeoverDelay time.Duration
	// Backoff keeps loads away from an upstream that refused one.
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
	defaultBackOff       = 2 * time.Second
)

// DefaultPolicy returns the policy for production.
func DefaultPolicy() Policy {
	return Policy{
		SendWindow:    defaultSendWindow,
		OrderWindow:   defaultOrderWindow,
		RefusedGrace:  defaultRefusedGrace,
		PermitGrace:   defaultPermitGrace,
		MinIdle:       defaultMinIdle,
		TakeoverDelay: defaultTakeoverDelay,
		Backoff:       defaultBackOff,
	}
}
