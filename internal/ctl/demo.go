package ctl

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/demo"
)

func newDemoCommand() *cobra.Command {
	var seed uint64
	var verbose bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment on loopback and show it at work",
		Long: `Run the seed office's deployment on loopback in this process: stand-ins for the
platform, the engines and a plain service, and real entry hosts.

It wakes cold models from several hosts with streamed requests, applies patches
through the operators' interface, repeats a non-idempotent call, and prints
every answer with timings and its configuration version. It ends by itself
within two minutes; the exit code is 1 when any answer was wrong.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return demo.Run(ctx, demo.Options{
				StartHost: hostStarter(hostLogger(cmd.ErrOrStderr(), verbose)),
				Out:       cmd.OutOrStdout(),
				Seed:      seed,
			})
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the deployment")
	command.Flags().BoolVar(&verbose, "verbose", false, "print the hosts' logs")
	return command
}
