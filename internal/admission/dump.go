package admission

import (
	"slices"
	"strings"
	"time"
)

// Dump is the state of a Scheduler as shown to operators.
type Dump struct {
	Policy  Policy      `json:"policy"`
	Waiting int         `json:"waiting"`
	Models  []ModelDump `json:"models"`
}

// ModelDump is the state of one model's queue.
type ModelDump struct {
	Model              string     `json:"model"`
	Capacity           int        `json:"capacity"`
	InFlight           int        `json:"in_flight"`
	ExpectedReady      time.Time  `json:"expected_ready,omitzero"`
	SecondsPerCost     float64    `json:"seconds_per_cost"`
	ServiceTimeSeconds float64    `json:"service_time_seconds"`
	Flows              []FlowDump `json:"flows,omitempty"`
}

// FlowDump is the state of the queue of one workspace in one priority class.
type FlowDump struct {
	Workspace string  `json:"workspace"`
	Priority  string  `json:"priority"`
	Waiting   int     `json:"waiting"`
	Cost      float64 `json:"cost"`
	StartTag  float64 `json:"start_tag"`
	FinishTag float64 `json:"finish_tag"`
}

// Dump returns the state of the scheduler, sorted by name.
func (s *Scheduler) Dump() Dump {
	dump := Dump{Policy: s.policy, Waiting: len(s.deadlines)}
	for _, q := range s.queues {
		dump.Models = append(dump.Models, q.dump())
	}
	slices.SortFunc(dump.Models, func(a, b ModelDump) int { return strings.Compare(a.Model, b.Model) })
	return dump
}

func (q *queue) dump() ModelDump {
	dump := ModelDump{
		Model:              q.model,
		Capacity:           q.capacity,
		InFlight:           q.inFlight,
		ExpectedReady:      q.expectedReady,
		SecondsPerCost:     q.secondsPerCost(),
		ServiceTimeSeconds: q.serviceTime.value,
	}
	for priority := range q.classes {
		for _, f := range q.classes[priority].flows {
			dump.Flows = append(dump.Flows, f.dump(Priority(priority)))
		}
	}
	slices.SortFunc(dump.Flows, func(a, b FlowDump) int {
		return strings.Compare(a.Workspace+a.Priority, b.Workspace+b.Priority)
	})
	return dump
}

func (f *flow) dump(priority Priority) FlowDump {
	return FlowDump{
		Workspace: f.workspace,
		Priority:  priority.String(),
		Waiting:   f.waiters.length,
		Cost:      f.cost,
		StartTag:  f.startTag,
		FinishTag: f.finishTag,
	}
}
