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
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 16 << 20
	// drainBytes bounds what is read of an answer that is not passed on.
	drainBytes  = 64 << 10
	streamBytes = 8 << 10
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// relay passes the answer of one or, for a resumed stream, several upstreams
// to the caller.
type relay struct {
	begun       bool // the caller has received a part
	lastEventID string
}

// pass passes an answer on.
func (d *dispatcher) pass(id string, answer *upstream.Response) (again bool, refused *refusal) {
	switch success := answer.Status < http.StatusMultipleChoices; {
	case d.relay.begun && !success:
		d.log("Run that was to resume the stream failed.", id, &UpstreamStatusError{Status: answer.Status})
		return d.afterLoss(id, "resumed run failed", OutcomeFailed)
	case d.route.Kind == catalog.Stream && success:
		return d.passStream(id, answer)
	default:
		return d.passWhole(id, answer)
	}
}

// passWhole reads the whole answer before it passes it on, so that a broken
// one can be replaced.
func (d *dispatcher) passWhole(id string, answer *upstream.Response) (bool, *refusal) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes))
	if err != nil {
		if d.ctx.Err() != nil {
			return false, d.timedOut()
		}
		d.log("Answer broken off.", id, err)
		return d.afterLoss(id, "answer broken off", OutcomeFailed)
	}
	if answer.Status >= http.StatusInternalServerError {
		if again, _ := d.afterLoss(id, "", OutcomeFailed); again && d.gateway.hasOther(d, id) {
			d.log("Failure of the upstream; another one is tried.", id, &UpstreamStatusError{Status: answer.Status})
			return true, nil
		}
	} else {
		d.served(id)
	}
	d.writeHead(answer)
	d.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.writer.WriteHeader(answer.Status)
	_, _ = d.writer.Write(body) // the caller may have left
	d.record.status = answer.Status
	return false, nil
}

// served notes a whole answer.
func (d *dispatcher) served(id string) {
	d.gateway.directory.RecordOutcome(id, OutcomeSuccess)
	d.gateway.exchanger.crashes.clear(d.fingerprint)
}

// UpstreamStatusError reports an upstream's own failure.
type UpstreamStatusError struct{ Status int }

// Error implements error.
func (e *UpstreamStatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// hasOther reports whether another upstream could run the request.
func (g *Gateway) hasOther(d *dispatcher, id string) bool {
	for _, c := range g.directory.Candidates(d.service.Name, d.request.Model, d.request.Adapter) {
		if c.Upstream.ID != id && !c.InBackoff && !d.tried[c.Upstream.ID] {
			return true
		}
	}
	return false
}

func (d *dispatcher) writeHead(answer *upstream.Response) {
	header := d.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // no guessing
	}
	if d.gateway.draining.Load() {
		header.Set("Connection", "close")
	}
}

// passStream passes events on as they arrive, only whole ones, so that a
// resumed stream fits to what the caller has.
func (d *dispatcher) passStream(id string, answer *upstream.Response) (bool, *refusal) {
	if !d.relay.begun {
		d.writeHead(answer)
		d.writer.WriteHeader(answer.Status)
		d.record.status = answer.Status
	}
	flusher, _ := d.writer.(http.Flusher) // net/http's writers are flushers
	var rest []byte
	buffer := make([]byte, streamBytes)
	for {
		n, err := answer.Read(buffer)
		rest = append(rest, buffer[:n]...)
		whole := wholeEvents(rest)
		if whole > 0 {
			d.relay.noteEvents(rest[:whole])
			d.record.noteFirst(d.begun)
			d.relay.begun = true
			if _, writeErr := d.writer.Write(rest[:whole]); writeErr != nil {
				return false, nil // the caller has left; the context ends the run
			}
			flusher.Flush()
			rest = append(rest[:0], rest[whole:]...)
		}
		if errors.Is(err, io.EOF) && len(rest) == 0 {
			d.served(id)
			return false, nil
		}
		if err != nil {
			d.relay.begun = true // the head has been sent
			return d.afterBrokenStream(id, err)
		}
	}
}

// afterBrokenStream decides after a stream has ended early.
func (d *dispatcher) afterBrokenStream(id string, err error) (bool, *refusal) {
	if d.ctx.Err() != nil {
		return false, d.timedOut()
	}
	d.log("Stream broken off.", id, err)
	return d.afterLoss(id, "stream broken off", OutcomeConnectionLost)
}

// wholeEvents returns the length of the whole events at the beginning of data.
func wholeEvents(data []byte) int {
	end := 0
	if i := bytes.LastIndex(data, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(data, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// noteEvents remembers the last event's identifier.
func (r *relay) noteEvents(events []byte) {
	for line := range strings.Lines(string(events)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			r.lastEventID = strings.TrimSpace(value)
		}
	}
}

func drain(answer *upstream.Response) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(answer, drainBytes))
}
