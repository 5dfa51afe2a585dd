package admission

import (
	"cmp"
	"slices"
	"time"
)

// BacklogDump is the state of one queue of a Backlog as shown to operators.
type BacklogDump struct {
	Service  string `json:"service"`
	Model    string `json:"model,omitempty"`
	Waiting  int    `json:"waiting"`
	OldestMS int64  `json:"oldest_ms"`
	Slots    int    `json:"slots"` // of all upstreams; 0: unknown
	Ahead    int    `json:"ahead"` // requests elsewhere that start before those of this host
	// IntervalMS is the expected time between two releases, 0: unknown.
	IntervalMS    float64 `json:"interval_ms"`
	ServiceTimeMS int64   `json:"service_time_ms"`
	FirstMS       int64   `json:"first_ms"` // from the start of a run to its response or first event
	Overloaded    bool    `json:"overloaded"`
	// Limited reports that this host may send Credit requests before the next news.
	Limited bool    `json:"limited"`
	Credit  float64 `json:"credit"`
}

// Explain returns the state of a queue on which decisions are based.
func (b *Backlog) Explain(now time.Time, key QueueKey) BacklogDump {
	q := b.queue(key)
	dump := BacklogDump{
		Service: key.Service, Model: key.Model, Waiting: q.waiting, Slots: q.supply.Slots, Ahead: b.ahead(now, key),
		IntervalMS:    float64(b.interval(now, key).Microseconds()) / 1000,
		ServiceTimeMS: b.ServiceTime(key).Milliseconds(),
		FirstMS:       seconds(estimate(q.first, b.service(key.Service).first)).Milliseconds(),
		Overloaded:    q.overloaded(now) || b.service(key.Service).refusing(),
		Limited:       q.limited, Credit: q.credit,
	}
	for _, e := range b.of(key) {
		dump.OldestMS = max(dump.OldestMS, now.Sub(e.submittedAt).Milliseconds())
	}
	return dump
}

// Dump returns the state of the queues in which requests wait, by name.
func (b *Backlog) Dump(now time.Time) []BacklogDump {
	dump := []BacklogDump{}
	for key, q := range b.queues {
		if q.waiting > 0 {
			dump = append(dump, b.Explain(now, key))
		}
	}
	slices.SortFunc(dump, func(a, c BacklogDump) int {
		return cmp.Or(cmp.Compare(a.Service, c.Service), cmp.Compare(a.Model, c.Model))
	})
	return dump
}

// WaitingByService returns the number of waiting requests of each service seen so far.
func (b *Backlog) WaitingByService() map[string]int {
	counts := map[string]int{}
	for name := range b.services {
		counts[name] = 0
	}
	for _, e := range b.waiting {
		counts[e.Request.Queue.Service]++
	}
	return counts
}
