package gateway

import (
	"github.com/arbutusbank/arbutusbank/internal/call"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// Costs are in requests in progress: a cost of 1 weighs as much as one request
	// that runs at the upstream. failureRateCost is the cost of a failure rate of 1.
	failureRateCost = 30.0
	// backoffCost keeps requests away from upstreams that recently failed, as long as
	// there is another one.
	backoffCost = 1000.0
	// remoteDataCenterCost is the cost of an upstream in another data centre.
	remoteDataCenterCost = 0.6
	// missingAdapterCost is the cost of loading the adapter.
	missingAdapterCost = 8.0
	// promptAffinityGain is deducted for the upstream that likely caches the prompt's
	// prefix.
	promptAffinityGain = 2.5
)

// selectCandidate returns the candidate with the lowest cost among those not yet
// tried, nil if there is none.
func selectCandidate(candidates []Candidate, request *call.Request, dataCenter string, tried map[string]bool) *Candidate {
	preferred := affinityOwner(candidates, request)
	var best *Candidate
	bestCost := 0.0
	for i := range candidates {
		candidate := &candidates[i]
		if tried[candidate.Upstream.ID] {
			continue
		}
		cost := candidateCost(candidate, dataCenter)
		if candidate.Upstream.ID == preferred {
			cost -= promptAffinityGain
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

func candidateCost(candidate *Candidate, dataCenter string) float64 {
	cost := float64(candidate.Load) + failureRateCost*candidate.FailureRate
	if candidate.InBackoff {
		cost += backoffCost
	}
	if candidate.Upstream.DataCenter != dataCenter {
		cost += remoteDataCenterCost
	}
	if !candidate.HasAdapter {
		cost += missingAdapterCost
	}
	return cost
}

// affinityOwner returns the upstream that most likely caches the shared prefix of the
// prompt; all hosts choose the same one. It returns "" for prompts without a shared
// prefix.
func affinityOwner(candidates []Candidate, request *call.Request) string {
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
