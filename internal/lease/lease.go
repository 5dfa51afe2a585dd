// Package lease decides which host coordinates the fleet. The lease is one row
// of the platform's table service. The decisions are pure; Keeper does the I/O.
package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Record is the row of the lease.
type Record struct {
	Holder  string `json:"holder"`  // host
	Address string `json:"address"` // IP:port for other hosts
	// Epoch grows with each change of the holding process.
	Epoch int64 `json:"epoch"`
	// Renewal distinguishes the holder's writes.
	Renewal int64 `json:"renewal"`
	// Active says that the holder's time to wait for the last holder is over.
	Active bool `json:"active,omitempty"`
	// Former are the last holders before Holder, the latest first.
	Former []string `json:"former,omitempty"`
	// Released says that the holder orders no more.
	Released bool `json:"released,omitempty"`
	// Hosts are the hosts that the holder has given rights to.
	Hosts []string `json:"hosts,omitempty"`
}

// DecodeError reports a lease row that can't be understood.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("lease row: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Decode parses a row; an empty one is the zero Record.
func Decode(value []byte) (Record, error) {
	var record Record
	if len(value) == 0 {
		return record, nil
	}
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, &DecodeError{Cause: err}
	}
	return record, nil
}

// Terms are the durations of a lease.
type Terms struct {
	// Duration is how long a renewal is valid, from the start of its call.
	Duration time.Duration
	// MaxOrderDelay is the longest time that an order may take to arrive. The next
	// holder orders so long after the last one.
	MaxOrderDelay time.Duration
	// ReacquireDelay replaces Arrival for a holder that comes back after another one,
	// so that two hosts do not order by turns within it.
	ReacquireDelay time.Duration
	// SafetyMargin covers clocks that run at different speeds and orders on their way.
	SafetyMargin time.Duration
}

// Observation is what a host has seen of the row. Times are on the clock that
// includes suspension.
type Observation struct {
	Record   Record
	Revision int64
	// Since is when this host first saw the revision (the call's end).
	Since time.Duration
	// Expires is when the renewal ends, as the holder said; 0: not known.
	Expires time.Duration
}

// ReportedValidity is what a holder says about its lease.
type ReportedValidity struct {
	Revision   int64
	ValidUntil time.Duration // on this host's clock that includes suspension
}

// ends returns the latest time at which the last holder's right has ended.
func (t Terms) ends(o Observation) time.Duration {
	seen := o.Since + t.Duration
	if o.Expires != 0 {
		return min(seen, o.Expires)
	}
	return seen
}

// Claimable reports whether a host may try to take the lease.
func (t Terms) Claimable(o Observation, host string, now time.Duration) bool {
	return now >= t.claimableFrom(o, host)
}

// claimableFrom returns when a host may try to take the lease.
func (t Terms) claimableFrom(o Observation, host string) time.Duration {
	if o.Revision == 0 || o.Record.Released || o.Record.Holder == host {
		return o.Since // free, or held by an earlier process of this machine
	}
	return t.ends(o) + t.SafetyMargin
}

// OrdersFrom returns when a host that has just taken the lease may order. The
// last holder's orders have arrived by then: it may have renewed right before it
// was last seen, and stops when that renewal ends.
func (t Terms) OrdersFrom(last Observation, host string, now time.Duration) time.Duration {
	wait := t.MaxOrderDelay
	if slices.Contains(last.Record.Former, host) {
		wait = max(wait, t.ReacquireDelay)
	}
	switch {
	case last.Revision == 0, last.Record.Holder == host && last.Record.Active:
		return now
	case last.Record.Released:
		return last.Since + wait + t.SafetyMargin
	default:
		return t.ends(last) + wait + t.SafetyMargin
	}
}

// keptFormer is the number of former holders that the row names.
const keptFormer = 2

// formerAfter returns the former holders for a host that takes the lease.
func formerAfter(last Record, host string) []string {
	var former []string
	for _, name := range append([]string{last.Holder}, last.Former...) {
		if name != "" && name != host && len(former) < keptFormer {
			former = append(former, name)
		}
	}
	return former
}
