package coordinator

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// panickingService panics in exchanges of the host "odd".
type panickingService struct{}

func (panickingService) Exchange(_ context.Context, request *ExchangeRequest) *ExchangeReply {
	if request.Host == "odd" {
		panic("exchange")
	}
	return &ExchangeReply{Holder: true}
}

func (panickingService) Adapter(context.Context, *AdapterRequest) *AdapterReply { panic("adapter") }

func (panickingService) Allowance(context.Context, *AllowanceRequest) *AllowanceReply {
	return &AllowanceReply{}
}

func (panickingService) Pool(context.Context, *PoolRequest) *PoolReply { return &PoolReply{} }

// servePeers serves a service and returns its address.
func servePeers(t *testing.T, service Service) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = Serve(ctx, listener, service) // ends with the context
	}()
	t.Cleanup(func() { cancel(); <-served })
	return listener.Addr().String()
}

// Guards against one message of another host that ends the process of the coordinator.
func TestCallThatPanicsFailsAlone(t *testing.T) {
	address := servePeers(t, panickingService{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var client Client
	for range 3 {
		var failed *CallError
		if _, err := client.Exchange(ctx, address, &ExchangeRequest{Host: "odd"}); !errors.As(err, &failed) {
			t.Fatalf("error %v, want a CallError", err)
		}
		if _, err := client.Adapter(ctx, address, &AdapterRequest{}); !errors.As(err, &failed) {
			t.Fatalf("error %v, want a CallError", err)
		}
		if reply, err := client.Exchange(ctx, address, &ExchangeRequest{Host: "h"}); err != nil || !reply.Holder {
			t.Fatalf("reply %+v, %v after a call that panicked", reply, err)
		}
	}
}

// Guards against bytes on the peer port that end the process or the service of others.
func TestBytesThatAreNoCall(t *testing.T) {
	address := servePeers(t, panickingService{})
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\xff\xfe\x01", string(bytes.Repeat([]byte{0x01}, 4096))} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var client Client
	if _, err := client.Exchange(ctx, address, &ExchangeRequest{Host: "h"}); err != nil {
		t.Error(err)
	}
}

// FuzzUnmarshal guards against a message of another host that ends the process.
func FuzzUnmarshal(f *testing.F) {
	for _, message := range []any{&ExchangeRequest{Host: "h", Demand: []ModelDemand{{Waiting: 1}}}, largeReply()} {
		data, err := encoding{}.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request ExchangeRequest
		if encoding.Unmarshal(encoding{}, data, &request) == nil {
			c, _ := newIdleCoordinator()
			c.Exchange(1, &request)
			c.Exchange(1, &ExchangeRequest{Host: request.Host})
		}
		var reply ExchangeReply
		_ = encoding.Unmarshal(encoding{}, data, &reply) // an error is expected for most data
	})
}
