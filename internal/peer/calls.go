package peer

import (
	"context"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

var _ quota.LoanClient = (*Mesh)(nil)

// call performs one call to a host within the timeout and validates the reply. It
// returns *UnknownHostError, *UnreachableError, *RemoteError or
// *InvalidMessageError.
func call[Out any](ctx context.Context, m *Mesh, host, name string, timeout time.Duration,
	invoke func(context.Context, peerpb.DRPCPeerClient) (Out, error)) (Out, error) {
	var out Out
	m.mu.Lock()
	p := m.pools[host]
	m.mu.Unlock()
	if p == nil {
		return out, &UnknownHostError{Host: host}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	err := p.call(ctx, func(ctx context.Context, client peerpb.DRPCPeerClient) (err error) {
		out, err = invoke(ctx, client)
		return err
	})
	if err == nil {
		m.observeResponse(host, time.Since(start))
		err = validate(out)
	}
	m.metrics.recordCall(name, err)
	return out, err
}

// Heartbeat sends a heartbeat to a host and processes the heartbeat in its reply.
func (m *Mesh) Heartbeat(ctx context.Context, host string) error {
	message := m.localHeartbeat()
	reply, err := call(ctx, m, host, "Heartbeat", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.HeartbeatMessage, error) {
			return c.Heartbeat(ctx, message)
		})
	if err != nil {
		return err
	}
	m.observeHeartbeat(reply)
	return nil
}

// PushDeltas sends configuration versions to a host. It sets deltas.From.
func (m *Mesh) PushDeltas(ctx context.Context, host string, deltas *peerpb.Deltas) (*peerpb.PushReply, error) {
	deltas.From = m.sender()
	return call(ctx, m, host, "PushDeltas", documentTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.PushReply, error) {
			return c.PushDeltas(ctx, deltas)
		})
}

// PullDeltas requests the configuration versions after a given one from a host. It
// sets request.From.
func (m *Mesh) PullDeltas(ctx context.Context, host string, request *peerpb.PullRequest) (*peerpb.Deltas, error) {
	request.From = m.sender()
	return call(ctx, m, host, "PullDeltas", documentTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.Deltas, error) {
			return c.PullDeltas(ctx, request)
		})
}

// Borrow implements quota.LoanClient.
func (m *Mesh) Borrow(ctx context.Context, host string, request quota.LoanRequest) (quota.LoanGrant, error) {
	grant, err := call(ctx, m, host, "Borrow", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.LoanGrant, error) {
			return c.Borrow(ctx, requestToMessage(request))
		})
	if err != nil {
		return quota.LoanGrant{}, err
	}
	return grantFromMessage(grant), nil
}

// ReturnLoan implements quota.LoanClient.
func (m *Mesh) ReturnLoan(ctx context.Context, host string, report quota.LoanReturn) error {
	_, err := call(ctx, m, host, "ReturnLoan", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.Empty, error) {
			return c.ReturnLoan(ctx, returnToMessage(report))
		})
	return err
}

// SlotReleased notifies a host of released quota slots. At most MaxSlots are sent.
func (m *Mesh) SlotReleased(ctx context.Context, host string, version uint64, slots []int) error {
	message := &peerpb.SlotRelease{From: m.sender(), ConfigVersion: version}
	for _, slot := range slots[:min(len(slots), MaxSlots)] {
		message.Slots = append(message.Slots, uint32(slot))
	}
	_, err := call(ctx, m, host, "SlotReleased", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.Empty, error) {
			return c.SlotReleased(ctx, message)
		})
	return err
}

// Demand reports waiting requests to the placement owner of a model. It sets
// report.From.
func (m *Mesh) Demand(ctx context.Context, host string, report *peerpb.DemandReport) (*peerpb.DemandReply, error) {
	report.From = m.sender()
	return call(ctx, m, host, "Demand", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.DemandReply, error) {
			return c.Demand(ctx, report)
		})
}

// Suspect sends a host the fingerprints of requests that may have crashed
// upstreams. It sets message.From and truncates the lists to MaxSuspicions.
func (m *Mesh) Suspect(ctx context.Context, host string, message *peerpb.Suspicions) error {
	message.From = m.sender()
	message.Suspicions = message.Suspicions[:min(len(message.Suspicions), MaxSuspicions)]
	message.IsolatedRuns = message.IsolatedRuns[:min(len(message.IsolatedRuns), MaxSuspicions)]
	_, err := call(ctx, m, host, "Suspect", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.Empty, error) {
			return c.Suspect(ctx, message)
		})
	return err
}

// UpstreamSign sends signs of the state of upstreams, such as that one is leaving, to
// a host. At most MaxSigns signs are sent.
func (m *Mesh) UpstreamSign(ctx context.Context, host string, signs []*peerpb.Sign) error {
	message := &peerpb.UpstreamSigns{From: m.sender(), Signs: signs[:min(len(signs), MaxSigns)]}
	_, err := call(ctx, m, host, "UpstreamSign", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.Empty, error) {
			return c.UpstreamSign(ctx, message)
		})
	return err
}

// Status requests the configuration status of a host.
func (m *Mesh) Status(ctx context.Context, host string) (*peerpb.StatusReply, error) {
	message := &peerpb.StatusRequest{From: m.sender()}
	return call(ctx, m, host, "Status", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.StatusReply, error) {
			return c.Status(ctx, message)
		})
}

// Upstreams requests from a host the platform's host list as that host last read it.
func (m *Mesh) Upstreams(ctx context.Context, host string) (*peerpb.UpstreamList, error) {
	message := &peerpb.UpstreamsRequest{From: m.sender()}
	return call(ctx, m, host, "Upstreams", documentTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.UpstreamList, error) {
			return c.Upstreams(ctx, message)
		})
}

// Explain requests from a host the decision record of a recent request.
func (m *Mesh) Explain(ctx context.Context, host, requestID string) (*peerpb.ExplainReply, error) {
	message := &peerpb.ExplainRequest{From: m.sender(), RequestId: requestID}
	return call(ctx, m, host, "Explain", callTimeout,
		func(ctx context.Context, c peerpb.DRPCPeerClient) (*peerpb.ExplainReply, error) {
			return c.Explain(ctx, message)
		})
}
