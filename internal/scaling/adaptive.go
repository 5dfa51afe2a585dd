package scaling

import "time"

const (
	// idlePerLoad is the idle replica time that avoiding one second of a cold
	// start is worth. With 15, replicas idled twice as long while the tail of
	// cold starts stayed the same: memory that frees sooner lets more loads go
	// to an engine that holds the checkpoint.
	idlePerLoad = 4
	// fewGaps is the number of idle gaps below which a model's history says
	// too little to plan by.
	fewGaps = 6
	// idleGap separates a gap between bursts from gaps within one.
	idleGap = time.Second
	// leastKeepAlive keeps a replica for the pauses within a burst.
	leastKeepAlive = 2 * idleGap
	// prewarmEarly and prewarmLate are the quantiles of the idle gaps between
	// which a replica is loaded ahead of the next burst.
	prewarmEarly = 0.05
	prewarmLate  = 0.95
	// sustainedPart is the part of a load time for which requests must wait
	// before running requests count as needing room beside them; a queue that
	// drains within it needs no further replica.
	sustainedPart = 4
	// burstWeight is the weight of the latest burst in the expected size.
	burstWeight = 0.3
)

// Adaptive plans by each model's own arrival history.
type Adaptive struct {
	models map[string]*history
}

// NewAdaptive returns a policy without history.
func NewAdaptive() *Adaptive { return &Adaptive{models: map[string]*history{}} }

// history is what is known of one model's arrivals.
type history struct {
	gaps          histogram
	last          time.Time // latest arrival
	burst         int       // arrivals of the current burst
	expectedBurst float64   // moving average of burst sizes
	queueAt       time.Time
	queue         int
	rate          float64 // growth of the queue in the last interval, requests per second
	growth        float64 // sustained growth: the least of the last two intervals
}

// RecordArrivals implements Policy.
func (a *Adaptive) RecordArrivals(model string, n int, now time.Time) {
	if n <= 0 {
		return
	}
	h := a.models[model]
	if h == nil {
		h = &history{}
		a.models[model] = h
	}
	if gap := now.Sub(h.last); !h.last.IsZero() && gap > idleGap {
		h.gaps.add(gap)
		h.endBurst()
	}
	h.burst += n
	h.last = now
}

func (h *history) endBurst() {
	size := float64(h.burst)
	if h.expectedBurst == 0 {
		h.expectedBurst = size
	}
	h.expectedBurst += burstWeight * (size - h.expectedBurst)
	h.burst = 0
}

// DesiredReplicas implements Policy. The replicas must hold the requests that run and
// wait, those by which the queue grows during a load, and at the start of a
// burst those that bursts of this model usually bring.
func (a *Adaptive) DesiredReplicas(model string, load Load, now time.Time) int {
	h := a.models[model]
	if h == nil {
		return replicasFor(float64(load.Waiting), load.MaxBatch)
	}
	h.observeQueue(load.Waiting, now)
	if load.Waiting == 0 {
		return h.prewarmed(load.LoadTime, now)
	}
	requests := float64(load.Waiting) + max(0, h.growth)*load.LoadTime.Seconds()
	if load.WaitingFor >= load.LoadTime/sustainedPart {
		requests += float64(load.Running)
	}
	if toCome := h.expectedBurst - float64(h.burst); toCome > 0 && h.gaps.total >= fewGaps {
		requests += toCome
	}
	return max(1, replicasFor(requests, load.MaxBatch))
}

// queueInterval is the time over which the queue's growth is measured; shorter
// ones measure the batching of arrivals.
const queueInterval = 200 * time.Millisecond

func (h *history) observeQueue(waiting int, now time.Time) {
	if h.queueAt.IsZero() || waiting == 0 {
		h.queueAt, h.queue, h.rate, h.growth = now, waiting, 0, 0
		return
	}
	elapsed := now.Sub(h.queueAt)
	if elapsed < queueInterval {
		return
	}
	// A burst that arrives at once is a steep rise in one interval only.
	rate := float64(waiting-h.queue) / elapsed.Seconds()
	h.growth = min(rate, h.rate)
	h.rate = rate
	h.queueAt, h.queue = now, waiting
}

// prewarmed returns 1 while the next burst is likely and keeping a replica for
// that time is worth less than a cold start.
func (h *history) prewarmed(loadTime time.Duration, now time.Time) int {
	if h.gaps.total < fewGaps {
		return 0
	}
	early := h.gaps.quantile(prewarmEarly) - h.gaps.quantile(prewarmEarly)/binsPerOctave - loadTime
	late := h.gaps.quantile(prewarmLate)
	if late-early > idlePerLoad*loadTime {
		return 0
	}
	idle := now.Sub(h.last)
	if idle >= early && idle <= late {
		return 1
	}
	return 0
}

// KeepAlive implements Policy. Without enough history it returns the time at
// which idling has cost as much as a cold start, which is at most twice as
// expensive as the best choice in hindsight.
func (a *Adaptive) KeepAlive(model string, loadTime time.Duration) time.Duration {
	coldStart := idlePerLoad * loadTime
	h := a.models[model]
	if h == nil || h.gaps.total < fewGaps {
		return max(leastKeepAlive, coldStart)
	}
	return max(leastKeepAlive, h.gaps.cheapestKeepAlive(coldStart))
}
