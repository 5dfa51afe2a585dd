package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// Guards against refusing the requests that wait for a model as soon as the coordinator is
// lost, although the next one can load it long before their deadlines (check LOST).
func TestWaitForModelOutlivesCoordinator(t *testing.T) {
	f := newTestFleet(t, 3)
	f.models = 8 // two more than the engine holds at once
	f.writeConfig(testKey)
	cold := ""
	f.waitFor("copies of all models", func() bool {
		loaded := f.engine.Loaded()
		for i := 1; i <= f.models; i++ {
			if name := fmt.Sprintf("m%d", i); !loaded[name] {
				cold = name
			}
		}
		return f.engine.Copies() == f.models && len(loaded) == f.models-2
	})
	f.store.SetFaults(platformtest.StoreFaults{Hang: true}) // the lease can't be renewed
	f.waitFor("coordinator lost", func() bool {
		for _, h := range f.hosts {
			if h.State().CoordinatorReached {
				return false
			}
		}
		return true
	})
	result := make(chan response, 1)
	go func() { result <- f.sendModelRequest(0, "/patient/1", "cold", cold, "Deadline-Ms", "10000") }()
	time.Sleep(time.Second)
	f.store.SetFaults(platformtest.StoreFaults{})
	if got := <-result; got.status != http.StatusOK {
		t.Errorf("status %d after %v, want 200: %s", got.status, got.elapsed, got.body)
	}
}
