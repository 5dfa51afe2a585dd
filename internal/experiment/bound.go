package experiment

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

// coldLoad is one load of a model that was not loaded, with the requests that wait
// for it.
type coldLoad struct {
	model       string
	releasedAt  time.Duration // arrival of the first request
	loadTime    time.Duration // at full speed from the fastest source
	remote      bool
	requests    []coldStart
	completedAt time.Duration
}

// lowerBoundWaits computes a lower bound on the waits of the answered cold
// requests. It assumes that each cold load happens once, from the fastest source
// that held the checkpoint on any engine, as soon as the weight store's limits
// allow, and that apart from it only the prompt and the first token take time. Of
// the two orders first come, first served and shortest job first, it uses the one
// with the lower 99th percentile.
func (r *Run) lowerBoundWaits(cold []coldStart) []time.Duration {
	loads := r.coldLoads(cold)
	arrival := func(a, b *coldLoad) int { return cmp.Compare(a.releasedAt, b.releasedAt) }
	shortest := func(a, b *coldLoad) int { return cmp.Or(cmp.Compare(a.loadTime, b.loadTime), arrival(a, b)) }
	fcfs := r.simulateWaits(loads, arrival)
	shortestFirst := r.simulateWaits(loads, shortest)
	if quantile(shortestFirst, p99) < quantile(fcfs, p99) {
		return shortestFirst
	}
	return fcfs
}

func (r *Run) coldLoads(cold []coldStart) []*coldLoad {
	type key struct {
		model  string
		loaded time.Duration
	}
	byKey := map[key]*coldLoad{}
	var loads []*coldLoad
	for _, start := range cold {
		if start.wait <= 0 || start.loadedAt == 0 {
			continue
		}
		k := key{start.model, start.loadedAt}
		if byKey[k] == nil {
			byKey[k] = r.newColdLoad(start)
			loads = append(loads, byKey[k])
		}
		byKey[k].requests = append(byKey[k].requests, start)
	}
	return loads
}

func (r *Run) newColdLoad(start coldStart) *coldLoad {
	e := &coldLoad{model: start.model, releasedAt: start.outcome.Arrival.At}
	e.loadTime, e.remote = r.loadTime(e.model, e.releasedAt)
	return e
}

// loadTime returns how long a load at full speed takes from the fastest source, and
// whether that source is the weight store.
func (r *Run) loadTime(model string, at time.Duration) (took time.Duration, remote bool) {
	shape := r.fleet.Deployment.Shape
	speed := shape.StoreBytesPerS
	switch r.cheapestSource(model, at) {
	case standin.SourceHostMemory:
		speed = shape.HostMemoryBytesPerS
	case standin.SourceDisk:
		speed = shape.DiskBytesPerS
	default:
		remote = true
	}
	bytes := float64(r.fleet.Deployment.Document.Models[model].Bytes)
	return time.Duration(bytes / speed * float64(time.Second)), remote
}

// cheapestSource returns the fastest source of a checkpoint at a time. It considers
// checkpoints that engines held from the start or could have cached by an earlier
// load or unload.
func (r *Run) cheapestSource(model string, at time.Duration) string {
	best := standin.SourceRemote
	for _, spec := range r.fleet.Deployment.Engines {
		if slices.Contains(spec.HostMemory, model) {
			return standin.SourceHostMemory
		}
		if slices.Contains(spec.Disk, model) {
			best = standin.SourceDisk
		}
	}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Model != model || load.Adapter != "" {
				continue
			}
			if !load.Freed.IsZero() && r.sinceStart(load.Freed) < at {
				return standin.SourceHostMemory
			}
			if !load.Loaded.IsZero() && r.sinceStart(load.Loaded) < at {
				best = standin.SourceDisk
			}
		}
	}
	return best
}

// simulateWaits simulates the weight store, which starts released loads in the given
// order, and returns the waits of their requests.
func (r *Run) simulateWaits(loads []*coldLoad, order func(a, b *coldLoad) int) []time.Duration {
	store := &simulatedStore{
		concurrent: r.fleet.Deployment.Shape.ConcurrentLoads,
		interval:   time.Duration(float64(time.Second) / r.fleet.Deployment.Shape.LoadsPerS),
		order:      order,
	}
	store.run(loads)
	var waits []time.Duration
	for _, e := range loads {
		for _, start := range e.requests {
			at := start.outcome.Arrival.At
			waits = append(waits, max(e.completedAt-at, 0)+r.firstTokenTime(start))
		}
	}
	return waits
}

// firstTokenTime is the time from dispatch to the first token.
func (r *Run) firstTokenTime(start coldStart) time.Duration {
	prompt := standin.PromptTokens(standin.Prompt(start.outcome.Arrival.Request))
	return time.Duration(prompt)*r.fleet.PrefillPerToken() + r.fleet.Deployment.Shape.TokenInterval
}

// simulatedStore simulates a weight store without overhead: remote loads wait for the
// concurrency limit and the limit on starts per second, local loads do not wait.
type simulatedStore struct {
	concurrent int
	interval   time.Duration
	order      func(a, b *coldLoad) int
	ends       durationHeap // end times of the loads in progress
	starts     []time.Duration
}

func (s *simulatedStore) run(loads []*coldLoad) {
	var remote []*coldLoad
	for _, e := range loads {
		e.completedAt = e.releasedAt + e.loadTime
		if e.remote {
			remote = append(remote, e)
		}
	}
	slices.SortFunc(remote, func(a, b *coldLoad) int { return cmp.Compare(a.releasedAt, b.releasedAt) })
	var waiting []*coldLoad
	now := time.Duration(0)
	for len(remote) > 0 || len(waiting) > 0 {
		if len(waiting) == 0 {
			now = max(now, remote[0].releasedAt)
		}
		now = s.nextStart(now)
		for len(remote) > 0 && remote[0].releasedAt <= now {
			waiting = append(waiting, remote[0])
			remote = remote[1:]
		}
		next := slices.MinFunc(waiting, s.order)
		waiting = slices.DeleteFunc(waiting, func(e *coldLoad) bool { return e == next })
		next.completedAt = now + next.loadTime
		heap.Push(&s.ends, next.completedAt)
		s.starts = append(s.starts, now)
	}
}

// nextStart returns the earliest time, not before now, at which a load may start.
func (s *simulatedStore) nextStart(now time.Duration) time.Duration {
	for s.ends.Len() > 0 && s.ends[0] <= now {
		heap.Pop(&s.ends)
	}
	for s.concurrent > 0 && s.ends.Len() >= s.concurrent {
		now = max(now, heap.Pop(&s.ends).(time.Duration))
	}
	perSecond := int(time.Second / s.interval)
	if n := len(s.starts); perSecond > 0 && n >= perSecond {
		now = max(now, s.starts[n-perSecond]+time.Second)
	}
	return now
}

type durationHeap []time.Duration

// Len implements heap.Interface.
func (h durationHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h durationHeap) Less(i, j int) bool { return h[i] < h[j] }

// Swap implements heap.Interface.
func (h durationHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *durationHeap) Push(x any) { *h = append(*h, x.(time.Duration)) }

// Pop implements heap.Interface.
func (h *durationHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	*h = (*h)[:last]
	return value
}
