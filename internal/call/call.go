// Package call describes one request on its way from a caller to an upstream,
// independent of the protocol that carries it.
package call

import (
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// PromptSegment is a piece of a prompt that requests may share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request is what a caller asks for. The body is opaque.
type Request struct {
	ID             string
	Key            string // "" without a key
	Deadline       time.Duration
	Model          string // "" for plain services
	Adapter        string // "" for the model itself
	PromptTokens   int
	OutputTokens   int
	HasTokenCount  bool // the token counts were given
	PromptSegments []PromptSegment
}

// Attempt is what the system adds to a request for one upstream.
type Attempt struct {
	Request   *Request
	Workspace string
	Deadline  time.Duration // what is left
	Upstream  *catalog.Upstream
	Priority  int
	// LastEventID is where a resumed stream goes on; "" keeps the caller's.
	LastEventID string
}

// ResponseClass says what an upstream's answer means.
type ResponseClass uint8

// Verdicts of an answer.
const (
	Answered   ResponseClass = iota // the upstream's own answer, to be passed on
	NotRun                          // the upstream states that it did not run the request
	Unverified                      // not an answer of the upstream to this request
)

// Protocol translates requests and answers of the users' protocol.
type Protocol interface {
	// Parse reads a caller's request. It returns an InvalidRequestError.
	Parse(r *http.Request) (*Request, error)
	// UpstreamHeader returns the header for an upstream. The caller's is not changed.
	UpstreamHeader(caller http.Header, send *Attempt) http.Header
	// Classify classifies an answer.
	Classify(requestID string, status int, header http.Header) ResponseClass
	// Misdirected reports whether an answer that was not run says that the upstream
	// lacks the model or is another one, rather than that it is full.
	Misdirected(status int) bool
}

// InvalidRequestError reports a request that can't be understood.
type InvalidRequestError struct{ Field, Reason string }

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Field + ": " + e.Reason }
