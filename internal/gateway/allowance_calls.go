package gateway

import (
	"context"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

const (
	// allowanceCallTimeout bounds a call for grants. The next exchange asks again.
	allowanceCallTimeout = 250 * time.Millisecond
	// allowanceCallBackoff is the time without such calls after a failed one.
	allowanceCallBackoff = 300 * time.Millisecond
)

// grantSoon asks for a grant for the requests of a workspace that wait: by a call of its own
// if the coordinator is likely to grant it, because in a large fleet most requests would wait
// for half an exchange interval, otherwise with the next exchange.
func (e *exchanger) grantSoon(w *catalog.Workspace) {
	if !e.balances.CanCall(clock.SinceBoot(), w) {
		e.exchangeSoon()
		return
	}
	select {
	case e.allowanceWake <- struct{}{}:
	default:
	}
}

// runAllowanceCalls makes the calls for grants, one at a time, until the context ends.
func (e *exchanger) runAllowanceCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.allowanceWake:
		}
		err := confine.Call("call for grants", func() error { return e.callAllowance(ctx) })
		if err != nil && ctx.Err() == nil {
			e.exchangeSoon()
			clock.Sleep(ctx, allowanceCallBackoff)
		}
	}
}

// callAllowance asks for what requests wait for now. It returns a NoCoordinatorError if the
// called host does not hold the lease.
func (e *exchanger) callAllowance(ctx context.Context) error {
	config := e.config.current.Load()
	if config == nil {
		return nil
	}
	needs := e.balances.PendingNeeds(clock.SinceBoot(), config.Workspaces)
	if len(needs) == 0 {
		return nil
	}
	var grants map[string]allowance.Grant
	defer func() { e.balances.EndCall(clock.SinceBoot(), needs, grants) }()
	reply, err := e.allowanceCall(ctx, &coordinator.AllowanceRequest{Host: e.settings.Host, Needs: needs})
	if err != nil {
		return err
	}
	if !reply.Holder {
		return &NoCoordinatorError{Host: e.elector.Coordinator().Holder}
	}
	grants = reply.Grants
	return nil
}

// allowanceCall asks the coordinator, which may be this host.
func (e *exchanger) allowanceCall(ctx context.Context, request *coordinator.AllowanceRequest) (*coordinator.AllowanceReply, error) {
	record := e.elector.Coordinator()
	if record.Holder == e.settings.Host {
		return e.Allowance(ctx, request), nil
	}
	if record.Address == "" {
		return nil, &NoCoordinatorError{}
	}
	ctx, cancel := context.WithTimeout(ctx, allowanceCallTimeout)
	defer cancel()
	return e.client.Allowance(ctx, record.Address, request)
}
