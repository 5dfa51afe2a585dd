package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// meshOf returns the mesh of host h00 with a number of others in each of two
// data centres.
func meshOf(perDataCenter int) *Mesh {
	hosts := map[string]config.Host{}
	for i := range 2 * perDataCenter {
		hosts[fmt.Sprintf("h%02d", i)] = config.Host{DataCenter: fmt.Sprintf("dc%d", i%2), PeerAddress: "127.0.0.1:1"}
	}
	m := NewMesh(Identity{Host: "h00", DataCenter: "dc0"}, Handlers{}, Options{})
	m.SetHosts(hosts)
	return m
}

// Guards against heartbeats whose number grows with the fleet.
func TestHeartbeatsAreBounded(t *testing.T) {
	for _, size := range []int{9, 10, 40, 113} {
		m := meshOf(size)
		want := maxNearTargets + farTargets
		if size-1 > maxNearTargets {
			want = sparseNearTargets + sparseFarPerRound
		}
		if got := len(m.targets.round(0)); got != want {
			t.Errorf("%d hosts in a data centre: %d heartbeats per interval, want %d", size, got, want)
		}
	}
}

// Guards against hosts of other data centres that count as silent between their
// turns.
func TestSilenceAllowsForTurns(t *testing.T) {
	m := meshOf(40)
	far := m.targets.far[0]
	turns := m.targets.farTurns()
	if turns < 2 {
		t.Fatalf("far targets have %d turns", turns)
	}
	m.answered(far, time.Millisecond)
	m.answered(m.targets.near[0], time.Millisecond)
	state, _ := m.Peer(far)
	if !state.Observed(state.LastHeard.Add(time.Duration(turns) * HeartbeatInterval)) {
		t.Error("a far host counts as silent before its next turn")
	}
	if state.Observed(state.LastHeard.Add(ContactTimeout + time.Duration(turns)*HeartbeatInterval)) {
		t.Error("a silent far host counts as heard")
	}
	near, _ := m.Peer(m.targets.near[0])
	if near.Observed(near.LastHeard.Add(ContactTimeout)) {
		t.Error("a silent near host counts as heard")
	}
}
