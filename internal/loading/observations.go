package loading

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// observationKey identifies a state of a reservation. The fence distinguishes a
// repeated order from the previous one.
type observationKey struct {
	upstream string
	weights  Weights
	state    State
	fence    uint64
}

func observationKeyOf(upstream string, r Reservation) observationKey {
	return observationKey{upstream: upstream, weights: r.Weights, state: r.State, fence: r.Fence()}
}

// reportedWeights identifies the latest report that showed weights in memory, and
// the fence of the order that loaded them.
type reportedWeights struct {
	boot   string
	timeMS int64 // engine's clock
	fence  uint64
}

// placement is weights on an upstream.
type placement struct {
	upstream string
	weights  Weights
}

// Observations records when this host first observed each decision and what
// engine reports showed. All times are of this host's monotonic clock, so the
// clocks of hosts need not be synchronised: a host observes a decision only after
// its commit, so a bound on the order's arrival counted from the first observation
// is never earlier than the same bound counted from the commit.
type Observations struct {
	firstObserved map[observationKey]time.Time
	acknowledged  map[observationKey]time.Time // when the engine acknowledged an order of this host
	starts        map[uint64]time.Time         // first observation of starts in the weight store row
	reported      map[placement]reportedWeights
	rows          map[string]rowObservation // by upstream
}

// rowObservation is when a revision of an upstream's row was first observed.
type rowObservation struct {
	revision uint64
	at       time.Time
}

// NewObservations returns an empty record.
func NewObservations() *Observations {
	return &Observations{
		firstObserved: map[observationKey]time.Time{},
		acknowledged:  map[observationKey]time.Time{},
		starts:        map[uint64]time.Time{},
		reported:      map[placement]reportedWeights{},
		rows:          map[string]rowObservation{},
	}
}

// ObserveRows records the reservations and starts in the rows and drops those that
// are no longer in them.
func (s *Observations) ObserveRows(rows *Rows, now time.Time) {
	firstObserved := make(map[observationKey]time.Time, len(s.firstObserved))
	acknowledged := map[observationKey]time.Time{}
	for address, row := range rows.Upstreams {
		if s.rows[address].revision != row.Revision {
			s.rows[address] = rowObservation{row.Revision, now}
		}
		for _, r := range row.Reservations {
			key := observationKeyOf(address, r)
			at, known := s.firstObserved[key]
			if !known {
				at = now
			}
			firstObserved[key] = at
			if at, ok := s.acknowledged[key]; ok {
				acknowledged[key] = at
			}
		}
	}
	s.firstObserved, s.acknowledged = firstObserved, acknowledged
	starts := make(map[uint64]time.Time, len(rows.WeightStore.Starts))
	for _, start := range rows.WeightStore.Starts {
		at, known := s.starts[start]
		if !known {
			at = now
		}
		starts[start] = at
	}
	s.starts = starts
}

// ObserveView records which weights the reports of a view show in memory.
func (s *Observations) ObserveView(view *engine.View) {
	for _, state := range view.Engines {
		if state.Report == nil {
			continue
		}
		for _, resident := range state.Report.Resident {
			at := placement{state.Address, Weights{Model: resident.Model, Adapter: resident.Adapter}}
			s.reported[at] = reportedWeights{state.Report.BootID, state.Report.TimeMS, resident.Fence}
		}
	}
}

// OrderAcknowledged records that the engine acknowledged the order that belongs to
// a reservation.
func (s *Observations) OrderAcknowledged(upstream string, r Reservation, now time.Time) {
	s.acknowledged[observationKeyOf(upstream, r)] = now
}

// FirstObserved returns when this host first observed a reservation in its current
// state.
func (s *Observations) FirstObserved(upstream string, r Reservation) time.Time {
	return s.firstObserved[observationKeyOf(upstream, r)]
}

// rowUnchangedSince reports whether the upstream's row has not changed since a time.
// A report taken before the latest change may show weights that were unloaded
// since.
func (s *Observations) rowUnchangedSince(upstream string, t time.Time) bool {
	return s.rows[upstream].at.Before(t)
}

// StartObserved returns when a start in the weight store row was first observed.
func (s *Observations) StartObserved(start uint64) time.Time { return s.starts[start] }

// latestArrival returns the time after which no load order of the reservation can
// reach the engine.
func (s *Observations) latestArrival(upstream string, r Reservation, window time.Duration) time.Time {
	first := s.FirstObserved(upstream, r)
	if r.State != StateLoading {
		// A reservation leaves the loading state only after a report that
		// showed the order's effect.
		return first
	}
	if at, ok := s.acknowledged[observationKeyOf(upstream, r)]; ok {
		return at
	}
	return first.Add(window)
}

// absenceProven reports whether a report that does not show the weights proves
// that they are not in memory and that no order can still load them: the report
// was taken after the order's latest arrival, or an earlier report showed the
// order's effect, so the order cannot arrive again.
func (s *Observations) absenceProven(state *engine.EngineState, r Reservation, window time.Duration) bool {
	if state.TakenAfter.After(s.latestArrival(state.Address, r, window)) {
		return true
	}
	last, ok := s.reported[placement{state.Address, r.Weights}]
	if !ok || last.fence != r.LoadFence {
		return false
	}
	return last.boot != state.Report.BootID || state.Report.TimeMS > last.timeMS
}

// findResident returns a report's entry for the weights, or nil.
func findResident(report *engine.Report, w Weights) *engine.Resident {
	for i := range report.Resident {
		resident := &report.Resident[i]
		if resident.Model == w.Model && resident.Adapter == w.Adapter {
			return resident
		}
	}
	return nil
}
