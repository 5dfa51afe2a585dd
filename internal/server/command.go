// Package server implements the commands of the arbutusbank binary.
package server

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
	root := cli.NewRoot("arbutusbank", "Serving system for rarely used models")
	root.AddCommand(newServeCommand(), newGatewayCommand(), newCheckCommand())
	return root
}
