package host

import (
	"slices"
	"sync"

	"github.com/arbutusbank/arbutusbank/internal/rendezvous"
)

// maxOwners bounds the cache; a configuration has fewer models.
const maxOwners = 10_000

// owners caches the placement owners of models for a set of live hosts, because
// package loading looks up the owner of every model ten times a second and each
// lookup computes a hash per host. It is safe for concurrent use.
type owners struct {
	mu     sync.Mutex
	hosts  []string          // live hosts that the cached owners were chosen from
	models map[string]string // model -> owner
}

// owner returns the owner of a model among the live hosts. A changed set or order
// of hosts invalidates the cache.
func (o *owners) owner(model string, live []string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.models == nil || !slices.Equal(live, o.hosts) {
		o.hosts, o.models = live, map[string]string{}
	}
	owner, ok := o.models[model]
	if !ok {
		owner = rendezvous.Owner(model, live)
		if len(o.models) < maxOwners {
			o.models[model] = owner
		}
	}
	return owner
}

// owner returns the placement owner of a model.
func (h *Host) owner(model string) string { return h.owners.owner(model, h.liveHosts().all) }

// ownsModel reports whether this host is the placement owner of a model.
func (h *Host) ownsModel(model string) bool { return h.owner(model) == h.settings.Host }
