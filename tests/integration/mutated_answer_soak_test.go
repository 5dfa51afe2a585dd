package integration

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/arbutusbank/arbutusbank/internal/problem"
	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

var (
	soakSeed  = flag.Uint64("soak-seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak-seeds", 1, "number of seeds of the soak")
)

const (
	mutatedCallers = 8
	// mutatedCalls is the number of calls of each caller, of the worker and of the engine each.
	mutatedCalls = 12
	// mutatedBody is the format of a body with the number of its answer.
	mutatedBody = `{"n":%d,"answer":"of the upstream"}`
)

// mutatedAnswers are the answers of an upstream.
type mutatedAnswers struct {
	seed  uint64
	sound atomic.Bool

	mu   sync.Mutex
	sent []string // by number
}

func (m *mutatedAnswers) answer(conn net.Conn, request *http.Request) {
	_, _ = io.WriteString(conn, m.next(request)) // the host may have disconnected
}

func (m *mutatedAnswers) next(request *http.Request) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := stricthttptest.Response{
		Fields: "X-Request-Id: " + request.Header.Get("X-Request-Id") + "\r\nContent-Type: application/json\r\nX-First: 1\r\nX-Second: 2\r\n",
		Body:   fmt.Sprintf(mutatedBody, len(m.sent)),
	}
	text := answer.Sound()
	if !m.sound.Load() {
		text = answer.Mutate(m.seed)
	}
	m.sent = append(m.sent, text)
	return text
}

// check checks what a caller got.
func (m *mutatedAnswers) check(t *testing.T, got result) {
	t.Helper()
	if got.header.Get("Content-Type") == problem.ContentType {
		if got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
			t.Errorf("seed %d: refused with status %d, %+v", m.seed, got.status, got.document)
		}
		return
	}
	var number int
	if _, err := fmt.Sscanf(string(got.body), mutatedBody[:len(`{"n":%d,`)], &number); err != nil {
		return // cut by a length that is too small
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	whole := fmt.Sprintf(mutatedBody, number)
	if !strings.HasPrefix(whole, string(got.body)) || !stricthttptest.HasSoundHead(m.sent[number]) {
		t.Errorf("seed %d: status %d, body %q; the upstream sent %q", m.seed, got.status, got.body, m.sent[number])
	}
}

// Guards against answers with malformed framing that nobody chose: the caller gets them, or other
// text than the body, a call that must run once runs twice, or the worker is avoided once it has
// recovered. A long soak is started by hand: go test ./tests/integration -run Mutated -soak-seeds 50.
func TestMutatedAnswersSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakMutatedAnswers(t, seed) })
	}
}

func soakMutatedAnswers(t *testing.T, seed uint64) {
	answers := &mutatedAnswers{seed: seed}
	f := startRawFleet(t, answers.answer)
	var callers sync.WaitGroup
	for i := range mutatedCallers {
		callers.Go(func() {
			for j := range mutatedCalls {
				body := fmt.Sprintf("mutated-%d-%d", i, j)
				answers.check(t, f.withdraw(body))
				answers.check(t, sendChat(t, f.address, f.key, f.model, body, false, 4))
			}
		})
	}
	callers.Wait()
	const calls = mutatedCallers * mutatedCalls
	if runs := f.worker.runs.Load(); runs > calls || runs < calls/2 { // a busy machine may not send all in time
		t.Errorf("seed %d: %d runs of %d calls", seed, runs, calls)
	}
	answers.sound.Store(true)
	if got := f.withdraw("recovered"); got.status != http.StatusOK {
		t.Errorf("seed %d: status %d, body %q, after the worker has recovered", seed, got.status, got.body)
	}
}
