package coordinator

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/pace"
)

// recordPaces adds the pace samples of a host.
func (c *Coordinator) recordPaces(now time.Duration, request *ExchangeRequest) {
	if len(request.Paces) == 0 {
		return
	}
	samples := make([]pace.Sample, 0, len(request.Paces))
	for _, s := range request.Paces {
		samples = append(samples, pace.Sample{Incarnation: pace.Incarnation{ID: s.Upstream, StartedMS: s.StartedMS}, Ratio: s.Ratio, Weight: s.Weight})
	}
	c.paces.Record(now, samples)
}

// sharePaces adds the shared paces that changed after a host's version to the reply. known
// reports whether the version is one of this term.
func (c *Coordinator) sharePaces(now time.Duration, known bool, version int64, reply *ExchangeReply) {
	if version == 0 {
		return
	}
	var changed []pace.Shared
	changed, reply.PacesFull, reply.PaceVersion = c.paces.Since(now, known, version)
	for _, p := range changed {
		reply.Paces = append(reply.Paces, SharedPace{
			Incarnation: Incarnation{Upstream: p.ID, StartedMS: p.StartedMS}, Ratio: p.Ratio, Weight: p.Weight,
		})
	}
}

// Pace returns the pace of an upstream by the samples of all hosts of this term: the expected
// ratio of its times to the usual ones of its service, and the confidence in it, 0 to 1.
// Unknown upstreams have pace 1 and confidence 0.
func (c *Coordinator) Pace(upstream *catalog.Upstream) (factor, confidence float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paces.Pace(c.now(), pace.Incarnation{ID: upstream.ID, StartedMS: upstream.StartedMS})
}
