package coordinator

import (
	"maps"
	"math"
	"time"
)

// minEvacuatedRate is the request rate, in requests per second, from which a model is needed
// elsewhere: one request in the last 9 s.
const minEvacuatedRate = 0.025

// leaves reports whether the engine gets no orders and none of its content counts, because
// it shuts down or its data centre is evacuated.
func (e *engineState) leaves() bool { return e.upstream.Draining || e.evacuated }

// setEvacuated records whether the engine's data centre is evacuated. Nothing is known of
// what the engine did meanwhile, so its report is read after the end of an evacuation.
func (e *engineState) setEvacuated(evacuated bool) {
	if e.evacuated && !evacuated {
		e.suspected = true
	}
	e.evacuated = evacuated
}

// isEvacuated reports whether the data centre of an engine is evacuated now.
func (c *Coordinator) isEvacuated(engine *engineState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleetState.Evacuated(engine.upstream.DataCenter)
}

// demandOfEvacuated counts the requests of one second for a model that only evacuated
// engines serve as waiting: it is loaded elsewhere before the hosts stop using these
// engines, most requested models first.
func (c *Coordinator) demandOfEvacuated(service string, demand map[string]*Demand) {
	evacuated := map[string]bool{}
	for _, engine := range c.fleet {
		if engine.upstream.Service == service && engine.evacuated {
			for model := range engine.holdings.Models {
				evacuated[model] = true
			}
		}
	}
	if len(evacuated) == 0 {
		return
	}
	for _, engine := range c.fleet {
		if engine.upstream.Service == service && !engine.leaves() {
			maps.DeleteFunc(evacuated, func(model string, _ bool) bool { return engine.ready(model) })
		}
	}
	for model := range evacuated {
		if d := demand[model]; d != nil && (d.Rate > minEvacuatedRate || d.Running > 0) {
			d.Waiting = max(d.Waiting, int(math.Ceil(d.Rate)), 1)
		}
	}
}

// replacedIn estimates the time until another engine has a model that evacuated engines hold.
// evacuated is false if none of them does. The caller holds c.mu.
func (c *Coordinator) replacedIn(now time.Duration, key ModelKey) (replacedIn time.Duration, evacuated bool) {
	for _, engine := range c.fleet {
		if engine.evacuated && engine.upstream.Service == key.Service && engine.holdings.Holds(key.Model) {
			evacuated = true
			break
		}
	}
	if !evacuated {
		return 0, false
	}
	service := c.fleetState.Config().Services[key.Service]
	if service == nil || service.Engine == nil {
		return 0, false // no longer configured
	}
	if readyIn, known := c.readyIn(now, key.Service, key.Model); known {
		return max(readyIn, reportPollInterval), true
	}
	model := service.Engine.Models[key.Model]
	if c.hasLocalCopy(key.Service, key.Model) {
		return model.LoadDisk + swapOverhead, true
	}
	return model.Load + swapOverhead, true
}
