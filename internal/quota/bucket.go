// Package quota enforces each workspace's token rate and burst across all hosts,
// without a leader. Each host owns a share of every workspace's allowance, held in a
// token bucket, and lends tokens to hosts that run short. The tokens used in any
// interval never exceed burst + rate × time, even when hosts crash or pause, or
// messages are lost.
package quota

import "time"

// Bucket is the token bucket that holds one host's share of a workspace's allowance.
// All amounts are in tokens.
//
// Refill and credit never raise Level + Outstanding + Lent above Capacity. Otherwise a
// refill while tokens are outstanding or lent, followed by their return, would allow
// more than burst + rate × time.
type Bucket struct {
	Rate        float64   `json:"rate_tokens_per_s"`
	Capacity    float64   `json:"capacity"`
	Level       float64   `json:"level"`       // available now; negative after use beyond a reservation
	Outstanding float64   `json:"outstanding"` // reserved here and not yet generated
	Lent        float64   `json:"lent"`        // capacity withheld for loans to other hosts
	Updated     time.Time `json:"updated"`     // last refill
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

// Resize sets the rate (tokens per second) and the capacity (tokens) from now on
// and lowers the level to what fits. Added capacity starts empty.
func (b *Bucket) Resize(now time.Time, rate, capacity float64) {
	b.Refill(now)
	b.Rate, b.Capacity = rate, capacity
	b.Level = min(b.Level, b.maxLevel())
}

// WithinCapacity reports whether the tokens outstanding and lent fit into the
// capacity. It can be false after the capacity was lowered, until enough of them
// are used or returned.
func (b *Bucket) WithinCapacity() bool { return b.Outstanding+b.Lent <= b.Capacity+tokenTolerance }

// reserve moves tokens from the level to the outstanding amount. The caller has
// checked that the level suffices.
func (b *Bucket) reserve(tokens float64) {
	b.Level -= tokens
	b.Outstanding += tokens
}

// consume removes outstanding tokens that were generated.
func (b *Bucket) consume(tokens float64) {
	b.Outstanding = max(0, b.Outstanding-tokens)
}

// refund moves unused outstanding tokens back to the level.
func (b *Bucket) refund(tokens float64) {
	b.Outstanding = max(0, b.Outstanding-tokens)
	b.credit(tokens)
}

// lend moves tokens from the level to the capacity withheld for loans.
func (b *Bucket) lend(tokens float64) {
	b.Level -= tokens
	b.Lent += tokens
}

// endLoan frees withheld capacity and credits the part returned unused.
func (b *Bucket) endLoan(withheld, unused float64) {
	b.Lent = max(0, b.Lent-withheld)
	b.credit(unused)
}

// charge deducts tokens used beyond a reservation; the level may become negative.
func (b *Bucket) charge(tokens float64) { b.Level -= tokens }

// credit adds tokens up to maxLevel.
func (b *Bucket) credit(tokens float64) {
	b.Level = min(b.Level+tokens, max(b.Level, b.maxLevel()))
}

// maxLevel returns the highest level that the capacity allows now.
func (b *Bucket) maxLevel() float64 { return max(0, b.Capacity-b.Outstanding-b.Lent) }
