package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// BootRecord is one boot of the engine process.
type BootRecord struct {
	BootID  string    `json:"boot_id"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
}

// OrderRecord is one order received and the response to it.
type OrderRecord struct {
	At       time.Time    `json:"at"`
	BootID   string       `json:"boot_id"`
	Order    engine.Order `json:"order"`
	Accepted bool         `json:"accepted"`
	Reason   string       `json:"reason,omitempty"` // why the order was refused
}

// LoadRecord is one load, from the reservation of memory to its release. Checkers
// derive from it how many replicas of a model existed at any time.
type LoadRecord struct {
	BootID   string    `json:"boot_id"`
	Model    string    `json:"model"`
	Adapter  string    `json:"adapter,omitempty"`
	Version  string    `json:"version"`
	Fence    uint64    `json:"fence"`
	Bytes    int64     `json:"bytes"`
	Source   string    `json:"source"`
	Reserved time.Time `json:"reserved"`
	Loaded   time.Time `json:"loaded,omitzero"`
	Freed    time.Time `json:"freed,omitzero"`
}

// TokenBatch is a number of tokens generated within tokenBatchWindow.
type TokenBatch struct {
	At     time.Time `json:"at"`
	Tokens int       `json:"tokens"`
}

// Outcomes of a RunRecord.
const (
	OutcomeFinished     = "finished"
	OutcomeTimeout      = "timeout"
	OutcomeCancelled    = "cancelled"
	OutcomeDisconnected = "disconnected"
	OutcomeCrashed      = "crashed"
)

// RunRecord is one execution of a request. A request that was executed twice
// has two records.
type RunRecord struct {
	RequestID    string       `json:"request_id"`
	PromptHash   uint64       `json:"prompt_hash"` // of the prompt, as returned by PromptHash
	BootID       string       `json:"boot_id"`
	Model        string       `json:"model"`
	Priority     string       `json:"priority,omitempty"`
	PromptTokens int          `json:"prompt_tokens"`
	CachedTokens int          `json:"cached_tokens"`
	MaxTokens    int          `json:"max_tokens"`
	Received     time.Time    `json:"received"`
	Started      time.Time    `json:"started,omitzero"`
	Ended        time.Time    `json:"ended,omitzero"`
	Tokens       int          `json:"tokens"`
	Batches      []TokenBatch `json:"batches,omitempty"`
	Outcome      string       `json:"outcome,omitempty"`
}

// tokenBatchWindow merges tokens generated close together into one TokenBatch.
const tokenBatchWindow = time.Millisecond

// runRecorder holds the record of one run and updates it while the run is in progress.
type runRecorder struct {
	mu     sync.Mutex
	record RunRecord
}

func (r *runRecorder) update(change func(*RunRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// addToken records one generated token.
func (r *runRecorder) addToken() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Tokens++
	if last := len(r.record.Batches) - 1; last >= 0 && now.Sub(r.record.Batches[last].At) < tokenBatchWindow {
		r.record.Batches[last].Tokens++
		return
	}
	r.record.Batches = append(r.record.Batches, TokenBatch{At: now, Tokens: 1})
}

func (r *runRecorder) tokens() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record.Tokens
}

func (r *runRecorder) snapshot() RunRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Batches = slices.Clone(record.Batches)
	return record
}

// Record is what an engine has received and done, over all its boots.
type Record struct {
	Boots                []BootRecord             `json:"boots"`
	Orders               []OrderRecord            `json:"orders"`
	Loads                []LoadRecord             `json:"loads"`
	Runs                 []RunRecord              `json:"runs"`
	Refused              int                      `json:"refused"`   // inference calls refused with status 409 or 503
	CapturedValues       []upstream.CapturedValue `json:"sightings"` // JSON name kept for readers of the record
	MemoryBytes          int64                    `json:"memory_bytes"`
	MemoryHighWaterBytes int64                    `json:"memory_high_water_bytes"`
}

// RunsOf returns the runs of one request.
func (r *Record) RunsOf(requestID string) []RunRecord {
	var runs []RunRecord
	for _, run := range r.Runs {
		if run.RequestID == requestID {
			runs = append(runs, run)
		}
	}
	return runs
}

// recorder collects a Record. Its lock also guards the LoadRecords added to it.
type recorder struct {
	mu             sync.Mutex
	discardRuns    bool
	boots          []BootRecord
	orders         []OrderRecord
	loads          []*LoadRecord
	runs           []*runRecorder
	refused        int
	capturedValues upstream.CapturedValues
	memory         int64
	highWater      int64
}

func (r *recorder) bootStarted(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boots = append(r.boots, BootRecord{BootID: id, Started: time.Now()})
}

// bootEnded records the end of a boot, which also frees the memory of its loads.
func (r *recorder) bootEnded(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for i := range r.boots {
		if r.boots[i].BootID == id {
			r.boots[i].Ended = now
		}
	}
	for _, load := range r.loads {
		if load.BootID == id && load.Freed.IsZero() {
			load.Freed = now
		}
	}
}

func (r *recorder) order(record OrderRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, record)
}

func (r *recorder) load(record *LoadRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = append(r.loads, record)
}

func (r *recorder) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *recorder) run(run *runRecorder) {
	if r.discardRuns {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *recorder) countRefusal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *recorder) memoryUsed(bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highWater = max(r.highWater, bytes)
}

// snapshot copies everything recorded so far.
func (r *recorder) snapshot() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := Record{
		Boots:                slices.Clone(r.boots),
		Orders:               slices.Clone(r.orders),
		Refused:              r.refused,
		MemoryBytes:          r.memory,
		MemoryHighWaterBytes: r.highWater,
		CapturedValues:       r.capturedValues.List(),
	}
	for _, load := range r.loads {
		record.Loads = append(record.Loads, *load)
	}
	for _, run := range r.runs {
		record.Runs = append(record.Runs, run.snapshot())
	}
	return record
}
