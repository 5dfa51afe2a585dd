package gateway

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// DecodeConfig returns the configuration among the rows, nil if there is none.
type DecodeConfig func(rows []table.Row) (*catalog.Config, error)

// configuration holds the current version of the configuration; the replica records when
// it was last confirmed. It is safe for concurrent use.
type configuration struct {
	decode DecodeConfig
	// onRows receives the rows of each change before a new version is in force. Optional.
	onRows func(table.Change)
	// onFirst is called when the first version is in force. Optional.
	onFirst func()
	log     logr.Logger

	current atomic.Pointer[catalog.Config]
	replica table.Replica
}

// apply applies a change of the operator's table. Versions never go back, even if the table does.
func (c *configuration) apply(change table.Change) {
	if c.onRows != nil {
		c.onRows(change)
	}
	var config *catalog.Config
	err := confine.Call("decoding the configuration", func() (err error) {
		config, err = c.decode(change.Rows)
		return err
	})
	if err != nil {
		c.log.Error(err, "Invalid configuration ignored; the previous version stays in force.", "version", c.version())
		return
	}
	if config != nil && config.Version > c.version() {
		previous := c.current.Swap(config)
		if previous == nil && c.onFirst != nil {
			c.onFirst()
		}
		c.log.Info("Configuration in force.", "version", config.Version, "services", len(config.Services),
			"workspaces", len(config.Workspaces))
	}
}

// configSnapshot is a version of the configuration with the time up to which it was
// confirmed to be the newest one.
type configSnapshot struct {
	config      *catalog.Config // nil: none yet
	confirmedAt time.Duration   // on the boot clock; 0: never
}

// age returns the time since the configuration was confirmed.
func (s configSnapshot) age() time.Duration {
	if s.confirmedAt == 0 {
		return table.NeverConfirmed
	}
	return clock.SinceBoot() - s.confirmedAt
}

// snapshot returns the current version and its confirmation. The confirmation is read first:
// the replica's lock is held while a new version is applied, so the version read afterwards
// is at least as new as the confirmation. The other order would combine a replaced version,
// with its withdrawn keys, with the confirmation of its successor.
func (c *configuration) snapshot() configSnapshot {
	confirmedAt := c.replica.Confirmation().At
	return configSnapshot{config: c.current.Load(), confirmedAt: confirmedAt}
}

func (c *configuration) version() int64 {
	if config := c.current.Load(); config != nil {
		return config.Version
	}
	return 0
}

// age returns the time since the configuration was confirmed.
func (c *configuration) age() time.Duration { return c.replica.Age() }

// fleetState implements coordinator.FleetState.
type fleetState struct {
	*Registry
	config *configuration
}

// Evacuated implements coordinator.FleetState.
func (k fleetState) Evacuated(dataCenter string) bool { return k.evacuations.requested(dataCenter) }

// Config implements coordinator.FleetState.
func (k fleetState) Config() *catalog.Config { return k.config.current.Load() }
