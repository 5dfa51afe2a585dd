// Package cli contains the parts that the command lines of both binaries share.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/version"
)

// Exit codes of the binaries.
const (
	ExitOK    = 0
	ExitError = 1
)

// ExitCoder is an error that is an outcome of its own: the command has printed it.
type ExitCoder interface {
	error
	ExitCode() int
}

// Run executes a command line and returns the exit code of the process. An error is
// printed to stderr.
func Run(root *cobra.Command, args []string, stdout, stderr io.Writer) int {
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		var outcome ExitCoder
		if errors.As(err, &outcome) {
			return outcome.ExitCode()
		}
		fmt.Fprintln(stderr, "error:", err)
		return ExitError
	}
	return ExitOK
}

// NewRoot returns a root command with a "version" subcommand.
func NewRoot(name, short string) *cobra.Command {
	root := &cobra.Command{Use: name, Short: short, SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(&cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), name, version.Version)
			return err
		},
	})
	return root
}
