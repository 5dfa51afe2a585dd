package configstore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
)

const (
	// exchangeTimeout is the timeout of one push or pull.
	exchangeTimeout = time.Second
	// maxLocalPushes bounds the concurrent pushes within the host's data centre.
	maxLocalPushes = 32
	// maxRemoteAttempts bounds the hosts tried in another data centre, which may be
	// unreachable.
	maxRemoteAttempts = 4
	// maxConcurrentPropagations allows new versions to be pushed while pushes of
	// earlier ones wait for hosts that do not respond.
	maxConcurrentPropagations = 4
	// peerHeadTimeout bounds the wait for the heads of all peers at startup.
	peerHeadTimeout = time.Second
	// maxPeerHeadRequests bounds the concurrent requests to peers at startup.
	maxPeerHeadRequests = 64
	// peerStartDelay is the time that the platform has to respond at startup before
	// the peers are queried. It avoids traffic that is usually unnecessary.
	peerStartDelay = 250 * time.Millisecond
	// startRetryDelay is the delay between two attempts to load a first version.
	startRetryDelay = 250 * time.Millisecond
)

// Sources of versions, the values of the metric label "source".
const (
	sourceSubmit = "submit"
	sourcePush   = "push"
	sourcePull   = "pull"
	sourcePoll   = "poll"
	sourceStart  = "start"
)

// NoPeerVersionError reports that no reachable peer has a configuration.
type NoPeerVersionError struct{ Queried, Responded int }

// Error implements error.
func (e *NoPeerVersionError) Error() string { return "no reachable peer has a configuration" }

// Start loads a first version from the platform, or from the peers if the platform
// does not respond within 250 ms. It retries until a version is applied or the
// context ends, and then returns *NoConfigurationError. peers returns the names of
// the peers to query, which the host knows from its settings.
func (f *Follower) Start(ctx context.Context, peers func() []string) error {
	for f.TryStart(ctx, peers()) != nil {
		if !clock.Sleep(ctx, startRetryDelay) {
			return eris.Wrap(&NoConfigurationError{}, "start")
		}
	}
	return nil
}

// TryStart makes one attempt to load a first version. It returns
// *NoConfigurationError if neither the platform nor the peers returned one.
func (f *Follower) TryStart(ctx context.Context, peers []string) error {
	if f.current.Load() == nil {
		f.loadInitialVersion(ctx, peers)
	}
	if f.current.Load() == nil {
		return eris.Wrap(&NoConfigurationError{}, "start")
	}
	return nil
}

// loadInitialVersion queries the platform and, after peerStartDelay, the peers. It
// returns once either has returned a version or both have failed.
func (f *Follower) loadInitialVersion(ctx context.Context, peers []string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platformDone := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		defer close(platformDone)
		if f.loadFromPlatform(ctx) {
			cancel()
		}
	})
	group.Go(func() {
		f.waitPeerStartDelay(ctx, platformDone)
		if f.current.Load() == nil && f.LoadFromPeers(ctx, peers) == nil {
			cancel()
		}
	})
	group.Wait()
}

// waitPeerStartDelay waits for peerStartDelay, or less if the platform has responded
// or the context ends.
func (f *Follower) waitPeerStartDelay(ctx context.Context, platformDone <-chan struct{}) {
	timer := time.NewTimer(peerStartDelay)
	defer timer.Stop()
	select {
	case <-platformDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// loadFromPlatform loads and applies the newest version. It reports whether it did.
// Of consecutive failures it logs only the first.
func (f *Follower) loadFromPlatform(ctx context.Context) bool {
	requestedAt := f.clock.Now()
	snapshot, err := f.store.Load(ctx)
	if err != nil {
		if !f.platformUnavailable.Swap(true) {
			f.log.Info("Configuration cannot be read from the platform.", "cause", err.Error())
		}
		return false
	}
	if f.platformUnavailable.Swap(false) {
		f.log.Info("Configuration read from the platform.", "version", snapshot.Version)
	}
	f.lastContact.advance(requestedAt)
	f.applySnapshot(snapshot, sourceStart)
	f.confirm(snapshot.Version, requestedAt)
	f.backfill(ctx, snapshot.Version)
	return true
}

// backfill reads the deltas before a version that was loaded as a full document, so
// that this host can send deltas instead of the full document to peers that are
// slightly behind.
func (f *Follower) backfill(ctx context.Context, version uint64) {
	after := version - min(version, SnapshotInterval)
	deltas, err := f.store.Versions(ctx, after, SnapshotInterval)
	if err != nil {
		f.log.Info("Earlier deltas cannot be read.", "version", version, "cause", err.Error())
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.current.Load(); current.Version != version || len(f.recent.versions) > 0 {
		return // newer deltas have arrived and are now the first in the list
	}
	for _, delta := range deltas {
		if delta.Number <= version {
			f.recent.push(delta)
		}
	}
}

// LoadFromPeers queries the heads of peers and applies the highest version, once
// all peers have responded or failed or 1 s has passed. It returns
// *NoPeerVersionError if no peer could provide a version.
func (f *Follower) LoadFromPeers(ctx context.Context, hosts []string) error {
	heads := f.fetchPeerHeads(ctx, hosts)
	for _, host := range RankPeers(heads) {
		if err := f.pull(ctx, host, sourceStart); err != nil {
			f.log.Info("Peer did not provide a usable configuration.", "host", host, "cause", err.Error())
			continue
		}
		return nil
	}
	return eris.Wrap(&NoPeerVersionError{Queried: len(hosts), Responded: len(heads)}, "load from peers")
}

// fetchPeerHeads returns the heads of the peers that respond within peerHeadTimeout.
func (f *Follower) fetchPeerHeads(ctx context.Context, hosts []string) []PeerHead {
	ctx, cancel := context.WithTimeout(ctx, peerHeadTimeout)
	defer cancel()
	var mu sync.Mutex
	var heads []PeerHead
	workers := pool.New().WithMaxGoroutines(maxPeerHeadRequests)
	for _, host := range hosts {
		if host == f.host {
			continue
		}
		workers.Go(func() {
			response, err := f.peers.PullDeltas(ctx, host, HeadOnly)
			if err != nil || !response.Known {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			heads = append(heads, PeerHead{Host: host, Head: response.Head})
		})
	}
	workers.Wait()
	return heads
}

// pull requests the versions after the current one from a host and applies them.
func (f *Follower) pull(ctx context.Context, host, source string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	from := FullDocument
	if current := f.current.Load(); current != nil {
		from = current.Version + 1
	}
	response, err := f.peers.PullDeltas(ctx, host, from)
	if err != nil {
		return eris.Wrapf(err, "pull from host %q", host)
	}
	if !response.Known {
		return eris.Wrap(&NoPeerVersionError{Queried: 1, Responded: 1}, "pull")
	}
	if response.Full != nil {
		return f.applyFull(response.Full, source)
	}
	applied, err := f.applyDeltas(response.Deltas, source)
	if err != nil {
		return err
	}
	if !f.isLocal(host) {
		f.enqueuePush(pushJob{deltas: applied})
	}
	return nil
}

func (f *Follower) applyFull(full *FullVersion, source string) error {
	snapshot, err := config.DecodeAccepted(full.Version, full.Document, full.Hash)
	if err != nil {
		f.metrics.applied.WithLabelValues(source, "failed").Inc()
		return err
	}
	f.applySnapshot(snapshot, source)
	return nil
}

// enqueuePull asks the pull loop to pull from a host. While one pull is queued,
// further requests are dropped; the next heartbeat repeats them.
func (f *Follower) enqueuePull(peer PeerHead) {
	select {
	case f.pulls <- peer:
	default:
	}
}

func (f *Follower) pullLoop(ctx context.Context) {
	for {
		select {
		case peer := <-f.pulls:
			f.pullIfBehind(ctx, peer)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) pullIfBehind(ctx context.Context, peer PeerHead) {
	if current := f.current.Load(); current != nil && peer.Head.Version <= current.Version {
		return
	}
	if err := f.pull(ctx, peer.Host, sourcePull); err != nil {
		f.metrics.pulls.WithLabelValues("failed").Inc()
		f.log.Info("Failed to pull deltas.", "host", peer.Host, "cause", err.Error())
		return
	}
	f.metrics.pulls.WithLabelValues("done").Inc()
}

func (f *Follower) enqueuePush(job pushJob) {
	if len(job.deltas) == 0 {
		return
	}
	select {
	case f.pushes <- job:
	default:
		f.metrics.pushes.WithLabelValues("dropped").Inc()
	}
}

// pushLoop pushes the deltas of all queued jobs in one message.
func (f *Follower) pushLoop(ctx context.Context) {
	propagations := pool.New().WithMaxGoroutines(maxConcurrentPropagations)
	defer propagations.Wait()
	for {
		select {
		case job := <-f.pushes:
			job = f.mergeQueued(job)
			propagations.Go(func() { f.propagate(ctx, job) })
		case <-ctx.Done():
			return
		}
	}
}

// mergeQueued merges all queued jobs into a job.
func (f *Follower) mergeQueued(job pushJob) pushJob {
	for {
		select {
		case other := <-f.pushes:
			job.deltas = slices.Concat(job.deltas, other.deltas)
			job.remote = job.remote || other.remote
		default:
			return job
		}
	}
}

// propagate pushes the deltas of a job to the hosts of its push plan and returns when
// all pushes have ended.
func (f *Follower) propagate(ctx context.Context, job pushJob) {
	current := f.current.Load()
	if current == nil {
		return
	}
	plan := PlanPush(current.Document.Hosts, f.host, f.dataCenter, job.remote, f.usable, f.shuffle)
	local := pool.New().WithMaxGoroutines(maxLocalPushes)
	var remote conc.WaitGroup
	for _, candidates := range plan.Remote {
		remote.Go(func() { f.pushRemote(ctx, candidates, job.deltas) })
	}
	for _, host := range plan.Local {
		local.Go(func() { f.pushTo(ctx, host, job.deltas) })
	}
	local.Wait()
	remote.Wait()
}

// shuffle orders host names at random.
func (f *Follower) shuffle(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// pushRemote pushes to candidates of another data centre, two at a time, until two
// have accepted the push or maxRemoteAttempts candidates were tried.
func (f *Follower) pushRemote(ctx context.Context, candidates []string, deltas []Version) {
	remaining := remoteHostsPerDataCenter
	candidates = candidates[:min(maxRemoteAttempts, len(candidates))]
	for len(candidates) > 0 && remaining > 0 && ctx.Err() == nil {
		batch := candidates[:min(remaining, len(candidates))]
		candidates = candidates[len(batch):]
		var accepted atomic.Int32
		var group conc.WaitGroup
		for _, host := range batch {
			group.Go(func() {
				if f.pushTo(ctx, host, deltas) {
					accepted.Add(1)
				}
			})
		}
		group.Wait()
		remaining -= int(accepted.Load())
	}
}

// pushTo pushes deltas to a host and reports whether the host accepted them.
func (f *Follower) pushTo(ctx context.Context, host string, deltas []Version) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := f.peers.PushDeltas(ctx, host, deltas); err != nil {
		f.metrics.pushes.WithLabelValues("failed").Inc()
		return false
	}
	f.metrics.pushes.WithLabelValues("done").Inc()
	return true
}
