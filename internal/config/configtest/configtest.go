// Package configtest provides a valid configuration document for tests.
package configtest

import (
	"fmt"

	"github.com/arbutusbank/arbutusbank/internal/config"
)

// OperatorKey is the plaintext key of the operator "alice" in Document.
const OperatorKey = "operator-key-alice"

// CallerKey returns the plaintext of the key "k1" of a workspace in Document.
func CallerKey(workspace string) string { return "caller-key-" + workspace }

// Document returns a new valid document: three data centres with two hosts each, an
// engine service, a plain service and two workspaces.
func Document() *config.Document {
	doc := &config.Document{
		Deployment: "test",
		Defaults:   config.Defaults{DeadlineMS: 30_000, MaxDeadlineMS: 120_000, MaxBodyBytes: 1 << 20, MaxTokens: 256, ClaimRetentionS: 86_400},
		Hosts:      map[string]config.Host{},
		Quota:      config.Quota{Slots: 60, SlotsPerWorkspace: 60},
		Services: map[string]config.Service{
			"assistant": {Kind: config.ServiceEngine},
			"ledger": {Kind: config.ServicePlain, Routes: []config.Route{
				{Method: "POST", Path: "/withdrawals", TimeoutMS: 5000, CostTokens: 10},
				{Method: "GET", Path: "/status", Idempotent: true},
				{Method: "GET", Path: "/drawers/*", Idempotent: true},
			}},
		},
		Models:     map[string]config.Model{"m1": {Service: "assistant", Bytes: 8e9, Version: "1", MaxReplicas: 2, LoadMS: 3000}},
		Adapters:   map[string]config.Adapter{"a1": {Model: "m1", Bytes: 5e7, Version: "1"}},
		Workspaces: map[string]config.Workspace{},
		OpenRoutes: []config.OpenRoute{{Service: "ledger", Method: "GET", Path: "/status"}},
		Operators:  map[string]config.Operator{"alice": {KeySHA256: config.HashKey(OperatorKey)}},
		WeightStore: config.WeightStore{
			LoadsPerS: 6, ConcurrentLoads: 4, AdapterLoadsInFlight: 32,
		},
	}
	addHosts(doc)
	for _, name := range []string{"w1", "w2"} {
		doc.Workspaces[name] = workspace(CallerKey(name))
	}
	return doc
}

// addHosts adds 6 hosts in 3 data centres with 10 slots each.
func addHosts(doc *config.Document) {
	const hosts, slotsPerHost = 6, 10
	for i := range hosts {
		slots := make([]int, 0, slotsPerHost)
		for slot := range slotsPerHost {
			slots = append(slots, i*slotsPerHost+slot)
		}
		doc.Hosts[fmt.Sprintf("h%d", i+1)] = config.Host{
			Address:     fmt.Sprintf("127.0.0.1:%d", 7001+i),
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 8001+i),
			DataCenter:  fmt.Sprintf("dc%d", i/2+1),
			Slots:       slots,
		}
	}
}

func workspace(key string) config.Workspace {
	return config.Workspace{
		RateTokensPerS: 2000,
		BurstTokens:    20_000,
		Weight:         1,
		Priority:       config.PriorityInteractive,
		Models:         []string{"*"},
		Services:       []string{"*"},
		Keys:           map[string]config.Key{"k1": {SHA256: config.HashKey(key)}},
	}
}
