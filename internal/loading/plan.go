package loading

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	ActionLoad          ActionKind = "load"           // reserve memory and order a load
	ActionUnload        ActionKind = "unload"         // mark as unloading and order the unload
	ActionLoaded        ActionKind = "loaded"         // a report shows the weights as loaded
	ActionGone          ActionKind = "gone"           // the weights are proven not to be in memory
	ActionReleasePermit ActionKind = "release_permit" // release the permit of a load on an unresponsive engine
	ActionAdopt         ActionKind = "adopt"          // reserve weights that a report shows without a reservation
)

// Action is one change of an upstream's reservations.
type Action struct {
	Kind        ActionKind
	Upstream    string
	Reservation Reservation // to add, or to change: as last observed
	// Adapters are loaded together with a base model, in the same commit and
	// with the same fencing token; the engine loads them after the model.
	Adapters []Reservation
	Reason   string // for logs and the state dump
}

// Bounds are the limits that a plan must not exceed.
type Bounds struct {
	Memory        int64 // of the upstream, bytes; 0: unknown, no load is possible
	Unreserved    int64 // bytes that the upstream's report shows in excess of reservations
	MaxReplicas   int
	Limits        weightstore.Limits
	Now           time.Time
	StartObserved func(start uint64) time.Time // first observation of a start in the weight store row
}

// PlanError reports that an action does not apply to the rows or would exceed a
// bound.
type PlanError struct {
	Action Action
	Detail string
}

// Error implements error.
func (e *PlanError) Error() string {
	return fmt.Sprintf("%s of %s on %s: %s", e.Action.Kind, e.Action.Reservation.Weights, e.Action.Upstream, e.Detail)
}

// Plan is a conditional commit and the orders to send once it has succeeded. The
// orders' fencing token is the commit's revision and not yet set.
type Plan struct {
	Action     Action
	Writer     string
	Conditions []platform.Condition
	Writes     []platform.Write
	Orders     []engine.Order
}

// NewPlan returns the commit and orders for an action, or a *PlanError. It checks
// every bound independently of the decision rules, so that a faulty rule cannot
// exceed one. writer identifies the commit in the rows that it writes.
func NewPlan(rows *Rows, action Action, writer string, bounds Bounds) (*Plan, error) {
	p := &planner{
		rows:   rows,
		action: action,
		bounds: bounds,
		row:    rows.Upstreams[action.Upstream],
		plan:   &Plan{Action: action, Writer: writer},
	}
	if err := p.apply(); err != nil {
		return nil, err
	}
	if err := p.write(UpstreamKey(action.Upstream), rows.Upstreams[action.Upstream].Revision, p.row.encode(writer)); err != nil {
		return nil, err
	}
	return p.plan, nil
}

// planner builds a plan. row is the upstream's row with the changes so far.
type planner struct {
	rows   *Rows
	action Action
	bounds Bounds
	row    UpstreamRow
	plan   *Plan
}

func (p *planner) apply() error {
	switch p.action.Kind {
	case ActionLoad, ActionAdopt:
		return p.add()
	}
	current, ok := p.row.Find(p.action.Reservation.Weights)
	if !ok || current != p.action.Reservation {
		return p.fail("the reservation has changed")
	}
	switch p.action.Kind {
	case ActionUnload:
		return p.unload(current)
	case ActionLoaded:
		return p.loaded(current)
	case ActionGone:
		return p.gone(current)
	case ActionReleasePermit:
		return p.releasePermit(current)
	}
	return p.fail("unknown kind")
}

func (p *planner) fail(format string, args ...any) error {
	return &PlanError{Action: p.action, Detail: fmt.Sprintf(format, args...)}
}

// add plans a load, with its adapters, or an adoption.
func (p *planner) add() error {
	if err := p.addReplica(p.action.Reservation); err != nil {
		return err
	}
	weightStore := p.rows.WeightStore
	for _, reservation := range append([]Reservation{p.action.Reservation}, p.action.Adapters...) {
		if err := p.reserve(reservation, &weightStore); err != nil {
			return err
		}
	}
	if len(weightStore.Permits) > len(p.rows.WeightStore.Permits) {
		return p.writeWeightStore(weightStore)
	}
	return nil
}

// reserve adds one reservation to the upstream's row, and the order if it is a load.
func (p *planner) reserve(reservation Reservation, weightStore *weightstore.Row) error {
	if _, ok := p.row.Find(reservation.Weights); ok {
		return p.fail("the weights already have a reservation")
	}
	if p.action.Kind == ActionLoad {
		free := p.bounds.Memory - p.row.Reserved() - p.bounds.Unreserved
		if reservation.Bytes > free {
			return p.fail("needs %d bytes, but %d are free", reservation.Bytes, free)
		}
		reservation.State = StateLoading
		reservation.Permit = needsPermit(reservation)
		if err := p.acquirePermit(reservation, weightStore); err != nil {
			return err
		}
		p.order(reservation, loadKind(reservation))
	}
	reservation.LoadFence, reservation.UnloadFence = 0, 0
	p.row = p.row.with(reservation)
	return nil
}

// addReplica adds the upstream to the model's row. For an adapter it checks instead
// that the base model is loaded.
func (p *planner) addReplica(reservation Reservation) error {
	adopted := p.action.Kind == ActionAdopt
	if reservation.Adapter != "" {
		base, ok := p.row.Find(Weights{Model: reservation.Model})
		if !adopted && (!ok || base.State != StateLoaded) {
			return p.fail("the base model is not loaded")
		}
		return nil
	}
	model := p.rows.Models[reservation.Model]
	if !adopted && len(p.rows.Replicas(reservation.Model)) >= p.bounds.MaxReplicas {
		return p.fail("the model already has its maximum of %d replicas", p.bounds.MaxReplicas)
	}
	return p.write(ModelKey(reservation.Model), model.Revision, model.with(p.action.Upstream).encode(p.plan.Writer))
}

// needsPermit reports whether a load reads from the weight store. Adapters are
// always read from it.
func needsPermit(r Reservation) bool { return r.Adapter != "" || r.Source == SourceRemote }

// acquirePermit takes a permit for the reservation if it needs one.
func (p *planner) acquirePermit(reservation Reservation, weightStore *weightstore.Row) error {
	if !reservation.Permit {
		return nil
	}
	permit := permitOf(p.action.Upstream, reservation.Weights)
	limits := p.bounds.Limits
	if result := limits.Check(*weightStore, permit, p.bounds.Now, p.startObserved); result != weightstore.Granted {
		return p.fail("%s", string(result))
	}
	*weightStore = limits.Acquire(*weightStore, permit, p.bounds.Now, p.startObserved)
	return nil
}

// startObserved returns when a start was first observed; the start of this plan (0)
// counts as happening now.
func (p *planner) startObserved(start uint64) time.Time {
	if start == 0 {
		return p.bounds.Now
	}
	return p.bounds.StartObserved(start)
}

func permitOf(upstream string, w Weights) weightstore.Permit {
	return weightstore.Permit{Upstream: upstream, Model: w.Model, Adapter: w.Adapter}
}

// unload marks weights as unloading, or repeats an unload order that may be lost.
// The adapters of a base model are unloaded with it.
func (p *planner) unload(current Reservation) error {
	if current.State == StateLoading {
		return p.fail("a load in progress cannot be unloaded")
	}
	if current.Adapter == "" {
		for _, other := range p.row.Reservations {
			if other.Model != current.Model || other.Adapter == "" {
				continue
			}
			if other.State == StateLoading {
				return p.fail("adapter %s is loading", other.Adapter)
			}
			p.markUnloading(other)
		}
	}
	p.markUnloading(current)
	return nil
}

func (p *planner) markUnloading(r Reservation) {
	p.order(r, unloadKind(r))
	r.State, r.UnloadFence = StateUnloading, 0
	p.row = p.row.with(r)
}

// loaded marks a load as completed and releases its permit.
func (p *planner) loaded(current Reservation) error {
	if current.State != StateLoading {
		return p.fail("the weights are not loading")
	}
	if err := p.releaseHeldPermit(current); err != nil {
		return err
	}
	current.State, current.Permit = StateLoaded, false
	p.row = p.row.with(current)
	return nil
}

// gone removes a reservation, its permit and, for a model, its entry in the model's
// row.
func (p *planner) gone(current Reservation) error {
	if err := p.releaseHeldPermit(current); err != nil {
		return err
	}
	p.row = p.row.without(current.Weights)
	if current.Adapter != "" {
		return nil
	}
	model := p.rows.Models[current.Model]
	return p.write(ModelKey(current.Model), model.Revision, model.without(p.action.Upstream).encode(p.plan.Writer))
}

// releasePermit releases the permit of a load and keeps the reservation.
func (p *planner) releasePermit(current Reservation) error {
	if !current.Permit {
		return p.fail("the reservation holds no permit")
	}
	if err := p.releaseHeldPermit(current); err != nil {
		return err
	}
	current.Permit = false
	p.row = p.row.with(current)
	return nil
}

// releaseHeldPermit releases the permit of a reservation if it holds one.
func (p *planner) releaseHeldPermit(r Reservation) error {
	if !r.Permit {
		return nil
	}
	return p.writeWeightStore(p.rows.WeightStore.Release(permitOf(p.action.Upstream, r.Weights)))
}

func (p *planner) writeWeightStore(row weightstore.Row) error {
	row.Writer = p.plan.Writer
	return p.write(weightstore.RowKey, p.rows.WeightStoreRevision, newEncodedRow(row.Encode()))
}

func (p *planner) order(r Reservation, kind string) {
	p.plan.Orders = append(p.plan.Orders, engine.Order{
		Kind: kind, Model: r.Model, Adapter: r.Adapter, Version: r.Version, Bytes: r.Bytes,
	})
}

func loadKind(r Reservation) string {
	if r.Adapter != "" {
		return engine.OrderLoadAdapter
	}
	return engine.OrderLoad
}

func unloadKind(r Reservation) string {
	if r.Adapter != "" {
		return engine.OrderUnloadAdapter
	}
	return engine.OrderUnload
}

// encodedRow is the result of encoding a row: its value or an error.
type encodedRow struct {
	value []byte
	err   error
}

func newEncodedRow(value []byte, err error) encodedRow { return encodedRow{value: value, err: err} }

func (r UpstreamRow) encode(writer string) encodedRow {
	r.Writer = writer
	return newEncodedRow(json.Marshal(r))
}

func (r ModelRow) encode(writer string) encodedRow {
	r.Writer = writer
	return newEncodedRow(json.Marshal(r))
}

// write adds a write of a row to the commit, on condition that the row is still at
// the given revision.
func (p *planner) write(key string, revision uint64, row encodedRow) error {
	if row.err != nil {
		return p.fail("encode %s: %v", key, row.err)
	}
	p.plan.Conditions = append(p.plan.Conditions, platform.Condition{Key: key, Revision: revision})
	p.plan.Writes = append(p.plan.Writes, platform.Write{Key: key, Value: row.value})
	return nil
}
