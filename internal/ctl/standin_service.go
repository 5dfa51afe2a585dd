package ctl

import (
	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/standin/service"
)

func newStandinServiceCommand() *cobra.Command {
	var options service.Options
	var faults service.Faults
	command := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service stand-in that echoes and records calls",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := service.Start(options)
			if err != nil {
				return err
			}
			defer s.Stop()
			s.SetFaults(faults)
			return announceAndWait(cmd.Context(), cmd.OutOrStdout(), "service", s.Address())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Address, "listen", defaultStandinListen, "address IP:port")
	flags.DurationVar(&options.Latency, "latency", 0, "of each call")
	flags.DurationVar(&options.RestartTime, "restart-time", 0, "from a crash to the restart")
	flags.BoolVar(&faults.Draining, "draining", false, "refuse new calls")
	flags.BoolVar(&faults.DropResponses, "lose-answers", false, "calls take effect without an answer")
	flags.BoolVar(&faults.HangResponses, "hang", false, "calls take effect and the answer never comes")
	return command
}
