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
	// exchangeTimeout bounds one push or pull.
	exchangeTimeout = time.Second
	// nearPushes bounds the concurrent pushes within the own data centre.
	nearPushes = 32
	// farAttempts bounds the hosts tried in a data centre, which may be cut off.
	farAttempts = 4
	// concurrentSpreads lets versions go out while pushes of earlier ones wait
	// for hosts that do not answer.
	concurrentSpreads = 4
	// learnTimeout bounds the wait for the versions of all peers at a start.
	learnTimeout = time.Second
	// learnQuestions bounds the concurrent questions to peers at a start.
	learnQuestions = 64
	// platformHeadStart is the time that the platform has to answer at a start
	// before the peers are asked, which would be needless traffic otherwise.
	platformHeadStart = 250 * time.Millisecond
	// startPause separates two attempts to learn a first version.
	startPause = 250 * time.Millisecond
)

// Sources of versions, as metric labels.
const (
	sourceSubmit = "submit"
	sourcePush   = "push"
	sourcePull   = "pull"
	sourcePoll   = "poll"
	sourceStart  = "start"
)

// NoPeerVersionError reports that no peer that could be reached knows a
// configuration.
type NoPeerVersionError struct{ Queried, Responded int }

// Error implements error.
func (e *NoPeerVersionError) Error() string { return "no reachable peer knows a configuration" }

// Start puts a first version in force: from the platform, or from the peers
// when the platform does not answer soon. It returns when a version is in force
// or the context ends. peers returns the names to ask, which the host knows
// from its settings.
func (f *Follower) Start(ctx context.Context, peers func() []string) error {
	for f.TryStart(ctx, peers()) != nil {
		if !clock.Sleep(ctx, startPause) {
			return eris.Wrap(&NoConfigurationError{}, "start")
		}
	}
	return nil
}

// TryStart makes one attempt of Start. It returns *NoConfigurationError when
// neither the platform nor the peers gave a version.
func (f *Follower) TryStart(ctx context.Context, peers []string) error {
	if f.current.Load() == nil {
		f.startOnce(ctx, peers)
	}
	if f.current.Load() == nil {
		return eris.Wrap(&NoConfigurationError{}, "start")
	}
	return nil
}

// startOnce asks the platform and, after its head start, the peers. It returns
// when either has given a version or both have failed.
func (f *Follower) startOnce(ctx context.Context, peers []string) {
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
		f.awaitHeadStart(ctx, platformDone)
		if f.current.Load() == nil && f.LoadFromPeers(ctx, peers) == nil {
			cancel()
		}
	})
	group.Wait()
}

func (f *Follower) awaitHeadStart(ctx context.Context, platformDone <-chan struct{}) {
	timer := time.NewTimer(platformHeadStart)
	defer timer.Stop()
	select {
	case <-platformDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Follower) loadFromPlatform(ctx context.Context) bool {
	asked := f.clock.Now()
	snapshot, err := f.store.Load(ctx)
	if err != nil {
		if !f.platformLost.Swap(true) {
			f.log.Info("Configuration cannot be read from the platform.", "cause", err.Error())
		}
		return false
	}
	if f.platformLost.Swap(false) {
		f.log.Info("Configuration read from the platform.", "version", snapshot.Version)
	}
	f.contact.raise(asked)
	f.applySnapshot(snapshot, sourceStart)
	f.confirm(snapshot.Version, asked)
	f.backfill(ctx, snapshot.Version)
	return true
}

// backfill reads the deltas before a version that was loaded as a whole, so
// that peers slightly behind get deltas from here and not the whole document.
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
		return // newer deltas came in and start the list
	}
	for _, delta := range deltas {
		if delta.Number <= version {
			f.recent.push(delta)
		}
	}
}

// LoadFromPeers asks peers for their versions and puts the highest in force,
// once all have answered or failed or 1 s has passed. It returns
// *NoPeerVersionError when none of them could give a version.
func (f *Follower) LoadFromPeers(ctx context.Context, hosts []string) error {
	answers := f.askHeads(ctx, hosts)
	for _, host := range RankPeers(answers) {
		if err := f.pull(ctx, host, sourceStart); err != nil {
			f.log.Info("Peer gave no usable configuration.", "host", host, "cause", err.Error())
			continue
		}
		return nil
	}
	return eris.Wrap(&NoPeerVersionError{Queried: len(hosts), Responded: len(answers)}, "learn from peers")
}

// askHeads collects the peers' answers that arrive in time.
func (f *Follower) askHeads(ctx context.Context, hosts []string) []PeerHead {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []PeerHead
	workers := pool.New().WithMaxGoroutines(learnQuestions)
	for _, host := range hosts {
		if host == f.host {
			continue
		}
		workers.Go(func() {
			update, err := f.peers.PullDeltas(ctx, host, HeadOnly)
			if err != nil || !update.Known {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, PeerHead{Host: host, Head: update.Head})
		})
	}
	workers.Wait()
	return answers
}

// pull gets the versions after the one in force from a host and puts them in
// force.
func (f *Follower) pull(ctx context.Context, host, source string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	from := FullDocument
	if current := f.current.Load(); current != nil {
		from = current.Version + 1
	}
	update, err := f.peers.PullDeltas(ctx, host, from)
	if err != nil {
		return eris.Wrapf(err, "pull from host %q", host)
	}
	if !update.Known {
		return eris.Wrap(&NoPeerVersionError{Queried: 1, Responded: 1}, "pull")
	}
	if update.Full != nil {
		return f.applyFull(update.Full, source)
	}
	applied, err := f.applyDeltas(update.Deltas, source)
	if err != nil {
		return err
	}
	if !f.isNear(host) {
		f.enqueuePush(push{deltas: applied})
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

// enqueuePull asks the pull loop to pull from a host. While a pull waits,
// further requests are dropped: the next heartbeat repeats them.
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
		f.log.Info("Deltas cannot be pulled.", "host", peer.Host, "cause", err.Error())
		return
	}
	f.metrics.pulls.WithLabelValues("done").Inc()
}

func (f *Follower) enqueuePush(job push) {
	if len(job.deltas) == 0 {
		return
	}
	select {
	case f.pushes <- job:
	default:
		f.metrics.pushes.WithLabelValues("dropped").Inc()
	}
}

// pushLoop pushes what was queued since the last push in one message.
func (f *Follower) pushLoop(ctx context.Context) {
	spreads := pool.New().WithMaxGoroutines(concurrentSpreads)
	defer spreads.Wait()
	for {
		select {
		case job := <-f.pushes:
			job = f.mergeQueued(job)
			spreads.Go(func() { f.spread(ctx, job) })
		case <-ctx.Done():
			return
		}
	}
}

// mergeQueued adds the deltas of all queued jobs to a job.
func (f *Follower) mergeQueued(job push) push {
	for {
		select {
		case other := <-f.pushes:
			job.deltas = slices.Concat(job.deltas, other.deltas)
			job.far = job.far || other.far
		default:
			return job
		}
	}
}

// spread pushes deltas to the hosts of the plan and returns when all pushes
// have ended.
func (f *Follower) spread(ctx context.Context, job push) {
	current := f.current.Load()
	if current == nil {
		return
	}
	plan := PlanPush(current.Document.Hosts, f.host, f.dataCenter, job.far, f.usable, f.shuffle)
	near := pool.New().WithMaxGoroutines(nearPushes)
	var far conc.WaitGroup
	for _, candidates := range plan.Remote {
		far.Go(func() { f.pushFar(ctx, candidates, job.deltas) })
	}
	for _, host := range plan.Local {
		near.Go(func() { f.pushTo(ctx, host, job.deltas) })
	}
	near.Wait()
	far.Wait()
}

func (f *Follower) shuffle(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// pushFar pushes to candidates of another data centre, two at once, until two
// have answered or farAttempts were tried.
func (f *Follower) pushFar(ctx context.Context, candidates []string, deltas []Version) {
	wanted := farHostsPerDataCenter
	candidates = candidates[:min(farAttempts, len(candidates))]
	for len(candidates) > 0 && wanted > 0 && ctx.Err() == nil {
		batch := candidates[:min(wanted, len(candidates))]
		candidates = candidates[len(batch):]
		var answered atomic.Int32
		var group conc.WaitGroup
		for _, host := range batch {
			group.Go(func() {
				if f.pushTo(ctx, host, deltas) {
					answered.Add(1)
				}
			})
		}
		group.Wait()
		wanted -= int(answered.Load())
	}
}

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
