package loading

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// sightingKey identifies a step in a reservation's life.
type sightingKey struct {
	upstream string
	weights  Weights
	state    State
	fence    uint64
}

func keyOf(upstream string, r Reservation) sightingKey {
	return sightingKey{upstream: upstream, weights: r.Weights, state: r.State, fence: r.Fence()}
}

// presence is the latest report that showed weights in memory.
type presence struct {
	boot   string
	timeMS int64
	fence  uint64
}

type placement struct {
	upstream string
	weights  Weights
}

// Observations records when this host first saw each decision and what reports
// showed. All times are this host's monotonic clock, so hosts need no
// synchronised clocks: a decision is seen by a host only after its commit, so
// a bound on the order's arrival that counts from the commit holds all the
// more when it counts from the first sight.
type Observations struct {
	first   map[sightingKey]time.Time
	arrived map[sightingKey]time.Time // own orders: when the engine acknowledged them
	starts  map[uint64]time.Time      // starts of the weight store row
	present map[placement]presence
	rows    map[string]rowSighting // by upstream
}

// rowSighting is when a revision of an upstream's row was first seen.
type rowSighting struct {
	revision uint64
	at       time.Time
}

// NewObservations returns an empty record.
func NewObservations() *Observations {
	return &Observations{
		first:   map[sightingKey]time.Time{},
		arrived: map[sightingKey]time.Time{},
		starts:  map[uint64]time.Time{},
		present: map[placement]presence{},
		rows:    map[string]rowSighting{},
	}
}

// ObserveRows records the reservations and starts that rows show, and forgets those
// that they no longer show.
func (s *Observations) ObserveRows(rows *Rows, now time.Time) {
	first := make(map[sightingKey]time.Time, len(s.first))
	arrived := map[sightingKey]time.Time{}
	for address, row := range rows.Upstreams {
		if s.rows[address].revision != row.Revision {
			s.rows[address] = rowSighting{row.Revision, now}
		}
		for _, r := range row.Reservations {
			key := keyOf(address, r)
			at, known := s.first[key]
			if !known {
				at = now
			}
			first[key] = at
			if at, ok := s.arrived[key]; ok {
				arrived[key] = at
			}
		}
	}
	s.first, s.arrived = first, arrived
	starts := make(map[uint64]time.Time, len(rows.Weight.Starts))
	for _, start := range rows.Weight.Starts {
		at, known := s.starts[start]
		if !known {
			at = now
		}
		starts[start] = at
	}
	s.starts = starts
}

// ObserveView records which weights the reports show.
func (s *Observations) ObserveView(view *engine.View) {
	for _, state := range view.Engines {
		if state.Report == nil {
			continue
		}
		for _, resident := range state.Report.Resident {
			at := placement{state.Address, Weights{Model: resident.Model, Adapter: resident.Adapter}}
			s.present[at] = presence{state.Report.BootID, state.Report.TimeMS, resident.Fence}
		}
	}
}

// OrderAcknowledged records that the engine acknowledged the order of a decision.
func (s *Observations) OrderAcknowledged(upstream string, r Reservation, now time.Time) {
	s.arrived[keyOf(upstream, r)] = now
}

// FirstObserved returns when a reservation's current state was first seen.
func (s *Observations) FirstObserved(upstream string, r Reservation) time.Time {
	return s.first[keyOf(upstream, r)]
}

// rowOlderThan reports whether the upstream's row has not changed since a time.
// Without it, an old report would show weights that were unloaded since.
func (s *Observations) rowOlderThan(upstream string, t time.Time) bool {
	return s.rows[upstream].at.Before(t)
}

// StartObserved returns when a start of the weight store row was first seen.
func (s *Observations) StartObserved(start uint64) time.Time { return s.starts[start] }

// latestArrival returns the time after which no order of the reservation can
// reach the engine and load the weights.
func (s *Observations) latestArrival(upstream string, r Reservation, window time.Duration) time.Time {
	first := s.FirstObserved(upstream, r)
	if r.State != StateLoading {
		// A reservation leaves the loading state only on a report that showed
		// the order's effect.
		return first
	}
	if at, ok := s.arrived[keyOf(upstream, r)]; ok {
		return at
	}
	return first.Add(window)
}

// absenceProven reports whether a report that does not show the weights proves
// that they are not in memory and that no order can still load them: it was
// taken after the order's latest arrival, or an earlier report showed the
// effect of the order, so that the order cannot arrive any more.
func (s *Observations) absenceProven(state *engine.EngineState, r Reservation, window time.Duration) bool {
	if state.TakenAfter.After(s.latestArrival(state.Address, r, window)) {
		return true
	}
	seen, ok := s.present[placement{state.Address, r.Weights}]
	if !ok || seen.fence != r.LoadFence {
		return false
	}
	return seen.boot != state.Report.BootID || state.Report.TimeMS > seen.timeMS
}

// findResident returns the weights in a report, or nil.
func findResident(report *engine.Report, w Weights) *engine.Resident {
	for i := range report.Resident {
		resident := &report.Resident[i]
		if resident.Model == w.Model && resident.Adapter == w.Adapter {
			return resident
		}
	}
	return nil
}
