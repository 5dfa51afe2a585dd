// Package routing chooses the upstream of a request and tracks the state that the
// choice depends on: requests in flight, reported load, latencies and the prompt
// prefixes that each engine is expected to have cached.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy selects how upstreams are chosen.
type Policy string

// Policies. Random is the baseline in experiments: any candidate in the same data
// centre, or in another one if there is none. Expected is that of gateway hosts, see
// ExpectedParams and docs/design/upstream-selection.md.
const (
	Affinity Policy = "affinity"
	Expected Policy = "expected"
	Random   Policy = "random"
)

// Params are the costs by which load, adapters and prefixes are compared.
type Params struct {
	Policy             Policy
	AdapterLoadTime    time.Duration // time to load an adapter that is not resident
	BlockPrefillTime   time.Duration // prefill of one block of BlockBytes
	SpillMargin        time.Duration // gain required, beyond the round trip, to use another data centre
	DefaultServiceTime time.Duration // for an upstream without measurements
	DefaultSlots       int           // batch size of an upstream that reports none
	BatchSlowdown      float64       // delay by a request in a batch that is not full, as a fraction of the delay by a waiting one
	LoadTolerance      float64       // difference in waiting requests within which candidates count as equal
}

// DefaultParams match the design workload, in which adapters load within a few
// milliseconds. A LoadTolerance of one request is the smallest error of a lagging
// load report.
var DefaultParams = Params{
	Policy:             Affinity,
	AdapterLoadTime:    5 * time.Millisecond,
	BlockPrefillTime:   time.Millisecond,
	SpillMargin:        10 * time.Millisecond,
	DefaultServiceTime: 100 * time.Millisecond,
	DefaultSlots:       8,
	BatchSlowdown:      0.25,
	LoadTolerance:      1,
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	DataCenter   string   // of this host
	Adapter      bool     // the request needs an adapter
	PrefixHashes []uint64 // from function PrefixHashes
	Tried        []string // addresses that must not be chosen again

	// The following apply to policy Expected.
	ServiceTime time.Duration // usual time for which a request takes a slot; 0: unknown
	AnswerTime  time.Duration // usual time to the answer, or its first event, without other requests
	Tokens      int           // KV memory that the request takes
	Arrivals    float64       // requests that other hosts are expected to have sent to the candidates since their counts
}

// Candidate is an upstream that serves the model.
type Candidate struct {
	Address       string
	DataCenter    string
	RoundTrip     time.Duration // between the data centres; 0 within one
	Slots         int           // concurrent requests at full speed; 0: unknown
	InFlight      int           // requests of this host
	OtherLoad     int           // requests of other hosts, from reports without this host's requests
	ServiceTime   time.Duration // estimate; 0: unknown
	AdapterLoaded bool
	PrefixBlocks  int // leading blocks of the prompt expected in the cache
	Leaving       bool
	Suspect       bool // recently unreachable or silent

	// The following apply to policy Expected.
	Pace         float64       // times relative to the usual; 0: unknown
	ExtraTime    time.Duration // time at usual pace that this candidate takes beyond Request.AnswerTime
	Penalty      float64       // further cost, in requests in progress
	Tokens       int           // KV memory that running requests take, over all hosts
	MemoryTokens int           // KV memory; 0: unknown
}

// Choose applies DefaultParams.Choose.
func Choose(r Request, candidates []Candidate, random *rand.Rand) (int, bool) {
	return DefaultParams.Choose(r, candidates, random)
}

// Choose returns the index of the candidate with the lowest expected time to
// answer; false if every candidate is excluded.
func (p Params) Choose(r Request, candidates []Candidate, random *rand.Rand) (int, bool) {
	if p.Policy == Random {
		return chooseRandom(r, candidates, random)
	}
	if p.Policy == Expected {
		return p.chooseExpected(&r, candidates, random)
	}
	best, bestScore := -1, time.Duration(0)
	for i := range candidates {
		if excluded(&r, &candidates[i]) {
			continue
		}
		score := p.score(&r, &candidates[i])
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return 0, false
	}
	return p.chooseAmongBest(&r, candidates, best, bestScore, random), true
}

func excluded(r *Request, c *Candidate) bool {
	return c.Leaving || c.Suspect || slices.Contains(r.Tried, c.Address)
}

// score returns the expected time to answer, apart from what is equal for all
// candidates. Lower is better.
func (p Params) score(r *Request, c *Candidate) time.Duration {
	score := p.wait(c)
	score -= time.Duration(c.PrefixBlocks) * p.BlockPrefillTime
	if r.Adapter && !c.AdapterLoaded {
		score += p.AdapterLoadTime
	}
	if c.DataCenter != r.DataCenter {
		score += c.RoundTrip + p.SpillMargin
	}
	return score
}

// wait returns the expected delay caused by the requests already at the upstream.
// Engines use continuous batching: only requests beyond the batch size wait fully.
func (p Params) wait(c *Candidate) time.Duration {
	load, slots := c.InFlight+c.OtherLoad, p.slots(c)
	waiting := float64(max(0, load+1-slots))
	batched := float64(min(load, slots))
	return time.Duration((waiting + p.BatchSlowdown*batched) * float64(p.waitPerRequest(c)))
}

func (p Params) slots(c *Candidate) int {
	if c.Slots > 0 {
		return c.Slots
	}
	return max(p.DefaultSlots, 1)
}

// waitPerRequest returns the delay that each waiting request adds.
func (p Params) waitPerRequest(c *Candidate) time.Duration {
	serviceTime := c.ServiceTime
	if serviceTime <= 0 {
		serviceTime = p.DefaultServiceTime
	}
	return serviceTime / time.Duration(p.slots(c))
}

// chooseAmongBest chooses one of the candidates that are as good as the best. For a
// prompt with at least one whole block, the hash of the first block determines the
// choice, so that all hosts send a prefix to the same upstream if it is cached
// nowhere or is not known to be. Otherwise it chooses the better of two random
// candidates, so that hosts with the same outdated reports do not all choose the
// same upstream.
func (p Params) chooseAmongBest(r *Request, candidates []Candidate, best int, bestScore time.Duration, random *rand.Rand) int {
	top := &candidates[best]
	limit := bestScore + time.Duration(p.LoadTolerance*float64(p.waitPerRequest(top)))
	ranked := newTopTwo(r, random)
	for i := range candidates {
		c := &candidates[i]
		equal := i == best || (c.DataCenter == top.DataCenter && c.PrefixBlocks >= top.PrefixBlocks)
		if equal && !excluded(r, c) && p.score(r, c) <= limit {
			ranked.add(i, c)
		}
	}
	first, second := ranked.indexes()
	if !ranked.deterministic && p.score(r, &candidates[second]) < p.score(r, &candidates[first]) {
		return second
	}
	return first
}

// topTwo keeps the two candidates with the highest ranks. Ranks are random, or
// derived from the first block of the prompt (rendezvous hashing).
type topTwo struct {
	random        *rand.Rand
	prefix        uint64
	index         [2]int
	rank          [2]uint64
	count         int
	deterministic bool
}

func newTopTwo(r *Request, random *rand.Rand) topTwo {
	if len(r.PrefixHashes) == 0 {
		return topTwo{random: random}
	}
	return topTwo{prefix: r.PrefixHashes[0], deterministic: true}
}

func (t *topTwo) add(i int, c *Candidate) {
	rank := t.rankOf(c)
	t.count++
	switch {
	case t.count == 1 || rank > t.rank[0]:
		t.index[1], t.rank[1] = t.index[0], t.rank[0]
		t.index[0], t.rank[0] = i, rank
	case t.count == 2 || rank > t.rank[1]:
		t.index[1], t.rank[1] = i, rank
	}
}

func (t *topTwo) rankOf(c *Candidate) uint64 {
	if t.deterministic {
		return mix(xxhash.Sum64String(c.Address) ^ t.prefix)
	}
	return t.random.Uint64()
}

func (t *topTwo) indexes() (first, second int) {
	if t.count == 1 {
		return t.index[0], t.index[0]
	}
	return t.index[0], t.index[1]
}

// mix is the finalizer of splitmix64: every input bit affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func chooseRandom(r Request, candidates []Candidate, random *rand.Rand) (int, bool) {
	chosen, localFound, count := -1, false, 0
	for i := range candidates {
		c := &candidates[i]
		local := c.DataCenter == r.DataCenter
		if excluded(&r, c) || (localFound && !local) {
			continue
		}
		if local && !localFound {
			localFound, count = true, 0
		}
		count++
		if random.IntN(count) == 0 {
			chosen = i
		}
	}
	return max(chosen, 0), chosen >= 0
}
