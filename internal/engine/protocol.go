// Package engine is a client of model engines. It sends orders to load and
// unload weights, fetches reports and cache events, and runs inference calls.
// Monitor polls a set of engines.
package engine

// Header names of inference calls to engines.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderTimeoutMS = "X-Timeout-Ms"
)

// Values of Order.Kind.
const (
	OrderLoad          = "load"
	OrderUnload        = "unload"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
)

// Order tells an engine to load or unload weights. Fence is the fencing token:
// the revision of the commit that recorded the decision. Engines that check
// fences refuse an order whose fence is lower than one already received.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"` // size of the weights
	Fence   uint64 `json:"fence"`
}

// Values of Resident.State.
const (
	ResidentLoading = "loading"
	ResidentLoaded  = "loaded"
	// ResidentUnloading is the state of weights that running requests still
	// use after an unload order.
	ResidentUnloading = "unloading"
)

// Resident is a model or adapter that occupies an engine's accelerator memory.
type Resident struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	State   string `json:"state"`
	Fence   uint64 `json:"fence"`
	Bytes   int64  `json:"bytes"`
	// IdleMS is the time in milliseconds since a request last used the weights,
	// and 0 while one uses them. It is nil for engines that do not report it.
	IdleMS *int64 `json:"idle_ms,omitempty"`
}

// Running is a request that an engine is executing.
type Running struct {
	RequestID string `json:"request_id"`
	Tokens    int    `json:"tokens"` // number of tokens generated so far
}

// Report is the state that an engine reports. TimeMS is the time of the report in
// milliseconds of the engine's own clock; it lags by the engine's reporting
// interval.
type Report struct {
	BootID          string     `json:"boot_id"` // changes when the engine restarts
	TimeMS          int64      `json:"time_ms"`
	MemoryBytes     int64      `json:"memory_bytes"`
	MemoryUsedBytes int64      `json:"memory_used_bytes"`
	Resident        []Resident `json:"resident"`
	HostMemory      []string   `json:"host_memory,omitempty"` // models whose checkpoints are in host memory
	Disk            []string   `json:"disk,omitempty"`        // models whose checkpoints are on local disk
	Running         []Running  `json:"running"`
	QueueDepth      int        `json:"queue_depth"`
	Draining        bool       `json:"draining"`
	ChecksFence     bool       `json:"checks_fence"`
	MaxBatch        int        `json:"max_batch"` // maximum number of requests run at the same time
}

// Values of CacheEvent.Kind.
const (
	CacheStored  = "stored"
	CacheRemoved = "removed"
	CacheReset   = "reset"
)

// CacheEvent describes a change of an engine's prefix cache. Events are delivered
// with a delay, and sequence numbers may be missing.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	Kind       string `json:"kind"`
	Model      string `json:"model"`
	PrefixHash uint64 `json:"prefix_hash"`
}

// CacheEvents is a page of cache events. Next is the sequence number to continue
// after.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderRefusal is the body of an engine's refusal of an order.
type OrderRefusal struct {
	Reason string `json:"reason"` // "stale_fence", "no_memory", "draining", "not_loaded", "unknown"
	Fence  uint64 `json:"fence"`  // highest fence received
}

// Values of OrderRefusal.Reason; RefusalNotLoaded is another one.
const (
	RefusalStaleFence = "stale_fence"
	RefusalNoMemory   = "no_memory"
	RefusalDraining   = "draining"
)

// InferenceRequest is the part of an OpenAI-compatible request that engines
// and hosts interpret.
type InferenceRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is one server-sent event of a stream, or the complete response of a unary
// call.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one of the alternative completions of a response.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}
