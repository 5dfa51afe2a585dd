package ctl

import (
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/experiment"
)

// MissedTargetsError reports the number of measured values outside their bounds.
type MissedTargetsError struct{ Count int }

// Error implements error.
func (e *MissedTargetsError) Error() string {
	return fmt.Sprintf("%d values are outside their bounds; see the report", e.Count)
}

func newExperimentCommand() *cobra.Command {
	options := experiment.SuiteOptions{}
	var verbose, strict bool
	command := &cobra.Command{
		Use:   "experiment FILE...",
		Short: "Run scenario files and write a report with plots",
		Long: `Run scenario files (JSON with comments) one after the other.

Each scenario runs its stand-ins and real hosts in this process over loopback,
once per policy. The output directory receives report.json, report.md and PNG
plots of waiting times, tokens against allowance, and replicas against demand.`,
		Example: "  arbutusctl experiment scenarios/seed-office-quick.jsonc --seed 1 --out report",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.Files = args
			options.Log = cmd.ErrOrStderr()
			options.StartHost = hostStarter(hostLogger(cmd.ErrOrStderr(), verbose))
			return runExperiment(cmd, options, strict)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the deployment, the arrivals and the faults")
	flags.StringVar(&options.Directory, "out", "report", "directory for the results")
	flags.StringVar(&options.Policy, "policy", "", "run only this policy")
	flags.BoolVar(&verbose, "verbose", false, "print the hosts' logs")
	flags.BoolVar(&strict, "strict", false, "exit with code 1 when a value is outside its bound")
	return command
}

// hostLogger returns a JSON logger if verbose, or else one that discards its input.
func hostLogger(w io.Writer, verbose bool) logr.Logger {
	if !verbose {
		return logr.Discard()
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
}

func runExperiment(cmd *cobra.Command, options experiment.SuiteOptions, strict bool) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := experiment.RunAll(ctx, options)
	if err != nil {
		return err
	}
	if err := report.WriteMarkdown(cmd.OutOrStdout()); err != nil {
		return &OutputError{Cause: err}
	}
	if missed := report.Missed(); strict && len(missed) > 0 {
		return &MissedTargetsError{Count: len(missed)}
	}
	return nil
}
