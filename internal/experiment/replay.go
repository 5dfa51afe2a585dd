package experiment

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

// Bounds of the allowance.
const (
	worstServedShare       = 0.95
	wrongfulCalm           = 0.001
	wrongfulOutage         = 0.01
	wrongfulDataCenterCut  = 0.02
	overAllowanceTolerance = 1e-6 // tokens, for rounding
)

// exactBucket is a fleet-wide token bucket by the rules of section 5.1:
// reserved tokens take up capacity until they are settled. Times are relative
// to the start of the load.
type exactBucket struct {
	rate, burst float64
	level       float64
	outstanding float64
	now         time.Duration
	ends        settlementHeap
}

// settlement returns a reservation's unused tokens.
type settlement struct {
	at            time.Duration
	cost, unspent float64
}

func newExactBucket(workspace config.Workspace, age time.Duration) *exactBucket {
	b := &exactBucket{rate: workspace.RateTokensPerS, burst: workspace.BurstTokens}
	b.level = min(b.burst, b.rate*age.Seconds())
	return b
}

// advance settles and refills up to a time.
func (b *exactBucket) advance(to time.Duration) {
	for b.ends.Len() > 0 && b.ends[0].at <= to {
		next := heap.Pop(&b.ends).(settlement)
		b.refill(next.at)
		b.outstanding -= next.cost
		b.level += next.unspent
	}
	b.refill(to)
}

func (b *exactBucket) refill(to time.Duration) {
	if to <= b.now {
		return
	}
	b.level = min(b.level+b.rate*(to-b.now).Seconds(), max(b.level, b.burst-b.outstanding))
	b.now = to
}

// admit reserves the cost at the earliest time from at on, if that is before
// the deadline. A request that cannot be admitted delays no other.
func (b *exactBucket) admit(at, deadline time.Duration, cost, used float64, service time.Duration) (time.Duration, bool) {
	b.advance(max(at, b.now))
	trial := b
	if b.level < cost {
		trial = b.clone()
	}
	for trial.level < cost {
		next := trial.nextChance(cost)
		if next > deadline || next <= trial.now {
			return 0, false
		}
		trial.advance(next)
	}
	*b = *trial
	b.level -= cost
	b.outstanding += cost
	heap.Push(&b.ends, settlement{at: b.now + service, cost: cost, unspent: cost - used})
	return b.now, true
}

func (b *exactBucket) clone() *exactBucket {
	copied := *b
	copied.ends = slices.Clone(b.ends)
	return &copied
}

// nextChance is when the level may next reach the cost: at a settlement or by
// refilling. It is not after now when neither can help.
func (b *exactBucket) nextChance(cost float64) time.Duration {
	at := time.Duration(0)
	if b.ends.Len() > 0 {
		at = b.ends[0].at
	}
	if cost <= b.burst-b.outstanding && b.rate > 0 {
		filled := b.now + time.Duration((cost-b.level)/b.rate*float64(time.Second)) + time.Microsecond
		if at == 0 || filled < at {
			at = filled
		}
	}
	return at
}

type settlementHeap []settlement

// Len implements heap.Interface.
func (h settlementHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h settlementHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h settlementHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *settlementHeap) Push(x any) { *h = append(*h, x.(settlement)) }

// Pop implements heap.Interface.
func (h *settlementHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	*h = (*h)[:last]
	return value
}

// usedTokens is what a complete answer to an arrival takes.
func usedTokens(a *loadgen.Arrival) float64 {
	answer, _ := standin.AnswerLength(standin.Prompt(a.Request), a.Request.MaxTokens)
	return float64(a.PromptTokens() + answer)
}

// serviceTime is how long an engine takes for an arrival.
func (r *Run) serviceTime(a *loadgen.Arrival) time.Duration {
	answer, _ := standin.AnswerLength(standin.Prompt(a.Request), a.Request.MaxTokens)
	return time.Duration(a.PromptTokens())*r.fleet.PrefillPerToken() + time.Duration(answer)*r.fleet.Deployment.Shape.TokenInterval
}

// verdict is what the exact bucket does with an arrival.
type verdict struct {
	outcome *loadgen.Outcome
	served  bool // within the deadline
	atOnce  bool // within the workspace's own rate when it arrived
}

// replay sends all model requests of each workspace through its exact bucket,
// in the order of arrival.
func (r *Run) replay() map[string][]verdict {
	buckets := map[string]*exactBucket{}
	verdicts := map[string][]verdict{}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.Arrival == nil || o.Arrival.Request == nil {
			continue
		}
		a := o.Arrival
		if buckets[a.Workspace] == nil {
			buckets[a.Workspace] = newExactBucket(r.fleet.Deployment.Document.Workspaces[a.Workspace], r.ageAtStart())
		}
		service := r.serviceTime(a)
		at, served := buckets[a.Workspace].admit(a.At, a.At+a.Deadline-service, float64(a.Cost()), usedTokens(a), service)
		verdicts[a.Workspace] = append(verdicts[a.Workspace], verdict{o, served, served && at <= a.At})
	}
	return verdicts
}

// withinRate returns the outcomes of the model requests that the exact bucket
// admits on arrival, in order of arrival.
func (r *Run) withinRate() []*loadgen.Outcome {
	var within []*loadgen.Outcome
	for _, list := range r.replay() {
		for _, v := range list {
			if v.atOnce {
				within = append(within, v.outcome)
			}
		}
	}
	slices.SortFunc(within, func(a, b *loadgen.Outcome) int { return cmp.Compare(a.Arrival.Number, b.Arrival.Number) })
	return within
}

func (s *recordSet) allowance() {
	verdicts := s.run.replay()
	s.worstServed(verdicts)
	s.wrongfulRefusals(verdicts)
	s.tokensOverAllowance()
}

func (s *recordSet) tokensOverAllowance() {
	over, share, workspace := s.run.overAllowance()
	s.add("tokens_over_allowance", max(over, 0), "tokens").atMost(overAllowanceTolerance)
	s.add("allowance_peak_share", share, "of burst").note("%s", workspace)
}

// worstServed counts the requests that the exact bucket admits on arrival.
func (s *recordSet) worstServed(verdicts map[string][]verdict) {
	worst, name := 1.0, ""
	for workspace, list := range verdicts {
		within, served := 0, 0
		for _, v := range list {
			if !v.atOnce {
				continue
			}
			within++
			if v.outcome.MetDeadline() {
				served++
			}
		}
		if share := float64(served) / float64(within); within > 0 && (name == "" || share < worst) {
			worst, name = share, workspace
		}
	}
	s.add("worst_served_workspace_share", worst, "share").atLeast(worstServedShare).note("%s", name)
}

// wrongfulRefusals counts, per workspace, by how much refusals for lack of
// tokens outnumber those of the exact bucket: under overload the two may refuse
// different requests.
func (s *recordSet) wrongfulRefusals(verdicts map[string][]verdict) {
	wrongful, total := 0, 0
	for _, list := range verdicts {
		actual, exact := 0, 0
		for _, v := range list {
			total++
			if v.outcome.Kind == loadgen.KindRefused && v.outcome.ProblemType == string(problem.RateLimited) {
				actual++
			}
			if !v.served {
				exact++
			}
		}
		wrongful += max(actual-exact, 0)
	}
	record := s.add("wrongful_refusals_share", float64(wrongful)/float64(max(total, 1)), "share")
	record.note("%d of %d", wrongful, total)
	bounds := map[string]float64{
		ConditionNormal: wrongfulCalm, ConditionOneHost: wrongfulOutage, ConditionPlatformOutage: wrongfulOutage,
		ConditionDataCenterPartition: wrongfulDataCenterCut,
	}
	if bound, ok := bounds[s.run.Scenario.Condition]; ok {
		record.atMost(bound)
	}
}

// overAllowance returns the largest number of tokens that a workspace had over
// burst + rate x time in any interval, from what the engines generated; it is
// negative when all stayed below. The share is the highest use of a burst.
func (r *Run) overAllowance() (over, share float64, name string) {
	over = math.Inf(-1)
	for workspace, events := range r.tokenEvents() {
		limits := r.fleet.Deployment.Document.Workspaces[workspace]
		peak := highestExcess(events, limits.RateTokensPerS)
		over = max(over, peak-limits.BurstTokens)
		if used := peak / max(limits.BurstTokens, 1); used > share {
			share, name = used, workspace
		}
	}
	return over, share, name
}

// highestExcess is the largest sum of tokens less rate x time over all
// intervals. The events are in order of time.
func highestExcess(events []tokenEvent, rate float64) float64 {
	level, highest := 0.0, 0.0
	last := time.Duration(0)
	for i, event := range events {
		if i > 0 {
			level = max(level-rate*(event.at-last).Seconds(), 0)
		}
		last = event.at
		level += float64(event.tokens)
		highest = max(highest, level)
	}
	return highest
}
