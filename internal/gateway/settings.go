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

// Settings are the settings of a gateway host, a JSON file with comments.
type Settings struct {
	Host       string `json:"host"`
	DataCenter string `json:"data_center"`
	// Listen is the IP:port for callers.
	Listen string `json:"listen"`
	// ReadyListen is the IP:port of the readiness check.
	ReadyListen string `json:"ready_listen"`
	// PeerListen is the IP:port for other hosts.
	PeerListen string `json:"peer_listen"`
	// MetricsListen is the IP:port of the metrics and the state dump. Optional.
	MetricsListen string `json:"metrics_listen"`
	// Platform is the IP:port of the platform's store.
	Platform string `json:"platform"`
	// MemoryMB is the memory limit of the process, in MB; 0: none.
	MemoryMB float64 `json:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0: as many as
	// its resource limit allows.
	MaxDescriptors int `json:"max_descriptors"`
	// ProcessorShare is the share of a core that the process may use; 0: unknown.
	ProcessorShare float64 `json:"processor_share"`
	// ShutdownTimeoutS bounds a graceful shutdown, in seconds.
	ShutdownTimeoutS float64 `json:"shutdown_timeout_s"`
	// KeyConfirmationMS is the key confirmation period: how long keys are accepted
	// after the platform confirmed the configuration, in milliseconds; 0: no limit.
	KeyConfirmationMS float64 `json:"key_confirmation_ms"`
	// HandoverMS is the time, in milliseconds, that a coordinator which regains the
	// lease after another one waits before it sends orders.
	HandoverMS float64 `json:"handover_ms"`
	// EvacuationMS is the time, in milliseconds, from the request to evacuate a data centre
	// until nothing more may be sent to its upstreams.
	EvacuationMS float64       `json:"evacuation_ms"`
	Retry        RetrySettings `json:"retry"`
	// LogLevel is the logr verbosity: 0 logs decisions, 1 adds details.
	LogLevel int `json:"log_level"`
}

// RetrySettings bound the retries of the fleet, see RetryLimits.
type RetrySettings struct {
	Ratio   float64 `json:"ratio"`
	WindowS float64 `json:"window_s"`
	Slack   float64 `json:"slack"`
}

// DefaultSettings returns the settings that apply where a file names none.
func DefaultSettings() Settings {
	return Settings{
		ShutdownTimeoutS: 8, HandoverMS: 3000, EvacuationMS: 5000,
		Retry: RetrySettings{Ratio: 0.2, WindowS: 10, Slack: 20},
	}
}

// SettingsError reports a settings file that can't be read or is invalid.
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

// LoadSettings reads and validates a settings file. It returns a SettingsError.
func LoadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &SettingsError{File: file, Cause: err}
	}
	settings := DefaultSettings()
	problems := strictjson.Decode(data, &settings)
	if len(problems) == 0 {
		problems = settings.validate()
	}
	if len(problems) > 0 {
		return Settings{}, &SettingsError{File: file, Problems: problems}
	}
	return settings, nil
}

func (s *Settings) validate() []problem.FieldError {
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
		min   float64
	}{
		{"memory_mb", s.MemoryMB, 0}, {"max_descriptors", float64(s.MaxDescriptors), 0}, {"shutdown_timeout_s", s.ShutdownTimeoutS, 1},
		{"key_confirmation_ms", s.KeyConfirmationMS, 0}, {"handover_ms", s.HandoverMS, 0},
		{"evacuation_ms", s.EvacuationMS, 0},
		{"retry/window_s", s.Retry.WindowS, 0.1},
	} {
		if n.value < n.min {
			report(n.field, fmt.Sprintf("must be at least %g", n.min))
		}
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		report("retry", "must not be negative")
	}
	return problems
}

// retryLimits returns the limits of the retry budget.
func (s *Settings) retryLimits() RetryLimits {
	return RetryLimits{
		Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: seconds(s.Retry.WindowS),
	}
}

// ShutdownTimeout returns the bound of a graceful shutdown.
func (s *Settings) ShutdownTimeout() time.Duration { return seconds(s.ShutdownTimeoutS) }

// KeyConfirmation returns the key confirmation period; 0: no limit.
func (s *Settings) KeyConfirmation() time.Duration { return seconds(s.KeyConfirmationMS / 1000) }

// keyConfirmationFraction divides the key confirmation period into parts and returns
// the length of one; without a limit it returns an hour.
func (s *Settings) keyConfirmationFraction(parts int) time.Duration {
	if s.KeyConfirmationMS == 0 {
		return time.Hour
	}
	return s.KeyConfirmation() / time.Duration(parts)
}

// Handover returns the time that a coordinator which regains the lease waits before
// it sends orders.
func (s *Settings) Handover() time.Duration { return seconds(s.HandoverMS / 1000) }

// Evacuation returns the time from the request to evacuate a data centre until nothing more
// may be sent to its upstreams.
func (s *Settings) Evacuation() time.Duration { return seconds(s.EvacuationMS / 1000) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// isLarge reports whether the host has the resources to work for other hosts, as the
// coordinator or a pool host.
func (s *Settings) isLarge() bool {
	return s.ProcessorShare == 0 || s.ProcessorShare >= minLargeHostShare
}
