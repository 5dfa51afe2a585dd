package loadgen

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// popularity selects models at random, by a Zipf distribution over the models
// that are active at the time.
type popularity struct {
	random  *rand.Rand
	weights []float64
	active  [][]activePeriod // by model
}

// activePeriod is a period in which requests for a model are generated.
type activePeriod struct{ from, until time.Duration }

func newPopularity(spec Popularity, models int, duration time.Duration, random *rand.Rand) *popularity {
	p := &popularity{random: random}
	for i := range models {
		p.weights = append(p.weights, math.Pow(float64(i+1), -spec.ZipfExponent))
		p.active = append(p.active, drawActivePeriods(spec, duration, random))
	}
	return p
}

// drawActivePeriods alternates exponentially distributed active and inactive
// periods. The first state is random, in proportion to the means of the two.
func drawActivePeriods(spec Popularity, duration time.Duration, random *rand.Rand) []activePeriod {
	if spec.MeanOnMS <= 0 || spec.MeanOffMS <= 0 {
		return []activePeriod{{0, duration}}
	}
	on := random.Float64() < float64(spec.MeanOnMS)/float64(spec.MeanOnMS+spec.MeanOffMS)
	var phases []activePeriod
	for at := time.Duration(0); at < duration; on = !on {
		mean := spec.MeanOffMS
		if on {
			mean = spec.MeanOnMS
		}
		length := time.Duration(random.ExpFloat64() * float64(mean) * float64(time.Millisecond))
		if on {
			phases = append(phases, activePeriod{at, at + length})
		}
		at += length
	}
	return phases
}

func (p *popularity) isActive(model int, at time.Duration) bool {
	return slices.ContainsFunc(p.active[model], func(period activePeriod) bool {
		return at >= period.from && at < period.until
	})
}

// draw returns the index of a random active model, or of any model if none is
// active.
func (p *popularity) draw(at time.Duration) int {
	weights := make([]float64, len(p.weights))
	total := 0.0
	for i, weight := range p.weights {
		if p.isActive(i, at) {
			weights[i] = weight
			total += weight
		}
	}
	if total == 0 {
		return p.random.IntN(len(p.weights))
	}
	remaining := p.random.Float64() * total
	for i, weight := range weights {
		remaining -= weight
		if weight > 0 && remaining <= 0 {
			return i
		}
	}
	return len(weights) - 1
}

// leastPopularInactive returns the n least popular inactive models. If there are
// fewer, it adds the least popular active ones.
func (p *popularity) leastPopularInactive(at time.Duration, n int) []int {
	var models []int
	for i := len(p.weights) - 1; i >= 0 && len(models) < n; i-- {
		if !p.isActive(i, at) {
			models = append(models, i)
		}
	}
	for i := len(p.weights) - 1; i >= 0 && len(models) < n; i-- {
		if !slices.Contains(models, i) {
			models = append(models, i)
		}
	}
	return models
}
