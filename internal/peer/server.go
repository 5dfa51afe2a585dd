package peer

import (
	"context"

	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

// Handlers holds the handlers of incoming calls, which must be safe for concurrent
// use. A call without a handler fails with *UnhandledError, except that
// LocalHeartbeat and Heartbeat are optional.
type Handlers struct {
	// LocalHeartbeat returns the state of this host to send in a heartbeat. The
	// mesh sets From and truncates the lists to the message bounds.
	LocalHeartbeat func() *peerpb.HeartbeatMessage
	// Heartbeat is called for every heartbeat received from another host, either
	// in a call or in a reply.
	Heartbeat    func(host string, message *peerpb.HeartbeatMessage)
	PushDeltas   func(ctx context.Context, message *peerpb.Deltas) (*peerpb.PushReply, error)
	PullDeltas   func(ctx context.Context, message *peerpb.PullRequest) (*peerpb.Deltas, error)
	Borrow       func(request quota.LoanRequest) quota.LoanGrant
	ReturnLoan   func(report quota.LoanReturn)
	SlotReleased func(message *peerpb.SlotRelease)
	Demand       func(ctx context.Context, message *peerpb.DemandReport) (*peerpb.DemandReply, error)
	Suspect      func(message *peerpb.Suspicions)
	UpstreamSign func(message *peerpb.UpstreamSigns)
	Status       func(ctx context.Context, message *peerpb.StatusRequest) (*peerpb.StatusReply, error)
	Upstreams    func(ctx context.Context, message *peerpb.UpstreamsRequest) (*peerpb.UpstreamList, error)
	Explain      func(ctx context.Context, message *peerpb.ExplainRequest) (*peerpb.ExplainReply, error)
}

// server validates incoming calls and passes them to the handlers.
type server struct{ mesh *Mesh }

var _ peerpb.DRPCPeerServer = (*server)(nil)

// Heartbeat implements peerpb.DRPCPeerServer.
func (s *server) Heartbeat(_ context.Context, in *peerpb.HeartbeatMessage) (*peerpb.HeartbeatMessage, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	s.mesh.observeHeartbeat(in)
	return s.mesh.localHeartbeat(), nil
}

// PushDeltas implements peerpb.DRPCPeerServer.
func (s *server) PushDeltas(ctx context.Context, in *peerpb.Deltas) (*peerpb.PushReply, error) {
	return serveCall(ctx, "PushDeltas", s.mesh.handlers.PushDeltas, in)
}

// PullDeltas implements peerpb.DRPCPeerServer.
func (s *server) PullDeltas(ctx context.Context, in *peerpb.PullRequest) (*peerpb.Deltas, error) {
	return serveCall(ctx, "PullDeltas", s.mesh.handlers.PullDeltas, in)
}

// Borrow implements peerpb.DRPCPeerServer.
func (s *server) Borrow(_ context.Context, in *peerpb.LoanRequest) (*peerpb.LoanGrant, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	if s.mesh.handlers.Borrow == nil {
		return nil, &UnhandledError{Call: "Borrow"}
	}
	return grantToMessage(s.mesh.handlers.Borrow(requestFromMessage(in))), nil
}

// ReturnLoan implements peerpb.DRPCPeerServer.
func (s *server) ReturnLoan(_ context.Context, in *peerpb.LoanReturn) (*peerpb.Empty, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	if s.mesh.handlers.ReturnLoan == nil {
		return nil, &UnhandledError{Call: "ReturnLoan"}
	}
	s.mesh.handlers.ReturnLoan(returnFromMessage(in))
	return &peerpb.Empty{}, nil
}

// SlotReleased implements peerpb.DRPCPeerServer.
func (s *server) SlotReleased(_ context.Context, in *peerpb.SlotRelease) (*peerpb.Empty, error) {
	return serveNotification("SlotReleased", s.mesh.handlers.SlotReleased, in)
}

// Demand implements peerpb.DRPCPeerServer.
func (s *server) Demand(ctx context.Context, in *peerpb.DemandReport) (*peerpb.DemandReply, error) {
	return serveCall(ctx, "Demand", s.mesh.handlers.Demand, in)
}

// Suspect implements peerpb.DRPCPeerServer.
func (s *server) Suspect(_ context.Context, in *peerpb.Suspicions) (*peerpb.Empty, error) {
	return serveNotification("Suspect", s.mesh.handlers.Suspect, in)
}

// UpstreamSign implements peerpb.DRPCPeerServer.
func (s *server) UpstreamSign(_ context.Context, in *peerpb.UpstreamSigns) (*peerpb.Empty, error) {
	return serveNotification("UpstreamSign", s.mesh.handlers.UpstreamSign, in)
}

// Status implements peerpb.DRPCPeerServer.
func (s *server) Status(ctx context.Context, in *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return serveCall(ctx, "Status", s.mesh.handlers.Status, in)
}

// Upstreams implements peerpb.DRPCPeerServer.
func (s *server) Upstreams(ctx context.Context, in *peerpb.UpstreamsRequest) (*peerpb.UpstreamList, error) {
	return serveCall(ctx, "Upstreams", s.mesh.handlers.Upstreams, in)
}

// Explain implements peerpb.DRPCPeerServer.
func (s *server) Explain(ctx context.Context, in *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	return serveCall(ctx, "Explain", s.mesh.handlers.Explain, in)
}

// serveCall validates a message and passes it to a handler that returns a reply.
func serveCall[In, Out any](ctx context.Context, call string, handler func(context.Context, *In) (*Out, error), in *In) (*Out, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	if handler == nil {
		return nil, &UnhandledError{Call: call}
	}
	return handler(ctx, in)
}

// serveNotification validates a message and passes it to a handler without a reply.
func serveNotification[In any](call string, handler func(*In), in *In) (*peerpb.Empty, error) {
	if err := validate(in); err != nil {
		return nil, err
	}
	if handler == nil {
		return nil, &UnhandledError{Call: call}
	}
	handler(in)
	return &peerpb.Empty{}, nil
}
