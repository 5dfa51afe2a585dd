package quota

import "time"

const (
	// LoanSpendPeriod is how long after sending its request a borrower may start
	// to spend the loan.
	LoanSpendPeriod = 2 * time.Second
	// loanMargin extends the lender's hold beyond the last moment at which the
	// borrower's requests end. It covers drift between the hosts' monotonic
	// clocks (at most 0.8% over two minutes) and the engine's timer delay.
	loanMargin = time.Second
	// demandHorizon is how far ahead a loan request covers expected demand.
	demandHorizon = 100 * time.Millisecond
	// idleReturnAfter is how long borrowed tokens may lie unused before they
	// are returned early.
	idleReturnAfter = 300 * time.Millisecond
	// tokenTolerance absorbs rounding of floating-point sums; use is counted in
	// whole tokens.
	tokenTolerance = 1e-6
)

// LoanRequest asks a host for tokens. Taker, Incarnation and Sequence identify
// the request; a repeat gets the same grant.
type LoanRequest struct {
	Workspace   string
	Amount      float64 // tokens
	Borrower    string  // name of the borrowing host
	Incarnation uint64  // of the borrowing process
	Sequence    uint64
	Remaining   time.Duration // until the deadline of the first waiting request; 0: none waits
}

// LoanGrant answers a LoanRequest. Amount may be lower than requested, or 0.
type LoanGrant struct {
	Workspace         string
	Lender            string
	LenderIncarnation uint64
	Borrower          string
	Incarnation       uint64
	Sequence          uint64
	Amount            float64       // tokens
	Hold              time.Duration // from the grant, how long the lender holds back capacity
	Spare             float64       // tokens that the lender could still lend
}

// LoanReturn reports what became of a loan. Unused and Used are totals since
// the grant, so that repeated and reordered returns are harmless. A
// LenderIncarnation of 0 stands for a request whose answer never came.
type LoanReturn struct {
	Workspace         string
	Lender            string
	LenderIncarnation uint64
	Borrower          string
	Incarnation       uint64
	Sequence          uint64
	Unused            float64 // tokens that the borrower will not spend
	Used              float64 // tokens that were generated
}

// loanKey identifies a loan at its lender.
type loanKey struct {
	taker       string
	incarnation uint64
	sequence    uint64
}

// grantedLoan is a loan as seen by its lender. It is kept until expiry, also
// when it was returned early, to answer repeated requests.
type grantedLoan struct {
	key     loanKey
	grant   LoanGrant
	expires time.Time
	unused  float64
	used    float64
}

// held returns the capacity still held back for the loan.
func (l *grantedLoan) held() float64 {
	return max(0, l.grant.Amount-l.unused-l.used)
}

// takenLoan is a loan as seen by its borrower.
// grant.Amount = remaining + outstanding + used + unused.
type takenLoan struct {
	grant       LoanGrant
	spendUntil  time.Time // no reservation may start on the loan afterwards
	endBy       time.Time // requests paid by the loan end by then
	lastUse     time.Time
	remaining   float64 // spendable
	outstanding float64 // reserved and not yet generated
	used        float64
	unused      float64 // given up for good
	reported    LoanReturn
	confirmed   bool // the lender knows the reported totals
}

// giveUp makes the remaining tokens unspendable for good.
func (l *takenLoan) giveUp() {
	l.unused += l.remaining
	l.remaining = 0
}

// settled reports whether nothing of the loan can be used any more.
func (l *takenLoan) settled() bool {
	return l.remaining <= 0 && l.outstanding <= tokenTolerance
}

// report returns the loan's totals for the lender.
func (l *takenLoan) report() LoanReturn {
	return LoanReturn{
		Workspace:         l.grant.Workspace,
		Lender:            l.grant.Lender,
		LenderIncarnation: l.grant.LenderIncarnation,
		Borrower:          l.grant.Borrower,
		Incarnation:       l.grant.Incarnation,
		Sequence:          l.grant.Sequence,
		Unused:            l.unused,
		Used:              l.used,
	}
}

// pendingLoan is a request whose answer is awaited.
type pendingLoan struct {
	request LoanRequest
	lender  string
	sentAt  time.Time
}
