package admission

import (
	"cmp"
	"maps"
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
	standingTime = 2 * time.Second
	// standingEnd is for how long none may be expected to miss it before that ends.
	standingEnd = time.Second
	// urgencyMargin is by how much the share served of a kind is to be ahead of that of the
	// next less urgent kind.
	urgencyMargin = 0.1
	// shareTime is the time constant of the share of each kind that is served.
	shareTime = 15 * time.Second
	// hoggingRatio is the ratio of the recent demand of a workspace to the mean of the others
	// from which its requests are refused first. Workspaces that send alike differ by less at
	// a host that gets a few requests a second.
	hoggingRatio = 3.0
	// hogDelay is by how much later its requests count as due.
	hogDelay = 300 * time.Millisecond
	// minUsageCount is the number of recent requests from which workspaces are compared.
	minUsageCount = 20
	// hogSlack is the part of the slack within which requests of such a workspace are accepted
	// in overload. The rest is left to the other workspaces.
	hogSlack = 0.25
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
	hog         bool // its workspace asks for much more than others
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
	hogAt       time.Time // last request of a workspace that asks for much more than others
	serviceTime ewma      // seconds
	first       ewma      // seconds from the start of a run to its response or first event
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

// servedShare is the share of the requests of a kind that was not refused.
type servedShare struct {
	served, refused float64
	at              time.Time
	// elsewhere are the counts of other hosts, as of the last news.
	elsewhereServed, elsewhereRefused float64
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
func (s *servedShare) value() float64 {
	served := max(0, s.served+s.elsewhereServed) + 2
	return served / (served + s.refused + s.elsewhereRefused)
}

func (s *servedShare) count() float64 {
	return s.served + s.refused + s.elsewhereServed + s.elsewhereRefused
}

// KindCount counts the recent requests of a kind, with the time constant of shareTime.
type KindCount struct {
	Service         string
	Urgency         int
	Objective       time.Duration
	Served, Refused float64
}

// Counts returns the counts of this host of the services of which requests were refused.
func (b *Backlog) Counts(now time.Time) []KindCount {
	var counts []KindCount
	for name, s := range b.services {
		of, refused := []KindCount{}, 0.0
		for key, share := range s.kinds {
			share.add(now, 0, 0)
			refused += share.refused
			of = append(of, KindCount{name, key.urgency, key.objective, share.served, share.refused})
		}
		if refused >= minRefusedCount {
			counts = append(counts, of...)
		}
	}
	return counts
}

// SetElsewhere sets the counts of other hosts.
func (b *Backlog) SetElsewhere(counts []KindCount) {
	for _, s := range b.services {
		for _, share := range s.kinds {
			share.elsewhereServed, share.elsewhereRefused = 0, 0
		}
	}
	for _, c := range counts {
		share := b.service(c.Service).share(c.Urgency, c.Objective)
		share.elsewhereServed, share.elsewhereRefused = c.Served, c.Refused
	}
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

func (s *slotService) share(urgency int, objective time.Duration) *servedShare {
	key := kind{urgency, objective}
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
		q.releases = releaseRate{at: q.releases.at}
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
func (b *Backlog) RecordServed(now time.Time, request *SlotRequest) {
	r := request.withDefaults()
	q := b.queue(r.Queue)
	q.arrivals.add(now, 1)
	q.spend()
	s := b.service(r.Queue.Service)
	s.recordUsage(now, &r)
	if !s.hogs(now, r.Workspace) {
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
	if !r.Patient || r.Committed {
		return false
	}
	return due.Sub(now) > max(seconds(raiseShare*r.Objective.Seconds()), 2*b.interval(now, r.Queue))
}

// Yields reports whether a request lets others go first at a time: it is patient and has
// slack left.
func (b *Backlog) Yields(now time.Time, r *SlotRequest) bool { return b.yields(now, r, b.Due(r)) }

// interval returns the expected time between two releases of a queue; 0: unknown.
func (b *Backlog) interval(now time.Time, key QueueKey) time.Duration {
	q := b.queue(key)
	if interval, ok := b.measured(now, key, q); ok {
		return interval
	}
	if q.supply.Slots == 0 {
		return 0
	}
	return b.ServiceTime(key) / time.Duration(q.supply.Slots)
}

// ahead returns the releases to others that are expected before those to this host, if
// interval does not include them.
func (b *Backlog) ahead(now time.Time, key QueueKey) int {
	q := b.queue(key)
	if _, ok := b.measured(now, key, q); ok {
		return 0
	}
	return q.supply.ahead()
}

// releaseRate measures the interval between releases of a queue while requests wait. It
// includes the slots that other hosts and other queues take.
type releaseRate struct {
	busy     float64 // seconds, decayed with releaseTime
	released float64 // likewise
	at       time.Time
}

func (r *releaseRate) add(now time.Time, released float64) {
	if !r.at.IsZero() {
		decay := math.Exp(-now.Sub(r.at).Seconds() / releaseTime.Seconds())
		r.busy = r.busy*decay + releaseTime.Seconds()*(1-decay)
		r.released *= decay
	}
	r.released += released
	r.at = now
}

// measured returns the measured interval between releases. Runs that began together end
// together, so it is of use only after a whole service time.
func (b *Backlog) measured(now time.Time, key QueueKey, q *slotQueue) (time.Duration, bool) {
	r := q.releases
	r.add(now, 0)
	if r.released < minRateSamples || r.busy < b.ServiceTime(key).Seconds() {
		return 0, false
	}
	return seconds(r.busy / r.released), true
}

// Submit adds a request. It returns its entry and those that are refused now, of which it
// may be one.
func (b *Backlog) Submit(now time.Time, r SlotRequest) (e *Entry, refused []*Entry) {
	r = r.withDefaults()
	b.sequence++
	e = &Entry{Request: r, submittedAt: now, sequence: b.sequence, limit: r.Deadline}
	q, s := b.queue(r.Queue), b.service(r.Queue.Service)
	s.recordUsage(now, &r)
	e.hog = s.hogs(now, r.Workspace)
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
		case e.hog:
			part = hogSlack
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
	if overloaded && !r.Committed && !e.hog && b.preferred(now, &r, wait) {
		b.refuse(now, e, &DeadlineError{Unmeetable: true, Wait: wait, RetryAfter: wait})
		return e, []*Entry{e}
	}
	return e, b.shed(now, r.Queue, 1)
}

// refusing reports whether a notable part of the service's requests is refused.
func (s *slotService) refusing() bool {
	refused, total := 0.0, 0.0
	for _, share := range s.kinds {
		refused += share.refused + share.elsewhereRefused
		total += share.count()
	}
	return refused >= minOverloadCount && refused > overloadShare*total
}

// preferred reports whether the kind of a request has been served better than others that
// are as urgent or more. Its requests would take the slots of those that other hosts refuse:
// a patient kind can outwait every other one.
func (b *Backlog) preferred(now time.Time, r *SlotRequest, wait time.Duration) bool {
	s := b.service(r.Queue.Service)
	own := s.share(r.Urgency, r.Objective)
	shortest := r.Objective
	for key := range s.kinds {
		shortest = min(shortest, key.objective)
	}
	pressed := r.Patient && s.refusing() || wait >= seconds(pressureShare*shortest.Seconds())
	if !pressed || now.Sub(s.hogAt) < standingTime {
		return false // in the latter case the hog's requests make room
	}
	for key, other := range s.kinds {
		if other == own || key.urgency > r.Urgency || other.count() < minShareSamples {
			continue
		}
		if own.value() > other.value()-urgencyMargin*float64(r.Urgency-key.urgency) {
			return true
		}
	}
	return false
}

// News applies what the news say of a queue. If all hosts together are expected to send more
// than the upstreams have room for until the next news, this host gets credit for its part,
// by the requests that wait here and arrive: all hosts decide by the same old counts, and
// without credit each of them would send to the same free place.
func (b *Backlog) News(now time.Time, key QueueKey, news News) {
	q := b.queue(key)
	own := b.ArrivalsPerS(now, key) * news.Interval.Seconds()
	demand := float64(news.Waiting+q.waiting) + max(own, news.Arrivals)
	q.limited = news.Room < demand
	if !q.limited {
		return
	}
	part := news.Room * (float64(q.waiting) + own) / demand
	q.credit = min(q.credit+part, max(1, 2*part))
	q.newsAt = now
}

// arrivalRate is a rate of requests with the time constant arrivalTime.
type arrivalRate struct {
	perS float64
	at   time.Time
}

func (a *arrivalRate) add(now time.Time, arrivals float64) {
	decay := math.Exp(-now.Sub(a.at).Seconds() / arrivalTime.Seconds())
	a.perS, a.at = a.perS*decay+arrivals/arrivalTime.Seconds(), now
}

// ArrivalsPerS returns the rate of requests of a queue at this host.
func (b *Backlog) ArrivalsPerS(now time.Time, key QueueKey) float64 {
	q := b.queue(key)
	q.arrivals.add(now, 0)
	return q.arrivals.perS
}

// EndNews ends the limits of all queues that the last news do not mention.
func (b *Backlog) EndNews(mentioned func(QueueKey) bool) {
	for key, q := range b.queues {
		if q.limited && !mentioned(key) {
			q.limited, q.credit = false, 0
		}
	}
}

// Contended returns the queues of which a request found no slot since the last call, with
// the number of their requests that wait and do not yield.
func (b *Backlog) Contended(now time.Time) map[QueueKey]int {
	counts := map[QueueKey]int{}
	for key, q := range b.queues {
		if q.contended || q.waiting > 0 {
			counts[key] = 0
		}
		q.contended = false
	}
	for _, e := range b.waiting {
		if !b.Yields(now, &e.Request) {
			counts[e.Request.Queue]++
		}
	}
	return counts
}

// News is what the last news say of a queue whose upstreams several hosts use.
type News struct {
	Room     float64       // requests that the upstreams can take until the next news
	Waiting  int           // requests that wait at other hosts
	Arrivals float64       // expected requests at all hosts until the next news
	Interval time.Duration // between two news
}

// MaySend reports whether this host may send a request to the upstreams of a queue.
func (b *Backlog) MaySend(now time.Time, key QueueKey) bool {
	q := b.queue(key)
	return !q.limited || now.Sub(q.newsAt) > maxNewsAge || q.credit >= 1
}

func (q *slotQueue) spend() {
	if q.limited {
		q.credit--
	}
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
	if since := q.supply.Since; !since.IsZero() && now.Sub(since) >= standingTime {
		return true
	}
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
	interval, ahead := b.interval(now, key), b.ahead(now, key)
	for i, e := range entries {
		if now.Add(interval * time.Duration(ahead+i+1)).After(e.place.due) {
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
	ahead := b.ahead(now, key)
	entries := b.of(key)
	slices.SortStableFunc(entries, func(a, c *Entry) int { return a.limit.Compare(c.limit) })
	kept := make([]*Entry, 0, len(entries))
	for _, e := range entries {
		kept = append(kept, e)
		wait := interval * time.Duration(ahead+len(kept))
		if now.Add(seconds(part * wait.Seconds())).After(e.limit) {
			victim := b.victim(kept)
			if victim == nil {
				continue
			}
			kept = slices.DeleteFunc(kept, func(other *Entry) bool { return other == victim })
			b.refuse(now, victim, &DeadlineError{Unmeetable: true, Wait: wait, RetryAfter: wait})
			refused = append(refused, victim)
		}
	}
	return refused
}

// victim returns which of the requests is refused: one of a workspace that hogs the queue,
// else one of the kind that is served best, allowing for urgency; of these the newest, as a
// late refusal costs its caller more. It returns nil if none may be refused.
func (b *Backlog) victim(among []*Entry) (victim *Entry) {
	best := 0.0
	for _, e := range among {
		if e.Request.Committed {
			continue
		}
		score := b.service(e.Request.Queue.Service).share(e.Request.Urgency, e.Request.Objective).value() + urgencyMargin*float64(e.Request.Urgency)
		if e.hog {
			score++ // more than any share
		}
		if victim == nil || score > best || score == best && e.sequence > victim.sequence {
			victim, best = e, score
		}
	}
	return victim
}

// usage is what a workspace has asked for lately.
type usage struct {
	cost  float64 // by weight, decayed with shareTime
	count float64
	at    time.Time
}

func (u *usage) add(now time.Time, cost, count float64) {
	decay := math.Exp(-now.Sub(u.at).Seconds() / shareTime.Seconds())
	u.cost, u.count, u.at = u.cost*decay+cost, u.count*decay+count, now
}

// recordUsage counts an arriving request for its workspace.
func (s *slotService) recordUsage(now time.Time, r *SlotRequest) {
	u := s.usage[r.Workspace]
	if u == nil {
		if len(s.usage) >= maxFlows {
			maps.DeleteFunc(s.usage, func(_ string, u *usage) bool { return now.Sub(u.at) > shareTime })
		}
		u = &usage{}
		s.usage[r.Workspace] = u
	}
	u.add(now, r.Cost/r.Weight, 1)
	s.total.add(now, r.Cost/r.Weight, 1)
}

// hogs reports whether a workspace asks for much more than the others on average.
func (s *slotService) hogs(now time.Time, workspace string) bool {
	own := s.usage[workspace]
	if own == nil || len(s.usage) < 2 || s.total.count < minUsageCount {
		return false
	}
	own.add(now, 0, 0)
	s.total.add(now, 0, 0)
	if own.cost <= hoggingRatio*(s.total.cost-own.cost)/float64(len(s.usage)-1) {
		return false
	}
	s.hogAt = now
	return true
}

// refuse ends the wait of an entry with an error. What is refused or served of a workspace that
// asks for much more than the others does not count for its kind: others would pay for it.
func (b *Backlog) refuse(now time.Time, e *Entry, err error) {
	b.remove(e, Expired)
	e.Err = err
	if !e.hog {
		b.service(e.Request.Queue.Service).share(e.Request.Urgency, e.Request.Objective).add(now, 0, 1)
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

// Review refuses the waiting requests whose deadlines have passed and those that clearly
// can't start in time, as when upstreams were lost.
func (b *Backlog) Review(now time.Time) (refused []*Entry) {
	for _, e := range slices.Clone(b.waiting) {
		if !e.Request.Deadline.After(now) {
			b.refuse(now, e, &DeadlineError{Wait: now.Sub(e.submittedAt), RetryAfter: b.interval(now, e.Request.Queue)})
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
		hog     bool
	}
	groupDue := map[group]time.Time{}
	for _, e := range b.waiting {
		p := b.placeOf(now, e)
		key := group{p.tier, p.urgency, e.hog}
		groupDue[key] = earlier(groupDue[key], p.due)
		e.place = p
	}
	order := slices.Clone(b.waiting)
	for _, e := range order {
		due := groupDue[group{e.place.tier, e.place.urgency, e.hog}]
		e.place.groupDue = due.Add(urgencyStep * time.Duration(e.place.urgency))
		if e.hog {
			e.place.groupDue = e.place.groupDue.Add(hogDelay)
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
	if !e.hog {
		s.share(e.Request.Urgency, e.Request.Objective).add(now, 1, 0)
	}
	b.remove(e, Dispatched)
}
