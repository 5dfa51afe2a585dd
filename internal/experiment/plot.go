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
	// plotSamples is the number of points along the time axis.
	plotSamples = 400
	// yAxisHeadroom is the factor by which the y axis exceeds the largest value.
	yAxisHeadroom = 1.25
	// minPlottedMS is the smallest plotted wait, as a logarithmic axis cannot show 0.
	minPlottedMS = 0.1
)

var dashedLine = []vg.Length{vg.Points(4), vg.Points(3)}

// Plot writes the plots of one scenario's runs to a directory and returns the file
// names. Errors are *WriteError.
func Plot(runs []*Run, directory string) ([]string, error) {
	p := &plotWriter{directory: directory}
	p.plotWaitTimes(runs)
	for _, run := range runs {
		p.plotTokens(run)
		p.plotReplicas(run)
	}
	return p.files, p.err
}

// plotWriter writes plots to files. After the first error it does nothing.
type plotWriter struct {
	directory string
	files     []string
	err       error
}

func (p *plotWriter) save(drawing *plot.Plot, name string) {
	if p.err != nil {
		return
	}
	if err := drawing.Save(plotWidth, plotHeight, filepath.Join(p.directory, name)); err != nil {
		p.err = &WriteError{File: name, Cause: err}
		return
	}
	p.files = append(p.files, name)
}

// addCurve adds a curve to a plot. It skips empty series.
func (p *plotWriter) addCurve(drawing *plot.Plot, name string, points plotter.XYs, hue color.Color, dashes []vg.Length) {
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

// plotWaitTimes plots the distribution of the time to the first token, for all
// answered requests and for the cold ones.
func (p *plotWriter) plotWaitTimes(runs []*Run) {
	name := runs[0].Scenario.Name
	drawing := newPlot(name+": waiting time", "time to the first token, ms", "share of answered requests")
	drawing.X.Scale = plot.LogScale{}
	drawing.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, run := range runs {
		p.addCurve(drawing, run.Policy+", all", cumulativeDistribution(run.allWaits()), plotutil.Color(i), nil)
		p.addCurve(drawing, run.Policy+", cold", cumulativeDistribution(run.coldWaits()), plotutil.Color(i), dashedLine)
	}
	p.save(drawing, name+"-waiting.png")
}

func (r *Run) allWaits() []time.Duration {
	firstToken := r.firstTokens()
	var waits []time.Duration
	for i := range r.outcomes {
		o := &r.outcomes[i]
		if o.Kind == loadgen.KindAnswered && o.Arrival.Request != nil {
			waits = append(waits, firstTextTime(o, firstToken)-o.Arrival.At)
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

func cumulativeDistribution(waits []time.Duration) plotter.XYs {
	slices.Sort(waits)
	points := make(plotter.XYs, len(waits))
	for i, wait := range waits {
		points[i].X = max(toMilliseconds(wait), minPlottedMS)
		points[i].Y = float64(i+1) / float64(len(waits))
	}
	return points
}

// plotTokens plots each workspace's cumulative tokens against its allowance.
func (p *plotWriter) plotTokens(run *Run) {
	name := fmt.Sprintf("%s-%s-tokens.png", run.Scenario.Name, run.Policy)
	drawing := newPlot(run.Scenario.Name+", "+run.Policy+": tokens (allowance dashed)", "time, s", "tokens")
	events := run.tokenEvents()
	for i, workspace := range slices.Sorted(maps.Keys(run.fleet.Deployment.Document.Workspaces)) {
		limits := run.fleet.Deployment.Document.Workspaces[workspace]
		hue := plotutil.Color(i)
		p.addCurve(drawing, workspace, cumulativeTokens(events[workspace]), hue, nil)
		end := run.loadDuration().Seconds()
		allowance := plotter.XYs{{X: 0, Y: limits.BurstTokens}, {X: end, Y: limits.BurstTokens + limits.RateTokensPerS*end}}
		p.addCurve(drawing, workspace+" allowance", allowance, hue, dashedLine)
	}
	addHeadroom(drawing)
	p.save(drawing, name)
}

// addHeadroom extends the y axis so that the legend does not cover the curves.
func addHeadroom(drawing *plot.Plot) { drawing.Y.Max *= yAxisHeadroom }

func cumulativeTokens(events []tokenEvent) plotter.XYs {
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

// plotReplicas plots the loaded replicas and the models with requests in progress.
func (p *plotWriter) plotReplicas(run *Run) {
	name := fmt.Sprintf("%s-%s-replicas.png", run.Scenario.Name, run.Policy)
	drawing := newPlot(run.Scenario.Name+", "+run.Policy+": replicas against demand", "time, s", "count")
	var loaded []interval
	for _, intervals := range run.replicas() {
		loaded = append(loaded, intervals...)
	}
	p.addCurve(drawing, "replicas loaded", run.sampleCounts(loaded), plotutil.Color(0), nil)
	p.addCurve(drawing, "models with requests in progress", run.sampleCounts(run.demand()), plotutil.Color(1), nil)
	addHeadroom(drawing)
	p.save(drawing, name)
}

// demand returns the periods in which each model had requests in progress, in order
// of their start.
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

// sampleCounts counts, at plotSamples evenly spaced times, the intervals that contain
// each time.
func (r *Run) sampleCounts(intervals []interval) plotter.XYs {
	points := make(plotter.XYs, plotSamples)
	for i := range points {
		at := r.loadDuration() * time.Duration(i) / plotSamples
		points[i].X = at.Seconds()
		for _, candidate := range intervals {
			if at >= candidate.from && at < candidate.until {
				points[i].Y++
			}
		}
	}
	return points
}
