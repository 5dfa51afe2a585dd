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

// maxRestartTime is the longest allowed time until a replaced host serves again.
const maxRestartTime = 2 * time.Second

// measureInvariants counts the violations of the invariants in section 1.2 of the
// design page that stand-ins and callers can observe; the bound of each is 0. It also
// adds request counts and the loads beyond the weight store's limits, which have no
// bound. If hosts were replaced, it bounds the restart time and allows no lost
// connections.
func (s *recordSet) measureInvariants() {
	r := s.run
	result := loadgen.Summarize(r.outcomes, r.loadDuration())
	s.add("requests", float64(len(r.outcomes)), "requests")
	s.add("answered", float64(result.CountKind(loadgen.KindAnswered)), "requests")
	s.add("refused", float64(result.CountKind(loadgen.KindRefused)), "requests")
	s.add("cut", float64(result.CountKind(loadgen.KindTruncated)), "requests")
	s.measureRefusals(result)
	s.add("send_lag_p99", result.SendLag.P99, "ms")
	s.addExactZero("wrong_answers", float64(result.CountKind(loadgen.KindWrong)))
	s.addExactZero("without_answer_in_time", float64(r.withoutTimelyResponse()))
	s.addExactZero("untrue_not_run", float64(r.untrueNotRun()))
	s.addExactZero("double_runs", float64(r.doubleRuns()))
	s.addExactZero("excess_replicas", float64(r.excessReplicas()))
	s.addExactZero("memory_refusals", float64(r.memoryRefusals()))
	s.addExactZero("caller_keys_at_upstreams", float64(r.leakedCallerKeys()))
	s.add("weight_store_over_concurrency", float64(r.store.OverConcurrency), "loads")
	s.add("weight_store_over_rate", float64(r.store.OverRate), "loads")
	if len(r.restartTimes) > 0 {
		s.addExactZero("broken_off", float64(result.CountKind(loadgen.KindConnectionLost)))
		slowest := slices.Max(r.restartTimes)
		s.add("slowest_restart", slowest.Seconds(), "s").atMost(maxRestartTime.Seconds())
		return
	}
	s.add("broken_off", float64(result.CountKind(loadgen.KindConnectionLost)), "requests")
}

// Violations returns the records of the invariants that the run violated.
func (r *Run) Violations() []Record {
	set := &recordSet{run: r}
	set.measureInvariants()
	set.tokensOverAllowance()
	var violations []Record
	for _, record := range set.records {
		if record.TargetMet != nil && !*record.TargetMet {
			violations = append(violations, record)
		}
	}
	return violations
}

// Outcomes returns the outcome of each request, for checks beyond Violations.
func (r *Run) Outcomes() []loadgen.Outcome { return r.outcomes }

// measureRefusals adds one record per problem type.
func (s *recordSet) measureRefusals(result *loadgen.Result) {
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

func (s *recordSet) addExactZero(metric string, value float64) {
	s.add(metric, value, "count").atMost(0)
}

// withoutTimelyResponse counts requests that got no response, not even a refusal, or
// whose outcome is late by the rule of loadgen.Outcome.Late.
func (r *Run) withoutTimelyResponse() int {
	count := 0
	for i := range r.outcomes {
		if o := &r.outcomes[i]; o.Arrival != nil && (o.Kind == loadgen.KindNoResponse || o.Late()) {
			count++
		}
	}
	return count
}

// untrueNotRun counts refusals marked "not run" of requests that an upstream ran.
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

// untrueNotRunCalls counts refusals marked "not run" of service calls that a service
// ran. Calls that were planned with a repeat are excluded, because the repeat may
// correctly be marked "not run" after the first attempt ran.
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

// runsByBody counts the runs of each call by its body, which is unique per call.
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

// excessReplicas sums, over all models, the largest number of replicas in memory at
// one time beyond the configured maximum.
func (r *Run) excessReplicas() int {
	held := map[string][]interval{}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Adapter == "" {
				held[load.Model] = append(held[load.Model], interval{r.sinceStart(load.Reserved), r.endTime(load.Freed)})
			}
		}
	}
	excess := 0
	for model, intervals := range held {
		excess += max(maxOverlap(intervals)-r.fleet.Deployment.Document.Models[model].MaxReplicas, 0)
	}
	return excess
}

type boundary struct {
	at     time.Duration
	change int
}

// maxOverlap returns the largest number of intervals that overlap at one time.
func maxOverlap(intervals []interval) int {
	var boundaries []boundary
	for _, i := range intervals {
		boundaries = append(boundaries, boundary{i.from, 1}, boundary{i.until, -1})
	}
	slices.SortFunc(boundaries, func(a, b boundary) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change))
	})
	current, maximum := 0, 0
	for _, e := range boundaries {
		current += e.change
		maximum = max(maximum, current)
	}
	return maximum
}

// memoryRefusals counts load orders that engines refused for lack of memory. The
// stand-in never overcommits, so each one is an attempt by a host to do so.
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

// leakedCallerKeys counts the callers' keys that reached an upstream.
func (r *Run) leakedCallerKeys() int {
	var captured []upstream.CapturedValue
	for _, record := range r.engines {
		captured = append(captured, record.CapturedValues...)
	}
	for _, record := range r.services {
		captured = append(captured, record.CapturedValues...)
	}
	count := 0
	for _, keys := range r.fleet.Deployment.CallerKeys {
		for _, key := range keys {
			if containsKey(captured, key) {
				count++
			}
		}
	}
	return count
}

// containsKey reports whether a captured value contains a key in plain text or its hash.
func containsKey(captured []upstream.CapturedValue, key string) bool {
	hash := config.HashKey(key)
	return slices.ContainsFunc(captured, func(s upstream.CapturedValue) bool {
		return strings.Contains(s.Value, key) || strings.Contains(s.Value, hash)
	})
}
