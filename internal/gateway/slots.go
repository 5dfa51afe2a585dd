package gateway

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

// otherLoad returns the requests of other hosts at an upstream, as of the last exchange.
func (r *Registry) otherLoad(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.otherHosts[id]
}

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

// slotPass passes waiting requests on at one moment.
type slotPass struct {
	queue      *slotQueue
	now        time.Time
	candidates map[candidatesKey][]Candidate
	selected   *Candidate         // of the last entry that fits
	release    func()             // of its slot
	stranded   []*admission.Entry // entries that no upstream can serve any more
}

// fits reports whether an upstream has room for a waiting request, and takes its slot.
func (p *slotPass) fits(entry *admission.Entry) bool {
	d := p.queue.waiters[entry].dispatcher
	usable := d.usable(p.candidatesOf(d))
	if len(usable) == 0 {
		p.stranded = append(p.stranded, entry)
		return false
	}
	p.selected, p.release = d.pick(usable, p.queue.withRoom(usable, p.mayQueue(entry))), nil
	if p.selected == nil {
		return false
	}
	selected := *p.selected
	p.selected = &selected
	if selected.HasAdapter {
		p.release = p.queue.takeSlot(d, &selected)
		p.addLoad(selected.Upstream.ID)
	}
	return true
}

// candidatesOf returns the candidates of a request. It looks them up once in a pass.
func (p *slotPass) candidatesOf(d *dispatcher) []Candidate {
	key := candidatesKey{d.queueKey(), d.request.Adapter}
	candidates, ok := p.candidates[key]
	if !ok {
		candidates = p.queue.gateway.registry.Candidates(key.Service, key.Model, key.adapter)
		p.candidates[key] = candidates
		p.queue.backlog.SetSupply(key.QueueKey, p.queue.supply(key.QueueKey, candidates))
	}
	return candidates
}

func (p *slotPass) addLoad(id string) {
	for _, candidates := range p.candidates {
		for i := range candidates {
			if candidates[i].Upstream.ID == id {
				candidates[i].Load++
			}
		}
	}
}

// mayQueue returns which full upstreams a request may be sent to: those in whose own queue
// it is expected to start sooner than here. A request that yields is held here, as its place
// in the queue of an engine does not change any more.
func (p *slotPass) mayQueue(entry *admission.Entry) func(*Candidate) bool {
	q := p.queue
	r := &entry.Request
	if q.backlog.Yields(p.now, r) {
		return nil
	}
	serviceTime := q.backlog.ServiceTime(r.Queue)
	here := exchangeIntervalFor(int(q.gateway.exchanger.hostCount.Load()), true) / 2
	return func(c *Candidate) bool {
		others := q.gateway.registry.otherLoad(c.Upstream.ID)
		if others == 0 {
			return false // this host sees each slot that comes free
		}
		position := c.Load - c.Upstream.Slots + 1
		there := serviceTime * time.Duration(position) / time.Duration(c.Upstream.Slots)
		next := here
		if own := c.Load - others; own > 0 {
			next = min(next, serviceTime/time.Duration(own))
		}
		return position <= maxUpstreamQueue && there <= next
	}
}

// withRoom returns the candidates with a free slot, and the full ones that mayQueue accepts.
// It requires q.mu.
func (q *slotQueue) withRoom(candidates []Candidate, mayQueue func(*Candidate) bool) []Candidate {
	for i := range candidates {
		if !q.hasRoom(&candidates[i], mayQueue) {
			return q.onlyWithRoom(candidates, mayQueue)
		}
	}
	return candidates
}

func (q *slotQueue) onlyWithRoom(candidates []Candidate, mayQueue func(*Candidate) bool) []Candidate {
	var list []Candidate
	for i := range candidates {
		if q.hasRoom(&candidates[i], mayQueue) {
			list = append(list, candidates[i])
		}
	}
	return list
}

func (q *slotQueue) hasRoom(c *Candidate, mayQueue func(*Candidate) bool) bool {
	if until, refused := q.full[c.Upstream.ID]; refused && time.Now().Before(until) {
		return false
	}
	if c.Upstream.Slots == 0 || c.Load+q.hold[c.Upstream.ID] < c.Upstream.Slots {
		return true
	}
	return mayQueue != nil && mayQueue(c)
}

// supply returns what can serve the requests of a queue.
func (q *slotQueue) supply(key admission.QueueKey, usable []Candidate) admission.Supply {
	supply := admission.Supply{Ahead: q.others[coordinator.ModelKey{Service: key.Service, Model: key.Model}]}
	for i := range usable {
		slots := usable[i].Upstream.Slots
		supply.Slots += slots
		supply.Ahead += max(0, usable[i].Load-slots)
	}
	return supply
}
