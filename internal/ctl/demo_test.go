package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/cli"
	"github.com/arbutusbank/arbutusbank/internal/experiment"
)

// Guards against a failing demo, which is the first command that new users run.
func TestDemo(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := Run([]string{"demo"}, &stdout, &stderr); code != cli.ExitOK {
		t.Fatalf("exit code %d\n%s%s", code, stdout.String(), stderr.String())
	}
}

// Guards against a failing experiment runner, and against violations of the bounds
// that must hold exactly in every scenario.
func TestQuickExperiment(t *testing.T) {
	directory := t.TempDir()
	var stdout, stderr bytes.Buffer
	arguments := []string{"experiment", "../../scenarios/seed-office-quick.jsonc", "--policy", "standard", "--out", directory}
	if code := Run(arguments, &stdout, &stderr); code != cli.ExitOK {
		t.Fatalf("exit code %d\n%s", code, stderr.String())
	}
	data, err := os.ReadFile(filepath.Join(directory, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	var report experiment.Report
	if err := json.Unmarshal(data, &report); err != nil {
		t.Fatal(err)
	}
	exact := map[string]bool{
		"wrong_answers": true, "without_answer_in_time": true, "untrue_not_run": true, "double_runs": true,
		"excess_replicas": true, "memory_refusals": true, "caller_keys_at_upstreams": true, "tokens_over_allowance": true,
	}
	checked := 0
	for _, record := range report.Records {
		if !exact[record.Metric] {
			continue
		}
		checked++
		if record.Holds == nil || !*record.Holds {
			t.Errorf("%s is %v %s, want %s", record.Metric, record.Value, record.Unit, record.Target)
		}
	}
	if checked != len(exact) {
		t.Errorf("%d exact bounds in the report, want %d", checked, len(exact))
	}
}
