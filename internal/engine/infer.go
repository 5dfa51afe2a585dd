package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Call is one inference call.
type Call struct {
	Path       string // "/v1/chat/completions" or "/v1/completions"
	Body       []byte // JSON, sent unchanged
	RequestID  string
	Priority   string        // optional
	Timeout    time.Duration // the engine ends the run after this; 0: none
	Credential string        // system credential, sent as bearer token
}

// Infer sends an inference call and returns its response once the headers have
// arrived. It returns *NotSentError, or *RefusedError for which NotRun is true,
// when the request certainly did not run, *MismatchError when the response belongs
// to another request, another *RefusedError when the engine responded with an error
// status, and *UnknownOutcomeError otherwise. The stream must be closed; it ends
// when ctx ends.
func (c *Client) Infer(ctx context.Context, call Call) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	request, tracked, err := c.newRequest(ctx, http.MethodPost, call.Path, call.Body)
	if err != nil {
		cancel()
		return nil, eris.Wrap(&NotSentError{Cause: err}, "infer")
	}
	call.setHeaders(request.Header)
	response, err := c.calls.RoundTrip(request)
	if err != nil {
		cancel()
		return nil, eris.Wrap(classifyFailure(c.calls, err, tracked), "infer")
	}
	if err := checkResponse(response, call.RequestID); err != nil {
		response.Body.Close()
		cancel()
		return nil, eris.Wrap(err, "infer")
	}
	return newStream(response, cancel), nil
}

func (call Call) setHeaders(header http.Header) {
	header[HeaderRequestID] = []string{call.RequestID}
	header["Authorization"] = []string{"Bearer " + call.Credential}
	header["User-Agent"] = nil // suppresses the library's default
	if call.Priority != "" {
		header[HeaderPriority] = []string{call.Priority}
	}
	if call.Timeout > 0 {
		ms := max(1, call.Timeout.Milliseconds())
		header[HeaderTimeoutMS] = []string{strconv.FormatInt(ms, 10)}
	}
}

// checkResponse verifies that a response carries the request's ID and is not a
// refusal. A refusal may lack the ID, since an overloaded engine may respond
// before it has parsed the request's headers; it may also be one that was sent
// again, so it does not show that this request did not run.
func checkResponse(response *http.Response, requestID string) error {
	got := response.Header.Get(HeaderRequestID)
	refused := response.StatusCode != http.StatusOK
	if got != requestID && (got != "" || !refused) {
		return &MismatchError{Want: requestID, Got: got}
	}
	if !refused {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err != nil {
		return &UnknownOutcomeError{Cause: err}
	}
	return &RefusedError{Status: response.StatusCode, Body: body, Unnamed: got == ""}
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}
