package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/coordinator"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	// probeDelay is the time from an uncertain end to the look at its upstream: the system
	// closes the sockets of a process that ends one after the other.
	probeDelay = 100 * time.Millisecond
	// probeTimeout bounds that look.
	probeTimeout = time.Second
	// uncertainTime is how long an uncertain end waits for a sign of its upstream.
	uncertainTime = 10 * time.Second
	// sameCrashTime is the time within which the connections that one crash ends are lost.
	sameCrashTime = time.Second
	// maxUncertainEnds bounds the ends that wait; further ones are not looked into.
	maxUncertainEnds = 1024
)

// uncertainEnd is the end of a response that ended with its connection. Either it was
// complete, or its upstream crashed between two events.
type uncertainEnd struct {
	run  quarantine.LostRun
	keys quarantineKeys
	at   time.Duration // on the boot clock
	// connected reports that the upstream accepted a connection afterwards.
	connected bool
}

// uncertainEnds keeps uncertain ends until it is known whether their upstreams crashed. It
// is safe for concurrent use.
type uncertainEnds struct {
	mu    sync.Mutex
	count int
	ends  map[coordinator.Incarnation][]uncertainEnd
}

func newUncertainEnds() *uncertainEnds {
	return &uncertainEnds{ends: map[coordinator.Incarnation][]uncertainEnd{}}
}

// add adds an end. probe reports that the upstream should be looked at.
func (u *uncertainEnds) add(of coordinator.Incarnation, end uncertainEnd) (probe bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.count >= maxUncertainEnds {
		u.expire(end.at)
	}
	if u.count >= maxUncertainEnds {
		return false
	}
	probe = !slices.ContainsFunc(u.ends[of], func(other uncertainEnd) bool { return !other.connected && end.at-other.at < probeDelay/2 })
	u.ends[of] = append(u.ends[of], end)
	u.count++
	return probe
}

func (u *uncertainEnds) expire(now time.Duration) {
	for of := range u.ends {
		u.take(of, func(end uncertainEnd) bool { return now-end.at > uncertainTime })
	}
}

// take removes and returns the ends at an incarnation that match. It requires u.mu.
func (u *uncertainEnds) take(of coordinator.Incarnation, matches func(uncertainEnd) bool) (taken []uncertainEnd) {
	var kept []uncertainEnd
	for _, end := range u.ends[of] {
		if matches(end) {
			taken = append(taken, end)
		} else {
			kept = append(kept, end)
		}
	}
	u.count -= len(taken)
	if len(kept) == 0 {
		delete(u.ends, of)
	} else {
		u.ends[of] = kept
	}
	return taken
}

// crashed returns the ends that a crash of their upstream explains: the upstream has not
// accepted a connection since. It forgets them.
func (u *uncertainEnds) crashed(now time.Duration, of coordinator.Incarnation, within time.Duration) []uncertainEnd {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.take(of, func(end uncertainEnd) bool { return !end.connected && now-end.at <= within })
}

// connected records that an upstream accepted a connection that was opened at a time.
func (u *uncertainEnds) connected(of coordinator.Incarnation, at time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range u.ends[of] {
		end := &u.ends[of][i]
		end.connected = end.connected || at >= end.at+probeDelay/2
	}
}

// answered returns the ends after which the same incarnation answered a request that was
// sent at a time: they were complete. It forgets them.
func (u *uncertainEnds) answered(of coordinator.Incarnation, sentAt time.Duration) []uncertainEnd {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.ends) == 0 {
		return nil
	}
	ends := u.take(of, func(end uncertainEnd) bool { return end.connected && sentAt > end.at })
	return slices.DeleteFunc(ends, func(end uncertainEnd) bool { return sentAt-end.at > uncertainTime })
}

// startOf identifies the incarnation of an upstream.
func startOf(upstream *catalog.Upstream) coordinator.Incarnation {
	return coordinator.Incarnation{Upstream: upstream.ID, StartedMS: upstream.StartedMS}
}

// recordUncertainEnd records that the response to the current run ended with its connection.
// It counts as a lost run if the upstream turns out to have ended with it, and as an answer
// once the upstream has answered another request.
func (d *dispatcher) recordUncertainEnd() {
	g, of := d.gateway, d.upstream
	end := uncertainEnd{run: d.lostRun(), keys: d.keys, at: g.exchanger.quarantine.now()}
	if d.trial != nil {
		d.trial.uncertain = true
	}
	if g.uncertainEnds.add(startOf(of), end) {
		time.AfterFunc(probeDelay, func() {
			if err := confine.Call("look at an upstream", func() error { g.probe(of); return nil }); err != nil {
				g.log.Error(err, "Look at an upstream failed.", "upstream", of.ID)
			}
		})
	}
}

// probe finds out whether an upstream has ended. The connection that it opens serves the next
// request. Upstreams in evacuated data centres are left alone.
func (g *Gateway) probe(of *catalog.Upstream) {
	at := g.exchanger.quarantine.now()
	switch err := g.connect(of); {
	case err == nil:
		g.uncertainEnds.connected(startOf(of), at)
	case hasEnded(err):
		g.recordCrash(of, uncertainTime, err)
	}
}

// connect opens a connection to an upstream for its next request, unless it has one.
func (g *Gateway) connect(to *catalog.Upstream) error {
	if g.registry.evacuations.at(g.registry.now).affects(to) {
		return &EvacuatedError{Upstream: to.ID}
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return g.connections.Probe(ctx, to.ID, to.Address)
}

// EvacuatedError reports that nothing is sent to an upstream because its data centre is
// evacuated.
type EvacuatedError struct{ Upstream string }

// Error implements error.
func (e *EvacuatedError) Error() string { return "the data centre of " + e.Upstream + " is evacuated" }

// hasEnded reports whether a failed connection shows that the upstream's process has ended.
func hasEnded(err error) bool {
	var closed *upstream.ClosedError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &closed)
}

// recordCrash counts the uncertain ends at an upstream that has crashed as lost runs, unless
// it had said that it leaves.
func (g *Gateway) recordCrash(of *catalog.Upstream, within time.Duration, cause error) {
	q := g.exchanger.quarantine
	ends := g.uncertainEnds.crashed(q.now(), startOf(of), within)
	if len(ends) == 0 || g.registry.isLeaving(of) {
		return
	}
	for _, end := range ends {
		q.recordLostRunAt(end.at, end.run)
		g.metrics.lostRuns.Inc()
	}
	g.log.Info("Responses that ended with their connections were lost.", "upstream", of.ID, "runs", len(ends), "error", cause.Error())
	g.exchanger.exchangeSoon()
}

// recordUpstreamAnswered records that an upstream answered a request that was sent at a time
// on the boot clock.
func (g *Gateway) recordUpstreamAnswered(of *catalog.Upstream, sentAt time.Duration) {
	for _, end := range g.uncertainEnds.answered(startOf(of), sentAt) {
		g.exchanger.quarantine.recordAnswer(end.keys)
	}
}
