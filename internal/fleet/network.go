package fleet

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/dialer"
)

// platformLocation is the location of the platform. Every data centre has its own
// link to it.
const platformLocation = "platform"

type linkKey struct{ from, to string }

// network holds the links between locations, which are data centres or
// platformLocation, and the relays that use the links.
type network struct {
	latency     time.Duration
	locations   map[string]string // location by address
	links       map[linkKey]*Link
	addressMaps map[string]dialer.Map // by data centre of the dialling side
	relays      []*Relay
}

func newNetwork(latency time.Duration) *network {
	return &network{
		latency:     latency,
		locations:   map[string]string{},
		links:       map[linkKey]*Link{},
		addressMaps: map[string]dialer.Map{},
	}
}

// setLocation sets the location of an address.
func (n *network) setLocation(address, location string) { n.locations[address] = location }

// startRelays starts a relay from every data centre to every address at another
// location.
func (n *network) startRelays(dataCenters []string) error {
	for _, from := range dataCenters {
		n.addressMaps[from] = dialer.Map{}
		for address, to := range n.locations {
			if to == from {
				continue
			}
			relay, err := NewRelay(n.link(from, to), address)
			if err != nil {
				return &SetupError{Step: "relay", Cause: err}
			}
			n.relays = append(n.relays, relay)
			n.addressMaps[from][address] = relay.Address()
		}
	}
	return nil
}

func (n *network) link(from, to string) *Link {
	key := linkKey{from, to}
	if n.links[key] == nil {
		n.links[key] = NewLink(n.latency)
	}
	return n.links[key]
}

func (n *network) addressMap(dataCenter string) dialer.Map { return n.addressMaps[dataCenter] }

// setPartitioned takes all links of a location down or brings them up again.
func (n *network) setPartitioned(location string, partitioned bool) {
	for key, link := range n.links {
		if key.from == location || key.to == location {
			link.SetDown(partitioned)
		}
	}
}

func (n *network) close() {
	for _, relay := range n.relays {
		relay.Close()
	}
}
