package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// Sizes from the growth section of docs/design.md. The page states no number of
// workspaces; 1,000 is an assumption.
const (
	growthHosts             = 1700
	growthEngines           = 10_000
	growthAdapters          = 5600
	growthWorkspaces        = 1000
	growthSlots             = 4096
	growthSlotsPerWorkspace = 64
	growthChangesPerDay     = 43_000
)

// series collects the figures of one benchmark by size.
type series struct {
	name       string  // of the measured component
	unit       string  // of the sizes
	growthSize float64 // size to extrapolate to
	fitFrom    float64 // smaller sizes are printed but excluded from the fit
	points     map[string][]point
}

type point struct{ size, value float64 }

func newSeries(name, unit string, growthSize float64) *series {
	return &series{name: name, unit: unit, growthSize: growthSize, points: map[string][]point{}}
}

func (s *series) add(figure string, size, value float64) {
	s.points[figure] = append(s.points[figure], point{size, value})
}

// print prints every figure with its fitted line and the line's value at growth
// size.
func (s *series) print() {
	figures := make([]string, 0, len(s.points))
	for figure := range s.points {
		figures = append(figures, figure)
	}
	slices.Sort(figures)
	for _, figure := range figures {
		fmt.Println(s.describe(figure)) // not b.Log, which truncates a benchmark's log after ten lines
	}
}

func (s *series) describe(figure string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s:", s.name, figure)
	fitted := []point{}
	for _, p := range s.points[figure] {
		fmt.Fprintf(&text, " %g=%.4g", p.size, p.value)
		if p.size >= s.fitFrom {
			fitted = append(fitted, p)
		}
	}
	line := fitLine(fitted)
	fmt.Fprintf(&text, " | slope %.4g per %s, intercept %.4g, r2 %.3f, at %g: %.4g",
		line.slope, s.unit, line.intercept, line.r2, s.growthSize, line.intercept+line.slope*s.growthSize)
	return text.String()
}

// line is a least-squares fit.
type line struct{ slope, intercept, r2 float64 }

func fitLine(points []point) line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, sumYY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
		sumYY += p.value * p.value
	}
	varX, varY, cov := sumXX-sumX*sumX/n, sumYY-sumY*sumY/n, sumXY-sumX*sumY/n
	if varX == 0 {
		return line{intercept: sumY / n}
	}
	fit := line{slope: cov / varX, r2: 1}
	fit.intercept = (sumY - fit.slope*sumX) / n
	if varY > 0 {
		fit.r2 = cov * cov / (varX * varY)
	}
	return fit
}

// Guards the figures of docs/CAPACITY.md against a wrong least-squares fit.
func TestFitLine(t *testing.T) {
	fit := fitLine([]point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	for _, check := range []struct{ got, want float64 }{{fit.slope, 2}, {fit.intercept, 3}, {fit.r2, 1}} {
		if cmp.Compare(math.Abs(check.got-check.want), 1e-9) > 0 {
			t.Errorf("fit %+v, want slope 2, intercept 3, r2 1", fit)
		}
	}
}
