package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/catalog"
	"github.com/arbutusbank/arbutusbank/internal/intake"
	"github.com/arbutusbank/arbutusbank/internal/upstream"
)

// newIntake returns what bounds the memory and connections of the host's callers.
func newIntake(g *Gateway) *intake.Guard {
	return intake.New(intake.Options{
		Memory: int64(g.settings.MemoryMB * (1 << 20)), Descriptors: g.settings.MaxDescriptors, Prefix: "gateway_",
		Timeouts: func() intake.Timeouts {
			var limits catalog.Limits
			if config := g.config.current.Load(); config != nil {
				limits = config.Limits
			}
			timeouts := intake.Timeouts{Head: limits.HeadTimeout, Idle: limits.IdleTimeout}
			if timeouts.Head <= 0 {
				timeouts.Head = readHeaderTimeout
			}
			if timeouts.Idle <= 0 {
				timeouts.Idle = idleTimeout
			}
			return timeouts
		},
	})
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) *refusal {
	var tooLarge *intake.TooLargeError
	var full *intake.NoMemoryError
	var stalled *intake.StalledError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.As(err, &full):
		return &refusal{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: intake.RetryAfter}
	case errors.As(err, &stalled):
		return &refusal{status: http.StatusRequestTimeout, reason: err.Error()}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "body not read: " + err.Error()}
	}
}

// minHeldBack is how long this host must have left a response unread before its end counts as
// this host's doing: upstreams cut off a response that is not read for some seconds.
const minHeldBack = time.Second

// heldBackHere reports whether a response ended because this host did not read it: it waited
// for memory, or for its caller to read until a moment ago.
func heldBackHere(err error, waited time.Duration, unreadUntil time.Time) bool {
	var full *intake.NoMemoryError
	var incomplete *upstream.IncompleteResponseError
	lost := errors.As(err, &incomplete) && (waited >= minHeldBack || time.Since(unreadUntil) < minHeldBack)
	return lost || errors.As(err, &full)
}

// handleHeldBack ends a request whose response this host did not read in time. It says nothing
// of the upstream.
func (d *dispatcher) handleHeldBack(id string, err error) (bool, *refusal) {
	d.log("Answer not read in time.", id, err)
	return false, &refusal{status: http.StatusBadGateway, reason: "answer not read in time"}
}
