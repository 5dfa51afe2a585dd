package ctl

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// defaultStandinListen is a loopback address with a port that the system chooses.
const defaultStandinListen = "127.0.0.1:0"

// readyMessage is the JSON line that a stand-in prints once it accepts connections.
type readyMessage struct {
	Standin string `json:"standin"`
	Address string `json:"address"`
}

func newStandinCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an outside system, for tests and demonstrations",
	}
	command.AddCommand(newStandinPlatformCommand(), newStandinEngineCommand(), newStandinServiceCommand())
	return command
}

// announceAndWait prints the stand-in's address and waits for SIGINT or SIGTERM.
func announceAndWait(ctx context.Context, stdout io.Writer, name, address string) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := json.NewEncoder(stdout).Encode(readyMessage{Standin: name, Address: address}); err != nil {
		return &OutputError{Cause: err}
	}
	<-ctx.Done()
	return nil
}
