package admission

import (
	"container/heap"
	"math"
	"time"
)

// maxIdleFlows is the number of flows in a fairQueue that triggers the removal of
// flows without waiters whose finish tag is not ahead of the virtual time.
const maxIdleFlows = 64

// flowRequest holds the attributes of a request that the fair queue depends on.
type flowRequest struct {
	workspace string
	weight    float64
	cost      float64
	priority  Priority
}

// flow is the queue of one workspace in one priority class of a model.
type flow struct {
	workspace string
	waiters   waiterList
	cost      float64 // sum over waiters
	startTag  float64 // start tag of the first waiter, valid while any request is waiting
	finishTag float64 // finish tag of the last request dispatched
	weight    float64 // of the latest request
	heapIndex int     // position in the flowHeap; -1: no request is waiting
	sequence  uint64  // breaks ties between equal start tags in order of arrival
	// The dispatch rate is measured as the time between dispatches per unit of
	// cost while requests are waiting. It includes the time in which other
	// workspaces are served.
	dispatchInterval ewma // seconds
	dispatchCost     ewma
	lastDispatch     time.Time // last dispatch since requests began to wait; zero: none
}

// minRateSamples is the number of intervals required before the measured dispatch
// rate is used.
const minRateSamples = 5

// recordDispatch updates the dispatch rate. It is called before the request is
// removed.
func (f *flow) recordDispatch(now time.Time, cost float64) {
	if !f.lastDispatch.IsZero() {
		f.dispatchInterval.add(now.Sub(f.lastDispatch).Seconds())
		f.dispatchCost.add(cost)
	}
	f.lastDispatch = now
}

// resetDispatchRate restarts the measurement when the flow becomes empty or the
// capacity changes.
func (f *flow) resetDispatchRate() {
	f.dispatchInterval, f.dispatchCost = ewma{}, ewma{}
	f.lastDispatch = time.Time{}
}

// estimateWait returns the wait in seconds of a request that arrives now, by the
// measured dispatch rate of the flow; 0 while the rate is unknown.
func (f *flow) estimateWait() float64 {
	if f.dispatchInterval.count < minRateSamples {
		return 0
	}
	return f.dispatchInterval.value / f.dispatchCost.value * f.cost
}

// fairQueue is a start-time fair queue. Only the first waiter of a flow has a tag,
// so that a waiter canceled before its dispatch is not charged to its workspace.
type fairQueue struct {
	flows       map[string]*flow
	backlogged  flowHeap
	virtualTime float64 // start tag of the last request dispatched
	waiting     int
	cost        float64 // sum over waiters
	sequence    uint64
}

func newFairQueue() fairQueue { return fairQueue{flows: map[string]*flow{}} }

// flowFor returns the flow of the workspace and creates it if needed.
func (q *fairQueue) flowFor(workspace string) *flow {
	if f, ok := q.flows[workspace]; ok {
		return f
	}
	if len(q.flows) >= maxIdleFlows {
		q.removeIdleFlows()
	}
	f := &flow{workspace: workspace, heapIndex: -1}
	q.flows[workspace] = f
	return f
}

// removeIdleFlows removes flows whose removal does not change any later tag. While
// nothing waits, there is spare capacity and all flows can be removed.
func (q *fairQueue) removeIdleFlows() {
	if len(q.backlogged) == 0 {
		q.reset()
		return
	}
	for name, f := range q.flows {
		if f.heapIndex < 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// charge accounts for a request dispatched without waiting.
func (q *fairQueue) charge(r *flowRequest) {
	f := q.flowFor(r.workspace)
	start := math.Max(q.virtualTime, f.finishTag)
	f.finishTag = start + r.cost/r.weight
	q.virtualTime = start
}

// reset removes all flows with their finish tags. It may be called only when
// nothing is waiting.
func (q *fairQueue) reset() {
	clear(q.flows)
	q.virtualTime = 0
}

// push appends a waiter to the flow of its workspace.
func (q *fairQueue) push(w *Waiter) {
	f := q.flowFor(w.flowRequest.workspace)
	w.flow = f
	f.weight = w.flowRequest.weight
	f.waiters.push(w)
	f.cost += w.flowRequest.cost
	q.waiting++
	q.cost += w.flowRequest.cost
	if f.heapIndex < 0 {
		f.startTag = math.Max(q.virtualTime, f.finishTag)
		q.sequence++
		f.sequence = q.sequence
		heap.Push(&q.backlogged, f)
	}
}

// pop removes and returns the waiter with the smallest start tag and charges its
// cost to the flow.
func (q *fairQueue) pop(now time.Time) *Waiter {
	f := q.backlogged[0]
	w := f.waiters.first()
	f.recordDispatch(now, w.flowRequest.cost)
	q.virtualTime = math.Max(q.virtualTime, f.startTag)
	f.finishTag = f.startTag + w.flowRequest.cost/w.flowRequest.weight
	f.startTag = f.finishTag
	q.sequence++
	f.sequence = q.sequence
	q.remove(w)
	return w
}

// remove removes a waiter. It does not charge its cost to the flow.
func (q *fairQueue) remove(w *Waiter) {
	f := w.flow
	f.waiters.remove(w)
	f.cost -= w.flowRequest.cost
	q.waiting--
	q.cost -= w.flowRequest.cost
	if f.waiters.empty() {
		f.cost = 0
		f.resetDispatchRate()
		heap.Remove(&q.backlogged, f.heapIndex)
		return
	}
	heap.Fix(&q.backlogged, f.heapIndex)
}

// costAhead returns the cost expected to be dispatched before a request that
// arrives now.
func (q *fairQueue) costAhead(r *flowRequest) float64 {
	own := q.flows[r.workspace]
	tag, before := q.virtualTime, 0.0
	switch {
	case own == nil:
	case own.heapIndex < 0:
		tag = math.Max(q.virtualTime, own.finishTag)
	default:
		tag = own.startTag + own.cost/r.weight
		before = own.cost
	}
	for _, f := range q.backlogged {
		if f != own && f.startTag <= tag {
			before += math.Min(f.cost, (tag-f.startTag)*f.weight+f.cost/float64(f.waiters.length))
		}
	}
	return before
}

// flowHeap orders flows by the start tag of their first waiter.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].sequence < h[j].sequence
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	f.heapIndex = -1
	*h = old[:last]
	return f
}

// waiterList is a doubly linked list of waiters, so that a waiter can be removed
// from the middle in constant time.
type waiterList struct {
	head, tail *Waiter
	length     int
}

func (l *waiterList) first() *Waiter { return l.head }
func (l *waiterList) empty() bool    { return l.head == nil }

func (l *waiterList) earliestDeadline() time.Time {
	earliest := l.head.request.Deadline
	for w := l.head.next; w != nil; w = w.next {
		earliest = earlier(earliest, w.request.Deadline)
	}
	return earliest
}

func (l *waiterList) push(w *Waiter) {
	w.previous = l.tail
	if l.tail == nil {
		l.head = w
	} else {
		l.tail.next = w
	}
	l.tail = w
	l.length++
}

func (l *waiterList) remove(w *Waiter) {
	if w.previous == nil {
		l.head = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		l.tail = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.previous, w.next = nil, nil
	l.length--
}
