package quota

import (
	"cmp"
	"slices"
	"time"
)

// allowance is what the limiter needs to know of a workspace at one moment.
type allowance struct {
	workspace   string
	rate        float64 // fleet-wide, tokens per second
	burst       float64 // fleet-wide, tokens
	available   float64 // reservable here now
	expected    float64 // demand within demandHorizon
	ownRate     float64
	ownCapacity float64
	lenders     []hostShare
}

func (m *Manager) allowance(name string) (allowance, bool) {
	w := m.table.Load().workspaces[name]
	if w == nil {
		return allowance{}, false
	}
	now := m.clk.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return allowance{
		workspace:   name,
		rate:        w.rate,
		burst:       w.burst,
		available:   w.available(),
		expected:    w.expectedDemand(now),
		ownRate:     w.bucket.Rate,
		ownCapacity: w.bucket.Capacity,
		lenders:     w.lenders,
	}, w.known
}

// knows reports whether the configuration in force has the workspace.
func (m *Manager) knows(name string) bool {
	w := m.table.Load().workspaces[name]
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known
}

// setQueue records what waits for tokens of a workspace.
func (m *Manager) setQueue(name string, summary queueSummary) {
	if w := m.table.Load().workspaces[name]; w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.queue = summary
	}
}

// countDemand counts the cost of a request that queues behind others and checks
// it as Reserve does.
func (m *Manager) countDemand(name string, tokens float64) error {
	w, now, err := m.lookup(name, tokens)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.known {
		return &UnknownWorkspaceError{Workspace: name}
	}
	if tokens > w.burst {
		return &ExceedsBurstError{Workspace: name, Tokens: tokens, Burst: w.burst}
	}
	w.noteDemand(tokens, now)
	return nil
}

// WorkspaceState is one workspace's state in a dump.
type WorkspaceState struct {
	Workspace     string    `json:"workspace"`
	Bucket        Bucket    `json:"bucket"`
	FleetRate     float64   `json:"fleet_rate_tokens_per_s"`
	FleetBurst    float64   `json:"fleet_burst_tokens"`
	Borrowed      float64   `json:"borrowed_tokens"`
	Demand        float64   `json:"demand_tokens_per_s"`
	WaitingTokens float64   `json:"waiting_tokens"`
	LoansGranted  int       `json:"loans_granted"`
	LoansBorrowed int       `json:"loans_taken"`
	RecentUntil   time.Time `json:"recent_until"`
}

// State is a dump of a Manager.
type State struct {
	Host        string            `json:"host"`
	Incarnation uint64            `json:"incarnation"`
	Version     uint64            `json:"config_version"`
	Slots       map[int]time.Time `json:"slots"` // owned, with activation time
	ActiveSlots int               `json:"active_slots"`
	Workspaces  []WorkspaceState  `json:"workspaces"`
}

// Dump returns the Manager's state, workspaces by name.
func (m *Manager) Dump() State {
	m.mu.Lock()
	state := State{Host: m.host, Incarnation: m.incarnation, Slots: map[int]time.Time{}, ActiveSlots: len(m.active)}
	for slot, from := range m.slots {
		state.Slots[slot] = from
	}
	m.mu.Unlock()
	table := m.table.Load()
	state.Version = table.version
	now := m.clk.Now()
	for _, w := range table.workspaces {
		state.Workspaces = append(state.Workspaces, w.state(now))
	}
	slices.SortFunc(state.Workspaces, func(a, b WorkspaceState) int {
		return cmp.Compare(a.Workspace, b.Workspace)
	})
	return state
}

func (w *workspace) state(now time.Time) WorkspaceState {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.decayDemand(now)
	return WorkspaceState{
		Workspace:     w.name,
		Bucket:        w.bucket,
		FleetRate:     w.rate,
		FleetBurst:    w.burst,
		Borrowed:      w.borrowed(),
		Demand:        w.demand,
		WaitingTokens: w.queue.tokens,
		LoansGranted:  len(w.granted),
		LoansBorrowed: len(w.taken),
		RecentUntil:   w.recentUntil,
	}
}
