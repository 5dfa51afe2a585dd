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

// cancelTimeout bounds telling an engine to end a run.
const cancelTimeout = time.Second

// spending says what became of the tokens of an attempt.
type spending int

const (
	spentNothing spending = iota // certainly not run: the next attempt may use them
	spentCounted                 // the answer is whole, its tokens are known
	spentUnknown                 // the engine may have generated any part, and may go on
)

// spendingOf judges an attempt by its error.
func spendingOf(err error) spending {
	var unsent *engine.NotSentError
	var noTime *InsufficientTimeError
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return spentCounted
	case errors.As(err, &unsent), errors.As(err, &noTime):
		return spentNothing
	case errors.As(err, &refused) && (refused.NotRun() || isClientError(refused.Status)):
		return spentNothing
	}
	return spentUnknown
}

// settleAttempt accounts for an attempt. When the engine may still generate,
// the whole cost is counted, and the tokens stay reserved until the engine has
// confirmed that it ended the run, or until the run's timeout: settled earlier,
// they would be refilled while the engine goes on, and the workspace would get
// more than its allowance.
func (x *execution) settleAttempt(address string, err error) {
	switch spendingOf(err) {
	case spentNothing:
	case spentCounted:
		x.reservation.Settle(x.used)
		x.reservation = nil
	case spentUnknown:
		x.endRunThenSettle(address, x.reservation)
		x.reservation = nil
	}
}

func (x *execution) endRunThenSettle(address string, reservation *quota.Reservation) {
	timeout, cost := x.timeoutOf(reservation), x.request.Cost()
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

// reserveAgain takes the cost of a further attempt, when the tokens of the
// earlier one are spent.
func (x *execution) reserveAgain(ctx context.Context) *problem.Error {
	if x.reservation != nil {
		return nil
	}
	reservation, err := x.options.Limiter.Acquire(ctx, x.request.Workspace, x.request.Cost(), x.request.Deadline)
	if err != nil {
		return x.ranBefore(refusal.FromQuota(ctx, err))
	}
	x.reservation = reservation
	return nil
}
