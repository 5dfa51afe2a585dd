package gateway

import (
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// failureCost is the load that a certain failure is worth.
	failureCost = 30.0
	// avoidCost keeps requests from upstreams that failed a moment ago, as long
	// as there is another one.
	avoidCost = 1000.0
	// remoteCost is the load that another data centre is worth.
	remoteCost = 0.6
	// adapterCost is the load that a missing adapter is worth.
	adapterCost = 8.0
	// affinityGain is the load that kept parts of the prompt are worth.
	affinityGain = 2.5
)

// choose returns the best candidate that was not tried yet, nil if there is none.
func choose(candidates []Candidate, request *call.Request, dataCenter string, tried map[string]bool) *Candidate {
	home := affineTo(candidates, request)
	var best *Candidate
	bestCost := 0.0
	for i := range candidates {
		candidate := &candidates[i]
		if tried[candidate.Upstream.ID] {
			continue
		}
		cost := costOf(candidate, dataCenter)
		if candidate.Upstream.ID == home {
			cost -= affinityGain
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

func costOf(candidate *Candidate, dataCenter string) float64 {
	cost := float64(candidate.Load) + failureCost*candidate.FailureRate
	if candidate.InBackoff {
		cost += avoidCost
	}
	if candidate.Upstream.DataCenter != dataCenter {
		cost += remoteCost
	}
	if !candidate.HasAdapter {
		cost += adapterCost
	}
	return cost
}

// affineTo returns the upstream that most likely keeps the prompt's shared
// parts: all hosts agree on it.
func affineTo(candidates []Candidate, request *call.Request) string {
	if len(request.PromptSegments) < 2 {
		return ""
	}
	shared := request.PromptSegments[len(request.PromptSegments)-2].ID
	ids := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		ids = append(ids, candidate.Upstream.ID)
	}
	return rendezvous.Owner(request.Model+"/"+request.Adapter+"/"+shared, ids)
}
