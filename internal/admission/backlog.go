package admission

import (
	"cmp"
	"math"
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
	standingTime = time.Second
	// standingEnd is for how long none may be expected to miss it before that ends.
	standingEnd = 2 * time.Second
	// urgencyMargin is by how much the share served of a kind is to be ahead of that of the
	// next less urgent kind.
	urgencyMargin = 0.06
	// shareTime is the time constant of the share of each kind that is served.
	shareTime = 15 * time.Second
	// hoggingRatio is the ratio of a workspace's waiting cost to the mean of all waiting
	// workspaces from which its requests are refused first.
	hoggingRatio = 2.0
	// reviewTolerance is the part of the expected wait by which requests are refused that
	// wait already: estimates vary, and a refusal late costs more than one at once.
	reviewTolerance = 0.7
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

// Supply is what can serve the requests of a queue.
type Supply struct {
	// Slots is the number of slots of all upstreams; 0: unknown.
	Slots int
	// Ahead is the number of requests elsewhere, at other hosts or in the queues of
	// upstreams, that are expected to start before those of this host.
	Ahead int
}

// Entry is a request in a Backlog.
type Entry struct {
	Request     SlotRequest
	Err         error // why it was refused: a DeadlineError, a QueueFullError or nil
	state       State
	submittedAt time.Time
	limit       time.Time // latest acceptable start, for the decision to refuse
	sequence    uint64
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
	serviceTime ewma // seconds
	first       ewma // seconds from the start of a run to its response or first event
}

// kind identifies requests that are expected to be served equally often.
type kind struct {
	urgency   int
	objective time.Duration
}

// slotQueue is what is remembered of a queue.
type slotQueue struct {
	supply      Supply
	waiting     int
	serviceTime ewma // seconds
	first       ewma // seconds
	// release is the interval between releases while requests wait, in seconds. It includes
	// the slots that other hosts and other queues take.
	release     ewma
	lastRelease time.Time // zero: none since requests began to wait
	// missSince is since when requests have been expected to miss their objectives, missAt
	// when one was expected to last; zero: never.
	missSince, missAt time.Time
}

// servedShare is the share of the requests of a kind that was not refused.
type servedShare struct {
	served, refused float64
	at              time.Time
}

func (s *servedShare) add(now time.Time, served, refused float64) {
	if elapsed := now.Sub(s.at); elapsed > shareTime/64 {
		decay := math.Exp(-elapsed.Seconds() / shareTime.Seconds())
		s.served, s.refused, s.at = s.served*decay, s.refused*decay, now
	}
	s.served += served
	s.refused += refused
}

// value counts two more as served, so that the first refusal decides little.
func (s *servedShare) value() float64 { return (s.served + 2) / (s.served + s.refused + 2) }

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
		s = &slotService{fair: newFairQueue(), kinds: map[kind]*servedShare{}}
		b.services[name] = s
	}
	return s
}

func (s *slotService) share(r *SlotRequest) *servedShare {
	key := kind{r.Urgency, r.Objective}
	share := s.kinds[key]
	if share == nil {
		share = &servedShare{}
		s.kinds[key] = share
	}
	return share
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
		q.release, q.lastRelease = ewma{}, time.Time{}
	}
	q.supply = supply
}

// RecordFirst records the time from the start of a run to its response or first event.
func (b *Backlog) RecordFirst(key QueueKey, took time.Duration) {
	b.queue(key).first.add(took.Seconds())
	b.service(key.Service).first.add(took.Seconds())
}

// RecordRun records how long a complete run held its slot.
func (b *Backlog) RecordRun(key QueueKey, took time.Duration) {
	b.queue(key).serviceTime.add(took.Seconds())
	b.service(key.Service).serviceTime.add(took.Seconds())
}

// RecordServed counts a request that got a slot without waiting.
func (b *Backlog) RecordServed(now time.Time, r *SlotRequest) {
	b.service(r.Queue.Service).share(r).add(now, 1, 0)
}

// estimate returns a measurement of the queue or, if it has too few, of its service.
func estimate(own, all ewma) float64 {
	if own.count >= minRateSamples || !all.known() {
		return own.value
	}
	return all.value
}

// ServiceTime returns the expected time for which a run holds its slot; 0: unknown.
func (b *Backlog) ServiceTime(key QueueKey) time.Duration {
	return seconds(estimate(b.queue(key).serviceTime, b.service(key.Service).serviceTime))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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
	left := max(seconds(raiseShare*r.Objective.Seconds()), 2*b.interval(now, r.Queue))
	return r.Patient && !r.Committed && due.Sub(now) > left
}

// Yields reports whether a request lets others go first at a time: it is patient and has
// slack left.
func (b *Backlog) Yields(now time.Time, r *SlotRequest) bool { return b.yields(now, r, b.Due(r)) }

// interval returns the expected time between two releases of a queue; 0: unknown.
func (b *Backlog) interval(now time.Time, key QueueKey) time.Duration {
	q := b.queue(key)
	if q.release.count >= minRateSamples {
		// Releases that stay away show that the measured rate no longer holds.
		return max(seconds(q.release.value), now.Sub(q.lastRelease)/2)
	}
	if q.supply.Slots == 0 {
		return 0
	}
	return b.ServiceTime(key) / time.Duration(q.supply.Slots)
}

// ahead returns the releases to others that are expected before those to this host, if
// interval does not include them.
func (q *slotQueue) ahead() int {
	if q.release.count >= minRateSamples {
		return 0
	}
	return q.supply.Ahead
}

// Submit adds a request. It returns its entry and those that are refused now, of which it
// may be one.
func (b *Backlog) Submit(now time.Time, r SlotRequest) (e *Entry, refused []*Entry) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	b.sequence++
	e = &Entry{Request: r, submittedAt: now, sequence: b.sequence, limit: r.Deadline}
	q := b.queue(r.Queue)
	if err := b.checkLimits(now, e); err != nil {
		b.refuse(now, e, err, false)
		return e, []*Entry{e}
	}
	b.waiting = append(b.waiting, e)
	q.waiting++
	if q.overloaded(now) && !r.Committed {
		e.limit = earlier(b.Due(&r), r.Deadline)
	}
	if !r.Deadline.After(now) {
		b.refuse(now, e, &DeadlineError{RetryAfter: b.interval(now, r.Queue)}, false)
		return e, []*Entry{e}
	}
	b.observeMisses(now, r.Queue)
	return e, b.shed(now, r.Queue, 1)
}

func (b *Backlog) checkLimits(now time.Time, e *Entry) error {
	wait := b.interval(now, e.Request.Queue) * time.Duration(b.Waiting(e.Request.Queue)+1)
	if len(b.waiting) >= b.limits.Waiting {
		return &QueueFullError{Limit: b.limits.Waiting, RetryAfter: wait}
	}
	own := 0
	for _, other := range b.waiting {
		if other.Request.Workspace == e.Request.Workspace {
			own++
		}
	}
	if own >= b.limits.WaitingPerWorkspace {
		return &QueueFullError{Workspace: e.Request.Workspace, Limit: b.limits.WaitingPerWorkspace, RetryAfter: wait}
	}
	return nil
}

// overloaded reports whether requests have been expected to miss their objectives for so
// long that further ones are better refused.
func (q *slotQueue) overloaded(now time.Time) bool {
	return !q.missSince.IsZero() && now.Sub(q.missSince) >= standingTime && now.Sub(q.missAt) < standingEnd
}

// observeMisses records whether a waiting request of the queue is expected to miss its
// objective.
func (b *Backlog) observeMisses(now time.Time, key QueueKey) {
	q := b.queue(key)
	entries := b.of(key)
	for _, e := range entries {
		e.place.due = b.Due(&e.Request)
	}
	slices.SortFunc(entries, func(a, c *Entry) int { return a.place.due.Compare(c.place.due) })
	interval := b.interval(now, key)
	for i, e := range entries {
		if now.Add(interval * time.Duration(q.ahead()+i+1)).After(e.place.due) {
			if q.missSince.IsZero() || now.Sub(q.missAt) >= standingEnd {
				q.missSince = now
			}
			q.missAt = now
			return
		}
	}
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

// shed refuses requests of a queue until all others are expected to start by their limits,
// and returns the refused ones. part scales the expected waits. In order of their limits,
// the first request that would start too late shows that one of those up to it must be
// refused (the algorithm of Moore and Hodgson, for requests of equal length).
func (b *Backlog) shed(now time.Time, key QueueKey, part float64) (refused []*Entry) {
	interval := b.interval(now, key)
	if interval == 0 {
		return nil // nothing is refused without a measurement
	}
	q := b.queue(key)
	entries := b.of(key)
	slices.SortStableFunc(entries, func(a, c *Entry) int { return a.limit.Compare(c.limit) })
	kept := make([]*Entry, 0, len(entries))
	for _, e := range entries {
		kept = append(kept, e)
		wait := interval * time.Duration(q.ahead()+len(kept))
		if now.Add(seconds(part * wait.Seconds())).After(e.limit) {
			victim, hog := b.victim(kept)
			if victim == nil {
				continue
			}
			kept = slices.DeleteFunc(kept, func(other *Entry) bool { return other == victim })
			b.refuse(now, victim, &DeadlineError{Unmeetable: true, Wait: wait, RetryAfter: wait}, hog)
			refused = append(refused, victim)
		}
	}
	return refused
}

// victim returns which of the requests is refused: one of a workspace that hogs the queue,
// else one of the kind that is served best, allowing for urgency; of these the newest, as a
// late refusal costs its caller more. It returns nil if none may be refused.
func (b *Backlog) victim(among []*Entry) (victim *Entry, hog bool) {
	hogs := hogging(among)
	best := 0.0
	for _, e := range among {
		if e.Request.Committed {
			continue
		}
		score := b.service(e.Request.Queue.Service).share(&e.Request).value() + urgencyMargin*float64(e.Request.Urgency)
		if hogs[e.Request.Workspace] {
			score += 100
		}
		if victim == nil || score > best || score == best && e.sequence > victim.sequence {
			victim, best = e, score
		}
	}
	return victim, victim != nil && hogs[victim.Request.Workspace]
}

// hogging returns the workspaces that wait with much more than the others.
func hogging(entries []*Entry) map[string]bool {
	costs, total := map[string]float64{}, 0.0
	for _, e := range entries {
		cost := e.Request.Cost / e.Request.Weight
		costs[e.Request.Workspace] += cost
		total += cost
	}
	if len(costs) < 2 {
		return nil
	}
	hogs := map[string]bool{}
	for workspace, cost := range costs {
		others := (total - cost) / float64(len(costs)-1)
		if cost > hoggingRatio*others && len(entries) > 2*len(costs) {
			hogs[workspace] = true
		}
	}
	return hogs
}

// refuse ends the wait of an entry with an error. The refusals of a workspace that hogs the
// queue do not count for its kind: other workspaces would pay for them.
func (b *Backlog) refuse(now time.Time, e *Entry, err error, hog bool) {
	b.remove(e, Expired)
	e.Err = err
	if !hog {
		b.service(e.Request.Queue.Service).share(&e.Request).add(now, 0, 1)
	}
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
		q.release, q.lastRelease = ewma{}, time.Time{}
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

// Review refuses the waiting requests whose deadlines have passed and those that clearly
// can't start in time, as when upstreams were lost.
func (b *Backlog) Review(now time.Time) (refused []*Entry) {
	for _, e := range slices.Clone(b.waiting) {
		if !e.Request.Deadline.After(now) {
			b.refuse(now, e, &DeadlineError{Wait: now.Sub(e.submittedAt), RetryAfter: b.interval(now, e.Request.Queue)}, false)
			refused = append(refused, e)
		}
	}
	for key, q := range b.queues {
		if q.waiting > 0 {
			refused = append(refused, b.shed(now, key, reviewTolerance)...)
		}
	}
	return refused
}

// Order returns the waiting requests, the next one first.
func (b *Backlog) Order(now time.Time) []*Entry {
	type group struct {
		tier    tier
		urgency int
	}
	groupDue := map[group]time.Time{}
	for _, e := range b.waiting {
		p := b.placeOf(now, e)
		key := group{p.tier, p.urgency}
		groupDue[key] = earlier(groupDue[key], p.due)
		e.place = p
	}
	order := slices.Clone(b.waiting)
	for _, e := range order {
		due := groupDue[group{e.place.tier, e.place.urgency}]
		e.place.groupDue = due.Add(urgencyStep * time.Duration(e.place.urgency))
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
	if !q.lastRelease.IsZero() {
		q.release.add(now.Sub(q.lastRelease).Seconds())
	}
	q.lastRelease = now
	s.charge(&e.Request)
	s.share(&e.Request).add(now, 1, 0)
	b.remove(e, Dispatched)
}
