package gateway

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/strictjson"
)

// Settings are the settings of one gateway host: JSON with comments.
type Settings struct {
	Host       string `json:"host"`
	DataCenter string `json:"data_center"`
	// Listen is the "IP:port" for callers.
	Listen string `json:"listen"`
	// ReadyListen is the "IP:port" of the readiness check.
	ReadyListen string `json:"ready_listen"`
	// PeerListen is the "IP:port" for other hosts.
	PeerListen string `json:"peer_listen"`
	// MetricsListen is the "IP:port" of metrics and the state dump. Optional.
	MetricsListen string `json:"metrics_listen"`
	// Platform is the "IP:port" of the platform's store.
	Platform string `json:"platform"`
	// MemoryMB is the memory that the process may use; 0: not limited.
	MemoryMB float64 `json:"memory_mb"`
	// ProcessorShare is the part of a core that the process may use; 0: unknown.
	ProcessorShare float64 `json:"processor_share"`
	// ShutdownTimeoutS bounds a graceful shutdown, in seconds.
	ShutdownTimeoutS float64 `json:"shutdown_timeout_s"`
	// KeyConfirmationMS is how long keys may be accepted after the platform
	// has confirmed the configuration, in milliseconds; 0: without limit.
	KeyConfirmationMS float64 `json:"key_confirmation_ms"`
	// HandoverMS is the time, in milliseconds, before a coordinator that comes
	// back after another one may order.
	HandoverMS float64       `json:"handover_ms"`
	Retry      RetrySettings `json:"retry"`
	// LogLevel is the logr verbosity: 0 logs decisions, 1 adds details.
	LogLevel int `json:"log_level"`
}

// RetrySettings bound the requests that the fleet sends once more.
type RetrySettings struct {
	Ratio   float64 `json:"ratio"`
	WindowS float64 `json:"window_s"`
	Slack   float64 `json:"slack"`
}

// DefaultSettings returns the settings that hold where a file names none.
func DefaultSettings() Settings {
	return Settings{
		ShutdownTimeoutS: 8, HandoverMS: 3000,
		Retry: RetrySettings{Ratio: 0.2, WindowS: 10, Slack: 20},
	}
}

// SettingsError lists the problems of a settings file.
type SettingsError struct {
	File     string
	Problems []problem.FieldError
	Cause    error // the file could not be read
}

// Error implements error.
func (e *SettingsError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.File, e.Cause)
	}
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", e.File, p.Pointer, p.Reason))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &SettingsError{File: file, Cause: err}
	}
	settings := DefaultSettings()
	problems := strictjson.Decode(data, &settings)
	if len(problems) == 0 {
		problems = settings.check()
	}
	if len(problems) > 0 {
		return Settings{}, &SettingsError{File: file, Problems: problems}
	}
	return settings, nil
}

func (s *Settings) check() []problem.FieldError {
	var problems []problem.FieldError
	report := func(field, reason string) {
		problems = append(problems, problem.FieldError{Pointer: "/" + field, Reason: reason})
	}
	if s.Host == "" {
		report("host", "must not be empty")
	}
	for _, a := range []struct{ field, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"peer_listen", s.PeerListen}, {"platform", s.Platform},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			report(a.field, "must be IP:port")
		}
	}
	if _, err := netip.ParseAddrPort(s.MetricsListen); s.MetricsListen != "" && err != nil {
		report("metrics_listen", "must be IP:port")
	}
	for _, n := range []struct {
		field string
		value float64
		least float64
	}{
		{"memory_mb", s.MemoryMB, 0}, {"shutdown_timeout_s", s.ShutdownTimeoutS, 1},
		{"key_confirmation_ms", s.KeyConfirmationMS, 0}, {"handover_ms", s.HandoverMS, 0},
		{"retry/window_s", s.Retry.WindowS, 0.1},
	} {
		if n.value < n.least {
			report(n.field, fmt.Sprintf("must be at least %g", n.least))
		}
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		report("retry", "must not be negative")
	}
	return problems
}

// retryTerms returns the terms of the retry budget.
func (s *Settings) retryTerms() RetryLimits {
	return RetryLimits{
		Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: seconds(s.Retry.WindowS),
	}
}

// ShutdownTimeout returns the bound of a graceful shutdown.
func (s *Settings) ShutdownTimeout() time.Duration { return seconds(s.ShutdownTimeoutS) }

// KeyConfirmation returns how long keys may be accepted after a confirmation.
func (s *Settings) KeyConfirmation() time.Duration { return seconds(s.KeyConfirmationMS / 1000) }

// partOfBound returns a part of the bound for keys, one in so many; without a
// bound it is not limited.
func (s *Settings) partOfBound(parts int) time.Duration {
	if s.KeyConfirmationMS == 0 {
		return time.Hour
	}
	return s.KeyConfirmation() / time.Duration(parts)
}

// Handover returns the time before a coordinator that comes back after another
// one may order.
func (s *Settings) Handover() time.Duration { return seconds(s.HandoverMS / 1000) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// large reports whether the host can bear work for others.
func (s *Settings) large() bool { return s.ProcessorShare == 0 || s.ProcessorShare >= largeShare }
