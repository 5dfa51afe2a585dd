// Package lease elects the host that coordinates the fleet. The lease is one row of the
// platform's table service. Terms makes the decisions without I/O; Elector does the I/O.
package lease

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/table"
)

// Record is the content of the lease row.
type Record struct {
	Holder  string `json:"holder"`  // host name
	Address string `json:"address"` // IP:port for other hosts
	// Epoch increases with each change of the holding process.
	Epoch int64 `json:"epoch"`
	// Renewal is a random number that identifies each write of the holder.
	Renewal int64 `json:"renewal"`
	// Active reports that the holder no longer waits for the orders of the previous holder.
	Active bool `json:"active,omitempty"`
	// Former are the holders before Holder, latest first.
	Former []string `json:"former,omitempty"`
	// Released reports that the holder sends no more orders.
	Released bool `json:"released,omitempty"`
	// Hosts are the hosts to which the holder has assigned allowance shares.
	Hosts []string `json:"hosts,omitempty"`
	// Config is what the holder knows of the configuration.
	Config ConfigState `json:"config,omitzero"`
}

// ConfigState is what a holder knows of the configuration.
type ConfigState struct {
	Version int64 `json:"version,omitempty"` // the newest that any host is known to have
	// Unsettled reports that hosts may have a newer one that they have not reported yet.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Handover is what the next holder takes over from the one before.
type Handover struct {
	First bool // there was no holder before
	// Hosts are the hosts to which earlier holders have assigned allowance shares.
	Hosts []string
}

// DecodeError reports a lease row that cannot be decoded.
type DecodeError struct{ Cause error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("lease row: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Decode parses a row. An empty value is the zero Record. It returns a DecodeError if the
// value is not valid.
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

// Terms are the durations that govern a lease.
type Terms struct {
	// Duration is how long a renewal is valid, counted from the start of its call.
	Duration time.Duration
	// MaxOrderDelay is the longest time that the delivery of an order may take. The next
	// holder waits that long after the previous one's lease has expired.
	MaxOrderDelay time.Duration
	// ReacquireDelay replaces MaxOrderDelay, if longer, for a host that held the lease
	// before the previous holder, so that two hosts do not alternate in sending orders
	// within that time.
	ReacquireDelay time.Duration
	// SafetyMargin covers differences in clock speed and orders in transit.
	SafetyMargin time.Duration
}

// Observation is a host's observation of the row. Times are on the boot clock
// (clock.SinceBoot).
type Observation struct {
	Record     Record
	Revision   int64
	Generation int64 // of the table service
	// Restored reports that the row stems from the copy from which the table service came back:
	// another host may have held the lease since, and hold it still.
	Restored bool
	// Since is when this host first read the revision in this generation (end of the call).
	Since time.Duration
	// Expires is when the renewal expires according to the holder; 0: unknown.
	Expires time.Duration
}

func (o Observation) position() table.Position {
	return table.Position{Generation: o.Generation, Revision: o.Revision}
}

// Report is what a holder reports about its lease.
type Report struct {
	table.Position // of the row
	Epoch          int64
	ValidFor       time.Duration
}

// reportedValidity is the validity of a lease according to its holder.
type reportedValidity struct {
	table.Position
	validUntil time.Duration // on this host's boot clock
}

// expiry returns the latest time at which the lease of the observed holder expires. If the row is
// restored, that is the lease of whoever held it when the table service went back: it was renewed
// before this host first read the row in this generation.
func (t Terms) expiry(o Observation) time.Duration {
	seen := o.Since + t.Duration
	if o.Expires != 0 && !o.Restored {
		return min(seen, o.Expires)
	}
	return seen
}

// Claimable reports whether a host may try to acquire the lease.
func (t Terms) Claimable(o Observation, host string, now time.Duration) bool {
	return now >= t.claimableFrom(o, host)
}

// claimableFrom returns the time from which a host may try to acquire the lease.
func (t Terms) claimableFrom(o Observation, host string) time.Duration {
	switch {
	case o.Restored:
		return t.expiry(o) + t.SafetyMargin // the holder writes its row again meanwhile
	case o.Revision == 0 || o.Record.Released || o.Record.Holder == host:
		return o.Since // free, or held by an earlier process of this host
	default:
		return t.expiry(o) + t.SafetyMargin
	}
}

// OrdersFrom returns the time from which a host that has just acquired the lease may send
// orders. By then the orders of the previous holder, also of an earlier process on this host,
// have arrived: it may have renewed right
// before it was last observed, and stops when that renewal expires.
func (t Terms) OrdersFrom(last Observation, host string, now time.Duration) time.Duration {
	wait := t.MaxOrderDelay
	if slices.Contains(last.Record.Former, host) {
		wait = max(wait, t.ReacquireDelay)
	}
	switch {
	case last.Restored:
		// This host may have held the lease before the holder whose row was lost.
		return t.expiry(last) + max(t.MaxOrderDelay, t.ReacquireDelay) + t.SafetyMargin
	case last.Revision == 0:
		return now
	case last.Record.Holder == host && last.Record.Active:
		// The process before may have ended right after an order, which has a lower fencing
		// token than the first order of this one.
		return now + t.MaxOrderDelay
	case last.Record.Released:
		return last.Since + wait + t.SafetyMargin
	default:
		return t.expiry(last) + wait + t.SafetyMargin
	}
}

// maxFormerHolders is the number of former holders that the row lists.
const maxFormerHolders = 2

// formerAfter returns the former holders to be listed when a host acquires the lease.
func formerAfter(last Record, host string) []string {
	return firstNames(maxFormerHolders, append([]string{last.Holder}, last.Former...), host)
}

// firstNames returns up to limit different names, without "" and the excluded one.
func firstNames(limit int, names []string, excluded string) []string {
	var first []string
	for _, name := range names {
		if name != "" && name != excluded && !slices.Contains(first, name) && len(first) < limit {
			first = append(first, name)
		}
	}
	return first
}

const (
	// epochsPerGeneration separates the epochs of generations of the table service: the row from
	// which a holder takes its epoch may be lost, its generation is not.
	epochsPerGeneration = 1_000_000
	// maxEpochGeneration bounds the generation that is part of an epoch, which JSON readers take
	// for a number of 53 bits.
	maxEpochGeneration = 1 << 52 / epochsPerGeneration
)

// epochFloor returns an epoch that is higher than all those of earlier generations.
func epochFloor(generation int64) int64 {
	return min(generation, maxEpochGeneration) * epochsPerGeneration
}
