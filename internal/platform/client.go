package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/transport"
)

const (
	// callTimeout bounds one call. The platform responds within tens of
	// milliseconds, so a connection without a response by then is broken.
	callTimeout = time.Second
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes is the size to which a response body is truncated.
	maxResponseBytes = 64 << 20
	idleConnsPerHost = 32
	idleConnTimeout  = 30 * time.Second
)

// ReadRequest is the body of a call that reads one row.
type ReadRequest struct {
	Key string `json:"key"`
}

// RangeRequest is the body of a call that reads rows by key prefix.
type RangeRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Rows []Row `json:"rows"`
}

// CommitRequest is the body of a conditional multi-row commit.
type CommitRequest struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitResponse is the response to a CommitRequest: the revision of the commit, or
// with status 409 the keys whose conditions failed.
type CommitResponse struct {
	Revision  uint64   `json:"revision,omitempty"`
	Conflicts []string `json:"conflicts,omitempty"`
}

// Client is a client of the platform's JSON over HTTP protocol. It implements
// Table, ObjectStore and HostList and is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	transport *transport.Transport
}

// NewClient returns a client of the platform at address, an "IP:port".
func NewClient(address string) *Client {
	calls := transport.New((&net.Dialer{Timeout: dialTimeout}).DialContext, idleConnsPerHost, idleConnTimeout)
	return &Client{
		base:      "http://" + address,
		http:      &http.Client{Transport: calls},
		transport: calls,
	}
}

// Read implements Table.
func (c *Client) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.post(ctx, "/table/read", ReadRequest{Key: key}, &row)
	return row, readError(err)
}

// Range implements Table.
func (c *Client) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var response RangeResponse
	err := c.post(ctx, "/table/range", RangeRequest{Prefix: prefix, After: after, Limit: limit}, &response)
	return response.Rows, readError(err)
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error) {
	var response CommitResponse
	err := c.post(ctx, "/table/commit", CommitRequest{Conditions: conditions, Writes: writes}, &response)
	if err != nil {
		return 0, err
	}
	if response.Revision == 0 {
		return 0, eris.Wrap(&UnknownOutcomeError{Cause: &ProtocolError{Detail: "response to commit has no revision"}}, "commit")
	}
	return response.Revision, nil
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, objectPath(name), data)
	return err
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := c.do(ctx, http.MethodGet, objectPath(name), nil)
	return data, readError(err)
}

// List implements HostList.
func (c *Client) List(ctx context.Context) ([]HostEntry, error) {
	data, err := c.do(ctx, http.MethodGet, "/hosts", nil)
	if err != nil {
		return nil, readError(err)
	}
	var entries []HostEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, eris.Wrap(&ProtocolError{Detail: err.Error()}, "list hosts")
	}
	return entries, nil
}

func objectPath(name string) string { return "/objects/" + url.PathEscape(name) }

func (c *Client) post(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(&ProtocolError{Detail: err.Error()}, path)
	}
	data, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, response); err != nil {
		return eris.Wrap(&UnknownOutcomeError{Cause: err}, path)
	}
	return nil
}

// do performs one call. It returns *UnavailableError when no connection was obtained
// for the request, and *UnknownOutcomeError after a later failure.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(&UnavailableError{Cause: err}, path)
	}
	// Without GetBody the transport does not retry a request: a retried commit
	// would report a conflict with itself.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.callError(err, sent.Load(), path)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, c.callError(err, true, path)
	}
	return data, statusError(response.StatusCode, data, path)
}

func (c *Client) callError(err error, sent bool, path string) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// A connection that was idle when the network path to the platform
		// failed stays in the pool. Closing the idle connections makes the
		// next call dial a new one.
		c.transport.CloseIdleConnections()
	}
	if sent {
		return eris.Wrap(&UnknownOutcomeError{Cause: err}, path)
	}
	return eris.Wrap(&UnavailableError{Cause: err}, path)
}

func statusError(status int, data []byte, path string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var response CommitResponse
		_ = json.Unmarshal(data, &response) // the keys are only part of the message
		return eris.Wrap(&ConflictError{Keys: response.Conflicts}, path)
	case http.StatusNotFound:
		return eris.Wrap(&NotFoundError{Name: path}, path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return eris.Wrap(&UnavailableError{Cause: &ProtocolError{Detail: fmt.Sprintf("status %d", status)}}, path)
	default:
		return eris.Wrap(&UnknownOutcomeError{Cause: &ProtocolError{Detail: fmt.Sprintf("status %d", status)}}, path)
	}
}

// readError converts *UnknownOutcomeError of a read to *UnavailableError, because a
// read has no effect.
func readError(err error) error {
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		return eris.Wrap(&UnavailableError{Cause: unknown.Cause}, "read")
	}
	return err
}
