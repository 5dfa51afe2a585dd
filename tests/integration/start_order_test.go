package integration

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/settings"
	standinplatform "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// maxReadyTime is the time within which a host becomes ready once its platform
// can be reached.
const maxReadyTime = 5 * time.Second

func awaitReady(t *testing.T, running *host.Running) {
	t.Helper()
	deadline := time.Now().Add(maxReadyTime)
	for !running.Host.Ready() {
		if time.Now().After(deadline) {
			t.Fatalf("not ready %v after the platform was started", maxReadyTime)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a host that never becomes ready because it was started before
// its platform and did not write the bootstrap configuration later.
func TestHostStartedBeforeItsPlatform(t *testing.T) {
	for _, wait := range []time.Duration{0, 600 * time.Millisecond, 2 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			reservedPort, err := net.Listen("tcp", fleet.HostLoopback()+":0")
			if err != nil {
				t.Fatal(err)
			}
			address := reservedPort.Addr().String()
			if err := reservedPort.Close(); err != nil {
				t.Fatal(err)
			}
			s := settings.Default()
			s.Host, s.DataCenter = "obihiro-1", "obihiro"
			s.Listen, s.PeerListen, s.Platform = "127.0.0.1:0", "127.0.0.1:0", address
			s.BootstrapConfig = "../../examples/config.json"
			s.UpstreamCredentialFile = "../../examples/upstream-credential.txt"
			var outageLogs atomic.Int64
			log := funcr.New(func(_, args string) {
				if strings.Contains(args, "cannot be read from the platform") {
					outageLogs.Add(1)
				}
			}, funcr.Options{})
			running, err := host.Launch(s, log)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				if err := running.Shutdown(ctx); err != nil {
					t.Errorf("shutdown: %v", err)
				}
			})
			time.Sleep(wait)
			listener, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatalf("the reserved port was taken by another process: %v", err)
			}
			server := &http.Server{Handler: standinplatform.New(1)}
			go func() { _ = server.Serve(listener) }() // returns when the server is closed
			t.Cleanup(func() { _ = server.Close() })
			awaitReady(t, running)
			if n := outageLogs.Load(); n > 1 {
				t.Errorf("the platform outage was logged %d times, want at most once", n)
			}
		})
	}
}
