package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

// hopByHopHeaders concern a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// relay forwards the response of one upstream or, for a resumed stream, of several
// upstreams to the caller.
type relay struct {
	started     bool // the header has been sent to the caller
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
	d.stopWatch()
	body := intake.Of(d.ctx).Response(maxBufferedResponseBytes)
	defer body.Close()
	if err := body.Read(d.ctx, response, response.Length); err != nil {
		if d.ctx.Err() != nil {
			return false, d.timedOut()
		}
		if heldBackHere(err, body.Waited(), time.Time{}) {
			return d.handleHeldBack(id, err)
		}
		d.log("Answer broken off.", id, err)
		outcome := OutcomeFailed
		switch {
		case isMalformed(err):
			outcome = OutcomeMalformed
		case isConnectionLoss(err):
			d.recordLostRun()
		}
		return d.handleLostRun(id, "answer broken off", outcome)
	}
	if response.Status >= http.StatusInternalServerError {
		if again, _ := d.handleLostRun(id, "", OutcomeFailed); again && d.gateway.hasAlternative(d, id) {
			d.log("Failure of the upstream; another one is tried.", id, &UpstreamStatusError{Status: response.Status})
			return true, nil
		}
	} else {
		d.recordSuccess(id, response)
	}
	d.writeHeader(response)
	d.writer.Header().Set("Content-Length", strconv.FormatInt(body.Size(), 10))
	d.writer.WriteHeader(response.Status)
	_, _ = body.WriteTo(d.writer) // the caller may have disconnected
	d.record.status = response.Status
	return false, nil
}

// recordSuccess records a complete response. One that ends with its connection is complete
// only if that end was not a crash of the upstream, which shows later.
func (d *dispatcher) recordSuccess(id string, response *upstream.Response) {
	d.gateway.registry.RecordOutcome(id, OutcomeSuccess)
	if response.Status < http.StatusMultipleChoices {
		d.gateway.slots.recordRun(d)
	}
	d.gateway.registry.EndRun(d.run, response.Status < http.StatusMultipleChoices)
	switch {
	case response.Status >= http.StatusMultipleChoices:
	case response.HasEnd():
		d.gateway.exchanger.quarantine.recordAnswer(d.keys)
	default:
		d.recordUncertainEnd()
	}
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
// that a resumed stream continues where the caller's copy ends. The header is sent with
// the first of them: until then the request can still be refused, or run elsewhere. A stream
// that ends with its connection before its first event has been broken off.
func (d *dispatcher) forwardStream(id string, response *upstream.Response) (bool, *refusal) {
	buffer := responseBuffer{ctx: d.ctx, memory: intake.Of(d.ctx).Response(maxEventBytes), limit: maxEventBytes}
	defer buffer.free()
	resumed := d.relay.started
	var unreadUntil time.Time // when the caller last read events for which it took minHeldBack
	for {
		readErr := buffer.readSome(response)
		complete := buffer.data[:completeEventsLength(buffer.data)]
		if err := checkEvents(complete); err != nil {
			return d.handleBrokenStream(id, err)
		}
		if resumed {
			if err := checkResumed(complete, d.relay.lastEventID); err != nil {
				return d.handleBrokenStream(id, err)
			}
		}
		if len(complete) > 0 {
			began := time.Now()
			if err := d.forwardEvents(response, complete); err != nil {
				return false, nil // the caller disconnected; the end of the context cancels the run
			}
			if time.Since(began) >= minHeldBack {
				unreadUntil = time.Now()
			}
			buffer.consume(len(complete))
		}
		if errors.Is(readErr, io.EOF) && len(buffer.data) == 0 && (response.HasEnd() || !d.outputAt.IsZero()) {
			d.startStream(response)
			d.recordSuccess(id, response)
			return false, nil
		}
		if readErr != nil && d.ctx.Err() == nil && heldBackHere(readErr, buffer.memory.Waited(), unreadUntil) {
			return d.handleHeldBack(id, readErr)
		}
		if readErr != nil {
			return d.handleBrokenStream(id, readErr)
		}
	}
}

// startStream sends the header of a stream, once for all of its runs.
func (d *dispatcher) startStream(response *upstream.Response) {
	if d.relay.started {
		return
	}
	d.relay.started = true
	d.writeHeader(response)
	d.writer.WriteHeader(response.Status)
	d.record.status = response.Status
}

// recordOutput records that the current run has produced an event.
func (d *dispatcher) recordOutput() {
	now := time.Now()
	switch {
	case d.outputAt.IsZero():
		d.outputAt = now
		d.gateway.slots.recordFirstEvent(d)
		d.stopWatch()
	case !d.survived && now.Sub(d.outputAt) >= answeredAfter:
		d.survived = true
		d.gateway.exchanger.quarantine.recordAnswer(d.keys)
	}
}

// forwardEvents sends complete events to the caller.
func (d *dispatcher) forwardEvents(response *upstream.Response, events []byte) error {
	d.startStream(response)
	d.relay.lastEventID = lastEventID(events, d.relay.lastEventID)
	d.record.recordFirstEvent(d.startedAt)
	d.recordOutput()
	d.gateway.registry.RecordEvents(d.run, eventCount(events))
	begun := time.Now()
	if _, err := d.writer.Write(events); err != nil {
		return err
	}
	err := http.NewResponseController(d.writer).Flush()
	if time.Since(begun) > maxCallerWrite {
		d.gateway.registry.RecordCallerDelay(d.run)
	}
	return err
}

// handleBrokenStream decides what follows a stream that ended early or holds bytes that
// are no event.
func (d *dispatcher) handleBrokenStream(id string, err error) (bool, *refusal) {
	if d.ctx.Err() != nil {
		return false, d.timedOut()
	}
	if d.isCancelledRun() {
		return d.handleCancelledRun(id)
	}
	d.log("Stream broken off.", id, err)
	outcome := OutcomeFailed
	switch {
	case isMalformed(err):
		outcome = OutcomeMalformed
	case errors.Is(err, io.EOF), isConnectionLoss(err):
		outcome = OutcomeConnectionLost
	}
	return d.handleLostRun(id, "stream broken off", outcome)
}
