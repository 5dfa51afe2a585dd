package gateway

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// DecodeConfig returns the configuration among rows, nil if there is none.
type DecodeConfig func(rows []table.Row) (*catalog.Config, error)

// configuration is the configuration in force. The replica knows the age of
// its confirmation.
// It is safe for concurrent use.
type configuration struct {
	decode DecodeConfig
	log    logr.Logger

	current atomic.Pointer[catalog.Config]
	replica table.Replica
}

// apply takes over rows of the operator's table. Versions only go forward.
func (c *configuration) apply(rows []table.Row, _ bool) {
	config, err := c.decode(rows)
	if err != nil {
		c.log.Error(err, "Configuration not understood; the last one stays in force.", "version", c.version())
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

// knowledge implements coordinator.Knowledge.
type knowledge struct {
	*Registry
	config *configuration
}

// Config implements coordinator.Knowledge.
func (k knowledge) Config() *catalog.Config { return k.config.current.Load() }
