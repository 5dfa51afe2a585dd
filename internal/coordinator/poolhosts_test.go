package coordinator

import (
	"testing"
	"time"
)

func TestPoolHosts(t *testing.T) {
	tracker := newDemandTracker()
	hosts := []ExchangeRequest{
		{Host: "coordinator", DataCenter: "z1", Address: "0:1", Large: true},
		{Host: "small", DataCenter: "z1", Address: "1:1"},
		{Host: "large", DataCenter: "z2", Address: "2:1", Large: true},
		{Host: "other", DataCenter: "z2", Address: "3:1"},
		{Host: "old", DataCenter: "z3"}, // reports no listen address
	}
	for i := range hosts {
		tracker.record(time.Second, &hosts[i])
	}
	poolHosts := tracker.poolHosts("coordinator")
	if len(poolHosts) != 2 || poolHosts[0].Address != "2:1" || poolHosts[1].Address != "1:1" {
		t.Fatalf("pool hosts %+v, want the large host and the one of z1", poolHosts)
	}
	tracker.expire(time.Second + hostReportTTL + time.Millisecond)
	if got := tracker.poolHosts("coordinator"); len(got) != 0 {
		t.Errorf("silent hosts are pool hosts: %+v", got)
	}
}

// Guards against naming pool hosts that a host does not use in each reply, which was 15% of
// the bytes of a reply.
func TestRepliesNameOnlyUsedPoolHosts(t *testing.T) {
	all := []PoolHost{{Address: "a:1", DataCenter: "z1"}, {Address: "b:1", DataCenter: "z2"}, {Address: "c:1", DataCenter: "z3"}}
	if got := PoolHostsFor(all, "z3"); len(got) != 2 || got[0] != all[0] || got[1] != all[2] {
		t.Errorf("pool hosts %+v, want a and c", got)
	}
	if got := PoolHostsFor(all, "z1"); len(got) != 1 {
		t.Errorf("pool hosts %+v, want a", got)
	}
}
