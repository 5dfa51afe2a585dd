package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

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

// victim returns which of the requests is refused: one of a heavy workspace,
// else one of the kind that is served best, allowing for urgency; of these the newest, as a
// late refusal costs its caller more. It returns nil if none may be refused.
func (b *Backlog) victim(among []*Entry) (victim *Entry) {
	best := 0.0
	for _, e := range among {
		if e.Request.Committed {
			continue
		}
		score := b.service(e.Request.Queue.Service).share(e.Request.Urgency, e.Request.Objective).value() + urgencyMargin*float64(e.Request.Urgency)
		if e.heavy {
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

// isHeavy reports whether a workspace asks for much more than the others on average.
func (s *slotService) isHeavy(now time.Time, workspace string) bool {
	own := s.usage[workspace]
	if own == nil || len(s.usage) < 2 || s.total.count < minUsageCount {
		return false
	}
	own.add(now, 0, 0)
	s.total.add(now, 0, 0)
	if own.cost <= heavyRatio*(s.total.cost-own.cost)/float64(len(s.usage)-1) {
		return false
	}
	s.heavyAt = now
	return true
}

// refuse ends the wait of an entry with an error. What is refused or served of a workspace that
// asks for much more than the others does not count for its kind: others would pay for it.
func (b *Backlog) refuse(now time.Time, e *Entry, err error) {
	b.remove(e, Expired)
	e.Err = err
	if !e.heavy {
		b.service(e.Request.Queue.Service).share(e.Request.Urgency, e.Request.Objective).add(now, 0, 1)
	}
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
