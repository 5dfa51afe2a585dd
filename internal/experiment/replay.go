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

// Bounds on how the hosts enforce the workspaces' allowances, as fractions unless
// stated otherwise.
const (
	minWorstServedShare    = 0.95
	maxWrongfulNormal      = 0.001
	maxWrongfulOutage      = 0.01
	maxWrongfulPartition   = 0.02
	overAllowanceTolerance = 1e-6 // tokens, allows for rounding errors
)

// referenceBucket is an exact, fleet-wide token bucket by the rules of section
// 5.1 of the design page: reserved tokens take up capacity until they are settled.
// Times are relative to the start of the load.
type referenceBucket struct {
	rate, burst float64
	available   float64
	reserved    float64
	now         time.Duration
	settlements settlementHeap
}

// settlement is the end of a reservation, which returns its unused tokens.
type settlement struct {
	at            time.Duration
	cost, unspent float64
}

func newReferenceBucket(workspace config.Workspace, age time.Duration) *referenceBucket {
	b := &referenceBucket{rate: workspace.RateTokensPerS, burst: workspace.BurstTokens}
	b.available = min(b.burst, b.rate*age.Seconds())
	return b
}

// advance applies settlements and refills up to the given time.
func (b *referenceBucket) advance(to time.Duration) {
	for b.settlements.Len() > 0 && b.settlements[0].at <= to {
		next := heap.Pop(&b.settlements).(settlement)
		b.refill(next.at)
		b.reserved -= next.cost
		b.available += next.unspent
	}
	b.refill(to)
}

func (b *referenceBucket) refill(to time.Duration) {
	if to <= b.now {
		return
	}
	b.available = min(b.available+b.rate*(to-b.now).Seconds(), max(b.available, b.burst-b.reserved))
	b.now = to
}

// admit reserves cost at the earliest possible time that is not before at, and
// returns that time. It returns false, and reserves nothing, if that is after the
// deadline or never. A request that cannot be admitted thus delays no other.
func (b *referenceBucket) admit(at, deadline time.Duration, cost, used float64, service time.Duration) (time.Duration, bool) {
	b.advance(max(at, b.now))
	trial := b
	if b.available < cost {
		trial = b.clone()
	}
	for trial.available < cost {
		next := trial.nextPossibleAdmission(cost)
		if next > deadline || next <= trial.now {
			return 0, false
		}
		trial.advance(next)
	}
	*b = *trial
	b.available -= cost
	b.reserved += cost
	heap.Push(&b.settlements, settlement{at: b.now + service, cost: cost, unspent: cost - used})
	return b.now, true
}

func (b *referenceBucket) clone() *referenceBucket {
	copied := *b
	copied.settlements = slices.Clone(b.settlements)
	return &copied
}

// nextPossibleAdmission returns when enough tokens for cost may next be available:
// after a settlement or by refilling. If neither can provide them, the result is
// not after b.now.
func (b *referenceBucket) nextPossibleAdmission(cost float64) time.Duration {
	at := time.Duration(0)
	if b.settlements.Len() > 0 {
		at = b.settlements[0].at
	}
	if cost <= b.burst-b.reserved && b.rate > 0 {
		filled := b.now + time.Duration((cost-b.available)/b.rate*float64(time.Second)) + time.Microsecond
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

// usedTokens is the number of prompt and completion tokens of a completed request.
func usedTokens(a *loadgen.Arrival) float64 {
	answer, _ := standin.CompletionLength(standin.Prompt(a.Request), a.Request.MaxTokens)
	return float64(a.PromptTokens() + answer)
}

// serviceTime is how long an engine takes to run a request.
func (r *Run) serviceTime(a *loadgen.Arrival) time.Duration {
	answer, _ := standin.CompletionLength(standin.Prompt(a.Request), a.Request.MaxTokens)
	return time.Duration(a.PromptTokens())*r.fleet.PrefillPerToken() + time.Duration(answer)*r.fleet.Deployment.Shape.TokenInterval
}

// replayResult is the reference bucket's decision on an arrival.
type replayResult struct {
	outcome           *loadgen.Outcome
	admittedInTime    bool // early enough to complete by the deadline
	admittedOnArrival bool // within the workspace's rate on arrival
}

// replay applies each workspace's reference bucket to all its model requests, in
// order of arrival. The result is keyed by workspace.
func (r *Run) replay() map[string][]replayResult {
	buckets := map[string]*referenceBucket{}
	results := map[string][]replayResult{}
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.Arrival == nil || o.Arrival.Request == nil {
			continue
		}
		a := o.Arrival
		if buckets[a.Workspace] == nil {
			buckets[a.Workspace] = newReferenceBucket(r.fleet.Deployment.Document.Workspaces[a.Workspace], r.warmUpTime())
		}
		service := r.serviceTime(a)
		at, served := buckets[a.Workspace].admit(a.At, a.At+a.Deadline-service, float64(a.Cost()), usedTokens(a), service)
		results[a.Workspace] = append(results[a.Workspace], replayResult{o, served, served && at <= a.At})
	}
	return results
}

// requestsWithinRate returns the outcomes of the model requests that the
// reference bucket admits on arrival, in order of arrival.
func (r *Run) requestsWithinRate() []*loadgen.Outcome {
	var within []*loadgen.Outcome
	for _, list := range r.replay() {
		for _, v := range list {
			if v.admittedOnArrival {
				within = append(within, v.outcome)
			}
		}
	}
	slices.SortFunc(within, func(a, b *loadgen.Outcome) int { return cmp.Compare(a.Arrival.Number, b.Arrival.Number) })
	return within
}

func (s *recordSet) measureAllowance() {
	results := s.run.replay()
	s.worstServed(results)
	s.wrongfulRefusals(results)
	s.tokensOverAllowance()
}

func (s *recordSet) tokensOverAllowance() {
	over, share, workspace := s.run.overAllowance()
	s.add("tokens_over_allowance", max(over, 0), "tokens").atMost(overAllowanceTolerance)
	s.add("allowance_peak_share", share, "of burst").note("%s", workspace)
}

// worstServed adds the lowest fraction, over all workspaces, of requests served by
// their deadline among those that the reference bucket admits on arrival.
func (s *recordSet) worstServed(results map[string][]replayResult) {
	worst, name := 1.0, ""
	for workspace, list := range results {
		within, served := 0, 0
		for _, v := range list {
			if !v.admittedOnArrival {
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
	s.add("worst_served_workspace_share", worst, "share").atLeast(minWorstServedShare).note("%s", name)
}

// wrongfulRefusals adds the fraction of requests refused for lack of tokens in
// excess of the reference bucket's refusals. It compares counts per workspace, not
// single requests, because under overload the two may refuse different ones.
func (s *recordSet) wrongfulRefusals(results map[string][]replayResult) {
	wrongful, total := 0, 0
	for _, list := range results {
		actual, exact := 0, 0
		for _, v := range list {
			total++
			if v.outcome.Kind == loadgen.KindRefused && v.outcome.ProblemType == string(problem.RateLimited) {
				actual++
			}
			if !v.admittedInTime {
				exact++
			}
		}
		wrongful += max(actual-exact, 0)
	}
	record := s.add("wrongful_refusals_share", float64(wrongful)/float64(max(total, 1)), "share")
	record.note("%d of %d", wrongful, total)
	bounds := map[string]float64{
		ConditionNormal: maxWrongfulNormal, ConditionOneHost: maxWrongfulOutage, ConditionPlatformOutage: maxWrongfulOutage,
		ConditionDataCenterPartition: maxWrongfulPartition,
	}
	if bound, ok := bounds[s.run.Scenario.Condition]; ok {
		record.atMost(bound)
	}
}

// overAllowance returns the largest number of tokens by which a workspace exceeded
// burst + rate x time in any interval, according to the engines' records; it is
// negative if all workspaces stayed below. share is the highest fraction of a burst
// that was used, and name is its workspace.
func (r *Run) overAllowance() (over, share float64, name string) {
	over = math.Inf(-1)
	for workspace, events := range r.tokenEvents() {
		limits := r.fleet.Deployment.Document.Workspaces[workspace]
		peak := maxExcess(events, limits.RateTokensPerS)
		over = max(over, peak-limits.BurstTokens)
		if used := peak / max(limits.BurstTokens, 1); used > share {
			share, name = used, workspace
		}
	}
	return over, share, name
}

// maxExcess returns the maximum, over all intervals, of the tokens in the interval
// minus rate x length. The events must be in order of time.
func maxExcess(events []tokenEvent, rate float64) float64 {
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
