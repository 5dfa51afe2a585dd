package gateway

import (
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	// returnGrace is how long a missing entry is waited for after the table
	// service was unavailable: entries lapse then and come back.
	returnGrace = 2 * time.Second
	// entryLapse is the outage from which entries can have lapsed with the table
	// service: upstreams write every 1.2 s, and an entry lapses after three such
	// periods, of which one may have passed before the outage. A shorter one, or a
	// connection of this host that broke, says nothing about a missing entry.
	entryLapse = 2200 * time.Millisecond
	// quietRows is the number of rows that are read at once beyond which new
	// upstreams get one line in the log together.
	quietRows = 32
)

// DecodeUpstream decodes the row of an upstream.
type DecodeUpstream func(row table.Row) (*catalog.Upstream, error)

// runningKey names the requests of a model and adapter at an upstream.
type runningKey struct{ upstream, model, adapter string }

// Registry knows the upstreams, what they hold, and how busy they are. It is
// safe for concurrent use.
type Registry struct {
	decode DecodeUpstream
	log    logr.Logger
	forget func(id string) // an incarnation is gone
	// Replica holds the rows; it calls Apply.
	Replica table.Replica

	mu       sync.Mutex
	entries  map[string]*catalog.Upstream
	missing  map[string]time.Time // entries that may come back, until when
	lostAt   time.Time            // last failure of an outage in which entries lapse
	engines  map[string]coordinator.EngineView
	epoch    int64
	version  int64
	health   map[string]*health
	running  map[runningKey]int
	others   map[string]int // requests of other hosts, by upstream
	absent   map[runningKey]time.Time
	changed  chan struct{}
	snapshot []*catalog.Upstream // nil: to be made
}

// NewRegistry returns an empty directory.
func NewRegistry(decode DecodeUpstream, forget func(id string), log logr.Logger) *Registry {
	d := &Registry{
		decode: decode, log: log, forget: forget,
		entries: map[string]*catalog.Upstream{}, missing: map[string]time.Time{},
		engines: map[string]coordinator.EngineView{}, health: map[string]*health{},
		absent:  map[runningKey]time.Time{},
		running: map[runningKey]int{}, others: map[string]int{}, changed: make(chan struct{}),
	}
	d.Replica.OnChange = d.Apply
	d.Replica.Equivalent = d.same
	return d
}

// same reports whether two entries differ only in their count of heartbeats.
func (d *Registry) same(a, b []byte) bool {
	first, err := d.decode(table.Row{Value: a})
	if err != nil {
		return false
	}
	second, err := d.decode(table.Row{Value: b})
	return err == nil && reflect.DeepEqual(first, second)
}

// Apply takes over rows of the upstreams' table.
func (d *Registry) Apply(rows []table.Row, full bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]bool{}
	for _, row := range rows {
		present[row.Key] = true
		d.applyRow(row, now, full || len(rows) > quietRows)
	}
	if full || len(rows) > quietRows {
		d.log.Info("Upstreams read.", "rows", len(rows), "upstreams", len(d.entries), "full", full)
	}
	if full {
		for id := range d.entries {
			if !present[id] {
				d.remove(id, now)
			}
		}
	}
	d.notify()
}

// RemoveExpired drops the entries that did not come back in time.
func (d *Registry) RemoveExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expire(time.Now()) {
		d.notify()
	}
}

// TableUnavailable notes that the table service may have been unavailable for a time.
func (d *Registry) TableUnavailable(outage time.Duration) {
	if outage < entryLapse {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostAt = time.Now()
}

func (d *Registry) applyRow(row table.Row, now time.Time, quiet bool) {
	if row.Deleted {
		d.remove(row.Key, now)
		return
	}
	entry, err := d.decode(row)
	if err != nil {
		d.log.Info("Entry of an upstream ignored.", "upstream", row.Key, "revision", row.Revision, "error", err.Error())
		return
	}
	delete(d.missing, row.Key)
	known := d.entries[row.Key]
	d.entries[row.Key] = entry
	switch {
	case known == nil && quiet:
		// one line for the whole table
	case known == nil:
		d.log.Info("Upstream found.", "upstream", entry.ID, "service", entry.Service, "address", entry.Address,
			"data_center", entry.DataCenter, "leaving", entry.Draining, "revision", row.Revision)
	case known.StartedMS != entry.StartedMS || known.Address != entry.Address:
		d.log.Info("Upstream started again.", "upstream", entry.ID, "born", entry.StartedMS, "revision", row.Revision)
		delete(d.health, entry.ID)
		d.forget(entry.ID)
	case known.Draining != entry.Draining:
		d.log.Info("Upstream leaves.", "upstream", entry.ID, "leaves_in_ms", entry.DrainTimeLeft.Milliseconds(), "revision", row.Revision)
	}
}

// remove drops an entry, or keeps it for a while if it may only have lapsed
// with the table service.
func (d *Registry) remove(id string, now time.Time) {
	entry := d.entries[id]
	if entry == nil {
		return
	}
	if _, waits := d.missing[id]; waits {
		return
	}
	if !entry.Draining && now.Sub(d.lostAt) < returnGrace {
		d.missing[id] = d.lostAt.Add(returnGrace)
		d.log.Info("Entry of an upstream is missing; waiting for it to come back.", "upstream", id)
		return
	}
	d.drop(id)
}

func (d *Registry) drop(id string) {
	d.log.Info("Upstream gone.", "upstream", id)
	delete(d.entries, id)
	delete(d.missing, id)
	delete(d.health, id)
	d.forget(id)
}

func (d *Registry) expire(now time.Time) (dropped bool) {
	for id, until := range d.missing {
		if now.After(until) {
			d.drop(id)
			dropped = true
		}
	}
	return dropped
}

func (d *Registry) notify() {
	d.snapshot = nil
	close(d.changed)
	d.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (d *Registry) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Upstreams implements coordinator.Knowledge.
func (d *Registry) Upstreams() []*catalog.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshot == nil {
		d.snapshot = slices.Collect(maps.Values(d.entries))
	}
	return d.snapshot
}

// ApplyExchange takes over the coordinator's view.
func (d *Registry) ApplyExchange(reply *coordinator.ExchangeReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.others = map[string]int{}
	for _, r := range reply.Running {
		d.others[r.Upstream] += r.Count
	}
	if reply.View == nil {
		return
	}
	d.epoch, d.version = reply.Epoch, reply.View.Version
	if reply.View.Full {
		d.engines = map[string]coordinator.EngineView{}
	}
	for _, id := range reply.View.Removed {
		delete(d.engines, id)
	}
	for _, engine := range reply.View.Engines {
		d.engines[engine.Upstream] = engine
	}
	d.notify()
}

// ViewVersion returns the epoch and version of the coordinator's view.
func (d *Registry) ViewVersion() (epoch, version int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.epoch, d.version
}

// RunningCounts returns this host's requests at each upstream.
func (d *Registry) RunningCounts() []coordinator.RunningCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make([]coordinator.RunningCount, 0, len(d.running))
	for key, count := range d.running {
		counts = append(counts, coordinator.RunningCount{Upstream: key.upstream, Model: key.model, Adapter: key.adapter, Count: count})
	}
	return counts
}

// TrackRequest counts a request at an upstream until the returned function is called.
func (d *Registry) TrackRequest(id, model, adapter string) (leave func()) {
	key := runningKey{id, model, adapter}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[key]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.running[key]--
		if d.running[key] == 0 {
			delete(d.running, key)
		}
	}
}

// RecordAdapter records an adapter that the coordinator has just had loaded.
func (d *Registry) RecordAdapter(id, model, adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	view, ok := d.engines[id]
	if !ok {
		return
	}
	if adapters, holds := view.Ready[model]; holds && !slices.Contains(adapters, adapter) {
		ready := maps.Clone(view.Ready)
		ready[model] = append(slices.Clone(adapters), adapter)
		view.Ready = ready
		d.engines[id] = view
	}
}
