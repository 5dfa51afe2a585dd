package coldstart

import (
	"cmp"
	"slices"
	"time"
)

const (
	// localInterval is the time between two requests of a host with a seat to one upstream
	// without grants. It exceeds the second for which the bound holds.
	localInterval = 1100 * time.Millisecond
	// rampTime is the time after the end of a cold period over which the hosts open, each at
	// its own moment, and for which each spaces its requests: requests that wait at all hosts
	// would reach the upstream at once.
	rampTime    = time.Second
	rampSpacing = 50 * time.Millisecond
	// maxTracked bounds the upstreams that are tracked; those that are cold for the shortest
	// time are dropped.
	maxTracked = 4096
	// never is before any time on the boot clock.
	never = -time.Hour
)

// token permits one request until it expires.
type token struct{ expires time.Duration }

// upstream is what a host knows of a cold upstream. All times are on the boot clock.
type upstream struct {
	startedMS int64
	until     time.Duration // end of the cold period
	ownUntil  time.Duration // end of the cold period as this host was told itself
	opensAt   time.Duration // when this host sends without grants
	tokens    []token       // by expiry
	lastLocal time.Duration // last request without a grant
	lastRamp  time.Duration // last request after opensAt
	waiting   int
	wanted    int
	queue     int           // requests that wait at all hosts
	perS      float64       // rate of grants over all hosts
	queueAt   time.Duration // when queue was reported
}

// Tracker keeps the cold upstreams that a host knows, and its grants. It is not safe for
// concurrent use.
type Tracker struct {
	// phase returns this host's moment of opening to an upstream, in [0, 1) of rampTime.
	phase func(id string) float64
	// seatFrom is when a seat may be used first: another host, or this one before it
	// restarted, may have used it until it was given to this host.
	seatFrom  time.Duration
	seatUntil time.Duration
	upstreams map[string]*upstream // by ID
}

// NewTracker returns the tracker of a host that starts. phase returns a number in [0, 1)
// for an upstream that differs among hosts.
func NewTracker(phase func(id string) float64) *Tracker {
	return &Tracker{phase: phase, upstreams: map[string]*upstream{}}
}

// Len returns the number of upstreams that are limited.
func (t *Tracker) Len() int { return len(t.upstreams) }

// Learn records that an incarnation is cold until a time. own reports that this host was told
// by the upstream or its entry, not by another host. What is known of a later incarnation, or
// a later end, stays.
func (t *Tracker) Learn(of Incarnation, until time.Duration, own bool) {
	u := t.upstreams[of.ID]
	switch {
	case u == nil:
		t.evictIfFull()
		u = &upstream{startedMS: of.StartedMS, lastLocal: never, lastRamp: never}
		t.upstreams[of.ID] = u
	case of.StartedMS < u.startedMS:
		return
	case of.StartedMS > u.startedMS:
		// The time of the last request without a grant stays: the process may be the same.
		*u = upstream{startedMS: of.StartedMS, lastLocal: u.lastLocal, lastRamp: u.lastRamp, waiting: u.waiting}
	}
	if until > u.until {
		u.until = until
		u.opensAt = until + time.Duration(t.phase(of.ID)*float64(rampTime))
	}
	if own {
		u.ownUntil = max(u.ownUntil, until)
	}
}

func (t *Tracker) evictIfFull() {
	if len(t.upstreams) < maxTracked {
		return
	}
	first := ""
	for id, u := range t.upstreams {
		if first == "" || u.until < t.upstreams[first].until {
			first = id
		}
	}
	delete(t.upstreams, first)
}

// Forget drops an upstream that is gone.
func (t *Tracker) Forget(id string) { delete(t.upstreams, id) }

// Expire drops the upstreams that are no longer limited.
func (t *Tracker) Expire(now time.Duration) {
	for id, u := range t.upstreams {
		if now >= u.opensAt+rampTime {
			delete(t.upstreams, id)
		}
	}
}

// limitedUpstream returns an upstream if requests to it are limited.
func (t *Tracker) limitedUpstream(now time.Duration, id string) *upstream {
	u := t.upstreams[id]
	if u == nil || now >= u.opensAt+rampTime {
		return nil
	}
	return u
}

// ColdFor returns how long an upstream stays cold; 0: it is not.
func (t *Tracker) ColdFor(now time.Duration, id string) time.Duration {
	if u := t.upstreams[id]; u != nil {
		return max(0, u.until-now)
	}
	return 0
}

// SetSeat records that the host may send without grants until a time.
func (t *Tracker) SetSeat(now, until time.Duration) {
	if !t.Seated(now) {
		t.seatFrom = now + localInterval
	}
	t.seatUntil = max(t.seatUntil, until)
}

// Seated reports whether the host has a seat.
func (t *Tracker) Seated(now time.Duration) bool { return now < t.seatUntil }

// AddGrant adds a grant that came with the reply to a call that began at requestedAt.
func (t *Tracker) AddGrant(now, requestedAt time.Duration, grant Grant) {
	u := t.upstreams[grant.ID]
	if u == nil || u.startedMS != grant.StartedMS {
		return
	}
	u.queue, u.perS, u.queueAt = grant.Queue, grant.PerS, now
	for range grant.Requests {
		u.tokens = append(u.tokens, token{requestedAt + GrantLifetime})
	}
	slices.SortFunc(u.tokens, func(a, b token) int { return cmp.Compare(a.expires, b.expires) })
}

// Blocked reports whether no request may be sent to an upstream now. reached reports whether
// the coordinator answers this host.
func (t *Tracker) Blocked(now time.Duration, id string, reached bool) bool {
	u := t.limitedUpstream(now, id)
	return u != nil && !u.open(now) && !u.hasToken(now) && !t.mayUseSeat(now, u, reached)
}

func (u *upstream) open(now time.Duration) bool {
	return now >= u.opensAt && now >= u.lastRamp+rampSpacing
}

func (u *upstream) hasToken(now time.Duration) bool {
	u.tokens = slices.DeleteFunc(u.tokens, func(t token) bool { return now >= t.expires })
	return len(u.tokens) > 0
}

func (t *Tracker) mayUseSeat(now time.Duration, u *upstream, reached bool) bool {
	return !reached && t.Seated(now) && now >= t.seatFrom && now >= u.lastLocal+localInterval
}

// Permit is the permission of one request.
type Permit struct {
	of      Incarnation
	granted token // zero: sent without a grant
}

// Take permits a request to an upstream, right before it is sent.
func (t *Tracker) Take(now time.Duration, id string, reached bool) (Permit, bool) {
	u := t.limitedUpstream(now, id)
	switch {
	case u == nil:
		return Permit{}, true
	case u.open(now):
		u.lastRamp = now
	case u.hasToken(now):
		first := u.tokens[0]
		u.tokens = u.tokens[1:]
		return Permit{Incarnation{id, u.startedMS}, first}, true
	case t.mayUseSeat(now, u, reached):
		u.lastLocal = now
	default:
		return Permit{}, false
	}
	return Permit{}, true
}

// Return gives a permit back whose request was not sent, or does not count. It expires at the
// same time as before.
func (t *Tracker) Return(permit Permit) {
	u := t.upstreams[permit.of.ID]
	if permit.granted.expires == 0 || u == nil || u.startedMS != permit.of.StartedMS {
		return
	}
	u.tokens = append([]token{permit.granted}, u.tokens...)
}

// State is what limits an upstream at one moment.
type State struct {
	ColdFor time.Duration // 0: it is cold no longer, but traffic is still limited
	Blocked bool          // no request may be sent now
}

// States returns the limited upstreams, by ID. reached reports whether the coordinator
// answers this host.
func (t *Tracker) States(now time.Duration, reached bool) map[string]State {
	states := make(map[string]State, len(t.upstreams))
	for id, u := range t.upstreams {
		states[id] = State{ColdFor: max(0, u.until-now), Blocked: t.Blocked(now, id, reached)}
	}
	return states
}

// Want records that a request could have used an upstream.
func (t *Tracker) Want(id string) {
	if u := t.upstreams[id]; u != nil {
		u.wanted++
	}
}

// Wait counts a request that waits for an upstream until Done is called.
func (t *Tracker) Wait(id string) {
	if u := t.upstreams[id]; u != nil {
		u.waiting++
	}
}

// Done ends what Wait began.
func (t *Tracker) Done(id string) {
	if u := t.upstreams[id]; u != nil && u.waiting > 0 {
		u.waiting--
	}
}

// WaitTime estimates the time until a further request may be sent to an upstream.
func (t *Tracker) WaitTime(now time.Duration, id string, reached bool) time.Duration {
	u := t.limitedUpstream(now, id)
	if u == nil {
		return 0
	}
	opensIn := max(0, u.opensAt-now)
	switch {
	case reached && now-u.queueAt <= waitingTTL && u.perS > 0:
		return min(opensIn, QueueTime(max(u.queue, u.waiting), u.perS))
	case reached:
		return min(opensIn, GrantLifetime) // not asked yet
	case t.Seated(now):
		return min(opensIn, max(0, u.lastLocal+localInterval-now, t.seatFrom-now)+time.Duration(u.waiting)*localInterval)
	default:
		return opensIn
	}
}

// TakeNeeds returns what the host asks the coordinator for.
func (t *Tracker) TakeNeeds(now time.Duration) []Need {
	var needs []Need
	for id, u := range t.upstreams {
		waiting := u.waiting
		if u.hasToken(now) {
			waiting = max(0, waiting-len(u.tokens))
		}
		if now < u.opensAt && (waiting > 0 || u.wanted > 0) {
			needs = append(needs, Need{Incarnation{id, u.startedMS}, waiting, u.wanted})
		}
		u.wanted = 0
	}
	return needs
}

// Cold is an upstream that is cold.
type Cold struct {
	Incarnation
	Left time.Duration // until the cold period ends
}

// Told returns the cold upstreams of which this host was told by themselves or their entries.
func (t *Tracker) Told(now time.Duration) []Cold {
	var list []Cold
	for id, u := range t.upstreams {
		if now < u.ownUntil {
			list = append(list, Cold{Incarnation{id, u.startedMS}, u.ownUntil - now})
		}
	}
	return list
}

// Dump describes a cold upstream in the state dump.
type Dump struct {
	Upstream  string `json:"upstream"`
	StartedMS int64  `json:"born"` // Unix ms
	ColdForMS int64  `json:"cold_for_ms"`
	// Grants are the requests that this host may send now.
	Grants  int `json:"grants"`
	Waiting int `json:"waiting"`
	// Queue is the number of requests that wait at all hosts, of the last exchange.
	Queue int `json:"queue"`
}

// Dump returns the limited upstreams, by ID.
func (t *Tracker) Dump(now time.Duration) []Dump {
	dump := []Dump{}
	for id, u := range t.upstreams {
		u.hasToken(now) // drops expired ones
		dump = append(dump, Dump{id, u.startedMS, max(0, u.until-now).Milliseconds(), len(u.tokens), u.waiting, u.queue})
	}
	slices.SortFunc(dump, func(a, b Dump) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return dump
}
