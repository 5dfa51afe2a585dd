package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/lease"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	// exchangeEvery is the period of exchanges with the coordinator;
	// exchangeBusy applies while requests wait for a model or an allowance.
	exchangeEvery = 200 * time.Millisecond
	exchangeBusy  = 80 * time.Millisecond
	// exchangePerHost and busyPerHost stretch the periods in large fleets, as all
	// hosts ask the same coordinator, up to exchangeSlow and busySlow: hosts that
	// are not heard for longer live on their shares.
	exchangePerHost = 6 * time.Millisecond
	exchangeSlow    = 400 * time.Millisecond
	busyPerHost     = 2500 * time.Microsecond
	busySlow        = 250 * time.Millisecond
	// exchangeGap is the least time between two exchanges.
	exchangeGap = 40 * time.Millisecond
	// exchangeTimeout bounds an exchange.
	exchangeTimeout = 500 * time.Millisecond
	// reachedFor is how long the coordinator counts as reached.
	reachedFor = 700 * time.Millisecond
	// relayAge is the age of a relayed table from which this host asks the
	// table service itself.
	relayAge = 1600 * time.Millisecond
	// relayParts is the part of the bound for keys beyond which a relayed
	// confirmation is too old: one in so many.
	relayParts = 3
	// adapterTimeout bounds the call for an adapter.
	adapterTimeout = 900 * time.Millisecond
)

// exchanger talks to the coordinator on behalf of this host. It is safe for
// concurrent use.
type exchanger struct {
	settings    *Settings
	log         logr.Logger
	keeper      *lease.Elector
	coordinator *coordinator.Coordinator
	client      coordinator.Client
	config      func() *catalog.Config
	directory   *Registry
	waiting     *waitingBook
	bank        *allowance.Balances
	pooling     *pooling
	budget      *RetryBudget
	crashes     *crashBook

	replicas map[string]*table.Replica // by table
	wake     chan struct{}
	reached  atomic.Int64 // end of the last exchange, on the boot clock
	relayed  atomic.Int64 // end of the last exchange that confirmed all replicas
	hosts    atomic.Int64
	adapters adapterCalls
}

// Reached reports whether the coordinator answers.
func (e *exchanger) Reached() bool {
	at := e.reached.Load()
	return at != 0 && clock.SinceBoot()-time.Duration(at) < reachedFor
}

// Relayed reports whether the coordinator keeps this host's replicas up to date.
func (e *exchanger) Relayed() bool {
	at := e.relayed.Load()
	return at != 0 && clock.SinceBoot()-time.Duration(at) < reachedFor && !e.keeper.Held()
}

// hurry makes the next exchange happen soon.
func (e *exchanger) hurry() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run exchanges until the context ends.
func (e *exchanger) run(ctx context.Context) {
	connected := false
	for ctx.Err() == nil {
		begun := time.Now()
		err := e.once(ctx)
		if err == nil != connected && ctx.Err() == nil {
			connected = err == nil
			e.log.Info("Coordinator contact changed.", "reached", connected, "coordinator", e.keeper.Coordinator().Holder,
				"epoch", e.keeper.Coordinator().Epoch, "error", errorText(err))
		}
		e.pause(ctx, begun)
	}
}

func (e *exchanger) pause(ctx context.Context, begun time.Time) {
	period := exchangePeriod(int(e.hosts.Load()), e.waiting.any())
	timer := time.NewTimer(period - min(period, time.Since(begun)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
		clock.Sleep(ctx, max(exchangeGap, exchangePeriod(int(e.hosts.Load()), true)/2))
	}
}

// exchangePeriod returns the time between two exchanges in a fleet of hosts.
// Waiting says that requests wait for an answer.
func exchangePeriod(hosts int, waiting bool) time.Duration {
	if waiting {
		return max(exchangeBusy, min(time.Duration(hosts)*busyPerHost, busySlow))
	}
	return max(exchangeEvery, min(time.Duration(hosts)*exchangePerHost, exchangeSlow))
}

// once makes one exchange.
func (e *exchanger) once(ctx context.Context) error {
	asked := clock.SinceBoot()
	request := e.request()
	reply, err := e.call(ctx, request)
	if err != nil {
		return err
	}
	if !reply.Holder {
		e.reached.Store(0)
		e.keeper.PollSoon()
		return &NoCoordinatorError{Host: e.keeper.Coordinator().Holder}
	}
	now := clock.SinceBoot()
	e.reached.Store(int64(now))
	e.keeper.Observe(reply.Revision, time.Duration(reply.ValidForMS)*time.Millisecond)
	e.hosts.Store(int64(reply.Hosts))
	e.budget.SetHosts(reply.Hosts)
	if reply.HandingOver {
		e.keeper.PollSoon()
	}
	e.acceptTables(reply, asked, now)
	e.waiting.hear(time.Now(), reply.Estimates)
	e.directory.ApplyExchange(reply)
	e.crashes.apply(reply.Quarantined)
	if config := e.config(); config != nil {
		e.bank.Apply(now, allowance.Shares(config.Workspaces, reply.Hosts), reply.Grants)
	}
	e.pooling.hear(reply.PoolHosts, reply.Hosts)
	return nil
}

// acceptTables takes over the tables that the coordinator relays.
func (e *exchanger) acceptTables(reply *coordinator.ExchangeReply, asked, now time.Duration) {
	if e.keeper.Held() {
		return
	}
	confirmed := true
	oldest := min(relayAge, e.settings.partOfBound(relayParts))
	for name, replica := range e.replicas {
		update, ok := reply.Tables[name]
		// A replica that is ahead, because this host asked the table service
		// itself, needs no further call either.
		replica.ApplyUpdate(update, asked)
		fresh := update.Revision >= 0 && !update.Partial && time.Duration(update.AgeMS)*time.Millisecond < oldest
		confirmed = ok && fresh && confirmed
	}
	if confirmed {
		e.relayed.Store(int64(now))
	}
}

func (e *exchanger) request() *coordinator.ExchangeRequest {
	epoch, version := e.directory.ViewVersion()
	request := &coordinator.ExchangeRequest{
		Host: e.settings.Host, DataCenter: e.settings.DataCenter, Address: e.settings.PeerListen, Large: e.settings.large(),
		Epoch: epoch, ViewVersion: version,
		Demand: e.waiting.demand(time.Now()), Running: e.directory.RunningCounts(),
		Unreachable: e.directory.Unreachable(), SuspectedUpstreams: e.directory.SuspectedUpstreams(), Lost: e.crashes.report(time.Now()), Tables: map[string]int64{},
	}
	for name, replica := range e.replicas {
		request.Tables[name] = replica.Revision()
	}
	if config := e.config(); config != nil {
		request.Needs = e.bank.Needs(clock.SinceBoot(), config.Workspaces)
	}
	return request
}

func (e *exchanger) call(ctx context.Context, request *coordinator.ExchangeRequest) (*coordinator.ExchangeReply, error) {
	record := e.keeper.Coordinator()
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
	reply := e.coordinator.Exchange(e.keeper.Coordinator().Epoch, request)
	reply.HandingOver = e.keeper.Closing()
	if reply.Holder && request.Host != e.settings.Host {
		reply.Tables = map[string]table.Update{}
		for name, after := range request.Tables {
			if replica := e.replicas[name]; replica != nil {
				reply.Tables[name] = replica.Since(after)
			}
		}
	}
	return reply
}

// Adapter implements coordinator.Service.
func (e *exchanger) Adapter(ctx context.Context, request *coordinator.AdapterRequest) *coordinator.AdapterReply {
	return e.coordinator.Adapter(ctx, request)
}

// Pool implements coordinator.Service.
func (e *exchanger) Pool(_ context.Context, request *coordinator.PoolRequest) *coordinator.PoolReply {
	return e.pooling.exchange(request)
}

// NoCoordinatorError reports that no host coordinates as far as is known.
type NoCoordinatorError struct{ Host string }

// Error implements error.
func (e *NoCoordinatorError) Error() string { return "no coordinator; asked " + e.Host }

// adapterCalls makes one call at a time for each adapter.
type adapterCalls struct {
	mu      sync.Mutex
	pending map[adapterKey]*adapterCall
}

type adapterKey struct {
	coordinator.ModelKey
	adapter string
}

type adapterCall struct {
	done  chan struct{}
	reply *coordinator.AdapterReply
	err   error
}

// loadAdapter asks the coordinator for an adapter, together with other
// requests for the same one.
func (e *exchanger) loadAdapter(ctx context.Context, key coordinator.ModelKey, adapter string) (*coordinator.AdapterReply, error) {
	id := adapterKey{key, adapter}
	e.adapters.mu.Lock()
	if e.adapters.pending == nil {
		e.adapters.pending = map[adapterKey]*adapterCall{}
	}
	pending := e.adapters.pending[id]
	if pending == nil {
		pending = &adapterCall{done: make(chan struct{})}
		e.adapters.pending[id] = pending
		go e.callAdapter(id, pending)
	}
	e.adapters.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-pending.done:
		return pending.reply, pending.err
	}
}

func (e *exchanger) callAdapter(id adapterKey, pending *adapterCall) {
	ctx, cancel := context.WithTimeout(context.Background(), adapterTimeout)
	defer cancel()
	request := &coordinator.AdapterRequest{Host: e.settings.Host, ModelKey: id.ModelKey, Adapter: id.adapter}
	record := e.keeper.Coordinator()
	if record.Holder == e.settings.Host {
		pending.reply = e.Adapter(ctx, request)
	} else {
		pending.reply, pending.err = e.client.Adapter(ctx, record.Address, request)
	}
	if pending.err == nil && pending.reply.Upstream != "" {
		clock.Sleep(ctx, time.Duration(pending.reply.ReadyInMS)*time.Millisecond)
		e.directory.RecordAdapter(pending.reply.Upstream, id.Model, id.adapter)
	}
	e.adapters.mu.Lock()
	delete(e.adapters.pending, id)
	e.adapters.mu.Unlock()
	close(pending.done)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
