// Package engine is a stand-in for a model engine: it speaks the protocol of
// internal/engine over HTTP, accounts for accelerator memory, takes real time
// to load and to generate, fails on demand, and records what it really saw.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// Options configure an engine. Zero durations and rates mean "immediately".
type Options struct {
	Address             string   // "IP:port"; port 0 picks a free one
	MemoryBytes         int64    // accelerator memory
	HostMemory          []string // models whose checkpoints are in host memory
	Disk                []string // models whose checkpoints are on local disk
	HostMemorySlots     int      // unloaded checkpoints that host memory keeps
	DiskSlots           int      // remote checkpoints that the disk keeps
	HostMemoryBytesPerS float64
	DiskBytesPerS       float64
	Store               *WeightStore // nil: remote loads are immediate
	UnloadTime          time.Duration
	MaxBatch            int           // requests that run at once; 0: 16
	TokenInterval       time.Duration // between two tokens of one request
	PrefillPerToken     time.Duration // per prompt token that is not cached
	ReportInterval      time.Duration // age of the report served; 0: current
	CacheBlocks         int           // capacity of the prefix cache
	CacheEventDelay     time.Duration
	CacheEventGapRatio  float64 // events never published, 0 to 1
	ChecksFence         bool
	CrashMarker         string // in a prompt; default DefaultCrashMarker
	RestartTime         time.Duration
	DiscardRuns         bool // keep no record per run, for benchmarks
	Seed                uint64
}

const defaultMaxBatch = 16

// Faults configures the misbehaviour of an engine. Crash and FreezeOpen happen
// once, when they are set.
type Faults struct {
	Crash               bool    `json:"crash,omitempty"`       // cut everything, restart later
	FreezeConnections   bool    `json:"freeze_open,omitempty"` // silence the open connections
	Draining            bool    `json:"draining"`              // refuse new work, finish running work
	HangControl         bool    `json:"hang_control"`          // accept control calls, never answer
	OrderDelayMS        int     `json:"order_delay_ms"`        // orders take effect late, even if the sender left
	DropOrderResponses  bool    `json:"lose_order_answers"`    // orders take effect without an answer
	TokenIntervalFactor float64 `json:"slow_tokens"`           // factor on the token interval; 0: 1
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	options  Options
	recorder *recorder
	shelves  *shelves
	process  *upstream.Process

	mu     sync.Mutex
	faults Faults
	boots  uint64
}

// Start listens and serves until Stop. It returns *upstream.ListenError when
// the address cannot be listened on.
func Start(options Options) (*Engine, error) {
	if options.MaxBatch <= 0 {
		options.MaxBatch = defaultMaxBatch
	}
	if options.CrashMarker == "" {
		options.CrashMarker = DefaultCrashMarker
	}
	e := &Engine{
		options: options,
		shelves: newShelves(options),
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

// Address returns the address that the engine listens on, also while it is down.
func (e *Engine) Address() string { return e.process.Address() }

// Record returns what the engine really saw.
func (e *Engine) Record() Record { return e.recorder.snapshot() }

// Faults returns the current misbehaviour.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the misbehaviour.
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

// FreezeConnections silences all open connections for good; new ones work. It returns
// how many connections were frozen.
func (e *Engine) FreezeConnections() int { return e.process.FreezeConnections() }

// Crash cuts all connections and running requests, forgets everything in
// memory, and restarts with a new boot ID after the restart time.
func (e *Engine) Crash() { e.process.Crash() }

// Kill is Crash without a restart.
func (e *Engine) Kill() { e.process.Kill() }

// Restart starts a killed engine on its old address with a new boot ID.
func (e *Engine) Restart() error { return e.process.Restart() }

// Stop ends the engine for good.
func (e *Engine) Stop() { e.process.Stop() }

// boot is one life of the engine process, from a start to a crash.
type boot struct {
	*upstream.Boot
	engine    *Engine
	memory    *memory
	scheduler *scheduler
	cache     *prefixCache
	runs      *runTable
	reports   reportCache
}

// boot sets up a new life of the process.
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
	e.recorder.boot(process.ID)
	return b.routes()
}

func (e *Engine) bootEnded(process *upstream.Boot) {
	e.shelves.crashed()
	e.recorder.bootEnded(process.ID)
}

// endCause is the cause of the early end of a run.
type endCause struct{ outcome string }

// Error implements error.
func (e *endCause) Error() string { return "run ended: " + e.outcome }
