package host

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/problem"
)

const (
	// idleWriteTimeout bounds writing the shutdown response to an idle
	// connection.
	idleWriteTimeout = 100 * time.Millisecond
	// idleCloseLinger is the delay between writing the shutdown responses and
	// closing the connections. An immediate close with unread requests would
	// reset the connections before the responses arrive.
	idleCloseLinger = 200 * time.Millisecond
)

// idleConns tracks the idle connections of callers, because a caller may send a
// request just as a shutdown closes its connection.
type idleConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newIdleConns() *idleConns { return &idleConns{conns: map[net.Conn]struct{}{}} }

// observe is an http.Server.ConnState callback.
func (i *idleConns) observe(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.conns[conn] = struct{}{}
		return
	}
	delete(i.conns, conn)
}

// refuse writes a shutdown response to all idle connections, so that a request that
// has just been sent gets a response instead of a closed connection. The status is
// 408, which HTTP clients accept unsolicited on a connection that is about to be
// closed (RFC 9110, section 15.5.9).
func (i *idleConns) refuse(configVersion uint64) {
	response := shutdownResponse(configVersion)
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn := range i.conns {
		// Write errors are ignored: the caller has closed the connection or
		// does not read it.
		_ = conn.SetWriteDeadline(time.Now().Add(idleWriteTimeout))
		_, _ = conn.Write(response)
	}
}

func shutdownResponse(configVersion uint64) []byte {
	refusal := problem.New(problem.ShuttingDown, "this host is shutting down")
	document := refusal.Document("", configVersion)
	document.Status = http.StatusRequestTimeout
	body, err := json.Marshal(document)
	if err != nil {
		body = nil // the status line suffices
	}
	header := fmt.Sprintf("HTTP/1.1 408 Request Timeout\r\nContent-Type: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
		problem.ContentType, len(body))
	return append([]byte(header), body...)
}
