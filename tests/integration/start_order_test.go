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

	"github.com/arbutusbank/arbutusbank/internal/host"
	"github.com/arbutusbank/arbutusbank/internal/settings"
	standinplatform "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// readyBound is the time in which a host becomes ready once its platform is there.
const readyBound = 5 * time.Second

func awaitReady(t *testing.T, running *host.Running) {
	t.Helper()
	deadline := time.Now().Add(readyBound)
	for !running.Host.Ready() {
		if time.Now().After(deadline) {
			t.Fatalf("not ready %v after the platform came", readyBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A host that was started before its platform never wrote the bootstrap
// configuration and stayed unready for good.
func TestHostStartedBeforeItsPlatform(t *testing.T) {
	for _, wait := range []time.Duration{0, 600 * time.Millisecond, 2 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			reserved, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := reserved.Addr().String()
			if err := reserved.Close(); err != nil {
				t.Fatal(err)
			}
			s := settings.Default()
			s.Host, s.DataCenter = "obihiro-1", "obihiro"
			s.Listen, s.PeerListen, s.Platform = "127.0.0.1:0", "127.0.0.1:0", address
			s.BootstrapConfig = "../../examples/config.json"
			s.UpstreamCredentialFile = "../../examples/upstream-credential.txt"
			var lines atomic.Int64
			log := funcr.New(func(_, args string) {
				if strings.Contains(args, "cannot be read from the platform") {
					lines.Add(1)
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
				t.Fatalf("the reserved port was taken: %v", err)
			}
			server := &http.Server{Handler: standinplatform.New(1)}
			go func() { _ = server.Serve(listener) }() // ends with Close
			t.Cleanup(func() { _ = server.Close() })
			awaitReady(t, running)
			if n := lines.Load(); n > 1 {
				t.Errorf("the loss of the platform was logged %d times, want once", n)
			}
		})
	}
}
