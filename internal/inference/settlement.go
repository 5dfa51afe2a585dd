package inference

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/quota"
	"github.com/arbutusbank/arbutusbank/internal/refusal"
)

// cancelTimeout bounds the call that cancels a run at an engine.
const cancelTimeout = time.Second

// tokenUse is what is known about the tokens that an attempt has used.
type tokenUse int

const (
	usedNone    tokenUse = iota // certainly not run: the next attempt may use the reservation
	usedKnown                   // the response is complete and its tokens are counted
	usedUnknown                 // the engine may have generated any number of tokens and may continue
)

// classifyTokenUse derives an attempt's token use from its error.
func classifyTokenUse(err error) tokenUse {
	var unsent *engine.NotSentError
	var insufficient *InsufficientTimeError
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return usedKnown
	case errors.As(err, &unsent), errors.As(err, &insufficient):
		return usedNone
	case errors.As(err, &refused) && (refused.NotRun() || isClientError(refused.Status)):
		return usedNone
	}
	return usedUnknown
}

// settleAttempt settles the reservation of an attempt. When the engine may still
// be generating, the full cost is charged, and the reservation is kept until the
// engine confirms the cancellation or the run's timeout passes. Settling earlier
// would refill the tokens while the engine continues, and the workspace would
// get more than its allowance.
func (x *execution) settleAttempt(address string, err error) {
	switch classifyTokenUse(err) {
	case usedNone:
	case usedKnown:
		x.reservation.Settle(x.usedTokens)
		x.reservation = nil
	case usedUnknown:
		x.cancelThenSettle(address, x.reservation)
		x.reservation = nil
	}
}

// cancelThenSettle cancels the run at the engine and charges the full cost, at
// the latest when the run's timeout has passed. It does not block.
func (x *execution) cancelThenSettle(address string, reservation *quota.Reservation) {
	timeout, cost := x.timeoutFor(reservation), x.request.Cost()
	client, id := x.options.Upstreams.Engine(address), x.request.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if client.Cancel(ctx, id) == nil {
			reservation.Settle(cost)
			return
		}
		time.AfterFunc(max(0, timeout), func() { reservation.Settle(cost) })
	}()
}

// ensureReservation reserves the cost of a further attempt if the reservation of
// the earlier one was settled.
func (x *execution) ensureReservation(ctx context.Context) *problem.Error {
	if x.reservation != nil {
		return nil
	}
	reservation, err := x.options.Limiter.Acquire(ctx, x.request.Workspace, x.request.Cost(), x.request.Deadline)
	if err != nil {
		return x.adjustNotRun(refusal.FromQuota(ctx, err))
	}
	x.reservation = reservation
	return nil
}
