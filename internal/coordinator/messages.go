// Package coordinator holds the work of the one host that has the lease:
// placement of models on engines, orders to engines, and the ledger of the
// allowances. The other hosts talk to it in short exchanges.
package coordinator

import (
	"context"
	"fmt"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// ModelKey names a model of a service.
type ModelKey struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

// ModelDemand is what a host knows of the demand for a model.
type ModelDemand struct {
	ModelKey
	Arrivals int `json:"arrivals,omitempty"` // since the last exchange
	// AdapterArrivals are those of Arrivals that name an adapter.
	AdapterArrivals int `json:"adapter_arrivals,omitempty"`
	Waiting         int `json:"waiting,omitempty"` // requests that wait for a replica
	OldestMS        int `json:"oldest_ms,omitempty"`
}

// RunningCount is the number of a host's requests at an upstream.
type RunningCount struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Count    int    `json:"count"`
}

// Answered as a count says that the request was answered, so that its lost runs
// prove nothing.
const Answered = -1

// LostRuns counts the runs of a request that ended with the connection to the
// upstream.
type LostRuns struct {
	Fingerprint uint64 `json:"fingerprint"`
	Count       int    `json:"count"`
}

// ExchangeRequest is what a host tells the coordinator.
type ExchangeRequest struct {
	Host        string                    `json:"host"`
	DataCenter  string                    `json:"data_center"`
	Address     string                    `json:"address"`         // IP:port for other hosts
	Large       bool                      `json:"large,omitempty"` // it can bear work for others
	Epoch       int64                     `json:"epoch"`           // of the view that the host has
	ViewVersion int64                     `json:"view_version"`    // of the view that the host has
	Demand      []ModelDemand             `json:"demand,omitempty"`
	Running     []RunningCount            `json:"running,omitempty"`
	Needs       map[string]allowance.Need `json:"needs,omitempty"`
	// Unreachable are upstreams that refused or did not take connections.
	Unreachable []string `json:"unreachable,omitempty"`
	// SuspectedUpstreams are engines that said that they lack what the view says.
	SuspectedUpstreams []string   `json:"doubts,omitempty"`
	Lost               []LostRuns `json:"lost,omitempty"` // since the last exchange
	// Tables are the revisions of the host's replicas.
	Tables map[string]int64 `json:"tables,omitempty"`
}

// Estimate says when a model will be ready.
type Estimate struct {
	ModelKey
	ReadyInMS int `json:"ready_in_ms"` // -1: nothing is planned
}

// EngineView is what the coordinator knows of one engine.
type EngineView struct {
	Upstream  string              `json:"upstream"`
	StartedMS int64               `json:"born"`
	Ready     map[string][]string `json:"ready"` // models and their adapters
}

// View is what the coordinator knows of the engines that changed.
type View struct {
	Version int64        `json:"version"`
	Full    bool         `json:"full,omitempty"` // Engines are all engines
	Engines []EngineView `json:"engines,omitempty"`
	Removed []string     `json:"gone,omitempty"` // upstreams
}

// PoolHost is a host that keeps a pot for the hosts that lose the coordinator.
type PoolHost struct {
	Address    string `json:"address"` // IP:port
	DataCenter string `json:"data_center"`
}

// PoolRequest is what a host without the coordinator tells a steward.
type PoolRequest struct {
	Host  string                    `json:"host"`
	Needs map[string]allowance.Need `json:"needs"` // by workspace
}

// PoolReply is a steward's answer.
type PoolReply struct {
	Grants map[string]allowance.Grant `json:"grants"` // by workspace
}

// ExchangeReply is the coordinator's answer.
type ExchangeReply struct {
	// Holder says whether the host that was asked holds the lease. Without it
	// all other fields are empty.
	Holder bool  `json:"holder"`
	Epoch  int64 `json:"epoch"`
	// HandingOver says that the coordinator hands the lease over.
	HandingOver bool `json:"leaving,omitempty"`
	// Revision is that of the lease's row, and ValidForMS how long it holds.
	Revision   int64                      `json:"revision"`
	ValidForMS int64                      `json:"valid_for_ms"`
	Hosts      int                        `json:"hosts"`
	PoolHosts  []PoolHost                 `json:"stewards,omitempty"` // in the order in which to ask them
	View       *View                      `json:"view,omitempty"`     // nil: unchanged
	Grants     map[string]allowance.Grant `json:"grants,omitempty"`
	Estimates  []Estimate                 `json:"estimates,omitempty"`
	// Quarantined are the fingerprints of requests that crash upstreams.
	Quarantined []uint64 `json:"quarantined,omitempty"`
	// Tables are what the host's replicas lack.
	Tables map[string]table.Update `json:"tables,omitempty"`
	// Running counts the requests of all other hosts at each upstream.
	Running []RunningCount `json:"running,omitempty"`
}

// AdapterRequest asks for an adapter to be loaded on some engine that holds
// its model.
type AdapterRequest struct {
	Host string `json:"host"`
	ModelKey
	Adapter string `json:"adapter"`
}

// AdapterReply says where the adapter is.
type AdapterReply struct {
	Upstream  string `json:"upstream"` // "": nowhere
	ReadyInMS int    `json:"ready_in_ms"`
	Reason    string `json:"reason,omitempty"` // why nowhere
	// RetryInMS is the time until the order may be given; 0: now.
	RetryInMS int `json:"retry_in_ms,omitempty"`
}

// Order is an order to an engine.
type Order struct {
	Unload   bool
	Model    string
	Adapter  string // "": the model itself
	AfterSeq int64  // the engine's order count that the order relies on
	Holder   string
	Fence    int64
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// Results of an order.
const (
	OrderUnknown   OrderResult = iota // it may be carried out, now or later
	OrderAccepted                     // it is being carried out
	OrderSatisfied                    // what it asks for already holds
	OrderConflict                     // another order is in progress, or the count differs
	OrderRejected                     // it will not be carried out
)

// String returns the result's name for logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "rejected"}[r]
}

// Engines calls engines.
type Engines interface {
	// Report returns what the engine holds, as of a moment ago.
	Report(ctx context.Context, upstream *catalog.Upstream) (catalog.Holdings, error)
	// Order gives an order. An error with OrderUnknown leaves its fate open.
	Order(ctx context.Context, upstream *catalog.Upstream, order Order) (OrderResult, error)
}

// EngineError reports a failed call to an engine.
type EngineError struct {
	Upstream string
	Call     string
	Cause    error
}

// Error implements error.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine %s: %s: %v", e.Upstream, e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e *EngineError) Unwrap() error { return e.Cause }
