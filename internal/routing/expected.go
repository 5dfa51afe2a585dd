package routing

import (
	"math"
	"math/rand/v2"
	"sync"
)

const (
	// fullMargin is the number of slots around the last one in which an arrival is expected to
	// wait or not: the counts of other hosts' requests are that uncertain.
	fullMargin = 2
	// toleratedPace is the pace up to which a request in the batch weighs the same at any
	// upstream: engines usually take 0.6 to 1.7 times as long as the mean. Beyond it, pauses
	// between events may become too long.
	toleratedPace = 1.5
	// noRoomPenalty keeps requests away from engines whose KV memory they would exceed, as
	// long as another one can take them. It is above every other penalty but that for
	// upstreams that recently failed.
	noRoomPenalty = 500
)

// ExpectedParams are the parameters of policy Expected. With a BatchSlowdown of 0.25, the
// prefill that affinity saves filled some of six equal engines to 1.5 times the mean, with 0.5
// to 1.27 times.
var ExpectedParams = Params{
	Policy:             Expected,
	DefaultServiceTime: DefaultParams.DefaultServiceTime,
	DefaultSlots:       DefaultParams.DefaultSlots,
	BatchSlowdown:      0.5,
}

// expectation is the expected time to the answer of a candidate, in seconds, and how much one
// more request at the candidate adds to it.
type expectation struct {
	index      int // of the candidate
	seconds    float64
	perRequest float64
}

// expectations reuses the memory of choices, which are made for each request.
var expectations = sync.Pool{New: func() any { return new([]expectation) }}

// expect returns the expectation of a candidate. The time consists of the wait for a slot, the
// usual time of an answer without delay and what differs between candidates (the prefill of
// what is not cached), all at the candidate's pace, and the delay by the requests in the batch.
// The last one stands for how near the batch is to being full and is not at the candidate's pace
// unless that is notably slow: fast engines were filled while slow ones had free slots (0.969
// instead of 0.986 on time at six engines of different pace). Penalties count as requests in progress at an
// upstream of usual pace.
func (p Params) expect(r *Request, c *Candidate) expectation {
	service, slots, pace := r.ServiceTime.Seconds(), float64(p.slots(c)), c.Pace
	if service <= 0 {
		service = p.DefaultServiceTime.Seconds()
	}
	if pace <= 0 {
		pace = 1
	}
	perSlot := service / slots
	load := float64(max(0, c.InFlight+c.OtherLoad))
	waiting := expectedWaiting(load, slots)
	slow := max(1, pace/toleratedPace)
	perBatched := perSlot * p.BatchSlowdown
	penalty := c.Penalty
	if c.MemoryTokens > 0 && c.Tokens > 0 && c.Tokens+r.Tokens > c.MemoryTokens {
		penalty += noRoomPenalty
	}
	return expectation{
		seconds:    (slow*min(load, slots)+penalty)*perBatched + pace*(perSlot*waiting+r.AnswerTime.Seconds()+c.ExtraTime.Seconds()),
		perRequest: slow*perBatched + pace*perSlot*(expectedWaiting(load+1, slots)-waiting),
	}
}

// expectedWaiting returns how many requests are expected to wait before one that arrives at a
// load.
func expectedWaiting(load, slots float64) float64 {
	margin := min(fullMargin, slots/2)
	over := load + 1 - slots
	if over <= -margin {
		return 0
	}
	if over >= margin {
		return over
	}
	return (over + margin) * (over + margin) / (4 * margin)
}

// chooseExpected chooses by the expected time. Since other hosts' requests were counted, they
// are expected to have sent r.Arrivals more to the candidates. Spread in the best way, these
// raise the fastest candidates to a common time, the level. All candidates below it are about
// as good, and the better one of two of them, drawn at random, is chosen: hosts with the same
// figures don't all choose the same one. Without such arrivals the best one is chosen.
func (p Params) chooseExpected(r *Request, candidates []Candidate, random *rand.Rand) (int, bool) {
	scratch := expectations.Get().(*[]expectation)
	defer expectations.Put(scratch)
	expected := (*scratch)[:0]
	defer func() { *scratch = expected }()
	for i := range candidates {
		if excluded(r, &candidates[i]) {
			continue
		}
		e := p.expect(r, &candidates[i])
		e.index = i
		expected = append(expected, e)
	}
	if len(expected) == 0 {
		return 0, false
	}
	level := fillLevel(expected, r.Arrivals)
	var drawn [2]*expectation
	count := 0
	for i := range expected {
		if expected[i].seconds > level {
			continue
		}
		count++
		if count <= 2 {
			drawn[count-1] = &expected[i]
		} else if at := random.IntN(count); at < 2 {
			drawn[at] = &expected[i]
		}
	}
	first, second := drawn[0], drawn[1]
	if second != nil && (second.seconds < first.seconds || second.seconds == first.seconds && random.IntN(2) == 0) {
		first = second
	}
	return first.index, true
}

// fillLevel returns the common expected time to which arrivals raise the candidates with the
// lowest times.
func fillLevel(expected []expectation, arrivals float64) float64 {
	level := math.Inf(1)
	if arrivals > 0 {
		// Each pass leaves out the candidates above the level of the pass before, which lowers
		// the level, until it leaves out none.
		for {
			rate, sum := 0.0, arrivals
			for i := range expected {
				if expected[i].seconds > level {
					continue
				}
				rate += 1 / expected[i].perRequest
				sum += expected[i].seconds / expected[i].perRequest
			}
			next := sum / rate
			if !(next < level) {
				return level
			}
			level = next
		}
	}
	for i := range expected {
		level = min(level, expected[i].seconds)
	}
	return level
}
