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

// place chooses a replica and registers the run there. The run is nil when no
// replica is left.
func (x *execution) place(ctx context.Context) (*retry.Run, string, *problem.Error) {
	for {
		if refusal := x.checkQuarantine(); refusal != nil {
			return nil, "", refusal
		}
		candidates := x.candidates()
		if len(candidates) == 0 {
			return nil, "", nil
		}
		permitted := x.permitted(candidates)
		index, ok := x.options.Routing.Choose(x.routingRequest(), permitted, x.random())
		if ok {
			address := permitted[index].Address
			run, verdict := x.options.Suspects.Permit(x.options.Clock.Now(), x.fingerprint, address)
			if verdict == retry.Allowed {
				x.request.Record.Add("routing", "chose "+address)
				return run, address, nil
			}
		}
		if len(permitted) == len(candidates) && !ok {
			return nil, "", nil
		}
		if !clock.Sleep(ctx, suspectPause) {
			return nil, "", x.ended(ctx)
		}
	}
}

// candidates returns the replicas that have not been tried.
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

// permitted keeps the candidates at which a suspect may run.
func (x *execution) permitted(candidates []routing.Candidate) []routing.Candidate {
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
