// Package coldstart limits the requests to upstreams that have just started or become cold
// again, over all hosts. While it is cold an upstream tolerates a given rate and crashes well
// above it. The coordinator divides the rate by grants with a short lifetime (Divider); each
// host keeps the grants it received, and what it knows of cold upstreams (Tracker). The
// package does no I/O and takes the time, on the boot clock, as an argument.
//
// A grant is spent within GrantLifetime of the start of the call that brought it, so within
// GrantLifetime of the moment at which it was made: at most
// grantBurst + grantRatio x rate x (1 s + GrantLifetime) of them are spent in any second. Hosts
// with a seat send one request in localInterval without a grant, so the seats add maxSeats.
// For a rate of 14 requests per second this is 22.6; the bound is 1.5 x rate + 5 = 26. The
// difference covers requests that arrive later than they were permitted.
package coldstart

import (
	"math"
	"time"
)

const (
	// GrantLifetime is how long a grant can be spent, from the start of the host's call.
	GrantLifetime = 400 * time.Millisecond
	// grantRatio is the part of an upstream's rate that is granted.
	grantRatio = 0.9
	// grantBurst is the number of requests that may be granted at once.
	grantBurst = 2.0
	// maxSeats is the number of hosts that may send without a grant.
	maxSeats = 3
	// SeatLifetime is how long a seat is valid, from the start of the host's last exchange.
	SeatLifetime = 16 * time.Second
	// bucketIdleTime is the time after which a bucket that nobody asks of is dropped: it is
	// full by then, and so is a new one.
	bucketIdleTime = time.Minute
)

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	ID        string
	StartedMS int64 // Unix ms
}

// Need is what a host asks for an upstream.
type Need struct {
	Incarnation
	Waiting int // requests that wait for this upstream alone
	Wanted  int // requests that could have used it
}

// Grant permits a host to send requests to an upstream.
type Grant struct {
	Incarnation
	Requests int
	// Queue is the number of requests that wait for the upstream, over all hosts.
	Queue int
	// PerS is the rate of grants over all hosts, in requests per second.
	PerS float64
}

// bucket is the token bucket of one upstream, for all its incarnations.
type bucket struct {
	startedMS int64 // newest incarnation that a host asked for
	level     float64
	at        time.Duration
	asked     time.Duration
	waiting   map[string]waitingReport // by host
}

type waitingReport struct {
	count int
	at    time.Duration
}

// waitingTTL is how long a host's number of waiting requests counts.
const waitingTTL = 600 * time.Millisecond

// Divider divides the rates of cold upstreams among the hosts. The coordinator has one for
// its term. It is not safe for concurrent use.
type Divider struct {
	// grantsFrom is when the grants of the previous coordinator have expired; buckets are
	// empty then.
	grantsFrom time.Duration
	seatsFrom  time.Duration // seats of the previous coordinator that nobody claims have expired
	buckets    map[string]*bucket
	seats      map[string]time.Duration // last exchange, by host
	swept      time.Duration
}

// NewDivider returns the divider of a term that begins now. first reports that there was no
// coordinator before; otherwise its grants and seats may still be used.
func NewDivider(now time.Duration, first bool) *Divider {
	d := &Divider{grantsFrom: now - bucketIdleTime, buckets: map[string]*bucket{}, seats: map[string]time.Duration{}, swept: now}
	if !first {
		d.grantsFrom, d.seatsFrom = now+GrantLifetime, now+SeatLifetime
	}
	return d
}

// Seat reports whether a host may send without grants for SeatLifetime from the start of its
// call. claimed reports that the host had a seat when its call began.
func (d *Divider) Seat(now time.Duration, host string, claimed bool) bool {
	for other, renewed := range d.seats {
		if now-renewed >= SeatLifetime {
			delete(d.seats, other)
		}
	}
	_, seated := d.seats[host]
	if !seated && (len(d.seats) >= maxSeats || now < d.seatsFrom && !claimed) {
		return false
	}
	d.seats[host] = now
	return true
}

// Depart frees the seat of a host that has stopped.
func (d *Divider) Depart(host string) { delete(d.seats, host) }

// Grant answers the need of a host. perS is the rate that the upstream tolerates while it is
// cold, in requests per second.
func (d *Divider) Grant(now time.Duration, host string, need Need, perS float64) Grant {
	d.sweep(now)
	rate := grantRatio * perS
	b := d.buckets[need.ID]
	if b == nil {
		// The previous coordinator may have granted a burst in the last second.
		b = &bucket{at: d.grantsFrom, waiting: map[string]waitingReport{}}
		d.buckets[need.ID] = b
	}
	if now > b.at {
		b.level = min(grantBurst, b.level+rate*(now-b.at).Seconds())
		b.at = now
	}
	b.asked = now
	grant := Grant{Incarnation: need.Incarnation, PerS: rate}
	if need.StartedMS < b.startedMS {
		return grant // the upstream has started again
	}
	b.startedMS = need.StartedMS
	if now >= d.grantsFrom {
		grant.Requests = b.take(need)
	}
	b.waiting[host] = waitingReport{count: need.Waiting - min(need.Waiting, grant.Requests), at: now}
	grant.Queue = b.queue(now)
	return grant
}

// take takes what a need gets. Requests that may go elsewhere get something only if nobody
// waits, so that the bucket is full.
func (b *bucket) take(need Need) int {
	count := min(max(0, need.Waiting), int(b.level))
	if need.Waiting <= 0 && need.Wanted > 0 && b.level >= grantBurst {
		count = 1
	}
	b.level -= float64(count)
	return count
}

func (b *bucket) queue(now time.Duration) int {
	total := 0
	for host, report := range b.waiting {
		if now-report.at > waitingTTL {
			delete(b.waiting, host)
			continue
		}
		total += report.count
	}
	return total
}

func (d *Divider) sweep(now time.Duration) {
	if now-d.swept < bucketIdleTime {
		return
	}
	d.swept = now
	for id, b := range d.buckets {
		if now-b.asked >= bucketIdleTime {
			delete(d.buckets, id)
		}
	}
}

// QueueTime returns the time after which a request at the end of a queue is granted.
func QueueTime(queue int, perS float64) time.Duration {
	if perS <= 0 {
		return math.MaxInt64 / 2
	}
	return time.Duration(float64(queue) / perS * float64(time.Second))
}
