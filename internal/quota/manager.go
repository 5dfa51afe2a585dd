package quota

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

// demandRecency is how long after the last demand a workspace's spare tokens are
// reported to other hosts.
const demandRecency = 10 * time.Second

// Manager holds this host's shares of all workspaces' allowances, and the loans to and
// from other hosts. It is safe for concurrent use and does no I/O.
type Manager struct {
	clk         clock.Clock
	host        string
	incarnation uint64
	started     time.Time
	sequence    atomic.Uint64
	table       atomic.Pointer[workspaceTable]
	onTokens    atomic.Pointer[func(string)]

	mu         sync.Mutex // guards the fields below
	snapshot   *config.Snapshot
	slots      map[int]time.Time // owned slots and their activation times
	active     map[int]bool      // slots counted in the buckets
	assignment *slotAssignment   // of the snapshot; nil before the first
	exposure   time.Duration     // longest of any configuration applied
}

// workspaceTable is the immutable index of workspaces, read without a lock on the
// request path.
type workspaceTable struct {
	workspaces  map[string]*workspace
	maxDeadline time.Duration
	version     uint64
}

// NewManager returns a Manager that owns no slots, and so no tokens. The incarnation
// must differ from that of any earlier process of this host.
func NewManager(clk clock.Clock, hostName string, incarnation uint64) *Manager {
	m := &Manager{
		clk:         clk,
		host:        hostName,
		incarnation: incarnation,
		started:     clk.Now(),
		slots:       map[int]time.Time{},
		active:      map[int]bool{},
	}
	m.table.Store(&workspaceTable{workspaces: map[string]*workspace{}})
	return m
}

// OnTokensAvailable sets a function that is called when a workspace may have gained
// tokens other than by refill. The function must not block.
func (m *Manager) OnTokensAvailable(f func(workspace string)) { m.onTokens.Store(&f) }

func (m *Manager) notify(workspace string) {
	if f := m.onTokens.Load(); f != nil {
		(*f)(workspace)
	}
}

func (m *Manager) notifyAll() {
	for name := range m.table.Load().workspaces {
		m.notify(name)
	}
}

// Apply applies a configuration. Versions older than the current one are ignored.
// Slots that the configuration no longer assigns to this host become inactive at
// once; newly assigned ones become active after they were claimed (see Ledger).
func (m *Manager) Apply(snapshot *config.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.snapshot != nil && snapshot.Version < m.snapshot.Version {
		return
	}
	m.snapshot = snapshot
	if m.stopped() {
		clear(m.slots)
	}
	m.exposure = max(m.exposure, Exposure(snapshot))
	m.assignment = m.assignment.next(snapshot.Document)
	m.table.Store(m.buildTable(snapshot))
	m.resizeAll()
	m.notifyAll()
}

// stopped reports whether the configuration lists this host's process as stopped.
// Other hosts may then claim its slots.
func (m *Manager) stopped() bool {
	doc := m.snapshot.Document
	return slices.Contains(doc.StoppedHosts, doc.Hosts[m.host].Address)
}

// buildTable returns the index for a configuration. It keeps removed workspaces while
// their tokens are in use, so that these still count if the workspace is added again.
func (m *Manager) buildTable(snapshot *config.Snapshot) *workspaceTable {
	now := m.clk.Now()
	old := m.table.Load().workspaces
	table := &workspaceTable{
		workspaces:  make(map[string]*workspace, len(snapshot.Document.Workspaces)),
		maxDeadline: snapshot.Document.Defaults.MaxDeadline(),
		version:     snapshot.Version,
	}
	for name, settings := range snapshot.Document.Workspaces {
		w := old[name]
		if w == nil {
			w = newWorkspace(name, now)
		}
		w.mu.Lock()
		w.advance(now) // at the old rate
		w.rate, w.burst, w.configured = settings.RateTokensPerS, settings.BurstTokens, true
		w.assign(m.host, m.assignment)
		w.mu.Unlock()
		table.workspaces[name] = w
	}
	for name, w := range old {
		if table.workspaces[name] == nil && w.deconfigure(now) {
			table.workspaces[name] = w
		}
	}
	return table
}

// deconfigure marks a workspace as removed and reports whether it must be kept
// because its tokens are in use.
func (w *workspace) deconfigure(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.configured, w.rate, w.burst = false, 0, 0
	return !w.idle()
}

// resizeAll recomputes this host's share of every workspace's allowance. It requires m.mu.
func (m *Manager) resizeAll() {
	now := m.clk.Now()
	m.active = m.activeSlots(now)
	for _, w := range m.table.Load().workspaces {
		w.mu.Lock()
		w.resize(now, share(w.homeSlots, m.active))
		w.mu.Unlock()
	}
}

// activeSlots returns the owned slots that the configuration assigns to this host and
// whose activation time has passed.
func (m *Manager) activeSlots(now time.Time) map[int]bool {
	active := map[int]bool{}
	if m.snapshot == nil {
		return active
	}
	for _, slot := range m.snapshot.Document.Hosts[m.host].Slots {
		if from, owned := m.slots[slot]; owned && !now.Before(from) {
			active[slot] = true
		}
	}
	return active
}

// share returns the fraction of a workspace's home slots that are active.
func share(homeSlots []int, active map[int]bool) float64 {
	count := 0
	for _, slot := range homeSlots {
		if active[slot] {
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(count) / float64(len(homeSlots))
}

// HomeSlots returns the sorted slots that hold a workspace's allowance: all slots, or
// the first SlotsPerWorkspace by rendezvous hashing if that is fewer.
func HomeSlots(quota config.Quota, workspace string) []int {
	slots := make([]string, quota.Slots)
	for i := range slots {
		slots[i] = strconv.Itoa(i)
	}
	count := quota.SlotsPerWorkspace
	if count <= 0 || count > quota.Slots {
		count = quota.Slots
	}
	if count < quota.Slots {
		slots = rendezvous.FirstK(workspace, slots, count)
	}
	homeSlots := make([]int, 0, count)
	for _, slot := range slots {
		number, _ := strconv.Atoi(slot) // formatted above
		homeSlots = append(homeSlots, number)
	}
	slices.Sort(homeSlots)
	return homeSlots
}

// Exposure returns how long after a process ended the tokens that it reserved or lent
// can still be in use.
func Exposure(snapshot *config.Snapshot) time.Duration {
	return LoanLifetime + loanMargin + snapshot.Document.Defaults.MaxDeadline()
}

// Reserve reserves tokens for a request, which must be dispatched immediately
// afterwards. It returns *UnknownWorkspaceError, *InvalidCostError,
// *ExceedsBurstError or *ShortfallError.
func (m *Manager) Reserve(workspace string, tokens float64) (*Reservation, error) {
	w, now, err := m.lookup(workspace, tokens)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.recordDemand(tokens, now)
	return m.reserveLocked(w, tokens, now)
}

// reserveQueued is Reserve for a request whose demand has already been recorded.
func (m *Manager) reserveQueued(workspace string, tokens float64) (*Reservation, error) {
	w, now, err := m.lookup(workspace, tokens)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return m.reserveLocked(w, tokens, now)
}

// reserveLocked requires w.mu.
func (m *Manager) reserveLocked(w *workspace, tokens float64, now time.Time) (*Reservation, error) {
	if !w.configured {
		return nil, &UnknownWorkspaceError{Workspace: w.name}
	}
	if tokens > w.burst {
		return nil, &ExceedsBurstError{Workspace: w.name, Tokens: tokens, Burst: w.burst}
	}
	if missing := tokens - w.available(); missing > tokenTolerance {
		return nil, &ShortfallError{Workspace: w.name, Missing: missing}
	}
	return w.reserve(m, tokens, now), nil
}

// lookup validates a cost and returns its workspace and the current time.
func (m *Manager) lookup(name string, tokens float64) (*workspace, time.Time, error) {
	if !(tokens >= 0) || math.IsInf(tokens, 1) { // rejects NaN too
		return nil, time.Time{}, &InvalidCostError{Tokens: tokens}
	}
	w := m.table.Load().workspaces[name]
	if w == nil {
		return nil, time.Time{}, &UnknownWorkspaceError{Workspace: name}
	}
	return w, m.clk.Now(), nil
}

// Lend answers another host's loan request. The granted amount may be 0. A repeated
// request gets the same grant.
func (m *Manager) Lend(request LoanRequest) LoanGrant {
	table := m.table.Load()
	grant := LoanGrant{
		Workspace:         request.Workspace,
		Lender:            m.host,
		LenderIncarnation: m.incarnation,
		Borrower:          request.Borrower,
		Incarnation:       request.Incarnation,
		Sequence:          request.Sequence,
		Hold:              LoanLifetime + table.maxDeadline,
	}
	w := table.workspaces[request.Workspace]
	if w == nil || !(request.Amount > 0) {
		return grant
	}
	now := m.clk.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if earlier := w.grantedLoans[loanKeyOf(request)]; earlier != nil {
		return earlier.grant
	}
	return w.lend(request, grant, now)
}

// NewLoanRequest prepares a loan request to a lender. The spend period starts with
// this call, so the request must be sent afterwards. It returns
// *UnknownWorkspaceError or *InvalidCostError.
func (m *Manager) NewLoanRequest(workspace, lender string, amount float64) (LoanRequest, error) {
	w, now, err := m.lookup(workspace, amount)
	if err != nil {
		return LoanRequest{}, err
	}
	request := LoanRequest{
		Workspace:   workspace,
		Amount:      amount,
		Borrower:    m.host,
		Incarnation: m.incarnation,
		Sequence:    m.sequence.Add(1),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	request.Remaining = w.queue.remaining(now)
	w.pending[request.Sequence] = pendingLoan{request: request, lender: lender, sentAt: now}
	return request, nil
}

// Abandon ends a loan request whose outcome is unknown. A grant for it is no longer
// accepted, so the loan is reported to the lender as unused.
func (m *Manager) Abandon(request LoanRequest) {
	w := m.table.Load().workspaces[request.Workspace]
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	pending, waiting := w.pending[request.Sequence]
	if !waiting {
		return
	}
	delete(w.pending, request.Sequence)
	w.recordUnanswered(pending, m.table.Load().maxDeadline)
}

// Accept adds a granted loan. It reports false for a grant that is empty, repeated,
// meant for another process, or past its spend period.
func (m *Manager) Accept(grant LoanGrant) bool {
	w := m.table.Load().workspaces[grant.Workspace]
	if w == nil || grant.Borrower != m.host || grant.Incarnation != m.incarnation {
		return false
	}
	now := m.clk.Now()
	w.mu.Lock()
	accepted := w.acceptPending(grant, now, m.table.Load().maxDeadline)
	w.mu.Unlock()
	if accepted {
		m.notify(w.name)
	}
	return accepted
}

// acceptPending ends the pending request that a grant answers and adds the loan. It
// reports false if no request to that lender is pending, the grant is empty, or its
// spend period is over. It requires w.mu.
func (w *workspace) acceptPending(grant LoanGrant, now time.Time, maxDeadline time.Duration) bool {
	pending, waiting := w.pending[grant.Sequence]
	if !waiting || pending.lender != grant.Lender {
		return false
	}
	delete(w.pending, grant.Sequence)
	if !(grant.Amount > 0) {
		return false
	}
	if !now.Before(pending.sentAt.Add(LoanLifetime)) {
		w.recordUnanswered(pending, maxDeadline)
		return false
	}
	w.addBorrowed(grant, pending.sentAt, now)
	return true
}

// ApplyReturn applies a borrower's report on a loan. Repeated and reordered reports
// are harmless; reports for another host or an earlier process are ignored.
func (m *Manager) ApplyReturn(report LoanReturn) {
	w := m.table.Load().workspaces[report.Workspace]
	if w == nil || report.Lender != m.host {
		return
	}
	if report.LenderIncarnation != 0 && report.LenderIncarnation != m.incarnation {
		return
	}
	now := m.clk.Now()
	w.mu.Lock()
	w.advance(now)
	loan := w.grantedLoans[loanKey{report.Borrower, report.Incarnation, report.Sequence}]
	if loan != nil {
		w.applyReturn(loan, report)
	}
	w.mu.Unlock()
	m.notify(w.name)
}

// PendingReturns relinquishes idle borrowed tokens and lists reports on the loans
// whose lenders have not received the latest totals. Each report is listed again until
// ConfirmReturn.
func (m *Manager) PendingReturns() []LoanReturn { return m.collectReturns(idleReturnAfter) }

// ReturnAll is PendingReturns without a minimum idle time, for a shutdown.
func (m *Manager) ReturnAll() []LoanReturn { return m.collectReturns(0) }

func (m *Manager) collectReturns(idle time.Duration) []LoanReturn {
	now := m.clk.Now()
	var reports []LoanReturn
	for _, w := range m.table.Load().workspaces {
		w.mu.Lock()
		w.advance(now)
		w.dropSettled(now)
		reports = append(reports, w.pendingReturns(now, idle)...)
		w.mu.Unlock()
	}
	return reports
}

// pendingReturns lists unreported totals of loans that are settled or partly
// relinquished.
func (w *workspace) pendingReturns(now time.Time, idle time.Duration) []LoanReturn {
	var reports []LoanReturn
	for _, loan := range w.borrowedLoans {
		if w.queue.tokens <= 0 && now.Sub(loan.lastUse) >= idle {
			loan.relinquish()
		}
		if !loan.settled() && loan.unused == 0 {
			continue // reported when it is settled
		}
		if report := loan.report(); report != loan.reported {
			reports = append(reports, report)
		}
	}
	return reports
}

// ConfirmReturn records that a lender has received a report.
func (m *Manager) ConfirmReturn(report LoanReturn) {
	w := m.table.Load().workspaces[report.Workspace]
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, loan := range w.borrowedLoans {
		if loan.grant.Sequence == report.Sequence {
			loan.reported = report
			loan.confirmed = loan.report() == report && loan.settled()
		}
	}
}

// Tick activates slots whose activation time has passed and expires loans. It must be
// called several times a second.
func (m *Manager) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	if len(m.activeSlots(now)) != len(m.active) {
		m.resizeAll()
	}
	for _, w := range m.table.Load().workspaces {
		w.mu.Lock()
		w.advance(now)
		w.expirePending(now, m.table.Load().maxDeadline)
		w.mu.Unlock()
	}
}

// expirePending ends requests whose spend period is over.
func (w *workspace) expirePending(now time.Time, maxDeadline time.Duration) {
	for sequence, pending := range w.pending {
		if !now.Before(pending.sentAt.Add(LoanLifetime)) {
			delete(w.pending, sequence)
			w.recordUnanswered(pending, maxDeadline)
		}
	}
}

// Spare returns the tokens that this host could lend now, or 0 for an unknown
// workspace.
func (m *Manager) Spare(workspace string) float64 {
	w := m.table.Load().workspaces[workspace]
	if w == nil {
		return 0
	}
	now := m.clk.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.lendable()
}

// SpareTokens is the report on one workspace in a heartbeat.
type SpareTokens struct {
	Workspace string
	Tokens    float64 // lendable now
	Demand    float64 // tokens requested at this host in about the last second
}

// Spares lists the workspaces with active slots at this host and recent demand: at
// most limit of them, those with the highest demand first.
func (m *Manager) Spares(limit int) []SpareTokens {
	now := m.clk.Now()
	var spares []SpareTokens
	for name, w := range m.table.Load().workspaces {
		w.mu.Lock()
		if w.bucket.Capacity > 0 && now.Before(w.recentUntil) {
			w.advance(now)
			w.decayDemand(now)
			spares = append(spares, SpareTokens{Workspace: name, Tokens: w.lendable(), Demand: w.demand})
		}
		w.mu.Unlock()
	}
	slices.SortFunc(spares, compareSpares)
	return spares[:min(limit, len(spares))]
}

// compareSpares orders by descending demand, then by name.
func compareSpares(a, b SpareTokens) int {
	switch {
	case a.Demand > b.Demand:
		return -1
	case a.Demand < b.Demand:
		return 1
	case a.Workspace < b.Workspace:
		return -1
	default:
		return 1
	}
}
