package engine

import (
	"container/list"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// maxCacheEvents bounds the events retained for readers. Readers see a gap in
// place of older events.
const maxCacheEvents = 4096

type cacheBlock struct {
	model string
	hash  uint64
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache is a bounded least-recently-used cache of prompt blocks. Its events
// become visible after a delay, and a fraction of them is never published.
type prefixCache struct {
	capacity int
	delay    time.Duration
	gapRatio float64

	mu     sync.Mutex
	random *rand.Rand
	order  *list.List // of cacheBlock, most recently used first
	index  map[uint64]*list.Element
	events []timedEvent
	seq    uint64
}

func newPrefixCache(options Options, seed uint64) *prefixCache {
	c := &prefixCache{
		capacity: options.CacheBlocks,
		delay:    options.CacheEventDelay,
		gapRatio: options.CacheEventGapRatio,
		random:   rand.New(rand.NewPCG(seed, 0)),
		order:    list.New(),
		index:    map[uint64]*list.Element{},
	}
	c.publish(engine.CacheReset, cacheBlock{})
	return c
}

// lookupAndStore returns how many leading blocks were already cached, and
// caches all blocks.
func (c *prefixCache) lookupAndStore(model string, hashes []uint64) int {
	if c.capacity <= 0 || len(hashes) == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for i, hash := range hashes {
		if element, ok := c.index[hash]; ok {
			c.order.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.store(cacheBlock{model: model, hash: hash})
	}
	return hits
}

// store adds a block and evicts the least recently used ones beyond the
// capacity. It requires c.mu.
func (c *prefixCache) store(block cacheBlock) {
	for c.order.Len() >= c.capacity {
		c.remove(c.order.Back())
	}
	c.index[block.hash] = c.order.PushFront(block)
	c.publish(engine.CacheStored, block)
}

// remove removes a block and publishes the removal. It requires c.mu.
func (c *prefixCache) remove(element *list.Element) {
	block := c.order.Remove(element).(cacheBlock)
	delete(c.index, block.hash)
	c.publish(engine.CacheRemoved, block)
}

// evictModel removes the blocks of an unloaded model and its adapters.
func (c *prefixCache) evictModel(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.order.Front(); element != nil; {
		next := element.Next()
		base, _, _ := strings.Cut(element.Value.(cacheBlock).model, ":")
		if base == model {
			c.remove(element)
		}
		element = next
	}
}

// publish appends an event, or leaves a gap in the sequence numbers at the gap
// ratio. It requires c.mu, except during construction.
func (c *prefixCache) publish(kind string, block cacheBlock) {
	c.seq++
	if kind != engine.CacheReset && c.random.Float64() < c.gapRatio {
		return
	}
	event := engine.CacheEvent{Seq: c.seq, Kind: kind, Model: block.model, PrefixHash: block.hash}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// after returns the visible events with a sequence number above n.
func (c *prefixCache) after(n uint64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	page := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: n}
	now := time.Now()
	for _, timed := range c.events {
		if timed.event.Seq <= n {
			continue
		}
		if now.Sub(timed.at) < c.delay {
			break
		}
		page.Events = append(page.Events, timed.event)
		page.Next = timed.event.Seq
	}
	return page
}
