package upstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// maxInlineBodyBytes is the longest body that is written before the response is
// read. Longer ones are written concurrently, because an upstream may respond
// before it has read the body.
const maxInlineBodyBytes = 16 << 10

// Request is a request to an upstream. Method, target and body are sent unchanged.
type Request struct {
	Key string // identifies the upstream's incarnation
	// ID identifies the request, also when it is sent again. A connection on which the
	// upstream refused it is not used for it again: see Response.RecordRefused.
	ID      string
	Address string // IP:port
	Method  string
	Target  string // path and query as received from the caller
	Host    string
	Header  http.Header
	Body    []byte
	// BeforeSend reports whether the request is still to be sent. It is called once there
	// is a connection, right before the first byte is written. Optional.
	BeforeSend func() bool
}

// Do sends a request and reads the response header. Ending the context closes the
// connection, which cancels the request. Do returns a DialError or an UnwantedError if
// nothing was sent, and an IncompleteResponseError if the request may have run.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	connection := p.take(request.Key, request.ID)
	fresh := connection == nil
	if fresh {
		dialed, err := dial(ctx, request.Address)
		if err != nil {
			return nil, err
		}
		connection = dialed
	}
	if ctx.Err() != nil || (request.BeforeSend != nil && !request.BeforeSend()) {
		p.putUnused(request.Key, connection)
		return nil, &UnwantedError{Address: request.Address}
	}
	stopCancelHook := context.AfterFunc(ctx, connection.close)
	response := &Response{
		conn: connection, pool: p, key: request.Key, id: request.ID, method: request.Method,
		stopCancelHook: stopCancelHook, NewConnection: fresh,
	}
	if err := response.send(request); err != nil {
		response.Close()
		return nil, &IncompleteResponseError{Cause: err}
	}
	if err := response.readHeader(); err != nil {
		response.Close()
		return nil, err
	}
	return response, nil
}

func (r *Response) send(request *Request) error {
	header := encodeHeader(request)
	if len(request.Body) <= maxInlineBodyBytes {
		_, err := r.conn.socket.Write(append(header, request.Body...))
		return err
	}
	r.bodyWrite = startBodyWrite(r.conn.socket, header, request.Body)
	return nil
}

// lineBreaks replaces line breaks in header values, which would add lines to a request: an
// event ID comes from another upstream.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func encodeHeader(request *Request) []byte {
	var header bytes.Buffer
	header.Grow(1024 + min(len(request.Body), maxInlineBodyBytes)) // longer bodies are written by themselves
	header.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			header.WriteString(name + ": " + lineBreaks.Replace(value) + "\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		header.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	header.WriteString("\r\n")
	return header.Bytes()
}
