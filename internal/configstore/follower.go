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
	// PollInterval is the time between two reads of the head by a polling host.
	PollInterval = 500 * time.Millisecond
	// confirmLimit is the time after which a version that was the head is
	// unconfirmed. Polls and heartbeats renew the confirmation every second or
	// two.
	confirmLimit = 5 * time.Second
	// fallbackPollInterval is the time between two polls of an unconfirmed host
	// that is not a poller, as the pollers of its data centre may be gone. At
	// growth size 1,700 such hosts read the head 850 times/s, of the platform's
	// 2,000 reads/s.
	fallbackPollInterval = 2 * time.Second
	// pushQueue bounds the pushes that wait. Dropped ones are made up for by heartbeats.
	pushQueue = 64
)

// Arguments of Peers.PullDeltas with a special meaning.
const (
	// FullDocument asks for the whole document.
	FullDocument uint64 = 0
	// HeadOnly asks for the peer's newest version number and hash alone.
	HeadOnly uint64 = math.MaxUint64
)

// PullResponse is a peer's answer to a pull.
type PullResponse struct {
	Known  bool         `json:"known"` // the peer knows a configuration
	Head   Head         `json:"head"`  // the version in force at the peer
	Deltas []Version    `json:"deltas,omitempty"`
	Full   *FullVersion `json:"full,omitempty"` // in place of deltas that do not reach back
}

// Peers reaches other entry hosts by their names in the configuration.
type Peers interface {
	// PushDeltas hands consecutive versions to a host's Follower.Receive.
	PushDeltas(ctx context.Context, host string, deltas []Version) error
	// PullDeltas returns a host's Follower.Answer for versions from a number on.
	PullDeltas(ctx context.Context, host string, from uint64) (PullResponse, error)
}

// FollowerOptions are what a Follower works with. Store, Peers, Host and
// DataCenter are required.
type FollowerOptions struct {
	Store      *Store
	Peers      Peers
	Host       string // name of this host in the configuration
	DataCenter string
	ShouldPoll func() bool            // this host polls the head; default: it does
	Usable     func(host string) bool // the host is not known to be down; default: all are usable
	Clock      clock.Clock            // default: the system clock
	Random     *rand.Rand             // default: seeded at random
	Logger     logr.Logger            // default: discards
	Registerer prometheus.Registerer  // default: metrics are not exported
}

// Follower holds the version in force at this host. The version only rises.
// It is safe for concurrent use.
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

	current   atomic.Pointer[config.Snapshot]
	contact   latest    // with the platform or another data centre
	confirmed latest    // the version in force was the head
	lastPoll  time.Time // used by the poll loop alone

	apply sync.Mutex // held while the version in force changes

	mu          sync.Mutex // guards the fields below
	random      *rand.Rand
	recent      recentDeltas
	periods     periods
	transitions []transition
	callbacks   []func(prev, next *config.Snapshot)

	// platformLost says that the loss of the platform at the start was logged.
	platformLost atomic.Bool

	transitionSignal chan struct{}
	pulls            chan PeerHead
	pushes           chan push
}

type transition struct{ prev, next *config.Snapshot }

// push is a job for the push loop.
type push struct {
	deltas []Version
	far    bool // also to other data centres
}

// NewFollower returns a follower with no version in force. Call OnApply, then
// Run, then Start.
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
		pushes:           make(chan push, pushQueue),
	}
}

// Current returns the version in force, or nil before the first.
func (f *Follower) Current() *config.Snapshot { return f.current.Load() }

// OnApply registers a function that is told of every change of the version in
// force. Calls come in order on the goroutine of Run; prev is nil for the first
// version. All functions must be registered before Run.
func (f *Follower) OnApply(callback func(prev, next *config.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callbacks = append(f.callbacks, callback)
}

// AppliedAt returns when a version, or a later one that skipped it, came into force
// at this host. It reports false when the version is not in force or the time
// is not known any more.
func (f *Follower) AppliedAt(version uint64) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.periods.since(version)
}

// DeltasSince returns the deltas that lead from a version to the one in force.
// It reports false when the host does not hold all of them any more.
func (f *Follower) DeltasSince(version uint64) ([]Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if current == nil {
		return nil, false
	}
	return f.recent.since(version, current.Version)
}

// HandlePull returns what a peer that wants versions from a number on should get:
// deltas, the whole document if they do not reach back, or the head alone. It
// serves Peers.PullDeltas at the other host.
func (f *Follower) HandlePull(from uint64) (PullResponse, error) {
	current := f.current.Load()
	if current == nil {
		return PullResponse{}, nil
	}
	update := PullResponse{Known: true, Head: headOf(current)}
	if from > current.Version {
		return update, nil
	}
	if from != FullDocument {
		if deltas, ok := f.DeltasSince(from - 1); ok {
			update.Deltas = deltas
			return update, nil
		}
	}
	full, err := fullOf(current)
	update.Full = full
	return update, err
}

func headOf(snapshot *config.Snapshot) Head {
	return Head{Version: snapshot.Version, Hash: snapshot.Hash}
}

// Run serves callbacks, polls, pulls and pushes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { f.callbackLoop(ctx) })
	group.Go(func() { f.pollLoop(ctx) })
	group.Go(func() { f.pullLoop(ctx) })
	group.Go(func() { f.pushLoop(ctx) })
	group.Wait()
}

// PublishAccepted puts a version in force that this host's store accepted, and pushes
// it to other hosts.
func (f *Follower) PublishAccepted(ctx context.Context, version Version) error {
	f.contact.raise(f.clock.Now())
	applied, err := f.applyDeltas([]Version{version}, sourceSubmit)
	var gap *GapError
	if errors.As(err, &gap) {
		// Versions accepted by other hosts shortly before have not arrived yet.
		applied, err = f.catchUp(ctx, Head{Version: version.Number, Hash: version.Hash}, sourceSubmit)
	}
	f.confirm(version.Number, f.clock.Now())
	if len(applied) == 0 {
		applied = []Version{version} // a poll was faster, or the version could not be applied here
	}
	f.enqueuePush(push{deltas: applied, far: true})
	return err
}

// HandlePush applies deltas that another host pushed, and forwards those that are
// new within the own data centre if the sender is in another one. Deltas that
// do not continue the version in force are pulled from the sender.
func (f *Follower) HandlePush(_ context.Context, from string, deltas []Version) error {
	f.noteHost(from)
	if f.current.Load() == nil {
		return nil // Start takes the highest version that it finds
	}
	applied, err := f.applyDeltas(deltas, sourcePush)
	var gap *GapError
	if errors.As(err, &gap) {
		newest := deltas[len(deltas)-1]
		f.enqueuePull(PeerHead{Host: from, Head: Head{Version: newest.Number, Hash: newest.Hash}})
		return nil
	}
	if !f.isNear(from) {
		f.enqueuePush(push{deltas: applied})
	}
	return err
}

// Observe takes note of the version in force at another host, which its
// heartbeat carries. If this host is behind, it pulls the deltas from there.
func (f *Follower) Observe(from string, head Head) {
	f.noteHost(from)
	current := f.current.Load()
	if current == nil {
		return // Start takes the highest version that it finds
	}
	if head.Version > current.Version {
		f.enqueuePull(PeerHead{Host: from, Head: head})
		return
	}
	if head.Version == current.Version && head.Hash != current.Hash {
		f.reportDivergence(from, head)
	}
}

func (f *Follower) reportDivergence(from string, head Head) {
	f.metrics.diverged.Inc()
	f.log.Error(&config.HashMismatchError{Want: head.Hash, Got: f.current.Load().Hash}, "Another document is in force elsewhere under the same version.", "host", from, "version", head.Version)
}

// isNear reports whether a host is in this host's data centre.
func (f *Follower) isNear(host string) bool {
	current := f.current.Load()
	return current != nil && current.Document.Hosts[host].DataCenter == f.dataCenter
}

// applyDeltas puts consecutive versions in force, skips those that already are,
// and returns those that were new.
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

// next returns the version after current, which the store may hold already.
func (f *Follower) next(current *config.Snapshot, delta Version) (*config.Snapshot, error) {
	if cached := f.store.cached(); cached != nil && cached.Version == delta.Number && cached.Hash == delta.Hash && delta.Number == current.Version+1 {
		return cached, nil
	}
	return applyDelta(current, delta)
}

// applySnapshot puts a version in force that need not follow the current one.
// It reports whether the version was newer.
func (f *Follower) applySnapshot(next *config.Snapshot, source string) bool {
	f.apply.Lock()
	defer f.apply.Unlock()
	if current := f.current.Load(); current != nil && next.Version <= current.Version {
		return false
	}
	f.install(next, nil, source)
	return true
}

// install requires f.apply. Without a delta the versions skipped are not
// available to peers.
func (f *Follower) install(next *config.Snapshot, delta *Version, source string) {
	f.mu.Lock()
	prev := f.current.Load()
	if delta != nil {
		f.recent.push(*delta)
	} else {
		f.recent.reset()
	}
	f.periods.push(next.Version, f.clock.Now())
	f.transitions = append(f.transitions, transition{prev: prev, next: next})
	f.current.Store(next)
	f.mu.Unlock()

	f.store.remember(next)
	f.metrics.applied.WithLabelValues(source, "applied").Inc()
	f.metrics.version.Set(float64(next.Version))
	signal(f.transitionSignal)
}

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

// pollDue reports whether to read the head at this tick.
func (f *Follower) pollDue() bool {
	if f.shouldPoll() {
		return true
	}
	return !f.Confirmed() && f.clock.Now().Sub(f.lastPoll) >= fallbackPollInterval
}

// poll reads the head and catches up with it.
func (f *Follower) poll(ctx context.Context) {
	asked := f.clock.Now()
	head, err := f.store.Head(ctx)
	if err != nil {
		f.metrics.polls.WithLabelValues("failed").Inc()
		return
	}
	f.contact.raise(asked)
	defer f.confirm(head.Version, asked)
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
		f.log.Info("Newer version cannot be read.", "version", head.Version, "cause", err.Error())
	}
	f.enqueuePush(push{deltas: applied})
}

// catchUp reads the versions up to a head from the platform and puts them in
// force. It returns the deltas applied, none if it had to skip versions.
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

// noteHost records contact with a host of another data centre.
func (f *Follower) noteHost(host string) {
	if f.current.Load() != nil && !f.isNear(host) {
		f.contact.raise(f.clock.Now())
	}
}

// LastContact returns the time of the last contact with the platform or with a
// host of another data centre. It reports false when there was none.
func (f *Follower) LastContact() (time.Time, bool) { return f.contact.get() }

// confirm records that a version was the head at a time. It proves nothing
// while this host is behind that version.
func (f *Follower) confirm(version uint64, at time.Time) {
	if current := f.current.Load(); current != nil && current.Version >= version {
		f.confirmed.raise(at)
	}
}

// ObserveConfirmed takes note that another host knows, from its ConfirmedAge,
// that a version was the head some time ago. Heartbeats carry the age, so that
// hosts that do not poll know whether their version is confirmed.
func (f *Follower) ObserveConfirmed(version uint64, age time.Duration) {
	f.confirm(version, f.clock.Now().Add(-max(age, 0)))
}

// ConfirmedAge returns how long ago the version in force was known to be the
// head. It reports false when it never was.
func (f *Follower) ConfirmedAge() (time.Duration, bool) {
	at, ok := f.confirmed.get()
	return f.clock.Now().Sub(at), ok
}

// Confirmed reports whether the version in force was the head so recently that
// this host would have learned of a newer one.
func (f *Follower) Confirmed() bool {
	age, ok := f.ConfirmedAge()
	return ok && age <= confirmLimit
}

// VersionStatus describes the version in force at a host.
type VersionStatus struct {
	Head
	AppliedAt time.Time
	Confirmed bool
}

// Status returns the version in force at this host. It reports false before
// the first.
func (f *Follower) Status() (VersionStatus, bool) {
	current := f.current.Load()
	if current == nil {
		return VersionStatus{}, false
	}
	since, _ := f.AppliedAt(current.Version)
	return VersionStatus{Head: headOf(current), AppliedAt: since, Confirmed: f.Confirmed()}, true
}

// latest is a time that only rises. It is safe for concurrent use.
type latest struct{ at atomic.Pointer[time.Time] }

func (l *latest) raise(at time.Time) {
	for {
		old := l.at.Load()
		if old != nil && !at.After(*old) || l.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

func (l *latest) get() (time.Time, bool) {
	if at := l.at.Load(); at != nil {
		return *at, true
	}
	return time.Time{}, false
}
