package engine

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
)

// residentUnloading is the state of weights after an unload order until their
// memory is free: running requests may still use them.
const residentUnloading = "unloading"

type residentKey struct{ model, adapter, version string }

type resident struct {
	engine.Resident
	record   *LoadRecord
	cancel   context.CancelFunc
	pins     int       // running requests that use the weights, and an unload in progress
	lastUsed time.Time // end of the latest run, or of the load if there was none
}

// memory is the accelerator memory of one boot. It never overcommits: a load
// that does not fit is refused.
type memory struct {
	total    int64
	bootID   string
	recorder *recorder

	mu        sync.Mutex
	used      int64
	fence     uint64 // highest fence received
	residents map[residentKey]*resident
	order     []residentKey // in order of reservation
}

func newMemory(total int64, bootID string, recorder *recorder) *memory {
	return &memory{total: total, bootID: bootID, recorder: recorder, residents: map[residentKey]*resident{}}
}

// reserve reserves memory for a load order. It returns the refusal reason when
// the load cannot be admitted, and nil without a reason when the weights are
// already loaded or loading.
func (m *memory) reserve(order engine.Order, source string, cancel context.CancelFunc) (*resident, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := residentKey{order.Model, order.Adapter, order.Version}
	if existing, ok := m.residents[key]; ok && existing.State != residentUnloading {
		existing.Fence = max(existing.Fence, order.Fence)
		return nil, ""
	}
	if order.Adapter != "" && !m.hasBaseModel(order.Model) {
		return nil, engine.RefusalNotLoaded
	}
	if _, unloading := m.residents[key]; unloading || m.used+order.Bytes > m.total {
		return nil, engine.RefusalNoMemory
	}
	entry := &resident{
		Resident: engine.Resident{
			Model: order.Model, Adapter: order.Adapter, Version: order.Version,
			State: engine.ResidentLoading, Fence: order.Fence, Bytes: order.Bytes,
		},
		record: &LoadRecord{
			BootID: m.bootID, Model: order.Model, Adapter: order.Adapter, Version: order.Version,
			Fence: order.Fence, Bytes: order.Bytes, Source: source, Reserved: time.Now(),
		},
		cancel: cancel,
	}
	m.residents[key] = entry
	m.order = append(m.order, key)
	m.used += order.Bytes
	m.recorder.load(entry.record)
	m.recorder.memoryUsed(m.used)
	return entry, ""
}

// loaded marks a reserved entry as loaded, unless it was unloaded in the meantime.
func (m *memory) loaded(entry *resident) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry.State != engine.ResidentLoading {
		return
	}
	entry.State = engine.ResidentLoaded
	entry.lastUsed = time.Now()
	m.recorder.update(func() { entry.record.Loaded = time.Now() })
}

// findLoaded returns the most recently reserved loaded entry. It requires m.mu.
func (m *memory) findLoaded(model, adapter string) *resident {
	for i := len(m.order) - 1; i >= 0; i-- {
		entry := m.residents[m.order[i]]
		if entry.Model == model && entry.Adapter == adapter && entry.State == engine.ResidentLoaded {
			return entry
		}
	}
	return nil
}

// hasBaseModel reports whether a base model is loaded or loading. It requires m.mu.
func (m *memory) hasBaseModel(model string) bool {
	for _, entry := range m.residents {
		if entry.Model == model && entry.Adapter == "" && entry.State != residentUnloading {
			return true
		}
	}
	return false
}

// baseModelLoaded reports whether a base model is loaded.
func (m *memory) baseModelLoaded(model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.findLoaded(model, "") != nil
}

// acquire pins a model and its adapter in memory for a run.
func (m *memory) acquire(model, adapter string) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	base := m.findLoaded(model, "")
	if base == nil {
		return nil, false
	}
	pinned := []*resident{base}
	if adapter != "" {
		entry := m.findLoaded(model, adapter)
		if entry == nil {
			return nil, false
		}
		pinned = append(pinned, entry)
	}
	for _, entry := range pinned {
		entry.pins++
	}
	return func() { m.release(pinned) }, true
}

func (m *memory) release(pinned []*resident) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range pinned {
		entry.pins--
		entry.lastUsed = time.Now()
		m.freeIfUnused(entry)
	}
}

// unload marks the entries that match an order. Each is freed after the unload
// time, once no run uses it. An empty version matches all versions, and
// unloading a base model unloads its adapters.
func (m *memory) unload(order engine.Order, unloadTime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range append([]residentKey(nil), m.order...) {
		entry := m.residents[key]
		if !matchesUnload(order, entry) || entry.State == residentUnloading {
			continue
		}
		entry.State = residentUnloading
		entry.Fence = max(entry.Fence, order.Fence)
		entry.cancel()
		entry.pins++ // keeps the memory in use for the unload time
		time.AfterFunc(unloadTime, func() { m.release([]*resident{entry}) })
	}
}

func matchesUnload(order engine.Order, entry *resident) bool {
	if entry.Model != order.Model {
		return false
	}
	versionMatches := order.Version == "" || order.Version == entry.Version
	if order.Kind == engine.OrderUnloadAdapter {
		return entry.Adapter == order.Adapter && versionMatches
	}
	return entry.Adapter != "" || versionMatches
}

// freeIfUnused frees an unloading entry that nothing pins. It requires m.mu.
func (m *memory) freeIfUnused(entry *resident) {
	if entry.State != residentUnloading || entry.pins > 0 {
		return
	}
	key := residentKey{entry.Model, entry.Adapter, entry.Version}
	if m.residents[key] != entry {
		return
	}
	delete(m.residents, key)
	for i := range m.order {
		if m.order[i] == key {
			m.order = append(m.order[:i], m.order[i+1:]...)
			break
		}
	}
	m.used -= entry.Bytes
	m.recorder.update(func() { entry.record.Freed = time.Now() })
}

// report returns the entry with its idle time.
func (r *resident) report() engine.Resident {
	reported := r.Resident
	if r.State == engine.ResidentLoaded {
		idle := int64(0)
		if r.pins == 0 {
			idle = time.Since(r.lastUsed).Milliseconds()
		}
		reported.IdleMS = &idle
	}
	return reported
}

// admitFence reports whether an order's fence is current, and the highest fence
// received, which it raises. Without check every fence counts as current.
func (m *memory) admitFence(fence uint64, check bool) (highest uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if check && fence < m.fence {
		return m.fence, false
	}
	m.fence = max(m.fence, fence)
	return m.fence, true
}

// report returns the resident weights and the bytes used.
func (m *memory) report() ([]engine.Resident, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	residents := make([]engine.Resident, 0, len(m.order))
	for _, key := range m.order {
		residents = append(residents, m.residents[key].report())
	}
	return residents, m.used
}
