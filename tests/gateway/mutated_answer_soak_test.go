package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
	"github.com/arbutusbank/arbutusbank/internal/transport"
)

const (
	mutatedCallers = 8
	// mutatedRequests is the number of requests of each caller.
	mutatedRequests = 12
	// mutatedDeadline is that of a request: a mutated answer may lack its end.
	mutatedDeadline = 500 * time.Millisecond
	// mutatedLimit bounds the time until the caller has an answer, on a busy machine, too.
	mutatedLimit = 5 * time.Second
)

// Guards against answers with malformed framing that nobody chose: the caller gets what is
// malformed, text that is not of the body, or no answer; the request runs twice, or is reported as
// not run; or the worker is avoided once it has recovered.
func TestMutatedAnswersSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakMutatedAnswers(t, seed) })
	}
}

func soakMutatedAnswers(t *testing.T, seed uint64) {
	f := newTestFleet(t, 1)
	var mu sync.Mutex
	sent := map[string]string{} // answers by request
	sound := false
	w := f.newRawWorker("ledger", func(conn net.Conn, request *http.Request) {
		id := request.Header.Get("Request-Id")
		answer := stricthttptest.Response{
			Fields: "Response-Signature: sig.raw\r\nRequest-Id: " + id + "\r\nX-First: 1\r\nX-Second: 2\r\nX-Third: 3\r\n", Body: "body-of-" + id,
		}
		mu.Lock()
		text := answer.Sound()
		if !sound {
			text = answer.Mutate(seed)
		}
		sent[id] = text
		mu.Unlock()
		_, _ = io.WriteString(conn, text)
	})
	client := transport.New((&net.Dialer{}).DialContext, mutatedCallers, time.Minute)
	defer client.CloseIdleConnections()
	address := f.hosts[0].settings.Listen
	var callers sync.WaitGroup
	for i := range mutatedCallers {
		callers.Go(func() {
			for j := range mutatedRequests {
				id := fmt.Sprintf("mutated-%d-%d", i, j)
				answer := sendMutated(client, address, id)
				mu.Lock()
				if reason := answer.fault(id, sent[id]); reason != "" {
					t.Errorf("seed %d: %s; the worker sent %q", seed, reason, sent[id])
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	checkRunsOnce(t, w)
	mu.Lock()
	sound = true
	mu.Unlock()
	if got := f.send(0, http.MethodPost, "/withdraw/1", "recovered", "lot"); got.status != http.StatusOK {
		t.Errorf("seed %d: status %d, body %q, after the worker has recovered", seed, got.status, got.body)
	}
}

// mutatedAnswer is what a caller gets for a mutated answer.
type mutatedAnswer struct {
	status int
	signed bool // by the worker
	body   string
	err    error
}

// sendMutated sends a request that must run once.
func sendMutated(client *transport.Transport, address, id string) mutatedAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), mutatedLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/withdraw/"+id, strings.NewReader(id))
	if err != nil {
		return mutatedAnswer{err: err}
	}
	request.Host = "seed.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(mutatedDeadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := client.RoundTrip(request)
	if err != nil {
		return mutatedAnswer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return mutatedAnswer{status: response.StatusCode, signed: response.Header.Get("Response-Signature") != "", body: string(body), err: err}
}

// fault returns what is wrong with the answer to a request for which the worker sent a text. A
// worker signs its answers but those with an error status.
func (a mutatedAnswer) fault(id, sent string) string {
	ofWorker := strings.HasPrefix("body-of-"+id, a.body) && stricthttptest.HasSoundHead(sent)
	var malformed *stricthttp.MalformedError
	switch {
	case errors.As(a.err, &malformed):
		return "the caller got a " + a.err.Error()
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case ofWorker && (a.signed || a.status >= http.StatusBadRequest):
		return ""
	case !a.signed && (a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout):
		return ""
	}
	return fmt.Sprintf("status %d, signed %v, body %q", a.status, a.signed, a.body)
}

func checkRunsOnce(t *testing.T, w *rawWorker) {
	t.Helper()
	runs := map[string]int{}
	for _, run := range w.runsSoFar() {
		runs[run.id]++
	}
	for id, times := range runs {
		if times > 1 {
			t.Errorf("%s ran %d times", id, times)
		}
	}
	if len(runs) < mutatedCallers*mutatedRequests/2 { // a busy machine may not send all in time
		t.Errorf("%d of %d requests ran", len(runs), mutatedCallers*mutatedRequests)
	}
}
