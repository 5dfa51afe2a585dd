package gateway

import (
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/admission"
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/confine"
)

const (
	// slotQueueInterval is the interval of looking at the queue while requests wait: slack
	// runs out, other hosts' requests end, and replicas come and go without a message.
	slotQueueInterval = 40 * time.Millisecond
	// minFullTime and maxFullTime bound how long an upstream that refused a request for lack
	// of room gets no further one, unless a request of this host ends there.
	minFullTime = 60 * time.Millisecond
	maxFullTime = 250 * time.Millisecond
	// minSlotRetryAfter is the shortest Retry-After of a request that got no slot.
	minSlotRetryAfter = 100 * time.Millisecond
	// contendedTime is how long after a request that found no slot the exchanges stay frequent.
	contendedTime = time.Second
	// patientRatio is the ratio of a route's objective to the shortest one of its service
	// from which its requests yield to others while they have slack.
	patientRatio = 2
	// maxQueuedRequests and maxQueuedPerWorkspace bound the memory of waiting requests, and the
	// time that it takes to order them.
	maxQueuedRequests     = 1024
	maxQueuedPerWorkspace = 512
)

// slotQueue holds the requests for which no upstream has a free slot, as far as this host
// knows, and passes them on in order as slots come free. It is safe for concurrent use.
// Its lock is taken before that of the registry.
type slotQueue struct {
	gateway  *Gateway
	count    atomic.Int64 // waiting requests
	lastFull atomic.Int64 // when a request last found no slot, Unix ns

	mu      sync.Mutex
	backlog *admission.Backlog
	waiters map[*admission.Entry]*slotWaiter
	full    map[string]time.Time // until when an upstream counts as full, by ID
	timer   *time.Timer
	armed   bool
	newsAt  time.Time     // of the last news
	newsGap time.Duration // mean time between two news; 0: unknown
	news    map[admission.QueueKey]queueNews
}

// slotWaiter is a request in the queue. Its fields are set before ready is closed.
type slotWaiter struct {
	dispatcher *dispatcher
	ready      chan struct{}
	candidate  *Candidate // nil: refused, or no upstream to wait for is left
	release    func()     // of the slot; nil: none is held
}

func newSlotQueue(g *Gateway) *slotQueue {
	q := &slotQueue{
		gateway: g, waiters: map[*admission.Entry]*slotWaiter{}, full: map[string]time.Time{},
		backlog: admission.NewBacklog(admission.Limits{Waiting: maxQueuedRequests, WaitingPerWorkspace: maxQueuedPerWorkspace}),
	}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	q.timer.Stop()
	return q
}

// hasWaiting reports whether any request waits for a slot.
func (q *slotQueue) hasWaiting() bool { return q != nil && q.count.Load() > 0 }

// contended reports whether requests wait for a slot or found none lately, so that news of
// other hosts are needed often.
func (q *slotQueue) contended() bool {
	return q != nil && (q.count.Load() > 0 || time.Since(time.Unix(0, q.lastFull.Load())) < contendedTime)
}

// slotChoice is the outcome of a choice of an upstream.
type slotChoice struct {
	candidates []Candidate
	// selected holds a slot, or lacks the adapter; nil: none of the candidates is usable.
	selected *Candidate
	again    bool // the candidates have changed
}

// selectSlot selects an upstream and takes a slot of it, waiting for one if necessary.
func (d *dispatcher) selectSlot(adapter string) (slotChoice, *refusal) {
	q := d.gateway.slots
	key := d.queueKey()
	q.mu.Lock()
	// The candidates are looked up under the lock of the queue: two requests would else see
	// the same free slot.
	choice := slotChoice{candidates: d.gateway.registry.Candidates(key.Service, key.Model, adapter)}
	if len(d.tried) > 0 && d.runs == 0 {
		q.forgetRefusals(choice.candidates, d.tried)
	}
	usable := d.usable(choice.candidates)
	if len(usable) == 0 {
		q.mu.Unlock()
		choice.selected = d.selectCandidate(choice.candidates)
		return choice, nil
	}
	now := time.Now()
	if q.backlog.Waiting(key) == 0 && q.backlog.MaySend(now, key) {
		if selected := d.pick(usable, q.withRoom(usable, d, nil, now)); selected != nil {
			if selected.HasAdapter {
				d.hold(q.takeSlot(d, selected))
			}
			q.backlog.RecordServed(now, d.slotRequest())
			q.mu.Unlock()
			choice.selected = selected
			return choice, nil
		}
	}
	w := q.submit(d, usable)
	q.mu.Unlock()
	var refused *refusal
	choice.selected, choice.again, refused = d.awaitSlot(w)
	return choice, refused
}

// usable returns the candidates that may serve the request now. Engines whose connection
// recently failed are left out: another replica may become ready.
func (d *dispatcher) usable(candidates []Candidate) []Candidate {
	out := func(c Candidate) bool { return d.tried[c.Upstream.ID] || c.InBackoff && d.isEngine() }
	if !slices.ContainsFunc(candidates, out) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), out)
}

// pick selects one of the candidates with room. It returns nil if there is none, or if a
// full one with the adapter is worth waiting for.
func (d *dispatcher) pick(usable, withRoom []Candidate) *Candidate {
	selected := d.selectCandidate(withRoom)
	if selected == nil || selected.HasAdapter || len(withRoom) == len(usable) {
		return selected
	}
	if best := d.selectCandidate(usable); best != nil && best.HasAdapter {
		return nil
	}
	return selected
}

// hold keeps the slot that was taken for the next send; nil: none.
func (d *dispatcher) hold(release func()) { d.releaseSlot = release }

// dropSlot releases the slot of a send that does not take place.
func (d *dispatcher) dropSlot() {
	if d.releaseSlot != nil {
		d.releaseSlot()
		d.releaseSlot = nil
	}
}

// trackSend counts the request at an upstream, in the slot that it holds, until release is
// called.
func (d *dispatcher) trackSend(id string) (release func()) {
	if held := d.releaseSlot; held != nil {
		d.releaseSlot = nil
		return held
	}
	return d.gateway.slots.track(id, d.request)
}

// queueKey returns the queue of the request. Plain services have no models, whatever the
// request names.
func (d *dispatcher) queueKey() admission.QueueKey {
	key := admission.QueueKey{Service: d.service.Name}
	if d.isEngine() {
		key.Model = d.request.Model
	}
	return key
}

// slotRequest returns the request as the backlog sees it.
func (d *dispatcher) slotRequest() *admission.SlotRequest {
	profile := d.config.Profile(d.service.Name)
	r := &admission.SlotRequest{
		ID: d.request.ID, Queue: d.queueKey(), Cost: 1, Urgency: d.priority(), MostUrgent: profile.MostUrgent,
		Patient:   d.route.Objective >= patientRatio*profile.ShortestObjective && profile.ShortestObjective > 0,
		ArrivedAt: d.startedAt, Objective: d.route.Objective, Deadline: d.latestStart(),
		Committed: d.runs > 0,
	}
	if d.request.HasTokenCount {
		r.Cost = float64(d.request.PromptTokens + d.request.OutputTokens)
	}
	if d.workspace != nil {
		r.Workspace = d.workspace.Name
	}
	return r
}

// latestStart returns the latest useful start of a run: up to then the caller still waits.
// A quarter of a short timeout is left for the run.
func (d *dispatcher) latestStart() time.Time {
	timeout := d.deadline.Sub(d.startedAt)
	if !d.relay.started {
		timeout = min(timeout, d.route.CallerTimeout())
	}
	return d.startedAt.Add(timeout - min(minRunTime, timeout/4))
}

// urgency returns the urgency of a send now, from which its engine priority follows.
func (d *dispatcher) urgency() int {
	r := d.slotRequest()
	if !r.Patient {
		return r.Urgency
	}
	q := d.gateway.slots
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog.Urgency(time.Now(), r)
}

// submit adds a request to the queue. It requires q.mu.
func (q *slotQueue) submit(d *dispatcher, usable []Candidate) *slotWaiter {
	now := time.Now()
	q.lastFull.Store(now.UnixNano())
	q.forgetNews()
	r := d.slotRequest()
	q.backlog.SetSupply(r.Queue, q.supply(r.Queue, usable))
	w := &slotWaiter{dispatcher: d, ready: make(chan struct{})}
	entry, refused := q.backlog.Submit(now, *r)
	d.entry = entry
	q.waiters[entry] = w
	q.refuse(now, refused)
	q.release(now)
	q.arm()
	return w
}

// awaitSlot waits until a request has a slot, is refused, or its caller has left.
func (d *dispatcher) awaitSlot(w *slotWaiter) (*Candidate, bool, *refusal) {
	q := d.gateway.slots
	d.departure.enter(stageSlot)
	entry := d.entry
	defer func() { d.record.slotWait += time.Since(entry.SubmittedAt()) }()
	select {
	case <-w.ready:
	case <-d.ctx.Done():
		q.leave(entry)
		if w.release != nil {
			w.release()
		}
		return nil, false, d.timedOut()
	}
	d.departure.enter(stageSelect)
	d.hold(w.release)
	switch {
	case w.candidate != nil:
		return w.candidate, false, nil
	case entry.Err != nil:
		return nil, false, d.noSlot(entry)
	case q.gateway.shutdown.tooLateToWait():
		return nil, false, shuttingDown()
	default:
		return nil, true, nil
	}
}

// leave removes a request whose caller has left.
func (q *slotQueue) leave(entry *admission.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.backlog.Cancel(entry) {
		q.forget(entry)
	}
}

// noSlot returns the refusal of a request that got no slot.
func (d *dispatcher) noSlot(entry *admission.Entry) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: "no slot in time", retryAfter: shortRetryAfter}
	var late *admission.DeadlineError
	var full *admission.QueueFullError
	switch {
	case errors.As(entry.Err, &late) && late.RetryAfter > 0:
		r.retryAfter = max(minSlotRetryAfter, late.RetryAfter)
	case errors.As(entry.Err, &full):
		r.reason, r.retryAfter = "too many requests wait", max(shortRetryAfter, full.RetryAfter)
	}
	return r
}

// release passes waiting requests on to free slots. It requires q.mu.
func (q *slotQueue) release(now time.Time) {
	p := slotPass{queue: q, now: now, candidates: map[candidatesKey][]Candidate{}, closed: map[closedKey]bool{}}
	for {
		entry := q.backlog.Next(now, p.fits)
		if entry == nil {
			break
		}
		q.gateway.metrics.queueWait.Observe(now.Sub(entry.SubmittedAt()).Seconds())
		q.end(entry, p.selected, p.release)
	}
	for _, entry := range p.stranded {
		if q.backlog.Cancel(entry) {
			q.end(entry, nil, nil)
		}
	}
	q.count.Store(int64(q.backlog.Len()))
}

// end ends the wait of a request that the backlog no longer holds. It requires q.mu.
func (q *slotQueue) end(entry *admission.Entry, candidate *Candidate, release func()) {
	w := q.waiters[entry]
	q.forget(entry)
	w.candidate, w.release = candidate, release
	close(w.ready)
}

func (q *slotQueue) forget(entry *admission.Entry) {
	delete(q.waiters, entry)
	q.count.Store(int64(q.backlog.Len()))
}

// refuse ends the wait of requests that the backlog has refused. It requires q.mu.
func (q *slotQueue) refuse(now time.Time, entries []*admission.Entry) {
	for _, entry := range entries {
		q.logRefusal(now, entry)
		q.end(entry, nil, nil)
	}
}

func (q *slotQueue) logRefusal(now time.Time, entry *admission.Entry) {
	r := &entry.Request
	state := q.backlog.Explain(now, r.Queue)
	reason := "deadline passed"
	var late *admission.DeadlineError
	if errors.As(entry.Err, &late) && late.Unmeetable {
		reason = "too late"
	} else if late == nil {
		reason = "queue full"
	}
	q.gateway.metrics.queueRefusals.WithLabelValues(r.Queue.Service, reason).Inc()
	q.gateway.log.Info("No slot for a request.", "request", r.ID, "reason", reason, "error", entry.Err.Error(), "service", r.Queue.Service,
		"model", r.Queue.Model, "workspace", r.Workspace, "urgency", r.Urgency, "patient", r.Patient,
		"waited_ms", now.Sub(entry.SubmittedAt()).Milliseconds(), "slack_ms", q.backlog.Due(r).Sub(now).Milliseconds(),
		"left_ms", r.Deadline.Sub(now).Milliseconds(), "waiting", state.Waiting, "slots", state.Slots, "ahead", state.Ahead,
		"interval_ms", state.IntervalMS, "overloaded", state.Overloaded, "limited", state.Limited, "news_age_ms", q.gateway.exchanger.newsAge().Milliseconds())
}

// tick looks at the queue while requests wait.
func (q *slotQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed = false
	_ = confine.Call("passing on waiting requests", func() error { // confine logs a panic
		now := time.Now()
		if q.gateway.shutdown.tooLateToWait() {
			for entry := range q.waiters {
				if q.backlog.Cancel(entry) {
					q.end(entry, nil, nil)
				}
			}
		}
		q.refuse(now, q.backlog.Review(now))
		q.release(now)
		return nil
	})
	q.arm()
}

// arm sets the timer for the next look at the queue. It requires q.mu.
func (q *slotQueue) arm() {
	q.count.Store(int64(q.backlog.Len()))
	if !q.armed && q.backlog.Len() > 0 {
		q.armed = true
		q.timer.Reset(slotQueueInterval)
	}
}

// dump returns the queues in which requests wait.
func (q *slotQueue) dump() []admission.BacklogDump {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog.Dump(time.Now())
}

// takeSlot counts a request at an upstream at once, so that no other one gets the same
// slot. It requires q.mu.
func (q *slotQueue) takeSlot(d *dispatcher, selected *Candidate) (release func()) {
	return q.track(selected.Upstream.ID, d.request)
}

func (q *slotQueue) track(id string, request *call.Request) (release func()) {
	untrack := q.gateway.registry.TrackRequest(id, request.Model, request.Adapter, request.PromptTokens+request.OutputTokens)
	return func() {
		untrack()
		if q.hasWaiting() {
			q.mu.Lock()
			delete(q.full, id)
			q.release(time.Now())
			q.mu.Unlock()
		}
	}
}

// recordFull records that an upstream refused a request for lack of room: other hosts use
// it more than this host knows.
func (q *slotQueue) recordFull(d *dispatcher, id string, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for other, until := range q.full {
		if now.After(until) {
			delete(q.full, other)
		}
	}
	q.backlog.RecordNotRun(now, d.slotRequest())
	turnover := q.backlog.ServiceTime(d.queueKey()) / time.Duration(max(1, slots))
	q.full[id] = now.Add(min(max(minFullTime, turnover), maxFullTime))
}

// recordLost records that a request was sent in vain: its time was over, or its caller left
// after the objective, before the answer began.
func (q *slotQueue) recordLost(d *dispatcher) {
	now := time.Now()
	if d.relay.started || now.Sub(d.startedAt) < d.route.Objective {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog.RecordLost(now, d.slotRequest())
}

// forgetRefusals lets a request go again to the upstreams that refused it for lack of room,
// if it has tried all of them. It requires q.mu.
func (q *slotQueue) forgetRefusals(candidates []Candidate, tried map[string]bool) {
	for i := range candidates {
		id := candidates[i].Upstream.ID
		if _, refused := q.full[id]; !tried[id] || !refused {
			return
		}
	}
	clear(tried)
}

// recordRun records the service time of a complete run.
func (q *slotQueue) recordRun(d *dispatcher) {
	took := time.Since(d.sentAt)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog.RecordRun(d.queueKey(), took)
	if d.outputAt.IsZero() {
		q.backlog.RecordFirst(d.queueKey(), took)
	}
}

// recordFirstEvent records the time to the first event of a run.
func (q *slotQueue) recordFirstEvent(d *dispatcher) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog.RecordFirst(d.queueKey(), d.outputAt.Sub(d.sentAt))
}
