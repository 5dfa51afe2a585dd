package coordinator

import (
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// replicas counts the engines on which a model is ready, being loaded, or kept as a copy on
// disk or in memory.
type replicas struct {
	ready, loading, copies int
	rate                   float64 // requests per second that the ready ones should carry
}

var noReplicas replicas

// indexReplicas counts the replicas of all models in one pass.
func indexReplicas(engines []*Engine) map[string]*replicas {
	index := map[string]*replicas{}
	of := func(model string) *replicas {
		if index[model] == nil {
			index[model] = &replicas{}
		}
		return index[model]
	}
	for _, engine := range engines {
		if engine.Draining {
			continue
		}
		for _, model := range copiesOf(engine.Holdings) {
			of(model).copies++
		}
		if engine.Unreachable {
			continue
		}
		loading := engine.Reserved
		if engine.Loading != "" && !slices.Contains(loading, engine.Loading) {
			loading = append(slices.Clone(loading), engine.Loading)
		}
		for _, model := range loading {
			of(model).loading++
		}
		for model := range engine.Holdings.Models {
			if !engine.Paused && !slices.Contains(loading, model) {
				of(model).ready++
				of(model).rate += engine.targetRate()
			}
		}
	}
	return index
}

// targetRate returns the request rate, in requests per second, that a replica on the engine
// should carry.
func (e *Engine) targetRate() float64 {
	if e.ColdPerS > 0 {
		return min(targetReplicaRate, e.ColdPerS)
	}
	return targetReplicaRate
}

// copiesOf returns the models of which an engine has copies on disk or in memory.
func copiesOf(h catalog.Holdings) []string {
	if len(h.InMemory) == 0 {
		return h.OnDisk
	}
	copies := slices.Clone(h.OnDisk)
	for _, model := range h.InMemory {
		if !slices.Contains(h.OnDisk, model) {
			copies = append(copies, model)
		}
	}
	return copies
}

func (p *planner) replicas(model string) replicas {
	if r := p.index[model]; r != nil {
		return *r
	}
	return noReplicas
}
