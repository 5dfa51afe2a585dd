package quota

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// borrowTimeout bounds one loan request; it is far above any round trip
	// between data centres.
	borrowTimeout = 500 * time.Millisecond
	// answerExpected is how long a request in flight counts towards the need.
	// After that, other hosts are asked as well.
	answerExpected = 20 * time.Millisecond
	// maxLenders bounds the requests of one workspace in flight.
	maxLenders = 16
	// minimumAsk is the smallest loan worth a message, in tokens.
	minimumAsk = 1.0
)

// ask is a planned loan request.
type ask struct {
	lender string
	amount float64
}

// inFlight is a loan request without an answer yet.
type inFlight struct {
	amount float64
	sentAt time.Time
}

// candidate is a host that could lend.
type candidate struct {
	host  string
	spare float64
	probe bool // did not answer last time; asked without relying on it
}

// borrow asks other hosts for what the queue lacks and for the demand expected
// within the horizon.
func (l *Limiter) borrow(q *queue, missing float64) {
	if l.policy != PolicyLoans {
		return
	}
	for _, planned := range l.planAsks(q, missing) {
		if !l.spawn(func() { l.ask(q, planned) }) {
			return
		}
	}
}

// planAsks spreads the need over the hosts with the most spare tokens that are
// not being asked already.
func (l *Limiter) planAsks(q *queue, missing float64) []ask {
	w, ok := l.manager.allowance(q.workspace)
	if !ok {
		return nil
	}
	now := l.clk.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	need := max(missing, q.tokens-w.available) + w.expected - q.expectedLoans(now)
	var asks []ask
	for _, candidate := range l.candidates(q, w, now) {
		if need <= 0 || len(q.asking) >= maxLenders {
			break
		}
		amount := min(need, candidate.spare)
		if !candidate.probe {
			need -= amount
		}
		q.asking[candidate.host] = inFlight{amount: amount, sentAt: now}
		asks = append(asks, ask{candidate.host, amount})
	}
	return asks
}

// expectedLoans returns the tokens asked for whose answers are due.
func (q *queue) expectedLoans(now time.Time) float64 {
	sum := 0.0
	for _, loan := range q.asking {
		if now.Sub(loan.sentAt) < answerExpected {
			sum += loan.amount
		}
	}
	return sum
}

// candidates lists hosts worth asking, those with the most spare tokens first.
// A host is worth asking when it covers the need, or a tenth of a second of its
// refill, which bounds the messages in lasting overload. Hosts that did not
// answer last time come last, once their waiting time has passed.
func (l *Limiter) candidates(q *queue, w allowance, now time.Time) []candidate {
	var all, probes []candidate
	for _, lender := range w.lenders {
		if _, asked := q.asking[lender.host]; asked {
			continue
		}
		answers, try := l.balances.reachable(lender.host, now)
		spare, _ := l.balances.estimate(lender.host, w, lender.share, now)
		enough := max(minimumAsk, w.rate*lender.share*demandHorizon.Seconds())
		switch {
		case !answers && try:
			probes = append(probes, candidate{lender.host, w.burst * lender.share, true})
		case answers && spare >= min(enough, max(tokenTolerance, q.tokens)):
			all = append(all, candidate{lender.host, spare, false})
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(b.spare, a.spare) })
	return append(all, probes...)
}

// ask sends one request and takes in the answer.
func (l *Limiter) ask(q *queue, planned ask) {
	defer q.answered(planned.lender)
	request, err := l.manager.NewLoanRequest(q.workspace, planned.lender, planned.amount)
	if err != nil {
		return // the workspace has gone
	}
	ctx, cancel := context.WithTimeout(l.ctx, borrowTimeout)
	defer cancel()
	grant, err := l.lenders.Borrow(ctx, planned.lender, request)
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

// answered ends a request in flight.
func (q *queue) answered(lender string) {
	q.mu.Lock()
	delete(q.asking, lender)
	q.mu.Unlock()
	q.signal()
}

// startReturns reports loans to their lenders in the background, one call at a
// time per lender, so that a silent lender does not delay the others.
func (l *Limiter) startReturns() {
	now := l.clk.Now()
	for lender, reports := range byLender(l.manager.PendingReturns()) {
		if _, try := l.balances.reachable(lender, now); !try {
			continue
		}
		if _, busy := l.returning.LoadOrStore(lender, true); busy {
			continue
		}
		l.spawn(func() {
			defer l.returning.Delete(lender)
			l.returnTo(l.ctx, lender, reports)
		})
	}
}

func byLender(reports []LoanReturn) map[string][]LoanReturn {
	grouped := map[string][]LoanReturn{}
	for _, report := range reports {
		grouped[report.Lender] = append(grouped[report.Lender], report)
	}
	return grouped
}

// returnTo stops at the first failure; the rest is reported again later.
func (l *Limiter) returnTo(ctx context.Context, lender string, reports []LoanReturn) {
	for _, report := range reports {
		callCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		err := l.lenders.ReturnLoan(callCtx, lender, report)
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
