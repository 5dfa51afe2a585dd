package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// newTestMesh returns the mesh of host h00 in a fleet of two data centres with the
// given number of hosts each.
func newTestMesh(perDataCenter int) *Mesh {
	hosts := map[string]config.Host{}
	for i := range 2 * perDataCenter {
		hosts[fmt.Sprintf("h%02d", i)] = config.Host{DataCenter: fmt.Sprintf("dc%d", i%2), PeerAddress: "127.0.0.1:1"}
	}
	m := NewMesh(Identity{Host: "h00", DataCenter: "dc0"}, Handlers{}, Options{})
	m.SetHosts(hosts)
	return m
}

// Guards against a number of heartbeats that grows with the fleet.
func TestHeartbeatsAreBounded(t *testing.T) {
	for _, size := range []int{9, 10, 40, 113} {
		m := newTestMesh(size)
		want := maxLocalTargets + remoteTargetsPerDataCenter
		if size-1 > maxLocalTargets {
			want = sparseLocalTargets + sparseRemotePerRound
		}
		if got := len(m.targets.round(0)); got != want {
			t.Errorf("%d hosts in a data centre: %d heartbeats per interval, want %d", size, got, want)
		}
	}
}

// Guards against remote hosts that count as unresponsive between two heartbeats of
// the rotation.
func TestContactTimeoutAllowsForRotation(t *testing.T) {
	m := newTestMesh(40)
	remoteHost := m.targets.remote[0]
	rounds := m.targets.remoteRounds()
	if rounds < 2 {
		t.Fatalf("remote targets take %d rounds", rounds)
	}
	m.observeResponse(remoteHost, time.Millisecond)
	m.observeResponse(m.targets.local[0], time.Millisecond)
	state, _ := m.Peer(remoteHost)
	if !state.Observed(state.LastHeard.Add(time.Duration(rounds) * HeartbeatInterval)) {
		t.Error("a remote host counts as unresponsive before its next heartbeat")
	}
	if state.Observed(state.LastHeard.Add(ContactTimeout + time.Duration(rounds)*HeartbeatInterval)) {
		t.Error("an unresponsive remote host counts as observed")
	}
	localState, _ := m.Peer(m.targets.local[0])
	if localState.Observed(localState.LastHeard.Add(ContactTimeout)) {
		t.Error("an unresponsive local host counts as observed")
	}
}
