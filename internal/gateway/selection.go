package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

const (
	// Penalties are in requests in progress: a penalty of 1 weighs as much as one request
	// that runs at the upstream. failureRatePenalty is that of a failure rate of 1.
	failureRatePenalty = 30.0
	// backoffPenalty keeps requests away from upstreams that recently failed, as long as
	// there is another one.
	backoffPenalty = 1000.0
	// remoteDataCenterPenalty is that of an upstream in another data centre.
	remoteDataCenterPenalty = 0.6
	// missingAdapterPenalty is that of loading the adapter.
	missingAdapterPenalty = 8.0
	// coldPenalty is that of a cold upstream, which takes a few requests per second only: half
	// of the slots of a usual plain service.
	coldPenalty = 3.0
	// arrivalMargin multiplies the arrivals that are expected of other hosts: they come
	// unevenly.
	arrivalMargin = 2.0
	// maxOthersAge is the age up to which counts of other hosts' requests are used as they
	// are; hosts report every 400 ms at least.
	maxOthersAge = time.Second
)

// selection is what the choice of an upstream depends on, besides the candidates.
type selection struct {
	request    *call.Request
	engine     *catalog.Engine // nil for a plain service
	dataCenter string
	tried      map[string]bool // upstreams that are not to be chosen, by ID
	random     *rand.Rand
}

// selectCandidate selects an upstream for the request, nil if there is none.
func (d *dispatcher) selectCandidate(candidates []Candidate) *Candidate {
	s := selection{
		request: d.request, engine: d.service.Engine, dataCenter: d.query.dataCenterOr(d.gateway.settings.DataCenter), tried: d.tried,
		random: rand.New(rand.NewPCG(d.gateway.random.Uint64(), d.gateway.random.Uint64())),
	}
	chosen := s.choose(candidates)
	d.query.observe(s, candidates)
	return chosen
}

// optionLists reuses the memory of choices.
var optionLists = sync.Pool{New: func() any { return new([]routing.Candidate) }}

// choose returns the candidate that routing chooses among those not yet tried, nil if there
// is none.
func (s selection) choose(candidates []Candidate) *Candidate {
	if len(candidates) == 0 {
		return nil
	}
	scratch := optionLists.Get().(*[]routing.Candidate)
	defer optionLists.Put(scratch)
	options := slices.Grow((*scratch)[:0], len(candidates))[:len(candidates)]
	*scratch = options
	clear(options)
	chosen, ok := routing.ExpectedParams.Choose(s.describe(candidates, options), options, s.random)
	if !ok {
		return nil
	}
	return &candidates[chosen]
}

// describe sets the options that stand for the candidates in routing, which are zero, and
// returns what the choice depends on besides them.
func (s selection) describe(candidates []Candidate, options []routing.Candidate) routing.Request {
	usual := candidates[0].Usual
	request := routing.Request{
		ServiceTime: usual.Duration, AnswerTime: usual.Answer, Arrivals: expectedArrivals(candidates),
		Tokens: s.request.PromptTokens + s.request.OutputTokens,
	}
	others := newOthersView(candidates)
	preferred, cached := s.affinityOwner(candidates)
	for i := range candidates {
		c := &candidates[i]
		o := &options[i]
		o.Slots, o.InFlight, o.OtherLoad, o.Pace = c.Upstream.Slots, c.Own, others.load(c), c.Pace
		o.Tokens = c.Tokens
		o.Leaving = s.tried[c.Upstream.ID]
		o.Penalty = s.penalties(c).sum()
		prefill := s.request.PromptTokens
		if i == preferred {
			prefill -= cached
		}
		o.ExtraTime = pace.Prefill(prefill)
		if s.engine != nil {
			o.MemoryTokens = s.engine.MemoryTokens
			if o.Slots <= 0 {
				o.Slots = s.engine.BatchSlots
			}
		}
	}
	s.shapeBySlowStart(candidates, options)
	return request
}

// Penalties are the penalties of a candidate, in requests in progress.
type Penalties struct {
	Failures         float64 `json:"failures"`
	Backoff          float64 `json:"backoff"`
	RemoteDataCenter float64 `json:"remote_data_center"`
	Cold             float64 `json:"cold"`
	MissingAdapter   float64 `json:"missing_adapter"`
	SlowStart        float64 `json:"slow_start"` // set by shapeBySlowStart in the options
}

func (p Penalties) sum() float64 {
	return p.Failures + p.Backoff + p.RemoteDataCenter + p.Cold + p.MissingAdapter
}

func (s selection) penalties(c *Candidate) Penalties {
	p := Penalties{Failures: failureRatePenalty * c.FailureRate}
	if c.InBackoff {
		p.Backoff = backoffPenalty
	}
	if c.Upstream.DataCenter != s.dataCenter {
		p.RemoteDataCenter = remoteDataCenterPenalty
	}
	if c.ColdFor > 0 {
		p.Cold = coldPenalty
	}
	if !c.HasAdapter {
		p.MissingAdapter = missingAdapterPenalty
	}
	return p
}

// expectedArrivals returns how many requests other hosts are expected to have sent to the
// candidates since their requests were counted. In a steady state as many arrive as end.
func expectedArrivals(candidates []Candidate) float64 {
	others := 0
	for i := range candidates {
		others += candidates[i].Load - candidates[i].Own
	}
	if candidates[0].Usual.Duration <= 0 {
		return 0
	}
	return float64(others) * min(1, arrivalMargin*candidates[0].OthersAge.Seconds()/candidates[0].Usual.Duration.Seconds())
}

// othersView corrects the counts of other hosts' requests for their age: old ones tend to the
// mean, as the requests that were counted have ended.
type othersView struct{ mean, weight float64 }

func newOthersView(candidates []Candidate) othersView {
	age := candidates[0].OthersAge
	if age <= maxOthersAge {
		return othersView{weight: 1}
	}
	sum := 0
	for i := range candidates {
		sum += candidates[i].Load - candidates[i].Own
	}
	return othersView{mean: float64(sum) / float64(len(candidates)), weight: math.Exp(-(age - maxOthersAge).Seconds() / maxOthersAge.Seconds())}
}

func (v othersView) load(c *Candidate) int {
	others := c.Load - c.Own
	if v.weight == 1 {
		return others
	}
	return int(math.Round(v.mean + v.weight*(float64(others)-v.mean)))
}

// affinityOwner returns the index of the upstream that most likely caches the shared prefix
// of the prompt, and the tokens of that prefix; all hosts choose the same one. It returns -1
// for prompts without a shared prefix.
func (s selection) affinityOwner(candidates []Candidate) (owner, tokens int) {
	segments := s.request.PromptSegments
	if len(segments) < 2 {
		return -1, 0
	}
	for _, segment := range segments[:len(segments)-1] {
		tokens += segment.Tokens
	}
	key := s.request.Model + "/" + s.request.Adapter + "/" + segments[len(segments)-2].ID
	best := uint64(0)
	owner = -1
	for i := range candidates {
		id := candidates[i].Upstream.ID
		score := rendezvous.Score(key, id)
		if owner < 0 || score > best || (score == best && id < candidates[owner].Upstream.ID) {
			owner, best = i, score
		}
	}
	return owner, min(tokens, s.request.PromptTokens)
}
