package capacity

import (
	"fmt"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
)

const (
	// documentModels is the number of models of the growth size.
	documentModels = 78
	// dataCenters is the number of data centres of the hosts. With three, a fleet
	// of at least 32 hosts sends as many heartbeats per host and interval as a
	// fleet of the growth size: 8 within the data centre and 4 to others.
	dataCenters = 3
	peerPort    = 17078
	callerPort  = 17077
)

func dataCenterName(i int) string { return fmt.Sprintf("dc%d", i%dataCenters) }

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

// loopbackAddress returns a loopback address that is unique per host, so that
// all hosts can use the same ports.
func loopbackAddress(i, port int) string { return fmt.Sprintf("127.77.%d.%d:%d", i/250, i%250+1, port) }

// shape holds the sizes of a configuration document.
type shape struct{ hosts, adapters, workspaces, slots, slotsPerWorkspace int }

// currentShape returns the current sizes with the given number of hosts.
func currentShape(hosts int) shape {
	return shape{hosts: hosts, adapters: 100, workspaces: 5, slots: 64, slotsPerWorkspace: 64}
}

// growthShape returns a fraction of the growth size. The slots per workspace are
// not scaled.
func growthShape(fraction float64) shape {
	scaled := func(n int) int { return int(float64(n) * fraction) }
	return shape{
		hosts: scaled(growthHosts), adapters: scaled(growthAdapters), workspaces: scaled(growthWorkspaces),
		slots: scaled(growthSlots), slotsPerWorkspace: growthSlotsPerWorkspace,
	}
}

// document returns a valid document with the sizes of the shape.
func (s shape) document() *config.Document {
	doc := configtest.Document()
	doc.Quota = config.Quota{Slots: s.slots, SlotsPerWorkspace: s.slotsPerWorkspace}
	clear(doc.Hosts)
	for i := range s.hosts {
		host := config.Host{Address: loopbackAddress(i, callerPort), PeerAddress: loopbackAddress(i, peerPort), DataCenter: dataCenterName(i)}
		for slot := i; slot < s.slots; slot += s.hosts {
			host.Slots = append(host.Slots, slot)
		}
		doc.Hosts[hostName(i)] = host
	}
	clear(doc.Models)
	for i := range documentModels {
		doc.Models[fmt.Sprintf("model-%d", i)] = config.Model{Service: "assistant", Bytes: 8e9, Version: "1", MaxReplicas: growthEngines, LoadMS: 3000}
	}
	clear(doc.Adapters)
	for i := range s.adapters {
		doc.Adapters[fmt.Sprintf("adapter-%d", i)] = config.Adapter{Model: baseModelName(i, documentModels), Bytes: 5e7, Version: "1"}
	}
	template := doc.Workspaces["w1"]
	clear(doc.Workspaces)
	for i := range s.workspaces {
		workspace := template
		workspace.Keys = map[string]config.Key{"k1": {SHA256: config.HashKey(fmt.Sprint("a", i))}, "k2": {SHA256: config.HashKey(fmt.Sprint("b", i))}}
		doc.Workspaces[fmt.Sprintf("workspace-%d", i)] = workspace
	}
	return doc
}

func newSnapshot(b *testing.B, version uint64, doc *config.Document) *config.Snapshot {
	b.Helper()
	snapshot, err := config.NewSnapshot(version, doc)
	if err != nil {
		b.Fatal(err)
	}
	return snapshot
}
