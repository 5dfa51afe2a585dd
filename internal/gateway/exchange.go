package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	// exchangeInterval is the interval between exchanges with the coordinator;
	// busyExchangeInterval applies while requests wait for a model or an allowance.
	exchangeInterval     = 200 * time.Millisecond
	busyExchangeInterval = 80 * time.Millisecond
	// All hosts call the same coordinator, so the intervals grow with the number of
	// hosts, up to maxExchangeInterval and maxBusyExchangeInterval: a host without an
	// exchange for longer spends from its local share.
	exchangeIntervalPerHost     = 6 * time.Millisecond
	maxExchangeInterval         = 400 * time.Millisecond
	busyExchangeIntervalPerHost = 2500 * time.Microsecond
	maxBusyExchangeInterval     = 250 * time.Millisecond
	// minExchangeGap is the minimum time between two exchanges.
	minExchangeGap = 40 * time.Millisecond
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 500 * time.Millisecond
	// reachedTimeout is how long after an exchange the coordinator counts as
	// reachable.
	reachedTimeout = 700 * time.Millisecond
	// maxRelayAge is the age of a relayed table beyond which this host reads the
	// table service itself.
	maxRelayAge = 1600 * time.Millisecond
	// relayConfirmations divides the key confirmation period: a relayed table whose
	// last confirmation is older than one part does not count as confirmed.
	relayConfirmations = 3
	// departTimeout bounds the last exchange of a host that stops; the shutdown timeout may
	// be over soon.
	departTimeout = 150 * time.Millisecond
)

// exchanger exchanges state with the coordinator on behalf of this host, and serves
// other hosts' calls. It is safe for concurrent use.
type exchanger struct {
	settings      *Settings
	log           logr.Logger
	elector       *lease.Elector
	coordinator   *coordinator.Coordinator
	client        coordinator.Client
	config        *configuration
	registry      *Registry
	demand        *demandTracker
	balances      *allowance.Balances
	poolExchanger *poolExchanger
	retryBudget   *RetryBudget
	quarantine    *requestQuarantine
	slots         *slotQueue

	replicas     map[string]*table.Replica // by table name
	wake         chan struct{}
	reachedAt    atomic.Int64 // end of the last exchange, on the boot clock; 0: the coordinator is lost
	lastResponse atomic.Int64 // likewise, kept when the coordinator is lost
	contactSince atomic.Int64 // first response of the current coordinator, on the boot clock
	epoch        atomic.Int64 // of the coordinator that responded last
	relayedAt    atomic.Int64 // end of the last exchange that confirmed all replicas, on the boot clock
	hostCount    atomic.Int64
	acquiredAt   atomic.Int64 // when this host acquired the lease last, on the boot clock
	configWanted atomic.Bool  // the coordinator lacks this host's version of the configuration
	adapterCalls adapterCallGroup

	allowanceWake chan struct{} // requests wait for a grant
}

// Reached reports whether the coordinator responded within reachedTimeout.
func (e *exchanger) Reached() bool {
	at := e.reachedAt.Load()
	return at != 0 && clock.SinceBoot()-time.Duration(at) < reachedTimeout
}

// Relayed reports whether the coordinator keeps this host's replicas up to date.
func (e *exchanger) Relayed() bool {
	at := e.relayedAt.Load()
	return at != 0 && clock.SinceBoot()-time.Duration(at) < reachedTimeout && !e.elector.Held()
}

// exchangeSoon triggers an exchange before the interval has passed.
func (e *exchanger) exchangeSoon() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run makes exchanges until the context ends.
func (e *exchanger) run(ctx context.Context) {
	reached := false
	for ctx.Err() == nil {
		started := time.Now()
		err := confine.Call("exchange with the coordinator", func() error { return e.exchangeOnce(ctx) })
		if err == nil != reached && ctx.Err() == nil {
			reached = err == nil
			e.log.Info("Coordinator contact changed.", "reached", reached, "coordinator", e.elector.Coordinator().Holder,
				"epoch", e.elector.Coordinator().Epoch, "error", errorText(err))
		}
		e.waitForNext(ctx, started)
	}
}

func (e *exchanger) waitForNext(ctx context.Context, started time.Time) {
	period := exchangeIntervalFor(int(e.hostCount.Load()), e.demand.hasWaiting() || e.slots.contended())
	timer := time.NewTimer(period - min(period, time.Since(started)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
		clock.Sleep(ctx, max(minExchangeGap, exchangeIntervalFor(int(e.hostCount.Load()), true)/2))
	}
}

// exchangeIntervalFor returns the interval between exchanges in a fleet of hosts.
// waiting reports whether requests wait for the result.
func exchangeIntervalFor(hosts int, waiting bool) time.Duration {
	if waiting {
		return max(busyExchangeInterval, min(time.Duration(hosts)*busyExchangeIntervalPerHost, maxBusyExchangeInterval))
	}
	return max(exchangeInterval, min(time.Duration(hosts)*exchangeIntervalPerHost, maxExchangeInterval))
}

// exchangeOnce makes one exchange. It returns a NoCoordinatorError if the called host
// does not hold the lease.
func (e *exchanger) exchangeOnce(ctx context.Context) error {
	requestedAt := clock.SinceBoot()
	report := e.quarantine.report()
	request := e.newRequest(report)
	reply, err := e.call(ctx, request)
	if err != nil {
		return err
	}
	if !reply.Holder {
		e.reachedAt.Store(0)
		e.elector.PollSoon()
		return &NoCoordinatorError{Host: e.elector.Coordinator().Holder}
	}
	now := clock.SinceBoot()
	e.recordResponse(now, reply.Epoch)
	e.elector.Observe(lease.Report{
		Position: table.Position{Generation: reply.Generation, Revision: reply.Revision}, Epoch: reply.Epoch,
		ValidFor: time.Duration(reply.ValidForMS) * time.Millisecond,
	})
	e.hostCount.Store(int64(reply.Hosts))
	e.retryBudget.SetHosts(reply.Hosts)
	if reply.HandingOver {
		e.elector.PollSoon()
	}
	e.applyTables(reply, requestedAt, now)
	e.applyConfig(reply)
	e.demand.observeEstimates(time.Now(), reply.Estimates)
	e.registry.ApplyExchange(reply)
	e.registry.cold.applyReply(reply, requestedAt)
	e.slots.applyNews(reply)
	if e.quarantine.apply(report, reply) {
		e.exchangeSoon()
	}
	if config := e.config.current.Load(); config != nil {
		e.balances.Apply(now, allowance.Shares(config.Workspaces, reply.Hosts), reply.Grants)
	}
	e.poolExchanger.observePoolHosts(reply.PoolHosts, reply.Hosts)
	return nil
}

// depart tells the coordinator that this host has stopped, so that its shares of the
// allowances are not withheld until they are no longer valid.
func (e *exchanger) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	request := &coordinator.ExchangeRequest{Host: e.settings.Host, DataCenter: e.settings.DataCenter, Address: e.settings.PeerListen, Departed: true}
	if _, err := e.call(ctx, request); err != nil {
		e.log.Info("Coordinator not told of the stop.", "coordinator", e.elector.Coordinator().Holder, "error", err.Error())
	}
}

// applyTables applies the table updates that the coordinator relays.
func (e *exchanger) applyTables(reply *coordinator.ExchangeReply, requestedAt, now time.Duration) {
	if e.elector.Held() {
		return
	}
	confirmed := true
	maxAge := min(maxRelayAge, e.settings.keyConfirmationFraction(relayConfirmations))
	for name, replica := range e.replicas {
		update, ok := reply.Tables[name]
		// A replica may be ahead of the coordinator's because this host read the
		// table service itself. It counts as confirmed too, or this host would go on
		// reading.
		// One of another generation does not: this host has to read the table service then.
		replica.ApplyUpdate(update, requestedAt)
		fresh := update.Revision >= 0 && !update.Partial && time.Duration(update.AgeMS)*time.Millisecond < maxAge &&
			update.Generation == replica.Position().Generation
		confirmed = ok && fresh && confirmed
	}
	if confirmed {
		e.relayedAt.Store(int64(now))
	}
}

func (e *exchanger) newRequest(report quarantineReport) *coordinator.ExchangeRequest {
	epoch, version := e.registry.ViewVersion()
	paces, paceVersion := e.registry.takePaces()
	request := &coordinator.ExchangeRequest{
		Host: e.settings.Host, DataCenter: e.settings.DataCenter, Address: e.settings.PeerListen, Large: e.settings.isLarge(),
		Epoch: epoch, ViewVersion: version,
		Demand: e.demand.takeDemand(time.Now()), Running: e.registry.RunningCounts(),
		Unreachable: e.registry.Unreachable(), SuspectedUpstreams: e.registry.SuspectedUpstreams(), Tables: map[string]int64{},
		LostRuns: report.lost, Answered: report.answered, Quarantines: report.quarantines, EvidenceVersion: report.evidence,
		TrialsWanted: report.wanted, Trials: report.trials,
		Leaving: e.registry.leavingReport(), Paused: e.registry.pausedReport(),
		Paces: paces, PaceVersion: paceVersion,
	}
	e.slots.report(request)
	e.reportConfig(request)
	request.Generations = map[string]int64{}
	for name, replica := range e.replicas {
		position := replica.Position()
		request.Tables[name], request.Generations[name] = position.Revision, position.Generation
	}
	if config := e.config.current.Load(); config != nil && config.LimitsCold() {
		e.registry.fillCold(request)
	}
	if config := e.config.current.Load(); config != nil {
		request.Needs = e.balances.Needs(clock.SinceBoot(), config.Workspaces)
	}
	return request
}

func (e *exchanger) call(ctx context.Context, request *coordinator.ExchangeRequest) (*coordinator.ExchangeReply, error) {
	record := e.elector.Coordinator()
	if record.Holder == e.settings.Host {
		return e.Exchange(ctx, request), nil
	}
	if record.Address == "" {
		return nil, &NoCoordinatorError{}
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return e.client.Exchange(ctx, record.Address, request)
}

// Exchange implements coordinator.Service.
func (e *exchanger) Exchange(_ context.Context, request *coordinator.ExchangeRequest) *coordinator.ExchangeReply {
	reply := e.coordinator.Exchange(e.elector.Coordinator().Epoch, request)
	reply.HandingOver = e.elector.Closing()
	if reply.Holder {
		e.exchangeConfig(request, reply)
	}
	if reply.Holder && request.Host != e.settings.Host {
		reply.Tables = map[string]table.Update{}
		for name, revision := range request.Tables {
			if replica := e.replicas[name]; replica != nil {
				reply.Tables[name] = replica.Since(table.Position{Generation: request.Generations[name], Revision: revision})
			}
		}
	}
	return reply
}

// Adapter implements coordinator.Service.
func (e *exchanger) Adapter(ctx context.Context, request *coordinator.AdapterRequest) *coordinator.AdapterReply {
	return e.coordinator.Adapter(ctx, request)
}

// Allowance implements coordinator.Service.
func (e *exchanger) Allowance(_ context.Context, request *coordinator.AllowanceRequest) *coordinator.AllowanceReply {
	return e.coordinator.Allowance(request)
}

// Pool implements coordinator.Service.
func (e *exchanger) Pool(_ context.Context, request *coordinator.PoolRequest) *coordinator.PoolReply {
	return e.poolExchanger.settle(request)
}

// NoCoordinatorError reports that no coordinator is known. Host is the host that was
// called and does not hold the lease; "" if none was called.
type NoCoordinatorError struct{ Host string }

// Error implements error.
func (e *NoCoordinatorError) Error() string { return "no coordinator; last host called: " + e.Host }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
