package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
)

// SuiteOptions configures RunAll.
type SuiteOptions struct {
	Files     []string
	Seed      uint64
	Directory string // for result files; created if needed
	Policy    string // run only this policy; empty: all
	StartHost StartHost
	Log       io.Writer // one line per run
}

// UnknownPolicyError reports a scenario that lacks the requested policy.
type UnknownPolicyError struct{ Scenario, Policy string }

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("scenario %s has no policy %q", e.Scenario, e.Policy)
}

// RunAll runs scenario files one after the other and writes the report and the
// plots. It reads all files before the first run. If a scenario fails, the report
// of the scenarios before it has already been written and is returned as well.
// Errors are *ScenarioError, *RunError, *UnknownPolicyError or *WriteError.
func RunAll(ctx context.Context, options SuiteOptions) (*Report, error) {
	var scenarios []*Scenario
	for _, file := range options.Files {
		scenario, err := ReadScenario(file)
		if err != nil {
			return nil, err
		}
		scenarios = append(scenarios, scenario)
	}
	const directoryMode = 0o755
	if err := os.MkdirAll(options.Directory, directoryMode); err != nil {
		return nil, &WriteError{File: options.Directory, Cause: err}
	}
	report := &Report{}
	for _, scenario := range scenarios {
		if err := runScenario(ctx, options, scenario, report); err != nil {
			return report, err
		}
	}
	return report, nil
}

func runScenario(ctx context.Context, options SuiteOptions, scenario *Scenario, report *Report) error {
	var runs []*Run
	for _, policy := range scenario.Policies {
		if options.Policy != "" && options.Policy != policy.Name {
			continue
		}
		fmt.Fprintf(options.Log, "%s, policy %s, seed %d: %v of load\n", scenario.Name, policy.Name, options.Seed, scenario.duration())
		run, err := Execute(ctx, scenario, policy, options.Seed, options.StartHost)
		if err != nil {
			return err
		}
		if err := run.writeOutcomes(options.Directory); err != nil {
			return err
		}
		if err := run.writeSlowest(options.Directory); err != nil {
			return err
		}
		runs = append(runs, run)
		report.Records = append(report.Records, run.Measure()...)
	}
	if len(runs) == 0 {
		return &UnknownPolicyError{scenario.Name, options.Policy}
	}
	report.Records = append(report.Records, Compare(runs, report.Records)...)
	if _, err := Plot(runs, options.Directory); err != nil {
		return err
	}
	return report.WriteFiles(options.Directory)
}
