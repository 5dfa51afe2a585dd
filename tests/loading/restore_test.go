package loading_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/loading"
	"github.com/arbutusbank/arbutusbank/internal/platform"
	standinengine "github.com/arbutusbank/arbutusbank/internal/standin/engine"
	standinplatform "github.com/arbutusbank/arbutusbank/internal/standin/platform"
)

// TestOrdersAfterRestore guards against fencing tokens that fall when the table service
// comes back from an older copy: the engine would refuse all orders until the revisions
// had passed the lost ones, or, without a check, carry out late ones.
func TestOrdersAfterRestore(t *testing.T) {
	store := standinplatform.New(1)
	table := httptest.NewServer(store)
	defer table.Close()
	e, err := standinengine.Start(standinengine.Options{Address: "127.0.0.1:0", MemoryBytes: engineMemory, ChecksFence: true})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	snapshot, err := config.NewSnapshot(1, newSimulation(1, 1, 1, 3, faults{}).doc)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	host := startHost(ctx, &group, 0, table.Listener.Addr().String(), []engine.Target{{Address: e.Address(), Service: "s"}}, snapshot)
	backup := store.Backup()
	for range 100 { // of others, which raise the fencing tokens before the restore
		writes := []platform.Write{{Key: "other", Value: []byte("{}")}}
		if _, err := platform.NewClient(table.Listener.Addr().String()).Commit(ctx, nil, writes); err != nil {
			t.Fatal(err)
		}
	}
	for _, model := range []string{"m0", "m1", "m2"} {
		if model == "m2" {
			store.Restore(backup)
		}
		deadline := time.Now().Add(20 * time.Second)
		for isLoaded := false; !isLoaded; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s is not loaded; state %+v", model, host.manager.State())
			}
			host.manager.RecordDemand(model, "", 4, deadline)
			replicas := host.manager.Replicas(model, "")
			isLoaded = len(replicas) == 1 && replicas[0].State == loading.StateLoaded
		}
	}
	loads := e.Record().Loads
	for _, order := range e.Record().Orders {
		if order.Reason == engine.RefusalStaleFence {
			t.Errorf("order refused: its fencing token %d is lower than an earlier one", order.Order.Fence)
		}
	}
	for i := 1; i < len(loads); i++ {
		if loads[i].Fence <= loads[i-1].Fence {
			t.Errorf("load %d has the fencing token %d after %d", i, loads[i].Fence, loads[i-1].Fence)
		}
	}
	if len(loads) != 3 {
		t.Errorf("%d loads, want 3", len(loads))
	}
}
