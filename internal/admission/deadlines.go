package admission

import (
	"container/heap"
	"time"
)

// deadlineHeap orders waiters by deadline, earliest first.
type deadlineHeap []*Waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].request.Deadline.Before(h[j].request.Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*Waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	w := old[last]
	old[last] = nil
	*h = old[:last]
	return w
}

func (h *deadlineHeap) remove(w *Waiter) { heap.Remove(h, w.heapIndex) }

// earliest returns the earliest deadline; false if no request is waiting.
func (h deadlineHeap) earliest() (time.Time, bool) {
	if len(h) == 0 {
		return time.Time{}, false
	}
	return h[0].request.Deadline, true
}
