package configstore

import (
	"cmp"
	"maps"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// remoteHostsPerDataCenter is the number of hosts to which a delta is pushed directly
// in each other data centre. With two, one of them may be down.
const remoteHostsPerDataCenter = 2

// PushPlan lists the hosts that a host pushes deltas to.
type PushPlan struct {
	Local  []string   // all other hosts of the same data centre
	Remote [][]string // per other data centre, candidates in the order to try until two have accepted the push
}

// PlanPush selects the hosts to push deltas to. Hosts of other data centres are
// included only if remote is set, as it is at the accepting host; a host that
// receives a push from another data centre forwards it within its own. usable
// returns false for hosts that are known to be down. shuffle distributes the
// forwarding over the hosts of a data centre.
func PlanPush(hosts map[string]config.Host, self, dataCenter string, remote bool, usable func(host string) bool, shuffle func(names []string)) PushPlan {
	byDataCenter := map[string][]string{}
	for name, host := range hosts {
		if name != self && usable(name) {
			byDataCenter[host.DataCenter] = append(byDataCenter[host.DataCenter], name)
		}
	}
	var plan PushPlan
	for _, center := range slices.Sorted(maps.Keys(byDataCenter)) {
		names := byDataCenter[center]
		slices.Sort(names)
		shuffle(names)
		if center == dataCenter {
			plan.Local = names
		} else if remote {
			plan.Remote = append(plan.Remote, names)
		}
	}
	return plan
}

// PeerHead is a peer and its current version.
type PeerHead struct {
	Host string
	Head Head
}

// RankPeers returns the names of peers by version, highest first, and by name within
// a version.
func RankPeers(heads []PeerHead) []string {
	sorted := slices.Clone(heads)
	slices.SortFunc(sorted, func(a, b PeerHead) int {
		return cmp.Or(cmp.Compare(b.Head.Version, a.Head.Version), cmp.Compare(a.Host, b.Host))
	})
	names := make([]string, 0, len(sorted))
	for _, head := range sorted {
		names = append(names, head.Host)
	}
	return names
}
