package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

// handleSendError decides what follows a send without a response.
func (d *dispatcher) handleSendError(id string, err error) (bool, *refusal) {
	var unwanted *upstream.UnwantedError
	var dial *upstream.DialError
	notSent := errors.As(err, &unwanted) || errors.As(err, &dial)
	if notSent && d.isCancelledRun() {
		return d.handleCancelledRun(id)
	}
	if unwanted != nil {
		return false, d.timedOut()
	}
	if dial != nil {
		d.dials++
		d.tried[id] = true
		if d.ctx.Err() != nil {
			return false, d.timedOut()
		}
		d.gateway.registry.RecordOutcome(id, OutcomeUnreachable)
		if hasEnded(err) {
			d.gateway.recordCrash(d.upstream, uncertainTime, err)
		}
		d.gateway.registry.learnUnreachable(id)
		d.log("No connection.", id, err)
		return true, nil
	}
	d.sends++
	d.record.sends++
	d.runs++
	return d.handleLostAnswer(id, err)
}

// handleLostAnswer decides what follows a send without an answer: its connection ended, or what
// came is no answer.
func (d *dispatcher) handleLostAnswer(id string, err error) (bool, *refusal) {
	if d.ctx.Err() != nil {
		d.gateway.slots.recordLost(d)
		return false, d.timedOut()
	}
	if d.isCancelledRun() {
		return d.handleCancelledRun(id)
	}
	d.gateway.connections.CloseIdle(id)
	d.log("Answer lost.", id, err)
	if !isConnectionLoss(err) {
		return d.handleLostRun(id, "answer not understood", OutcomeMalformed)
	}
	return d.handleLostRun(id, "answer lost", OutcomeConnectionLost)
}

// isConnectionLoss reports whether a response ended because its connection was lost, as by a
// crash of the upstream. One that sends a malformed response has not crashed.
func isConnectionLoss(err error) bool {
	var incomplete *upstream.IncompleteResponseError
	return errors.As(err, &incomplete) && !isMalformed(err)
}

func isMalformed(err error) bool {
	var malformed *upstream.MalformedResponseError
	return errors.As(err, &malformed)
}

// isCancelledRun reports whether the current run was cancelled because the request is
// quarantined.
func (d *dispatcher) isCancelledRun() bool {
	var quarantined *QuarantinedRunError
	return errors.As(context.Cause(d.runCtx), &quarantined)
}

// handleCancelledRun refuses the request of a run that was cancelled. It says nothing of the
// upstream.
func (d *dispatcher) handleCancelledRun(id string) (bool, *refusal) {
	d.log("Run cancelled.", id, context.Cause(d.runCtx))
	if refused := d.checkQuarantine(); refused != nil {
		return false, refused
	}
	return false, &refusal{status: http.StatusBadGateway, reason: "request was quarantined"}
}

// handleNotRun records that an upstream stated that it did not run the request. A malformed
// statement is not believed; one whose body does not arrive is, as its head was complete.
func (d *dispatcher) handleNotRun(id string, response *upstream.Response) (bool, *refusal) {
	response.RecordRefused()
	err := response.Discard()
	if isMalformed(err) {
		d.runs++
		return d.handleLostAnswer(id, err)
	}
	if err != nil {
		d.log("Failed to read the body of a refusal.", id, err)
	}
	d.recordStatement(response)
	d.tried[id] = true
	misdirected := d.gateway.protocol.Misdirected(response.Status)
	if misdirected {
		d.returnCold()
	}
	switch {
	case misdirected && d.isEngine():
		d.gateway.registry.RecordMissing(id, d.request.Model, d.request.Adapter)
	case !misdirected:
		d.gateway.registry.RecordRefused(d.upstream)
		d.gateway.slots.recordFull(d, id, d.upstream.Slots)
	}
	d.gateway.log.Info("Upstream did not run the request.", "request", d.request.ID, "upstream", id, "status", response.Status,
		"sends", d.sends)
	return true, nil
}

// handleLostRun decides what follows a run whose response was lost or incomplete. The
// request is sent again only if its route allows another run.
func (d *dispatcher) handleLostRun(id, reason string, outcome Outcome) (bool, *refusal) {
	d.gateway.registry.RecordOutcome(id, outcome)
	if outcome == OutcomeConnectionLost {
		d.recordLostRun()
	}
	d.tried[id] = true
	if d.route.Repeatable() && d.runs < d.route.MaxUpstreams && d.ctx.Err() == nil && d.canContinue() && !d.isSuspected() {
		return true, nil
	}
	return false, &refusal{status: http.StatusBadGateway, reason: reason}
}

// canContinue reports whether another run can continue where the caller's copy ends.
func (d *dispatcher) canContinue() bool { return !d.relay.started || d.relay.lastEventID != "" }

// isSuspected reports whether the request may crash a second upstream. A trial is one run.
func (d *dispatcher) isSuspected() bool {
	return d.trial != nil || d.gateway.exchanger.quarantine.isSuspected(d.keys, d.gateway.exchanger.Reached())
}
