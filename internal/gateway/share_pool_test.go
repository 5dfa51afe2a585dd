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

// newDisconnectedHost returns a host that lost the coordinator a second ago.
func newDisconnectedHost(t *testing.T, name, address string) *poolExchanger {
	t.Helper()
	balances := allowance.NewBalances()
	balances.Apply(clock.SinceBoot()-time.Second, map[string]float64{"w": poolShare}, nil)
	settings := &Settings{Host: name, DataCenter: "z1", PeerListen: address}
	return newPoolExchanger(settings, logr.Discard(), balances, poolConfig, &coordinator.Client{})
}

// servePoolHost starts a pool host and returns its address.
func servePoolHost(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- coordinator.Serve(ctx, listener, &exchanger{poolExchanger: newDisconnectedHost(t, "pool-host", address)})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return address
}

// served reports whether the last of several hosts can pay a request of poolCost
// after some exchanges of all of them.
func served(hosts []*poolExchanger) bool {
	last := hosts[len(hosts)-1].balances
	now := clock.SinceBoot()
	_, done := last.AddPending(now, poolWorkspace, poolCost)
	defer done()
	for range 2 {
		for _, host := range hosts {
			host.exchangeOnce(context.Background())
		}
	}
	return last.Take(clock.SinceBoot(), poolWorkspace, poolCost, minGrantWait) == allowance.Taken
}

// A request that costs more than one host's share is paid from the shares of all
// hosts that have lost the coordinator (tokachi grown trouble-3).
func TestPoolCoversRequestLargerThanShare(t *testing.T) {
	poolHost := coordinator.PoolHost{Address: servePoolHost(t), DataCenter: "z1"}
	var hosts []*poolExchanger
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		host := newDisconnectedHost(t, name, name+":1")
		host.observePoolHosts([]coordinator.PoolHost{poolHost}, 6)
		hosts = append(hosts, host)
	}
	if !served(hosts) {
		t.Error("refused although the shares of all hosts cover the cost")
	}
	if served(hosts) {
		t.Error("a second request was paid from spent shares")
	}
}

// A host that does not reach the first pool host uses the one in its own data centre.
func TestNextPoolHostAfterFailure(t *testing.T) {
	poolHosts := []coordinator.PoolHost{
		{Address: "127.0.0.1:1", DataCenter: "z2"}, // nothing listens here
		{Address: "127.0.0.1:2", DataCenter: "z3"},
		{Address: servePoolHost(t), DataCenter: "z1"},
	}
	host := newDisconnectedHost(t, "a", "a:1")
	host.observePoolHosts(poolHosts, 6)
	host.exchangeOnce(context.Background())
	host.exchangeOnce(context.Background())
	if got := host.currentPoolHost(); got != poolHosts[2] || !host.reached {
		t.Errorf("pool host %+v, reached: %v", got, host.reached)
	}
}

// A host that reaches the coordinator gives nothing to a pool.
func TestConnectedHostKeepsItsBalance(t *testing.T) {
	host := newDisconnectedHost(t, "a", "a:1")
	host.balances.Apply(clock.SinceBoot(), map[string]float64{"w": poolShare}, map[string]allowance.Grant{"w": {Amount: poolCost}})
	host.observePoolHosts([]coordinator.PoolHost{{Address: servePoolHost(t), DataCenter: "z1"}}, 6)
	host.exchangeOnce(context.Background())
	if host.balances.Take(clock.SinceBoot(), poolWorkspace, poolCost, minGrantWait) != allowance.Taken {
		t.Error("the balance was given to the pool")
	}
}
