// Package weightstore implements the fleet-wide limits on loads from the weight
// store. A permit is acquired by the same conditional commit that reserves memory for
// a load, and released by the same commit that ends the reservation's loading state,
// so a host that crashes can neither leak a permit nor acquire one twice. The package
// does no I/O.
package weightstore

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

// RowKey is the key of the row that holds the permits in the table service.
const RowKey = "weightstore"

// Limits are the fleet-wide limits on loads from the weight store.
type Limits struct {
	LoadsPerS    float64 // model loads started per second
	Concurrent   int     // model loads in progress
	AdapterLoads int     // adapter loads in progress
}

// Permit allows one load. Upstream, Model and Adapter identify the reservation that
// holds it; an upstream has at most one reservation for the same weights. Adapter is
// empty for the load of a model.
type Permit struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
}

// Row is the content of the row with key RowKey.
type Row struct {
	// Writer identifies the commit that wrote the row, so that the result of a
	// commit with an unknown outcome can be read back.
	Writer  string   `json:"writer"`
	Permits []Permit `json:"permits,omitempty"`
	// Starts lists the revisions of recent commits that started a model load.
	// In a stored row, 0 means the revision of the row itself, which is unknown
	// when the row is written.
	Starts []uint64 `json:"starts,omitempty"`
}

// DecodeError reports a row whose value cannot be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "decode row " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Decode decodes a row; an absent row (revision 0) holds no permits. It returns a
// *DecodeError if the value is malformed.
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

// Encode returns the value to store for the row.
func (r Row) Encode() ([]byte, error) { return json.Marshal(r) }

// HasPermit reports whether the permit is held.
func (r Row) HasPermit(p Permit) bool { return slices.Contains(r.Permits, p) }

// InProgress returns the numbers of permits held by model loads and adapter loads.
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

// CheckResult is Granted or the reason why a permit cannot be acquired.
type CheckResult string

// Results of Check.
const (
	Granted              CheckResult = ""
	AlreadyHeld          CheckResult = "permit is already held"
	ConcurrencyExceeded  CheckResult = "too many model loads in progress"
	RateExceeded         CheckResult = "too many model loads started recently"
	AdapterLimitExceeded CheckResult = "too many adapter loads in progress"
)

// rateWindow returns the number of starts allowed within the rate limit's window, and
// the window's length. The window allows at least one start, unless the rate is not
// positive; then no start is allowed.
func (l Limits) rateWindow() (int, time.Duration) {
	starts := max(1, int(math.Floor(l.LoadsPerS)))
	if l.LoadsPerS <= 0 {
		return 0, 0
	}
	return starts, time.Duration(float64(starts) / l.LoadsPerS * float64(time.Second))
}

// Check reports whether a permit can be acquired. startObserved returns when this
// host first observed a start. A start counts until the host has known of it for a
// whole window. This does not depend on synchronised clocks, because a host never
// observes a start before it was committed.
func (l Limits) Check(r Row, p Permit, now time.Time, startObserved func(start uint64) time.Time) CheckResult {
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
	allowed, _ := l.rateWindow()
	if len(l.recentStarts(r, now, startObserved)) >= allowed {
		return RateExceeded
	}
	return Granted
}

// Acquire returns the row with the permit added. Check must have returned Granted.
func (l Limits) Acquire(r Row, p Permit, now time.Time, startObserved func(start uint64) time.Time) Row {
	acquired := Row{Permits: append(slices.Clone(r.Permits), p)}
	acquired.Starts = l.recentStarts(r, now, startObserved)
	if p.Adapter == "" {
		acquired.Starts = append(acquired.Starts, 0)
	}
	return acquired
}

// recentStarts returns the starts within the current window.
func (l Limits) recentStarts(r Row, now time.Time, startObserved func(start uint64) time.Time) []uint64 {
	_, length := l.rateWindow()
	var starts []uint64
	for _, start := range r.Starts {
		if now.Sub(startObserved(start)) < length {
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
