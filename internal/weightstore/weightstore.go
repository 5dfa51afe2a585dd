// Package weightstore holds the rules of the fleet-wide limits on loads from
// the weight store. A permit is taken by the conditional commit that reserves
// memory for a load, and released by the commit that ends the reservation's
// loading state. Because both happen in one commit, a host that dies can
// neither lose a permit nor take one twice. The package is pure.
package weightstore

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// RowKey is the key of the row that holds the permits.
const RowKey = "weightstore"

// Limits are the fleet-wide limits.
type Limits struct {
	LoadsPerS    float64 // model loads started per second
	Concurrent   int     // model loads in progress
	AdapterLoads int     // adapter loads in progress
}

// Permit allows one load. Upstream, Model and Adapter identify the reservation
// that holds it; an upstream has at most one reservation of the same weights.
type Permit struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
}

// Row is the content of the row RowKey.
type Row struct {
	// Writer identifies the commit that wrote the row, for reading back a
	// commit with an unknown outcome.
	Writer  string   `json:"writer"`
	Permits []Permit `json:"permits,omitempty"`
	// Starts lists the revisions of recent commits that started a model load.
	// 0 stands for the revision of the row itself, which is unknown when the
	// row is written.
	Starts []uint64 `json:"starts,omitempty"`
}

// DecodeError reports a row that cannot be read.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "row " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Decode reads a row. An absent row holds no permits.
func Decode(row platform.Row) (Row, error) {
	var decoded Row
	if row.Revision == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return Row{}, &DecodeError{Key: row.Key, Cause: err}
	}
	for i, start := range decoded.Starts {
		if start == 0 {
			decoded.Starts[i] = row.Revision
		}
	}
	return decoded, nil
}

// Encode returns the row's value.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// HasPermit reports whether the permit is taken.
func (r Row) HasPermit(p Permit) bool { return slices.Contains(r.Permits, p) }

// InProgress counts the permits of model loads and of adapter loads.
func (r Row) InProgress() (models, adapters int) {
	for _, p := range r.Permits {
		if p.Adapter == "" {
			models++
		} else {
			adapters++
		}
	}
	return models, adapters
}

// CheckResult says why a permit cannot be taken now.
type CheckResult string

// Refusals of permits.
const (
	Granted              CheckResult = ""
	AlreadyHeld          CheckResult = "permit is already held"
	ConcurrencyExceeded  CheckResult = "too many model loads in progress"
	RateExceeded         CheckResult = "too many model loads started recently"
	AdapterLimitExceeded CheckResult = "too many adapter loads in progress"
)

// window returns the number of starts allowed within a length of time.
func (l Limits) window() (int, time.Duration) {
	starts := max(1, int(math.Floor(l.LoadsPerS)))
	if l.LoadsPerS <= 0 {
		return 0, 0
	}
	return starts, time.Duration(float64(starts) / l.LoadsPerS * float64(time.Second))
}

// Check reports whether a permit can be taken. firstSeen returns when this
// host first saw a start. A start is counted until the host has known of it
// for a whole window: this needs no agreement between the clocks of hosts,
// because a host never sees a start before it was committed.
func (l Limits) Check(r Row, p Permit, now time.Time, firstSeen func(start uint64) time.Time) CheckResult {
	models, adapters := r.InProgress()
	switch {
	case r.HasPermit(p):
		return AlreadyHeld
	case p.Adapter != "" && adapters >= l.AdapterLoads:
		return AdapterLimitExceeded
	case p.Adapter != "":
		return Granted
	case models >= l.Concurrent:
		return ConcurrencyExceeded
	}
	allowed, _ := l.window()
	if len(l.recent(r, now, firstSeen)) >= allowed {
		return RateExceeded
	}
	return Granted
}

// Acquire returns the row with the permit taken. Check must have granted it.
func (l Limits) Acquire(r Row, p Permit, now time.Time, firstSeen func(start uint64) time.Time) Row {
	taken := Row{Permits: append(slices.Clone(r.Permits), p)}
	taken.Starts = l.recent(r, now, firstSeen)
	if p.Adapter == "" {
		taken.Starts = append(taken.Starts, 0)
	}
	return taken
}

// recent returns the starts that still count.
func (l Limits) recent(r Row, now time.Time, firstSeen func(start uint64) time.Time) []uint64 {
	_, length := l.window()
	var starts []uint64
	for _, start := range r.Starts {
		if now.Sub(firstSeen(start)) < length {
			starts = append(starts, start)
		}
	}
	return starts
}

// Release returns the row without the permit.
func (r Row) Release(p Permit) Row {
	released := Row{Starts: slices.Clone(r.Starts)}
	for _, held := range r.Permits {
		if held != p {
			released.Permits = append(released.Permits, held)
		}
	}
	return released
}
