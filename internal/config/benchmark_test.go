package config_test

import (
	"fmt"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/config/configtest"
)

// largeDocument returns a document with the fleet size of the growth section of the
// design page.
func largeDocument() *config.Document {
	const hosts, adapters, workspaces, slots = 1700, 5600, 1000, 4096
	doc := configtest.Document()
	doc.Quota = config.Quota{Slots: slots, SlotsPerWorkspace: 64}
	clear(doc.Hosts)
	for i := range hosts {
		host := config.Host{Address: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250), DataCenter: fmt.Sprintf("dc%d", i%15)}
		for slot := i; slot < slots; slot += hosts {
			host.Slots = append(host.Slots, slot)
		}
		doc.Hosts[fmt.Sprintf("h%d", i)] = host
	}
	for i := range adapters {
		doc.Adapters[fmt.Sprintf("adapter-%d", i)] = config.Adapter{Model: "m1", Bytes: 5e7, Version: "1"}
	}
	for i := range workspaces {
		workspace := doc.Workspaces["w1"]
		workspace.Keys = map[string]config.Key{"k1": {SHA256: config.HashKey(fmt.Sprint(i))}, "k2": {SHA256: config.HashKey(fmt.Sprint("b", i))}}
		doc.Workspaces[fmt.Sprintf("workspace-%d", i)] = workspace
	}
	return doc
}

// BenchmarkApplyLargeDocument measures the cost of one configuration change for the
// accepting host (submit) and for every other host (follow).
func BenchmarkApplyLargeDocument(b *testing.B) {
	base, err := config.NewSnapshot(1, largeDocument())
	if err != nil {
		b.Fatal(err)
	}
	data, _ := base.Document.Canonical()
	patch := patchOf(`add /workspaces/workspace-7/keys/k3 {"sha256":"` + config.HashKey("new") + `"}`)
	next, err := config.ApplyPatch(base.Document, patch)
	if err != nil {
		b.Fatal(err)
	}
	hash, _ := next.Hash()
	b.Run("submit", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := config.ApplyPatch(base.Document, patch); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "document-bytes")
	})
	b.Run("follow", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := config.ApplyAccepted(base, 2, patch, hash); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkLookupKey measures the lookup of a caller's key, which every request
// requires.
func BenchmarkLookupKey(b *testing.B) {
	snapshot, err := config.NewSnapshot(1, largeDocument())
	if err != nil {
		b.Fatal(err)
	}
	key := configtest.CallerKey("w2") + "-of-the-length-of-an-issued-key"
	b.ReportAllocs()
	for b.Loop() {
		snapshot.LookupKey(key)
	}
}
