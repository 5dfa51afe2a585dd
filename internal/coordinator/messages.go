// Package coordinator implements the work of the host that holds the lease: it places
// models on engines, sends orders to engines and keeps the ledger of workspace allowances.
// Every host reports to it, and receives its decisions, in periodic exchanges.
package coordinator

import (
	"context"
	"fmt"

	"github.com/arbutusbank/arbutusbank/internal/allowance"
	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
	"github.com/arbutusbank/arbutusbank/internal/table"
)

// ModelKey identifies a model of a service.
type ModelKey struct {
	Service string `json:"service"`
	Model   string `json:"model"`
}

// ModelDemand is the demand for a model at one host.
type ModelDemand struct {
	ModelKey
	Arrivals int `json:"arrivals,omitempty"` // since the last exchange
	// AdapterArrivals is the part of Arrivals that names an adapter.
	AdapterArrivals int `json:"adapter_arrivals,omitempty"`
	Waiting         int `json:"waiting,omitempty"`   // requests that wait for a replica
	OldestMS        int `json:"oldest_ms,omitempty"` // waiting time of the oldest of them
}

// RunningCount is the number of running requests at an upstream.
type RunningCount struct {
	Upstream string `json:"upstream"`
	Model    string `json:"model,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	Count    int    `json:"count"`
	// Tokens are the prompt tokens and maximum output tokens of these requests.
	Tokens int `json:"tokens,omitempty"`
}

// PaceSample is what a host has measured of the pace of an upstream since its last exchange.
type PaceSample struct {
	Incarnation
	Ratio  float64 `json:"ratio"`  // measured times relative to the usual ones of the service
	Weight float64 `json:"weight"` // number of measured times
}

// SharedPace is the pace of an upstream by the samples of all hosts.
type SharedPace struct {
	Incarnation
	Ratio  float64 `json:"ratio"`            // 1 withdraws what was shared before
	Weight float64 `json:"weight,omitempty"` // number of samples that it relies on
}

// LostRun is a run that ended with the connection to its upstream.
type LostRun struct {
	quarantine.LostRun
	AgeMS int64 `json:"age_ms"` // time since it was lost
}

// Answered is a suspected or quarantined key of which a request was answered.
type Answered struct {
	Key   quarantine.Key `json:"key"`
	AgeMS int64          `json:"age_ms"` // time since the latest answer
}

// Quarantine is a key that all hosts refuse, except for its trial.
type Quarantine struct {
	Key          quarantine.Key `json:"key"`
	RemainingMS  int64          `json:"remaining_ms"` // 0: it has ended, and only a trial may run
	FailedTrials int            `json:"failed_trials,omitempty"`
	Trial        *Trial         `json:"trial,omitempty"` // nil: none may take place
	// Alternatives are groups of keys that explain the crashes as well, in reports to a new
	// coordinator.
	Alternatives [][]quarantine.Key `json:"alternatives,omitempty"`
	// Deputy is the host that may run trials if there is no coordinator.
	Deputy string `json:"deputy,omitempty"`
}

// Trial is a run of one request with a quarantined key, at one host.
type Trial struct {
	// Without are groups of keys; the request must have no key of one of them. None: any
	// request.
	Without [][]quarantine.Key `json:"without,omitempty"`
	Host    string             `json:"host,omitempty"` // that may run the request; "": none yet
	ID      uint64             `json:"id,omitempty"`
}

// TrialReport is what a host knows of its trial.
type TrialReport struct {
	Key     quarantine.Key          `json:"key"`
	ID      uint64                  `json:"id"`
	Outcome quarantine.TrialOutcome `json:"outcome"` // 0 running, 1 answered, 2 lost, 3 unused, 4 unknown
}

// ExchangeRequest is a host's periodic report to the coordinator.
type ExchangeRequest struct {
	Host        string                    `json:"host"`
	DataCenter  string                    `json:"data_center"`
	Address     string                    `json:"address"`         // IP:port for other hosts
	Large       bool                      `json:"large,omitempty"` // the host has capacity to do work for other hosts
	Epoch       int64                     `json:"epoch"`           // of the host's current view
	ViewVersion int64                     `json:"view_version"`    // of the host's current view
	Demand      []ModelDemand             `json:"demand,omitempty"`
	Running     []RunningCount            `json:"running,omitempty"`
	Needs       map[string]allowance.Need `json:"needs,omitempty"`
	// Unreachable are upstreams to which the host recently could not open a connection.
	Unreachable []string `json:"unreachable,omitempty"`
	// SuspectedUpstreams (wire name: doubts) are engines that reported that they lack what
	// the view lists.
	SuspectedUpstreams []string `json:"doubts,omitempty"`
	// LostRuns are the runs that the coordinator has not yet confirmed to know of.
	LostRuns []LostRun `json:"lost_runs,omitempty"`
	// Answered are the suspected and quarantined keys that were answered at the host.
	Answered []Answered `json:"answered,omitempty"`
	// Quarantines are those that the coordinator before has decided.
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// EvidenceVersion is the version of the coordinator's evidence that the host has, of the
	// coordinator of Epoch.
	EvidenceVersion int64 `json:"evidence_version,omitempty"`
	// TrialsWanted are quarantined keys of which the host has a request that may be tried.
	TrialsWanted []quarantine.Key `json:"trials_wanted,omitempty"`
	// Trials are the host's trials of which the coordinator may not know the outcome.
	Trials []TrialReport `json:"trials,omitempty"`
	// Leaving are upstreams that told the host that they leave.
	Leaving []Incarnation `json:"leaving,omitempty"`
	// Paused are upstreams that told the host to send nothing for some time.
	Paused []string `json:"paused,omitempty"`
	// Queued are the queues of the host in which requests wait or found no slot lately.
	Queued []QueuedCount `json:"queued,omitempty"`
	// Kinds count the host's recent requests of services of which it refused some.
	Kinds []KindCount `json:"kinds,omitempty"`
	// Cold are upstreams that told the host, or whose entries say, that they are cold.
	Cold []ColdUpstream `json:"cold,omitempty"`
	// ColdNeeds ask for grants to send to cold upstreams.
	ColdNeeds []ColdNeed `json:"cold_needs,omitempty"`
	// ColdSeat reports that the host may send to cold upstreams without grants.
	ColdSeat bool `json:"cold_seat,omitempty"`
	// Tables are the revisions of the host's table replicas, by table; Generations are the
	// generations of these revisions. Hosts of an earlier version of the program leave these out.
	Tables      map[string]int64 `json:"tables,omitempty"`
	Generations map[string]int64 `json:"generations,omitempty"`
	// ConfigVersion is the version of the configuration that the host has; Config is its row, if
	// the coordinator wanted it.
	ConfigVersion int64      `json:"config_version,omitempty"`
	Config        *table.Row `json:"config,omitempty"`
	// Paces are new samples of upstreams that are notably faster or slower than usual, or
	// shared as such.
	Paces []PaceSample `json:"paces,omitempty"`
	// PaceVersion is the version of the shared paces that the host has, of the coordinator of
	// Epoch; -1: none. Hosts of an earlier version of the program leave it out and are told
	// none.
	PaceVersion int64 `json:"pace_version,omitempty"`
	// Departed reports that the host has stopped: it spends nothing any more.
	Departed bool `json:"departed,omitempty"`
}

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	Upstream  string `json:"upstream"`
	StartedMS int64  `json:"born"` // Unix ms; wire name: born
}

// ColdUpstream is an upstream that is cold.
type ColdUpstream struct {
	Incarnation
	LeftMS int64 `json:"left_ms"`
}

// ColdNeed asks for grants to send to a cold upstream.
type ColdNeed struct {
	Incarnation
	Service string `json:"service"`
	Waiting int    `json:"waiting,omitempty"` // requests that wait for this upstream alone
	Wanted  int    `json:"wanted,omitempty"`  // requests that could have used it
}

// ColdGrant permits a host to send requests to a cold upstream.
type ColdGrant struct {
	Incarnation
	Requests int `json:"requests"`
	// Queue is the number of requests that wait for the upstream at all hosts.
	Queue int `json:"queue,omitempty"`
	// PerS is the rate of grants over all hosts, in requests per second.
	PerS float64 `json:"per_s"`
}

// Estimate is the expected time until a model is ready.
type Estimate struct {
	ModelKey
	ReadyInMS int `json:"ready_in_ms"` // 0: ready now
}

// EngineView is the coordinator's view of one engine.
type EngineView struct {
	Upstream  string              `json:"upstream"`
	StartedMS int64               `json:"born"`  // start of the incarnation, Unix ms; wire name: born
	Ready     map[string][]string `json:"ready"` // adapters by model
}

// View lists the engines whose state changed.
type View struct {
	Version int64        `json:"version"`
	Full    bool         `json:"full,omitempty"` // Engines lists all engines
	Engines []EngineView `json:"engines,omitempty"`
	Removed []string     `json:"gone,omitempty"` // upstreams; wire name: gone
}

// PoolHost is a host that runs an allowance pool for hosts that lost contact with the
// coordinator.
type PoolHost struct {
	Address    string `json:"address"` // IP:port
	DataCenter string `json:"data_center"`
}

// AllowanceRequest asks the coordinator, between exchanges, for what requests at a host wait.
type AllowanceRequest struct {
	Host  string                    `json:"host"`
	Needs map[string]allowance.Need `json:"needs"` // by workspace
}

// AllowanceReply is the reply to an AllowanceRequest.
type AllowanceReply struct {
	// Holder reports whether the called host holds the lease. If it does not, there are no
	// grants.
	Holder bool                       `json:"holder"`
	Grants map[string]allowance.Grant `json:"grants,omitempty"` // by workspace
}

// PoolRequest is the request to a pool host from a host without contact to the coordinator.
type PoolRequest struct {
	Host  string                    `json:"host"`
	Needs map[string]allowance.Need `json:"needs"` // by workspace
}

// PoolReply is the reply of a pool host.
type PoolReply struct {
	Grants map[string]allowance.Grant `json:"grants"` // by workspace
}

// ExchangeReply is the coordinator's reply to an ExchangeRequest.
type ExchangeReply struct {
	// Holder reports whether the called host holds the lease. If it does not, all other
	// fields are empty.
	Holder bool  `json:"holder"`
	Epoch  int64 `json:"epoch"`
	// HandingOver reports that the coordinator is handing over the lease. Its wire name is
	// leaving.
	HandingOver bool `json:"leaving,omitempty"`
	// Revision is the revision of the lease row, Generation the generation of the table service
	// in which it was written; ValidForMS is the remaining validity of the lease.
	Revision   int64                      `json:"revision"`
	Generation int64                      `json:"generation,omitempty"`
	ValidForMS int64                      `json:"valid_for_ms"`
	Hosts      int                        `json:"hosts"`              // number of hosts that may spend from local shares
	PoolHosts  []PoolHost                 `json:"stewards,omitempty"` // in the order in which to try them; wire name: stewards
	View       *View                      `json:"view,omitempty"`     // nil: unchanged
	Grants     map[string]allowance.Grant `json:"grants,omitempty"`
	Estimates  []Estimate                 `json:"estimates,omitempty"`
	// Quarantines are the requests, and segments of prompts, that crash upstreams.
	Quarantines []Quarantine `json:"quarantines,omitempty"`
	// Evidence are lost runs of all hosts that speak for quarantines, after the version that
	// the host has. The host tells the next coordinator of them.
	Evidence        []LostRun `json:"evidence,omitempty"`
	EvidenceVersion int64     `json:"evidence_version,omitempty"`
	// TrialsSettled reports that the coordinator names hosts for trials: it knows those that
	// the one before has begun.
	TrialsSettled bool `json:"trials_settled,omitempty"`
	// Suspected may crash upstreams, unless a host has answered them.
	Suspected []quarantine.Key `json:"suspected,omitempty"`
	// Tables are the updates for the host's table replicas, by table.
	Tables map[string]table.Update `json:"tables,omitempty"`
	// ConfigVersion is the newest version of the configuration that any host is known to have.
	// ConfigWanted reports that the coordinator lacks the host's version. Config is the row of
	// the coordinator's version if the host lacks it and the table service has lost it.
	ConfigVersion int64      `json:"config_version,omitempty"`
	ConfigWanted  bool       `json:"config_wanted,omitempty"`
	Config        *table.Row `json:"config,omitempty"`
	// SettledGeneration is the generation of the table service for which the hosts have told
	// the coordinator of their versions; 0: none, or the service states none.
	SettledGeneration int64 `json:"settled_generation,omitempty"`
	// Running counts the requests of all other hosts at upstreams with notable load.
	Running []RunningCount `json:"running,omitempty"`
	// Queued are the models and plain services for which any host has too few slots.
	Queued []QueuedDemand `json:"queued,omitempty"`
	// Kinds count the recent requests of the other hosts that report them.
	Kinds []KindCount `json:"kinds,omitempty"`
	// Leaving are upstreams that told a host that they leave. Their entries may not say so
	// yet.
	Leaving []Incarnation `json:"withdrawn,omitempty"`
	// Cold are upstreams of which a host was told that they are cold.
	Cold []ColdUpstream `json:"cold,omitempty"`
	// ColdGrants answer the needs of the host.
	ColdGrants []ColdGrant `json:"cold_grants,omitempty"`
	// ColdSeat permits the host to send to cold upstreams without grants, at a low rate, while
	// it has no coordinator.
	ColdSeat bool `json:"cold_seat,omitempty"`
	// Paces are the shared paces that changed after the host's version, or all notable ones if
	// PacesFull is set.
	Paces     []SharedPace `json:"paces,omitempty"`
	PacesFull bool         `json:"paces_full,omitempty"`
	// PaceVersion is the version of the shared paces; 0: the coordinator shares none.
	PaceVersion int64 `json:"pace_version,omitempty"`
}

// AdapterRequest asks the coordinator to load an adapter on an engine that holds its model.
type AdapterRequest struct {
	Host string `json:"host"`
	ModelKey
	Adapter string `json:"adapter"`
}

// AdapterReply is the reply to an AdapterRequest.
type AdapterReply struct {
	Upstream  string `json:"upstream"` // empty: not loaded
	ReadyInMS int    `json:"ready_in_ms"`
	Reason    string `json:"reason,omitempty"` // why the adapter is not loaded
	// RetryInMS is the time until the request may be repeated; 0: now.
	RetryInMS int `json:"retry_in_ms,omitempty"`
}

// Order is a command to an engine to load or unload a model or an adapter.
type Order struct {
	Unload   bool
	Model    string
	Adapter  string // empty: the model itself
	AfterSeq int64  // the engine's order count that this order expects
	Holder   string // host that sends the order
	Fence    int64  // fencing token of the holder's lease
}

// OrderResult is an engine's response to an order.
type OrderResult uint8

// Results of an order.
const (
	OrderUnknown   OrderResult = iota // it may be executed, now or later
	OrderAccepted                     // it is being executed
	OrderSatisfied                    // nothing to do: the engine is already in the requested state
	OrderConflict                     // another order is in progress, or AfterSeq differs from the engine's count
	OrderRejected                     // it will not be executed
)

// String returns the name that logs use.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "rejected"}[r]
}

// Engines sends calls to engines.
type Engines interface {
	// Report returns the content of the engine, which may be slightly out of date.
	Report(ctx context.Context, upstream *catalog.Upstream) (catalog.Holdings, error)
	// Order sends an order. An error with OrderUnknown means that the order may still be
	// executed.
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
