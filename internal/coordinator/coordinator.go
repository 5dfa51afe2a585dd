package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coldstart"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	// planInterval is the shortest time between two placement plans. planIntervalPerEngine
	// lengthens it in large fleets, because each plan examines every engine.
	planInterval          = 60 * time.Millisecond
	planIntervalPerEngine = 50 * time.Microsecond
	// viewInterval is the shortest time between two collections of engine changes.
	viewInterval = 20 * time.Millisecond
	// swapOverhead is the time, in addition to the load itself, until a model that replaces
	// another one can serve.
	swapOverhead = 700 * time.Millisecond
	// unreachableQuorum is the number of hosts that must fail to reach an engine before it
	// counts as unreachable.
	unreachableQuorum = 2
	// storeRateWindow is the window over which the rate of loads from the weight store is
	// limited.
	storeRateWindow = 5 * time.Second
)

// Lease reports whether this host may send orders to engines.
type Lease interface {
	// Held reports whether this host holds the lease.
	Held() bool
	// Validity returns the position of the lease row and the remaining validity of the
	// lease.
	Validity() (row table.Position, validFor time.Duration)
	// TimeUntilOrders returns the time until orders may be sent; 0 if they may be sent now.
	TimeUntilOrders() time.Duration
	// MayOrder returns the fencing token and true if an order that takes up to arrival to
	// be delivered may be sent now.
	MayOrder(arrival time.Duration) (fence int64, ok bool)
}

// FleetState provides the configuration and the upstreams that this host follows.
type FleetState interface {
	Config() *catalog.Config // nil until the first configuration is known
	Upstreams() []*catalog.Upstream
	// Paused reports whether an upstream told this host to send nothing now.
	Paused(upstream *catalog.Upstream) bool
	// Evacuated reports whether nothing more is to be sent to the upstreams of a data
	// centre.
	Evacuated(dataCenter string) bool
}

// Coordinator places models, sends orders to engines and answers host exchanges while this
// host holds the lease. It is safe for concurrent use.
type Coordinator struct {
	host       string
	lease      Lease
	fleetState FleetState
	engines    Engines
	log        logr.Logger
	now        func() time.Duration // the boot clock

	mu            sync.Mutex
	ledger        *allowance.Ledger
	demand        *demandTracker
	fleet         map[string]*engineState // by upstream ID
	views         viewLog
	crashReports  *crashReports
	queues        *queueTracker
	paces         *pace.Collector
	activeReports int            // report reads in progress
	notableLoads  []RunningCount // upstreams with notable load, counted over all hosts
	storeStarts   []time.Duration
	estimates     []Estimate
	poolHosts     []PoolHost
	leaving       []Incarnation // upstreams that told a host that they leave
	cold          []coldUntil   // upstreams that a host was told are cold
	coldDivider   *coldstart.Divider
	actions       sync.WaitGroup
}

// New returns a coordinator that is idle until BeginTerm is called.
func New(host string, lease Lease, fleetState FleetState, engines Engines, log logr.Logger) *Coordinator {
	return NewWithClock(host, lease, fleetState, engines, log, clock.SinceBoot)
}

// NewWithClock is New with a function that returns the time since boot.
func NewWithClock(host string, lease Lease, fleetState FleetState, engines Engines, log logr.Logger, now func() time.Duration) *Coordinator {
	c := &Coordinator{host: host, lease: lease, fleetState: fleetState, engines: engines, log: log, now: now}
	c.reset(true, nil)
	return c
}

// BeginTerm resets the state for a new term. first reports that there was no previous
// coordinator; hosts are the hosts to which the previous one assigned shares.
func (c *Coordinator) BeginTerm(first bool, hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset(first, hosts)
}

func (c *Coordinator) reset(first bool, hosts []string) {
	c.ledger = allowance.NewLedger(c.now(), first, hosts)
	c.demand = newDemandTracker()
	c.fleet = map[string]*engineState{}
	c.views = newViewLog()
	c.crashReports = newCrashReports(c.log)
	c.queues = newQueueTracker()
	c.paces = pace.NewCollector()
	c.estimates = nil
	c.poolHosts = nil
	c.leaving, c.cold = nil, nil
	c.coldDivider = coldstart.NewDivider(c.now(), first)
}

// Hosts returns the hosts that may spend from local shares.
func (c *Coordinator) Hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Hosts()
}

// Exchange processes the periodic exchange of a host and returns the reply.
func (c *Coordinator) Exchange(epoch int64, request *ExchangeRequest) *ExchangeReply {
	if !c.lease.Held() {
		return &ExchangeReply{}
	}
	now := c.now()
	config := c.fleetState.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Departed {
		c.ledger.Remove(request.Host)
		c.queues.remove(request.Host)
		c.coldDivider.Depart(request.Host)
		return &ExchangeReply{Holder: true, Epoch: epoch}
	}
	c.ledger.Observe(now, request.Host)
	c.demand.record(now, request)
	c.crashReports.record(now, request)
	c.queues.record(now, request)
	c.queues.expire(now)
	c.recordPaces(now, request)
	for _, id := range request.SuspectedUpstreams {
		if engine := c.fleet[id]; engine != nil && !engine.occupied && now >= engine.nextRecheck {
			engine.suspected = true
		}
	}
	row, validFor := c.lease.Validity()
	reply := &ExchangeReply{
		Holder: true, Epoch: epoch, Revision: row.Revision, Generation: row.Generation, ValidForMS: validFor.Milliseconds(),
		Hosts: len(c.ledger.Hosts()),
	}
	if config != nil {
		reply.Grants = c.grants(now, config, request)
	}
	c.views.refresh(now, c.fleet)
	reply.View = c.views.since(request.Epoch == epoch, request.ViewVersion)
	reply.Estimates = c.estimatesFor(request)
	c.crashReports.reply(now, reply)
	evidenceVersion := int64(0)
	if request.Epoch == epoch {
		evidenceVersion = request.EvidenceVersion
	}
	c.crashReports.replyEvidence(now, evidenceVersion, reply)
	reply.Running = c.demand.excludeHost(request.Host, c.notableLoads)
	c.queues.reply(now, c.demand.rates, request.Host, reply)
	reply.PoolHosts = PoolHostsFor(c.poolHosts, request.DataCenter)
	reply.Leaving = c.leaving
	c.replyCold(now, config, request, reply)
	c.sharePaces(now, request.Epoch == epoch, request.PaceVersion, reply)
	return reply
}

// capacities returns a function that returns the number of concurrent requests of an engine
// and its KV memory in tokens, or 0 for a plain service, which is not part of the fleet and has
// few slots.
func (c *Coordinator) capacities(config *catalog.Config) func(upstream string) (slots, memoryTokens int) {
	return func(upstream string) (slots, memoryTokens int) {
		engine := c.fleet[upstream]
		if engine == nil {
			return 0, 0
		}
		if service := config.Services[engine.upstream.Service]; service != nil && service.Engine != nil {
			memoryTokens = service.Engine.MemoryTokens
		}
		return engine.upstream.Slots, memoryTokens
	}
}

// Allowance grants to a host between its exchanges.
func (c *Coordinator) Allowance(request *AllowanceRequest) *AllowanceReply {
	if !c.lease.Held() {
		return &AllowanceReply{}
	}
	config, now := c.fleetState.Config(), c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &AllowanceReply{Holder: true, Grants: map[string]allowance.Grant{}}
	for name, need := range request.Needs {
		if config == nil {
			break
		}
		if workspace := config.Workspaces[name]; workspace != nil && workspace.Limited() {
			reply.Grants[name] = c.ledger.ExchangePending(now, request.Host, workspace, need)
		}
	}
	return reply
}

func (c *Coordinator) grants(now time.Duration, config *catalog.Config, request *ExchangeRequest) map[string]allowance.Grant {
	grants := map[string]allowance.Grant{}
	for name, need := range request.Needs {
		workspace := config.Workspaces[name]
		if workspace == nil || !workspace.Limited() {
			continue
		}
		grants[name] = c.ledger.Exchange(now, request.Host, workspace, need)
	}
	return grants
}

// Run plans placements and sends orders while this host holds the lease, until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	defer c.actions.Wait()
	for ctx.Err() == nil {
		clock.Sleep(ctx, c.planPeriod())
		if c.lease.Held() {
			c.confined("planning", func() { c.tick(ctx) })
		}
	}
}

// confined calls f and logs a panic in it.
func (c *Coordinator) confined(task string, f func()) {
	err := confine.Call(task, func() error {
		f()
		return nil
	})
	if err != nil {
		c.log.Error(err, "Panic confined.", "task", task)
	}
}

// planPeriod returns the time between two plans.
func (c *Coordinator) planPeriod() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(planInterval, time.Duration(len(c.fleet))*planIntervalPerEngine)
}

func (c *Coordinator) tick(ctx context.Context) {
	config := c.fleetState.Config()
	if config == nil {
		return
	}
	now := c.now()
	upstreams := c.fleetState.Upstreams()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(now)
	c.demand.expire(now)
	c.poolHosts = c.demand.poolHosts(c.host)
	c.leaving = c.demand.leaving()
	c.cold = c.demand.cold()
	c.notableLoads = c.demand.notableLoads(c.capacities(config))
	c.paces.Refresh(now)
	c.syncEngines(now, upstreams, config)
	c.updateReachability()
	c.startReports(ctx, now)
	c.estimates = c.estimates[:0]
	for _, service := range config.Services {
		if service.Engine != nil {
			c.planService(ctx, now, service)
		}
	}
}

// syncEngines updates the fleet from the upstream entries.
func (c *Coordinator) syncEngines(now time.Duration, upstreams []*catalog.Upstream, config *catalog.Config) {
	present := map[string]bool{}
	for _, upstream := range upstreams {
		service := config.Services[upstream.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		present[upstream.ID] = true
		engine := c.fleet[upstream.ID]
		if engine == nil || engine.upstream.StartedMS != upstream.StartedMS {
			engine = newEngineState(upstream)
			c.fleet[upstream.ID] = engine
		} else if engine.upstream != upstream {
			engine.applyEntry(upstream)
		}
		engine.setEvacuated(c.fleetState.Evacuated(upstream.DataCenter))
	}
	for id := range c.fleet {
		if !present[id] {
			delete(c.fleet, id)
			c.views.remove(id)
		}
	}
}

// updateReachability marks the engines that several hosts cannot reach, and those that
// several hosts may send nothing.
func (c *Coordinator) updateReachability() {
	unreachable, paused := c.demand.unreachable(), c.demand.paused()
	needed := min(unreachableQuorum, len(c.demand.hosts))
	for id, engine := range c.fleet {
		engine.paused = paused[id] > 0 && paused[id] >= needed
		down := unreachable[id] > 0 && unreachable[id] >= needed
		if down == engine.unreachable {
			continue
		}
		engine.unreachable = down
		engine.changed = true
		c.log.Info("Engine's reachability changed.", "upstream", id, "down", down, "hosts", unreachable[id])
	}
}

func (c *Coordinator) planService(ctx context.Context, now time.Duration, service *catalog.Service) {
	input := PlanInput{
		Now: now, Service: service, Demand: c.demand.forService(now, service.Name),
		StoreStarts: c.storeLoadBudget(now, service.Engine), Prefetch: true,
	}
	c.demandOfEvacuated(service.Name, input.Demand)
	running := c.demand.running()
	for _, engine := range c.fleet {
		if engine.upstream.Service == service.Name {
			view := engine.plannerView(now, running[engine.upstream.ID])
			view.ColdPerS = c.coldRate(now, engine, service)
			view.Pace, _ = c.paces.Pace(now, pace.Incarnation{ID: engine.upstream.ID, StartedMS: engine.upstream.StartedMS})
			input.Engines = append(input.Engines, view)
		}
	}
	if _, ok := c.lease.MayOrder(orderDeliveryTime); ok {
		for _, action := range Plan(input) {
			c.startAction(ctx, now, service, action)
		}
	}
	c.updateEstimates(now, service, input)
}

// storeLoadBudget returns how many loads from the weight store may start now.
func (c *Coordinator) storeLoadBudget(now time.Duration, engine *catalog.Engine) int {
	c.storeStarts = slices.DeleteFunc(c.storeStarts, func(at time.Duration) bool { return now-at > storeRateWindow })
	return int(engine.LoadsPerS*storeRateWindow.Seconds()) - len(c.storeStarts)
}

func (c *Coordinator) startAction(ctx context.Context, now time.Duration, service *catalog.Service, action Action) {
	engine := c.fleet[action.Engine]
	action.contentVersion = engine.contentVersion
	engine.occupied = true
	engine.loading = &action
	engine.readyAt = now + action.LoadTime + swapOverhead
	engine.changed = true
	if action.Source == FromStore {
		c.storeStarts = append(c.storeStarts, now)
	}
	c.log.Info("Placement decided.", "service", service.Name, "upstream", action.Engine, "load", action.Load,
		"unload", action.Unload, "source", action.Source.String(), "reason", action.Reason, "order_seq", engine.holdings.OrderSeq)
	c.actions.Add(1)
	go func() {
		defer c.actions.Done()
		c.confined("placing a model", func() { c.executeAction(ctx, engine, &action) })
	}()
}
