// Package call describes one request on its way from a caller to an upstream,
// independent of the protocol that carries it.
package call

import (
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what a caller asks for. The body is opaque.
type Request struct {
	ID           string
	Key          string // "" without a key
	Deadline     time.Duration
	Model        string // "" for plain services
	Adapter      string // "" for the model itself
	PromptTokens int
	OutputTokens int
	Counted      bool // the token counts were given
	Prompt       []Part
}

// Send is what the system adds to a request for one upstream.
type Send struct {
	Request   *Request
	Workspace string
	Deadline  time.Duration // what is left
	Upstream  *catalog.Upstream
	Priority  int
	// LastEventID is where a resumed stream goes on; "" keeps the caller's.
	LastEventID string
}

// Verdict says what an upstream's answer means.
type Verdict uint8

// Verdicts of an answer.
const (
	Answered Verdict = iota // the upstream's own answer, to be passed on
	NotRun                  // the upstream states that it did not run the request
	Foreign                 // not an answer of the upstream to this request
)

// Dialect translates requests and answers of the users' protocol.
type Dialect interface {
	// Parse reads a caller's request. It returns an InvalidRequestError.
	Parse(r *http.Request) (*Request, error)
	// Header returns the header for an upstream. The caller's is not changed.
	Header(caller http.Header, send *Send) http.Header
	// Judge classifies an answer.
	Judge(requestID string, status int, header http.Header) Verdict
	// Absent reports whether an answer that was not run says that the upstream
	// lacks the model or is another one, rather than that it is full.
	Absent(status int) bool
}

// InvalidRequestError reports a request that can't be understood.
type InvalidRequestError struct{ Field, Reason string }

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Field + ": " + e.Reason }
