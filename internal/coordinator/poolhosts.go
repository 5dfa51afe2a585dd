package coordinator

import (
	"cmp"
	"slices"

	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

// stewardKey names the choice of stewards for the hash that orders the hosts.
const stewardKey = "steward"

// stewards returns the hosts that keep a pot once the coordinator, named by its
// host, is gone: the first one for all hosts, then one of each data centre for
// hosts that do not reach it. Large hosts go first. The choice is the same as
// long as the hosts are.
func (b *demandBook) stewards(coordinator string) []PoolHost {
	names := make([]string, 0, len(b.hosts))
	for name, word := range b.hosts {
		if name != coordinator && word.steward.Address != "" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		if b.hosts[x].large != b.hosts[y].large {
			if b.hosts[x].large {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous.Score(stewardKey, y), rendezvous.Score(stewardKey, x))
	})
	var stewards []PoolHost
	served := map[string]bool{} // data centres
	for _, name := range names {
		steward := b.hosts[name].steward
		if served[steward.DataCenter] {
			continue
		}
		served[steward.DataCenter] = true
		stewards = append(stewards, steward)
	}
	return stewards
}
