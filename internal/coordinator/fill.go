package coordinator

import (
	"cmp"
	"slices"
)

const (
	// maxBusyEngines and maxIdleEngines are the parts of the engines that may be occupied by
	// orders when idle memory is filled, while requests wait for models and while none does: an
	// engine carries out one order at a time.
	maxBusyEngines = 0.25
	maxIdleEngines = 0.5
	// maxFillAdapterDelay bounds what such a load may cost the requests for adapters of its
	// engine, in seconds of waiting.
	maxFillAdapterDelay = 0.25
)

// fillIdleMemory loads models without a replica into idle memory of engines that have copies
// of them, the most requested first: the next request for such a model would wait for the
// load. It evicts nothing.
func (p *planner) fillIdleMemory() {
	left := p.fillLimit()
	loading := map[string]bool{}
	for _, engine := range p.Engines {
		if left <= 0 {
			return
		}
		if engine.Draining || engine.Unreachable || engine.Paused || engine.Occupied || p.assigned[engine.ID] {
			continue
		}
		model := p.chooseFill(engine, loading)
		if model == "" {
			continue
		}
		source := p.source(engine, model)
		loadTime := p.loadTime(model, source)
		if p.adapterDelayCost(engine)*loadTime.Seconds() > maxFillAdapterDelay {
			continue
		}
		loading[model], p.assigned[engine.ID] = true, true
		p.actions = append(p.actions, Action{Engine: engine.ID, Load: model, Source: source, Reason: "idle memory", LoadTime: loadTime})
		left--
	}
}

// fillLimit returns how many loads into idle memory may begin.
func (p *planner) fillLimit() int {
	part := maxIdleEngines
	for _, demand := range p.Demand {
		if demand.Waiting > 0 {
			part = maxBusyEngines
			break
		}
	}
	occupied := len(p.actions)
	for _, engine := range p.Engines {
		if engine.Occupied {
			occupied++
		}
	}
	return int(part*float64(len(p.Engines))) - occupied
}

// chooseFill returns the most requested model without a replica of which the engine has a copy
// and for which it has room; "" if there is none.
func (p *planner) chooseFill(engine *Engine, loading map[string]bool) string {
	free := p.freeMB(engine)
	var fitting []string
	for _, model := range copiesOf(engine.Holdings) {
		m, known := p.Service.Engine.Models[model]
		r := p.replicas(model)
		if known && m.WeightsMB <= free && r.ready+r.loading == 0 && !loading[model] {
			fitting = append(fitting, model)
		}
	}
	if len(fitting) == 0 {
		return ""
	}
	return slices.MinFunc(fitting, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.steadyRate(b), p.steadyRate(a)), cmp.Compare(a, b))
	})
}

func (p *planner) steadyRate(model string) float64 {
	if demand := p.Demand[model]; demand != nil {
		return demand.SteadyRate
	}
	return 0
}
