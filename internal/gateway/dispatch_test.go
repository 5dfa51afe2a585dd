package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against logging requests of disconnected callers as timed out, which made
// upstreams look unresponsive (inc-80d0).
func TestTimedOutTellsCallersThatLeft(t *testing.T) {
	for _, test := range []struct {
		disconnected bool
		runs         int
		status       int
		reason       string
	}{
		{disconnected: true, runs: 1, status: http.StatusGatewayTimeout, reason: reasonCallerGone},
		{disconnected: true, runs: 0, status: http.StatusServiceUnavailable, reason: reasonCallerGone},
		{disconnected: false, runs: 1, status: http.StatusGatewayTimeout, reason: "time is up"},
		{disconnected: false, runs: 0, status: http.StatusServiceUnavailable, reason: "time is up before a run"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		if test.disconnected {
			cancel()
		}
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		d := &dispatcher{inbound: &inbound{gateway: &Gateway{shutdown: newShutdown()}, httpRequest: request}, runs: test.runs}
		if r := d.timedOut(); r.status != test.status || r.reason != test.reason {
			t.Errorf("%+v: %d %q", test, r.status, r.reason)
		}
		cancel()
	}
}
