package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

// Guards against an odd entry of another writer among those of the workers that ends the
// hosts, keeps them from following the list, or draws requests (check LOST).
func TestOddEntriesAmongWorkers(t *testing.T) {
	f := newTestFleet(t, 2)
	odd := f.engine.Entry("ready")
	odd["address"] = "127.0.0.1:99999"
	odd["models"] = []any{map[string]any{"name": "m2", "version": 1, "adapters": []string{}}}
	f.store.Set("servers", "odd-port", odd)
	deep := any(1)
	for range 9000 {
		deep = []any{deep}
	}
	f.store.Set("servers", "odd-depth", map[string]any{"service": "ledger", "address": deep, "state": "ready"})
	large := f.ledgers[0].Entry("ready")
	large["slots"] = 1e300
	f.store.Set("servers", "odd-number", large)
	f.store.Set("servers", "odd-text", strings.Repeat("x", 60000))
	added := platformtest.NewWorker("ledger-3", "ledger")
	t.Cleanup(added.Close)
	f.store.Set("servers", added.ID, added.Entry("ready"))
	for host, h := range f.hosts {
		f.waitFor("the worker behind the odd entries is known", func() bool { return h.State().Upstreams == 4 })
		before := len(added.ReceivedRequests())
		for i := 0; len(added.ReceivedRequests()) == before; i++ {
			if i == 60 {
				t.Fatalf("host %d sends nothing to the worker behind the odd entries", host)
			}
			f.send(host, http.MethodPost, "/withdraw/1", fmt.Sprintf("odd-%d-%d", host, i), "")
		}
	}
	if got := f.sendModelRequest(0, "/chat/1", "claimed", "m2"); got.status != http.StatusOK {
		t.Errorf("status %d for a model that an odd entry claims to hold", got.status)
	}
}
