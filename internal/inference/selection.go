package inference

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/retry"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

// selectReplica chooses a replica and registers the run with it. The run is nil
// when there is no untried replica that can take the request. While a suspect may
// not run at the chosen replica, it waits and tries again until ctx ends.
func (x *execution) selectReplica(ctx context.Context) (*retry.Run, string, *problem.Error) {
	for {
		if refusal := x.checkQuarantine(); refusal != nil {
			return nil, "", refusal
		}
		candidates := x.candidates()
		if len(candidates) == 0 {
			return nil, "", nil
		}
		permitted := x.permittedCandidates(candidates)
		index, ok := x.options.Routing.Choose(x.routingRequest(), permitted, x.random())
		if ok {
			address := permitted[index].Address
			run, verdict := x.options.Suspects.Permit(x.options.Clock.Now(), x.fingerprint, address, x.request.Segments...)
			if verdict == retry.Allowed {
				x.request.Record.Add("routing", "chose "+address)
				return run, address, nil
			}
		}
		if len(permitted) == len(candidates) && !ok {
			return nil, "", nil
		}
		if !clock.Sleep(ctx, suspectRetryDelay) {
			return nil, "", x.contextRefusal(ctx)
		}
	}
}

// candidates returns the replicas that have not been tried, are not leaving and
// were not unreachable recently.
func (x *execution) candidates() []routing.Candidate {
	candidates := x.options.Replicas.Candidates(x.request.Model, x.request.Adapter)
	usable := candidates[:0]
	for _, candidate := range candidates {
		if !slices.Contains(x.tried, candidate.Address) && !candidate.Leaving && !candidate.Suspect {
			x.options.Tracker.FillCandidate(&candidate, x.prefixes)
			usable = append(usable, candidate)
		}
	}
	return usable
}

// permittedCandidates returns the candidates at which the request may run if it
// is suspected of crashing upstreams, and all candidates otherwise.
func (x *execution) permittedCandidates(candidates []routing.Candidate) []routing.Candidate {
	addresses := make([]string, len(candidates))
	for i := range candidates {
		addresses[i] = candidates[i].Address
	}
	allowed := x.options.Suspects.PermittedUpstreams(x.options.Clock.Now(), x.fingerprint, addresses)
	if len(allowed) == len(candidates) {
		return candidates
	}
	permitted := make([]routing.Candidate, 0, len(allowed))
	for _, candidate := range candidates {
		if slices.Contains(allowed, candidate.Address) {
			permitted = append(permitted, candidate)
		}
	}
	return permitted
}

func (x *execution) routingRequest() routing.Request {
	return routing.Request{
		DataCenter:   x.options.DataCenter,
		Adapter:      x.request.Adapter != "",
		PrefixHashes: x.prefixes,
		Tried:        x.tried,
	}
}

func (x *execution) random() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
