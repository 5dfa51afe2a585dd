package experiment

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/loadgen"
	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

// Bounds on cold-start waits, as ratios, and the reported quantiles.
const (
	maxColdStartOverLowerBound = 1.5
	maxColdStartOverBaseline   = 0.5
	p50                        = 0.50
	p99                        = 0.99
)

// coldStart is a request that arrived when no replica of its base model was
// loaded. Requests beyond their workspace's rate, which the reference bucket does
// not admit on arrival, are excluded because they also wait for tokens.
type coldStart struct {
	outcome  *loadgen.Outcome
	model    string
	loadedAt time.Duration // when the model was next loaded; 0 if never
	wait     time.Duration // until the first token; 0 if it was not answered
}

// baseModel returns a model name without its adapter.
func baseModel(name string) string {
	base, _, _ := strings.Cut(name, ":")
	return base
}

// interval is a period relative to the start of the load.
type interval struct{ from, until time.Duration }

// replicas returns the periods in which replicas of each base model were loaded, in
// order of their start.
func (r *Run) replicas() map[string][]interval {
	found := map[string][]interval{}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Adapter != "" || load.Loaded.IsZero() {
				continue
			}
			found[load.Model] = append(found[load.Model], interval{r.sinceStart(load.Loaded), r.endTime(load.Freed)})
		}
	}
	for _, intervals := range found {
		slices.SortFunc(intervals, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	}
	return found
}

// endTime converts t to a time relative to the start of the load. The zero time, for
// a period that has not ended, becomes a time after all others.
func (r *Run) endTime(t time.Time) time.Duration {
	if t.IsZero() {
		return time.Duration(1 << 62)
	}
	return r.sinceStart(t)
}

// coldStarts returns the cold starts among the requests within their rate.
func (r *Run) coldStarts() []coldStart {
	replicas := r.replicas()
	firstToken := r.firstTokens()
	var cold []coldStart
	for _, o := range r.requestsWithinRate() {
		model := baseModel(o.Arrival.Request.Model)
		if anyContaining(replicas[model], o.Arrival.At) {
			continue
		}
		start := coldStart{outcome: o, model: model, loadedAt: nextStart(replicas[model], o.Arrival.At)}
		if o.Kind == loadgen.KindAnswered {
			start.wait = firstTextTime(o, firstToken) - o.Arrival.At
		}
		cold = append(cold, start)
	}
	return cold
}

// firstTextTime is when the first token was available: to the caller for a stream, at
// the engine for a non-streamed request, whose response arrives as a whole.
func firstTextTime(o *loadgen.Outcome, atEngine map[uint64]time.Duration) time.Duration {
	if o.Arrival.Request.Stream {
		return o.FirstTextAt
	}
	if at, ok := atEngine[standin.PromptHash(standin.Prompt(o.Arrival.Request))]; ok {
		return at
	}
	return o.FirstTextAt
}

// firstTokens returns when engines generated the first token of each finished run,
// keyed by prompt hash.
func (r *Run) firstTokens() map[uint64]time.Duration {
	found := map[uint64]time.Duration{}
	for _, record := range r.engines {
		for _, run := range record.Runs {
			if run.Outcome == standin.OutcomeFinished && len(run.Batches) > 0 {
				found[run.PromptHash] = r.sinceStart(run.Batches[0].At)
			}
		}
	}
	return found
}

func anyContaining(intervals []interval, at time.Duration) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool { return at >= i.from && at < i.until })
}

func nextStart(intervals []interval, at time.Duration) time.Duration {
	for _, i := range intervals {
		if i.from > at {
			return i.from
		}
	}
	return 0
}

func (s *recordSet) measureColdStarts() {
	cold := s.run.coldStarts()
	var waits []time.Duration
	refused := 0
	for _, start := range cold {
		if start.wait > 0 {
			waits = append(waits, start.wait)
		} else {
			refused++
		}
	}
	s.add("cold_requests", float64(len(cold)), "requests")
	s.add("cold_requests_not_answered", float64(refused), "requests")
	if len(waits) == 0 {
		return
	}
	bound := s.run.lowerBoundWaits(cold)
	s.add("cold_start_p50", toMilliseconds(quantile(waits, p50)), "ms")
	s.add("cold_start_p50_lower_bound", toMilliseconds(quantile(bound, p50)), "ms")
	lower := toMilliseconds(quantile(bound, p99))
	s.add("cold_start_p99_lower_bound", lower, "ms")
	s.add("cold_start_p99", toMilliseconds(quantile(waits, p99)), "ms").atMost(maxColdStartOverLowerBound * lower)
	s.measureColdStartStages(cold)
	s.measureLoadSources()
}

// measureColdStartStages splits cold starts that waited for one load into three
// stages: until the engine reserved memory for the load, the load itself, and from
// its end to the first token.
func (s *recordSet) measureColdStartStages(cold []coldStart) {
	reserved := s.run.reservations()
	var stages [3][]time.Duration
	for _, start := range cold {
		ordered, ok := reserved[loadKey{start.model, start.loadedAt}]
		if !ok || start.wait <= 0 {
			continue
		}
		at := start.outcome.Arrival.At
		stages[0] = append(stages[0], max(ordered-at, 0))
		stages[1] = append(stages[1], start.loadedAt-max(ordered, at))
		stages[2] = append(stages[2], at+start.wait-start.loadedAt)
	}
	for i, name := range []string{"order", "load", "dispatch"} {
		s.add("cold_start_"+name+"_p50", toMilliseconds(quantile(stages[i], p50)), "ms")
		s.add("cold_start_"+name+"_p99", toMilliseconds(quantile(stages[i], p99)), "ms")
	}
}

// loadKey identifies a load by its model and completion time.
type loadKey struct {
	model    string
	loadedAt time.Duration
}

// reservations returns when memory was reserved for each load.
func (r *Run) reservations() map[loadKey]time.Duration {
	found := map[loadKey]time.Duration{}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Adapter == "" && !load.Loaded.IsZero() {
				found[loadKey{load.Model, r.sinceStart(load.Loaded)}] = r.sinceStart(load.Reserved)
			}
		}
	}
	return found
}

// measureLoadSources counts the loads of base models by checkpoint source.
func (s *recordSet) measureLoadSources() {
	counts := map[string]int{}
	for _, record := range s.run.engines {
		for _, load := range record.Loads {
			if load.Adapter == "" {
				counts[load.Source]++
			}
		}
	}
	for _, source := range []string{standin.SourceHostMemory, standin.SourceDisk, standin.SourceRemote} {
		s.add("loads_from_"+source, float64(counts[source]), "loads")
	}
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile sorts values in place and returns the smallest one that at least the
// fraction q of them does not exceed; 0 if there are none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	index := int(q*float64(len(values))+0.999999) - 1
	return values[min(max(index, 0), len(values)-1)]
}
