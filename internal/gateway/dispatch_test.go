package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Callers that had left stood in the log as requests whose time was up
// (inc-80d0), which looked like silent upstreams.
func TestTimedOutTellsCallersThatLeft(t *testing.T) {
	for _, test := range []struct {
		left   bool
		runs   int
		status int
		reason string
	}{
		{left: true, runs: 1, status: http.StatusGatewayTimeout, reason: reasonCallerGone},
		{left: true, runs: 0, status: http.StatusServiceUnavailable, reason: reasonCallerGone},
		{left: false, runs: 1, status: http.StatusGatewayTimeout, reason: "time is up"},
		{left: false, runs: 0, status: http.StatusServiceUnavailable, reason: "time is up before a run"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		if test.left {
			cancel()
		}
		request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		d := &dispatcher{inbound: &inbound{http: request}, runs: test.runs}
		if r := d.timedOut(); r.status != test.status || r.reason != test.reason {
			t.Errorf("%+v: %d %q", test, r.status, r.reason)
		}
		cancel()
	}
}
