package scaling

import "time"

const (
	// idlePerColdStart is the idle replica time, in seconds, that is worth
	// spending to avoid one second of a cold start. With 15, replicas idled
	// twice as long while the tail latency of cold starts stayed the same,
	// because memory that becomes free sooner lets more loads use an engine
	// that holds the checkpoint.
	idlePerColdStart = 4
	// minGaps is the minimum weight of recorded idle gaps for predictions from a
	// model's history.
	minGaps = 6
	// minBurstGap is the idle time after which an arrival starts a new burst.
	minBurstGap = time.Second
	// minKeepAlive is longer than minBurstGap so that a replica stays loaded during
	// the pauses within a burst.
	minKeepAlive = 2 * minBurstGap
	// prewarmStartQuantile and prewarmEndQuantile are the quantiles of the idle
	// gaps between which a replica is kept loaded ahead of the next burst.
	prewarmStartQuantile = 0.05
	prewarmEndQuantile   = 0.95
	// sustainedWaitDivisor divides the load time; after that wait the running
	// requests count too, because they leave no room for the waiting ones. A
	// queue that drains sooner needs no further replica.
	sustainedWaitDivisor = 4
	// burstSmoothing is the weight of the latest burst in the moving average of
	// burst sizes.
	burstSmoothing = 0.3
)

// Adaptive is a policy that predicts each model's arrivals from its own history.
type Adaptive struct {
	models map[string]*arrivalHistory
}

// NewAdaptive returns an adaptive policy without history.
func NewAdaptive() *Adaptive { return &Adaptive{models: map[string]*arrivalHistory{}} }

// arrivalHistory holds the statistics of one model's arrivals.
type arrivalHistory struct {
	gaps          histogram
	last          time.Time // latest arrival
	burst         int       // arrivals of the current burst
	expectedBurst float64   // moving average of burst sizes
	queueAt       time.Time // latest queue measurement; zero when none
	queue         int       // requests waiting at queueAt
	rate          float64   // growth of the queue in the latest interval, requests per second
	growth        float64   // sustained growth: the minimum of the latest two rates
}

// RecordArrivals implements Policy.
func (a *Adaptive) RecordArrivals(model string, n int, now time.Time) {
	if n <= 0 {
		return
	}
	h := a.models[model]
	if h == nil {
		h = &arrivalHistory{}
		a.models[model] = h
	}
	if gap := now.Sub(h.last); !h.last.IsZero() && gap > minBurstGap {
		h.gaps.add(gap)
		h.endBurst()
	}
	h.burst += n
	h.last = now
}

// endBurst updates the expected burst size with the burst that has ended.
func (h *arrivalHistory) endBurst() {
	size := float64(h.burst)
	if h.expectedBurst == 0 {
		h.expectedBurst = size
	}
	h.expectedBurst += burstSmoothing * (size - h.expectedBurst)
	h.burst = 0
}

// DesiredReplicas implements Policy. The replicas must have room for the waiting
// requests, the growth of the queue during a load, the running requests if the wait
// is sustained, and the remaining requests of a burst of the expected size. While no
// request waits, a replica is prewarmed for the next burst.
func (a *Adaptive) DesiredReplicas(model string, load Load, now time.Time) int {
	h := a.models[model]
	if h == nil {
		return replicasFor(float64(load.Waiting), load.MaxBatch)
	}
	h.observeQueue(load.Waiting, now)
	if load.Waiting == 0 {
		return h.prewarmReplicas(load.LoadTime, now)
	}
	requests := float64(load.Waiting) + max(0, h.growth)*load.LoadTime.Seconds()
	if load.WaitingFor >= load.LoadTime/sustainedWaitDivisor {
		requests += float64(load.Running)
	}
	if remaining := h.expectedBurst - float64(h.burst); remaining > 0 && h.gaps.total >= minGaps {
		requests += remaining
	}
	return max(1, replicasFor(requests, load.MaxBatch))
}

// queueInterval is the minimum time over which the queue's growth is measured.
// Shorter intervals would measure the batching of arrivals.
const queueInterval = 200 * time.Millisecond

// observeQueue measures the growth of the queue. An empty queue resets it.
func (h *arrivalHistory) observeQueue(waiting int, now time.Time) {
	if h.queueAt.IsZero() || waiting == 0 {
		h.queueAt, h.queue, h.rate, h.growth = now, waiting, 0, 0
		return
	}
	elapsed := now.Sub(h.queueAt)
	if elapsed < queueInterval {
		return
	}
	// The minimum excludes a burst that arrives at once, which is a steep rise in
	// only one interval.
	rate := float64(waiting-h.queue) / elapsed.Seconds()
	h.growth = min(rate, h.rate)
	h.rate = rate
	h.queueAt, h.queue = now, waiting
}

// prewarmReplicas returns 1 during the time in which the next burst is likely, and 0
// outside it or if keeping a replica for that time costs more than a cold start.
func (h *arrivalHistory) prewarmReplicas(loadTime time.Duration, now time.Time) int {
	if h.gaps.total < minGaps {
		return 0
	}
	early := h.gaps.quantile(prewarmStartQuantile) - h.gaps.quantile(prewarmStartQuantile)/binsPerOctave - loadTime
	late := h.gaps.quantile(prewarmEndQuantile)
	if late-early > idlePerColdStart*loadTime {
		return 0
	}
	idle := now.Sub(h.last)
	if idle >= early && idle <= late {
		return 1
	}
	return 0
}

// KeepAlive implements Policy. Without enough history it returns the idle time that
// costs as much as a cold start, which is at most twice as expensive as the best
// choice in hindsight.
func (a *Adaptive) KeepAlive(model string, loadTime time.Duration) time.Duration {
	coldStart := idlePerColdStart * loadTime
	h := a.models[model]
	if h == nil || h.gaps.total < minGaps {
		return max(minKeepAlive, coldStart)
	}
	return max(minKeepAlive, h.gaps.cheapestKeepAlive(coldStart))
}
