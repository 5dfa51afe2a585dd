package scaling

import (
	"math"
	"time"
)

const (
	// histogramMin is the upper edge of the first bin.
	histogramMin = 100 * time.Millisecond
	// binsPerOctave makes bins 4% wide. With coarser bins, the error in the
	// predicted next use costs more idle time than a load.
	binsPerOctave = 16
	// histogramBins covers gaps of up to 58 h.
	histogramBins = 21 * binsPerOctave
	// histogramDecayAt is the total weight at which all weights are halved.
	histogramDecayAt = 64
)

// histogram counts idle gaps in logarithmic bins. The weight of older gaps decays, so
// that the histogram follows changes of the arrival pattern.
type histogram struct {
	bins  [histogramBins]float32
	total float32
}

// binOf returns the bin of a gap.
func binOf(gap time.Duration) int {
	if gap <= histogramMin {
		return 0
	}
	octaves := math.Log2(float64(gap) / float64(histogramMin))
	return min(histogramBins-1, int(math.Ceil(octaves*binsPerOctave)))
}

// upperEdge returns the upper edge of a bin.
func upperEdge(bin int) time.Duration {
	return time.Duration(float64(histogramMin) * math.Exp2(float64(bin)/binsPerOctave))
}

// add counts a gap and applies the decay.
func (h *histogram) add(gap time.Duration) {
	h.bins[binOf(gap)]++
	h.total++
	if h.total < histogramDecayAt {
		return
	}
	h.total = 0
	for i := range h.bins {
		h.bins[i] /= 2
		h.total += h.bins[i]
	}
}

// quantile returns the upper edge of the bin that contains the quantile q (0 to 1).
func (h *histogram) quantile(q float64) time.Duration {
	sum := float32(0)
	for i, count := range h.bins {
		sum += count
		if float64(sum) >= q*float64(h.total) && sum > 0 {
			return upperEdge(i)
		}
	}
	return upperEdge(histogramBins - 1)
}

// cheapestKeepAlive returns the keep-alive time with the lowest cost over the recorded
// gaps. A gap within the keep-alive time costs its own length as idle time; a longer
// gap costs the keep-alive time and one cold start. coldStart is the cost of a cold
// start in idle time.
func (h *histogram) cheapestKeepAlive(coldStart time.Duration) time.Duration {
	best, bestCost := time.Duration(0), float64(h.total)*coldStart.Seconds()
	idleSeconds, covered := float64(0), float64(0) // of the gaps within the keep-alive time; covered is their count
	for i, count := range h.bins {
		if count == 0 {
			continue
		}
		idleSeconds += float64(count) * upperEdge(i).Seconds()
		covered += float64(count)
		longer := float64(h.total) - covered
		cost := idleSeconds + longer*(upperEdge(i)+coldStart).Seconds()
		if cost < bestCost {
			best, bestCost = upperEdge(i), cost
		}
	}
	return best
}
