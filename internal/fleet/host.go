package fleet

import (
	"context"
	"fmt"

	"github.com/arbutusbank/arbutusbank/internal/settings"
)

// HostSpec specifies an entry host to start.
type HostSpec struct {
	Settings settings.Settings
}

// RunningHost is an entry host that runs in this process.
type RunningHost interface {
	// Shutdown shuts the host down gracefully and waits until it has stopped
	// or the context ends.
	Shutdown(ctx context.Context) error
	// Kill stops the host immediately and closes its connections.
	Kill()
}

// StartHost starts an entry host. It may return before the host is ready.
type StartHost func(ctx context.Context, spec HostSpec) (RunningHost, error)

// NotReadyError reports that a host did not become ready in time.
type NotReadyError struct{ Host, Address string }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("host %s at %s did not become ready", e.Host, e.Address)
}

// SetupError reports that a part of the fleet other than a host could not be set up.
type SetupError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return fmt.Sprintf("set up the fleet: %s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }
