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

// Bounds of cold starts.
const (
	coldStartOverBound    = 1.5
	coldStartOverBaseline = 0.5
	p50                   = 0.50
	p99                   = 0.99
)

// coldStart is a request that arrived when no replica of its base model was
// loaded. Requests beyond their workspace's rate, which the exact bucket does not
// admit on arrival, are left out: they wait for tokens as well.
type coldStart struct {
	outcome *loadgen.Outcome
	model   string
	loaded  time.Duration // when the model became loaded next; 0 if never
	wait    time.Duration // until the first token; 0 if it was not answered
}

// baseModel strips the adapter from a model's name.
func baseModel(name string) string {
	base, _, _ := strings.Cut(name, ":")
	return base
}

// interval is a period relative to the start of the load.
type interval struct{ from, until time.Duration }

// replicas returns when replicas of each base model were loaded, by their
// begin.
func (r *Run) replicas() map[string][]interval {
	found := map[string][]interval{}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Adapter != "" || load.Loaded.IsZero() {
				continue
			}
			found[load.Model] = append(found[load.Model], interval{r.since(load.Loaded), r.until(load.Freed)})
		}
	}
	for _, intervals := range found {
		slices.SortFunc(intervals, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	}
	return found
}

// until maps an end that has not come to a time after all others.
func (r *Run) until(t time.Time) time.Duration {
	if t.IsZero() {
		return time.Duration(1 << 62)
	}
	return r.since(t)
}

// coldStarts finds the cold requests.
func (r *Run) coldStarts() []coldStart {
	replicas := r.replicas()
	firstToken := r.firstTokens()
	var cold []coldStart
	for _, o := range r.withinRate() {
		model := baseModel(o.Arrival.Request.Model)
		if anyContains(replicas[model], o.Arrival.At) {
			continue
		}
		start := coldStart{outcome: o, model: model, loaded: nextBegin(replicas[model], o.Arrival.At)}
		if o.Kind == loadgen.KindAnswered {
			start.wait = firstText(o, firstToken) - o.Arrival.At
		}
		cold = append(cold, start)
	}
	return cold
}

// firstText is when the caller saw the first text of a stream; a whole answer
// shows its first token only at the engine.
func firstText(o *loadgen.Outcome, atEngine map[uint64]time.Duration) time.Duration {
	if o.Arrival.Request.Stream {
		return o.FirstTextAt
	}
	if at, ok := atEngine[standin.PromptHash(standin.Prompt(o.Arrival.Request))]; ok {
		return at
	}
	return o.FirstTextAt
}

// firstTokens returns when the finished run of each prompt generated its first
// token.
func (r *Run) firstTokens() map[uint64]time.Duration {
	found := map[uint64]time.Duration{}
	for _, record := range r.engines {
		for _, run := range record.Runs {
			if run.Outcome == standin.OutcomeFinished && len(run.Batches) > 0 {
				found[run.PromptHash] = r.since(run.Batches[0].At)
			}
		}
	}
	return found
}

func anyContains(intervals []interval, at time.Duration) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool { return at >= i.from && at < i.until })
}

func nextBegin(intervals []interval, at time.Duration) time.Duration {
	for _, i := range intervals {
		if i.from > at {
			return i.from
		}
	}
	return 0
}

func (s *recordSet) coldStarts() {
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
	bound := s.run.idealWaits(cold)
	s.add("cold_start_p50", inMilliseconds(quantile(waits, p50)), "ms")
	s.add("cold_start_p50_lower_bound", inMilliseconds(quantile(bound, p50)), "ms")
	lower := inMilliseconds(quantile(bound, p99))
	s.add("cold_start_p99_lower_bound", lower, "ms")
	s.add("cold_start_p99", inMilliseconds(quantile(waits, p99)), "ms").atMost(coldStartOverBound * lower)
	s.coldStages(cold)
	s.loadSources()
}

// coldStages splits cold starts that waited for one load into three parts: until the
// engine took the order, the load itself, and from there to the first token.
func (s *recordSet) coldStages(cold []coldStart) {
	reserved := s.run.reservations()
	var stages [3][]time.Duration
	for _, start := range cold {
		ordered, ok := reserved[loadKey{start.model, start.loaded}]
		if !ok || start.wait <= 0 {
			continue
		}
		at := start.outcome.Arrival.At
		stages[0] = append(stages[0], max(ordered-at, 0))
		stages[1] = append(stages[1], start.loaded-max(ordered, at))
		stages[2] = append(stages[2], at+start.wait-start.loaded)
	}
	for i, name := range []string{"order", "load", "dispatch"} {
		s.add("cold_start_"+name+"_p50", inMilliseconds(quantile(stages[i], p50)), "ms")
		s.add("cold_start_"+name+"_p99", inMilliseconds(quantile(stages[i], p99)), "ms")
	}
}

// loadKey identifies a load by its model and its end.
type loadKey struct {
	model  string
	loaded time.Duration
}

// reservations returns when the memory of each load was reserved.
func (r *Run) reservations() map[loadKey]time.Duration {
	found := map[loadKey]time.Duration{}
	for _, record := range r.engines {
		for _, load := range record.Loads {
			if load.Adapter == "" && !load.Loaded.IsZero() {
				found[loadKey{load.Model, r.since(load.Loaded)}] = r.since(load.Reserved)
			}
		}
	}
	return found
}

// loadSources counts the loads of base models by where the checkpoint was.
func (s *recordSet) loadSources() {
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

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile sorts the values and returns the smallest one that is not exceeded
// by the share q of them; 0 without values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	index := int(q*float64(len(values))+0.999999) - 1
	return values[min(max(index, 0), len(values)-1)]
}
