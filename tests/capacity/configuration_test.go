package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/clock"
	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/peer"
	"github.com/arbutusbank/arbutusbank/internal/quota"
)

// growthChangesPerSecond is the mean rate of configuration changes at growth size.
const growthChangesPerSecond = float64(growthChangesPerDay) / (24 * 60 * 60)

// BenchmarkDocument measures the cost of one configuration change for a host that
// holds the whole document, at fractions of the growth size.
func BenchmarkDocument(b *testing.B) {
	s := newSeries("document", "growth size", 1)
	for range b.N {
		for _, size := range []float64{0.125, 0.25, 0.5, 1} {
			measureDocument(b, s, size)
		}
	}
	s.print()
}

func measureDocument(b *testing.B, s *series, size float64) {
	heap := liveHeap()
	base := newSnapshot(b, 1, growthShape(size).document())
	s.add("heap of one version, bytes", size, liveHeap()-heap)
	data, err := base.Document.Canonical()
	if err != nil {
		b.Fatal(err)
	}
	s.add("document bytes", size, float64(len(data)))
	patch := []byte(fmt.Sprintf(`[{"op":"add","path":"/workspaces/workspace-7/keys/k3","value":{"sha256":"%s"}}]`, config.HashKey("new")))
	document, err := config.ApplyPatch(base.Document, patch)
	if err != nil {
		b.Fatal(err)
	}
	next := newSnapshot(b, 2, document)
	applyDelta := timePerCall(b, 300*time.Millisecond, func() {
		if _, err := config.ApplyAccepted(base, 2, patch, next.Hash); err != nil {
			b.Fatal(err)
		}
	})
	quotaApply := timeQuotaApply(b, base, next)
	mesh := peer.NewMesh(peer.Identity{Host: hostName(0), DataCenter: dataCenterName(0)}, peer.Handlers{}, peer.Options{})
	setHosts := timePerCall(b, 200*time.Millisecond, func() { mesh.SetHosts(next.Document.Hosts) })
	s.add("follow, ms", size, 1000*applyDelta)
	s.add("quota.Apply, ms", size, 1000*quotaApply)
	s.add("SetHosts, ms", size, 1000*setHosts)
	s.add("CPU percent of a core at 0.5 changes a second", size, 100*growthChangesPerSecond*(applyDelta+quotaApply+setHosts))
}

// timeQuotaApply returns the CPU seconds to apply a change to the quota manager.
func timeQuotaApply(b *testing.B, base, next *config.Snapshot) float64 {
	b.Helper()
	manager := quota.NewManager(clock.System{}, hostName(0), 1)
	manager.Apply(base)
	return timePerCall(b, 300*time.Millisecond, func() {
		next.Version++
		manager.Apply(next)
	})
}
