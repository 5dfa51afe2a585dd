package engine

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Sources that the weights of a load are read from.
const (
	SourceHostMemory = "host_memory"
	SourceDisk       = "disk"
	SourceRemote     = "remote"
)

// weightCache holds copies of weights on local disk and in host memory. The
// copies on disk survive a crash of the engine; those in host memory do not.
type weightCache struct {
	options Options

	mu         sync.Mutex
	hostMemory []string
	disk       []string
}

func newWeightCache(options Options) *weightCache {
	return &weightCache{
		options:    options,
		hostMemory: slices.Clone(options.HostMemory),
		disk:       slices.Clone(options.Disk),
	}
}

// source returns the fastest source that has the weights of a model.
func (c *weightCache) source(model string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case slices.Contains(c.hostMemory, model):
		return SourceHostMemory
	case slices.Contains(c.disk, model):
		return SourceDisk
	default:
		return SourceRemote
	}
}

// load blocks for as long as loading bytes from the source takes. Weights from
// the weight store are added to the disk cache.
func (c *weightCache) load(ctx context.Context, source, model string, bytes int64) error {
	switch source {
	case SourceHostMemory:
		return sleep(ctx, transferTime(bytes, c.options.HostMemoryBytesPerS))
	case SourceDisk:
		return sleep(ctx, transferTime(bytes, c.options.DiskBytesPerS))
	}
	if c.options.Store == nil {
		return nil
	}
	if err := c.options.Store.LoadModel(ctx, bytes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disk = addModel(c.disk, model, c.options.DiskSlots)
	return nil
}

func (c *weightCache) loadAdapter(ctx context.Context) error {
	if c.options.Store == nil {
		return nil
	}
	return c.options.Store.LoadAdapter(ctx)
}

// addUnloaded adds the weights of an unloaded model to host memory.
func (c *weightCache) addUnloaded(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostMemory = addModel(c.hostMemory, model, c.options.HostMemorySlots)
}

// clearHostMemory discards the copies in host memory, as a crash does.
func (c *weightCache) clearHostMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostMemory = nil
}

func (c *weightCache) snapshot() (hostMemory, disk []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hostMemory), slices.Clone(c.disk)
}

// addModel adds a model and evicts the oldest models beyond the number of slots.
// With 0 slots the initial content never changes.
func addModel(models []string, model string, slots int) []string {
	if slots <= 0 || slices.Contains(models, model) {
		return models
	}
	models = append(models, model)
	return models[max(len(models)-slots, 0):]
}

func transferTime(bytes int64, bytesPerS float64) time.Duration {
	if bytesPerS <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / bytesPerS * float64(time.Second))
}
