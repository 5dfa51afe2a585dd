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
)

// Names of the calls.
const (
	exchangeCall = "/coordinator/Exchange"
	adapterCall  = "/coordinator/Adapter"
	potCall      = "/coordinator/Pot"
)

// dialTimeout bounds a connection to another host.
const dialTimeout = 300 * time.Millisecond

// UnknownCallError reports a call that this version does not know.
type UnknownCallError struct{ Call string }

// Error implements error.
func (e *UnknownCallError) Error() string { return "unknown call " + e.Call }

// Service answers the calls of other hosts.
type Service interface {
	Exchange(ctx context.Context, request *ExchangeRequest) *ExchangeReply
	Adapter(ctx context.Context, request *AdapterRequest) *AdapterReply
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
	case potCall:
		return answer(stream, h.service.Pool)
	default:
		return &UnknownCallError{Call: call}
	}
}

// answer reads a request and sends the reply of a call.
func answer[In, Out any](stream drpc.Stream, call func(context.Context, *In) *Out) error {
	var request In
	if err := stream.MsgRecv(&request, encoding{}); err != nil {
		return err
	}
	return stream.MsgSend(call(stream.Context(), &request), encoding{})
}

// Serve answers calls until the context ends.
func Serve(ctx context.Context, listener net.Listener, service Service) error {
	return drpcserver.New(handler{service}).Serve(ctx, listener)
}

// Client calls the coordinator at one address at a time. Calls of one kind are
// made one after another; each kind uses a connection of its own. It is safe for
// concurrent use.
type Client struct {
	exchange, adapter, pot channel
}

// channel is one connection. A failed call closes it.
type channel struct {
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

// Exchange calls the host at IP:port.
func (c *Client) Exchange(ctx context.Context, address string, request *ExchangeRequest) (*ExchangeReply, error) {
	var reply ExchangeReply
	return &reply, c.exchange.invoke(ctx, address, exchangeCall, request, &reply)
}

// Adapter calls the host at IP:port.
func (c *Client) Adapter(ctx context.Context, address string, request *AdapterRequest) (*AdapterReply, error) {
	var reply AdapterReply
	return &reply, c.adapter.invoke(ctx, address, adapterCall, request, &reply)
}

// Pool calls the steward at IP:port.
func (c *Client) Pool(ctx context.Context, address string, request *PoolRequest) (*PoolReply, error) {
	var reply PoolReply
	return &reply, c.pot.invoke(ctx, address, potCall, request, &reply)
}

func (c *channel) invoke(ctx context.Context, address, call string, in, out any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.connect(ctx, address); err != nil {
		return &CallError{Call: call, Address: address, Cause: err}
	}
	if err := c.conn.Invoke(ctx, call, encoding{}, in, out); err != nil {
		_ = c.conn.Close() // the failure of the call is reported
		c.conn = nil
		return &CallError{Call: call, Address: address, Cause: err}
	}
	return nil
}

func (c *channel) connect(ctx context.Context, address string) error {
	if c.conn != nil {
		select {
		case <-c.conn.Closed():
		default:
			if c.address == address {
				return nil
			}
		}
		_ = c.conn.Close() // it is replaced
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
