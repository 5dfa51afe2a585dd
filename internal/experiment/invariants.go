package experiment

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// restartBound is the longest time until a replaced host serves again.
const restartBound = 2 * time.Second

// invariants counts violations of section 1.2 that the stand-ins and callers
// can see. All bounds are exact.
func (s *recordSet) invariants() {
	r := s.run
	result := loadgen.Summarize(r.outcomes, r.horizon())
	s.add("requests", float64(len(r.outcomes)), "requests")
	s.add("answered", float64(result.CountKind(loadgen.KindAnswered)), "requests")
	s.add("refused", float64(result.CountKind(loadgen.KindRefused)), "requests")
	s.add("cut", float64(result.CountKind(loadgen.KindTruncated)), "requests")
	s.refusals(result)
	s.add("send_lag_p99", result.SendLag.P99, "ms")
	s.exact("wrong_answers", float64(result.CountKind(loadgen.KindWrong)))
	s.exact("without_answer_in_time", float64(r.withoutAnswer()))
	s.exact("untrue_not_run", float64(r.untrueNotRun()))
	s.exact("double_runs", float64(r.doubleRuns()))
	s.exact("excess_replicas", float64(r.excessReplicas()))
	s.exact("memory_refusals", float64(r.memoryRefusals()))
	s.exact("caller_keys_at_upstreams", float64(r.keysSeen()))
	s.add("weight_store_over_concurrency", float64(r.store.OverConcurrency), "loads")
	s.add("weight_store_over_rate", float64(r.store.OverRate), "loads")
	if len(r.replacements) > 0 {
		s.exact("broken_off", float64(result.CountKind(loadgen.KindConnectionLost)))
		slowest := slices.Max(r.replacements)
		s.add("slowest_restart", slowest.Seconds(), "s").atMost(restartBound.Seconds())
		return
	}
	s.add("broken_off", float64(result.CountKind(loadgen.KindConnectionLost)), "requests")
}

// Violations returns the invariants that did not hold in the run.
func (r *Run) Violations() []Record {
	set := &recordSet{run: r}
	set.invariants()
	set.tokensOverAllowance()
	var violations []Record
	for _, record := range set.records {
		if record.TargetMet != nil && !*record.TargetMet {
			violations = append(violations, record)
		}
	}
	return violations
}

// Outcomes returns what became of each request, for checks beyond Violations.
func (r *Run) Outcomes() []loadgen.Outcome { return r.outcomes }

// refusals adds one record per problem type.
func (s *recordSet) refusals(result *loadgen.Result) {
	total, notRun := map[string]int{}, map[string]int{}
	for _, group := range result.Groups {
		for name, refusals := range group.Refusals {
			total[name] += refusals.Total
			notRun[name] += refusals.NotRun
		}
	}
	for _, name := range slices.Sorted(maps.Keys(total)) {
		s.add("refused_"+name, float64(total[name]), "requests").note("%d not run", notRun[name])
	}
}

func (s *recordSet) exact(metric string, value float64) { s.add(metric, value, "count").atMost(0) }

// withoutAnswer counts requests with neither an answer nor a refusal by their
// deadline and its grace.
func (r *Run) withoutAnswer() int {
	count := 0
	for i := range r.outcomes {
		if o := &r.outcomes[i]; o.Arrival != nil && (o.Kind == loadgen.KindNoResponse || o.Late()) {
			count++
		}
	}
	return count
}

// untrueNotRun counts refusals that say "not run" although an upstream ran the
// request.
func (r *Run) untrueNotRun() int {
	ran := map[uint64]bool{}
	for _, record := range r.engines {
		for _, run := range record.Runs {
			ran[run.PromptHash] = true
		}
	}
	count := 0
	for hash, o := range r.byPrompt {
		if o.Kind == loadgen.KindRefused && o.NotRun && ran[hash] {
			count++
		}
	}
	return count + r.untrueNotRunCalls()
}

// untrueNotRunCalls looks at calls that were planned once; a repeat may
// truthfully say "not run" of itself after the first attempt ran.
func (r *Run) untrueNotRunCalls() int {
	ran := r.runsByBody()
	planned := map[string]int{}
	for i := range r.plan {
		planned[r.plan[i].Body]++
	}
	count := 0
	for i := range r.outcomes {
		o := &r.outcomes[i]
		isCall := o.Arrival != nil && o.Arrival.Class == loadgen.ClassCall
		if isCall && o.Kind == loadgen.KindRefused && o.NotRun && planned[o.Arrival.Body] == 1 && ran[o.Arrival.Body] > 0 {
			count++
		}
	}
	return count
}

// runsByBody counts runs of calls; every planned call has a body of its own.
func (r *Run) runsByBody() map[string]int {
	runs := map[string]int{}
	for _, record := range r.services {
		for _, run := range record.Runs {
			runs[run.Body]++
		}
	}
	return runs
}

// doubleRuns counts the runs of non-idempotent calls beyond the first.
func (r *Run) doubleRuns() int {
	runs := r.runsByBody()
	count := 0
	for i := range r.plan {
		a := &r.plan[i]
		if a.Class == loadgen.ClassCall && !a.Idempotent && !a.Repeat {
			count += max(runs[a.Body]-1, 0)
		}
	}
	return count
}

// excessReplicas sums, over models, by how much the replicas in memory at one
// time exceeded the configured maximum.
func (r *Run) excessReplicas() int {
	held := map[string][]interval{}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Adapter == "" {
				held[load.Model] = append(held[load.Model], interval{r.since(load.Reserved), r.until(load.Freed)})
			}
		}
	}
	excess := 0
	for model, intervals := range held {
		excess += max(mostAtOnce(intervals)-r.fleet.Deployment.Document.Models[model].MaxReplicas, 0)
	}
	return excess
}

type edge struct {
	at     time.Duration
	change int
}

// mostAtOnce returns the largest number of intervals that overlap.
func mostAtOnce(intervals []interval) int {
	var edges []edge
	for _, i := range intervals {
		edges = append(edges, edge{i.from, 1}, edge{i.until, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change))
	})
	current, most := 0, 0
	for _, e := range edges {
		current += e.change
		most = max(most, current)
	}
	return most
}

// memoryRefusals counts orders that engines refused for lack of memory: the
// stand-in never overcommits, so each is an attempt to.
func (r *Run) memoryRefusals() int {
	count := 0
	for _, record := range r.engines {
		for _, order := range record.Orders {
			if order.Reason == engine.RefusalNoMemory {
				count++
			}
		}
	}
	return count
}

// keysSeen counts the callers' keys that upstreams saw.
func (r *Run) keysSeen() int {
	var sightings []upstream.Sighting
	for _, record := range r.engines {
		sightings = append(sightings, record.Sightings...)
	}
	for _, record := range r.services {
		sightings = append(sightings, record.Sightings...)
	}
	count := 0
	for _, keys := range r.fleet.Deployment.CallerKeys {
		for _, key := range keys {
			if holdsKey(sightings, key) {
				count++
			}
		}
	}
	return count
}

// holdsKey looks for a key in clear and for its hash.
func holdsKey(sightings []upstream.Sighting, key string) bool {
	hash := config.HashKey(key)
	return slices.ContainsFunc(sightings, func(s upstream.Sighting) bool {
		return strings.Contains(s.Value, key) || strings.Contains(s.Value, hash)
	})
}
