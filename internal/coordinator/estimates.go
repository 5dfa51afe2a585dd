package coordinator

import (
	"slices"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// maxEstimate caps the ready time that is estimated for a load queued for the weight
// store.
const maxEstimate = 30 * time.Second

// estimatesFor returns the estimates for the models that a host asks for.
func (c *Coordinator) estimatesFor(request *ExchangeRequest) []Estimate {
	var wanted []Estimate
	for _, estimate := range c.estimates {
		for _, d := range request.Demand {
			if d.ModelKey == estimate.ModelKey {
				wanted = append(wanted, estimate)
			}
		}
	}
	return wanted
}

// updateEstimates estimates when the models that requests wait for will be ready.
func (c *Coordinator) updateEstimates(now time.Duration, service *catalog.Service, input PlanInput) {
	var queued []string
	pause := c.lease.TimeUntilOrders()
	for model, demand := range input.Demand {
		if demand.Waiting == 0 {
			continue
		}
		readyIn, known := c.readyIn(now, service.Name, model)
		if known {
			c.addEstimate(service.Name, model, readyIn)
			continue
		}
		if c.hasLocalCopy(service.Name, model) {
			c.addEstimate(service.Name, model, pause+service.Engine.Models[model].LoadDisk+swapOverhead)
			continue
		}
		queued = append(queued, model)
	}
	slices.SortFunc(queued, func(a, b string) int {
		return int(input.Demand[b].Oldest - input.Demand[a].Oldest)
	})
	for i, model := range queued {
		turn := time.Duration(i/maxStoreLoads+1) * service.Engine.Models[model].Load
		c.addEstimate(service.Name, model, min(pause+turn+swapOverhead, maxEstimate))
	}
}

func (c *Coordinator) addEstimate(service, model string, in time.Duration) {
	c.estimates = append(c.estimates, Estimate{ModelKey: ModelKey{service, model}, ReadyInMS: int(in.Milliseconds())})
}

func (c *Coordinator) readyIn(now time.Duration, service, model string) (time.Duration, bool) {
	for _, engine := range c.fleet {
		if engine.upstream.Service != service || engine.cutOff() || engine.evacuated {
			continue
		}
		if engine.ready(model) {
			return 0, true
		}
		if engine.loading != nil && engine.loading.Load == model {
			return max(0, engine.readyAt-now), true
		}
	}
	return 0, false
}

func (c *Coordinator) hasLocalCopy(service, model string) bool {
	for _, engine := range c.fleet {
		if engine.upstream.Service == service && !engine.leaves() && !engine.cutOff() &&
			(slices.Contains(engine.holdings.OnDisk, model) || slices.Contains(engine.holdings.InMemory, model)) {
			return true
		}
	}
	return false
}
