package server

import (
	"context"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/gateway"
	"github.com/arbutusbank/arbutusbank/internal/logsink"
	"github.com/arbutusbank/arbutusbank/platform"
)

const (
	// settingsVariable is the environment variable that names the settings file if
	// the command line does not.
	settingsVariable = "ARBUTUSBANK_CONFIG"
	// gcMemoryFraction is the part of the memory that the garbage collector tries to
	// stay within; stacks and the system's buffers come on top.
	gcMemoryFraction = 0.7
	// gcPercent is the GOGC value: the growth of the heap between two collections, in
	// percent.
	gcPercent = 300
)

// NoSettingsError reports that no settings file was named.
type NoSettingsError struct{}

// Error implements error.
func (e *NoSettingsError) Error() string {
	return "no settings file: name one, or set " + settingsVariable
}

func newGatewayCommand() *cobra.Command {
	var check bool
	command := &cobra.Command{
		Use:   "gateway [FILE]",
		Short: "Run a host on the users' platform",
		Long: `Run a host on the users' platform with the settings in FILE (JSON with
comments), or in the file that the variable ` + settingsVariable + ` names.

SIGTERM or SIGINT starts a graceful shutdown. SIGHUP checks the settings file
and logs the result; changed settings apply at the next start.`,
		Example: "  arbutusbank gateway /etc/arbutusbank/host.jsonc\n  arbutusbank gateway --check /etc/arbutusbank/host.jsonc",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := os.Getenv(settingsVariable)
			if len(args) > 0 {
				file = args[0]
			}
			if file == "" {
				return &NoSettingsError{}
			}
			if check {
				return checkGateway(cmd.OutOrStdout(), file)
			}
			return runGateway(file, cmd.ErrOrStderr())
		},
	}
	command.Flags().BoolVar(&check, "check", false, "check the settings file and exit")
	return command
}

func checkGateway(output io.Writer, file string) error {
	if _, err := gateway.LoadSettings(file); err != nil {
		return err
	}
	_, err := io.WriteString(output, file+": ok\n")
	return err
}

func runGateway(file string, logOutput io.Writer) error {
	settings, err := gateway.LoadSettings(file)
	if err != nil {
		return err
	}
	tuneGarbageCollector(settings.MemoryMB)
	sink := logsink.New(logOutput)
	defer sink.Close()
	log := newLogger(sink, settings.LogLevel).WithValues("host", settings.Host)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	checkSettingsOnHangup(ctx, file, log)
	store := platform.NewStore(settings.Platform)
	g := gateway.New(gateway.Options{
		Settings: settings, Log: log, DroppedLogLines: func() float64 { return float64(sink.Dropped()) },
		Reader: store, Committer: store, ConfigTable: platform.OperatorTable, UpstreamTable: platform.WorkerTable,
		DecodeConfig: platform.DecodeConfig, DecodeEvacuation: platform.DecodeEvacuation, DecodeUpstream: platform.DecodeUpstream, Protocol: platform.Protocol{},
		Engines: platform.NewWorkerClient, ReadyPath: platform.ReadyPath,
	})
	return g.Run(ctx)
}

func tuneGarbageCollector(memoryMB float64) {
	debug.SetGCPercent(gcPercent)
	limit := int64(math.MaxInt64)
	if memoryMB > 0 {
		limit = int64(memoryMB * (1 << 20) * gcMemoryFraction)
	}
	debug.SetMemoryLimit(limit)
}

// checkSettingsOnHangup validates the settings file at each SIGHUP and logs the
// result.
func checkSettingsOnHangup(ctx context.Context, file string, log logr.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			if _, err := gateway.LoadSettings(file); err != nil {
				log.Error(err, "Changed settings are invalid.")
				continue
			}
			log.Info("Changed settings are valid; they apply at the next start.")
		}
	}()
}
