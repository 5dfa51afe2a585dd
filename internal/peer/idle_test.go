package peer

import (
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// Guards against a number of idle connections that grows with the fleet, and
// against closing the most recently used ones.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const hosts = maxIdleTotal + 50
	named := map[string]config.Host{}
	names := make([]string, 0, hosts)
	for i := range hosts {
		names = append(names, "h"+time.Duration(i).String())
		named[names[i]] = config.Host{DataCenter: "dc", PeerAddress: "127.0.0.1:1"}
	}
	m := NewMesh(Identity{Host: "self", DataCenter: "dc"}, Handlers{}, Options{})
	m.SetHosts(named)
	defer m.close()
	start := time.Now()
	for i, name := range names {
		client, server := net.Pipe()
		defer server.Close()
		p := m.pools[name]
		p.put(drpcconn.New(client))
		p.idle[0].lastUsed = start.Add(time.Duration(i) * time.Millisecond)
	}
	m.closeExcessIdle()
	open := 0
	for i, name := range names {
		kept := len(m.pools[name].idleLastUsed())
		open += kept
		if want := i >= hosts-maxIdleTotal; (kept == 1) != want {
			t.Errorf("connection %d of %d: kept %t, want %t", i, hosts, kept == 1, want)
		}
	}
	if open != maxIdleTotal {
		t.Errorf("%d idle connections, want %d", open, maxIdleTotal)
	}
}
