package coordinator

import (
	"context"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
)

const (
	// orderDeliveryTime is the time allowed for the delivery of an order. An order is only
	// sent if the lease remains valid for that time.
	orderDeliveryTime = 150 * time.Millisecond
	// OrderTimeout limits the call of an order; engines answer within a few milliseconds.
	// The connection is reset afterwards, so that the order cannot arrive later.
	OrderTimeout = 600 * time.Millisecond
	// unloadTime is the time that an engine takes to unload a model without running
	// requests.
	unloadTime = 52 * time.Millisecond
	// overdueFactor is the multiple of the expected load time after which an accepted order
	// counts as lost.
	overdueFactor = 4
	// failureBackoff is how long an engine gets no order after a failure.
	failureBackoff = 700 * time.Millisecond
	// minBusyBackoff is the first delay between attempts to send an order to a busy engine.
	// It doubles with each attempt, up to maxBusyBackoff.
	minBusyBackoff = 10 * time.Millisecond
	maxBusyBackoff = 60 * time.Millisecond
	// conflictsPerReport is the number of conflicts after which the report is read again.
	conflictsPerReport = 4
	// maxUnansweredTries limits how often an order is sent without a response.
	maxUnansweredTries = 4
	// longLoadTime is the load time from which adapters of the models that stay are
	// prefetched before the load starts.
	longLoadTime = 2 * time.Second
	// maxUnloadWait limits the wait for an unload. An idle model is dropped in unloadTime,
	// but one with running requests, which hosts have not reported yet, only when these
	// end. Another engine is chosen then.
	maxUnloadWait = 600 * time.Millisecond
)

// executeAction sends the orders of an action. If one fails, the engine stays as it is and
// the planner decides again.
func (c *Coordinator) executeAction(ctx context.Context, engine *engineState, action *Action) {
	defer c.finishAction(engine, action)
	if action.LoadTime >= longLoadTime {
		c.prefetchAdapters(ctx, engine, action)
	}
	for _, model := range action.Unload {
		if !c.unloadModel(ctx, engine, action, model) {
			return
		}
	}
	c.mu.Lock()
	engine.readyAt = c.now() + action.LoadTime + reportLag
	c.mu.Unlock()
	c.loadModel(ctx, engine, action)
}

// unloadModel sends an unload order. It does not wait for reports: the engine accepts the
// next order when the unload is complete.
func (c *Coordinator) unloadModel(ctx context.Context, engine *engineState, action *Action, model string) bool {
	if _, ok := c.issueOrder(ctx, engine, Order{Unload: true, Model: model}, action.contentVersion); !ok {
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

func (c *Coordinator) finishAction(engine *engineState, action *Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine.occupied = false
	engine.loading = nil
	if engine.holdings.Holds(action.Load) {
		engine.loadedAt[action.Load] = c.now()
	}
	engine.changed = true
}

// loadModel sends a load order, waits until the engine holds the model and reports whether
// it does.
func (c *Coordinator) loadModel(ctx context.Context, engine *engineState, action *Action) bool {
	order := Order{Model: action.Load}
	result, ok := c.issueWithRetries(ctx, engine, order, action.contentVersion)
	if !ok {
		return false
	}
	if result == OrderSatisfied {
		return c.refreshReport(ctx, engine) && c.holdsModel(engine, order.Model) // loaded by an unexpected order; the report shows its adapters
	}
	start := c.now()
	clock.Sleep(ctx, action.LoadTime+reportLag)
	limit := action.LoadTime*overdueFactor + time.Second
	for ctx.Err() == nil && c.now()-start < limit && !c.isEvacuated(engine) {
		if c.refreshReport(ctx, engine) && c.holdsModel(engine, order.Model) {
			c.log.Info("Order carried out.", "upstream", engine.id, "model", order.Model,
				"took_ms", (c.now() - start).Milliseconds())
			return true
		}
		clock.Sleep(ctx, reportPollInterval)
	}
	if c.isEvacuated(engine) {
		return false
	}
	c.log.Info("Order overdue.", "upstream", engine.id, "model", order.Model,
		"after_ms", (c.now() - start).Milliseconds())
	c.backOff(engine)
	return false
}

// holdsModel reports whether the engine is free and holds the model.
func (c *Coordinator) holdsModel(engine *engineState, model string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !engine.holdings.Busy && engine.holdings.Holds(model)
}

// issueWithRetries sends an order, and repeats it while the engine is busy with the
// previous one or does not answer. The engine accepts only one of several orders with the
// same count, so an unanswered one can be repeated at once. contentVersion is as in issueOrder.
func (c *Coordinator) issueWithRetries(ctx context.Context, engine *engineState, order Order, contentVersion int) (OrderResult, bool) {
	start := c.now()
	unanswered := 0
	pause := minBusyBackoff
	for tries := 1; ; tries++ {
		result, ok := c.issueOrder(ctx, engine, order, contentVersion)
		if result == OrderConflict && tries%conflictsPerReport == 0 {
			c.refreshReport(ctx, engine) // it may be busy with an order whose response was lost
		}
		if result == OrderUnknown {
			unanswered++
		}
		retry := result == OrderConflict || (result == OrderUnknown && unanswered < maxUnansweredTries)
		if ok || !retry || c.now()-start > maxUnloadWait || ctx.Err() != nil {
			return result, ok
		}
		if result == OrderConflict {
			clock.Sleep(ctx, pause)
			pause = min(2*pause, maxBusyBackoff)
		}
	}
}

// issueOrder sends an order that was decided for a content version of the engine; it sends
// nothing if the version has changed. After a failure it reads the report and, for a model
// order, backs off from the engine.
func (c *Coordinator) issueOrder(ctx context.Context, engine *engineState, order Order, contentVersion int) (OrderResult, bool) {
	engine.orderMu.Lock() // each order expects the count left by the previous one
	defer engine.orderMu.Unlock()
	result, sent := c.sendOrder(ctx, engine, order, contentVersion)
	if !sent || result == OrderAccepted || result == OrderSatisfied {
		return result, sent
	}
	if result != OrderConflict || !c.busy(engine) {
		c.readReport(ctx, engine)
	}
	if order.Adapter == "" {
		c.backOff(engine)
	}
	return result, false
}

// sendOrder sends an order with the engine's order count, so that an earlier order whose
// response was lost cannot be executed after it. sent is false if the order was not sent
// because the lease has ended, the engine has been replaced, or its content has changed since
// the decision. The caller holds engine.orderMu.
func (c *Coordinator) sendOrder(ctx context.Context, engine *engineState, order Order, contentVersion int) (result OrderResult, sent bool) {
	fence, ok := c.lease.MayOrder(orderDeliveryTime)
	if !ok {
		return OrderRejected, false
	}
	c.mu.Lock()
	if c.fleet[engine.upstream.ID] != engine {
		c.mu.Unlock()
		return OrderRejected, false // decided in an earlier term, or for an earlier incarnation
	}
	upstream := engine.upstream
	if c.fleetState.Paused(upstream) || c.fleetState.Evacuated(upstream.DataCenter) {
		c.mu.Unlock()
		return OrderRejected, false // the engine wants nothing from this host now, or its data centre is evacuated
	}
	if engine.contentVersion != contentVersion {
		seq := engine.holdings.OrderSeq
		c.mu.Unlock()
		c.log.Info("Order not given: the engine's content has changed since the decision.", "upstream", upstream.ID,
			"model", order.Model, "adapter", order.Adapter, "unload", order.Unload, "order_seq", seq)
		return OrderRejected, false
	}
	order.AfterSeq, order.Holder, order.Fence = engine.holdings.OrderSeq, c.host, fence
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	result, err := c.engines.Order(ctx, upstream, order)
	c.recordResult(engine, order, result)
	c.log.Info("Order given.", "upstream", upstream.ID, "model", order.Model, "adapter", order.Adapter, "unload", order.Unload,
		"after_seq", order.AfterSeq, "fence", fence, "result", result.String(), "error", errorText(err))
	return result, true
}

// recordResult updates the engine state from the result of an order.
func (c *Coordinator) recordResult(engine *engineState, order Order, result OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch result {
	case OrderAccepted:
		engine.recordAccepted()
		engine.holdings.Busy = engine.holdings.Busy || order.Adapter == ""
	case OrderUnknown:
		engine.unresolved = append(engine.unresolved, unresolvedOrder{afterSeq: order.AfterSeq, load: modelToLoad(order), adapter: order.Adapter})
		engine.unresolvedAt = c.now()
	}
}

// busy reports whether an order to the engine may be in progress.
func (c *Coordinator) busy(engine *engineState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return engine.holdings.Busy
}

func modelToLoad(order Order) string {
	if order.Unload {
		return ""
	}
	return order.Model
}

func (c *Coordinator) backOff(engine *engineState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	engine.retryAt = c.now() + failureBackoff
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
