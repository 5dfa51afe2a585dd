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
