package gateway

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// DecodeConfig returns the configuration among the rows, nil if there is none.
type DecodeConfig func(rows []table.Row) (*catalog.Config, error)

// configuration holds the current version of the configuration; the replica records when
// it was last confirmed. It is safe for concurrent use.
type configuration struct {
	decode DecodeConfig
	log    logr.Logger

	current atomic.Pointer[catalog.Config]
	replica table.Replica
}

// apply applies rows of the operator's table. Versions never go back.
func (c *configuration) apply(rows []table.Row, _ bool) {
	var config *catalog.Config
	err := confine.Call("decoding the configuration", func() (err error) {
		config, err = c.decode(rows)
		return err
	})
	if err != nil {
		c.log.Error(err, "Invalid configuration ignored; the previous version stays in force.", "version", c.version())
		return
	}
	if config != nil && config.Version > c.version() {
		c.current.Store(config)
		c.log.Info("Configuration in force.", "version", config.Version, "services", len(config.Services),
			"workspaces", len(config.Workspaces))
	}
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

// Config implements coordinator.FleetState.
func (k fleetState) Config() *catalog.Config { return k.config.current.Load() }
