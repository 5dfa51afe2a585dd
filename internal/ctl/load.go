package ctl

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/loadgen"
)

// BadResponsesError reports that a load run received incorrect responses or none to
// some requests. Both fields count requests.
type BadResponsesError struct{ Wrong, Missing int }

// Error implements error.
func (e *BadResponsesError) Error() string {
	return fmt.Sprintf("%d wrong answers, %d requests without an answer", e.Wrong, e.Missing)
}

func newLoadCommand() *cobra.Command {
	var seed uint64
	var asJSON bool
	command := &cobra.Command{
		Use:   "load FILE",
		Short: "Send the open-loop load described in FILE and check every answer",
		Long: `Send the open-loop load described in FILE (JSON with comments).

The file names the target (hosts, models, workspaces with their keys) and the
load. Latencies count from the planned arrival. The exit code is 1 when any
answer was wrong or missing; refusals are counted and are no error.`,
		Example: "  arbutusctl load examples/load.jsonc --seed 1 --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runLoad(cmd, args[0], seed, asJSON)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the planned arrivals")
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	return command
}

func runLoad(cmd *cobra.Command, name string, seed uint64, asJSON bool) error {
	file, err := loadgen.ReadFile(name)
	if err != nil {
		return err
	}
	population := file.Target.Population()
	plan, err := loadgen.Plan(&file.Load, population, seed)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runner := &loadgen.Runner{Population: population, Progress: progressLine(cmd.ErrOrStderr())}
	start, outcomes := runner.Run(ctx, plan)
	result := loadgen.Summarize(outcomes, time.Since(start))
	write := result.WriteText
	if asJSON {
		write = result.WriteJSON
	}
	if err := write(cmd.OutOrStdout()); err != nil {
		return &OutputError{Cause: err}
	}
	wrong, missing := result.Count(loadgen.KindWrong), result.Count(loadgen.KindNoAnswer)
	if wrong > 0 || missing > 0 {
		return &BadResponsesError{Wrong: wrong, Missing: missing}
	}
	return nil
}

// progressLine returns a function that shows progress by rewriting one line. It
// returns nil if w is not a terminal.
func progressLine(w io.Writer) func(elapsed time.Duration, sent, done, planned int) {
	file, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := file.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(elapsed time.Duration, sent, done, planned int) {
		fmt.Fprintf(w, "\r%4.0f s  sent %d of %d  in progress %d ", elapsed.Seconds(), sent, planned, sent-done)
		if done == planned {
			fmt.Fprintln(w)
		}
	}
}
