// Package peer implements the communication between the hosts of the system over
// DRPC: heartbeats, configuration deltas, token loans, demand for models, suspected
// requests, and signs of leaving or failing upstreams.
package peer

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/confine"
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
)

const (
	// callTimeout bounds a call; hosts respond within a few milliseconds. It is
	// below ContactTimeout, so that an unresponsive connection is replaced before
	// the host counts as unresponsive.
	callTimeout = time.Second
	// documentTimeout bounds calls that carry configuration documents.
	documentTimeout = 2 * time.Second
	// ContactTimeout is the time without a message from a host after which the
	// host counts as unresponsive.
	ContactTimeout = 2 * time.Second
	// inactivityTimeout is how long an incoming connection without calls is kept
	// open. Callers detect the close and dial again.
	inactivityTimeout = 30 * time.Second
	// rttWeight is the weight of a new sample in the moving average of the round
	// trip.
	rttWeight = 0.2
)

// Identity identifies this process to other hosts.
type Identity struct {
	Host        string
	DataCenter  string
	Incarnation uint64
}

// Options configures a Mesh.
type Options struct {
	Log        logr.Logger           // zero value: nothing is logged
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// State is the last known state of another host.
type State struct {
	Host          string        `json:"host"`
	Address       string        `json:"address"`
	DataCenter    string        `json:"data_center"`
	Incarnation   uint64        `json:"incarnation"`
	ConfigVersion uint64        `json:"config_version"`
	ConfigHash    string        `json:"config_hash"`
	LastHeard     time.Time     `json:"last_heard"`    // last heartbeat or response; zero: none yet
	RoundTrip     time.Duration `json:"round_trip_ns"` // moving average
	Leaving       bool          `json:"leaving"`
	Target        bool          `json:"target"` // whether this host sends it heartbeats
	// heartbeatRounds is the number of heartbeat intervals per heartbeat to this
	// host; 0 and 1 both mean one heartbeat in each interval.
	heartbeatRounds int
}

// Observed reports whether the host sent a heartbeat or a response within
// ContactTimeout. The limit is longer for remote hosts that receive heartbeats in
// rotation.
func (s State) Observed(now time.Time) bool {
	limit := ContactTimeout + time.Duration(max(0, s.heartbeatRounds-1))*HeartbeatInterval
	return !s.LastHeard.IsZero() && now.Sub(s.LastHeard) < limit
}

// Mesh manages the connections to all other hosts and serves their calls. It is
// safe for concurrent use.
type Mesh struct {
	id       Identity
	handlers Handlers
	log      logr.Logger
	metrics  *metrics

	mu      sync.Mutex
	pools   map[string]*connPool
	states  map[string]State
	names   []string // keys of states, sorted
	targets heartbeatTargets
	closed  bool
}

// NewMesh returns a Mesh without hosts; SetHosts adds them.
func NewMesh(id Identity, handlers Handlers, options Options) *Mesh {
	log := options.Log
	if log.GetSink() == nil {
		log = logr.Discard()
	}
	return &Mesh{
		id:       id,
		handlers: handlers,
		log:      log.WithName("peer"),
		metrics:  newMetrics(options.Registerer),
		pools:    map[string]*connPool{},
		states:   map[string]State{},
	}
}

// SetHosts replaces the set of hosts that can be called. This host is ignored if it
// is in the set.
func (m *Mesh) SetHosts(hosts map[string]config.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.targets = chooseTargets(m.id, hosts)
	for name, p := range m.pools {
		if host, kept := hosts[name]; !kept || host.PeerAddress != p.address {
			p.close()
			delete(m.pools, name)
			delete(m.states, name)
		}
	}
	for name, host := range hosts {
		if name != m.id.Host {
			m.addHost(name, host)
		}
	}
	m.names = slices.Sorted(maps.Keys(m.states))
}

func (m *Mesh) addHost(name string, host config.Host) {
	if m.pools[name] == nil {
		m.pools[name] = newConnPool(name, host.PeerAddress, m.metrics)
	}
	state := m.states[name]
	state.Host, state.Address, state.DataCenter = name, host.PeerAddress, host.DataCenter
	state.Target = m.targets.contains(name)
	state.heartbeatRounds = 0
	if state.Target && host.DataCenter != m.id.DataCenter {
		state.heartbeatRounds = m.targets.remoteRounds()
	}
	m.states[name] = state
}

// Hosts returns the names of the other hosts, sorted.
func (m *Mesh) Hosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.names)
}

// Peers returns the states of all other hosts, sorted by name.
func (m *Mesh) Peers() []State {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := make([]State, 0, len(m.names))
	for _, name := range m.names {
		states = append(states, m.states[name])
	}
	return states
}

// Visit calls the function with the state of each other host, sorted by name. It
// avoids the copy that Peers makes, but holds the mesh's lock: the function must not
// call the mesh.
func (m *Mesh) Visit(visit func(State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.names {
		visit(m.states[name])
	}
}

// Sparse reports whether this host's data centre is too large for heartbeats
// between all of its hosts.
func (m *Mesh) Sparse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets.sparse
}

// Peer returns the state of a host, and whether the host is known.
func (m *Mesh) Peer(host string) (State, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.states[host]
	return state, ok
}

// Run serves incoming calls on the listener and sends heartbeats until the
// context ends. It closes the listener and all connections before it returns.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{mesh: m}); err != nil {
		return eris.Wrap(err, "register peer calls")
	}
	options := drpcserver.Options{Manager: managerOptions(), Log: m.logServer}
	options.Manager.InactivityTimeout = inactivityTimeout
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { m.sendHeartbeats(ctx) })
	err := drpcserver.NewWithOptions(confine.Handler{Handler: mux}, options).Serve(ctx, listener)
	cancel()
	tasks.Wait()
	m.close()
	return eris.Wrap(err, "serve peer calls")
}

func (m *Mesh) logServer(err error) { m.log.V(1).Info("Connection ended.", "error", err.Error()) }

func (m *Mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, p := range m.pools {
		p.close()
	}
}

// observeHeartbeat updates the state of the sender and calls the heartbeat handler.
// Heartbeats of unknown hosts are ignored.
func (m *Mesh) observeHeartbeat(message *peerpb.HeartbeatMessage) {
	host := message.GetFrom().GetHost()
	m.mu.Lock()
	state, known := m.states[host]
	if known {
		state.Incarnation = message.GetFrom().GetIncarnation()
		state.ConfigVersion = message.GetConfigVersion()
		state.ConfigHash = message.GetConfigHash()
		state.Leaving = message.GetLeaving()
		state.LastHeard = time.Now()
		m.states[host] = state
	}
	m.mu.Unlock()
	if known && m.handlers.Heartbeat != nil {
		m.handlers.Heartbeat(host, message)
	}
}

// observeResponse records the time and round trip of a host's response to a call.
func (m *Mesh) observeResponse(host string, roundTrip time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, known := m.states[host]
	if !known {
		return
	}
	state.LastHeard = time.Now()
	if state.RoundTrip == 0 {
		state.RoundTrip = roundTrip
	}
	state.RoundTrip += time.Duration(rttWeight * float64(roundTrip-state.RoundTrip))
	m.states[host] = state
}

func (m *Mesh) localHeartbeat() *peerpb.HeartbeatMessage {
	message := &peerpb.HeartbeatMessage{}
	if m.handlers.LocalHeartbeat != nil {
		message = m.handlers.LocalHeartbeat()
	}
	truncateHeartbeat(message)
	message.From = m.sender()
	return message
}

func (m *Mesh) sender() *peerpb.Sender {
	return &peerpb.Sender{Host: m.id.Host, Incarnation: m.id.Incarnation, DataCenter: m.id.DataCenter}
}
