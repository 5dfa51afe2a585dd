package quota

import (
	"math"
	"slices"
	"sync"
	"time"
)

// demandWindow is the time constant of the demand average.
const demandWindow = time.Second

// workspace holds one workspace's bucket and loans at this host.
type workspace struct {
	name string

	mu          sync.Mutex
	rate        float64 // fleet-wide, tokens per second
	burst       float64 // fleet-wide, tokens
	home        []int   // home slots
	lenders     []hostShare
	places      *slotPlaces // that home and lenders were derived from
	known       bool        // the configuration in force has the workspace
	bucket      Bucket
	granted     map[loanKey]*grantedLoan
	expiry      []*grantedLoan // in order of granting
	taken       []*takenLoan   // until the lender knows their end
	spendable   []*takenLoan   // those of taken whose spending period has not ended
	pending     map[uint64]pendingLoan
	demand      float64 // tokens requested within demandWindow, decaying
	demandSeen  time.Time
	recentUntil time.Time // demand here or at a borrower keeps it recent
	queue       queueSummary
}

// queueSummary describes the requests that wait for tokens at this host.
type queueSummary struct {
	tokens   float64   // sum of costs
	first    float64   // cost of the first request
	deadline time.Time // of the first request
}

// remaining returns the time until the first request's deadline, or 0 when
// none waits.
func (q queueSummary) remaining(now time.Time) time.Duration {
	if q.tokens <= 0 {
		return 0
	}
	return max(time.Millisecond, q.deadline.Sub(now))
}

func newWorkspace(name string, now time.Time) *workspace {
	return &workspace{
		name:    name,
		bucket:  Bucket{Updated: now},
		granted: map[loanKey]*grantedLoan{},
		pending: map[uint64]pendingLoan{},
	}
}

// advance refills the bucket and ends loans whose time has passed.
func (w *workspace) advance(now time.Time) {
	w.bucket.Refill(now)
	w.expireGranted(now)
	w.expireTaken(now)
}

// expireGranted frees the capacity held for loans past their expiry. A loan
// behind one with a later expiry waits for it, which is safe.
func (w *workspace) expireGranted(now time.Time) {
	for len(w.expiry) > 0 && !now.Before(w.expiry[0].expires) {
		loan := w.expiry[0]
		w.expiry[0] = nil
		w.expiry = w.expiry[1:]
		w.bucket.endLoan(loan.held(), 0)
		delete(w.granted, loan.key)
	}
}

// expireTaken gives up what may no longer be spent.
func (w *workspace) expireTaken(now time.Time) {
	kept := w.spendable[:0]
	for _, loan := range w.spendable {
		if now.Before(loan.spendUntil) {
			kept = append(kept, loan)
		} else {
			loan.giveUp()
		}
	}
	clear(w.spendable[len(kept):])
	w.spendable = kept
}

// borrowed returns the tokens of loans that may be spent now.
func (w *workspace) borrowed() float64 {
	sum := 0.0
	for _, loan := range w.spendable {
		sum += loan.remaining
	}
	return sum
}

// available returns the tokens that a reservation could use now.
func (w *workspace) available() float64 {
	return max(0, w.bucket.Level) + w.borrowed()
}

// take reserves tokens, borrowed ones first because they expire.
func (w *workspace) take(m *Manager, tokens float64, now time.Time) *Reservation {
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
		w.bucket.take(rest)
		r.own = rest
	}
	return r
}

// refundLoan returns unused tokens to their loan.
func (w *workspace) refundLoan(part loanPart, now time.Time) {
	part.loan.remaining += part.tokens
	if !now.Before(part.loan.spendUntil) {
		part.loan.giveUp()
	}
}

// noteDemand counts tokens that a request asked for.
func (w *workspace) noteDemand(tokens float64, now time.Time) {
	w.decayDemand(now)
	w.demand += tokens
	w.recentUntil = now.Add(demandRecency)
}

func (w *workspace) decayDemand(now time.Time) {
	elapsed := now.Sub(w.demandSeen)
	w.demandSeen = now
	if w.demand > 0 && elapsed > 0 {
		w.demand *= math.Exp(-float64(elapsed) / float64(demandWindow))
	}
}

// expectedDemand returns the tokens likely to be requested within the horizon.
func (w *workspace) expectedDemand(now time.Time) float64 {
	w.decayDemand(now)
	return w.demand * float64(demandHorizon) / float64(demandWindow)
}

// lendable returns the tokens that other hosts may have: the level without what
// this host's own waiting requests need.
func (w *workspace) lendable() float64 {
	return max(0, w.bucket.Level-w.queue.tokens)
}

// lendableTo is lendable, unless the first waiting request needs loans itself
// and ends after the borrower's. Without this order, two hosts that each hold
// half of what both need would block each other.
func (w *workspace) lendableTo(request LoanRequest, now time.Time) float64 {
	own := w.queue.remaining(now)
	if w.queue.first > w.bucket.Capacity && request.Remaining > 0 && request.Remaining < own {
		return max(0, w.bucket.Level)
	}
	return w.lendable()
}

// lend answers a loan request that has not been seen before.
func (w *workspace) lend(request LoanRequest, grant LoanGrant, now time.Time) LoanGrant {
	w.recentUntil = now.Add(demandRecency)
	if amount := min(request.Amount, w.lendableTo(request, now)); amount > 0 {
		grant.Amount = amount
		w.bucket.lend(amount)
	}
	grant.Spare = w.lendable()
	loan := &grantedLoan{
		key:     keyOf(request),
		grant:   grant,
		expires: now.Add(grant.Hold + loanMargin),
	}
	w.granted[loan.key] = loan
	w.expiry = append(w.expiry, loan)
	return grant
}

// endGranted applies a borrower's report to a loan.
func (w *workspace) endGranted(loan *grantedLoan, report LoanReturn) {
	room := loan.held()
	unused := min(max(0, report.Unused-loan.unused), room)
	used := min(max(0, report.Used-loan.used), room-unused)
	loan.unused += unused
	loan.used += used
	w.bucket.endLoan(unused+used, unused)
}

// accept adds a granted loan that may still be spent.
func (w *workspace) accept(grant LoanGrant, sentAt, now time.Time) {
	loan := &takenLoan{
		grant:      grant,
		spendUntil: sentAt.Add(LoanSpendPeriod),
		endBy:      sentAt.Add(grant.Hold),
		lastUse:    now,
		remaining:  grant.Amount,
		reported:   LoanReturn{Unused: -1},
	}
	w.taken = append(w.taken, loan)
	w.spendable = append(w.spendable, loan)
}

// giveUpUnanswered records a request without a usable answer as a loan that is
// unused as a whole. The lender's incarnation stays 0 because it is not known.
func (w *workspace) giveUpUnanswered(pending pendingLoan, maxDeadline time.Duration) {
	request := pending.request
	w.taken = append(w.taken, &takenLoan{
		grant: LoanGrant{
			Workspace:   request.Workspace,
			Lender:      pending.lender,
			Borrower:    request.Borrower,
			Incarnation: request.Incarnation,
			Sequence:    request.Sequence,
			Amount:      request.Amount,
		},
		endBy:    pending.sentAt.Add(LoanSpendPeriod + maxDeadline),
		unused:   request.Amount,
		reported: LoanReturn{Unused: -1},
	})
}

// dropSettled forgets loans whose final totals the lender knows, or whose
// lender no longer waits for them.
func (w *workspace) dropSettled(now time.Time) {
	w.taken = slices.DeleteFunc(w.taken, func(loan *takenLoan) bool {
		return loan.settled() && (loan.confirmed || !now.Before(loan.endBy))
	})
}

// resize applies this host's part of the allowance.
func (w *workspace) resize(now time.Time, share float64) {
	w.advance(now)
	w.bucket.Resize(now, w.rate*share, w.burst*share)
}

// idle reports whether nothing of the workspace is in use at this host.
func (w *workspace) idle() bool {
	return w.bucket.Outstanding <= tokenTolerance && len(w.expiry) == 0 && len(w.taken) == 0
}

func keyOf(request LoanRequest) loanKey {
	return loanKey{request.Borrower, request.Incarnation, request.Sequence}
}
