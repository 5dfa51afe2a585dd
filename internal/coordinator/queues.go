package coordinator

import (
	"maps"
	"time"
)

// contendedTTL is how long hosts are told of a queue after a host last had a request that
// found no slot.
const contendedTTL = 2 * time.Second

// QueuedCount counts the requests of one host that wait for a slot and do not yield to
// others. A count of 0 means that a request found no slot since the last exchange.
type QueuedCount struct {
	ModelKey
	Count int `json:"count,omitempty"`
}

// QueuedDemand is the demand for the slots of a model, or of a plain service, of which
// requests found no slot lately.
type QueuedDemand struct {
	ModelKey
	Waiting int `json:"waiting,omitempty"` // requests that wait at other hosts
	// PerS is the rate of requests at all hosts; 0: unknown, as of plain services.
	PerS float64 `json:"per_s,omitempty"`
}

// KindCount counts the recent requests of a service by priority and objective, and those
// that got no slot.
type KindCount struct {
	Service     string  `json:"service"`
	Priority    int     `json:"priority"`
	ObjectiveMS int64   `json:"objective_ms"`
	Served      float64 `json:"served"`
	Refused     float64 `json:"refused"`
}

// kindKey identifies a KindCount.
type kindKey struct {
	service     string
	priority    int
	objectiveMS int64
}

func (c *KindCount) key() kindKey { return kindKey{c.Service, c.Priority, c.ObjectiveMS} }

// queueTracker collects what hosts report of their queues. It keeps sums, because a report of
// each host is compared with those of all others. It is not safe for concurrent use.
type queueTracker struct {
	hosts     map[string]queueReport
	waiting   map[ModelKey]int           // sum over hosts
	kinds     map[kindKey]*KindCount     // sum over hosts
	contended map[ModelKey]time.Duration // last report
}

type queueReport struct {
	at     time.Duration
	queued []QueuedCount
	kinds  []KindCount
}

func newQueueTracker() *queueTracker {
	return &queueTracker{
		hosts: map[string]queueReport{}, waiting: map[ModelKey]int{}, kinds: map[kindKey]*KindCount{}, contended: map[ModelKey]time.Duration{},
	}
}

// add adds a report to the sums, or subtracts it if sign is -1.
func (t *queueTracker) add(report queueReport, sign int) {
	for _, queued := range report.queued {
		addTo(t.waiting, queued.ModelKey, sign*queued.Count)
	}
	for _, c := range report.kinds {
		sum := t.kinds[c.key()]
		if sum == nil {
			sum = &KindCount{Service: c.Service, Priority: c.Priority, ObjectiveMS: c.ObjectiveMS}
			t.kinds[c.key()] = sum
		}
		sum.Served += float64(sign) * c.Served
		sum.Refused += float64(sign) * c.Refused
	}
}

func (t *queueTracker) remove(host string) {
	t.add(t.hosts[host], -1)
	delete(t.hosts, host)
	if len(t.hosts) == 0 {
		clear(t.kinds) // ends the rounding errors of the sums, and removes kinds that are gone
	}
}

func (t *queueTracker) record(now time.Duration, request *ExchangeRequest) {
	t.remove(request.Host)
	if len(request.Queued)+len(request.Kinds) == 0 {
		return
	}
	report := queueReport{at: now, queued: request.Queued, kinds: request.Kinds}
	t.hosts[request.Host] = report
	t.add(report, 1)
	for _, queued := range request.Queued {
		t.contended[queued.ModelKey] = now
	}
}

// expire drops the reports of silent hosts and queues that are no longer contended.
func (t *queueTracker) expire(now time.Duration) {
	for host, report := range t.hosts {
		if now-report.at > hostReportTTL {
			t.remove(host)
		}
	}
	maps.DeleteFunc(t.contended, func(_ ModelKey, at time.Duration) bool { return now-at > contendedTTL })
}

// reply adds what the other hosts have reported to a reply.
func (t *queueTracker) reply(now time.Duration, rates map[ModelKey]*modelRate, host string, reply *ExchangeReply) {
	own := t.hosts[host]
	waiting := map[ModelKey]int{}
	for _, queued := range own.queued {
		waiting[queued.ModelKey] -= queued.Count
	}
	for key := range t.contended {
		demand := QueuedDemand{ModelKey: key, Waiting: max(0, t.waiting[key]+waiting[key])}
		if rate := rates[key]; rate != nil {
			rate.add(now, 0, 0)
			demand.PerS = rate.rate
		}
		reply.Queued = append(reply.Queued, demand)
	}
	kinds := map[kindKey]KindCount{}
	for _, c := range own.kinds {
		kinds[c.key()] = c
	}
	for key, sum := range t.kinds {
		others := *sum
		others.Served = max(0, sum.Served-kinds[key].Served)
		others.Refused = max(0, sum.Refused-kinds[key].Refused)
		reply.Kinds = append(reply.Kinds, others)
	}
}
