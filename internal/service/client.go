package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

const (
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	idleConnsPerHost = 256
	// maxResponseBytes bounds a response, which is buffered in memory as a whole.
	maxResponseBytes = 8 << 20
	// headerRequestID carries the request ID to workers.
	headerRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the caller's idempotency key to workers.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// NotSentError reports that a call certainly did not reach the worker.
type NotSentError struct{ Cause error }

// Error implements error.
func (e *NotSentError) Error() string { return fmt.Sprintf("call not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// InterruptedError reports that a call was sent and its response did not arrive
// completely. The worker may have run the call.
type InterruptedError struct{ Cause error }

// Error implements error.
func (e *InterruptedError) Error() string { return fmt.Sprintf("call interrupted: %v", e.Cause) }

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// ResponseTooLargeError reports a response of more than Limit bytes.
type ResponseTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response has more than %d bytes", e.Limit)
}

// MismatchError reports a response that carries another request's ID: the worker sent an
// earlier response again.
type MismatchError struct{ Want, Got string }

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("response carries request ID %q instead of %q", e.Got, e.Want)
}

// Client calls the workers of plain services. It is safe for concurrent use.
type Client struct {
	http       *http.Client
	transport  *transport.Transport
	credential string
}

// NewClient returns a client that sends a system credential to workers. It sets
// the dialer's Timeout.
func NewClient(credential string, dialer *net.Dialer) *Client {
	dialer.Timeout = dialTimeout
	calls := transport.New(dialer.DialContext, idleConnsPerHost, idleConnTimeout)
	calls.DisableCompression = true
	calls.SendOnce = true // Executor decides about retries
	client := &http.Client{Transport: calls, CheckRedirect: noRedirect}
	return &Client{http: client, transport: calls, credential: credential}
}

// noRedirect makes the client return a redirect instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do performs one attempt of a call at the worker with an address of the form
// "IP:port" and never retries. Errors are *NotSentError, *InterruptedError or
// *ResponseTooLargeError.
func (c *Client) Do(ctx context.Context, address string, call *Call) (*Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		return nil, eris.Wrap(&NotSentError{Cause: err}, address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.classifyFailure(address, err, sent.Load())
	}
	defer response.Body.Close()
	if got := response.Header.Get(headerRequestID); got != "" && got != call.ID {
		// Without reading the body, so that the connection is closed.
		return nil, eris.Wrap(&InterruptedError{Cause: &MismatchError{Want: call.ID, Got: got}}, address)
	}
	return c.readResponse(address, response)
}

func (c *Client) newRequest(ctx context.Context, address string, call *Call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: call.Path, RawQuery: call.Query.Encode()}
	request, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header.Set("Authorization", "Bearer "+c.credential)
	request.Header.Set(headerRequestID, call.ID)
	if call.IdempotencyKey != "" {
		request.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	return request, nil
}

// classifyFailure returns the typed error of a failed call. sent reports whether a
// connection was obtained, after which the worker may have received the call.
func (c *Client) classifyFailure(address string, err error, sent bool) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// Other idle connections may be silent for the same reason.
		c.transport.CloseIdleConnections()
	}
	if sent {
		return eris.Wrap(&InterruptedError{Cause: err}, address)
	}
	return eris.Wrap(&NotSentError{Cause: err}, address)
}

func (c *Client) readResponse(address string, response *http.Response) (*Response, error) {
	ctx := response.Request.Context()
	body, err := intake.Of(ctx).ReadResponse(ctx, response.Body, maxResponseBytes, response.ContentLength)
	var tooLarge *intake.TooLargeError
	if errors.As(err, &tooLarge) {
		return nil, eris.Wrap(&ResponseTooLargeError{Limit: maxResponseBytes}, address)
	}
	if err != nil {
		return nil, eris.Wrap(&InterruptedError{Cause: err}, address)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}
