package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/settings"
)

func newServeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run an entry host with the settings in FILE",
		Long: `Run an entry host with the settings in FILE (JSON with comments).

The host serves callers and operators at "listen" and other hosts at
"peer_listen". SIGTERM or SIGINT starts a graceful shutdown: the host reports
not ready, finishes the requests in progress and exits. It exits with code 1
when "shutdown_timeout_s" passes first.`,
		Example: "  arbutusbank serve examples/host.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return serve(cmd.Context(), args[0], cmd.ErrOrStderr())
		},
	}
}

func serve(ctx context.Context, file string, logOutput io.Writer) error {
	options, err := loadOptions(file)
	if err != nil {
		return err
	}
	if memory := options.Settings.MemoryMB; memory > 0 {
		tuneGarbageCollector(float64(memory))
	}
	options.Logger = newLogger(logOutput, options.Settings.LogLevel)
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h, err := host.New(options)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// loadOptions reads a settings file and the files that it names. It validates the
// bootstrap document, since a host with an invalid one would wait for a configuration
// forever.
func loadOptions(file string) (host.Options, error) {
	options, err := host.LoadOptions(file)
	if err != nil || options.Bootstrap == nil {
		return options, err
	}
	problems := config.Validate(options.Bootstrap)
	if len(problems) == 0 {
		return options, nil
	}
	return host.Options{}, &settings.FileError{File: options.Settings.BootstrapConfig, Problems: problems}
}

// newLogger returns a JSON logger. A logr verbosity of n is the slog level -n.
func newLogger(output io.Writer, verbosity int) logr.Logger {
	options := &slog.HandlerOptions{Level: slog.Level(-verbosity)}
	return logr.FromSlogHandler(slog.NewJSONHandler(output, options))
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files without starting a host",
		Long: `Check settings files without starting a host.

The files that they name are checked too, the bootstrap configuration included.
Every problem is printed as FILE: FIELD: REASON. The exit code is 0 when all
files are valid, else 1.`,
		Example: "  arbutusbank check examples/host.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return check(cmd.OutOrStdout(), args)
		},
	}
}

// InvalidFilesError reports how many settings files have problems.
type InvalidFilesError struct{ Count int }

// Error implements error.
func (e *InvalidFilesError) Error() string {
	return fmt.Sprintf("%d files have problems", e.Count)
}

func check(output io.Writer, files []string) error {
	invalid := 0
	for _, file := range files {
		if _, err := loadOptions(file); err != nil {
			fmt.Fprintln(output, err)
			invalid++
			continue
		}
		fmt.Fprintf(output, "%s: ok\n", file)
	}
	if invalid > 0 {
		return &InvalidFilesError{Count: invalid}
	}
	return nil
}
