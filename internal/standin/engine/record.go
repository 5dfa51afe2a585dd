package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

// BootRecord is one start of the engine process.
type BootRecord struct {
	BootID  string    `json:"boot_id"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
}

// OrderRecord is one order received.
type OrderRecord struct {
	At       time.Time    `json:"at"`
	BootID   string       `json:"boot_id"`
	Order    engine.Order `json:"order"`
	Accepted bool         `json:"accepted"`
	Reason   string       `json:"reason,omitempty"` // of a refusal
}

// LoadRecord is one load or unload that took place. Checkers derive from it
// how many replicas of a model existed at any time.
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

// TokenBatch is a number of tokens generated at one time.
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

// RunRecord is one execution of a request. A request that ran twice has two.
type RunRecord struct {
	RequestID    string       `json:"request_id"`
	PromptHash   uint64       `json:"prompt_hash"` // of PromptHash
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

// batchWindow merges tokens generated close together into one TokenBatch.
const batchWindow = time.Millisecond

// liveRun is the record of an execution in progress.
type liveRun struct {
	mu     sync.Mutex
	record RunRecord
}

func (l *liveRun) update(change func(*RunRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.record)
}

// generated adds one token.
func (l *liveRun) generated() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Tokens++
	if last := len(l.record.Batches) - 1; last >= 0 && now.Sub(l.record.Batches[last].At) < batchWindow {
		l.record.Batches[last].Tokens++
		return
	}
	l.record.Batches = append(l.record.Batches, TokenBatch{At: now, Tokens: 1})
}

func (l *liveRun) tokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.Tokens
}

func (l *liveRun) snapshot() RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.record
	record.Batches = slices.Clone(record.Batches)
	return record
}

// Record is what an engine really saw, over all its boots.
type Record struct {
	Boots                []BootRecord             `json:"boots"`
	Orders               []OrderRecord            `json:"orders"`
	Loads                []LoadRecord             `json:"loads"`
	Runs                 []RunRecord              `json:"runs"`
	Refused              int                      `json:"refused"` // inference calls answered 409 or 503
	CapturedValues       []upstream.CapturedValue `json:"sightings"`
	MemoryBytes          int64                    `json:"memory_bytes"`
	MemoryHighWaterBytes int64                    `json:"memory_high_water_bytes"`
}

// RunsOf returns the executions of one request.
func (r *Record) RunsOf(requestID string) []RunRecord {
	var runs []RunRecord
	for _, run := range r.Runs {
		if run.RequestID == requestID {
			runs = append(runs, run)
		}
	}
	return runs
}

// recorder collects a Record. Its lock also guards the records it hands out.
type recorder struct {
	mu          sync.Mutex
	discardRuns bool
	boots       []BootRecord
	orders      []OrderRecord
	loads       []*LoadRecord
	runs        []*liveRun
	refused     int
	sightings   upstream.CapturedValues
	memory      int64
	highWater   int64
}

func (r *recorder) boot(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boots = append(r.boots, BootRecord{BootID: id, Started: time.Now()})
}

// bootEnded also ends the loads of that boot, whose memory is gone.
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

func (r *recorder) run(live *liveRun) {
	if r.discardRuns {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, live)
}

func (r *recorder) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused++
}

func (r *recorder) used(bytes int64) {
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
		CapturedValues:       r.sightings.List(),
	}
	for _, load := range r.loads {
		record.Loads = append(record.Loads, *load)
	}
	for _, live := range r.runs {
		record.Runs = append(record.Runs, live.snapshot())
	}
	return record
}
