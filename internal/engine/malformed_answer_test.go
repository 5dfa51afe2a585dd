package engine

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// callTime bounds the calls with one malformed answer.
const callTime = 2 * time.Second

// Guards against malformed answers of engines to orders and report calls that are believed.
func TestMalformedAnswersToControlCalls(t *testing.T) {
	answer := stricthttptest.Response{Fields: "Content-Type: application/json\r\n", Body: `{"boot_id":"b1"}`}
	for name, text := range answer.Malformed() {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		defer cancel()
		client := NewClient(stricthttptest.Serve(t, func(*http.Request) string { return text }))
		t.Cleanup(client.Close)
		var unknown *UnknownOutcomeError
		if err := client.Order(ctx, Order{}); !errors.As(err, &unknown) {
			t.Errorf("%s: order: %v, want an UnknownOutcomeError", name, err)
		}
		if report, err := client.Report(ctx); err == nil {
			t.Errorf("%s: report %v", name, report)
		}
	}
}
