package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

const (
	// residenceTime is the time in which a request for an evicted model means that it should
	// have stayed: about that long a model stays that nobody requests.
	residenceTime = 20 * time.Second
	// reloadOverhead is the cost of a load besides its time: orders, and the eviction of
	// another model.
	reloadOverhead = time.Second
)

// freeMB returns the memory that is certainly free, in MB.
func (p *planner) freeMB(engine *Engine) float64 {
	e := p.Service.Engine
	left := e.WeightsMB - p.adapterReserveMB
	for model := range engine.Holdings.Models {
		left -= e.Models[model].WeightsMB
	}
	for _, model := range engine.Reserved {
		if !engine.Holdings.Holds(model) {
			left -= e.Models[model].WeightsMB
		}
	}
	return left
}

func maxAdapterMB(e *catalog.Engine) float64 {
	maxMB := 0.0
	for _, model := range e.Models {
		maxMB = max(maxMB, model.AdapterMB)
	}
	return maxMB
}

type victim struct {
	model string
	cost  float64
	mb    float64
}

// chooseEvictions returns the models to evict and the cost of evicting them in seconds. It
// returns false if not enough memory can be freed.
func (p *planner) chooseEvictions(engine *Engine, n need) ([]string, float64, bool) {
	missingMB := p.Service.Engine.Models[n.model].WeightsMB - p.freeMB(engine)
	if missingMB <= 0 {
		return nil, 0, true
	}
	var candidates []victim
	for model := range engine.Holdings.Models {
		if cost, ok := p.evictionCost(engine, model, n); ok {
			candidates = append(candidates, victim{model, cost, p.Service.Engine.Models[model].WeightsMB})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.model, b.model))
	})
	var models []string
	totalCost := 0.0
	for _, candidate := range candidates {
		models = append(models, candidate.model)
		totalCost += candidate.cost
		missingMB -= candidate.mb
		if missingMB <= 0 {
			return models, totalCost, true
		}
	}
	return nil, 0, false
}

// evictionCost returns the cost of evicting a model, in seconds of waiting; false if the
// model must stay.
func (p *planner) evictionCost(engine *Engine, model string, n need) (float64, bool) {
	if engine.Running[model] > 0 || p.Now-engine.LoadedAt[model] < minResidence {
		return 0, false
	}
	if slices.Contains(engine.Reserved, model) {
		return 0, false // a late load may bring it back
	}
	demand := p.Demand[model]
	if demand == nil {
		return 0, true
	}
	ready := p.replicas(model).ready
	if ready <= 1 && demand.Waiting > 0 {
		return 0, false
	}
	rate := demand.Rate / float64(max(1, ready))
	if rate >= protectedReplicaRate || (ready <= 2 && demand.Rate >= protectedReplicaRate) {
		return 0, false
	}
	if n.prefetch && (p.Now-demand.LastSeen < prefetchEvictIdle || p.source(engine, model) == FromStore) {
		return 0, false
	}
	reload := p.loadTime(model, p.source(engine, model))
	// The next request waits for the load, which evicts another model in turn, or adds to the
	// load of the other replicas.
	requested := 1 - math.Exp(-max(demand.Rate, demand.SteadyRate)/float64(max(1, ready))*residenceTime.Seconds())
	return requested * (reload + reloadOverhead).Seconds(), true
}
