package coordinator

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coldstart"
)

// coldUntil is an upstream that is cold until a time on the boot clock.
type coldUntil struct {
	Incarnation
	until time.Duration
}

// cold returns the upstreams that any host was told are cold.
func (t *demandTracker) cold() []coldUntil {
	var list []coldUntil
	index := map[Incarnation]int{}
	for _, report := range t.hosts {
		for _, told := range report.cold {
			until := report.at + time.Duration(told.LeftMS)*time.Millisecond
			if i, known := index[told.Incarnation]; known {
				list[i].until = max(list[i].until, until)
				continue
			}
			index[told.Incarnation] = len(list)
			list = append(list, coldUntil{told.Incarnation, until})
		}
	}
	return list
}

// replyCold tells a host which upstreams are cold, and what it may send to them. The caller
// holds c.mu.
func (c *Coordinator) replyCold(now time.Duration, config *catalog.Config, request *ExchangeRequest, reply *ExchangeReply) {
	if config == nil || !config.LimitsCold() {
		return
	}
	for _, upstream := range c.cold {
		if left := upstream.until - now; left > 0 {
			reply.Cold = append(reply.Cold, ColdUpstream{upstream.Incarnation, left.Milliseconds() + 1})
		}
	}
	reply.ColdSeat = c.coldDivider.Seat(now, request.Host, request.ColdSeat)
	for _, need := range request.ColdNeeds {
		service := config.Services[need.Service]
		if !service.LimitsCold() {
			continue
		}
		grant := c.coldDivider.Grant(now, request.Host, coldstart.Need{
			Incarnation: coldstart.Incarnation{ID: need.Upstream, StartedMS: need.StartedMS}, Waiting: need.Waiting, Wanted: need.Wanted,
		}, service.ColdPerS)
		reply.ColdGrants = append(reply.ColdGrants, ColdGrant{Incarnation: need.Incarnation, Requests: grant.Requests, Queue: grant.Queue, PerS: grant.PerS})
	}
}

// coldRate returns the rate that an engine tolerates while it is cold; 0: it is not cold. The
// caller holds c.mu.
func (c *Coordinator) coldRate(now time.Duration, engine *engineState, service *catalog.Service) float64 {
	if !service.LimitsCold() {
		return 0
	}
	for _, upstream := range c.cold {
		if upstream.Upstream == engine.upstream.ID && upstream.StartedMS == engine.upstream.StartedMS && now < upstream.until {
			return service.ColdPerS
		}
	}
	return 0
}
