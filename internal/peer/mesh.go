// Package peer carries messages between the hosts of the system over drpc:
// heartbeats, configuration deltas, token loans, demand, and signs of failing
// requests and upstreams.
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
	"github.com/arbutusbank/arbutusbank/internal/peer/peerpb"
)

const (
	// callTimeout bounds a call; hosts answer within a few milliseconds. It is
	// below SilentAfter, so a silent connection is replaced in time.
	callTimeout = time.Second
	// documentTimeout bounds calls that carry configuration documents.
	documentTimeout = 2 * time.Second
	// ContactTimeout is when a host without an answer counts as silent.
	ContactTimeout = 2 * time.Second
	// inactivityTimeout closes incoming connections without calls. Callers
	// notice the closing and dial again.
	inactivityTimeout = 30 * time.Second
	// rttWeight is the weight of a new round trip in the average.
	rttWeight = 0.2
)

// Identity names this process.
type Identity struct {
	Host        string
	DataCenter  string
	Incarnation uint64
}

// Options are the optional parts of a Mesh.
type Options struct {
	Log        logr.Logger
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// State is what is known of another host.
type State struct {
	Host          string        `json:"host"`
	Address       string        `json:"address"`
	DataCenter    string        `json:"data_center"`
	Incarnation   uint64        `json:"incarnation"`
	ConfigVersion uint64        `json:"config_version"`
	ConfigHash    string        `json:"config_hash"`
	LastHeard     time.Time     `json:"last_heard"` // zero: never
	RoundTrip     time.Duration `json:"round_trip_ns"`
	Leaving       bool          `json:"leaving"`
	Target        bool          `json:"target"` // this host sends it heartbeats
	// turns is the number of heartbeat intervals in which this host sends it
	// one heartbeat; 0 or 1: it sends one in each.
	turns int
}

// Observed reports whether the host was heard within SilentAfter, or later when
// hosts of other data centres take turns.
func (s State) Observed(now time.Time) bool {
	limit := ContactTimeout + time.Duration(max(0, s.turns-1))*HeartbeatInterval
	return !s.LastHeard.IsZero() && now.Sub(s.LastHeard) < limit
}

// Mesh is this host's side of the connections with all others. It is safe for
// concurrent use.
type Mesh struct {
	id       Identity
	handlers Handlers
	log      logr.Logger
	metrics  *metrics

	mu      sync.Mutex
	links   map[string]*link
	states  map[string]State
	names   []string // of states, sorted
	targets targets
	closed  bool
}

// NewMesh returns a Mesh that knows no hosts.
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
		links:    map[string]*link{},
		states:   map[string]State{},
	}
}

// SetHosts replaces the hosts that can be called. The own host is left out.
func (m *Mesh) SetHosts(hosts map[string]config.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	m.targets = chooseTargets(m.id, hosts)
	for name, l := range m.links {
		if host, kept := hosts[name]; !kept || host.PeerAddress != l.address {
			l.close()
			delete(m.links, name)
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
	if m.links[name] == nil {
		m.links[name] = newLink(name, host.PeerAddress, m.metrics)
	}
	state := m.states[name]
	state.Host, state.Address, state.DataCenter = name, host.PeerAddress, host.DataCenter
	state.Target = m.targets.has(name)
	state.turns = 0
	if state.Target && host.DataCenter != m.id.DataCenter {
		state.turns = m.targets.farTurns()
	}
	m.states[name] = state
}

// Hosts returns the names of the other hosts, sorted.
func (m *Mesh) Hosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.names)
}

// Peers returns the state of every other host, by name.
func (m *Mesh) Peers() []State {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := make([]State, 0, len(m.names))
	for _, name := range m.names {
		states = append(states, m.states[name])
	}
	return states
}

// Visit calls a function with the state of every other host, by name, without
// copying the states first. The function must not call the mesh.
func (m *Mesh) Visit(visit func(State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.names {
		visit(m.states[name])
	}
}

// Sparse reports whether the own data centre is too large for heartbeats
// between all of its hosts.
func (m *Mesh) Sparse() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets.sparse
}

// Peer returns the state of one host.
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
	err := drpcserver.NewWithOptions(mux, options).Serve(ctx, listener)
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
	for _, l := range m.links {
		l.close()
	}
}

// heard records a heartbeat and passes it on.
func (m *Mesh) heard(message *peerpb.HeartbeatMessage) {
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

// answered records that a host answered a call.
func (m *Mesh) answered(host string, roundTrip time.Duration) {
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
	bound(message)
	message.From = m.sender()
	return message
}

func (m *Mesh) sender() *peerpb.Sender {
	return &peerpb.Sender{Host: m.id.Host, Incarnation: m.id.Incarnation, DataCenter: m.id.DataCenter}
}
