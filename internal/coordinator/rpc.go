package coordinator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"github.com/arbutusbank/arbutusbank/internal/confine"
)

// RPC method names. The pool method keeps its older wire name.
const (
	exchangeCall  = "/coordinator/Exchange"
	adapterCall   = "/coordinator/Adapter"
	allowanceCall = "/coordinator/Allowance"
	poolCall      = "/coordinator/Pot"
)

// dialTimeout limits the time to connect to another host.
const dialTimeout = 300 * time.Millisecond

// UnknownCallError reports a call to a method that this version does not implement.
type UnknownCallError struct{ Call string }

// Error implements error.
func (e *UnknownCallError) Error() string { return "unknown call " + e.Call }

// Service handles the calls of other hosts.
type Service interface {
	Exchange(ctx context.Context, request *ExchangeRequest) *ExchangeReply
	Adapter(ctx context.Context, request *AdapterRequest) *AdapterReply
	Allowance(ctx context.Context, request *AllowanceRequest) *AllowanceReply
	Pool(ctx context.Context, request *PoolRequest) *PoolReply
}

type handler struct{ service Service }

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, call string) error {
	switch call {
	case exchangeCall:
		return answer(stream, h.service.Exchange)
	case adapterCall:
		return answer(stream, h.service.Adapter)
	case allowanceCall:
		return answer(stream, h.service.Allowance)
	case poolCall:
		return answer(stream, h.service.Pool)
	default:
		return &UnknownCallError{Call: call}
	}
}

// answer receives the request of a call and sends its reply.
func answer[In, Out any](stream drpc.Stream, call func(context.Context, *In) *Out) error {
	var request In
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	return stream.MsgSend(call(stream.Context(), &request), encoding{})
}

// Serve handles calls until ctx is done.
func Serve(ctx context.Context, listener net.Listener, service Service) error {
	return drpcserver.New(confine.Handler{Handler: handler{service}}).Serve(ctx, listener)
}

// Client calls other hosts. Calls of one method run one after another on a connection of
// their own, which is replaced when the address changes. A failed call returns a CallError.
// It is safe for concurrent use.
type Client struct {
	exchange, adapter, allowance, pool peerConn
}

// peerConn is a connection to another host. A failed call closes it.
type peerConn struct {
	mu      sync.Mutex
	address string
	conn    *drpcconn.Conn
}

// CallError reports a failed call to another host.
type CallError struct {
	Call, Address string
	Cause         error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%s at %s: %v", e.Call, e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Exchange calls the coordinator at address, an IP:port.
func (c *Client) Exchange(ctx context.Context, address string, request *ExchangeRequest) (*ExchangeReply, error) {
	var reply ExchangeReply
	return &reply, c.exchange.invoke(ctx, address, exchangeCall, request, &reply)
}

// Adapter calls the coordinator at address, an IP:port.
func (c *Client) Adapter(ctx context.Context, address string, request *AdapterRequest) (*AdapterReply, error) {
	var reply AdapterReply
	return &reply, c.adapter.invoke(ctx, address, adapterCall, request, &reply)
}

// Allowance calls the coordinator at address, an IP:port.
func (c *Client) Allowance(ctx context.Context, address string, request *AllowanceRequest) (*AllowanceReply, error) {
	var reply AllowanceReply
	return &reply, c.allowance.invoke(ctx, address, allowanceCall, request, &reply)
}

// Pool calls the pool host at address, an IP:port.
func (c *Client) Pool(ctx context.Context, address string, request *PoolRequest) (*PoolReply, error) {
	var reply PoolReply
	return &reply, c.pool.invoke(ctx, address, poolCall, request, &reply)
}

func (c *peerConn) invoke(ctx context.Context, address, call string, in, out any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.connect(ctx, address); err != nil {
		return &CallError{Call: call, Address: address, Cause: err}
	}
	if err := c.conn.Invoke(ctx, call, encoding{}, in, out); err != nil {
		_ = c.conn.Close() // the error of the call is returned
		c.conn = nil
		return &CallError{Call: call, Address: address, Cause: err}
	}
	return nil
}

func (c *peerConn) connect(ctx context.Context, address string) error {
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
		default:
			if c.address == address {
				return nil
			}
		}
		_ = c.conn.Close() // replaced below
		c.conn = nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c.conn, c.address = drpcconn.New(socket), address
	return nil
}
