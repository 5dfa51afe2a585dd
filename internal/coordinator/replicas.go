package coordinator

import "slices"

// replicas says where a model is ready, being loaded, and kept as a copy.
type replicas struct{ ready, coming, copies int }

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
		if engine.Leaving {
			continue
		}
		coming := engine.Reserved
		if engine.Loading != "" && !slices.Contains(coming, engine.Loading) {
			coming = append(slices.Clone(coming), engine.Loading)
		}
		for _, model := range coming {
			of(model).coming++
		}
		for model := range engine.Holdings.Models {
			if !slices.Contains(coming, model) {
				of(model).ready++
			}
		}
		for _, model := range engine.Holdings.OnDisk {
			of(model).copies++
		}
		for _, model := range engine.Holdings.InMemory {
			if !slices.Contains(engine.Holdings.OnDisk, model) {
				of(model).copies++
			}
		}
	}
	return index
}

func (p *planner) replicas(model string) replicas {
	if r := p.index[model]; r != nil {
		return *r
	}
	return noReplicas
}
