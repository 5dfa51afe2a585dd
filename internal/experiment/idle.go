package experiment

import (
	"cmp"
	"slices"
	"time"

	standin "github.com/arbutusbank/arbutusbank/internal/standin/engine"
)

// maxIdleOverOffline is the highest allowed ratio of idle accelerator hours to those of
// the offline policy.
const maxIdleOverOffline = 1.3

// measureIdle measures how long engines held models without running requests of
// them. Time counts from the reservation of memory, so loading is included, and is
// weighted by the model's fraction of the engine's memory. The offline policy, for
// comparison, knows all arrivals: it holds one replica per model, loads it from the
// fastest source, and unloads it in those gaps between uses where that saves most.
// It does so in at most as many gaps as this run had cold loads after an earlier
// use, so that it has no more cold starts.
func (s *recordSet) measureIdle() {
	actual, offline, coldLoads := s.run.idleHours()
	s.add("idle_accelerator_hours", actual, "h").atMost(maxIdleOverOffline * offline)
	s.add("idle_accelerator_hours_offline", offline, "h").note("%d wake-ups after a use", coldLoads)
}

// gap is a period between two uses of a model. Both costs are in hours times the
// model's fraction of an engine's memory.
type gap struct{ holdCost, reloadCost float64 }

func (r *Run) idleHours() (actual, offline float64, coldLoads int) {
	uses := map[string][]interval{}
	for i := range r.engines {
		busy := r.busy(&r.engines[i])
		actual += r.idleAt(&r.engines[i], busy)
		for model, list := range busy {
			uses[model] = append(uses[model], list...)
		}
	}
	gaps, first, coldLoads := r.gaps(uses)
	return actual, first + offlineHours(gaps, coldLoads), coldLoads
}

// busy returns the periods in which an engine ran requests of each base model.
func (r *Run) busy(record *standin.Record) map[string][]interval {
	busy := map[string][]interval{}
	for _, run := range record.Runs {
		model := baseModel(run.Model)
		busy[model] = append(busy[model], r.clip(interval{r.sinceStart(run.Started), r.endTime(run.Ended)}))
	}
	return busy
}

// idleAt sums the weighted hours in which an engine held models without running
// requests of them.
func (r *Run) idleAt(record *standin.Record, busy map[string][]interval) float64 {
	total := 0.0
	for _, load := range record.Loads {
		if load.Adapter != "" || load.Loaded.IsZero() {
			continue
		}
		held := r.clip(interval{r.sinceStart(load.Reserved), r.endTime(load.Freed)})
		idle := held.until - held.from - coveredTime(held, busy[load.Model])
		total += r.memoryShare(load.Bytes) * idle.Hours()
	}
	return total
}

// gaps returns the periods between uses of each model, the total cost of the models'
// first loads, and the number of periods that ended with a cold load.
func (r *Run) gaps(uses map[string][]interval) (gaps []gap, first float64, coldLoads int) {
	replicas := r.replicas()
	for model, list := range uses {
		merged := union(list)
		first += r.reloadCost(model, merged[0].from)
		for i := 1; i < len(merged); i++ {
			between := interval{merged[i-1].until, merged[i].from}
			length := between.until - between.from
			share := r.memoryShare(r.fleet.Deployment.Document.Models[model].Bytes)
			gaps = append(gaps, gap{holdCost: share * length.Hours(), reloadCost: r.reloadCost(model, between.until)})
			if coveredTime(between, replicas[model]) < length {
				coldLoads++
			}
		}
	}
	return gaps, first, coldLoads
}

// reloadCost is the weighted time, in hours, of a load from the fastest source.
func (r *Run) reloadCost(model string, at time.Duration) float64 {
	took, _ := r.loadTime(model, at)
	return r.memoryShare(r.fleet.Deployment.Document.Models[model].Bytes) * took.Hours()
}

// memoryShare is the fraction of an engine's memory that a model of this size takes.
func (r *Run) memoryShare(bytes int64) float64 {
	return float64(bytes) / float64(r.fleet.Deployment.Shape.EngineMemoryBytes)
}

// offlineHours sums the costs of the gaps if models are unloaded in up to n of them,
// namely those where that saves most.
func offlineHours(gaps []gap, n int) float64 {
	slices.SortFunc(gaps, func(a, b gap) int { return cmp.Compare(b.holdCost-b.reloadCost, a.holdCost-a.reloadCost) })
	total := 0.0
	for i, g := range gaps {
		if i < n {
			total += min(g.holdCost, g.reloadCost)
		} else {
			total += g.holdCost
		}
	}
	return total
}

// clip restricts an interval to the measured period.
func (r *Run) clip(i interval) interval {
	from := min(max(i.from, 0), r.loadDuration())
	return interval{from, max(from, min(i.until, r.loadDuration()))}
}

// union merges overlapping intervals.
func union(list []interval) []interval {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	var merged []interval
	for _, next := range sorted {
		if last := len(merged) - 1; last >= 0 && next.from <= merged[last].until {
			merged[last].until = max(merged[last].until, next.until)
			continue
		}
		merged = append(merged, next)
	}
	return merged
}

// coveredTime returns how much of an interval the union of the others covers.
func coveredTime(whole interval, others []interval) time.Duration {
	total := time.Duration(0)
	for _, part := range union(others) {
		from, until := max(part.from, whole.from), min(part.until, whole.until)
		total += max(until-from, 0)
	}
	return total
}
