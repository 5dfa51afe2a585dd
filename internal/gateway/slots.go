package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// newsGapDivisor is the inverse weight of a new interval in the mean time between two news.
const newsGapDivisor = 4

// newsAge returns the time since the last response of the coordinator.
func (e *exchanger) newsAge() time.Duration {
	if at := e.lastResponse.Load(); at != 0 {
		return clock.SinceBoot() - time.Duration(at)
	}
	return 0
}

// candidatesKey identifies the candidates of waiting requests.
type candidatesKey struct {
	admission.QueueKey
	adapter string
}

func candidatesKeyOf(d *dispatcher) candidatesKey {
	key := candidatesKey{QueueKey: d.queueKey()}
	if d.isEngine() {
		key.adapter = d.request.Adapter
	}
	return key
}

// closedKey identifies requests for which the same upstreams have room.
type closedKey struct {
	candidatesKey
	yields bool
}

// slotPass passes waiting requests on at one moment.
type slotPass struct {
	queue      *slotQueue
	now        time.Time
	candidates map[candidatesKey][]Candidate
	closed     map[closedKey]bool // no upstream has room for such requests
	selected   *Candidate         // of the last entry that fits
	release    func()             // of its slot
	stranded   []*admission.Entry // entries that no upstream can serve any more
}

// fits reports whether an upstream has room for a waiting request, and takes its slot.
func (p *slotPass) fits(entry *admission.Entry) bool {
	d := p.queue.waiters[entry].dispatcher
	key := closedKey{candidatesKeyOf(d), p.queue.backlog.Yields(p.now, &entry.Request)}
	if p.closed[key] {
		return false
	}
	usable := d.usable(p.candidatesOf(d))
	if len(usable) == 0 {
		p.stranded = append(p.stranded, entry)
		return false
	}
	if !p.queue.backlog.MaySend(p.now, entry.Request.Queue) {
		return false
	}
	p.selected, p.release = d.pick(usable, p.queue.withRoom(usable, d, &entry.Request, p.now)), nil
	if p.selected == nil {
		p.closed[key] = len(d.tried) == 0
		return false
	}
	selected := *p.selected
	p.selected = &selected
	if selected.HasAdapter {
		p.release = p.queue.takeSlot(d, &selected)
		p.addLoad(selected.Upstream.ID, d.request.PromptTokens+d.request.OutputTokens)
	}
	return true
}

// candidatesOf returns the candidates of a request. It looks them up once in a pass.
func (p *slotPass) candidatesOf(d *dispatcher) []Candidate {
	key := candidatesKeyOf(d)
	candidates, ok := p.candidates[key]
	if !ok {
		candidates = p.queue.gateway.registry.Candidates(key.Service, key.Model, key.adapter)
		p.candidates[key] = candidates
		p.queue.backlog.SetSupply(key.QueueKey, p.queue.supply(key.QueueKey, candidates))
	}
	return candidates
}

func (p *slotPass) addLoad(id string, tokens int) {
	for _, candidates := range p.candidates {
		for i := range candidates {
			if candidates[i].Upstream.ID == id {
				candidates[i].Load++
				candidates[i].Own++
				candidates[i].Room--
				candidates[i].Tokens += tokens
			}
		}
	}
}

// hasRoom reports whether a candidate has a free slot, or whether a request with some slack
// is better sent to its queue than held here. A request that yields is held here, as its
// place in the queue of an engine does not change any more. It requires q.mu.
func (q *slotQueue) hasRoom(c *Candidate, key admission.QueueKey, yields bool, slack time.Duration) bool {
	if len(q.full) > 0 && time.Now().Before(q.full[c.Upstream.ID]) {
		return false
	}
	if c.Upstream.Slots == 0 || c.Load < c.Upstream.Slots {
		return true
	}
	o := q.occupancy(c, key)
	return o.Free() || !yields && o.QueueThere(slack)
}

// occupancy returns what this host knows of the requests at a candidate. Without contact to
// the coordinator the counts of other hosts say nothing any more: the upstream itself refuses
// what is too much. It requires q.mu.
func (q *slotQueue) occupancy(c *Candidate, key admission.QueueKey) admission.Occupancy {
	others := c.Load - c.Own
	if !q.gateway.exchanger.Reached() {
		others = 0
	}
	return admission.Occupancy{
		Slots: c.Upstream.Slots, Own: c.Own, Others: others,
		ServiceTime: q.backlog.ServiceTime(key), NewsInterval: q.newsInterval(),
	}
}

// newsInterval returns the time between two news. It requires q.mu.
func (q *slotQueue) newsInterval() time.Duration {
	if q.newsGap > 0 {
		return q.newsGap
	}
	return exchangeIntervalFor(int(q.gateway.exchanger.hostCount.Load()), true)
}

// recordNews measures the time between two news. It requires q.mu.
func (q *slotQueue) recordNews(now time.Time) {
	gap := min(now.Sub(q.newsAt), reachedTimeout) // a longer one is an interruption
	if q.newsGap == 0 {
		q.newsGap = gap
	}
	q.newsGap += (gap - q.newsGap) / newsGapDivisor
	q.newsAt = now
}

// withRoom returns the candidates that have room for a request. It requires q.mu.
func (q *slotQueue) withRoom(candidates []Candidate, d *dispatcher, r *admission.SlotRequest, now time.Time) []Candidate {
	full := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Load >= c.Upstream.Slots && c.Upstream.Slots > 0 })
	if full < 0 && len(q.full) == 0 {
		return candidates
	}
	if r == nil {
		r = d.slotRequest()
	}
	yields, slack := q.backlog.Yields(now, r), q.backlog.Due(r).Sub(now)
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return !q.hasRoom(&c, r.Queue, yields, slack) })
}

// supply returns what can serve the requests of a queue. It requires q.mu.
func (q *slotQueue) supply(key admission.QueueKey, usable []Candidate) admission.Supply {
	news := q.news[key]
	supply := admission.Supply{Elsewhere: news.waiting, Since: news.since}
	for i := range usable {
		o := q.occupancy(&usable[i], key)
		supply.Slots += o.Slots
		supply.Queued += max(0, o.Own+o.Others-o.Slots)
	}
	return supply
}

// queueNews is what the coordinator has told of a queue.
type queueNews struct {
	waiting int       // requests that wait at other hosts
	since   time.Time // since when some have waited there; zero: none does
}

// report adds the queues of this host to an exchange. Without contention it adds nothing.
func (q *slotQueue) report(request *coordinator.ExchangeRequest) {
	if q == nil {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, count := range q.backlog.Contended(now) {
		request.Queued = append(request.Queued, coordinator.QueuedCount{ModelKey: coordinator.ModelKey(key), Count: count})
	}
	for _, c := range q.backlog.Counts(now) {
		request.Kinds = append(request.Kinds, coordinator.KindCount{
			Service: c.Service, Priority: c.Urgency, ObjectiveMS: c.Objective.Milliseconds(), Served: c.Served, Refused: c.Refused,
		})
	}
}

// forgetNews forgets what the coordinator has told of other hosts once it is lost.
func (q *slotQueue) forgetNews() {
	if q.news == nil || q.gateway.exchanger.Reached() {
		return
	}
	q.news = nil
	q.backlog.SetElsewhere(nil)
	q.backlog.EndNews(func(admission.QueueKey) bool { return false })
}

// applyNews applies what the coordinator says of the queues of other hosts, and passes
// waiting requests on.
func (q *slotQueue) applyNews(reply *coordinator.ExchangeReply) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordNews(now)
	known := q.news
	q.news = map[admission.QueueKey]queueNews{}
	for _, queued := range reply.Queued {
		key := admission.QueueKey(queued.ModelKey)
		news := queueNews{waiting: queued.Waiting, since: known[key].since}
		switch {
		case news.waiting == 0:
			news.since = time.Time{}
		case news.since.IsZero():
			news.since = now
		}
		q.news[key] = news
		q.applyQueueNews(now, key, queued, reply.Hosts)
	}
	q.backlog.EndNews(func(key admission.QueueKey) bool { _, ok := q.news[key]; return ok })
	counts := make([]admission.KindCount, 0, len(reply.Kinds))
	for _, c := range reply.Kinds {
		counts = append(counts, admission.KindCount{
			Service: c.Service, Urgency: c.Priority, Objective: time.Duration(c.ObjectiveMS) * time.Millisecond, Served: c.Served, Refused: c.Refused,
		})
	}
	q.backlog.SetElsewhere(counts)
	if q.backlog.Len() > 0 {
		q.release(now)
	}
}

// applyQueueNews limits this host to its part of the room at upstreams that other hosts use,
// too. The rate of requests for a plain service is not known: other hosts are taken to get as
// many as this one.
func (q *slotQueue) applyQueueNews(now time.Time, key admission.QueueKey, queued coordinator.QueuedDemand, hosts int) {
	room, shared := 0.0, false
	candidates := q.gateway.registry.Candidates(key.Service, key.Model, "")
	for i := range candidates {
		o := q.occupancy(&candidates[i], key)
		if o.Slots == 0 {
			return
		}
		room += o.Room()
		shared = shared || o.Others > 0
	}
	q.backlog.SetSupply(key, q.supply(key, candidates))
	interval := q.newsInterval()
	perS := queued.PerS
	if perS == 0 {
		perS = q.backlog.ArrivalsPerS(now, key) * float64(hosts)
	}
	if !shared {
		room = math.Inf(1) // this host sees each slot that comes free
	}
	q.backlog.News(now, key, admission.News{Room: room, Waiting: queued.Waiting, Arrivals: perS * interval.Seconds(), Interval: interval})
}
