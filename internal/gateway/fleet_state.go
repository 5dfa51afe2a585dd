package gateway

import (
	"slices"
	"sync"
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

// configuration holds the newest version of the configuration that this host has seen; the
// replica records when it was last confirmed. It is safe for concurrent use.
type configuration struct {
	decode DecodeConfig
	// onRows receives each change before a new version is in force. Optional.
	onRows func(table.Change)
	// onFirst is called when the first version is in force. Optional.
	onFirst func()
	log     logr.Logger

	current    atomic.Pointer[catalog.Config]
	replica    table.Replica
	settlement settlement
	required   atomic.Int64 // highest version that any host is known to have
	frozenAt   atomic.Int64 // last confirmation that counted before this host heard of it, on the boot clock

	mu           sync.Mutex
	source       table.Row // of the current version
	tableVersion int64     // in the replica; 0: none
}

// apply applies a change of the operator's table. Versions never go back, even if the table does.
func (c *configuration) apply(change table.Change) {
	if change.NewGeneration() {
		confirmedAt := c.replica.PreviouslyConfirmedAt()
		if !c.complete() {
			confirmedAt = min(confirmedAt, time.Duration(c.frozenAt.Load()))
		}
		c.settlement.begin(change.PreviousGeneration, confirmedAt)
	}
	if c.onRows != nil {
		c.onRows(change)
	}
	config, row, err := c.newest(change.Rows)
	if err != nil {
		c.log.Error(err, "Invalid configuration ignored; the previous version stays in force.", "version", c.version())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case config != nil:
		c.tableVersion = config.Version
		c.putInForce(config, row)
	case change.Full:
		c.tableVersion = 0
	}
	if change.NewGeneration() {
		c.log.Info("Configuration table restored from an older copy.", "generation", change.Generation,
			"table_version", c.tableVersion, "version", c.version())
	}
}

// newest returns the last configuration among rows and its row; nil if there is none.
func (c *configuration) newest(rows []table.Row) (*catalog.Config, table.Row, error) {
	for _, row := range slices.Backward(rows) {
		var config *catalog.Config
		err := confine.Call("decoding the configuration", func() (err error) {
			config, err = c.decode([]table.Row{row})
			return err
		})
		if config != nil || err != nil {
			return config, row, err
		}
	}
	return nil, table.Row{}, nil
}

// putInForce puts a version in force if it is newer than the current one. The caller holds c.mu.
func (c *configuration) putInForce(config *catalog.Config, row table.Row) {
	if config.Version <= c.version() {
		return
	}
	previous := c.current.Swap(config)
	c.source = row
	if previous == nil && c.onFirst != nil {
		c.onFirst()
	}
	c.log.Info("Configuration in force.", "version", config.Version, "services", len(config.Services),
		"workspaces", len(config.Workspaces))
}

// adopt puts a version in force that another host has and the table lacks.
func (c *configuration) adopt(row table.Row) {
	config, _, err := c.newest([]table.Row{row})
	if err != nil {
		c.log.Error(err, "Invalid configuration of another host ignored.", "version", c.version())
		return
	}
	if config == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.putInForce(config, row)
}

// missing returns the row of the current version for a host that has an older one and does not
// find the current one in the table; nil: it does.
func (c *configuration) missing(version int64) *table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.version(); current <= version || current <= c.tableVersion {
		return nil
	}
	row := c.source
	return &row
}

// require records that a host has a version. Until this host has it too, no confirmation of its
// own one counts.
func (c *configuration) require(version int64) {
	if version <= c.required.Load() {
		return
	}
	confirmedAt := c.confirmedAt()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.required.Load() {
		return
	}
	if c.complete() {
		c.frozenAt.Store(int64(confirmedAt))
	}
	c.required.Store(version)
}

// newestKnown returns the highest version that any host is known to have.
func (c *configuration) newestKnown() int64 { return max(c.version(), c.required.Load()) }

// complete reports whether this host has the newest version that any host is known to have.
func (c *configuration) complete() bool { return c.version() >= c.required.Load() }

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
	confirmedAt := c.confirmedAt()
	return configSnapshot{config: c.current.Load(), confirmedAt: confirmedAt}
}

// confirmedAt returns when the current version was last confirmed to be the newest one, on the
// boot clock; 0: never.
func (c *configuration) confirmedAt() time.Duration {
	confirmation := c.replica.Confirmation()
	if !c.complete() {
		return c.settlement.settled(time.Duration(c.frozenAt.Load()), confirmation.Generation)
	}
	return c.settlement.limit(confirmation.At, confirmation.Generation)
}

// generationPending reports whether confirmations of the newest generation of the table service
// don't count yet.
func (c *configuration) generationPending() bool {
	return c.settlement.isPending(c.replica.Position().Generation)
}

func (c *configuration) version() int64 {
	if config := c.current.Load(); config != nil {
		return config.Version
	}
	return 0
}

// age returns the time since the configuration was confirmed.
func (c *configuration) age() time.Duration {
	return configSnapshot{confirmedAt: c.confirmedAt()}.age()
}

// fleetState implements coordinator.FleetState.
type fleetState struct {
	*Registry
	config *configuration
}

// Evacuated implements coordinator.FleetState.
func (k fleetState) Evacuated(dataCenter string) bool { return k.evacuations.requested(dataCenter) }

// Config implements coordinator.FleetState.
func (k fleetState) Config() *catalog.Config { return k.config.current.Load() }
