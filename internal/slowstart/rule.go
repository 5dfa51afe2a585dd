package slowstart

import "math"

// StartSize is the number of concurrent requests over all hosts with which a window begins: an
// upstream that can't answer delays so many until a host knows.
const StartSize = 3.0

// gradientTolerance is the ratio to the usual time up to which Gradient takes an answer for one
// in time.
const gradientTolerance = 1.5

// A Rule is an algorithm that sets the size of a window from answers.
type Rule struct {
	Name string
	// next returns the size after an answer that took ratio times as long as usual. own is the
	// part of this host; slowed reports that an answer was slow before.
	next func(size, own, ratio float64, slowed bool) float64
	// doubles reports that time without a slow answer doubles the size, too, not only adds to it.
	doubles bool
}

// Rules that docs/design/slow-start.md compares. The gateway uses Doubling.
var (
	// Doubling doubles the window with each answered round trip up to the first slow answer,
	// and then goes on like Additive, as TCP does.
	Doubling = Rule{"doubling", func(size, own, ratio float64, slowed bool) float64 {
		if slowed || ratio >= slowRatio {
			return additive(size, own, ratio, slowed)
		}
		return size + size/own
	}, true}
	// Additive adds StartSize with each answered round trip and halves the window on a slow answer.
	Additive = Rule{"additive", additive, false}
	// Gradient moves the window in proportion to the usual time relative to the measured one.
	Gradient = Rule{"gradient", func(size, own, ratio float64, _ bool) float64 {
		target := size*min(1, max(0.5, gradientTolerance/ratio)) + math.Sqrt(size)
		return size + (target-size)/own
	}, false}
)

func additive(size, own, ratio float64, _ bool) float64 {
	if ratio >= slowRatio {
		return size / 2
	}
	return size + StartSize/own
}
