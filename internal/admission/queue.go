package admission

import "time"

const (
	// batchDispatchPeriod: while batch requests are waiting, at least one of this
	// many dispatches is a batch request.
	batchDispatchPeriod = 8
	// ewmaWeight is the weight of one completion in the moving averages of
	// service time and cost; about the last 20 completions count.
	ewmaWeight = 0.05
)

// queue holds the waiting requests and the capacity of one model.
type queue struct {
	model                 string
	capacity              int // slots this host may use at once
	lastNonzeroCapacity   int // latest capacity above 0, assumed while the model has none
	inFlight              int
	expectedReady         time.Time // zero: unknown
	classes               [priorityCount]fairQueue
	interactiveSinceBatch int // interactive dispatches since the last batch dispatch while batch requests are waiting
	serviceTime           ewma
	serviceCost           ewma
}

func newQueue(model string) *queue {
	q := &queue{model: model}
	for i := range q.classes {
		q.classes[i] = newFairQueue()
	}
	return q
}

func (q *queue) waiting() int {
	return q.classes[Interactive].waiting + q.classes[Batch].waiting
}

// idle reports whether no request is waiting or in flight.
func (q *queue) idle() bool { return q.inFlight == 0 && q.waiting() == 0 }

// popNext removes and returns the next waiter to dispatch, or nil if none waits.
func (q *queue) popNext(now time.Time) *Waiter {
	interactive, batch := &q.classes[Interactive], &q.classes[Batch]
	if interactive.waiting == 0 && batch.waiting == 0 {
		return nil
	}
	if batch.waiting > 0 && (interactive.waiting == 0 || q.interactiveSinceBatch >= batchDispatchPeriod-1) {
		q.interactiveSinceBatch = 0
		return batch.pop(now)
	}
	if batch.waiting > 0 {
		q.interactiveSinceBatch++
	}
	return interactive.pop(now)
}

// estimateWait returns the expected wait of a request that arrives now. Unknown
// parts count as 0, so that no request is refused without a measurement.
func (q *queue) estimateWait(now time.Time, r *flowRequest) time.Duration {
	var wait time.Duration
	if q.capacity == 0 && q.expectedReady.After(now) {
		wait = q.expectedReady.Sub(now)
	}
	if !q.serviceTime.known() {
		return wait
	}
	slots := float64(max(q.capacity, q.lastNonzeroCapacity, 1))
	seconds := q.costAhead(r) * q.secondsPerCost() / slots
	if q.capacity > 0 && q.inFlight >= q.capacity {
		// On average, each request in flight has half its service time left.
		seconds += q.serviceTime.value / (2 * slots)
	}
	if own := q.classes[r.priority].flows[r.workspace]; own != nil {
		// The queue shows only requests that wait now; the measured dispatch rate
		// also accounts for workspaces whose requests keep arriving.
		seconds = max(seconds, own.estimateWait())
	}
	return wait + time.Duration(seconds*float64(time.Second))
}

// setCapacity changes the number of slots.
func (q *queue) setCapacity(slots int) {
	if slots == q.capacity {
		return
	}
	q.capacity = slots
	if slots > 0 {
		q.lastNonzeroCapacity = slots
		q.expectedReady = time.Time{}
	}
	for i := range q.classes {
		for _, f := range q.classes[i].backlogged {
			f.resetDispatchRate()
		}
	}
}

// costAhead returns the cost expected to be dispatched before the request.
func (q *queue) costAhead(r *flowRequest) float64 {
	before := q.classes[r.priority].costAhead(r)
	if r.priority == Interactive {
		batch := q.classes[Batch].cost
		return before + min(batch, before/(batchDispatchPeriod-1))
	}
	interactive := q.classes[Interactive].cost
	return before + min(interactive, (before+r.cost)*(batchDispatchPeriod-1))
}

// secondsPerCost returns the time in seconds that one slot needs for one unit of
// cost.
func (q *queue) secondsPerCost() float64 {
	return q.serviceTime.value / max(q.serviceCost.value, 1e-9)
}

// observe records the service time and cost of a completed request.
func (q *queue) observe(serviceTime time.Duration, cost float64) {
	q.serviceTime.add(serviceTime.Seconds())
	q.serviceCost.add(cost)
}

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
	count int
}

func (a *ewma) known() bool { return a.count > 0 }

func (a *ewma) add(x float64) {
	a.count++
	// The first values have equal weight, so that the first one does not dominate.
	weight := max(ewmaWeight, 1/float64(a.count))
	a.value += (x - a.value) * weight
}
