package coordinator

import "time"

// localDemand is the demand that an engine could serve soon by loading models of which it
// has copies.
type localDemand struct {
	waiting  float64       // requests, shared among the engines with copies
	loadTime time.Duration // of all these models
}

// storeFull reports whether no further load from the weight store may start.
func (p *planner) storeFull() bool {
	return p.activeStoreLoads >= maxStoreLoads || p.startedStoreLoads >= p.StoreStarts
}

// delaysLocalLoads reports whether requests would wait longer in total if the engine loaded
// the needed model from the weight store before the models of which it has copies: an
// engine carries out one order at a time, and a load from the store takes long. Requests
// beyond what the model's replicas can carry arrive during the load; they wait for half of it
// on average.
func (p *planner) delaysLocalLoads(engine *Engine, n need) bool {
	local := p.localDemandOf(engine)
	storeTime := p.loadTime(n.model, FromStore)
	affected := float64(n.waiting) + n.unserved*storeTime.Seconds()/2
	return local.waiting*storeTime.Seconds() > affected*local.loadTime.Seconds()
}

func (p *planner) localDemandOf(engine *Engine) localDemand {
	if local, known := p.local[engine.ID]; known {
		return local
	}
	var local localDemand
	for _, model := range copiesOf(engine.Holdings) {
		demand, r := p.Demand[model], p.replicas(model)
		if demand == nil || demand.Waiting == 0 || r.ready > 0 || r.loading > 0 {
			continue
		}
		local.waiting += float64(demand.Waiting) / float64(r.copies)
		local.loadTime += p.loadTime(model, p.source(engine, model))
	}
	p.local[engine.ID] = local
	return local
}
