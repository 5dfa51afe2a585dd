package coordinator

import (
	"cmp"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// free returns the memory that is certainly free, in MB.
func (p *planner) free(engine *Engine) float64 {
	e := p.Service.Engine
	left := e.WeightsMB - float64(e.MaxAdapters)*maxAdapterMB(e)
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
	most := 0.0
	for _, model := range e.Models {
		most = max(most, model.AdapterMB)
	}
	return most
}

type victim struct {
	model string
	loss  float64
	mb    float64
}

// makeRoom returns the models to unload, and what that costs in seconds.
func (p *planner) makeRoom(engine *Engine, n need) ([]string, float64, bool) {
	missing := p.Service.Engine.Models[n.model].WeightsMB - p.free(engine)
	if missing <= 0 {
		return nil, 0, true
	}
	var candidates []victim
	for model := range engine.Holdings.Models {
		if loss, ok := p.lossOf(engine, model, n); ok {
			candidates = append(candidates, victim{model, loss, p.Service.Engine.Models[model].WeightsMB})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.model, b.model))
	})
	var models []string
	lost := 0.0
	for _, candidate := range candidates {
		models = append(models, candidate.model)
		lost += candidate.loss
		missing -= candidate.mb
		if missing <= 0 {
			return models, lost, true
		}
	}
	return nil, 0, false
}

// lossOf returns what it costs, in seconds of waiting, to unload a model; false
// if it must stay.
func (p *planner) lossOf(engine *Engine, model string, n need) (float64, bool) {
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
	if rate >= keepRate || (ready <= 2 && demand.Rate >= keepRate) {
		return 0, false
	}
	if n.ahead && (p.Now-demand.LastSeen < prefetchIdle || p.source(engine, model) == FromStore) {
		return 0, false
	}
	reload := p.loadTime(model, p.source(engine, model))
	return rate * reload.Seconds(), true
}
