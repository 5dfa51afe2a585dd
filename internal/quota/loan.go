package quota

import "time"

const (
	// LoanLifetime is the spend period: how long after preparing its request a
	// borrower may reserve tokens of the loan.
	LoanLifetime = 2 * time.Second
	// loanMargin is the time for which the lender withholds capacity beyond the
	// latest end of the borrower's requests. It covers drift between the hosts'
	// monotonic clocks (at most 0.8% over two minutes) and the delay of timers in the
	// engine.
	loanMargin = time.Second
	// demandHorizon is how far ahead loan requests cover expected demand.
	demandHorizon = 100 * time.Millisecond
	// idleReturnAfter is how long borrowed tokens may stay unused before they are
	// returned.
	idleReturnAfter = 300 * time.Millisecond
	// tokenTolerance, in tokens, absorbs rounding of floating-point sums. Usage is
	// counted in whole tokens.
	tokenTolerance = 1e-6
)

// LoanRequest requests tokens from another host. Borrower, Incarnation and Sequence
// identify the request; a repeated request gets the same grant.
type LoanRequest struct {
	Workspace   string
	Amount      float64 // tokens
	Borrower    string  // host name; "taker" on the wire
	Incarnation uint64  // of the borrowing process
	Sequence    uint64
	Remaining   time.Duration // until the deadline of the first waiting request; 0 if none waits
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
	Hold              time.Duration // how long after the grant the lender withholds capacity, without loanMargin
	Spare             float64       // tokens that the lender could still lend
}

// LoanReturn reports the use of a loan to its lender. Unused and Used are totals
// since the grant, so that repeated and reordered reports are harmless. A
// LenderIncarnation of 0 stands for a request that was never answered.
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
	borrower    string
	incarnation uint64
	sequence    uint64
}

// grantedLoan is a loan at its lender. It is kept until it expires, even if it was
// returned earlier, to answer repeated requests.
type grantedLoan struct {
	key     loanKey
	grant   LoanGrant
	expires time.Time
	unused  float64
	used    float64
}

// withheld returns the capacity still withheld for the loan, in tokens.
func (l *grantedLoan) withheld() float64 {
	return max(0, l.grant.Amount-l.unused-l.used)
}

// borrowedLoan is a loan at its borrower.
// grant.Amount = remaining + outstanding + used + unused, all in tokens.
type borrowedLoan struct {
	grant       LoanGrant
	spendUntil  time.Time // reservations from the loan must be made before
	endBy       time.Time // requests that use the loan must end by then
	lastUse     time.Time
	remaining   float64 // spendable
	outstanding float64 // reserved and not yet generated
	used        float64
	unused      float64 // relinquished
	reported    LoanReturn
	confirmed   bool // the lender has received the final totals
}

// relinquish makes the remaining tokens permanently unspendable.
func (l *borrowedLoan) relinquish() {
	l.unused += l.remaining
	l.remaining = 0
}

// settled reports whether no token of the loan can be used any more.
func (l *borrowedLoan) settled() bool {
	return l.remaining <= 0 && l.outstanding <= tokenTolerance
}

// report returns the loan's current totals for the lender.
func (l *borrowedLoan) report() LoanReturn {
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

// pendingLoan is a loan request without an answer yet.
type pendingLoan struct {
	request LoanRequest
	lender  string
	sentAt  time.Time
}
