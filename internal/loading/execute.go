package loading

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// senderBufferSize is the number of jobs that can wait for one engine's sender. The
// orders of a job that finds the buffer full are not sent.
const senderBufferSize = 64

// orderItem is one order, with its fencing token, and its reservation.
type orderItem struct {
	order       engine.Order
	reservation Reservation
}

// orderJob holds the orders of one commit, all for the same engine.
type orderJob struct {
	upstream string
	items    []orderItem
	sendBy   time.Time
}

// outcome is the result of one order.
type outcome struct {
	upstream    string
	reservation Reservation
	err         error
	at          time.Time
}

// SendWindowExpiredError reports an order that was not sent because its send window
// had passed.
type SendWindowExpiredError struct{}

// Error implements error.
func (e *SendWindowExpiredError) Error() string { return "order not sent: its send window has passed" }

// OrderSkippedError reports an order that was not sent because the order of its
// base model failed.
type OrderSkippedError struct{}

// Error implements error.
func (e *OrderSkippedError) Error() string {
	return "order not sent: the order of the base model failed"
}

// performAll performs actions one by one. It continues after a failure unless the
// table service is unavailable.
func (m *Manager) performAll(ctx context.Context, doc *config.Document, actions []Action) {
	for _, action := range actions {
		if ctx.Err() != nil || !m.tableDownSince.IsZero() {
			return
		}
		m.perform(ctx, doc, action)
	}
}

// perform commits one action and hands its orders to the engine's sender.
func (m *Manager) perform(ctx context.Context, doc *config.Document, action Action) {
	m.sequence++
	writer := m.options.Host + "/" + strconv.FormatUint(m.sequence, 10)
	plan, err := NewPlan(m.rows, action, writer, m.bounds(doc, action))
	if err != nil {
		m.metrics.actions.WithLabelValues(string(action.Kind), "not_applicable").Inc()
		return
	}
	started := m.options.Clock.Now()
	revision, err := m.commit(ctx, plan)
	m.recordDecision(action, revision, err)
	if err != nil {
		m.commitFailed(ctx, plan, err)
		return
	}
	m.committed(plan, revision)
	if len(plan.Orders) > 0 {
		m.dispatch(ctx, plan, revision, started.Add(m.policy.SendWindow))
	}
}

// bounds returns the limits for planning an action. Without a report of the
// upstream its memory is unknown (0).
func (m *Manager) bounds(doc *config.Document, action Action) Bounds {
	bounds := Bounds{
		MaxReplicas:   doc.Models[action.Reservation.Model].MaxReplicas,
		Limits:        LimitsOf(doc),
		Now:           m.options.Clock.Now(),
		StartObserved: m.observations.StartObserved,
	}
	state := m.options.View().Engine(action.Upstream)
	if state != nil && state.Report != nil {
		bounds.Memory = state.Report.MemoryBytes
		bounds.Unreserved = Unreserved(state.Report, m.rows.Upstreams[action.Upstream])
	}
	return bounds
}

// commit commits a plan and returns the revision. After an unknown outcome it reads
// the upstream's row to find out whether the plan's commit wrote it last.
func (m *Manager) commit(ctx context.Context, plan *Plan) (uint64, error) {
	revision, err := m.options.Table.Commit(ctx, plan.Conditions, plan.Writes)
	var unknown *platform.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return revision, err
	}
	row, readErr := m.options.Table.Read(ctx, UpstreamKey(plan.Action.Upstream))
	if readErr != nil {
		// If the commit was applied, its order is missing; reconciliation
		// completes the decision.
		return 0, err
	}
	decoded, decodeErr := DecodeUpstream(row)
	if decodeErr != nil || decoded.Writer != plan.Writer {
		return 0, err
	}
	return row.Revision, nil
}

// committed stores the rows that a plan's commit wrote.
func (m *Manager) committed(plan *Plan, revision uint64) {
	rows := m.rows.Clone()
	for _, write := range plan.Writes {
		m.store(rows, platform.Row{Key: write.Key, Value: write.Value, Revision: revision})
	}
	m.setRows(rows)
}

// store adds a row to a copy of the rows. A row that cannot be decoded is logged.
func (m *Manager) store(rows *Rows, row platform.Row) {
	if err := rows.Store(row); err != nil {
		m.lastError = err.Error()
		m.logger.Error(err, "Row cannot be decoded.", "key", row.Key)
	}
}

// setRows makes rows the current copy and records what they show.
func (m *Manager) setRows(rows *Rows) {
	m.rows = rows
	m.observations.ObserveRows(rows, m.options.Clock.Now())
}

// commitFailed reads the rows of a failed commit again, or records an outage of the
// table service.
func (m *Manager) commitFailed(ctx context.Context, plan *Plan, err error) {
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) {
		m.recordOutage(err)
		return
	}
	rows := m.rows.Clone()
	for _, condition := range plan.Conditions {
		row, err := m.options.Table.Read(ctx, condition.Key)
		if err != nil {
			m.recordOutage(err)
			break
		}
		m.store(rows, row)
	}
	m.setRows(rows)
}

// recordOutage postpones calls of the table service after it was unavailable.
func (m *Manager) recordOutage(err error) {
	now := m.options.Clock.Now()
	m.lastError = err.Error()
	m.tableRetryAt = now.Add(outageBackoff)
	m.nextRefresh = m.tableRetryAt
	if m.tableDownSince.IsZero() {
		m.tableDownSince = now
		m.logger.Info("Table service is unavailable.", "error", err.Error())
	}
}

// refresh reads all rows and stores those that changed.
func (m *Manager) refresh(ctx context.Context) {
	var changed []platform.Row
	for _, prefix := range []string{UpstreamPrefix, ModelPrefix} {
		found, err := m.changedRows(ctx, prefix)
		if err != nil {
			m.recordOutage(err)
			return
		}
		changed = append(changed, found...)
	}
	weightStore, err := m.options.Table.Read(ctx, weightstore.RowKey)
	if err != nil {
		m.recordOutage(err)
		return
	}
	if !m.rows.IsCurrent(weightStore) {
		changed = append(changed, weightStore)
	}
	m.applyChanges(changed)
	m.rowsKnown = true
	if !m.tableDownSince.IsZero() {
		m.logger.Info("Table service is available.")
		m.tableDownSince = time.Time{}
	}
	m.nextRefresh = m.options.Clock.Now().Add(refreshInterval)
}

// applyChanges stores changed rows. Without changes the copy stays the same object,
// so that data derived from it, such as the replica index, stays valid.
func (m *Manager) applyChanges(changed []platform.Row) {
	if len(changed) == 0 {
		return
	}
	rows := m.rows.Clone()
	for _, row := range changed {
		m.store(rows, row)
	}
	m.setRows(rows)
}

// changedRows reads the rows of a prefix and returns those whose revision differs
// from the copy's.
func (m *Manager) changedRows(ctx context.Context, prefix string) ([]platform.Row, error) {
	var changed []platform.Row
	after := ""
	for {
		page, err := m.options.Table.Range(ctx, prefix, after, rangePageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			if !m.rows.IsCurrent(row) {
				changed = append(changed, row)
			}
		}
		if len(page) < rangePageSize {
			return changed, nil
		}
		after = page[len(page)-1].Key
	}
}

// dispatch passes the orders of a commit to the engine's sender. One sender per
// engine keeps this host's orders in the sequence of their fencing tokens.
func (m *Manager) dispatch(ctx context.Context, plan *Plan, revision uint64, sendBy time.Time) {
	job := orderJob{upstream: plan.Action.Upstream, sendBy: sendBy}
	for _, order := range plan.Orders {
		order.Fence = revision
		reservation, _ := m.rows.Upstreams[job.upstream].Find(Weights{Model: order.Model, Adapter: order.Adapter})
		job.items = append(job.items, orderItem{order: order, reservation: reservation})
	}
	if m.options.Synchronous {
		m.pendingOutcomes = append(m.pendingOutcomes, m.sendOrders(ctx, job)...)
		return
	}
	sender := m.senders[job.upstream]
	if sender == nil {
		sender = make(chan orderJob, senderBufferSize)
		m.senders[job.upstream] = sender
		m.group.Go(func() { m.runSender(ctx, sender) })
	}
	select {
	case sender <- job:
	default:
		m.logger.Info("Too many orders are waiting for an engine; order not sent.", "address", job.upstream)
	}
}

// runSender sends the orders of jobs until ctx ends.
func (m *Manager) runSender(ctx context.Context, jobs <-chan orderJob) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-jobs:
			outcomes := m.sendOrders(ctx, job)
			select {
			case m.outcomes <- outcomes:
			case <-ctx.Done():
				return
			}
			m.wakeUp()
		}
	}
}

// wakeUp triggers a control step before the current interval ends.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// sendOrders sends the orders of a job and returns their results. It skips the loads
// of adapters if the order to load their base model returned an error.
func (m *Manager) sendOrders(ctx context.Context, job orderJob) []outcome {
	client := m.options.Client(job.upstream)
	var outcomes []outcome
	baseFailed := false
	for _, item := range job.items {
		var err error = &OrderSkippedError{}
		if !baseFailed {
			err = m.sendOrder(ctx, client, item.order, job.sendBy)
		}
		baseFailed = baseFailed || (err != nil && item.order.Kind == engine.OrderLoad)
		outcomes = append(outcomes, outcome{
			upstream: job.upstream, reservation: item.reservation, err: err, at: m.options.Clock.Now(),
		})
	}
	if m.options.PollNow != nil {
		m.options.PollNow(job.upstream)
	}
	return outcomes
}

// sendOrder sends one order. It checks the send window immediately before, because
// this process may have been paused since the commit.
func (m *Manager) sendOrder(ctx context.Context, client OrderSender, order engine.Order, sendBy time.Time) error {
	if m.options.Clock.Now().After(sendBy) {
		return &SendWindowExpiredError{}
	}
	err := client.Order(ctx, order)
	m.metrics.orders.WithLabelValues(order.Kind, orderResult(err)).Inc()
	return err
}

// orderResult returns the metric label for the result of an order.
func orderResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case hadNoEffect(err):
		return "refused"
	}
	return "unknown"
}

// hadNoEffect reports whether an error proves that the order had no effect and will
// have none.
func hadNoEffect(err error) bool {
	var stale *engine.StaleFenceError
	var memory *engine.NoMemoryError
	var draining *engine.DrainingError
	var notSent *engine.NotSentError
	var notLoaded *engine.NotLoadedError
	var late *SendWindowExpiredError
	var skipped *OrderSkippedError
	return errors.As(err, &stale) || errors.As(err, &memory) || errors.As(err, &draining) ||
		errors.As(err, &notSent) || errors.As(err, &notLoaded) ||
		errors.As(err, &late) || errors.As(err, &skipped)
}

// handleOutcomes handles the results of all orders that have completed.
func (m *Manager) handleOutcomes(ctx context.Context) {
	outcomes := m.pendingOutcomes
	m.pendingOutcomes = nil
	for {
		for _, o := range outcomes {
			m.handleOutcome(ctx, o)
		}
		select {
		case outcomes = <-m.outcomes:
		default:
			return
		}
	}
}

// handleOutcome records an acknowledged order, and rolls back the decision of one
// that had no effect. Orders with an unknown effect are left to reconciliation.
func (m *Manager) handleOutcome(ctx context.Context, o outcome) {
	if o.err == nil {
		m.observations.OrderAcknowledged(o.upstream, o.reservation, o.at)
		return
	}
	m.logger.Info("Order failed.", "address", o.upstream, "weights", o.reservation.String(), "error", o.err.Error())
	if !hadNoEffect(o.err) {
		return
	}
	if needsBackoff(o.err) {
		m.blockedUntil[o.upstream] = o.at.Add(m.policy.Backoff)
	}
	m.rollBack(ctx, o)
}

// needsBackoff reports whether an error means that the engine should get no loads
// for the backoff time.
func needsBackoff(err error) bool {
	var memory *engine.NoMemoryError
	var draining *engine.DrainingError
	var notSent *engine.NotSentError
	return errors.As(err, &memory) || errors.As(err, &draining) || errors.As(err, &notSent)
}

// rollBack removes the reservation of a load whose order had no effect, and repeats
// an unload that was refused because of its fencing token.
func (m *Manager) rollBack(ctx context.Context, o outcome) {
	snapshot := m.options.Config()
	current, ok := m.rows.Upstreams[o.upstream].Find(o.reservation.Weights)
	if snapshot == nil || !ok || current != o.reservation {
		return
	}
	var stale *engine.StaleFenceError
	action := Action{Upstream: o.upstream, Reservation: current, Reason: o.err.Error()}
	switch {
	case current.State == StateLoading:
		action.Kind = ActionGone
	case errors.As(o.err, &stale):
		action.Kind = ActionUnload
	default:
		return
	}
	m.perform(ctx, snapshot.Document, action)
}
