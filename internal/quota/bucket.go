// Package quota enforces each workspace's rate and burst, summed over all
// hosts, without a leader. Each host owns a part of every allowance and lends
// tokens to hosts that run short. The tokens used in an interval never exceed
// burst + rate × time, whichever hosts crash, pause or lose messages.
package quota

import "time"

// Bucket is one host's part of a workspace's allowance. All amounts are tokens.
//
// Level + Outstanding + Lent never grows beyond Capacity. A bucket that refills
// while tokens are outstanding or lent, and then gets them back, would allow
// more than burst + rate × time.
type Bucket struct {
	Rate        float64   `json:"rate_tokens_per_s"`
	Capacity    float64   `json:"capacity"`
	Level       float64   `json:"level"`       // available now; negative after use beyond a reservation
	Outstanding float64   `json:"outstanding"` // reserved here and not yet generated
	Lent        float64   `json:"lent"`        // capacity held back for loans to other hosts
	Updated     time.Time `json:"updated"`
}

// Refill adds the tokens that accrued since the last update.
func (b *Bucket) Refill(now time.Time) {
	elapsed := now.Sub(b.Updated)
	if elapsed <= 0 {
		return
	}
	b.Updated = now
	b.credit(b.Rate * elapsed.Seconds())
}

// Resize sets rate and capacity from now on and clamps the level. Added
// capacity starts empty.
func (b *Bucket) Resize(now time.Time, rate, capacity float64) {
	b.Refill(now)
	b.Rate, b.Capacity = rate, capacity
	b.Level = min(b.Level, b.room())
}

// WithinCapacity reports whether the tokens outstanding and lent fit into the capacity.
// It is false for a while after the capacity was lowered.
func (b *Bucket) WithinCapacity() bool { return b.Outstanding+b.Lent <= b.Capacity+tokenTolerance }

// take moves tokens from the level to the reserved amount. The caller has
// checked that the level suffices.
func (b *Bucket) take(tokens float64) {
	b.Level -= tokens
	b.Outstanding += tokens
}

// generated removes reserved tokens that were used.
func (b *Bucket) generated(tokens float64) {
	b.Outstanding = max(0, b.Outstanding-tokens)
}

// refund returns reserved tokens that were not used.
func (b *Bucket) refund(tokens float64) {
	b.Outstanding = max(0, b.Outstanding-tokens)
	b.credit(tokens)
}

// lend moves tokens from the level to the capacity held back for a loan.
func (b *Bucket) lend(tokens float64) {
	b.Level -= tokens
	b.Lent += tokens
}

// endLoan frees held-back capacity and credits the part that came back unused.
func (b *Bucket) endLoan(held, unused float64) {
	b.Lent = max(0, b.Lent-held)
	b.credit(unused)
}

// charge deducts use beyond a reservation; the level may become negative.
func (b *Bucket) charge(tokens float64) { b.Level -= tokens }

// credit adds tokens up to the room left.
func (b *Bucket) credit(tokens float64) {
	b.Level = min(b.Level+tokens, max(b.Level, b.room()))
}

// room returns the highest level that the capacity allows.
func (b *Bucket) room() float64 { return max(0, b.Capacity-b.Outstanding-b.Lent) }
