package fleet

import (
	"time"

	"github.com/arbutusbank/arbutusbank/internal/dialer"
)

// platformPlace is where the platform is: reached from every data centre over
// a link of its own.
const platformPlace = "platform"

type pair struct{ from, to string }

// network holds the links between places and the relays that lead over them.
type network struct {
	latency time.Duration
	places  map[string]string // place by address
	links   map[pair]*Link
	maps    map[string]dialer.Map // by data centre of the dialling side
	relays  []*Relay
}

func newNetwork(latency time.Duration) *network {
	return &network{
		latency: latency,
		places:  map[string]string{},
		links:   map[pair]*Link{},
		maps:    map[string]dialer.Map{},
	}
}

// place sets where an address is.
func (n *network) place(address, where string) { n.places[address] = where }

// build lays a relay from every data centre to every address elsewhere.
func (n *network) build(dataCenters []string) error {
	for _, from := range dataCenters {
		n.maps[from] = dialer.Map{}
		for address, to := range n.places {
			if to == from {
				continue
			}
			relay, err := NewRelay(n.link(from, to), address)
			if err != nil {
				return &SetupError{Step: "relay", Cause: err}
			}
			n.relays = append(n.relays, relay)
			n.maps[from][address] = relay.Address()
		}
	}
	return nil
}

func (n *network) link(from, to string) *Link {
	key := pair{from, to}
	if n.links[key] == nil {
		n.links[key] = NewLink(n.latency)
	}
	return n.links[key]
}

func (n *network) addressMap(dataCenter string) dialer.Map { return n.maps[dataCenter] }

// cut sets the state of all links of a place.
func (n *network) cut(place string, cut bool) {
	for key, link := range n.links {
		if key.from == place || key.to == place {
			link.SetDown(cut)
		}
	}
}

func (n *network) close() {
	for _, relay := range n.relays {
		relay.Close()
	}
}
