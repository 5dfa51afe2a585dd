package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// Guards against more requests to a cold worker than it tolerates, over all hosts; and against
// none at all, as its service has no other.
func TestColdWorkerGetsALimitedRate(t *testing.T) {
	f := newTestFleet(t, 3)
	for _, w := range f.ledgers {
		f.store.Remove("servers", w.ID)
	}
	f.coldPerS = 14
	f.writeConfig(testKey)
	f.waitFor("configuration and workers", func() bool {
		for _, h := range f.hosts {
			if state := h.State(); state.ConfigVersion != int64(f.configVersion) || state.Upstreams != 1 {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second) // the coordinator's first grants
	cold := platformtest.NewWorker("ledger-cold", "ledger")
	t.Cleanup(cold.Close)
	cold.SetFaults(platformtest.WorkerFaults{Cold: 3 * time.Second})
	f.store.Set("servers", cold.ID, cold.Entry("ready"))
	var served, refused atomic.Int64
	var group sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for caller := range 24 {
		group.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				switch got := f.send(caller%3, http.MethodPost, "/withdraw/1", fmt.Sprintf("cold-%d-%d", caller, i), ""); got.status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused.Add(1)
					time.Sleep(50 * time.Millisecond)
				default:
					t.Errorf("status %d", got.status)
				}
			}
		})
	}
	group.Wait()
	received := cold.ReceivedRequests()
	most := 0
	for i, first := range received {
		count := 0
		for _, other := range received[i:] {
			if other.At.Sub(first.At) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("%d served, %d refused, at most %d within a second", served.Load(), refused.Load(), most)
	if most > 26 { // 14 x 1.5 + 5
		t.Errorf("%d requests within a second reached a cold worker that tolerates 14", most)
	}
	if served.Load() < 10 {
		t.Errorf("%d requests served by a worker that tolerates 14 in a second", served.Load())
	}
}
