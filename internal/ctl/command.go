// Package ctl implements the commands of the arbutusctl binary.
package ctl

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/cli"
)

// Run executes the command line and returns the process's exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	return cli.Run(newRootCommand(), args, stdout, stderr)
}

func newRootCommand() *cobra.Command {
	root := cli.NewRoot("arbutusctl", "Operate, inspect and exercise an arbutusbank fleet")
	root.AddCommand(newStandinCommand())
	root.AddCommand(newLoadCommand())
	root.AddCommand(newExperimentCommand())
	root.AddCommand(newDemoCommand())
	root.AddCommand(newOperatorCommands()...)
	return root
}
