package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

const (
	poolShare = 300.0 // units per second of each host
	poolCost  = 1000.0
)

var poolWorkspace = &catalog.Workspace{Name: "w", RatePerS: 20_000, Burst: 20_000, CountTokens: true}

func poolConfig() *catalog.Config {
	config := catalog.NewConfig(1, nil, nil, catalog.Limits{})
	config.AddWorkspace(poolWorkspace, []string{"key"})
	return config
}

// silentHost is a host that has lost the coordinator a second ago.
func silentHost(t *testing.T, name, address string) *pooling {
	t.Helper()
	bank := allowance.NewBalances()
	bank.Apply(clock.SinceBoot()-time.Second, map[string]float64{"w": poolShare}, nil)
	settings := &Settings{Host: name, DataCenter: "z1", PeerListen: address}
	return newPooling(settings, logr.Discard(), bank, poolConfig, &coordinator.Client{})
}

// serveSteward starts a steward and returns its address.
func serveSteward(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- coordinator.Serve(ctx, listener, &exchanger{pooling: silentHost(t, "steward", address)})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return address
}

// served reports whether a request of poolCost is within the allowance of the last
// of several hosts after some exchanges of all of them.
func served(hosts []*pooling) bool {
	last := hosts[len(hosts)-1].bank
	now := clock.SinceBoot()
	_, done := last.AddPending(now, poolWorkspace, poolCost)
	defer done()
	for range 2 {
		for _, host := range hosts {
			host.once(context.Background())
		}
	}
	return last.Take(clock.SinceBoot(), poolWorkspace, poolCost) == allowance.Taken
}

// A request that costs more than one host's share is served from the shares of
// all hosts that have lost the coordinator (tokachi grown trouble-3).
func TestRequestLargerThanTheShare(t *testing.T) {
	steward := coordinator.PoolHost{Address: serveSteward(t), DataCenter: "z1"}
	var hosts []*pooling
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		host := silentHost(t, name, name+":1")
		host.hear([]coordinator.PoolHost{steward}, 6)
		hosts = append(hosts, host)
	}
	if !served(hosts) {
		t.Error("refused, although all hosts together have enough")
	}
	if served(hosts) {
		t.Error("a second request is served from shares that are spent")
	}
}

// Hosts of a data centre that does not reach the first steward go on with their own.
func TestOtherStewardAfterAFailure(t *testing.T) {
	stewards := []coordinator.PoolHost{
		{Address: "127.0.0.1:1", DataCenter: "z2"}, // nobody listens
		{Address: "127.0.0.1:2", DataCenter: "z3"},
		{Address: serveSteward(t), DataCenter: "z1"},
	}
	host := silentHost(t, "a", "a:1")
	host.hear(stewards, 6)
	host.once(context.Background())
	host.once(context.Background())
	if got := host.steward(); got != stewards[2] || !host.pooled {
		t.Errorf("steward %+v, reached: %v", got, host.pooled)
	}
}

// A host that the coordinator answers does not give its stock away.
func TestNoPoolWithCoordinator(t *testing.T) {
	host := silentHost(t, "a", "a:1")
	host.bank.Apply(clock.SinceBoot(), map[string]float64{"w": poolShare}, map[string]allowance.Grant{"w": {Amount: poolCost}})
	host.hear([]coordinator.PoolHost{{Address: serveSteward(t), DataCenter: "z1"}}, 6)
	host.once(context.Background())
	if host.bank.Take(clock.SinceBoot(), poolWorkspace, poolCost) != allowance.Taken {
		t.Error("the stock is gone")
	}
}
