package quota

import (
	"cmp"
	"slices"
	"time"
)

// allowance is a snapshot of a workspace's state for the limiter.
type allowance struct {
	workspace      string
	rate           float64 // fleet-wide, tokens per second
	burst          float64 // fleet-wide, tokens
	available      float64 // tokens reservable at this host now
	expectedDemand float64 // tokens likely to be requested within demandHorizon
	ownRate        float64
	ownCapacity    float64
	lenders        []hostShare
}

// allowance reports false for a workspace that is not configured.
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
		workspace:      name,
		rate:           w.rate,
		burst:          w.burst,
		available:      w.available(),
		expectedDemand: w.expectedDemand(now),
		ownRate:        w.bucket.Rate,
		ownCapacity:    w.bucket.Capacity,
		lenders:        w.lenders,
	}, w.configured
}

// hasWorkspace reports whether the workspace is in the current configuration.
func (m *Manager) hasWorkspace(name string) bool {
	w := m.table.Load().workspaces[name]
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configured
}

// setQueue records a summary of the requests that wait for a workspace's tokens.
func (m *Manager) setQueue(name string, summary queueSummary) {
	if w := m.table.Load().workspaces[name]; w != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.queue = summary
	}
}

// checkQueued checks a request that queues behind others as Reserve does, and
// records its cost as demand.
func (m *Manager) checkQueued(name string, tokens float64) error {
	w, now, err := m.lookup(name, tokens)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.configured {
		return &UnknownWorkspaceError{Workspace: name}
	}
	if tokens > w.burst {
		return &ExceedsBurstError{Workspace: name, Tokens: tokens, Burst: w.burst}
	}
	w.recordDemand(tokens, now)
	return nil
}

// WorkspaceState is one workspace's state in the diagnostic dump.
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

// State is the diagnostic dump of a Manager.
type State struct {
	Host        string            `json:"host"`
	Incarnation uint64            `json:"incarnation"`
	Version     uint64            `json:"config_version"`
	Slots       map[int]time.Time `json:"slots"` // owned slots and their activation times
	ActiveSlots int               `json:"active_slots"`
	Workspaces  []WorkspaceState  `json:"workspaces"`
}

// Dump returns the Manager's state, with workspaces sorted by name.
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
		Borrowed:      w.borrowedTokens(),
		Demand:        w.demand,
		WaitingTokens: w.queue.tokens,
		LoansGranted:  len(w.grantedLoans),
		LoansBorrowed: len(w.borrowedLoans),
		RecentUntil:   w.recentUntil,
	}
}
