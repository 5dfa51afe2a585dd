package experiment

import (
	"fmt"
	"math"
)

// Record is one measured value and, optionally, its bound.
type Record struct {
	Scenario  string  `json:"scenario"`
	Policy    string  `json:"policy"`
	Seed      uint64  `json:"seed"`
	Metric    string  `json:"metric"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
	Target    string  `json:"target,omitempty"` // bound, as text; empty: none
	TargetMet *bool   `json:"holds,omitempty"`  // absent: no bound; readers of report.json use the name "holds"
	Note      string  `json:"note,omitempty"`
}

// recordSet collects the records of a run.
type recordSet struct {
	run     *Run
	records []Record
}

func (s *recordSet) add(metric string, value float64, unit string) *Record {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		value = 0
	}
	s.records = append(s.records, Record{
		Scenario: s.run.Scenario.Name, Policy: s.run.Policy, Seed: s.run.Seed, Metric: metric, Value: value, Unit: unit,
	})
	return &s.records[len(s.records)-1]
}

// atMost sets an upper bound.
func (r *Record) atMost(bound float64) *Record {
	holds := r.Value <= bound
	r.Target, r.TargetMet = fmt.Sprintf("<= %.4g", bound), &holds
	return r
}

// atLeast sets a lower bound.
func (r *Record) atLeast(bound float64) *Record {
	holds := r.Value >= bound
	r.Target, r.TargetMet = fmt.Sprintf(">= %.4g", bound), &holds
	return r
}

func (r *Record) note(format string, args ...any) {
	r.Note = fmt.Sprintf(format, args...)
}
