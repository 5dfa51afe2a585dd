package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// raiseShare is the share of a patient request's objective that is left when it stops
	// yielding: the rest must cover the wait for the next slot.
	raiseShare = 0.2
	// urgencyStep is by how much one level of urgency outweighs an earlier due time. It is
	// well below the objectives, so that requests of less urgent kinds are not starved.
	urgencyStep = 100 * time.Millisecond
	// standingTime is for how long requests must be expected to miss their objectives before
	// new ones are refused that would miss theirs. A shorter burst is served late instead.
	standingTime = 2 * time.Second
	// standingEnd is for how long none may be expected to miss it before that ends.
	standingEnd = time.Second
	// urgencyMargin is by how much the share served of a kind is to be ahead of that of the
	// next less urgent kind.
	urgencyMargin = 0.1
	// shareTime is the time constant of the share of each kind that is served.
	shareTime = 15 * time.Second
	// heavyRatio is the ratio of the recent demand of a workspace to the mean of the others
	// from which its requests are refused first. Workspaces that send alike differ by less at
	// a host that gets a few requests a second.
	heavyRatio = 3.0
	// heavyDelay is by how much later its requests count as due.
	heavyDelay = 300 * time.Millisecond
	// minUsageCount is the number of recent requests from which workspaces are compared.
	minUsageCount = 20
	// heavySlack is the part of the slack within which requests of such a workspace are accepted
	// in overload. The rest is left to the other workspaces.
	heavySlack = 0.25
	// reviewTolerance is the part of the expected wait by which requests are refused that
	// wait already: estimates vary, and a refusal late costs more than one at once.
	reviewTolerance = 0.7
	// minShareSamples is the number of recent requests of a kind from which its share served
	// is compared with that of others.
	minShareSamples = 3
	// minRefusedCount is the count of refusals from which other hosts are told the counts of
	// a service.
	minRefusedCount = 0.2
	// overloadSlack is the part of the slack within which requests are expected to start that
	// are accepted in overload. The rest covers what other hosts have sent since the last news.
	overloadSlack = 0.5
	// overloadShare is the share of a service's recent requests that were refused, at all
	// hosts, from which it counts as overloaded.
	overloadShare = 0.1
	// minOverloadCount is the number of refusals from which that share is looked at.
	minOverloadCount = 5
	// pressureShare is the part of the shortest objective that the expected wait must exceed
	// for requests of kinds to be refused that have been served better than others.
	pressureShare = 0.3
	// releaseTime is the time constant of the measured intervals between releases.
	releaseTime = 4 * time.Second
	// arrivalTime is the time constant of the measured rates of arrivals.
	arrivalTime = 4 * time.Second
	// maxNewsAge is how long the credit of the last news limits a host; after a second without
	// news it goes by its own counts.
	maxNewsAge = time.Second
	// maxFlows bounds the workspaces whose past use is remembered for a service.
	maxFlows = 1024
	// maxQueues bounds the queues whose measurements are remembered.
	maxQueues = 2048
)

// QueueKey identifies the requests that the same upstreams can serve. Model is "" for plain
// services.
type QueueKey struct{ Service, Model string }

// SlotRequest describes a request that needs a slot of one of several upstreams.
type SlotRequest struct {
	ID        string
	Queue     QueueKey
	Workspace string
	Weight    float64 // weight of the workspace in fair sharing; 0 or less counts as 1
	Cost      float64 // expected tokens; 0 or less counts as 1
	// Urgency is 0 for the most urgent requests. MostUrgent is that of the service's most
	// urgent kind of request.
	Urgency, MostUrgent int
	// Patient requests have a distant objective: they yield until little slack is left and
	// are as urgent as MostUrgent from then on.
	Patient   bool
	ArrivedAt time.Time
	Objective time.Duration // from ArrivedAt to the response or its first event
	Deadline  time.Time     // latest start that is of use
	// Committed requests are not refused in favour of others: a part of them has run.
	Committed bool
}

func (r SlotRequest) withDefaults() SlotRequest {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	return r
}

// Supply is what can serve the requests of a queue.
type Supply struct {
	// Slots is the number of slots of all upstreams; 0: unknown.
	Slots int
	// Elsewhere is the number of requests that wait at other hosts and do not yield, and
	// Since for how long there have been any, as of the last news.
	Elsewhere int
	Since     time.Time // zero: there are none
	// Queued is the number of requests in the queues of the upstreams.
	Queued int
}

func (s *Supply) ahead() int { return s.Elsewhere + s.Queued }

// Entry is a request in a Backlog.
type Entry struct {
	Request     SlotRequest
	Err         error // why it was refused: a DeadlineError, a QueueFullError or nil
	state       State
	submittedAt time.Time
	limit       time.Time // latest acceptable start, for the decision to refuse
	sequence    uint64
	heavy       bool // its workspace asks for much more than others
	place       place
}

// State returns the entry's state: Waiting, Dispatched, Expired (refused) or Canceled.
func (e *Entry) State() State { return e.state }

// SubmittedAt returns when the request began to wait.
func (e *Entry) SubmittedAt() time.Time { return e.submittedAt }

// tier ranks waiting requests by their slack. A lower tier goes first.
type tier uint8

const (
	tierDue      tier = iota // can meet the objective if it starts soon
	tierLate                 // misses the objective in any case
	tierYielding             // patient, with slack left
)

// place is the place of an entry in the order at one moment.
type place struct {
	tier     tier
	urgency  int
	due      time.Time // latest start that meets the objective
	groupDue time.Time // earliest due time in the tier and urgency, less what urgency outweighs
	tag      float64   // start tag of the workspace
}

// Backlog orders the requests that wait at one host until an upstream has a free slot, and
// refuses those that can't start in time. The upstreams of two queues may overlap, so it
// does not count slots: its owner says which requests fit. It has no clock and is not safe
// for concurrent use.
type Backlog struct {
	limits   Limits
	waiting  []*Entry
	queues   map[QueueKey]*slotQueue
	services map[string]*slotService
	sequence uint64
}

// slotService is what is remembered of a service.
type slotService struct {
	fair        fairQueue // flows are used for their tags only
	kinds       map[kind]*servedShare
	usage       map[string]*usage // by workspace
	total       usage
	heavyAt     time.Time // last request of a workspace that asks for much more than others
	serviceTime ewma      // seconds
	first       ewma      // seconds from the start of a run to its response or first event
}

// slotQueue is what is remembered of a queue.
type slotQueue struct {
	supply      Supply
	waiting     int
	serviceTime ewma        // seconds
	first       ewma        // seconds
	releases    releaseRate // while requests wait, with the slots that others take left out
	// missSince is since when requests have been expected to miss their objectives, missAt
	// when one was expected to last; zero: never.
	missSince, missAt time.Time
	// While limited, credit is the number of requests that may be sent before the next news.
	limited bool
	credit  float64
	newsAt  time.Time
	// contended reports that a request found no slot since this was last told.
	contended bool
	arrivals  arrivalRate
}

// NewBacklog returns an empty Backlog.
func NewBacklog(limits Limits) *Backlog {
	return &Backlog{limits: limits, queues: map[QueueKey]*slotQueue{}, services: map[string]*slotService{}}
}

func (b *Backlog) queue(key QueueKey) *slotQueue {
	q := b.queues[key]
	if q == nil {
		if len(b.queues) >= maxQueues {
			for k, idle := range b.queues {
				if idle.waiting == 0 {
					delete(b.queues, k)
				}
			}
		}
		q = &slotQueue{}
		b.queues[key] = q
	}
	return q
}

func (b *Backlog) service(name string) *slotService {
	s := b.services[name]
	if s == nil {
		s = &slotService{fair: newFairQueue(), kinds: map[kind]*servedShare{}, usage: map[string]*usage{}}
		b.services[name] = s
	}
	return s
}

// tag returns the start tag of a workspace.
func (s *slotService) tag(workspace string) float64 {
	if f := s.fair.flows[workspace]; f != nil {
		return max(s.fair.virtualTime, f.finishTag)
	}
	return s.fair.virtualTime
}

// charge accounts for a slot that a workspace got.
func (s *slotService) charge(r *SlotRequest) {
	if len(s.fair.flows) >= maxFlows {
		for name, f := range s.fair.flows {
			if f.finishTag <= s.fair.virtualTime {
				delete(s.fair.flows, name)
			}
		}
	}
	if s.fair.flows[r.Workspace] == nil {
		s.fair.flows[r.Workspace] = &flow{workspace: r.Workspace, heapIndex: -1}
	}
	s.fair.charge(&flowRequest{workspace: r.Workspace, weight: r.Weight, cost: r.Cost})
}

// Len returns the number of waiting requests.
func (b *Backlog) Len() int { return len(b.waiting) }

// Waiting returns the number of waiting requests of a queue.
func (b *Backlog) Waiting(key QueueKey) int {
	if q := b.queues[key]; q != nil {
		return q.waiting
	}
	return 0
}

// SetSupply sets what can serve the requests of a queue. A different number of slots
// restarts the measurement of releases.
func (b *Backlog) SetSupply(key QueueKey, supply Supply) {
	q := b.queue(key)
	if q.supply.Slots != supply.Slots {
		q.releases = releaseRate{at: q.releases.at}
	}
	q.supply = supply
}

// RecordServed counts a request that got a slot without waiting.
func (b *Backlog) RecordServed(now time.Time, request *SlotRequest) {
	r := request.withDefaults()
	q := b.queue(r.Queue)
	q.arrivals.add(now, 1)
	q.spend()
	s := b.service(r.Queue.Service)
	s.recordUsage(now, &r)
	if !s.isHeavy(now, r.Workspace) {
		s.share(r.Urgency, r.Objective).add(now, 1, 0)
	}
}

// RecordLost corrects the count of a request that was sent to an upstream in vain: its caller
// left, or its time was over, before it began to be answered.
func (b *Backlog) RecordLost(now time.Time, r *SlotRequest) {
	b.service(r.Queue.Service).share(r.Urgency, r.Objective).add(now, -1, 1)
}

// RecordNotRun takes back the count of a request that its upstream did not run.
func (b *Backlog) RecordNotRun(now time.Time, r *SlotRequest) {
	b.service(r.Queue.Service).share(r.Urgency, r.Objective).add(now, -1, 0)
}

// Due returns the latest start with which a request meets its objective.
func (b *Backlog) Due(r *SlotRequest) time.Time {
	first := estimate(b.queue(r.Queue).first, b.service(r.Queue.Service).first)
	return r.ArrivedAt.Add(r.Objective - seconds(first))
}

// Urgency returns the urgency of a request at a time: that of the most urgent kind for a
// patient request whose slack is nearly used up.
func (b *Backlog) Urgency(now time.Time, r *SlotRequest) int {
	if r.Patient && !b.yields(now, r, b.Due(r)) {
		return min(r.Urgency, r.MostUrgent)
	}
	return r.Urgency
}

// yields reports whether a patient request lets others go first.
func (b *Backlog) yields(now time.Time, r *SlotRequest, due time.Time) bool {
	if !r.Patient || r.Committed {
		return false
	}
	return due.Sub(now) > max(seconds(raiseShare*r.Objective.Seconds()), 2*b.interval(now, r.Queue))
}

// Yields reports whether a request lets others go first at a time: it is patient and has
// slack left.
func (b *Backlog) Yields(now time.Time, r *SlotRequest) bool { return b.yields(now, r, b.Due(r)) }

// Submit adds a request. It returns its entry and those that are refused now, of which it
// may be one.
func (b *Backlog) Submit(now time.Time, r SlotRequest) (e *Entry, refused []*Entry) {
	r = r.withDefaults()
	b.sequence++
	e = &Entry{Request: r, submittedAt: now, sequence: b.sequence, limit: r.Deadline}
	q, s := b.queue(r.Queue), b.service(r.Queue.Service)
	s.recordUsage(now, &r)
	e.heavy = s.isHeavy(now, r.Workspace)
	q.arrivals.add(now, 1)
	q.contended = true
	if err := b.checkLimits(now, e); err != nil {
		b.refuse(now, e, err)
		return e, []*Entry{e}
	}
	b.waiting = append(b.waiting, e)
	q.waiting++
	if q.waiting == 1 {
		q.releases.at = now
	}
	overloaded := q.overloaded(now) || s.refusing()
	if overloaded && !r.Committed {
		part := overloadSlack
		switch {
		case e.heavy:
			part = heavySlack
		case r.Patient:
			part = 0.9 // it yields for most of its slack, and goes first then
		}
		e.limit = earlier(now.Add(seconds(part*b.Due(&r).Sub(now).Seconds())), r.Deadline)
	}
	if !r.Deadline.After(now) {
		b.refuse(now, e, &DeadlineError{RetryAfter: b.interval(now, r.Queue)})
		return e, []*Entry{e}
	}
	b.observeMisses(now, r.Queue)
	wait := b.interval(now, r.Queue) * time.Duration(b.ahead(now, r.Queue)+q.waiting)
	if overloaded && !r.Committed && !e.heavy && b.preferred(now, &r, wait) {
		b.refuse(now, e, &DeadlineError{Unmeetable: true, Wait: wait, RetryAfter: wait})
		return e, []*Entry{e}
	}
	return e, b.shed(now, r.Queue, 1)
}

func (b *Backlog) of(key QueueKey) []*Entry {
	entries := make([]*Entry, 0, b.Waiting(key))
	for _, e := range b.waiting {
		if e.Request.Queue == key {
			entries = append(entries, e)
		}
	}
	return entries
}

func (b *Backlog) remove(e *Entry, state State) {
	e.state = state
	i := slices.Index(b.waiting, e)
	if i < 0 {
		return
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	q := b.queue(e.Request.Queue)
	q.waiting--
	if q.waiting == 0 {
		q.releases = releaseRate{}
	}
}

// Cancel removes a waiting request. It reports whether the request was still waiting.
func (b *Backlog) Cancel(e *Entry) bool {
	if e.state != Waiting {
		return false
	}
	b.remove(e, Canceled)
	return true
}

// Order returns the waiting requests, the next one first.
func (b *Backlog) Order(now time.Time) []*Entry {
	type group struct {
		tier    tier
		urgency int
		heavy   bool
	}
	groupDue := map[group]time.Time{}
	for _, e := range b.waiting {
		p := b.placeOf(now, e)
		key := group{p.tier, p.urgency, e.heavy}
		groupDue[key] = earlier(groupDue[key], p.due)
		e.place = p
	}
	order := slices.Clone(b.waiting)
	for _, e := range order {
		due := groupDue[group{e.place.tier, e.place.urgency, e.heavy}]
		e.place.groupDue = due.Add(urgencyStep * time.Duration(e.place.urgency))
		if e.heavy {
			e.place.groupDue = e.place.groupDue.Add(heavyDelay)
		}
	}
	slices.SortFunc(order, func(a, c *Entry) int {
		return cmp.Or(cmp.Compare(a.place.tier, c.place.tier), a.place.groupDue.Compare(c.place.groupDue),
			cmp.Compare(a.place.urgency, c.place.urgency), cmp.Compare(a.place.tag, c.place.tag),
			a.place.due.Compare(c.place.due), cmp.Compare(a.sequence, c.sequence))
	})
	return order
}

func (b *Backlog) placeOf(now time.Time, e *Entry) place {
	r := &e.Request
	p := place{urgency: r.Urgency, due: b.Due(r), tag: b.service(r.Queue.Service).tag(r.Workspace)}
	switch {
	case r.Committed:
		p.urgency, p.due = min(r.Urgency, r.MostUrgent), earlier(p.due, now)
	case b.yields(now, r, p.due):
		p.tier = tierYielding
	case p.due.Before(now):
		p.tier = tierLate
	case r.Patient:
		p.urgency = min(r.Urgency, r.MostUrgent)
	}
	return p
}

// Next removes and returns the first request in order that fits, nil if there is none.
func (b *Backlog) Next(now time.Time, fits func(*Entry) bool) *Entry {
	for _, e := range b.Order(now) {
		if fits(e) {
			b.dispatch(now, e)
			return e
		}
	}
	return nil
}

func (b *Backlog) dispatch(now time.Time, e *Entry) {
	q, s := b.queue(e.Request.Queue), b.service(e.Request.Queue.Service)
	q.releases.add(now, 1)
	q.spend()
	s.charge(&e.Request)
	if !e.heavy {
		s.share(e.Request.Urgency, e.Request.Objective).add(now, 1, 0)
	}
	b.remove(e, Dispatched)
}
