// Package routing chooses the upstream of a request and keeps the knowledge
// that the choice rests on: requests in flight, reported load, latencies and
// the prompt prefixes that each engine is expected to hold in its cache.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy selects how upstreams are chosen.
type Policy string

// Policies. Random is the baseline of experiments: any candidate of the same
// data centre, or of another one when there is none.
const (
	Affinity Policy = "affinity"
	Random   Policy = "random"
)

// Params are the times that make load, adapters and prefixes comparable.
type Params struct {
	Policy             Policy
	AdapterLoadTime    time.Duration // loading an adapter that is not resident
	BlockPrefillTime   time.Duration // prefill of one block of BlockBytes
	SpillMargin        time.Duration // gain required, beyond the round trip, to leave the data centre
	DefaultServiceTime time.Duration // service time of an upstream without measurements
	DefaultSlots       int           // batch size of an upstream that reports none
	BatchSlowdown      float64       // delay by a request in a batch that has room, as a share of one that waits
	LoadTolerance      float64       // waiting requests within which candidates count as equal
}

// DefaultParams follow the stated workloads: adapters load in a handful of
// milliseconds. One request is the least error of a load report that lags.
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

// Request is what the choice depends on, apart from the candidates.
type Request struct {
	DataCenter   string   // of this host
	Adapter      bool     // the request needs an adapter
	PrefixHashes []uint64 // from PrefixHashes
	Tried        []string // addresses that must not be chosen again
}

// Candidate is an upstream that holds the model.
type Candidate struct {
	Address       string
	DataCenter    string
	RoundTrip     time.Duration // between the data centres; 0 within one
	Slots         int           // concurrent requests at full speed; 0: unknown
	InFlight      int           // requests of this host
	OtherLoad     int           // requests of other hosts, from the corrected report
	ServiceTime   time.Duration // estimate; 0: unknown
	AdapterLoaded bool
	PrefixBlocks  int // leading blocks of the prompt expected in the cache
	Leaving       bool
	Suspect       bool // unreachable or silent a short while ago
}

// Choose applies DefaultParams.Choose.
func Choose(r Request, candidates []Candidate, random *rand.Rand) (int, bool) {
	return DefaultParams.Choose(r, candidates, random)
}

// Choose returns the index of the candidate that a request should go to, and
// false when every candidate is excluded.
func (p Params) Choose(r Request, candidates []Candidate, random *rand.Rand) (int, bool) {
	if p.Policy == Random {
		return chooseRandom(r, candidates, random)
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

// score is the expected time until the answer, apart from what is equal at all
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

// wait is the expected delay by the requests that are already there. Engines
// batch continuously: only requests beyond the batch size wait in full.
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

// waitPerRequest is the delay that each waiting request adds.
func (p Params) waitPerRequest(c *Candidate) time.Duration {
	serviceTime := c.ServiceTime
	if serviceTime <= 0 {
		serviceTime = p.DefaultServiceTime
	}
	return serviceTime / time.Duration(p.slots(c))
}

// chooseAmongBest chooses one of the candidates that are as good as the best.
// For a prompt with a hashable prefix, the first block determines the choice, so
// that all hosts send a prefix that is cached nowhere, or not known to be, to
// the same upstream. Otherwise it is the better of two random ones, which keeps
// hosts with the same outdated reports from all choosing the same upstream.
func (p Params) chooseAmongBest(r *Request, candidates []Candidate, best int, bestScore time.Duration, random *rand.Rand) int {
	leader := &candidates[best]
	limit := bestScore + time.Duration(p.LoadTolerance*float64(p.waitPerRequest(leader)))
	pick := newPair(r, random)
	for i := range candidates {
		c := &candidates[i]
		equal := i == best || (c.DataCenter == leader.DataCenter && c.PrefixBlocks >= leader.PrefixBlocks)
		if equal && !excluded(r, c) && p.score(r, c) <= limit {
			pick.offer(i, c)
		}
	}
	first, second := pick.indexes()
	if !pick.deterministic && p.score(r, &candidates[second]) < p.score(r, &candidates[first]) {
		return second
	}
	return first
}

// pair keeps the two offers with the highest ranks. Ranks are random, or depend
// on the first block of the prompt.
type pair struct {
	random        *rand.Rand
	prefix        uint64
	index         [2]int
	rank          [2]uint64
	offers        int
	deterministic bool
}

func newPair(r *Request, random *rand.Rand) pair {
	if len(r.PrefixHashes) == 0 {
		return pair{random: random}
	}
	return pair{prefix: r.PrefixHashes[0], deterministic: true}
}

func (p *pair) offer(i int, c *Candidate) {
	rank := p.rankOf(c)
	p.offers++
	switch {
	case p.offers == 1 || rank > p.rank[0]:
		p.index[1], p.rank[1] = p.index[0], p.rank[0]
		p.index[0], p.rank[0] = i, rank
	case p.offers == 2 || rank > p.rank[1]:
		p.index[1], p.rank[1] = i, rank
	}
}

func (p *pair) rankOf(c *Candidate) uint64 {
	if p.deterministic {
		return mix(xxhash.Sum64String(c.Address) ^ p.prefix)
	}
	return p.random.Uint64()
}

func (p *pair) indexes() (first, second int) {
	if p.offers == 1 {
		return p.index[0], p.index[0]
	}
	return p.index[0], p.index[1]
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
	chosen, near, seen := -1, false, 0
	for i := range candidates {
		c := &candidates[i]
		local := c.DataCenter == r.DataCenter
		if excluded(&r, c) || (near && !local) {
			continue
		}
		if local && !near {
			near, seen = true, 0
		}
		seen++
		if random.IntN(seen) == 0 {
			chosen = i
		}
	}
	return max(chosen, 0), chosen >= 0
}
