package coordinator

import (
	"context"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// orderArrival is the time that an order may take to arrive. The lease
	// must be valid for so long when an order is sent.
	orderArrival = 150 * time.Millisecond
	// OrderTimeout bounds an order; engines answer within a few milliseconds.
	// The connection is reset then, so that the order does not arrive later.
	OrderTimeout = 600 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = 400 * time.Millisecond
	// reportLag is how old the content of a report may be.
	reportLag = 110 * time.Millisecond
	// pollEvery is the period of reports while an order is overdue.
	pollEvery = 60 * time.Millisecond
	// unloadTime is the time that an engine takes to unload a model without runs.
	unloadTime = 52 * time.Millisecond
	// overtime is the time, as a multiple of the expected one, after which an
	// order that was accepted counts as lost.
	overtime = 4
	// failurePause is the time for which an engine that failed gets no order.
	failurePause = 700 * time.Millisecond
	// busyPause separates orders to an engine that is busy; it grows to
	// busyPauseLimit while the engine stays so.
	busyPause      = 10 * time.Millisecond
	busyPauseLimit = 60 * time.Millisecond
	// triesPerReport is the number of conflicts after which the report is read.
	triesPerReport = 4
	// unansweredTries bounds the times that one order is given without an answer.
	unansweredTries = 4
	// longLoad is the time of a load from which the adapters of the models that
	// stay are loaded before it begins.
	longLoad = 2 * time.Second
	// unloadWait bounds the wait for an unload, which waits for runs to end.
	unloadWait = 6 * time.Second
)

// carryOut gives an action's orders. Failures leave the engine as it is; the
// planner decides anew.
func (c *Coordinator) carryOut(ctx context.Context, engine *engineState, action *Action) {
	defer c.finish(engine, action)
	if action.Takes >= longLoad {
		c.loadAdaptersAhead(ctx, engine, action)
	}
	for _, model := range action.Unload {
		if !c.unload(ctx, engine, model) {
			return
		}
	}
	c.mu.Lock()
	engine.readyAt = clock.SinceBoot() + action.Takes + reportLag
	c.mu.Unlock()
	c.load(ctx, engine, action)
}

// unload gives an unload. Its end is seen by the next order being accepted,
// which is cheaper than reports.
func (c *Coordinator) unload(ctx context.Context, engine *engineState, model string) bool {
	if _, ok := c.give(ctx, engine, Order{Unload: true, Model: model}); !ok {
		return false
	}
	defer clock.Sleep(ctx, unloadTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	models := cloneModels(engine.holdings.Models)
	delete(models, model)
	engine.holdings.Models = models
	engine.changed = true
	return true
}

func (c *Coordinator) finish(engine *engineState, action *Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine.occupied = false
	engine.loading = nil
	if engine.holdings.Holds(action.Load) {
		engine.loadedAt[action.Load] = clock.SinceBoot()
	}
	engine.changed = true
}

// load gives a load and waits until the engine holds the model. It reports
// whether it does.
func (c *Coordinator) load(ctx context.Context, engine *engineState, action *Action) bool {
	order := Order{Model: action.Load}
	result, ok := c.giveWhenFree(ctx, engine, order)
	if !ok {
		return false
	}
	if result == OrderSatisfied {
		return c.refresh(ctx, engine) && c.holds(engine, order.Model) // a surprise: with which adapters, the report says
	}
	begun := clock.SinceBoot()
	clock.Sleep(ctx, action.Takes+reportLag)
	limit := action.Takes*overtime + time.Second
	for ctx.Err() == nil && clock.SinceBoot()-begun < limit {
		if c.refresh(ctx, engine) && c.holds(engine, order.Model) {
			c.log.Info("Order carried out.", "upstream", engine.upstream.ID, "model", order.Model,
				"took_ms", (clock.SinceBoot() - begun).Milliseconds())
			return true
		}
		clock.Sleep(ctx, pollEvery)
	}
	c.log.Info("Order overdue.", "upstream", engine.upstream.ID, "model", order.Model,
		"after_ms", (clock.SinceBoot() - begun).Milliseconds())
	c.fail(engine)
	return false
}

// holds reports whether the engine is free and holds the model.
func (c *Coordinator) holds(engine *engineState, model string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !engine.holdings.Busy && engine.holdings.Holds(model)
}

// giveWhenFree gives an order, again and again while the engine is still busy
// with the one before or does not answer. The engine takes only one of several
// orders with the same count, so that an unanswered one is given again at once.
func (c *Coordinator) giveWhenFree(ctx context.Context, engine *engineState, order Order) (OrderResult, bool) {
	begun := clock.SinceBoot()
	surprises := c.surprises(engine)
	unanswered := 0
	pause := busyPause
	for tries := 1; ; tries++ {
		result, ok := c.give(ctx, engine, order)
		if result == OrderConflict && tries%triesPerReport == 0 {
			c.refresh(ctx, engine) // it may be busy with an order whose answer was lost
		}
		if result == OrderUnknown {
			unanswered++
		}
		if c.surprises(engine) != surprises {
			return result, ok // the decision is void, unless the order was accepted before
		}
		again := result == OrderConflict || (result == OrderUnknown && unanswered < unansweredTries)
		if ok || !again || clock.SinceBoot()-begun > unloadWait || ctx.Err() != nil {
			return result, ok
		}
		if result == OrderConflict {
			clock.Sleep(ctx, pause)
			pause = min(2*pause, busyPauseLimit)
		}
	}
}

func (c *Coordinator) surprises(engine *engineState) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return engine.surprises
}

// give sends an order and follows up a failure: the report is read, and the
// engine gets no other model for a moment.
func (c *Coordinator) give(ctx context.Context, engine *engineState, order Order) (OrderResult, bool) {
	engine.orders.Lock() // each order relies on the count after the one before
	defer engine.orders.Unlock()
	result, sent := c.send(ctx, engine, order)
	if !sent || result == OrderAccepted || result == OrderSatisfied {
		return result, sent
	}
	if result != OrderConflict || !c.busy(engine) {
		c.read(ctx, engine)
	}
	if order.Adapter == "" {
		c.fail(engine)
	}
	return result, false
}

// send sends an order with the engine's order count, so that an earlier one
// whose answer was lost can't be carried out after it. Sent is false if the
// order did not go out: the lease has ended, or the engine is another one now. Its
// caller holds engine.orders.
func (c *Coordinator) send(ctx context.Context, engine *engineState, order Order) (result OrderResult, sent bool) {
	fence, ok := c.lease.MayOrder(orderArrival)
	if !ok {
		return OrderRejected, false
	}
	c.mu.Lock()
	if c.fleet[engine.upstream.ID] != engine {
		c.mu.Unlock()
		return OrderRejected, false // decided in an earlier term, or for an earlier process
	}
	upstream := engine.upstream
	order.AfterSeq, order.Holder, order.Fence = engine.holdings.OrderSeq, c.host, fence
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	result, err := c.engines.Order(ctx, upstream, order)
	c.note(engine, order, result)
	c.log.Info("Order given.", "upstream", upstream.ID, "model", order.Model, "adapter", order.Adapter, "unload", order.Unload,
		"after_seq", order.AfterSeq, "fence", fence, "result", result.String(), "error", errorText(err))
	return result, true
}

// note takes over the answer to an order.
func (c *Coordinator) note(engine *engineState, order Order, result OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch result {
	case OrderAccepted:
		engine.accepted()
		engine.holdings.Busy = engine.holdings.Busy || order.Adapter == ""
	case OrderUnknown:
		engine.unsure = append(engine.unsure, unsureOrder{afterSeq: order.AfterSeq, load: loadOf(order), adapter: order.Adapter})
		engine.unsureAt = clock.SinceBoot()
	}
}

// busy reports whether the engine was given an order that may be in progress.
func (c *Coordinator) busy(engine *engineState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return engine.holdings.Busy
}

func loadOf(order Order) string {
	if order.Unload {
		return ""
	}
	return order.Model
}

func (c *Coordinator) fail(engine *engineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine.retryAt = clock.SinceBoot() + failurePause
}

// refresh reads the engine's report. No order is on its way meanwhile: a report that
// counts it before its answer is here would make it count twice.
func (c *Coordinator) refresh(ctx context.Context, engine *engineState) bool {
	engine.orders.Lock()
	defer engine.orders.Unlock()
	return c.read(ctx, engine)
}

// read reads the engine's report. Its caller holds engine.orders.
func (c *Coordinator) read(ctx context.Context, engine *engineState) bool {
	c.mu.Lock()
	upstream := engine.upstream
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holdings, err := c.engines.Report(ctx, upstream)
	if err != nil {
		c.log.V(1).Info("Report not read.", "upstream", upstream.ID, "error", err.Error())
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if engine.known && holdings.OrderSeq < engine.holdings.OrderSeq {
		return false
	}
	if len(holdings.OnDisk) == 0 && len(holdings.InMemory) == 0 {
		holdings.OnDisk, holdings.InMemory = engine.holdings.OnDisk, engine.holdings.InMemory
	}
	engine.learn(holdings)
	engine.changed = true
	return true
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
