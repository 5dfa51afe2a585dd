package admission

import (
	"math"
	"time"
)

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
