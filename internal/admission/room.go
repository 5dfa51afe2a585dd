package admission

import (
	"math"
	"time"
)

const (
	// maxUpstreamQueue bounds the requests beyond an upstream's slots up to which a host sends
	// it more. Engines queue 12 or more, and all hosts decide at the same time.
	maxUpstreamQueue = 6
	// maxMargin bounds the requests that are accepted beyond an upstream's slots because the
	// counts of other hosts are old. With a margin of 0, fewer requests were served in time
	// than when each was sent at once (TestHostsWithOldCounts, load 0.95, news every 0.4 s).
	maxMargin = 3
)

// Occupancy is what a host knows of the requests at an upstream.
type Occupancy struct {
	Slots       int           // 0: unknown
	Own, Others int           // requests of this host, and of others as of the last news
	ServiceTime time.Duration // expected time for which a run holds its slot
	// NewsInterval is the time between two news of the requests of other hosts.
	NewsInterval time.Duration
}

// Free reports whether the upstream counts as having a free slot. If other hosts use it, so
// many more requests are accepted as end there between two news: the counts are not more
// precise, and if only upstreams that are free by them got requests, all hosts would send
// theirs to the same few.
func (o *Occupancy) Free() bool {
	return o.Slots == 0 || o.Own+o.Others < o.Slots+o.margin()
}

func (o *Occupancy) margin() int {
	if o.Others == 0 {
		return 0
	}
	return min(maxMargin, int(math.Round(o.turnover())))
}

// turnover returns the number of requests that are expected to end between two news.
func (o *Occupancy) turnover() float64 {
	if o.ServiceTime == 0 {
		return 0
	}
	return float64(o.Slots) * o.NewsInterval.Seconds() / o.ServiceTime.Seconds()
}

// QueueThere reports whether a request with some slack is better sent to the queue of the full
// upstream than held here: it is expected to start there within its slack, or sooner than
// here. Slots that other hosts' requests leave become known here with the next news only; if
// there are none, this host sees each slot that comes free.
func (o *Occupancy) QueueThere(slack time.Duration) bool {
	if o.Others == 0 {
		return false
	}
	position := o.Own + o.Others - o.Slots + 1
	there := o.ServiceTime * time.Duration(position) / time.Duration(o.Slots)
	here := o.NewsInterval / 2
	if o.Own > 0 {
		here = min(here, o.ServiceTime/time.Duration(o.Own))
	}
	return position <= maxUpstreamQueue && there <= max(here, slack)
}

// Room returns how many requests the upstream can take until the next news.
func (o *Occupancy) Room() float64 {
	return max(0, float64(o.Slots-o.Own-o.Others)+o.turnover())
}
