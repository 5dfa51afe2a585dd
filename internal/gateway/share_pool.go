package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
)

const (
	// poolExchangeInterval is the minimum interval between exchanges with a pool
	// host; poolExchangeIntervalPerHost lengthens it in large fleets.
	poolExchangeInterval        = 100 * time.Millisecond
	poolExchangeIntervalPerHost = 3 * time.Millisecond
	// poolExchangeTimeout bounds an exchange with a pool host.
	poolExchangeTimeout = 300 * time.Millisecond
)

// poolExchanger exchanges allowances with a pool host while the coordinator is
// unreachable, and keeps the pool when this host is a pool host. It is safe for
// concurrent use.
type poolExchanger struct {
	settings *Settings
	log      logr.Logger
	balances *allowance.Balances
	config   func() *catalog.Config
	client   *coordinator.Client

	mu        sync.Mutex
	pool      *allowance.Pool
	hostCount int
	poolHosts []coordinator.PoolHost
	current   int  // index of the pool host in use
	reached   bool // the last exchange succeeded
}

func newPoolExchanger(settings *Settings, log logr.Logger, balances *allowance.Balances, config func() *catalog.Config, client *coordinator.Client) *poolExchanger {
	return &poolExchanger{settings: settings, log: log, balances: balances, config: config, client: client, pool: allowance.NewPool()}
}

// observePoolHosts stores those of the coordinator's pool hosts that this host uses.
func (p *poolExchanger) observePoolHosts(poolHosts []coordinator.PoolHost, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolHosts, p.current, p.hostCount = coordinator.PoolHostsFor(poolHosts, p.settings.DataCenter), 0, hosts
}

// run makes exchanges until the context ends.
func (p *poolExchanger) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		period := max(poolExchangeInterval, time.Duration(p.hostCount)*poolExchangeIntervalPerHost)
		p.mu.Unlock()
		clock.Sleep(ctx, period)
		p.exchangeOnce(ctx)
	}
}

// exchangeOnce makes one exchange if this host spends from its local share.
func (p *poolExchanger) exchangeOnce(ctx context.Context) {
	config, poolHost := p.config(), p.currentPoolHost()
	if config == nil || poolHost.Address == "" {
		return
	}
	needs := p.balances.PoolNeeds(clock.SinceBoot(), config.Workspaces)
	if len(needs) == 0 {
		return
	}
	reply, err := p.call(ctx, poolHost, &coordinator.PoolRequest{Host: p.settings.Host, Needs: needs})
	if err == nil {
		p.balances.ApplyPoolGrants(clock.SinceBoot(), reply.Grants)
	}
	p.recordResult(poolHost, err)
}

// currentPoolHost returns the pool host to call, the zero value if none is known.
func (p *poolExchanger) currentPoolHost() coordinator.PoolHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.poolHosts) == 0 {
		return coordinator.PoolHost{}
	}
	return p.poolHosts[p.current%len(p.poolHosts)]
}

// recordResult selects the next pool host after a failure. Amounts given to the
// failed one are lost, since it may have received them.
func (p *poolExchanger) recordResult(poolHost coordinator.PoolHost, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.current++
	}
	if reached := err == nil; reached != p.reached || err != nil {
		p.reached = reached
		// The log calls a pool host "steward".
		p.log.Info("Contact with the steward changed.", "steward", poolHost.Address, "reached", reached, "error", errorText(err))
	}
}

func (p *poolExchanger) call(ctx context.Context, poolHost coordinator.PoolHost, request *coordinator.PoolRequest) (*coordinator.PoolReply, error) {
	if poolHost.Address == p.settings.PeerListen {
		return p.settle(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, poolExchangeTimeout)
	defer cancel()
	return p.client.Pool(ctx, poolHost.Address, request)
}

// settle settles the needs of a host with this host's pool.
func (p *poolExchanger) settle(request *coordinator.PoolRequest) *coordinator.PoolReply {
	reply := &coordinator.PoolReply{Grants: map[string]allowance.Grant{}}
	config := p.config()
	if config == nil {
		return reply
	}
	now := clock.SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, need := range request.Needs {
		if workspace := config.Workspaces[name]; workspace != nil && workspace.Limited() {
			reply.Grants[name] = p.pool.Exchange(now, request.Host, workspace, need)
		}
	}
	return reply
}
