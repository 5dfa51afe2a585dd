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

// senderBuffer is the number of orders that can wait for one engine. An order
// that finds it full is not sent.
const senderBuffer = 64

// orderItem is one order and its reservation, with the fencing number.
type orderItem struct {
	order       engine.Order
	reservation Reservation
}

// orderJob is the orders of one commit, to be sent to one engine.
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

// SendWindowExpiredError reports an order that was not sent because its send window had
// passed.
type SendWindowExpiredError struct{}

// Error implements error.
func (e *SendWindowExpiredError) Error() string { return "the send window of the order has passed" }

// OrderSkippedError reports an order that was not sent because the order of its base
// model failed.
type OrderSkippedError struct{}

// Error implements error.
func (e *OrderSkippedError) Error() string { return "the order of the base model failed" }

// performAll commits actions one by one. A failure of one does not stop the
// others, unless the table service is unavailable.
func (m *Manager) performAll(ctx context.Context, doc *config.Document, actions []Action) {
	for _, action := range actions {
		if ctx.Err() != nil || !m.downSince.IsZero() {
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
	m.record(action, revision, err)
	if err != nil {
		m.commitFailed(ctx, plan, err)
		return
	}
	m.committed(plan, revision)
	if len(plan.Orders) > 0 {
		m.dispatch(ctx, plan, revision, started.Add(m.policy.SendWindow))
	}
}

func (m *Manager) bounds(doc *config.Document, action Action) Bounds {
	bounds := Bounds{
		MaxReplicas:   doc.Models[action.Reservation.Model].MaxReplicas,
		Limits:        LimitsOf(doc),
		Now:           m.options.Clock.Now(),
		StartObserved: m.sightings.StartObserved,
	}
	state := m.options.View().Engine(action.Upstream)
	if state != nil && state.Report != nil {
		bounds.Memory = state.Report.MemoryBytes
		bounds.Unreserved = Unreserved(state.Report, m.rows.Upstreams[action.Upstream])
	}
	return bounds
}

// commit commits a plan; after an unknown outcome it reads back who wrote the
// upstream's row last.
func (m *Manager) commit(ctx context.Context, plan *Plan) (uint64, error) {
	revision, err := m.options.Table.Commit(ctx, plan.Conditions, plan.Writes)
	var unknown *platform.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		return revision, err
	}
	row, readErr := m.options.Table.Read(ctx, UpstreamKey(plan.Action.Upstream))
	if readErr != nil {
		// The decision may stand without an order; recovery completes it.
		return 0, err
	}
	decoded, decodeErr := DecodeUpstream(row)
	if decodeErr != nil || decoded.Writer != plan.Writer {
		return 0, err
	}
	return row.Revision, nil
}

func (m *Manager) committed(plan *Plan, revision uint64) {
	rows := m.rows.Clone()
	for _, write := range plan.Writes {
		m.store(rows, platform.Row{Key: write.Key, Value: write.Value, Revision: revision})
	}
	m.setRows(rows)
}

func (m *Manager) store(rows *Rows, row platform.Row) {
	if err := rows.Store(row); err != nil {
		m.lastError = err.Error()
		m.logger.Error(err, "Row cannot be read.", "key", row.Key)
	}
}

func (m *Manager) setRows(rows *Rows) {
	m.rows = rows
	m.sightings.ObserveRows(rows, m.options.Clock.Now())
}

// commitFailed refreshes the rows of a failed commit, or notes an outage.
func (m *Manager) commitFailed(ctx context.Context, plan *Plan, err error) {
	var unavailable *platform.UnavailableError
	if errors.As(err, &unavailable) {
		m.tableDown(err)
		return
	}
	rows := m.rows.Clone()
	for _, condition := range plan.Conditions {
		row, err := m.options.Table.Read(ctx, condition.Key)
		if err != nil {
			m.tableDown(err)
			break
		}
		m.store(rows, row)
	}
	m.setRows(rows)
}

func (m *Manager) tableDown(err error) {
	now := m.options.Clock.Now()
	m.lastError = err.Error()
	m.retryAt = now.Add(outageBackOff)
	m.nextRefresh = m.retryAt
	if m.downSince.IsZero() {
		m.downSince = now
		m.logger.Info("Table service is unavailable.", "error", err.Error())
	}
}

// refresh reads all rows and takes over those that changed.
func (m *Manager) refresh(ctx context.Context) {
	var changed []platform.Row
	for _, prefix := range []string{UpstreamPrefix, ModelPrefix} {
		found, err := m.changedRows(ctx, prefix)
		if err != nil {
			m.tableDown(err)
			return
		}
		changed = append(changed, found...)
	}
	weight, err := m.options.Table.Read(ctx, weightstore.RowKey)
	if err != nil {
		m.tableDown(err)
		return
	}
	if !m.rows.IsCurrent(weight) {
		changed = append(changed, weight)
	}
	m.takeOver(changed)
	m.rowsKnown = true
	if !m.downSince.IsZero() {
		m.logger.Info("Table service is available.")
		m.downSince = time.Time{}
	}
	m.nextRefresh = m.options.Clock.Now().Add(refreshInterval)
}

// takeOver stores changed rows. Without any, the copy stays the same, so that
// what was derived from it stays valid.
func (m *Manager) takeOver(changed []platform.Row) {
	if len(changed) == 0 {
		return
	}
	rows := m.rows.Clone()
	for _, row := range changed {
		m.store(rows, row)
	}
	m.setRows(rows)
}

// changedRows reads the rows of a prefix and returns those that the copy does
// not hold at the same revision.
func (m *Manager) changedRows(ctx context.Context, prefix string) ([]platform.Row, error) {
	var changed []platform.Row
	after := ""
	for {
		page, err := m.options.Table.Range(ctx, prefix, after, rangeLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range page {
			if !m.rows.IsCurrent(row) {
				changed = append(changed, row)
			}
		}
		if len(page) < rangeLimit {
			return changed, nil
		}
		after = page[len(page)-1].Key
	}
}

// dispatch hands the orders of a commit to the engine's sender. One sender per
// engine keeps the orders of this host in the order of their fencing numbers.
func (m *Manager) dispatch(ctx context.Context, plan *Plan, revision uint64, sendBy time.Time) {
	job := orderJob{upstream: plan.Action.Upstream, sendBy: sendBy}
	for _, order := range plan.Orders {
		order.Fence = revision
		reservation, _ := m.rows.Upstreams[job.upstream].Find(Weights{Model: order.Model, Adapter: order.Adapter})
		job.items = append(job.items, orderItem{order: order, reservation: reservation})
	}
	if m.options.Synchronous {
		m.unhandled = append(m.unhandled, m.sendOrders(ctx, job)...)
		return
	}
	sender := m.senders[job.upstream]
	if sender == nil {
		sender = make(chan orderJob, senderBuffer)
		m.senders[job.upstream] = sender
		m.group.Go(func() { m.runSender(ctx, sender) })
	}
	select {
	case sender <- job:
	default:
		m.logger.Info("Too many orders wait for an engine.", "address", job.upstream)
	}
}

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
			m.notify()
		}
	}
}

func (m *Manager) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// sendOrders sends the orders of a job. An adapter's load is not sent when the
// load of its base model may have failed.
func (m *Manager) sendOrders(ctx context.Context, job orderJob) []outcome {
	client := m.options.Client(job.upstream)
	var outcomes []outcome
	failed := false
	for _, item := range job.items {
		var err error = &OrderSkippedError{}
		if !failed {
			err = m.sendOrder(ctx, client, item.order, job.sendBy)
		}
		failed = failed || (err != nil && item.order.Kind == engine.OrderLoad)
		outcomes = append(outcomes, outcome{
			upstream: job.upstream, reservation: item.reservation, err: err, at: m.options.Clock.Now(),
		})
	}
	if m.options.PollNow != nil {
		m.options.PollNow(job.upstream)
	}
	return outcomes
}

// sendOrder sends one order. The time is checked immediately before, because
// this process may have been paused since the commit.
func (m *Manager) sendOrder(ctx context.Context, client OrderSender, order engine.Order, sendBy time.Time) error {
	if m.options.Clock.Now().After(sendBy) {
		return &SendWindowExpiredError{}
	}
	err := client.Order(ctx, order)
	m.metrics.orders.WithLabelValues(order.Kind, orderResult(err)).Inc()
	return err
}

func orderResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case hadNoEffect(err):
		return "refused"
	}
	return "unknown"
}

// hadNoEffect reports whether an order certainly had and will have no effect.
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

// handleOutcomes acts on the results of orders.
func (m *Manager) handleOutcomes(ctx context.Context) {
	outcomes := m.unhandled
	m.unhandled = nil
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

func (m *Manager) handleOutcome(ctx context.Context, o outcome) {
	if o.err == nil {
		m.sightings.OrderAcknowledged(o.upstream, o.reservation, o.at)
		return
	}
	m.logger.Info("Order failed.", "address", o.upstream, "weights", o.reservation.String(), "error", o.err.Error())
	if !hadNoEffect(o.err) {
		return
	}
	if refusedLoads(o.err) {
		m.blocked[o.upstream] = o.at.Add(m.policy.Backoff)
	}
	m.undo(ctx, o)
}

// refusedLoads reports whether an engine is better given no loads for a while.
func refusedLoads(err error) bool {
	var memory *engine.NoMemoryError
	var draining *engine.DrainingError
	var notSent *engine.NotSentError
	return errors.As(err, &memory) || errors.As(err, &draining) || errors.As(err, &notSent)
}

// undo gives back the reservation of a load whose order certainly had no
// effect, and renews an unload that was refused for its fencing number.
func (m *Manager) undo(ctx context.Context, o outcome) {
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
