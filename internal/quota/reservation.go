package quota

import "time"

// loanPart is the part of a reservation that comes from a loan.
type loanPart struct {
	loan   *borrowedLoan
	tokens float64 // not yet generated
}

// Reservation holds the tokens of one request from dispatch to settlement. Its
// methods are safe for concurrent use.
type Reservation struct {
	workspace *workspace
	manager   *Manager
	tokens    float64 // reserved at the start
	own       float64 // from the host's bucket and not yet generated
	borrowed  []loanPart
	generated float64 // total reported so far
	settled   bool
}

// Tokens returns the number of tokens reserved at the start.
func (r *Reservation) Tokens() float64 { return r.tokens }

// EndBy returns the time by which the request must have ended at the upstream because
// it uses borrowed tokens, or the zero time if it uses none. The dispatcher must limit
// the upstream's timeout accordingly, immediately before sending: after this time, the
// lender may grant the same tokens again.
func (r *Reservation) EndBy() time.Time {
	r.workspace.mu.Lock()
	defer r.workspace.mu.Unlock()
	var endBy time.Time
	for _, part := range r.borrowed {
		if endBy.IsZero() || part.loan.endBy.Before(endBy) {
			endBy = part.loan.endBy
		}
	}
	return endBy
}

// Progress reports the total of tokens generated since the start of the request, and
// frees their capacity. A total below an earlier one has no effect.
func (r *Reservation) Progress(generatedSoFar float64) {
	now := r.manager.clk.Now()
	r.workspace.mu.Lock()
	defer r.workspace.mu.Unlock()
	if r.settled {
		return
	}
	r.workspace.bucket.Refill(now)
	r.generate(generatedSoFar)
}

// Settle ends the reservation with the total of tokens used. Unused tokens are
// returned to the bucket or the loan that they came from. A second call has no
// effect.
func (r *Reservation) Settle(used float64) {
	now := r.manager.clk.Now()
	r.workspace.mu.Lock()
	if r.settled {
		r.workspace.mu.Unlock()
		return
	}
	r.settled = true
	r.workspace.bucket.Refill(now)
	r.generate(used)
	r.workspace.bucket.refund(r.own)
	for _, part := range r.borrowed {
		part.loan.outstanding -= part.tokens
		r.workspace.refundLoan(part, now)
	}
	r.own, r.borrowed = 0, nil
	r.workspace.mu.Unlock()
	r.manager.notify(r.workspace.name)
}

// generate accounts for the tokens generated since the last total, those of loans
// first, so that the loans can be returned sooner. It requires the workspace's mutex.
func (r *Reservation) generate(total float64) {
	delta := total - r.generated
	if delta <= 0 {
		return
	}
	r.generated = total
	for i := range r.borrowed {
		part := &r.borrowed[i]
		tokens := min(delta, part.tokens)
		part.tokens -= tokens
		part.loan.outstanding -= tokens
		part.loan.used += tokens
		delta -= tokens
	}
	tokens := min(delta, r.own)
	r.own -= tokens
	r.workspace.bucket.consume(tokens)
	if excess := delta - tokens; excess > 0 {
		r.workspace.bucket.charge(excess)
	}
}
