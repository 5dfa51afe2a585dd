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

// prefixHitsOverRouter bounds prefix hits below those of a single router.
const prefixHitsOverRouter = 0.95

const bytesPerToken = 4

// prefixRun is a run as the single router sees it.
type prefixRun struct {
	at     time.Duration
	model  string
	hashes []uint64
	cached int // tokens, in this run
}

// prefixHits compares cached prompt tokens with those of a single-host router
// that sees everything: it knows every engine's cache exactly and sends each
// request to the replica, among those loaded at the time, with the longest
// cached prefix.
func (s *recordSet) prefixHits() {
	runs := s.run.prefixRuns()
	actual, ideal := 0, 0
	router := newIdealRouter(s.run)
	for _, run := range runs {
		actual += run.cached
		ideal += router.route(run)
	}
	s.add("prefix_cached_tokens", float64(actual), "tokens")
	record := s.add("prefix_hits_over_single_router", float64(actual)/float64(max(ideal, 1)), "ratio")
	record.note("single router: %d tokens", ideal)
	if ideal > 0 {
		record.atLeast(prefixHitsOverRouter)
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
				at:     r.since(run.Started),
				model:  baseModel(run.Model),
				hashes: routing.RequestPrefixHashes(o.Arrival.Request),
				cached: run.CachedTokens,
			})
		}
	}
	slices.SortFunc(runs, func(a, b prefixRun) int { return cmp.Compare(a.at, b.at) })
	return runs
}

// idealRouter simulates one cache per engine.
type idealRouter struct {
	caches   []*blockCache
	replicas []map[string][]interval // by engine and model
}

func newIdealRouter(r *Run) *idealRouter {
	router := &idealRouter{}
	for _, record := range r.engines {
		byModel := map[string][]interval{}
		for _, load := range record.Loads {
			if load.Adapter == "" && !load.Loaded.IsZero() {
				byModel[load.Model] = append(byModel[load.Model], interval{r.since(load.Loaded), r.until(load.Freed)})
			}
		}
		router.replicas = append(router.replicas, byModel)
		router.caches = append(router.caches, newBlockCache(fleet.CacheBlocks))
	}
	return router
}

// route returns the cached tokens of a run at the best engine.
func (r *idealRouter) route(run prefixRun) int {
	best, hits := -1, -1
	var bestHashes []uint64
	for i, cache := range r.caches {
		loaded, ok := containing(r.replicas[i][run.model], run.at)
		if !ok {
			continue
		}
		hashes := salted(run.hashes, loaded.from)
		if found := cache.peek(hashes); found > hits {
			best, hits, bestHashes = i, found, hashes
		}
	}
	if best < 0 {
		return 0
	}
	r.caches[best].use(bestHashes)
	return hits * routing.BlockBytes / bytesPerToken
}

func containing(intervals []interval, at time.Duration) (interval, bool) {
	for _, i := range intervals {
		if at >= i.from && at < i.until {
			return i, true
		}
	}
	return interval{}, false
}

// salted tells the blocks of a model's stays in memory apart, because engines
// drop a model's blocks when it is unloaded.
func salted(hashes []uint64, loaded time.Duration) []uint64 {
	distinct := make([]uint64, len(hashes))
	for i, hash := range hashes {
		distinct[i] = hash ^ uint64(loaded)*0x9e3779b97f4a7c15
	}
	return distinct
}

// blockCache is a least-recently-used set of prompt blocks.
type blockCache struct {
	capacity int
	order    *list.List
	index    map[uint64]*list.Element
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), index: map[uint64]*list.Element{}}
}

// peek returns how many leading blocks are cached.
func (c *blockCache) peek(hashes []uint64) int {
	for i, hash := range hashes {
		if c.index[hash] == nil {
			return i
		}
	}
	return len(hashes)
}

func (c *blockCache) use(hashes []uint64) {
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
