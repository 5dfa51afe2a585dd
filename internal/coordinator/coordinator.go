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
)

const (
	// planEvery is the period of planning, and planPerEngine stretches it in large
	// fleets, as a plan looks at each engine.
	planEvery     = 60 * time.Millisecond
	planPerEngine = 50 * time.Microsecond
	// viewEvery is the shortest period at which changes of engines are collected.
	viewEvery = 20 * time.Millisecond
	// mostReports bounds the reports that are read at a time, so that a new
	// coordinator of a large fleet can answer the hosts meanwhile.
	mostReports = 40
	// swapTime is the time, beside the load itself, until a model that is to
	// replace another one can serve.
	swapTime = 700 * time.Millisecond
	// downHosts is the number of hosts that must not reach an engine before it
	// counts as down.
	downHosts = 2
	// askPause separates two reports of an engine that hosts doubt.
	askPause = 300 * time.Millisecond
	// rateWindow is the window of the weight store's rate.
	rateWindow = 5 * time.Second
	// estimateLimit is the longest time for which a load in the queue of the
	// weight store is announced.
	estimateLimit = 30 * time.Second
)

// Lease tells whether this host may give orders.
type Lease interface {
	Held() bool
	// Validity returns the revision of the lease's row and how long it holds.
	Validity() (revision int64, validFor time.Duration)
	// TimeUntilOrders returns the time until orders may be given.
	TimeUntilOrders() time.Duration
	// MayOrder returns the fencing number if an order may be given that
	// arrives within the time.
	MayOrder(arrival time.Duration) (fence int64, ok bool)
}

// FleetState is what the host follows of the deployment.
type FleetState interface {
	Config() *catalog.Config // nil: none yet
	Upstreams() []*catalog.Upstream
}

// Coordinator does the coordinator's work while this host holds the lease. It
// is safe for concurrent use.
type Coordinator struct {
	host      string
	lease     Lease
	knowledge FleetState
	engines   Engines
	log       logr.Logger

	mu          sync.Mutex
	ledger      *allowance.Ledger
	demand      *demandBook
	fleet       map[string]*engineState // by upstream ID
	views       viewBook
	lostRuns    lostRunBook
	reading     int            // reports that are being read
	loads       []RunningCount // requests worth telling, of all hosts
	storeStarts []time.Duration
	estimates   []Estimate
	stewards    []PoolHost
	actions     sync.WaitGroup
}

// New returns a coordinator that is idle until Take.
func New(host string, lease Lease, knowledge FleetState, engines Engines, log logr.Logger) *Coordinator {
	c := &Coordinator{host: host, lease: lease, knowledge: knowledge, engines: engines, log: log}
	c.reset(true, nil)
	return c
}

// BeginTerm begins a term. First says that there was no coordinator before; hosts
// are those that the last one gave shares to.
func (c *Coordinator) BeginTerm(first bool, hosts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset(first, hosts)
}

func (c *Coordinator) reset(first bool, hosts []string) {
	c.ledger = allowance.NewLedger(clock.SinceBoot(), first, hosts)
	c.demand = newDemandBook()
	c.fleet = map[string]*engineState{}
	c.views = newViewBook()
	c.lostRuns = lostRunBook{}
	c.estimates = nil
	c.stewards = nil
}

// Hosts returns the hosts that may live on shares.
func (c *Coordinator) Hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Hosts()
}

// Exchange answers a host.
func (c *Coordinator) Exchange(epoch int64, request *ExchangeRequest) *ExchangeReply {
	if !c.lease.Held() {
		return &ExchangeReply{}
	}
	now := clock.SinceBoot()
	config := c.knowledge.Config()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Observe(now, request.Host)
	c.demand.note(now, request)
	c.lostRuns.note(now, request.Lost)
	for _, id := range request.SuspectedUpstreams {
		if engine := c.fleet[id]; engine != nil && !engine.occupied && now >= engine.nextAsk {
			engine.doubted = true
		}
	}
	revision, validFor := c.lease.Validity()
	reply := &ExchangeReply{
		Holder: true, Epoch: epoch, Revision: revision, ValidForMS: validFor.Milliseconds(), Hosts: len(c.ledger.Hosts()),
	}
	if config != nil {
		reply.Grants = c.grants(now, config, request)
	}
	c.views.refresh(now, c.fleet)
	reply.View = c.views.since(request.Epoch == epoch, request.ViewVersion)
	reply.Estimates = c.estimatesFor(request)
	reply.Quarantined = c.lostRuns.refused()
	reply.Running = c.demand.others(request.Host, c.loads)
	reply.PoolHosts = c.stewards
	return reply
}

// slots returns the number of requests that an upstream runs at once. Plain
// services are not in the fleet and have few: 0.
func (c *Coordinator) slots(upstream string) int {
	if engine := c.fleet[upstream]; engine != nil {
		return engine.upstream.Slots
	}
	return 0
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

func (c *Coordinator) estimatesFor(request *ExchangeRequest) []Estimate {
	var wanted []Estimate
	for _, estimate := range c.estimates {
		for _, d := range request.Demand {
			if d.ModelKey == estimate.ModelKey {
				wanted = append(wanted, estimate)
			}
		}
	}
	return wanted
}

// Run plans and gives orders while this host holds the lease.
func (c *Coordinator) Run(ctx context.Context) {
	defer c.actions.Wait()
	for ctx.Err() == nil {
		clock.Sleep(ctx, c.planPeriod())
		if c.lease.Held() {
			c.tick(ctx)
		}
	}
}

// planPeriod returns the time between two plans.
func (c *Coordinator) planPeriod() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(planEvery, time.Duration(len(c.fleet))*planPerEngine)
}

func (c *Coordinator) tick(ctx context.Context) {
	config := c.knowledge.Config()
	if config == nil {
		return
	}
	now := clock.SinceBoot()
	upstreams := c.knowledge.Upstreams()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Expire(now)
	c.demand.forget(now)
	c.lostRuns.forget(now)
	c.stewards = c.demand.stewards(c.host)
	c.loads = c.demand.noticed(c.slots)
	c.observe(now, upstreams, config)
	c.noteUnreachable()
	c.ask(ctx, now)
	c.estimates = c.estimates[:0]
	for _, service := range config.Services {
		if service.Engine != nil {
			c.planService(ctx, now, service)
		}
	}
}

// observe takes over the entries of the engines.
func (c *Coordinator) observe(now time.Duration, upstreams []*catalog.Upstream, config *catalog.Config) {
	present := map[string]bool{}
	for _, upstream := range upstreams {
		service := config.Services[upstream.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		present[upstream.ID] = true
		engine := c.fleet[upstream.ID]
		if engine == nil || engine.upstream.StartedMS != upstream.StartedMS {
			c.fleet[upstream.ID] = newEngineState(upstream)
			continue
		}
		if engine.upstream != upstream {
			engine.noteEntry(upstream)
		}
	}
	for id := range c.fleet {
		if !present[id] {
			delete(c.fleet, id)
			c.views.remove(id)
		}
	}
}

// noteUnreachable marks the engines that several hosts do not reach.
func (c *Coordinator) noteUnreachable() {
	counts := c.demand.unreachable()
	needed := min(downHosts, len(c.demand.hosts))
	for id, engine := range c.fleet {
		down := counts[id] > 0 && counts[id] >= needed
		if down == engine.down {
			continue
		}
		engine.down = down
		engine.changed = true
		c.log.Info("Engine's reachability changed.", "upstream", id, "down", down, "hosts", counts[id])
	}
}

// ask reads the reports of engines whose content is not known.
func (c *Coordinator) ask(ctx context.Context, now time.Duration) {
	for _, engine := range c.fleet {
		if c.reading >= mostReports {
			return // the next round comes soon
		}
		if engine.settled() || engine.occupied || engine.asking || engine.upstream.Draining || now < engine.retryAt {
			continue
		}
		engine.asking = true
		c.reading++
		c.actions.Add(1)
		go func() {
			defer c.actions.Done()
			read := c.refresh(ctx, engine)
			c.mu.Lock()
			defer c.mu.Unlock()
			engine.asking = false
			c.reading--
			if engine.doubted {
				engine.doubted = false
				engine.nextAsk = clock.SinceBoot() + askPause
			}
			if !read || !engine.settled() {
				engine.retryAt = clock.SinceBoot() + failurePause
			}
		}()
	}
}

func (c *Coordinator) planService(ctx context.Context, now time.Duration, service *catalog.Service) {
	state := State{
		Now: now, Service: service, Demand: c.demand.of(now, service.Name),
		StoreStarts: c.storeAllowance(now, service.Engine), Prefetch: true,
	}
	running := c.demand.running()
	for _, engine := range c.fleet {
		if engine.upstream.Service == service.Name {
			state.Engines = append(state.Engines, engine.planned(now, running[engine.upstream.ID]))
		}
	}
	if _, ok := c.lease.MayOrder(orderArrival); ok {
		for _, action := range Plan(state) {
			c.begin(ctx, now, service, action)
		}
	}
	c.estimate(now, service, state)
}

// storeAllowance returns how many loads from the weight store may begin now.
func (c *Coordinator) storeAllowance(now time.Duration, engine *catalog.Engine) int {
	c.storeStarts = slices.DeleteFunc(c.storeStarts, func(at time.Duration) bool { return now-at > rateWindow })
	return int(engine.LoadsPerS*rateWindow.Seconds()) - len(c.storeStarts)
}

func (c *Coordinator) begin(ctx context.Context, now time.Duration, service *catalog.Service, action Action) {
	engine := c.fleet[action.Engine]
	engine.occupied = true
	engine.loading = &action
	engine.readyAt = now + action.Takes + swapTime
	engine.changed = true
	if action.Source == FromStore {
		c.storeStarts = append(c.storeStarts, now)
	}
	c.log.Info("Placement decided.", "service", service.Name, "upstream", action.Engine, "load", action.Load,
		"unload", action.Unload, "source", action.Source.String(), "reason", action.Reason, "order_seq", engine.holdings.OrderSeq)
	c.actions.Add(1)
	go func() {
		defer c.actions.Done()
		c.carryOut(ctx, engine, &action)
	}()
}

// estimate says when the models that requests wait for will be ready.
func (c *Coordinator) estimate(now time.Duration, service *catalog.Service, state State) {
	var queued []string
	pause := c.lease.TimeUntilOrders()
	for model, demand := range state.Demand {
		if demand.Waiting == 0 {
			continue
		}
		readyIn, known := c.readyIn(now, service.Name, model)
		if known {
			c.announce(service.Name, model, readyIn)
			continue
		}
		if c.copyExists(service.Name, model) {
			c.announce(service.Name, model, pause+service.Engine.Models[model].LoadDisk+swapTime)
			continue
		}
		queued = append(queued, model)
	}
	slices.SortFunc(queued, func(a, b string) int {
		return int(state.Demand[b].Oldest - state.Demand[a].Oldest)
	})
	for i, model := range queued {
		turn := time.Duration(i/storeLoads+1) * service.Engine.Models[model].Load
		c.announce(service.Name, model, min(pause+turn+swapTime, estimateLimit))
	}
}

func (c *Coordinator) announce(service, model string, in time.Duration) {
	c.estimates = append(c.estimates, Estimate{ModelKey: ModelKey{service, model}, ReadyInMS: int(in.Milliseconds())})
}

func (c *Coordinator) readyIn(now time.Duration, service, model string) (time.Duration, bool) {
	for _, engine := range c.fleet {
		if engine.upstream.Service != service {
			continue
		}
		if engine.ready(model) {
			return 0, true
		}
		if engine.loading != nil && engine.loading.Load == model {
			return max(0, engine.readyAt-now), true
		}
	}
	return 0, false
}

func (c *Coordinator) copyExists(service, model string) bool {
	for _, engine := range c.fleet {
		if engine.upstream.Service == service && !engine.upstream.Draining &&
			(slices.Contains(engine.holdings.OnDisk, model) || slices.Contains(engine.holdings.InMemory, model)) {
			return true
		}
	}
	return false
}
