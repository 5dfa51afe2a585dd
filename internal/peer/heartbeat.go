package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

const (
	// HeartbeatInterval is the interval of heartbeats to each target in the own
	// data centre.
	HeartbeatInterval = 500 * time.Millisecond
	// heartbeatJitter is the range of the random variation of the interval, which
	// keeps hosts from sending their heartbeats at the same time.
	heartbeatJitter = 50 * time.Millisecond
	// maxLocalTargets is the maximum number of other hosts in a data centre with
	// heartbeats between all hosts. In a larger one, each host sends heartbeats
	// to sparseLocalTargets hosts: heartbeats to 8 local and 4 remote hosts took
	// 28 KB/s per host, above the limit of 9 KB/s for all control traffic.
	maxLocalTargets    = 8
	sparseLocalTargets = 2
	// remoteTargetsPerDataCenter is the number of targets in each other data
	// centre.
	remoteTargetsPerDataCenter = 2
	// maxRemotePerRound is the maximum number of heartbeats to other data centres
	// per interval. With more than two other data centres, the remote targets are
	// served in rotation, so that the cost does not grow with the number of data
	// centres. In a large data centre, each of the many hosts sends only
	// sparseRemotePerRound.
	maxRemotePerRound    = 4
	sparseRemotePerRound = 1
)

// heartbeatTargets holds the names of the hosts that a host sends heartbeats to.
type heartbeatTargets struct {
	local  []string // in the own data centre
	remote []string // in other data centres
	// sparse is set if the own data centre is too large for heartbeats between
	// all of its hosts. Missing heartbeats then reveal the state of few hosts.
	sparse bool
}

// remotePerRound returns the number of remote targets per interval.
func (t heartbeatTargets) remotePerRound() int {
	if t.sparse {
		return min(sparseRemotePerRound, len(t.remote))
	}
	return min(maxRemotePerRound, len(t.remote))
}

// remoteRounds returns the number of intervals in which every remote target gets a
// heartbeat.
func (t heartbeatTargets) remoteRounds() int {
	perRound := t.remotePerRound()
	if perRound == 0 {
		return 1
	}
	return (len(t.remote) + perRound - 1) / perRound
}

func (t heartbeatTargets) contains(host string) bool {
	return slices.Contains(t.local, host) || slices.Contains(t.remote, host)
}

// round returns the targets of the n-th interval: all local ones and the next
// remote ones in rotation.
func (t heartbeatTargets) round(n int) []string {
	hosts := slices.Clone(t.local)
	perRound := t.remotePerRound()
	for i := range perRound {
		hosts = append(hosts, t.remote[(n*perRound+i)%len(t.remote)])
	}
	return hosts
}

// chooseTargets returns the heartbeat targets of a host:
// remoteTargetsPerDataCenter hosts of each other data centre, and all other hosts
// of the own one if there are at most maxLocalTargets. Otherwise it returns
// sparseLocalTargets local ones, including the successor in the ring of the data
// centre's hosts, so that every host receives heartbeats.
func chooseTargets(id Identity, hosts map[string]config.Host) heartbeatTargets {
	byDataCenter := map[string][]string{}
	for name, host := range hosts {
		if name != id.Host {
			byDataCenter[host.DataCenter] = append(byDataCenter[host.DataCenter], name)
		}
	}
	var chosen heartbeatTargets
	for dataCenter, names := range byDataCenter {
		if dataCenter == id.DataCenter {
			chosen.local = chooseLocalTargets(id.Host, names)
			chosen.sparse = len(names) > maxLocalTargets
		} else {
			chosen.remote = append(chosen.remote, rendezvous.FirstK(id.Host, names, remoteTargetsPerDataCenter)...)
		}
	}
	slices.Sort(chosen.remote)
	return chosen
}

func chooseLocalTargets(self string, others []string) []string {
	if len(others) <= maxLocalTargets {
		return slices.Sorted(slices.Values(others))
	}
	next := ringSuccessor(self, others)
	rest := slices.DeleteFunc(slices.Clone(others), func(name string) bool { return name == next })
	return append(rendezvous.FirstK(self, rest, sparseLocalTargets-1), next)
}

// ringSuccessor returns the next host in order of name, wrapping around after the
// last one.
func ringSuccessor(self string, others []string) string {
	sorted := slices.Sorted(slices.Values(others))
	for _, name := range sorted {
		if name > self {
			return name
		}
	}
	return sorted[0]
}

// sendHeartbeats sends heartbeats until the context ends. It skips targets whose
// previous heartbeat is still in progress, and closes excess idle connections after
// each round.
func (m *Mesh) sendHeartbeats(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	var busy sync.Map // hosts with a heartbeat in progress
	for round := 0; ctx.Err() == nil; round++ {
		for _, host := range m.roundTargets(round) {
			if _, inProgress := busy.LoadOrStore(host, true); inProgress {
				continue
			}
			calls.Go(func() {
				defer busy.Delete(host)
				if err := m.Heartbeat(ctx, host); err != nil {
					m.log.V(1).Info("Heartbeat failed.", "host", host, "error", err.Error())
				}
			})
		}
		m.closeExcessIdle()
		sleep(ctx, HeartbeatInterval-heartbeatJitter/2+rand.N(heartbeatJitter))
	}
}

func (m *Mesh) roundTargets(round int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets.round(round)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
