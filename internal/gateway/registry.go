package gateway

import (
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/pace"
	"github.com/arbutusbank/arbutusbank/internal/slowstart"
	"github.com/arbutusbank/arbutusbank/internal/statement"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

const (
	// missingEntryGrace is how long an upstream is kept after its entry disappeared
	// in an outage of the table service: entries expire then and are written again.
	missingEntryGrace = 2 * time.Second
	// minExpiryOutage is the shortest outage of the table service in which entries
	// can expire: upstreams write every 1.2 s, and an entry expires after three such
	// periods, one of which may have passed before the outage. A shorter outage, or a
	// broken connection of this host alone, does not explain a missing entry.
	minExpiryOutage = 2200 * time.Millisecond
	// maxLoggedRows is the number of rows of one read beyond which new upstreams are
	// logged in one line.
	maxLoggedRows = 32
	// maxKnownStarts is the number of upstreams from which the starts of removed ones are
	// forgotten. Upstreams that start anew mostly have a new ID.
	maxKnownStarts = 1 << 16
)

// DecodeUpstream decodes the row of an upstream.
type DecodeUpstream func(row table.Row) (*catalog.Upstream, error)

// requestKey identifies the requests for a model and adapter at an upstream.
type requestKey struct{ upstream, model, adapter string }

// Registry tracks the upstreams, the models that they have loaded, their load and
// their health. It is safe for concurrent use.
type Registry struct {
	decode   DecodeUpstream
	log      logr.Logger
	onRemove func(id string) // called when an incarnation has ended
	// Replica is the copy of the upstreams' table; it calls Apply.
	Replica table.Replica
	// statements are what upstreams have said of themselves; they take precedence over
	// the table.
	statements *statement.Tracker
	// evacuations are the data centres whose upstreams get nothing more.
	evacuations evacuations
	now         func() time.Duration // the boot clock, for statements and evacuations
	// cold limits the requests to cold upstreams.
	cold *coldUpstreams

	mu          sync.Mutex
	entries     map[string]*catalog.Upstream
	lastStart   map[string]int64     // start of the newest known incarnation, Unix ms, by ID
	missing     map[string]time.Time // time until which a missing entry is kept, by ID
	lastOutage  time.Time            // last failed call of an outage in which entries can expire
	engines     map[string]coordinator.EngineView
	viewEpoch   int64
	viewVersion int64
	health      map[string]*health
	running     map[requestKey]runningLoad
	loads       map[string]*upstreamLoad // by upstream
	othersAt    time.Duration            // when the loads by other hosts were applied, on the boot clock
	paces       *pace.Tracker
	slow        *slowstart.Tracker // windows of upstreams that started or recovered
	settledAt   time.Duration      // from when new entries are upstreams that started, on the boot clock; 0: no entry yet
	// candidateCount is the number of candidates of the last choice, about that of the next.
	candidateCount int
	// arrange makes the order of candidates repeatable for tests; nil: they are in any order.
	arrange       func([]Candidate)
	pacesVersion  int64         // of the shared paces
	pacesAt       time.Duration // when the coordinator confirmed them, on the boot clock
	missingModels map[requestKey]time.Time
	changed       chan struct{}
	snapshot      []*catalog.Upstream // nil: outdated
}

// NewRegistry returns an empty registry. It calls onRemove when an incarnation of an
// upstream has ended.
func NewRegistry(decode DecodeUpstream, onRemove func(id string), log logr.Logger) *Registry {
	r := &Registry{
		decode: decode, log: log, onRemove: onRemove, statements: statement.NewTracker(), now: clock.SinceBoot,
		entries: map[string]*catalog.Upstream{}, lastStart: map[string]int64{}, missing: map[string]time.Time{},
		engines: map[string]coordinator.EngineView{}, health: map[string]*health{},
		missingModels: map[requestKey]time.Time{},
		running:       map[requestKey]runningLoad{}, loads: map[string]*upstreamLoad{}, paces: pace.NewTracker(),
		changed: make(chan struct{}),
	}
	r.slow, r.paces.OnSample = newSlowStart(""), r.paceSample
	r.cold = newColdUpstreams(func() time.Duration { return r.now() })
	r.Replica.OnChange = r.Apply
	r.Replica.Equivalent = r.equivalent
	return r
}

// equivalent reports whether two entries differ only in their heartbeat count.
func (r *Registry) equivalent(a, b []byte) bool {
	first, err := r.decodeRow(table.Row{Value: a})
	if err != nil {
		return false
	}
	second, err := r.decodeRow(table.Row{Value: b})
	return err == nil && reflect.DeepEqual(first, second)
}

// Apply applies a change of the upstreams' table.
func (r *Registry) Apply(change table.Change) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.NewGeneration() {
		r.beginGeneration(now, change)
	}
	present := map[string]bool{}
	first := change.Full && len(r.entries) == 0 && len(r.lastStart) == 0
	inBulk := change.Full || len(change.Rows) > maxLoggedRows
	for _, row := range change.Rows {
		present[row.Key] = true
		r.applyRow(row, now, first, inBulk, change.RestoredUpTo)
	}
	if inBulk {
		r.log.Info("Upstreams read.", "rows", len(change.Rows), "upstreams", len(r.entries), "full", change.Full)
	}
	if change.Full {
		for id := range r.entries {
			if !present[id] {
				r.remove(id, now)
			}
		}
	}
	r.notifyChanged()
}

// beginGeneration keeps what the copy from which the table service came back may lack: that
// upstreams leave, and entries that were written since; their upstreams write them again.
func (r *Registry) beginGeneration(now time.Time, change table.Change) {
	r.log.Info("Upstream table restored from an older copy.", "generation", change.Generation, "restored_up_to", change.RestoredUpTo)
	for _, entry := range r.entries {
		if entry.Draining {
			r.statements.RecordLeaving(r.now(), statement.IncarnationOf(entry))
		}
	}
	r.lastOutage = now
}

// wasRemoved reports whether an entry is of an incarnation whose entry this host saw removed.
func (r *Registry) wasRemoved(entry *catalog.Upstream) bool {
	return r.entries[entry.ID] == nil && entry.StartedMS != 0 && r.lastStart[entry.ID] == entry.StartedMS
}

// RemoveExpired removes the missing upstreams whose grace period has passed.
func (r *Registry) RemoveExpired() {
	r.cold.expire()
	r.expireEvacuations()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removeExpiredLocked(time.Now()) {
		r.notifyChanged()
	}
}

// TableUnavailable records that the table service may have been unavailable for up to
// outage. It ignores outages shorter than minExpiryOutage.
func (r *Registry) TableUnavailable(outage time.Duration) {
	if outage < minExpiryOutage {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOutage = time.Now()
}

// decodeRow decodes a row. A row that can't be decoded leaves the others as they are.
func (r *Registry) decodeRow(row table.Row) (entry *catalog.Upstream, err error) {
	err = confine.Call("decoding an upstream's entry", func() error {
		entry, err = r.decode(row)
		return err
	})
	return entry, err
}

// applyRow applies a row. One with a revision up to restoredUpTo may be outdated.
func (r *Registry) applyRow(row table.Row, now time.Time, first, skipLog bool, restoredUpTo int64) {
	if row.Deleted {
		r.remove(row.Key, now)
		return
	}
	entry, err := r.decodeRow(row)
	if err != nil {
		r.log.Info("Entry of an upstream ignored.", "upstream", row.Key, "revision", row.Revision, "error", err.Error())
		return
	}
	if reason := r.outOfOrder(entry); reason != "" {
		r.log.Info("Entry of an upstream ignored.", "upstream", row.Key, "revision", row.Revision, "born", entry.StartedMS, "error", reason)
		return
	}
	if row.Revision <= restoredUpTo && r.wasRemoved(entry) {
		r.log.Info("Entry of an upstream ignored until it is written again.", "upstream", row.Key, "revision", row.Revision, "born", entry.StartedMS)
		return
	}
	isNew := r.isNewIncarnation(entry)
	r.recordStart(entry)
	r.learnEntry(entry, isNew, first, skipLog)
	r.noteStarted(entry, isNew)
	delete(r.missing, row.Key)
	entry.Draining = entry.Draining || r.statements.Leaving(statement.IncarnationOf(entry))
	known := r.entries[row.Key]
	r.entries[row.Key] = entry
	switch {
	case known == nil && skipLog:
		// logged by Apply in one line
	case known == nil:
		r.log.Info("Upstream found.", "upstream", entry.ID, "service", entry.Service, "address", entry.Address,
			"data_center", entry.DataCenter, "leaving", entry.Draining, "revision", row.Revision)
	case known.StartedMS != entry.StartedMS || known.Address != entry.Address:
		r.log.Info("Upstream restarted.", "upstream", entry.ID, "born", entry.StartedMS, "revision", row.Revision)
		delete(r.health, entry.ID)
		r.onRemove(entry.ID)
	case known.Draining != entry.Draining:
		r.log.Info("Upstream leaves.", "upstream", entry.ID, "leaves_in_ms", entry.DrainTimeLeft.Milliseconds(), "revision", row.Revision)
	}
}

// outOfOrder returns why an entry can't describe the known incarnation of its upstream or a
// later one; "" if it can. Such an entry comes from another writer. Taken for a new start, it
// would revoke the statement of the upstream that it leaves.
func (r *Registry) outOfOrder(entry *catalog.Upstream) string {
	if entry.StartedMS < r.lastStart[entry.ID] {
		return "start is missing or earlier than the known one"
	}
	known := r.entries[entry.ID]
	if known != nil && known.StartedMS == entry.StartedMS && known.StartedMS > 0 && known.Service != entry.Service {
		return "another service for the same start"
	}
	return ""
}

// isNewIncarnation reports whether an entry is of an incarnation that this host did not know.
func (r *Registry) isNewIncarnation(entry *catalog.Upstream) bool {
	known := r.entries[entry.ID]
	if known != nil {
		return known.StartedMS != entry.StartedMS || known.Address != entry.Address
	}
	start, seen := r.lastStart[entry.ID]
	return !seen || start != entry.StartedMS
}

// recordStart keeps the start of the newest incarnation of an upstream, also beyond its
// removal.
func (r *Registry) recordStart(entry *catalog.Upstream) {
	if entry.StartedMS == 0 || r.lastStart[entry.ID] == entry.StartedMS {
		return
	}
	if len(r.lastStart) >= maxKnownStarts {
		maps.DeleteFunc(r.lastStart, func(id string, _ int64) bool { return r.entries[id] == nil })
	}
	r.lastStart[entry.ID] = entry.StartedMS
}

// remove removes an upstream, or keeps it for a grace period if its entry may have
// expired in an outage of the table service.
func (r *Registry) remove(id string, now time.Time) {
	entry := r.entries[id]
	if entry == nil {
		return
	}
	if _, pending := r.missing[id]; pending {
		return
	}
	if !entry.Draining && now.Sub(r.lastOutage) < missingEntryGrace {
		r.missing[id] = r.lastOutage.Add(missingEntryGrace)
		r.log.Info("Entry of an upstream is missing; waiting for it to come back.", "upstream", id)
		return
	}
	r.drop(id)
}

func (r *Registry) drop(id string) {
	r.log.Info("Upstream gone.", "upstream", id)
	delete(r.entries, id)
	delete(r.missing, id)
	delete(r.health, id)
	r.cold.forget(id)
	r.paces.Forget(id)
	r.slow.Forget(id)
	r.onRemove(id)
}

func (r *Registry) removeExpiredLocked(now time.Time) (dropped bool) {
	for id, until := range r.missing {
		if now.After(until) {
			r.drop(id)
			dropped = true
		}
	}
	return dropped
}

func (r *Registry) notifyChanged() {
	r.snapshot = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Upstreams implements coordinator.FleetState.
func (r *Registry) Upstreams() []*catalog.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot == nil {
		r.snapshot = slices.Collect(maps.Values(r.entries))
	}
	return r.snapshot
}

// ApplyExchange applies the coordinator's view and the request counts of other hosts.
func (r *Registry) ApplyExchange(reply *coordinator.ExchangeReply) {
	r.applyLeaving(reply.Leaving)
	r.applyCold(reply.Cold)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyRunning(reply.Running)
	r.applyPaces(reply)
	r.slow.SetHosts(reply.Hosts)
	if reply.View == nil {
		return
	}
	r.viewEpoch, r.viewVersion = reply.Epoch, reply.View.Version
	if reply.View.Full {
		r.engines = map[string]coordinator.EngineView{}
	}
	for _, id := range reply.View.Removed {
		delete(r.engines, id)
	}
	for _, engine := range reply.View.Engines {
		r.engines[engine.Upstream] = engine
	}
	r.notifyChanged()
}

// ViewVersion returns the epoch and version of the coordinator's view.
func (r *Registry) ViewVersion() (epoch, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.viewEpoch, r.viewVersion
}

// RecordAdapter records an adapter that the coordinator has just loaded, also on an
// engine that its view leaves out because it is as its entry says.
func (r *Registry) RecordAdapter(id, model, adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entries[id]
	if entry == nil {
		return
	}
	adapters, loaded := r.loadedAdapters(entry, model)
	if !loaded || slices.Contains(adapters, adapter) {
		return
	}
	view, ok := r.engines[id]
	if !ok || view.StartedMS != entry.StartedMS {
		view = coordinator.EngineView{Upstream: id, StartedMS: entry.StartedMS, Ready: entry.Holdings.Models}
	}
	view.Ready = maps.Clone(view.Ready)
	view.Ready[model] = append(slices.Clone(adapters), adapter)
	r.engines[id] = view
}
