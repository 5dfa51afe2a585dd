package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/config"
	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/routing"
)

// Names of headers in the callers' interface.
const (
	HeaderDeadlineMS     = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderConfigVersion  = "X-Config-Version"
	HeaderPriority       = "X-Priority"
)

const (
	// bytesPerToken estimates the prompt's tokens from its bytes.
	bytesPerToken = 4
	// bodyReadTimeout bounds how long a caller may take to send its body.
	bodyReadTimeout = 10 * time.Second
	maxTokensLimit  = 1 << 20
	maxChoices      = 128
	// maxIdempotencyKeyBytes bounds the Idempotency-Key header.
	maxIdempotencyKeyBytes = 255
)

// inferenceBody is the part of an OpenAI-compatible request that hosts
// interpret; everything else is passed to the engine unchanged.
type inferenceBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
}

// parsedInference is a checked inference request.
type parsedInference struct {
	model     string // base model
	adapter   string // "" for the base model itself
	prompt    []byte // flattened, as engines hash it for their prefix cache
	rawBytes  int    // of the messages or the prompt as JSON
	maxTokens int    // most tokens that all choices together may generate
	stream    bool
	body      []byte // names a maximum number of tokens
}

// promptTokens estimates the prompt's length in tokens, rounded up. The JSON
// is longer than the text, so the estimate errs towards reserving too much.
func (p parsedInference) promptTokens() int {
	return (p.rawBytes + bytesPerToken - 1) / bytesPerToken
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Error) {
	if r.ContentLength > limit {
		return nil, problem.New(problem.BodyTooLarge, "the body may have at most %d bytes", limit)
	}
	// Not every ResponseWriter supports deadlines; without one the server's own timeouts apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.BodyTooLarge, "the body may have at most %d bytes", limit)
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, "the body could not be read in time")
	}
	return body, nil
}

// readAll reads to the end, with one allocation when the size is known.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(r, body)
	return body, err
}

// parseInference checks an OpenAI-compatible body against the configuration.
func parseInference(body []byte, chat bool, defaults config.Defaults) (parsedInference, *problem.Error) {
	var request inferenceBody
	if err := json.Unmarshal(body, &request); err != nil {
		return parsedInference{}, problem.New(problem.BadRequest, "the body is not a valid request: %v", err)
	}
	prompt, field := request.Prompt, "prompt"
	if chat {
		prompt, field = request.Messages, "messages"
	}
	if request.Model == "" {
		return parsedInference{}, problem.New(problem.BadRequest, "field \"model\" must be set")
	}
	if len(prompt) == 0 || bytes.Equal(prompt, []byte("null")) {
		return parsedInference{}, problem.New(problem.BadRequest, "field %q must be set", field)
	}
	choices, refusal := choicesOf(request.N)
	if refusal != nil {
		return parsedInference{}, refusal
	}
	parsed := parsedInference{prompt: flatten(prompt, chat), rawBytes: len(prompt), stream: request.Stream, body: body}
	parsed.model, parsed.adapter, _ = strings.Cut(request.Model, ":")
	limit := largerLimit(request.MaxTokens, request.MaxCompletionTokens)
	if limit == nil {
		limit = &defaults.MaxTokens
		parsed.body = withMaxTokens(body, defaults.MaxTokens)
	}
	if *limit <= 0 || *limit > maxTokensLimit {
		return parsedInference{}, problem.New(problem.BadRequest, "field \"max_tokens\" must be between 1 and %d", maxTokensLimit)
	}
	parsed.maxTokens = *limit * choices
	return parsed, nil
}

// flatten turns the messages or the prompt into the bytes that engines hash for
// their prefix cache. Content that is not plain text stays as raw JSON; it then
// has affinity to what this host itself sent.
func flatten(raw json.RawMessage, chat bool) []byte {
	request := engine.InferenceRequest{}
	var err error
	if chat {
		err = json.Unmarshal(raw, &request.Messages)
	} else {
		err = json.Unmarshal(raw, &request.Prompt)
	}
	if err != nil {
		return raw
	}
	return routing.FlattenPrompt(&request)
}

func choicesOf(n *int) (int, *problem.Error) {
	if n == nil {
		return 1, nil
	}
	if *n < 1 || *n > maxChoices {
		return 0, problem.New(problem.BadRequest, "field \"n\" must be between 1 and %d", maxChoices)
	}
	return *n, nil
}

// largerLimit returns the larger of two optional limits, because engines
// differ in which of the two fields they honour.
func largerLimit(a, b *int) *int {
	if a == nil || (b != nil && *b > *a) {
		return b
	}
	return a
}

// withMaxTokens adds a max_tokens field to a non-empty JSON object, so that the
// engine cannot generate more than was reserved. It goes last because JSON
// parsers let the last of several equal names win, and the body may hold
// "max_tokens": null.
func withMaxTokens(body []byte, maxTokens int) []byte {
	end := bytes.LastIndexByte(body, '}')
	result := make([]byte, 0, len(body)+len(`,"max_tokens":`)+8)
	result = append(result, body[:end]...)
	result = append(result, `,"max_tokens":`...)
	result = strconv.AppendInt(result, int64(maxTokens), 10)
	return append(result, body[end:]...)
}

// deadlineOf returns the request's deadline: the caller's own, bounded by the
// configuration's ceiling, or the default.
func deadlineOf(r *http.Request, now time.Time, defaults config.Defaults) (time.Time, *problem.Error) {
	header := r.Header.Get(HeaderDeadlineMS)
	if header == "" {
		return now.Add(defaults.Deadline()), nil
	}
	milliseconds, err := strconv.ParseInt(header, 10, 64)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, problem.New(problem.BadRequest, "header %s must be a positive number of milliseconds", HeaderDeadlineMS)
	}
	return now.Add(min(time.Duration(min(milliseconds, maxDeadlineMS))*time.Millisecond, defaults.MaxDeadline())), nil
}

// maxDeadlineMS keeps a caller's deadline within the range of time.Duration.
const maxDeadlineMS = int64(24 * time.Hour / time.Millisecond)

// priorityOf returns the workspace's priority, which a caller may lower for a
// single request but not raise.
func priorityOf(r *http.Request, workspace config.Workspace) string {
	if workspace.Priority == config.PriorityBatch || r.Header.Get(HeaderPriority) == config.PriorityBatch {
		return config.PriorityBatch
	}
	return config.PriorityInteractive
}
