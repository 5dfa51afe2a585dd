package loadgen

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency summarizes a histogram of latencies in milliseconds, measured from the
// planned arrival times.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Refusals counts the refusals of one problem type.
type Refusals struct {
	Total  int `json:"total"`
	NotRun int `json:"not_run"`
}

// Group summarizes one workspace's requests of one class.
type Group struct {
	Workspace        string              `json:"workspace"`
	Class            string              `json:"class"`
	Planned          int                 `json:"planned"`
	Kinds            map[string]int      `json:"kinds"`
	InTime           int                 `json:"in_time"`
	Late             int                 `json:"late"` // finished, with any outcome, after the deadline plus deadlineGrace
	Tokens           int                 `json:"tokens"`
	Refusals         map[string]Refusals `json:"refusals"`
	FirstTextLatency Latency             `json:"first"` // of answered requests, until the first text
	TotalLatency     Latency             `json:"whole"` // of answered requests, until the end

	firstTextHistogram *hdrhistogram.Histogram
	totalHistogram     *hdrhistogram.Histogram
}

// Result summarizes a load run.
type Result struct {
	DurationS float64  `json:"duration_s"`
	SendLag   Latency  `json:"send_lag"` // delay between planned and actual send times
	Groups    []*Group `json:"groups"`
	Wrong     []string `json:"wrong,omitempty"` // details of the first wrong responses, at most maxWrongDetails
}

const maxWrongDetails = 20

// Summarize groups outcomes by workspace and class.
func Summarize(outcomes []Outcome, duration time.Duration) *Result {
	result := &Result{DurationS: duration.Seconds()}
	groups := map[[2]string]*Group{}
	lag := newHistogram()
	for i := range outcomes {
		o := &outcomes[i]
		if o.Arrival == nil {
			continue
		}
		key := [2]string{o.Arrival.Workspace, o.Arrival.Class}
		if groups[key] == nil {
			groups[key] = newGroup(key[0], key[1])
		}
		groups[key].add(o)
		recordDuration(lag, o.SentAt-o.Arrival.At)
		if o.Kind == KindWrong && len(result.Wrong) < maxWrongDetails {
			result.Wrong = append(result.Wrong, fmt.Sprintf("request %d: %s", o.Arrival.Number, o.Detail))
		}
	}
	result.SendLag = summarizeHistogram(lag)
	for _, group := range groups {
		group.FirstTextLatency, group.TotalLatency = summarizeHistogram(group.firstTextHistogram), summarizeHistogram(group.totalHistogram)
		result.Groups = append(result.Groups, group)
	}
	slices.SortFunc(result.Groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return result
}

// CountKind returns the number of outcomes of one kind over all groups.
func (r *Result) CountKind(kind string) int {
	total := 0
	for _, group := range r.Groups {
		total += group.Kinds[kind]
	}
	return total
}

// LateCount returns the number of late outcomes over all groups.
func (r *Result) LateCount() int {
	total := 0
	for _, group := range r.Groups {
		total += group.Late
	}
	return total
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

func newGroup(workspace, class string) *Group {
	return &Group{
		Workspace: workspace, Class: class,
		Kinds: map[string]int{}, Refusals: map[string]Refusals{},
		firstTextHistogram: newHistogram(), totalHistogram: newHistogram(),
	}
}

func (g *Group) add(o *Outcome) {
	g.Planned++
	g.Kinds[o.Kind]++
	g.Tokens += o.Tokens
	if o.MetDeadline() {
		g.InTime++
	}
	if o.Late() {
		g.Late++
	}
	switch o.Kind {
	case KindRefused:
		refusals := g.Refusals[o.ProblemType]
		refusals.Total++
		if o.NotRun {
			refusals.NotRun++
		}
		g.Refusals[o.ProblemType] = refusals
	case KindAnswered:
		recordDuration(g.firstTextHistogram, o.FirstTextAt-o.Arrival.At)
		recordDuration(g.totalHistogram, o.DoneAt-o.Arrival.At)
	}
}

func recordDuration(histogram *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	_ = histogram.RecordValue(micros) // cannot fail: micros is within the histogram's range
}

func summarizeHistogram(histogram *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Latency{
		Count: histogram.TotalCount(),
		P50:   millis(histogram.ValueAtQuantile(50)),
		P90:   millis(histogram.ValueAtQuantile(90)),
		P99:   millis(histogram.ValueAtQuantile(99)),
		Max:   millis(histogram.Max()),
	}
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as plain-text tables.
func (r *Result) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "workspace\tclass\tplanned\tanswered\tin time\trefused\tcut\twrong\tbroken\tno answer\tlate\tfirst p50/p99 ms\twhole p50/p99 ms")
	for _, g := range r.Groups {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f/%.1f\t%.1f/%.1f\n",
			g.Workspace, g.Class, g.Planned, g.Kinds[KindAnswered], g.InTime, g.Kinds[KindRefused], g.Kinds[KindTruncated],
			g.Kinds[KindWrong], g.Kinds[KindConnectionLost], g.Kinds[KindNoResponse], g.Late,
			g.FirstTextLatency.P50, g.FirstTextLatency.P99, g.TotalLatency.P50, g.TotalLatency.P99)
	}
	for _, g := range r.Groups {
		for _, name := range slices.Sorted(maps.Keys(g.Refusals)) {
			refusals := g.Refusals[name]
			fmt.Fprintf(table, "refused %s %s\t%s\t%d\tnot run %d\n", g.Workspace, g.Class, name, refusals.Total, refusals.NotRun)
		}
	}
	for _, detail := range r.Wrong {
		fmt.Fprintln(table, "wrong:", detail)
	}
	return table.Flush()
}
