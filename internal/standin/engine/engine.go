// Package engine is a stand-in for a model engine: it implements the protocol of
// internal/engine over HTTP, accounts for accelerator memory, spends real time
// on loading and generating, injects faults on request, and records what it
// received and did. Checkers compare these records with what hosts report.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// Options configure an engine. A zero duration or rate means no delay.
type Options struct {
	Address             string   // "IP:port"; port 0 picks a free one
	MemoryBytes         int64    // accelerator memory
	HostMemory          []string // models whose weights are initially cached in host memory
	Disk                []string // models whose weights are initially cached on local disk
	HostMemorySlots     int      // capacity of the host memory cache, in models; 0: fixed content
	DiskSlots           int      // capacity of the disk cache, in models; 0: fixed content
	HostMemoryBytesPerS float64
	DiskBytesPerS       float64
	Store               *WeightStore // nil: loads from the weight store take no time
	UnloadTime          time.Duration
	MaxBatch            int           // maximum concurrent requests; 0: 16
	TokenInterval       time.Duration // time between two tokens of one request
	PrefillPerToken     time.Duration // time per prompt token that is not cached
	ReportInterval      time.Duration // maximum age of the served report; 0: always current
	CacheBlocks         int           // capacity of the prefix cache, in blocks of routing.BlockBytes
	CacheEventDelay     time.Duration // time until a cache event becomes visible
	CacheEventGapRatio  float64       // fraction of cache events that are never published, 0 to 1
	ChecksFence         bool          // reject orders with an outdated fence
	CrashMarker         string        // text in a prompt that crashes the engine; default DefaultCrashMarker
	RestartTime         time.Duration // time from a crash to the restart
	DiscardRuns         bool          // keep no record of each run, for benchmarks
	Seed                uint64        // of the random cache event gaps
}

const defaultMaxBatch = 16

// Faults are the faults that an engine injects. Crash and FreezeConnections take
// effect once, when they are set. The JSON names are those of the control API and
// differ from some field names.
type Faults struct {
	Crash               bool    `json:"crash,omitempty"`       // reset all connections, discard all state in memory, restart later
	FreezeConnections   bool    `json:"freeze_open,omitempty"` // stop traffic on the open connections
	Draining            bool    `json:"draining"`              // refuse new requests and loads, finish running requests
	HangControl         bool    `json:"hang_control"`          // accept control calls, never respond
	OrderDelayMS        int     `json:"order_delay_ms"`        // delay before an order takes effect, also if the sender has disconnected
	DropOrderResponses  bool    `json:"lose_order_answers"`    // orders take effect, but their responses are dropped
	TokenIntervalFactor float64 `json:"slow_tokens"`           // multiplies the token interval; 0: 1
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	options     Options
	recorder    *recorder
	weightCache *weightCache
	process     *upstream.Process

	mu     sync.Mutex
	faults Faults
	boots  uint64
}

// Start listens and serves until Stop. It returns *upstream.ListenError when it
// cannot listen on the address.
func Start(options Options) (*Engine, error) {
	if options.MaxBatch <= 0 {
		options.MaxBatch = defaultMaxBatch
	}
	if options.CrashMarker == "" {
		options.CrashMarker = DefaultCrashMarker
	}
	e := &Engine{
		options:     options,
		weightCache: newWeightCache(options),
		recorder: &recorder{
			discardRuns: options.DiscardRuns,
			memory:      options.MemoryBytes,
		},
	}
	e.process = upstream.NewProcess(options.Address, options.RestartTime, e.boot, e.bootEnded)
	if err := e.process.Restart(); err != nil {
		return nil, err
	}
	return e, nil
}

// Address returns the "IP:port" that the engine listens on, also while it is down.
func (e *Engine) Address() string { return e.process.Address() }

// Record returns what the engine has received and done so far, over all its boots.
func (e *Engine) Record() Record { return e.recorder.snapshot() }

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	crash, freeze := faults.Crash, faults.FreezeConnections
	faults.Crash, faults.FreezeConnections = false, false
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	if freeze {
		e.FreezeConnections()
	}
	if crash {
		e.Crash()
	}
}

// FreezeConnections permanently stops traffic on all open connections without
// closing them. New connections are not affected. It returns how many connections
// were frozen.
func (e *Engine) FreezeConnections() int { return e.process.FreezeConnections() }

// Crash resets all connections, ends all running requests, discards all state in
// memory, and restarts with a new boot ID after the restart time. Weights cached
// on disk remain.
func (e *Engine) Crash() { e.process.Crash() }

// Kill is like Crash, without a restart.
func (e *Engine) Kill() { e.process.Kill() }

// Restart starts a killed engine on its old address with a new boot ID.
func (e *Engine) Restart() error { return e.process.Restart() }

// Stop ends the engine permanently.
func (e *Engine) Stop() { e.process.Stop() }

// boot is the state of one incarnation of the engine process, from its start to
// its crash or stop.
type boot struct {
	*upstream.Boot
	engine    *Engine
	memory    *memory
	scheduler *scheduler
	cache     *prefixCache
	runs      *runTable
	reports   reportCache
}

// boot creates the state of a new boot and returns its HTTP handler.
func (e *Engine) boot(process *upstream.Boot) http.Handler {
	e.mu.Lock()
	e.boots++
	seed := e.options.Seed + e.boots
	e.mu.Unlock()
	b := &boot{
		Boot:      process,
		engine:    e,
		memory:    newMemory(e.options.MemoryBytes, process.ID, e.recorder),
		scheduler: newScheduler(e.options.MaxBatch),
		cache:     newPrefixCache(e.options, seed),
		runs:      newRunTable(),
	}
	e.recorder.bootStarted(process.ID)
	return b.routes()
}

func (e *Engine) bootEnded(process *upstream.Boot) {
	e.weightCache.clearHostMemory()
	e.recorder.bootEnded(process.ID)
}

// runEndError is the cancellation cause of a run that ended early.
type runEndError struct{ outcome string }

// Error implements error.
func (e *runEndError) Error() string { return "run ended: " + e.outcome }
