package quota

import (
	"math"
	"slices"
	"sync"
	"time"
)

// demandWindow is the time constant of the exponentially decaying demand.
const demandWindow = time.Second

// workspace holds the state of one workspace at this host.
type workspace struct {
	name string

	mu            sync.Mutex
	rate          float64 // fleet-wide, tokens per second
	burst         float64 // fleet-wide, tokens
	homeSlots     []int   // slots that hold the allowance
	lenders       []hostShare
	assignment    *slotAssignment // that homeSlots and lenders were derived from
	configured    bool            // the workspace is in the current configuration
	bucket        Bucket
	grantedLoans  map[loanKey]*grantedLoan
	expiry        []*grantedLoan  // grantedLoans in the order of their grants
	borrowedLoans []*borrowedLoan // until the lender has received the final totals
	spendable     []*borrowedLoan // those of borrowedLoans within their spend period
	pending       map[uint64]pendingLoan
	demand        float64 // tokens requested, decaying with demandWindow
	demandUpdated time.Time
	recentUntil   time.Time // extended by demand here or at a borrower
	queue         queueSummary
}

// queueSummary summarizes the requests that wait for tokens at this host.
type queueSummary struct {
	tokens    float64   // sum of costs
	firstCost float64   // cost of the first request
	deadline  time.Time // of the first request
}

// remaining returns the time until the first request's deadline, at least 1 ms, or
// 0 if none waits.
func (q queueSummary) remaining(now time.Time) time.Duration {
	if q.tokens <= 0 {
		return 0
	}
	return max(time.Millisecond, q.deadline.Sub(now))
}

func newWorkspace(name string, now time.Time) *workspace {
	return &workspace{
		name:         name,
		bucket:       Bucket{Updated: now},
		grantedLoans: map[loanKey]*grantedLoan{},
		pending:      map[uint64]pendingLoan{},
	}
}

// advance refills the bucket and expires loans. It requires w.mu, as do the methods
// below.
func (w *workspace) advance(now time.Time) {
	w.bucket.Refill(now)
	w.expireGranted(now)
	w.expireBorrowed(now)
}

// expireGranted frees the capacity withheld for expired loans. A loan granted after
// one with a later expiry is freed no earlier than that one, which is safe.
func (w *workspace) expireGranted(now time.Time) {
	for len(w.expiry) > 0 && !now.Before(w.expiry[0].expires) {
		loan := w.expiry[0]
		w.expiry[0] = nil
		w.expiry = w.expiry[1:]
		w.bucket.endLoan(loan.withheld(), 0)
		delete(w.grantedLoans, loan.key)
	}
}

// expireBorrowed relinquishes loans past their spend period.
func (w *workspace) expireBorrowed(now time.Time) {
	kept := w.spendable[:0]
	for _, loan := range w.spendable {
		if now.Before(loan.spendUntil) {
			kept = append(kept, loan)
		} else {
			loan.relinquish()
		}
	}
	clear(w.spendable[len(kept):])
	w.spendable = kept
}

// borrowedTokens returns the borrowed tokens that may be spent now.
func (w *workspace) borrowedTokens() float64 {
	sum := 0.0
	for _, loan := range w.spendable {
		sum += loan.remaining
	}
	return sum
}

// available returns the tokens that may be reserved now.
func (w *workspace) available() float64 {
	return max(0, w.bucket.Level) + w.borrowedTokens()
}

// reserve reserves available tokens, borrowed ones first because they expire.
func (w *workspace) reserve(m *Manager, tokens float64, now time.Time) *Reservation {
	r := &Reservation{workspace: w, manager: m, tokens: tokens}
	rest := tokens
	for _, loan := range w.spendable {
		if rest <= 0 {
			break
		}
		part := min(rest, loan.remaining)
		if part <= 0 {
			continue
		}
		loan.remaining -= part
		loan.outstanding += part
		loan.lastUse = now
		rest -= part
		r.borrowed = append(r.borrowed, loanPart{loan, part})
	}
	if rest > 0 {
		w.bucket.reserve(rest)
		r.own = rest
	}
	return r
}

// refundLoan returns unused tokens to their loan.
func (w *workspace) refundLoan(part loanPart, now time.Time) {
	part.loan.remaining += part.tokens
	if !now.Before(part.loan.spendUntil) {
		part.loan.relinquish()
	}
}

// recordDemand adds the cost of a request to the demand.
func (w *workspace) recordDemand(tokens float64, now time.Time) {
	w.decayDemand(now)
	w.demand += tokens
	w.recentUntil = now.Add(demandRecency)
}

// decayDemand applies the decay since the last update.
func (w *workspace) decayDemand(now time.Time) {
	elapsed := now.Sub(w.demandUpdated)
	w.demandUpdated = now
	if w.demand > 0 && elapsed > 0 {
		w.demand *= math.Exp(-float64(elapsed) / float64(demandWindow))
	}
}

// expectedDemand returns the tokens likely to be requested within demandHorizon.
func (w *workspace) expectedDemand(now time.Time) float64 {
	w.decayDemand(now)
	return w.demand * float64(demandHorizon) / float64(demandWindow)
}

// lendable returns the tokens that may be lent: the level less the cost of this
// host's waiting requests.
func (w *workspace) lendable() float64 {
	return max(0, w.bucket.Level-w.queue.tokens)
}

// lendableTo returns the tokens that may be lent for a request: the whole level if
// this host's first waiting request needs loans itself and has a later deadline than
// the borrower's, else lendable. Without this order, two hosts that each hold half of
// the tokens that both need would block each other.
func (w *workspace) lendableTo(request LoanRequest, now time.Time) float64 {
	own := w.queue.remaining(now)
	if w.queue.firstCost > w.bucket.Capacity && request.Remaining > 0 && request.Remaining < own {
		return max(0, w.bucket.Level)
	}
	return w.lendable()
}

// lend grants a new loan request as far as possible and records the loan.
func (w *workspace) lend(request LoanRequest, grant LoanGrant, now time.Time) LoanGrant {
	w.recentUntil = now.Add(demandRecency)
	if amount := min(request.Amount, w.lendableTo(request, now)); amount > 0 {
		grant.Amount = amount
		w.bucket.lend(amount)
	}
	grant.Spare = w.lendable()
	loan := &grantedLoan{
		key:     loanKeyOf(request),
		grant:   grant,
		expires: now.Add(grant.Hold + loanMargin),
	}
	w.grantedLoans[loan.key] = loan
	w.expiry = append(w.expiry, loan)
	return grant
}

// applyReturn applies the totals in a borrower's report to a granted loan.
func (w *workspace) applyReturn(loan *grantedLoan, report LoanReturn) {
	room := loan.withheld()
	unused := min(max(0, report.Unused-loan.unused), room)
	used := min(max(0, report.Used-loan.used), room-unused)
	loan.unused += unused
	loan.used += used
	w.bucket.endLoan(unused+used, unused)
}

// addBorrowed adds a granted loan within its spend period.
func (w *workspace) addBorrowed(grant LoanGrant, sentAt, now time.Time) {
	loan := &borrowedLoan{
		grant:      grant,
		spendUntil: sentAt.Add(LoanLifetime),
		endBy:      sentAt.Add(grant.Hold),
		lastUse:    now,
		remaining:  grant.Amount,
		reported:   LoanReturn{Unused: -1},
	}
	w.borrowedLoans = append(w.borrowedLoans, loan)
	w.spendable = append(w.spendable, loan)
}

// recordUnanswered records a request without a usable answer as an entirely unused
// loan, so that it is reported to the lender. The lender's incarnation is unknown and
// stays 0.
func (w *workspace) recordUnanswered(pending pendingLoan, maxDeadline time.Duration) {
	request := pending.request
	w.borrowedLoans = append(w.borrowedLoans, &borrowedLoan{
		grant: LoanGrant{
			Workspace:   request.Workspace,
			Lender:      pending.lender,
			Borrower:    request.Borrower,
			Incarnation: request.Incarnation,
			Sequence:    request.Sequence,
			Amount:      request.Amount,
		},
		endBy:    pending.sentAt.Add(LoanLifetime + maxDeadline),
		unused:   request.Amount,
		reported: LoanReturn{Unused: -1},
	})
}

// dropSettled removes settled loans whose final totals the lender has received, and
// those past endBy, which the lender soon expires by itself.
func (w *workspace) dropSettled(now time.Time) {
	w.borrowedLoans = slices.DeleteFunc(w.borrowedLoans, func(loan *borrowedLoan) bool {
		return loan.settled() && (loan.confirmed || !now.Before(loan.endBy))
	})
}

// resize sets the bucket to this host's share of the allowance.
func (w *workspace) resize(now time.Time, share float64) {
	w.advance(now)
	w.bucket.Resize(now, w.rate*share, w.burst*share)
}

// idle reports whether no tokens of the workspace are reserved, lent or borrowed at
// this host.
func (w *workspace) idle() bool {
	return w.bucket.Outstanding <= tokenTolerance && len(w.expiry) == 0 && len(w.borrowedLoans) == 0
}

// loanKeyOf returns the key under which the lender stores the loan.
func loanKeyOf(request LoanRequest) loanKey {
	return loanKey{request.Borrower, request.Incarnation, request.Sequence}
}
