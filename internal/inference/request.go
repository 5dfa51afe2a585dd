// Package inference runs model requests: it reserves tokens from the workspace's
// allowance, queues the request in admission, selects a replica, retries failed
// attempts, relays the engine's response and settles the tokens used.
package inference

import (
	"context"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/explain"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/quarantine"
)

// Request is a validated model request of an authenticated caller.
type Request struct {
	ID        string
	Workspace string
	Model     string // base model
	Adapter   string // "" for the base model itself
	Path      string // "/v1/chat/completions" or "/v1/completions"
	Body      []byte // JSON; always limits the number of tokens
	Prompt    []byte // flattened by routing.FlattenPrompt, for prefix affinity
	// Segments are the messages that other requests may share: all but the last.
	Segments     []quarantine.Key
	PromptTokens int    // estimated
	MaxTokens    int    // maximum number of generated tokens, over all choices
	Stream       bool   // the response is sent as server-sent events
	Priority     string // a config.Priority constant
	Deadline     time.Time
	Config       *config.Snapshot
	Record       *explain.Record
}

// Cost returns the number of tokens to reserve for the request.
func (r *Request) Cost() float64 { return float64(r.PromptTokens + r.MaxTokens) }

// Sink receives the response to a request. Its methods are called from one
// goroutine; an error means that the caller cannot be reached any more.
type Sink interface {
	// Body sends a complete unary response.
	Body(contentType string, body []byte) error
	// Event sends the payload of one server-sent event.
	Event(payload []byte) error
	// Done ends a stream that the upstream completed.
	Done() error
	// Started reports whether any byte of the response may have been sent.
	Started() bool
}

// Runner runs model requests. Run returns nil when the complete response was
// written to the sink, else the refusal to report to the caller.
type Runner interface {
	Run(ctx context.Context, r *Request, sink Sink) *problem.Error
}
