package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/arbutusbank/arbutusbank/internal/liveness"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

const (
	// ControlTimeout bounds one control call. Engines respond to control calls
	// within milliseconds, so a connection without a response after this time is
	// considered silent.
	ControlTimeout = time.Second
	dialTimeout    = 500 * time.Millisecond
	// idleCallConns is the size of the idle connection pool for inference calls.
	// It covers the concurrent requests of one host to one engine; with a smaller
	// pool, bursts of unary calls open new connections.
	idleCallConns    = 512
	idleControlConns = 4
	idleConnTimeout  = 30 * time.Second
	maxControlBytes  = 8 << 20
	maxRefusalBytes  = 8 << 10
	callBufferBytes  = 8 << 10
)

// controlBodies reads the responses of all engines to control calls.
var controlBodies = transport.NewBodyReader()

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// Client is a client of one engine. Control calls and inference calls use
// separate connections, so that neither delays the other. It is safe for
// concurrent use.
type Client struct {
	address string
	base    *url.URL // with the address to dial
	control *transport.Transport
	calls   *transport.Transport // inference calls
}

// NewClient returns a client of the engine at an address of the form "IP:port".
func NewClient(address string) *Client { return NewClientWithDialAddress(address, address) }

// NewClientWithDialAddress returns a client of the engine with the given address
// that connects to dialAddress, for instance because of address translation.
func NewClientWithDialAddress(address, dialAddress string) *Client {
	return &Client{
		address: address,
		base:    &url.URL{Scheme: "http", Host: dialAddress},
		control: newTransport(idleControlConns),
		calls:   newTransport(idleCallConns),
	}
}

func newTransport(idleConns int) *transport.Transport {
	t := transport.New(liveness.NewDialer(dialTimeout).DialContext, idleConns, idleConnTimeout)
	t.MaxIdleConns = idleConns
	t.DisableCompression = true
	t.ReadBufferSize = callBufferBytes
	t.WriteBufferSize = callBufferBytes
	return t
}

// Address returns the engine's address, which may differ from the one dialled.
func (c *Client) Address() string { return c.address }

// Close closes idle connections.
func (c *Client) Close() {
	c.control.CloseIdleConnections()
	c.calls.CloseIdleConnections()
}

// Order sends an order. It returns *StaleFenceError, *NoMemoryError,
// *DrainingError, *NotLoadedError or *NotSentError when the order certainly had
// and will have no effect, and *UnknownOutcomeError when it may have one.
func (c *Client) Order(ctx context.Context, order Order) error {
	_, err := c.post(ctx, "/control/orders", order)
	return err
}

// Cancel ends a running request. It also succeeds if the engine does not know the
// request.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	_, err := c.post(ctx, "/control/cancel", CancelRequest{RequestID: requestID})
	return err
}

// Report fetches the engine's current report.
func (c *Client) Report(ctx context.Context) (*Report, error) {
	report := new(Report)
	return report, c.get(ctx, "/control/report", report)
}

// ReportOverNewConnection fetches the report over a new connection. It serves to
// check connections that may be silent, since a pooled one may be silent too.
func (c *Client) ReportOverNewConnection(ctx context.Context) (*Report, error) {
	c.control.CloseIdleConnections()
	return c.Report(ctx)
}

// CacheEvents fetches the cache events whose sequence number is greater than after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (*CacheEvents, error) {
	events := new(CacheEvents)
	return events, c.get(ctx, "/control/cache-events?after="+strconv.FormatUint(after, 10), events)
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	data, err := c.controlCall(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrap(&ProtocolError{Detail: err.Error()}, path)
	}
	return nil
}

func (c *Client) post(ctx context.Context, path string, message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(&NotSentError{Cause: err}, path)
	}
	return c.controlCall(ctx, http.MethodPost, path, body)
}

// controlCall performs one control call, bounded by ControlTimeout.
func (c *Client) controlCall(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ControlTimeout)
	defer cancel()
	request, tracked, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return nil, eris.Wrap(&NotSentError{Cause: err}, path)
	}
	response, err := c.control.RoundTrip(request)
	if err != nil {
		return nil, eris.Wrap(classifyFailure(c.control, err, tracked), path)
	}
	defer response.Body.Close()
	data, err := controlBodies.Read(ctx, response, maxControlBytes)
	if err != nil {
		return nil, eris.Wrap(classifyFailure(c.control, err, tracked), path)
	}
	if response.StatusCode/100 != 2 {
		return nil, eris.Wrap(orderRefusal(response.StatusCode, data), path)
	}
	return data, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, *trackedBody, error) {
	target, err := c.base.Parse(path)
	if err != nil {
		return nil, nil, err
	}
	tracked := &trackedBody{data: body}
	request := &http.Request{
		Method:        method,
		URL:           target,
		Host:          c.address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, 6),
		ContentLength: int64(len(body)),
	}
	if len(body) > 0 {
		// GetBody stays nil, so that the transport does not repeat a request
		// whose body it has started to send.
		request.Body = tracked
		request.Header["Content-Type"] = contentTypeJSON
	}
	return request.WithContext(ctx), tracked, nil
}

var contentTypeJSON = []string{"application/json"}

// orderRefusal maps the response to a refused control call to its typed error.
func orderRefusal(status int, data []byte) error {
	var refusal OrderRefusal
	_ = json.Unmarshal(data, &refusal) // without a reason, the outcome is unknown
	switch refusal.Reason {
	case RefusalStaleFence:
		return &StaleFenceError{Fence: refusal.Fence}
	case RefusalNoMemory:
		return &NoMemoryError{}
	case RefusalDraining:
		return &DrainingError{}
	case RefusalNotLoaded:
		return &NotLoadedError{}
	}
	return &UnknownOutcomeError{Cause: &ProtocolError{Detail: fmt.Sprintf("status %d", status)}}
}

// classifyFailure returns the typed error of a failed call. After a timeout it
// closes the idle connections, because those that were open when the network path
// broke will time out too.
func classifyFailure(calls *transport.Transport, err error, body *trackedBody) error {
	if isTimeout(err) {
		calls.CloseIdleConnections()
	}
	if notSent(err, body) {
		return &NotSentError{Cause: err}
	}
	return &UnknownOutcomeError{Cause: err}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// notSent reports whether the engine certainly did not receive the complete
// request: the connection was not established, or the transport never read the
// body.
func notSent(err error, body *trackedBody) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return len(body.data) > 0 && !body.started.Load()
}

// trackedBody is a request body that records whether the transport has read from
// it.
type trackedBody struct {
	data    []byte
	offset  int
	started atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	if b.offset == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.offset:])
	b.offset += n
	return n, nil
}

// Close implements io.Closer.
func (b *trackedBody) Close() error { return nil }
