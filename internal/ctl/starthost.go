package ctl

import (
	"context"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/host"
)

// hostStarter returns a function that starts hosts (package host) in this process.
func hostStarter(logger logr.Logger) fleet.StartHost {
	return func(_ context.Context, spec fleet.HostSpec) (fleet.RunningHost, error) {
		return host.Launch(spec.Settings, logger)
	}
}
