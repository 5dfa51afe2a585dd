package coordinator

import (
	"cmp"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

// poolHostKey is the rendezvous key that orders the hosts for the choice of pool hosts. A
// different value would change the choice.
const poolHostKey = "steward"

// poolHosts returns the hosts that run a pool when the coordinator, named by its host,
// fails: one for all hosts, then one per remaining data centre for hosts that cannot reach
// the first. Large hosts are preferred. The choice is stable while the set of hosts does
// not change.
func (t *demandTracker) poolHosts(coordinator string) []PoolHost {
	names := make([]string, 0, len(t.hosts))
	for name, report := range t.hosts {
		if name != coordinator && report.poolHost.Address != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		if t.hosts[x].large != t.hosts[y].large {
			if t.hosts[x].large {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous.Score(poolHostKey, y), rendezvous.Score(poolHostKey, x))
	})
	var hosts []PoolHost
	served := map[string]bool{} // data centres that have a pool host
	for _, name := range names {
		host := t.hosts[name].poolHost
		if served[host.DataCenter] {
			continue
		}
		served[host.DataCenter] = true
		hosts = append(hosts, host)
	}
	return hosts
}

// PoolHostsFor returns the pool hosts that a host of a data centre uses: the first one and
// that of its data centre.
func PoolHostsFor(poolHosts []PoolHost, dataCenter string) []PoolHost {
	var used []PoolHost
	for i, poolHost := range poolHosts {
		if i == 0 || poolHost.DataCenter == dataCenter {
			used = append(used, poolHost)
		}
	}
	return used
}
