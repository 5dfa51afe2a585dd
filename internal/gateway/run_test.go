package gateway

import (
	"errors"
	"net"
	"testing"

	"github.com/go-logr/logr"
)

// Guards against a host that does not start because its metrics port, which is the
// same on all machines, is taken. It can't serve without its other addresses.
func TestHostServesWithoutMetrics(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free := "127.0.0.1:0"
	g := &Gateway{log: logr.Discard(), settings: Settings{
		Listen: free, ReadyListen: free, PeerListen: free, MetricsListen: taken.Addr().String(),
	}}
	l, err := g.listen()
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	if l.metrics != nil || l.callers == nil || l.ready == nil || l.peers == nil {
		t.Errorf("listeners %+v", l)
	}
	for _, listener := range []net.Listener{l.callers, l.ready, l.peers} {
		_ = listener.Close() // the test ends
	}
	g.settings.PeerListen = taken.Addr().String()
	var failed *ListenError
	if l, err = g.listen(); !errors.As(err, &failed) {
		t.Errorf("error %v with the peer address taken, want a ListenError", err)
	}
	_ = l.callers.Close() // the test ends
	_ = l.ready.Close()
}
