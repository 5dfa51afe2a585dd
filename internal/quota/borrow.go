package quota

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// borrowTimeout bounds one loan request or return. It is far above any round
	// trip between data centres.
	borrowTimeout = 500 * time.Millisecond
	// loanAnswerWindow is how long a loan request in flight counts as expected
	// tokens. After that, other hosts are asked as well.
	loanAnswerWindow = 20 * time.Millisecond
	// maxLoansInFlight bounds the loan requests in flight per workspace.
	maxLoansInFlight = 16
	// minLoan is the smallest expected loan, in tokens, for which a host is asked.
	minLoan = 1.0
)

// plannedLoan is a planned loan request.
type plannedLoan struct {
	lender string
	amount float64
}

// inFlightLoan is a loan request without an answer yet.
type inFlightLoan struct {
	amount float64
	sentAt time.Time
}

// candidate is a possible lender.
type candidate struct {
	host  string
	spare float64
	probe bool // last call failed; asked without counting on its tokens
}

// borrow requests loans for the tokens that the queue lacks and for the demand
// expected within demandHorizon.
func (l *Limiter) borrow(q *queue, missing float64) {
	if l.policy != PolicyLoans {
		return
	}
	for _, planned := range l.planLoans(q, missing) {
		if !l.spawn(func() { l.requestLoan(q, planned) }) {
			return
		}
	}
}

// planLoans distributes the needed tokens over the hosts with the most spare tokens
// that have no request in flight, and marks the requests as in flight.
func (l *Limiter) planLoans(q *queue, missing float64) []plannedLoan {
	w, ok := l.manager.allowance(q.workspace)
	if !ok {
		return nil
	}
	now := l.clk.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	need := max(missing, q.tokens-w.available) + w.expectedDemand - q.expectedTokens(now)
	var loans []plannedLoan
	for _, candidate := range l.candidates(q, w, now) {
		if need <= 0 || len(q.inFlight) >= maxLoansInFlight {
			break
		}
		amount := min(need, candidate.spare)
		if !candidate.probe {
			need -= amount
		}
		q.inFlight[candidate.host] = inFlightLoan{amount: amount, sentAt: now}
		loans = append(loans, plannedLoan{candidate.host, amount})
	}
	return loans
}

// expectedTokens returns the tokens requested within loanAnswerWindow whose answers
// are outstanding.
func (q *queue) expectedTokens(now time.Time) float64 {
	sum := 0.0
	for _, loan := range q.inFlight {
		if now.Sub(loan.sentAt) < loanAnswerWindow {
			sum += loan.amount
		}
	}
	return sum
}

// candidates lists possible lenders, those with the most spare tokens first. A host
// is included if its spare tokens cover the whole queue, or the refill of its share
// within demandHorizon, which bounds the messages under lasting overload. Hosts whose
// last call failed come last, and only after their backoff.
func (l *Limiter) candidates(q *queue, w allowance, now time.Time) []candidate {
	var all, probes []candidate
	for _, lender := range w.lenders {
		if _, inFlight := q.inFlight[lender.host]; inFlight {
			continue
		}
		healthy, callable := l.balances.reachable(lender.host, now)
		spare, _ := l.balances.estimate(lender.host, w, lender.share, now)
		minSpare := max(minLoan, w.rate*lender.share*demandHorizon.Seconds())
		switch {
		case !healthy && callable:
			probes = append(probes, candidate{lender.host, w.burst * lender.share, true})
		case healthy && spare >= min(minSpare, max(tokenTolerance, q.tokens)):
			all = append(all, candidate{lender.host, spare, false})
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.spare, a.spare) })
	return append(all, probes...)
}

// requestLoan sends one loan request and processes the answer.
func (l *Limiter) requestLoan(q *queue, planned plannedLoan) {
	defer q.loanFinished(planned.lender)
	request, err := l.manager.NewLoanRequest(q.workspace, planned.lender, planned.amount)
	if err != nil {
		return // the workspace has been removed
	}
	ctx, cancel := context.WithTimeout(l.ctx, borrowTimeout)
	defer cancel()
	grant, err := l.client.Borrow(ctx, planned.lender, request)
	if err != nil {
		l.metrics.borrows.WithLabelValues(outcomeFailed).Inc()
		l.balances.failed(planned.lender, l.clk.Now())
		l.manager.Abandon(request)
		return
	}
	l.metrics.borrows.WithLabelValues(outcomeOK).Inc()
	l.metrics.borrowed.Add(grant.Amount)
	l.balances.answered(planned.lender, q.workspace, grant.Spare, l.clk.Now())
	l.manager.Accept(grant)
}

// loanFinished removes a request from those in flight and wakes the queue.
func (q *queue) loanFinished(lender string) {
	q.mu.Lock()
	delete(q.inFlight, lender)
	q.mu.Unlock()
	q.signal()
}

// startReturns sends loan returns in the background, one call at a time per lender,
// so that an unresponsive lender does not delay the others.
func (l *Limiter) startReturns() {
	now := l.clk.Now()
	for lender, reports := range byLender(l.manager.PendingReturns()) {
		if _, callable := l.balances.reachable(lender, now); !callable {
			continue
		}
		if _, busy := l.returning.LoadOrStore(lender, true); busy {
			continue
		}
		l.spawn(func() {
			defer l.returning.Delete(lender)
			l.sendReturns(l.ctx, lender, reports)
		})
	}
}

// byLender groups reports by lender.
func byLender(reports []LoanReturn) map[string][]LoanReturn {
	grouped := map[string][]LoanReturn{}
	for _, report := range reports {
		grouped[report.Lender] = append(grouped[report.Lender], report)
	}
	return grouped
}

// sendReturns sends reports to a lender. It stops at the first failure; unconfirmed
// reports are sent again later.
func (l *Limiter) sendReturns(ctx context.Context, lender string, reports []LoanReturn) {
	for _, report := range reports {
		callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		err := l.client.ReturnLoan(callCtx, lender, report)
		cancel()
		if err != nil {
			l.metrics.returns.WithLabelValues(outcomeFailed).Inc()
			l.balances.failed(lender, l.clk.Now())
			return
		}
		l.metrics.returns.WithLabelValues(outcomeOK).Inc()
		l.manager.ConfirmReturn(report)
	}
}
