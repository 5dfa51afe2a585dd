package integration

import (
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

// malformedAnswer answers with the named variant of a response.
func malformedAnswer(conn net.Conn, request *http.Request, name string) {
	response := stricthttptest.Response{Fields: "X-Request-Id: " + request.Header.Get("X-Request-Id") + "\r\nContent-Type: application/json\r\n", Body: `{"odd":"malformed"}`}
	_, _ = io.WriteString(conn, response.Malformed()[name])
}

func checkNotAnswered(t *testing.T, got result) {
	t.Helper()
	if got.status != http.StatusBadGateway || strings.Contains(string(got.body), "malformed") {
		t.Errorf("status %d, header %v, body %q; want 502 and nothing of the upstream's", got.status, got.header, got.body)
	}
}

// Guards against malformed answers of engines and workers that callers get as answers, and
// against running a call again that may have run.
func TestMalformedAnswersOfUpstreams(t *testing.T) {
	var variant atomic.Value
	f := startRawFleet(t, func(conn net.Conn, request *http.Request) { malformedAnswer(conn, request, variant.Load().(string)) })
	for _, name := range slices.Sorted(maps.Keys(stricthttptest.Response{}.Malformed())) {
		variant.Store(name)
		t.Run(name, func(t *testing.T) {
			before := f.worker.runs.Load()
			checkNotAnswered(t, f.withdraw(name))
			if runs := f.worker.runs.Load() - before; runs != 1 {
				t.Errorf("the call ran %d times", runs)
			}
			before = f.engine.runs.Load()
			checkNotAnswered(t, sendChat(t, f.address, f.key, f.model, name, false, 4))
			if f.engine.runs.Load() == before {
				t.Error("no request reached the engine")
			}
		})
	}
}
