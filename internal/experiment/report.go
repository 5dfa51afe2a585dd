package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/loadgen"
)

// Report holds the records of all runs.
type Report struct {
	Records []Record `json:"records"`
}

// Measure returns the records of one run.
func (r *Run) Measure() []Record {
	set := &recordSet{run: r}
	set.measureInvariants()
	set.measureColdStarts()
	set.measureIdle()
	set.measureAllowance()
	set.measurePrefixHits()
	return set.records
}

// Compare returns records that compare the first policy of a scenario with each of
// its other policies: the ratio of their 99th percentiles of cold-start waits.
func Compare(runs []*Run, records []Record) []Record {
	if len(runs) < 2 {
		return nil
	}
	first := runs[0]
	set := &recordSet{run: first}
	own, ok := findRecord(records, first, "cold_start_p99")
	for _, other := range runs[1:] {
		baseline, found := findRecord(records, other, "cold_start_p99")
		if !ok || !found || baseline.Value == 0 {
			continue
		}
		set.add("cold_start_p99_over_"+other.Policy, own.Value/baseline.Value, "ratio").atMost(maxColdStartOverBaseline)
	}
	return set.records
}

func findRecord(records []Record, run *Run, metric string) (Record, bool) {
	for _, record := range records {
		if record.Scenario == run.Scenario.Name && record.Policy == run.Policy && record.Seed == run.Seed && record.Metric == metric {
			return record, true
		}
	}
	return Record{}, false
}

// MissedTargets returns the records whose bound was not met.
func (r *Report) MissedTargets() []Record {
	var missed []Record
	for _, record := range r.Records {
		if record.TargetMet != nil && !*record.TargetMet {
			missed = append(missed, record)
		}
	}
	return missed
}

// WriteError reports that a result file could not be written.
type WriteError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("write %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// WriteFiles writes report.json and report.md to a directory. Errors are
// *WriteError.
func (r *Report) WriteFiles(directory string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return &WriteError{File: "report.json", Cause: err}
	}
	if err := writeFile(directory, "report.json", append(data, '\n')); err != nil {
		return err
	}
	var table strings.Builder
	if err := r.WriteMarkdown(&table); err != nil {
		return &WriteError{File: "report.md", Cause: err}
	}
	return writeFile(directory, "report.md", []byte(table.String()))
}

func writeFile(directory, name string, data []byte) error {
	const readableByAll = 0o644
	if err := os.WriteFile(filepath.Join(directory, name), data, readableByAll); err != nil {
		return &WriteError{File: name, Cause: err}
	}
	return nil
}

// WriteMarkdown writes the records as a Markdown table.
func (r *Report) WriteMarkdown(w io.Writer) error {
	header := "| Scenario | Policy | Seed | Metric | Value | Unit | Target | Holds | Note |\n|---|---|---|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for _, record := range r.Records {
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %s | %.6g | %s | %s | %s | %s |\n", record.Scenario, record.Policy,
			record.Seed, record.Metric, record.Value, record.Unit, record.Target, holdsText(record.TargetMet), record.Note)
		if err != nil {
			return err
		}
	}
	return nil
}

func holdsText(holds *bool) string {
	switch {
	case holds == nil:
		return ""
	case *holds:
		return "yes"
	default:
		return "no"
	}
}

// writeOutcomes writes one JSON line per request.
func (r *Run) writeOutcomes(directory string) error {
	name := fmt.Sprintf("%s-%s-requests.jsonl", r.Scenario.Name, r.Policy)
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for i := range r.outcomes {
		if r.outcomes[i].Arrival == nil {
			continue
		}
		if err := encoder.Encode(newRequestRow(&r.outcomes[i])); err != nil {
			return &WriteError{File: name, Cause: err}
		}
	}
	return writeFile(directory, name, lines.Bytes())
}

// requestRow is one line of the requests file. Times are in milliseconds since the
// start of the load.
type requestRow struct {
	Number    int     `json:"number"`
	Planned   float64 `json:"planned_ms"`
	First     float64 `json:"first_ms"`
	Done      float64 `json:"done_ms"`
	Workspace string  `json:"workspace"`
	Class     string  `json:"class"`
	Model     string  `json:"model,omitempty"`
	Host      int     `json:"host"`
	RequestID string  `json:"request_id,omitempty"`
	Kind      string  `json:"kind"`
	Problem   string  `json:"problem,omitempty"`
	NotRun    bool    `json:"not_run"`
	Tokens    int     `json:"tokens"`
	Detail    string  `json:"detail,omitempty"`
}

func newRequestRow(o *loadgen.Outcome) requestRow {
	a := o.Arrival
	model := ""
	if a.Request != nil {
		model = a.Request.Model
	}
	return requestRow{
		Number: a.Number, Planned: toMilliseconds(a.At), First: toMilliseconds(o.FirstTextAt), Done: toMilliseconds(o.DoneAt),
		Workspace: a.Workspace, Class: a.Class, Model: model, Host: o.Host, RequestID: o.RequestID,
		Kind: o.Kind, Problem: o.ProblemType, NotRun: o.NotRun, Tokens: o.Tokens, Detail: o.Detail,
	}
}
