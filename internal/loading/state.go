package loading

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/weightstore"
)

// Decision is an entry in the history of the state dump: an action whose commit was
// attempted.
type Decision struct {
	At       time.Time  `json:"at"`
	Kind     ActionKind `json:"kind"`
	Upstream string     `json:"upstream"`
	Weights  string     `json:"weights"`
	Reason   string     `json:"reason"`
	Revision uint64     `json:"revision,omitempty"` // of the commit; 0 if it failed
	Error    string     `json:"error,omitempty"`
}

// WaitingDemand is the demand for weights in the state dump, summed over hosts.
type WaitingDemand struct {
	Weights  string    `json:"weights"`
	Waiting  int       `json:"waiting"`
	Deadline time.Time `json:"deadline"`
	Since    time.Time `json:"since"`
}

// Dump is the manager's state, for operators.
type Dump struct {
	RowsKnown      bool                     `json:"rows_known"`
	TableDownSince time.Time                `json:"table_down_since,omitzero"`
	LastError      string                   `json:"last_error,omitempty"`
	Upstreams      map[string][]Reservation `json:"upstreams"`
	Permits        weightstore.Row          `json:"permits"`
	Demand         []WaitingDemand          `json:"demand"`
	History        []Decision               `json:"history"` // oldest first

	rows *Rows // from which State derives Upstreams
}

// State returns the state as of the last control step, with the current demand.
func (m *Manager) State() Dump {
	state := *m.dump.Load()
	state.Upstreams = state.rows.reservations()
	all, _ := m.demand.pending(m.options.Host)
	for w, entry := range all {
		state.Demand = append(state.Demand, WaitingDemand{
			Weights: w.String(), Waiting: entry.waiting, Deadline: entry.deadline, Since: entry.since,
		})
	}
	return state
}

// CanLoad reports whether loads can be decided: at the last control step the rows
// had been read and the table service was reachable.
func (m *Manager) CanLoad() bool {
	state := m.dump.Load()
	return state.RowsKnown && state.TableDownSince.IsZero()
}

// reservations returns the reservations by upstream.
func (r *Rows) reservations() map[string][]Reservation {
	if r == nil {
		return nil
	}
	upstreams := make(map[string][]Reservation, len(r.Upstreams))
	for address, row := range r.Upstreams {
		upstreams[address] = row.Reservations
	}
	return upstreams
}

// recordDecision adds an action and the result of its commit to the history and the
// metrics.
func (m *Manager) recordDecision(action Action, revision uint64, err error) {
	decision := Decision{
		At: m.options.Clock.Now(), Kind: action.Kind, Upstream: action.Upstream,
		Weights: action.Reservation.String(), Reason: action.Reason, Revision: revision,
	}
	result := "committed"
	if err != nil {
		decision.Error = err.Error()
		result = "failed"
	}
	m.metrics.actions.WithLabelValues(string(action.Kind), result).Inc()
	m.history = append(m.history, decision)
	if len(m.history) > historyLength {
		m.history = append([]Decision(nil), m.history[len(m.history)-historyLength:]...)
	}
}

// publish makes the control state visible to request goroutines and the dump.
func (m *Manager) publish(snapshot *config.Snapshot) {
	if old := m.published.Load(); old.rows != m.rows {
		m.published.Store(&controlState{rows: m.rows, ready: m.readyTimes(snapshot.Document)})
	}
	state := &Dump{
		RowsKnown: m.rowsKnown, TableDownSince: m.tableDownSince, LastError: m.lastError,
		rows:    m.rows,
		Permits: m.rows.WeightStore, History: m.history[:len(m.history):len(m.history)],
	}
	m.dump.Store(state)
}

// readyTimes estimates when loads in progress end.
func (m *Manager) readyTimes(doc *config.Document) map[placement]time.Time {
	input := Input{Config: doc}
	ready := map[placement]time.Time{}
	for address, row := range m.rows.Upstreams {
		for _, r := range row.Reservations {
			if r.State == StateLoading {
				at := m.observations.FirstObserved(address, r).Add(input.loadTime(r.Weights, r.Source))
				ready[placement{address, r.Weights}] = at
			}
		}
	}
	return ready
}

// metrics holds the manager's counters.
type metrics struct {
	actions *prometheus.CounterVec
	orders  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		actions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusbank_loading_actions_total",
			Help: "Changes of reservations by kind and result.",
		}, []string{"kind", "result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "arbutusbank_loading_orders_total",
			Help: "Orders sent to engines by kind and result.",
		}, []string{"kind", "result"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.actions, m.orders)
	}
	return m
}
