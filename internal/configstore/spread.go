package configstore

import (
	"cmp"
	"maps"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// farHostsPerDataCenter is the number of hosts of another data centre that get
// a delta directly: two, so that one of them may be down.
const farHostsPerDataCenter = 2

// PushPlan says which hosts a host pushes deltas to.
type PushPlan struct {
	Local  []string   // all of the own data centre, pushed to first
	Remote [][]string // per other data centre, candidates in the order to try until two have answered
}

// PlanPush decides which hosts to push deltas to. Hosts of other data centres
// are included only when far is set, which it is at the accepting host; a host
// that was pushed to from another data centre forwards within its own. usable
// tells hosts that are known to be down; shuffle spreads the work of forwarding
// over the hosts of a data centre.
func PlanPush(hosts map[string]config.Host, self, dataCenter string, far bool, usable func(host string) bool, shuffle func(names []string)) PushPlan {
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
		} else if far {
			plan.Remote = append(plan.Remote, names)
		}
	}
	return plan
}

// PeerHead is a peer's answer to the question for its newest version.
type PeerHead struct {
	Host string
	Head Head
}

// RankPeers orders the peers that know a configuration by version, highest
// first, and by name within a version.
func RankPeers(answers []PeerHead) []string {
	sorted := slices.Clone(answers)
	slices.SortFunc(sorted, func(a, b PeerHead) int {
		return cmp.Or(cmp.Compare(b.Head.Version, a.Head.Version), cmp.Compare(a.Host, b.Host))
	})
	names := make([]string, 0, len(sorted))
	for _, answer := range sorted {
		names = append(names, answer.Host)
	}
	return names
}
