package experiment

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/routing"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

// minPrefixHitRatio is the lowest allowed ratio of cached prompt tokens to those
// of a single router.
const minPrefixHitRatio = 0.95

const bytesPerToken = 4

// prefixRun is a finished engine run as input to the simulated router.
type prefixRun struct {
	at     time.Duration
	model  string
	hashes []uint64
	cached int // cached prompt tokens of the actual run
}

// measurePrefixHits compares cached prompt tokens with those of a simulated
// single router. That router knows every engine's cache exactly and sends each
// request to the replica, among those loaded at the time, with the longest cached
// prefix.
func (s *recordSet) measurePrefixHits() {
	runs := s.run.prefixRuns()
	actual, reference := 0, 0
	router := newReferenceRouter(s.run)
	for _, run := range runs {
		actual += run.cached
		reference += router.route(run)
	}
	s.add("prefix_cached_tokens", float64(actual), "tokens")
	record := s.add("prefix_hits_over_single_router", float64(actual)/float64(max(reference, 1)), "ratio")
	record.note("single router: %d tokens", reference)
	if reference > 0 {
		record.atLeast(minPrefixHitRatio)
	}
}

func (r *Run) prefixRuns() []prefixRun {
	var runs []prefixRun
	for _, record := range r.engines {
		for _, run := range record.Runs {
			o := r.byPrompt[run.PromptHash]
			if o == nil || run.Outcome != standin.OutcomeFinished {
				continue
			}
			runs = append(runs, prefixRun{
				at:     r.sinceStart(run.Started),
				model:  baseModel(run.Model),
				hashes: routing.RequestPrefixHashes(o.Arrival.Request),
				cached: run.CachedTokens,
			})
		}
	}
	slices.SortFunc(runs, func(a, b prefixRun) int { return cmp.Compare(a.at, b.at) })
	return runs
}

// referenceRouter simulates a single router with one prefix cache per engine.
type referenceRouter struct {
	caches   []*blockCache
	replicas []map[string][]interval // loaded periods, by engine and model
}

func newReferenceRouter(r *Run) *referenceRouter {
	router := &referenceRouter{}
	for _, record := range r.engines {
		byModel := map[string][]interval{}
		for _, load := range record.Loads {
			if load.Adapter == "" && !load.Loaded.IsZero() {
				byModel[load.Model] = append(byModel[load.Model], interval{r.sinceStart(load.Loaded), r.endTime(load.Freed)})
			}
		}
		router.replicas = append(router.replicas, byModel)
		router.caches = append(router.caches, newBlockCache(fleet.CacheBlocks))
	}
	return router
}

// route routes a run to the engine with the longest cached prefix and returns the
// number of cached tokens there; 0 if no replica is loaded.
func (r *referenceRouter) route(run prefixRun) int {
	best, hits := -1, -1
	var bestHashes []uint64
	for i, cache := range r.caches {
		loaded, ok := findContaining(r.replicas[i][run.model], run.at)
		if !ok {
			continue
		}
		hashes := saltHashes(run.hashes, loaded.from)
		if found := cache.countLeadingHits(hashes); found > hits {
			best, hits, bestHashes = i, found, hashes
		}
	}
	if best < 0 {
		return 0
	}
	r.caches[best].touch(bestHashes)
	return hits * routing.BlockBytes / bytesPerToken
}

func findContaining(intervals []interval, at time.Duration) (interval, bool) {
	for _, i := range intervals {
		if at >= i.from && at < i.until {
			return i, true
		}
	}
	return interval{}, false
}

// saltHashes makes block hashes distinct for each load of a model, because engines
// drop a model's blocks when it is unloaded.
func saltHashes(hashes []uint64, loaded time.Duration) []uint64 {
	salted := make([]uint64, len(hashes))
	for i, hash := range hashes {
		salted[i] = hash ^ uint64(loaded)*0x9e3779b97f4a7c15
	}
	return salted
}

// blockCache is an LRU cache of prompt block hashes.
type blockCache struct {
	capacity int
	order    *list.List
	index    map[uint64]*list.Element
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), index: map[uint64]*list.Element{}}
}

// countLeadingHits returns the number of leading hashes that are cached.
func (c *blockCache) countLeadingHits(hashes []uint64) int {
	for i, hash := range hashes {
		if c.index[hash] == nil {
			return i
		}
	}
	return len(hashes)
}

func (c *blockCache) touch(hashes []uint64) {
	for _, hash := range hashes {
		if element := c.index[hash]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		if c.order.Len() >= c.capacity {
			delete(c.index, c.order.Remove(c.order.Back()).(uint64))
		}
		c.index[hash] = c.order.PushFront(hash)
	}
}
