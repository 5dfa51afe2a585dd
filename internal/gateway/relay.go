package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

const (
	// maxBufferedResponseBytes bounds a response that is buffered until it is
	// complete.
	maxBufferedResponseBytes = 16 << 20
	// maxDiscardBytes bounds what is read of a response that is not forwarded.
	maxDiscardBytes   = 64 << 10
	streamBufferBytes = 8 << 10
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// relay forwards the response of one upstream or, for a resumed stream, of several
// upstreams to the caller.
type relay struct {
	started     bool // the caller has received a part of the response
	lastEventID string
}

// forward forwards a response to the caller.
func (d *dispatcher) forward(id string, response *upstream.Response) (again bool, refused *refusal) {
	switch success := response.Status < http.StatusMultipleChoices; {
	case d.relay.started && !success:
		d.log("Run that was to resume the stream failed.", id, &UpstreamStatusError{Status: response.Status})
		return d.handleLostRun(id, "resumed run failed", OutcomeFailed)
	case d.route.Kind == catalog.Stream && success:
		return d.forwardStream(id, response)
	default:
		return d.forwardBuffered(id, response)
	}
}

// forwardBuffered reads the complete response before it forwards it, so that the
// request can be sent to another upstream if the response is incomplete.
func (d *dispatcher) forwardBuffered(id string, response *upstream.Response) (bool, *refusal) {
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedResponseBytes))
	if err != nil {
		if d.ctx.Err() != nil {
			return false, d.timedOut()
		}
		d.log("Answer broken off.", id, err)
		return d.handleLostRun(id, "answer broken off", OutcomeFailed)
	}
	if response.Status >= http.StatusInternalServerError {
		if again, _ := d.handleLostRun(id, "", OutcomeFailed); again && d.gateway.hasAlternative(d, id) {
			d.log("Failure of the upstream; another one is tried.", id, &UpstreamStatusError{Status: response.Status})
			return true, nil
		}
	} else {
		d.recordSuccess(id)
	}
	d.writeHeader(response)
	d.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.writer.WriteHeader(response.Status)
	_, _ = d.writer.Write(body) // the caller may have disconnected
	d.record.status = response.Status
	return false, nil
}

// recordSuccess records a complete response.
func (d *dispatcher) recordSuccess(id string) {
	d.gateway.registry.RecordOutcome(id, OutcomeSuccess)
	d.gateway.exchanger.quarantine.clear(d.fingerprint)
}

// UpstreamStatusError reports an error response of an upstream.
type UpstreamStatusError struct{ Status int }

// Error implements error.
func (e *UpstreamStatusError) Error() string {
	return "upstream responded with status " + strconv.Itoa(e.Status)
}

// hasAlternative reports whether another upstream can run the request.
func (g *Gateway) hasAlternative(d *dispatcher, id string) bool {
	for _, c := range g.registry.Candidates(d.service.Name, d.request.Model, d.request.Adapter) {
		if c.Upstream.ID != id && !c.InBackoff && !d.tried[c.Upstream.ID] {
			return true
		}
	}
	return false
}

func (d *dispatcher) writeHeader(response *upstream.Response) {
	header := d.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from sniffing the type
	}
	if d.gateway.draining.Load() {
		header.Set("Connection", "close")
	}
}

// forwardStream forwards events as they arrive. It forwards complete events only, so
// that a resumed stream continues where the caller's copy ends.
func (d *dispatcher) forwardStream(id string, response *upstream.Response) (bool, *refusal) {
	if !d.relay.started {
		d.writeHeader(response)
		d.writer.WriteHeader(response.Status)
		d.record.status = response.Status
	}
	flusher, _ := d.writer.(http.Flusher) // the writers of net/http are flushers
	var pending []byte
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Read(buffer)
		pending = append(pending, buffer[:n]...)
		complete := completeEventsLength(pending)
		if complete > 0 {
			d.relay.recordLastEventID(pending[:complete])
			d.record.recordFirstEvent(d.startedAt)
			d.relay.started = true
			if _, writeErr := d.writer.Write(pending[:complete]); writeErr != nil {
				return false, nil // the caller disconnected; the end of the context cancels the run
			}
			flusher.Flush()
			pending = append(pending[:0], pending[complete:]...)
		}
		if errors.Is(err, io.EOF) && len(pending) == 0 {
			d.recordSuccess(id)
			return false, nil
		}
		if err != nil {
			d.relay.started = true // the header has been sent
			return d.handleBrokenStream(id, err)
		}
	}
}

// handleBrokenStream decides what follows a stream that ended early.
func (d *dispatcher) handleBrokenStream(id string, err error) (bool, *refusal) {
	if d.ctx.Err() != nil {
		return false, d.timedOut()
	}
	d.log("Stream broken off.", id, err)
	return d.handleLostRun(id, "stream broken off", OutcomeConnectionLost)
}

// completeEventsLength returns the length in bytes of the complete events at the
// start of data.
func completeEventsLength(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// recordLastEventID stores the ID of the last event.
func (r *relay) recordLastEventID(events []byte) {
	for line := range strings.Lines(string(events)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			r.lastEventID = strings.TrimSpace(value)
		}
	}
}

func discardBody(response *upstream.Response) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(response, maxDiscardBytes))
}
