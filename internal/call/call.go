// Package call describes a request between a caller and an upstream, independent of
// the protocol that transports it.
package call

import (
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
)

// PromptSegment is a part of a prompt that several requests may share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request is a caller's request. The body is opaque.
type Request struct {
	ID             string
	Key            string // "" if there is none
	Deadline       time.Duration
	Model          string // "" for plain services
	Adapter        string // "" for the model itself
	PromptTokens   int
	OutputTokens   int
	HasTokenCount  bool // the token counts are known
	PromptSegments []PromptSegment
}

// SharedSegments returns the IDs of the segments that other requests may have, too: all but
// the last, which belongs to the request or its session.
func (r *Request) SharedSegments() []string {
	var ids []string
	for i := range len(r.PromptSegments) - 1 {
		ids = append(ids, r.PromptSegments[i].ID)
	}
	return ids
}

// Attempt is one attempt to run a request at an upstream.
type Attempt struct {
	Request   *Request
	Workspace string
	Deadline  time.Duration // remaining time
	Upstream  *catalog.Upstream
	Priority  int
	// LastEventID is the event after which a resumed stream continues; "" keeps the
	// caller's header.
	LastEventID string
}

// ResponseClass is the meaning of an upstream's response.
type ResponseClass uint8

// Classes of responses.
const (
	Answered   ResponseClass = iota // response of the upstream, to be forwarded
	NotRun                          // the upstream states that it did not run the request
	Unverified                      // not provably the upstream's response to this request
	Foreign                         // names another request
)

// Statement is what an upstream says of itself in a response, whatever it responds to.
type Statement struct {
	// Leaving reports that the upstream is shutting down and wants no further requests.
	Leaving bool
	// PauseFor is how long from the arrival of the response the upstream wants no requests
	// from this host; 0: not stated.
	PauseFor time.Duration
	// ColdFor is how long from the arrival of the response the upstream stays cold; 0: not
	// stated.
	ColdFor time.Duration
}

// Protocol translates requests and responses of the users' protocol.
type Protocol interface {
	// Parse reads a caller's request. It returns an InvalidRequestError.
	Parse(r *http.Request) (*Request, error)
	// UpstreamHeader returns the header for an upstream. It does not change the
	// caller's.
	UpstreamHeader(caller http.Header, send *Attempt) http.Header
	// Classify returns the class of a response.
	Classify(requestID string, status int, header http.Header) ResponseClass
	// Statement returns what the response to a request says of the upstream that sent it.
	Statement(requestID string, status int, header http.Header) Statement
	// Misdirected reports whether the status of a NotRun response means that the
	// upstream lacks the model or is another one, rather than that it is overloaded.
	Misdirected(status int) bool
}

// InvalidRequestError reports a malformed request header.
type InvalidRequestError struct{ Field, Reason string }

// Error implements error.
func (e *InvalidRequestError) Error() string { return e.Field + ": " + e.Reason }
