// Package pace estimates how fast each upstream answers relative to the usual of its
// service. It is pure: the time is an argument, on the boot clock, and callers serialise.
package pace

import (
	"math"
	"time"
)

const (
	// fadeTime is the time in which an estimate without new samples loses all but 1/e of its
	// weight. Slow periods of engines last some seconds; an upstream that is avoided because
	// it was slow gets no samples and must be tried again.
	fadeTime = 10 * time.Second
	// maxWeight bounds the weight of the past, so that a change of pace shows after about as
	// many samples, however many came before.
	maxWeight = 6
	// priorWeight is the weight of the assumption that an upstream is as fast as usual. One
	// sample alone therefore moves an estimate by a third.
	priorWeight = 2
	// slowerWeight multiplies the weight of samples above the estimate: an upstream that
	// turns slow makes requests late at once, one that recovers can wait (peak EWMA).
	slowerWeight = 2
	// slowerMargin is how far above the estimate, as a logarithm, such a sample is. Nearer
	// ones are noise, and weighing its upper half more would make each upstream look slow.
	slowerMargin = 0.3
	// maxRatio bounds a sample; a stalled connection would otherwise outweigh all others.
	maxRatio = 16
	// notableRatio is the factor from which a pace, or its inverse, is worth a message.
	notableRatio = 1.25
)

// Estimate is how the times of one upstream incarnation compare with the usual ones. The
// zero value is neutral.
type Estimate struct {
	mean   float64 // logarithm of the ratio
	weight float64
	at     time.Duration
}

// Observe adds a sample: ratio is a measured time divided by the usual one, weight its
// weight in samples.
func (e *Estimate) Observe(now time.Duration, ratio, weight float64) {
	if !(ratio > 0) || !(weight > 0) { // also NaN
		return
	}
	x := logRatio(ratio)
	e.weight = e.weightAt(now)
	e.at = max(e.at, now)
	if x > e.mean+slowerMargin {
		weight *= slowerWeight
	}
	weight = min(weight, maxWeight)
	e.mean += (x - e.mean) * weight / (e.weight + weight)
	e.weight = min(e.weight+weight, maxWeight)
}

func (e *Estimate) weightAt(now time.Duration) float64 {
	if e.weight == 0 || now <= e.at {
		return e.weight
	}
	return e.weight * math.Exp(-float64(now-e.at)/float64(fadeTime))
}

// Factor returns the expected ratio of a time to the usual one: 1 is neutral, 2 takes twice
// as long. It tends to 1 as the estimate ages.
func (e *Estimate) Factor(now time.Duration) float64 { return combine(now, e, nil) }

// Confidence returns the confidence of the estimate, 0 to 1.
func (e *Estimate) Confidence(now time.Duration) float64 {
	weight := e.weightAt(now)
	return weight / (weight + priorWeight)
}

// Age returns the time since the last sample.
func (e *Estimate) Age(now time.Duration) time.Duration { return max(0, now-e.at) }

// combine returns the factor by two estimates; the second one is optional.
func combine(now time.Duration, a, b *Estimate) float64 {
	sum, weight := 0.0, float64(priorWeight)
	for _, e := range [...]*Estimate{a, b} {
		if e == nil || e.weight == 0 {
			continue
		}
		w := e.weightAt(now)
		sum += w * e.mean
		weight += w
	}
	if sum == 0 {
		return 1
	}
	return math.Exp(sum / weight)
}

// logRatio returns the bounded logarithm of a ratio.
func logRatio(ratio float64) float64 { return math.Log(min(max(ratio, 1.0/maxRatio), maxRatio)) }

// ratioOf returns the ratio of a logarithm, to three digits: messages carry it.
func ratioOf(logarithm float64) float64 { return math.Round(1000*math.Exp(logarithm)) / 1000 }

// estimateOf returns the estimate that another host has made.
func estimateOf(now time.Duration, s Shared) Estimate {
	if !(s.Ratio > 0) || !(s.Weight > 0) {
		return Estimate{}
	}
	return Estimate{mean: logRatio(s.Ratio), weight: min(s.Weight, maxWeight), at: now}
}

// Notable reports whether a factor differs so much from neutral that others should know.
func Notable(factor float64) bool { return factor >= notableRatio || factor <= 1/notableRatio }
