package experiment

import (
	"cmp"
	"fmt"
	"image/color"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/arbutusbank/arbutusbank/internal/loadgen"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	lineWidth  = vg.Length(1.5)
	// plotSamples is the number of points along a time axis.
	plotSamples = 400
	// plotHeadroom is the factor by which an axis exceeds the highest value.
	plotHeadroom = 1.25
	// leastPlottedMS keeps waits positive on a logarithmic axis.
	leastPlottedMS = 0.1
)

var allowanceDashes = []vg.Length{vg.Points(4), vg.Points(3)}

// Plot writes the plots of the runs of one scenario to a directory and returns
// the names of the files. It returns *WriteError.
func Plot(runs []*Run, directory string) ([]string, error) {
	p := &plots{directory: directory}
	p.waiting(runs)
	for _, run := range runs {
		p.tokens(run)
		p.replicas(run)
	}
	return p.files, p.err
}

// plots keeps the first error and skips what follows it.
type plots struct {
	directory string
	files     []string
	err       error
}

func (p *plots) save(drawing *plot.Plot, name string) {
	if p.err != nil {
		return
	}
	if err := drawing.Save(plotWidth, plotHeight, filepath.Join(p.directory, name)); err != nil {
		p.err = &WriteError{File: name, Cause: err}
		return
	}
	p.files = append(p.files, name)
}

// line adds a curve; series without points are left out.
func (p *plots) line(drawing *plot.Plot, name string, points plotter.XYs, hue color.Color, dashes []vg.Length) {
	if p.err != nil || len(points) == 0 {
		return
	}
	curve, err := plotter.NewLine(points)
	if err != nil {
		p.err = &WriteError{File: name, Cause: err}
		return
	}
	curve.Color, curve.Width, curve.Dashes = hue, lineWidth, dashes
	drawing.Add(curve)
	drawing.Legend.Add(name, curve)
}

func newPlot(title, x, y string) *plot.Plot {
	drawing := plot.New()
	drawing.Title.Text, drawing.X.Label.Text, drawing.Y.Label.Text = title, x, y
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	drawing.Add(plotter.NewGrid())
	return drawing
}

// waiting draws the distribution of the time to the first token, of all and of
// cold requests.
func (p *plots) waiting(runs []*Run) {
	name := runs[0].Scenario.Name
	drawing := newPlot(name+": waiting time", "time to the first token, ms", "share of answered requests")
	drawing.X.Scale = plot.LogScale{}
	drawing.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, run := range runs {
		p.line(drawing, run.Policy+", all", distribution(run.allWaits()), plotutil.Color(i), nil)
		p.line(drawing, run.Policy+", cold", distribution(run.coldWaits()), plotutil.Color(i), allowanceDashes)
	}
	p.save(drawing, name+"-waiting.png")
}

func (r *Run) allWaits() []time.Duration {
	firstToken := r.firstTokens()
	var waits []time.Duration
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.Kind == loadgen.KindAnswered && o.Arrival.Request != nil {
			waits = append(waits, firstText(o, firstToken)-o.Arrival.At)
		}
	}
	return waits
}

func (r *Run) coldWaits() []time.Duration {
	var waits []time.Duration
	for _, start := range r.coldStarts() {
		if start.wait > 0 {
			waits = append(waits, start.wait)
		}
	}
	return waits
}

func distribution(waits []time.Duration) plotter.XYs {
	slices.Sort(waits)
	points := make(plotter.XYs, len(waits))
	for i, wait := range waits {
		points[i].X = max(inMilliseconds(wait), leastPlottedMS)
		points[i].Y = float64(i+1) / float64(len(waits))
	}
	return points
}

// tokens draws each workspace's tokens against its allowance.
func (p *plots) tokens(run *Run) {
	name := fmt.Sprintf("%s-%s-tokens.png", run.Scenario.Name, run.Policy)
	drawing := newPlot(run.Scenario.Name+", "+run.Policy+": tokens (allowance dashed)", "time, s", "tokens")
	events := run.tokenEvents()
	for i, workspace := range slices.Sorted(maps.Keys(run.fleet.Deployment.Document.Workspaces)) {
		limits := run.fleet.Deployment.Document.Workspaces[workspace]
		hue := plotutil.Color(i)
		p.line(drawing, workspace, cumulative(events[workspace]), hue, nil)
		end := run.horizon().Seconds()
		allowance := plotter.XYs{{X: 0, Y: limits.BurstTokens}, {X: end, Y: limits.BurstTokens + limits.RateTokensPerS*end}}
		p.line(drawing, workspace+" allowance", allowance, hue, allowanceDashes)
	}
	leaveHeadroom(drawing)
	p.save(drawing, name)
}

// leaveHeadroom keeps the curves below the legend.
func leaveHeadroom(drawing *plot.Plot) { drawing.Y.Max *= plotHeadroom }

func cumulative(events []tokenEvent) plotter.XYs {
	points := make(plotter.XYs, 0, plotSamples+1)
	every := max(len(events)/plotSamples, 1)
	total := 0
	for i, event := range events {
		total += event.tokens
		if i%every == 0 || i == len(events)-1 {
			points = append(points, plotter.XY{X: event.at.Seconds(), Y: float64(total)})
		}
	}
	return points
}

// replicas draws the loaded replicas against the models asked for.
func (p *plots) replicas(run *Run) {
	name := fmt.Sprintf("%s-%s-replicas.png", run.Scenario.Name, run.Policy)
	drawing := newPlot(run.Scenario.Name+", "+run.Policy+": replicas against demand", "time, s", "count")
	var loaded []interval
	for _, intervals := range run.replicas() {
		loaded = append(loaded, intervals...)
	}
	p.line(drawing, "replicas loaded", run.sampled(loaded), plotutil.Color(0), nil)
	p.line(drawing, "models with requests in progress", run.sampled(run.demand()), plotutil.Color(1), nil)
	leaveHeadroom(drawing)
	p.save(drawing, name)
}

// demand returns, for each model, when it had requests in progress.
func (r *Run) demand() []interval {
	byModel := map[string][]interval{}
	for i := range r.outcomes {
		if o := &r.outcomes[i]; o.Arrival != nil && o.Arrival.Request != nil {
			model := baseModel(o.Arrival.Request.Model)
			byModel[model] = append(byModel[model], interval{o.Arrival.At, o.DoneAt})
		}
	}
	var demand []interval
	for _, intervals := range byModel {
		demand = append(demand, union(intervals)...)
	}
	slices.SortFunc(demand, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	return demand
}

// sampled counts the intervals that contain each of a number of times.
func (r *Run) sampled(intervals []interval) plotter.XYs {
	points := make(plotter.XYs, plotSamples)
	for i := range points {
		at := r.horizon() * time.Duration(i) / plotSamples
		points[i].X = at.Seconds()
		for _, candidate := range intervals {
			if at >= candidate.from && at < candidate.until {
				points[i].Y++
			}
		}
	}
	return points
}
