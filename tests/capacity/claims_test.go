package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/idempotency"
)

// BenchmarkClaims measures the platform calls and rows of non-idempotent
// requests that complete with a 1 KB response, and the platform calls of hosts
// that try to acquire the sweep lease.
func BenchmarkClaims(b *testing.B) {
	calls := newSeries("claims", "request", 1000)
	sweeps := newSeries("sweeps", "host", growthHosts)
	for range b.N {
		for _, size := range []int{50, 100, 500, 1000} {
			measureClaims(b, calls, size)
		}
		for _, size := range []int{8, 32, 96, 256} {
			measureSweeps(b, sweeps, size)
		}
	}
	calls.print()
	sweeps.print()
}

func newClaims(table *countingTable, host int) *idempotency.Store {
	return idempotency.NewStore(idempotency.Config{Table: table, Clock: clock.System{}, Incarnation: hostName(host), Log: logr.Discard(), Registerer: prometheus.NewRegistry()})
}

func measureClaims(b *testing.B, s *series, size int) {
	b.Helper()
	table := newCountingTable()
	store, ctx, cpu := newClaims(table, 0), context.Background(), cpuTime(b)
	for n := range size {
		result, err := store.Begin(ctx, idempotency.ClaimRequest{Workspace: "workspace-1", Key: fmt.Sprint(n), Fingerprint: "f", RequestID: fmt.Sprint("r", n), Retention: time.Hour})
		if err != nil {
			b.Fatal(err)
		}
		if err := result.Held.Dispatch(time.Now()); err != nil {
			b.Fatal(err)
		}
		if err := result.Held.Complete(ctx, idempotency.Response{Status: 200, Body: make([]byte, 1024)}); err != nil {
			b.Fatal(err)
		}
	}
	bytes := 0
	for _, row := range table.rows {
		bytes += len(row.Key) + len(row.Value)
	}
	s.add("table reads", float64(size), float64(table.reads))
	s.add("table commits", float64(size), float64(table.commits))
	s.add("row bytes", float64(size), float64(bytes))
	s.add("CPU ms, without messages", float64(size), 1000*(cpuTime(b)-cpu).Seconds())
}

// measureSweeps makes every host try to acquire the sweep lease once. A host
// without the lease retries every 320 s on average.
func measureSweeps(b *testing.B, s *series, size int) {
	b.Helper()
	table := newCountingTable()
	for i := range size {
		if _, err := newClaims(table, i).Sweep(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	s.add("table reads per attempt of all hosts", float64(size), float64(table.reads))
	s.add("table commits per attempt of all hosts", float64(size), float64(table.commits))
}
