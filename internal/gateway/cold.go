package gateway

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coldstart"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// coldPollInterval is the longest time between two attempts of a request that waits for
	// cold upstreams.
	coldPollInterval = 60 * time.Millisecond
	// minColdWait is how long a request waits for a grant at least, whatever its objective: the
	// next exchange takes up to 250 ms.
	minColdWait = coldstart.GrantLifetime
	// startClockMargin covers the differences between the clocks of machines: an upstream
	// whose entry shows a start that is at least this much longer ago than its cold period
	// was not started just before this host.
	startClockMargin = 10 * time.Second
	// unreachableColdTime is how long an upstream counts as cold after it could not be reached:
	// it may start again, or may have had no traffic. Its entry, written every 1.2 s, says more
	// afterwards.
	unreachableColdTime = 1500 * time.Millisecond
	// coldExtension is by how much a new end of a cold period must exceed the known one to be
	// logged.
	coldExtension = 500 * time.Millisecond
)

// coldUpstreams limits the requests of this host to cold upstreams. It is safe for concurrent
// use.
type coldUpstreams struct {
	now func() time.Duration // the boot clock
	// service returns the configuration of a service; nil: not known.
	service func(name string) *catalog.Service
	// reached reports whether the coordinator answers this host.
	reached func() bool

	active atomic.Bool // any upstream is limited

	mu      sync.Mutex
	tracker *coldstart.Tracker
	changed chan struct{} // closed when grants arrive
}

func newColdUpstreams(now func() time.Duration) *coldUpstreams {
	return &coldUpstreams{
		now:     now,
		service: func(string) *catalog.Service { return nil },
		reached: func() bool { return false },
		tracker: coldstart.NewTracker(func(string) float64 { return 0 }), changed: make(chan struct{}),
	}
}

// configure sets what is known only after the registry was made. It is called before the
// first entry.
func (c *coldUpstreams) configure(host string, service func(string) *catalog.Service, reached func() bool) {
	c.service, c.reached = service, reached
	c.tracker = coldstart.NewTracker(func(id string) float64 {
		return float64(rendezvous.Score(id, host)) / math.MaxUint64
	})
}

func incarnationOf(entry *catalog.Upstream) coldstart.Incarnation {
	return coldstart.Incarnation{ID: entry.ID, StartedMS: entry.StartedMS}
}

// learn records that an upstream is cold for a time from now. It reports whether that is new.
func (c *coldUpstreams) learn(entry *catalog.Upstream, coldFor time.Duration, own bool) bool {
	if coldFor <= 0 || !c.service(entry.Service).LimitsCold() {
		return false
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.tracker.ColdFor(now, entry.ID)
	c.tracker.Learn(incarnationOf(entry), now+coldFor, own)
	c.active.Store(c.tracker.Len() > 0)
	return c.tracker.ColdFor(now, entry.ID) > known+coldExtension
}

// forget drops an upstream that is gone.
func (c *coldUpstreams) forget(id string) {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Forget(id)
	c.active.Store(c.tracker.Len() > 0)
}

// expire drops the upstreams that are no longer limited.
func (c *coldUpstreams) expire() {
	if !c.active.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Expire(c.now())
	c.active.Store(c.tracker.Len() > 0)
}

// states returns the limited upstreams, by ID; nil: none.
func (c *coldUpstreams) states() map[string]coldstart.State {
	if !c.active.Load() {
		return nil
	}
	now, reached := c.now(), c.reached()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.States(now, reached)
}

// want records that a request could have used an upstream that was blocked.
func (c *coldUpstreams) want(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Want(id)
}

// take permits a request to an upstream, right before it is sent.
func (c *coldUpstreams) take(id string) (coldstart.Permit, bool) {
	if !c.active.Load() {
		return coldstart.Permit{}, true
	}
	now, reached := c.now(), c.reached()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Take(now, id, reached)
}

// giveBack returns a permit whose request does not count.
func (c *coldUpstreams) giveBack(permit coldstart.Permit) {
	if permit == (coldstart.Permit{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Return(permit)
}

// wait counts a request that waits for an upstream until done is called. It returns the
// estimated time until it may be sent, and a channel that is closed when grants arrive.
func (c *coldUpstreams) wait(id string) (estimate time.Duration, changed <-chan struct{}, done func()) {
	now, reached := c.now(), c.reached()
	c.mu.Lock()
	defer c.mu.Unlock()
	estimate = c.tracker.WaitTime(now, id, reached)
	c.tracker.Wait(id)
	return estimate, c.changed, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tracker.Done(id)
	}
}

// fillCold adds what this host knows of cold upstreams, and asks for, to a report.
func (r *Registry) fillCold(request *coordinator.ExchangeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.cold
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	request.ColdSeat = c.tracker.Seated(now)
	for _, cold := range c.tracker.Told(now) {
		request.Cold = append(request.Cold, coordinator.ColdUpstream{
			Incarnation: coordinator.Incarnation{Upstream: cold.ID, StartedMS: cold.StartedMS}, LeftMS: cold.Left.Milliseconds() + 1,
		})
	}
	for _, need := range c.tracker.TakeNeeds(now) {
		entry := r.entries[need.ID]
		if entry == nil {
			continue
		}
		request.ColdNeeds = append(request.ColdNeeds, coordinator.ColdNeed{
			Incarnation: coordinator.Incarnation{Upstream: need.ID, StartedMS: need.StartedMS}, Service: entry.Service,
			Waiting: need.Waiting, Wanted: need.Wanted,
		})
	}
}

// applyReply applies the coordinator's grants in the reply to a call that began at
// requestedAt.
func (c *coldUpstreams) applyReply(reply *coordinator.ExchangeReply, requestedAt time.Duration) {
	if !reply.ColdSeat && len(reply.ColdGrants) == 0 {
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.ColdSeat {
		c.tracker.SetSeat(now, requestedAt+coldstart.SeatLifetime)
	}
	for _, grant := range reply.ColdGrants {
		c.tracker.AddGrant(now, requestedAt, coldstart.Grant{
			Incarnation: coldstart.Incarnation{ID: grant.Upstream, StartedMS: grant.StartedMS},
			Requests:    grant.Requests, Queue: grant.Queue, PerS: grant.PerS,
		})
	}
	if len(reply.ColdGrants) > 0 {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

func (c *coldUpstreams) dump() []coldstart.Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Dump(c.now())
}

// learnEntry records the coldness that an entry shows or, if it is of a new incarnation, lets
// expect. first reports that this host has just started and so knew no incarnation before.
// The caller holds r.mu.
func (r *Registry) learnEntry(entry *catalog.Upstream, isNew, first, skipLog bool) {
	coldFor := entry.ColdFor
	isCold := r.cold.learn(entry, coldFor, true)
	if service := r.cold.service(entry.Service); isNew && service.LimitsCold() {
		running := time.Since(time.UnixMilli(entry.StartedMS))
		if !first || entry.StartedMS == 0 || running < service.ColdStart+startClockMargin {
			// Not told to other hosts: each learns of the incarnation itself.
			coldFor = max(coldFor, service.ColdStart)
			isCold = r.cold.learn(entry, coldFor, false) || isCold
		}
	}
	if isCold && !skipLog {
		r.log.Info("Upstream is cold.", "upstream", entry.ID, "born", entry.StartedMS, "for_ms", coldFor.Milliseconds(), "told by", "its entry")
	}
}

// learnStated records the coldness that an upstream stated in a response.
func (r *Registry) learnStated(upstream *catalog.Upstream, coldFor time.Duration) {
	if coldFor > 0 && r.cold.learn(upstream, coldFor, true) {
		r.log.Info("Upstream is cold.", "upstream", upstream.ID, "born", upstream.StartedMS, "for_ms", coldFor.Milliseconds(), "told by", "itself")
	}
}

// learnUnreachable takes an upstream for cold that could not be reached.
func (r *Registry) learnUnreachable(id string) {
	r.mu.Lock()
	entry := r.entries[id]
	r.mu.Unlock()
	if entry != nil {
		r.cold.learn(entry, unreachableColdTime, false)
	}
}

// applyCold records the upstreams that other hosts were told are cold.
func (r *Registry) applyCold(cold []coordinator.ColdUpstream) {
	for _, told := range cold {
		r.mu.Lock()
		entry := r.entries[told.Upstream]
		r.mu.Unlock()
		if entry == nil || entry.StartedMS != told.StartedMS {
			continue // not known here, or started again
		}
		if r.cold.learn(entry, time.Duration(told.LeftMS)*time.Millisecond, false) {
			r.log.Info("Upstream is cold.", "upstream", entry.ID, "born", entry.StartedMS, "for_ms", told.LeftMS, "told by", "the coordinator")
		}
	}
}

// reviewCold records the coldness of all known upstreams, whose entries may have been read
// before the first configuration.
func (r *Registry) reviewCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.entries {
		r.learnEntry(entry, true, true, true)
	}
}

// expectCold takes the upstreams of a data centre for cold: they have had no traffic during
// its evacuation. The caller holds r.mu.
func (r *Registry) expectCold(dataCenter string) {
	for _, entry := range r.entries {
		if service := r.cold.service(entry.Service); entry.DataCenter == dataCenter && service.LimitsCold() {
			r.cold.learn(entry, service.ColdStart, false)
		}
	}
}

// coldServing returns the cold upstreams that could serve a request but may get none now.
// Those that the request must not go to are left out.
func (r *Registry) coldServing(service, model string, without map[string]bool) []string {
	cold := r.cold.states()
	if cold == nil {
		return nil
	}
	now, paused := time.Now(), r.pauses()
	leaving := r.evacuations.at(r.now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, entry := range r.entries {
		if _, ok := r.serves(entry, service, model, now); !ok || leaving.closed(entry) || paused.of(entry) > 0 || without[id] {
			continue
		}
		if cold[id].Blocked {
			ids = append(ids, id)
		}
	}
	return ids
}

// waitForCold waits until a cold upstream may get the request. waited is false if no upstream
// with the model is cold. It returns a refusal with the time at which one may, if that is
// beyond the route's objective or the caller's time.
func (d *dispatcher) waitForCold(model string) (waited bool, refused *refusal) {
	registry := d.gateway.registry
	var without map[string]bool
	if d.runs > 0 {
		without = d.tried
	}
	ids := registry.coldServing(d.service.Name, model, without)
	if len(ids) == 0 {
		return false, nil
	}
	d.departure.enter(stageModel)
	estimate, changed, done := registry.cold.wait(ids[rand.IntN(len(ids))])
	defer done()
	d.gateway.exchanger.exchangeSoon()
	left := min(max(d.route.Objective, minColdWait)-time.Since(d.startedAt), d.remainingWait())
	if estimate > left {
		d.gateway.metrics.coldRefusals.Inc()
		return false, &refusal{status: http.StatusServiceUnavailable, reason: "upstreams are cold", retryAfter: max(shortRetryAfter, estimate)}
	}
	timer := time.NewTimer(min(coldPollInterval, max(left, time.Millisecond)))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-d.ctx.Done():
		return false, d.timedOut()
	}
	return true, nil
}

// takeCold permits the request to an upstream that may be cold, right before it is sent.
func (d *dispatcher) takeCold(to *catalog.Upstream) bool {
	permit, ok := d.gateway.registry.cold.take(to.ID)
	d.coldPermit = permit
	if !ok {
		d.gateway.metrics.coldWithheld.Inc()
	}
	return ok
}

// returnCold gives the permit of a request back that an upstream refused as not its own.
func (d *dispatcher) returnCold() {
	d.gateway.registry.cold.giveBack(d.coldPermit)
	d.coldPermit = coldstart.Permit{}
}
