package configstore

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
)

const (
	// PollInterval is the interval at which a polling host reads the head.
	PollInterval = 500 * time.Millisecond
	// confirmationTTL is the time after which a confirmation that the current version
	// is the head expires. Polls and heartbeats renew it every second or two.
	confirmationTTL = 5 * time.Second
	// fallbackPollInterval is the poll interval of a host that is not a poller and
	// whose version is unconfirmed, because the pollers of its data centre may be
	// down. A fleet of 1,700 such hosts makes 850 of the platform's 2,000 reads/s.
	fallbackPollInterval = 2 * time.Second
	// pushQueueSize bounds the queued pushes. If a push is dropped, other hosts learn
	// of the version from heartbeats.
	pushQueueSize = 64
)

// Special values of the argument from of Peers.PullDeltas.
const (
	// FullDocument requests the full document.
	FullDocument uint64 = 0
	// HeadOnly requests only the number and hash of the peer's current version.
	HeadOnly uint64 = math.MaxUint64
)

// PullResponse is a peer's response to a pull.
type PullResponse struct {
	Known  bool         `json:"known"` // whether the peer has a configuration
	Head   Head         `json:"head"`  // the peer's current version
	Deltas []Version    `json:"deltas,omitempty"`
	Full   *FullVersion `json:"full,omitempty"` // set if the peer lacks the requested deltas
}

// Peers calls other hosts by their names in the configuration.
type Peers interface {
	// PushDeltas sends consecutive versions to Follower.HandlePush of a host.
	PushDeltas(ctx context.Context, host string, deltas []Version) error
	// PullDeltas returns the response of Follower.HandlePull of a host to a request
	// for versions starting at from, which may be FullDocument or HeadOnly.
	PullDeltas(ctx context.Context, host string, from uint64) (PullResponse, error)
}

// FollowerOptions are the dependencies and parameters of a Follower. Store, Peers,
// Host and DataCenter are required.
type FollowerOptions struct {
	Store      *Store
	Peers      Peers
	Host       string // name of this host in the configuration
	DataCenter string
	ShouldPoll func() bool            // whether this host polls the head; default: always
	Usable     func(host string) bool // whether a host is not known to be down; default: always
	Clock      clock.Clock            // default: the system clock
	Random     *rand.Rand             // default: randomly seeded
	Logger     logr.Logger            // default: discards all logs
	Registerer prometheus.Registerer  // default: metrics are not exported
}

// Follower maintains the current version at this host, which is the newest version
// that the host has applied. The version number never decreases. A Follower is safe
// for concurrent use.
type Follower struct {
	store      *Store
	peers      Peers
	host       string
	dataCenter string
	shouldPoll func() bool
	usable     func(host string) bool
	clock      clock.Clock
	log        logr.Logger
	metrics    *followerMetrics

	current       atomic.Pointer[config.Snapshot]
	lastContact   monotonicTime // last contact with the platform or another data centre
	lastConfirmed monotonicTime // last time that the current version was known to be the head
	lastPoll      time.Time     // used only by pollLoop

	apply sync.Mutex // held while the current version changes

	mu          sync.Mutex // guards the fields below
	random      *rand.Rand
	recent      recentDeltas
	applied     appliedVersions
	transitions []transition
	callbacks   []func(prev, next *config.Snapshot)

	// platformUnavailable is set once a failure to load from the platform at startup
	// was logged.
	platformUnavailable atomic.Bool

	transitionSignal chan struct{}
	pulls            chan PeerHead
	pushes           chan pushJob
}

// transition is a change of the current version that callbacks have yet to receive.
type transition struct{ prev, next *config.Snapshot }

// pushJob is an entry of the queue of pushLoop.
type pushJob struct {
	deltas []Version
	remote bool // also push to other data centres
}

// NewFollower returns a follower without a current version. Call OnApply, then Run,
// then Start.
func NewFollower(options FollowerOptions) *Follower {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger.GetSink() == nil {
		options.Logger = logr.Discard()
	}
	if options.ShouldPoll == nil {
		options.ShouldPoll = func() bool { return true }
	}
	if options.Usable == nil {
		options.Usable = func(string) bool { return true }
	}
	return &Follower{
		store:            options.Store,
		peers:            options.Peers,
		host:             options.Host,
		dataCenter:       options.DataCenter,
		shouldPoll:       options.ShouldPoll,
		usable:           options.Usable,
		clock:            options.Clock,
		log:              options.Logger.WithName("configstore"),
		metrics:          newFollowerMetrics(options.Registerer),
		random:           options.Random,
		transitionSignal: make(chan struct{}, 1),
		pulls:            make(chan PeerHead, 1),
		pushes:           make(chan pushJob, pushQueueSize),
	}
}

// Current returns the current version, or nil before the first.
func (f *Follower) Current() *config.Snapshot { return f.current.Load() }

// OnApply registers a callback for every change of the current version. Callbacks
// run in order on one goroutine of Run; prev is nil for the first version. All
// callbacks must be registered before Run.
func (f *Follower) OnApply(callback func(prev, next *config.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callbacks = append(f.callbacks, callback)
}

// AppliedAt returns when this host applied a version, or a later one that skipped
// it. It returns false if the version is not yet applied or the time is no longer
// known.
func (f *Follower) AppliedAt(version uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied.appliedAt(version)
}

// DeltasSince returns the deltas from a version to the current one. It returns false
// if the host no longer has all of them.
func (f *Follower) DeltasSince(version uint64) ([]Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if current == nil {
		return nil, false
	}
	return f.recent.since(version, current.Version)
}

// HandlePull returns the response to a peer's request for versions starting at from:
// the deltas, the full document if the deltas do not go back that far, or only the
// head. It implements the receiving side of Peers.PullDeltas.
func (f *Follower) HandlePull(from uint64) (PullResponse, error) {
	current := f.current.Load()
	if current == nil {
		return PullResponse{}, nil
	}
	response := PullResponse{Known: true, Head: headOf(current)}
	if from > current.Version {
		return response, nil
	}
	if from != FullDocument {
		if deltas, ok := f.DeltasSince(from - 1); ok {
			response.Deltas = deltas
			return response, nil
		}
	}
	full, err := fullOf(current)
	response.Full = full
	return response, err
}

func headOf(snapshot *config.Snapshot) Head {
	return Head{Version: snapshot.Version, Hash: snapshot.Hash}
}

// Run executes callbacks, polls, pulls and pushes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { f.callbackLoop(ctx) })
	group.Go(func() { f.pollLoop(ctx) })
	group.Go(func() { f.pullLoop(ctx) })
	group.Go(func() { f.pushLoop(ctx) })
	group.Wait()
}

// PublishAccepted applies a version that this host's store accepted and pushes it to
// other hosts.
func (f *Follower) PublishAccepted(ctx context.Context, version Version) error {
	f.lastContact.advance(f.clock.Now())
	applied, err := f.applyDeltas([]Version{version}, sourceSubmit)
	var gap *GapError
	if errors.As(err, &gap) {
		// Versions that other hosts accepted shortly before have not arrived yet.
		applied, err = f.catchUp(ctx, Head{Version: version.Number, Hash: version.Hash}, sourceSubmit)
	}
	f.confirm(version.Number, f.clock.Now())
	if len(applied) == 0 {
		applied = []Version{version} // already applied by a poll, or applying it failed
	}
	f.enqueuePush(pushJob{deltas: applied, remote: true})
	return err
}

// HandlePush applies deltas that another host pushed. If the sender is in another
// data centre, it forwards the new ones within this host's data centre. If the
// deltas do not follow the current version, it pulls the missing ones from the
// sender.
func (f *Follower) HandlePush(_ context.Context, from string, deltas []Version) error {
	f.recordContact(from)
	if f.current.Load() == nil {
		return nil // Start selects the highest version available
	}
	applied, err := f.applyDeltas(deltas, sourcePush)
	var gap *GapError
	if errors.As(err, &gap) {
		newest := deltas[len(deltas)-1]
		f.enqueuePull(PeerHead{Host: from, Head: Head{Version: newest.Number, Hash: newest.Hash}})
		return nil
	}
	if !f.isLocal(from) {
		f.enqueuePush(pushJob{deltas: applied})
	}
	return err
}

// Observe records another host's current version, which heartbeats carry. If this
// host is behind, it pulls the deltas from the other host.
func (f *Follower) Observe(from string, head Head) {
	f.recordContact(from)
	current := f.current.Load()
	if current == nil {
		return // Start selects the highest version available
	}
	if head.Version > current.Version {
		f.enqueuePull(PeerHead{Host: from, Head: head})
		return
	}
	if head.Version == current.Version && head.Hash != current.Hash {
		f.reportDivergence(from, head)
	}
}

// reportDivergence records that from, a host or the platform, has another document
// under the current version.
func (f *Follower) reportDivergence(from string, head Head) {
	f.metrics.diverged.Inc()
	f.log.Error(&config.HashMismatchError{Want: head.Hash, Got: f.current.Load().Hash}, "Configuration documents of the same version differ.", "host", from, "version", head.Version)
}

// isLocal reports whether a host is in this host's data centre.
func (f *Follower) isLocal(host string) bool {
	current := f.current.Load()
	return current != nil && current.Document.Hosts[host].DataCenter == f.dataCenter
}

// applyDeltas applies consecutive versions, skips those that are already applied and
// returns the others. It returns *GapError if a version is missing.
func (f *Follower) applyDeltas(deltas []Version, source string) ([]Version, error) {
	f.apply.Lock()
	defer f.apply.Unlock()
	var applied []Version
	for _, delta := range deltas {
		current := f.current.Load()
		if current == nil {
			return applied, eris.Wrap(&GapError{Have: math.MaxUint64, Got: delta.Number}, "apply")
		}
		if delta.Number <= current.Version {
			continue
		}
		next, err := f.next(current, delta)
		if err != nil {
			f.metrics.applied.WithLabelValues(source, "failed").Inc()
			return applied, err
		}
		f.install(next, &delta, source)
		applied = append(applied, delta)
	}
	return applied, nil
}

// next returns the version after current, from the store's cache if it is there.
func (f *Follower) next(current *config.Snapshot, delta Version) (*config.Snapshot, error) {
	if cached := f.store.cached(); cached != nil && cached.Version == delta.Number && cached.Hash == delta.Hash && delta.Number == current.Version+1 {
		return cached, nil
	}
	return applyDelta(current, delta)
}

// applySnapshot applies a version that need not directly follow the current one. It
// reports whether the version was newer.
func (f *Follower) applySnapshot(next *config.Snapshot, source string) bool {
	f.apply.Lock()
	defer f.apply.Unlock()
	if current := f.current.Load(); current != nil && next.Version <= current.Version {
		return false
	}
	f.install(next, nil, source)
	return true
}

// install makes next the current version. The caller must hold f.apply. A nil delta
// means that versions were skipped, and discards the deltas kept for peers.
func (f *Follower) install(next *config.Snapshot, delta *Version, source string) {
	f.mu.Lock()
	prev := f.current.Load()
	if delta != nil {
		f.recent.push(*delta)
	} else {
		f.recent.reset()
	}
	f.applied.push(next.Version, f.clock.Now())
	f.transitions = append(f.transitions, transition{prev: prev, next: next})
	f.current.Store(next)
	f.mu.Unlock()

	f.store.cacheNewest(next)
	f.metrics.applied.WithLabelValues(source, "applied").Inc()
	f.metrics.version.Set(float64(next.Version))
	signal(f.transitionSignal)
}

// signal wakes the receiver of a channel of capacity 1.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (f *Follower) callbackLoop(ctx context.Context) {
	for {
		f.runCallbacks()
		select {
		case <-f.transitionSignal:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) runCallbacks() {
	f.mu.Lock()
	transitions := f.transitions
	f.transitions = nil
	callbacks := f.callbacks
	f.mu.Unlock()
	for _, t := range transitions {
		for _, callback := range callbacks {
			callback(t.prev, t.next)
		}
	}
}

func (f *Follower) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.pollDue() {
			f.lastPoll = f.clock.Now()
			f.poll(ctx)
		}
	}
}

// pollDue reports whether the host should read the head at this tick.
func (f *Follower) pollDue() bool {
	if f.shouldPoll() {
		return true
	}
	return !f.Confirmed() && f.clock.Now().Sub(f.lastPoll) >= fallbackPollInterval
}

// poll reads the head and, if this host is behind, catches up with it.
func (f *Follower) poll(ctx context.Context) {
	requestedAt := f.clock.Now()
	head, err := f.store.Head(ctx)
	if err != nil {
		f.metrics.polls.WithLabelValues("failed").Inc()
		return
	}
	f.lastContact.advance(requestedAt)
	defer f.confirm(head.Version, requestedAt)
	current := f.current.Load()
	if current != nil && head.Version <= current.Version {
		f.metrics.polls.WithLabelValues("current").Inc()
		if head.Version == current.Version && head.Hash != current.Hash {
			f.reportDivergence("platform", head)
		}
		return
	}
	f.metrics.polls.WithLabelValues("behind").Inc()
	applied, err := f.catchUp(ctx, head, sourcePoll)
	if err != nil {
		f.log.Info("Failed to read newer version.", "version", head.Version, "cause", err.Error())
	}
	f.enqueuePush(pushJob{deltas: applied})
}

// catchUp reads the versions up to a head from the platform and applies them. It
// returns the applied deltas, or none if it loaded the head's full document.
func (f *Follower) catchUp(ctx context.Context, head Head, source string) ([]Version, error) {
	current := f.current.Load()
	if current != nil && head.Version <= current.Version {
		return nil, nil
	}
	if current != nil && head.Version-current.Version <= SnapshotInterval {
		deltas, err := f.store.Versions(ctx, current.Version, int(head.Version-current.Version))
		if err != nil {
			return nil, err
		}
		return f.applyDeltas(deltas, source)
	}
	snapshot, err := f.store.loadHead(ctx, head)
	if err != nil {
		return nil, err
	}
	f.applySnapshot(snapshot, source)
	return nil, nil
}

// recordContact updates the time of the last contact if a host is in another data
// centre.
func (f *Follower) recordContact(host string) {
	if f.current.Load() != nil && !f.isLocal(host) {
		f.lastContact.advance(f.clock.Now())
	}
}

// LastContact returns the time of the last contact with the platform or a host of
// another data centre. It returns false if there was none.
func (f *Follower) LastContact() (time.Time, bool) { return f.lastContact.load() }

// confirm records that a version was the head at a time. It is ignored while this
// host is behind that version, because that says nothing about the current version.
func (f *Follower) confirm(version uint64, at time.Time) {
	if current := f.current.Load(); current != nil && current.Version >= version {
		f.lastConfirmed.advance(at)
	}
}

// ObserveConfirmed records that, according to another host's ConfirmedAge, a version
// was the head age ago. Heartbeats carry the age, so that hosts that do not poll
// know whether their version is confirmed.
func (f *Follower) ObserveConfirmed(version uint64, age time.Duration) {
	f.confirm(version, f.clock.Now().Add(-max(age, 0)))
}

// ConfirmedAge returns how long ago the current version was known to be the head. It
// returns false if this was never known.
func (f *Follower) ConfirmedAge() (time.Duration, bool) {
	at, ok := f.lastConfirmed.load()
	return f.clock.Now().Sub(at), ok
}

// Confirmed reports whether the current version was known to be the head within
// confirmationTTL, so recently that this host would have learned of a newer one.
func (f *Follower) Confirmed() bool {
	age, ok := f.ConfirmedAge()
	return ok && age <= confirmationTTL
}

// VersionStatus describes a host's current version.
type VersionStatus struct {
	Head
	AppliedAt time.Time
	Confirmed bool
}

// Status describes the current version. It returns false before the first.
func (f *Follower) Status() (VersionStatus, bool) {
	current := f.current.Load()
	if current == nil {
		return VersionStatus{}, false
	}
	appliedAt, _ := f.AppliedAt(current.Version)
	return VersionStatus{Head: headOf(current), AppliedAt: appliedAt, Confirmed: f.Confirmed()}, true
}

// monotonicTime is a time that never decreases. It is safe for concurrent use.
type monotonicTime struct{ at atomic.Pointer[time.Time] }

func (m *monotonicTime) advance(at time.Time) {
	for {
		old := m.at.Load()
		if old != nil && !at.After(*old) || m.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

func (m *monotonicTime) load() (time.Time, bool) {
	if at := m.at.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}
