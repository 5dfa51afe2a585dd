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
	// poolEvery is the period of exchanges with a steward, and poolPerHost
	// stretches it in large fleets.
	poolEvery   = 100 * time.Millisecond
	poolPerHost = 3 * time.Millisecond
	// poolTimeout bounds an exchange with a steward.
	poolTimeout = 300 * time.Millisecond
)

// pooling exchanges allowances with a steward while the coordinator is silent,
// and keeps the pot of a steward. It is safe for concurrent use.
type pooling struct {
	settings *Settings
	log      logr.Logger
	bank     *allowance.Balances
	config   func() *catalog.Config
	client   *coordinator.Client

	mu       sync.Mutex
	pot      *allowance.Pool
	hosts    int
	stewards []coordinator.PoolHost
	asked    int  // index of the steward in use
	pooled   bool // the last exchange succeeded
}

func newPooling(settings *Settings, log logr.Logger, bank *allowance.Balances, config func() *catalog.Config, client *coordinator.Client) *pooling {
	return &pooling{settings: settings, log: log, bank: bank, config: config, client: client, pot: allowance.NewPool()}
}

// hear takes over the stewards that the coordinator names: the first one, then
// the one of this data centre.
func (p *pooling) hear(stewards []coordinator.PoolHost, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stewards, p.asked, p.hosts = nil, 0, hosts
	for i, steward := range stewards {
		if i == 0 || steward.DataCenter == p.settings.DataCenter {
			p.stewards = append(p.stewards, steward)
		}
	}
}

// run exchanges until the context ends.
func (p *pooling) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		period := max(poolEvery, time.Duration(p.hosts)*poolPerHost)
		p.mu.Unlock()
		clock.Sleep(ctx, period)
		p.once(ctx)
	}
}

// once makes one exchange if this host lives on its shares.
func (p *pooling) once(ctx context.Context) {
	config, steward := p.config(), p.steward()
	if config == nil || steward.Address == "" {
		return
	}
	needs := p.bank.PoolNeeds(clock.SinceBoot(), config.Workspaces)
	if len(needs) == 0 {
		return
	}
	reply, err := p.call(ctx, steward, &coordinator.PoolRequest{Host: p.settings.Host, Needs: needs})
	if err == nil {
		p.bank.ApplyPoolGrants(clock.SinceBoot(), reply.Grants)
	}
	p.note(steward, err)
}

// steward returns the steward to ask, the zero value if none is known.
func (p *pooling) steward() coordinator.PoolHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.stewards) == 0 {
		return coordinator.PoolHost{}
	}
	return p.stewards[p.asked%len(p.stewards)]
}

// note goes on to the next steward after a failure. What was given to the one
// that failed is lost, since it may have arrived.
func (p *pooling) note(steward coordinator.PoolHost, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.asked++
	}
	if pooled := err == nil; pooled != p.pooled || err != nil {
		p.pooled = pooled
		p.log.Info("Contact with the steward changed.", "steward", steward.Address, "reached", pooled, "error", errorText(err))
	}
}

func (p *pooling) call(ctx context.Context, steward coordinator.PoolHost, request *coordinator.PoolRequest) (*coordinator.PoolReply, error) {
	if steward.Address == p.settings.PeerListen {
		return p.exchange(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, poolTimeout)
	defer cancel()
	return p.client.Pool(ctx, steward.Address, request)
}

// exchange settles the needs of a host with this host's pot.
func (p *pooling) exchange(request *coordinator.PoolRequest) *coordinator.PoolReply {
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
			reply.Grants[name] = p.pot.Exchange(now, request.Host, workspace, need)
		}
	}
	return reply
}
