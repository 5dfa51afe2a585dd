package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

const (
	// earlyUploads are sent at the same time, so that few meet a worker that is avoided because of
	// another one. An engine has as many slots.
	earlyUploads     = 8
	earlyRounds      = 3
	earlyUploadBytes = 4 << 20
	maxEarlyDelay    = 20 * time.Millisecond
	earlyEvent       = "id: 3\ndata: token 3\n\n"
)

// earlyAnswers are answers without a length that workers give to uploads which they have not read.
type earlyAnswers struct {
	ending  stricthttptest.Ending
	service string
	path    string
	headers []string
	uploads int // sent at the same time
	// firstRun is how the first run of a stream that is resumed is answered; nil: not resumed.
	firstRun func(conn net.Conn, request *http.Request)
}

// send sends the uploads of one round and returns what their callers get.
func (e *earlyAnswers) send(f *testFleet, round int) []response {
	delay := maxEarlyDelay * time.Duration(round) / (earlyRounds - 1)
	answer := func(conn net.Conn, request *http.Request) {
		if e.firstRun != nil && request.Header.Get("Last-Event-Id") == "" {
			e.firstRun(conn, request)
			return
		}
		text := answerHeader(request) + "\r\n\r\n" + earlyEvent
		stricthttptest.EarlyResponse{Text: text, Delay: delay, Ending: e.ending}.Respond(conn, request)
	}
	for i := range 2 {
		w := &rawWorker{id: fmt.Sprintf("early-%d-%d", round, i), answer: answer, early: true}
		f.startRawWorker(w, e.service)
		defer f.store.Remove("servers", w.id)
	}
	answers := make([]response, e.uploads)
	var group conc.WaitGroup
	for i := range answers {
		group.Go(func() {
			id := fmt.Sprintf("early-%d-%d", round, i)
			headers := append([]string{"Prompt-Prefix", fmt.Sprintf("own%s:50,b2:50", id)}, e.headers...)
			answers[i] = f.send(0, http.MethodPost, e.path+id, id, strings.Repeat("x", earlyUploadBytes), headers...)
		})
	}
	group.Wait()
	return answers
}

// newUploadFleet starts a fleet without workers whose hosts take bodies of a size.
func newUploadFleet(t *testing.T, hosts, bytes int) *testFleet {
	f := newTestFleet(t, hosts)
	f.store.Remove("servers", f.engine.ID)
	for _, ledger := range f.ledgers {
		f.store.Remove("servers", ledger.ID)
	}
	f.bodyBytes = bytes
	f.writeConfig(testKey)
	f.waitFor("configuration and workers", func() bool {
		for _, h := range f.hosts {
			if state := h.State(); state.ConfigVersion != int64(f.configVersion) || state.Upstreams != 0 {
				return false
			}
		}
		return true
	})
	return f
}

// sendRounds sends the uploads of all rounds and returns what their callers get.
func (e *earlyAnswers) sendRounds(t *testing.T) (answers []response) {
	f := newUploadFleet(t, 1, earlyUploadBytes)
	for round := range earlyRounds {
		answers = append(answers, e.send(f, round)...)
	}
	return answers
}

// breakOffStream sends the begin of a stream and closes the connection.
func breakOffStream(conn net.Conn, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the host disconnected
	}
	fmt.Fprintf(conn, "%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", answerHeader(request), len(begunStream), begunStream)
}

// earlyKinds are the ways in which a host reads an answer.
func earlyKinds() map[string]earlyAnswers {
	model := []string{"Model", "m1", "Token-Count", "100,20"}
	return map[string]earlyAnswers{
		"buffered": {service: "ledger", path: "/withdraw/"},
		"stream":   {service: "llm", path: "/chat/", headers: model},
		"resumed":  {service: "llm", path: "/review/", headers: model, firstRun: breakOffStream},
	}
}

// Guards against a part of an answer that reaches the caller as the whole one because the worker
// reset the connection while the request was still being written (check MIXED).
func TestAnswerCutUnderAnUpload(t *testing.T) {
	for ending, end := range map[string]stricthttptest.Ending{
		"reset": stricthttptest.Reset, "close with unread bytes": stricthttptest.CloseUnread,
	} {
		for kind, answers := range earlyKinds() {
			answers.ending, answers.uploads = end, earlyUploads
			t.Run(kind+"/"+ending, func(t *testing.T) {
				whole, cut := 0, 0
				for _, got := range answers.sendRounds(t) {
					switch {
					case got.status == http.StatusOK && !got.truncated:
						whole++
					case got.status == http.StatusBadGateway, got.truncated:
						cut++
					}
				}
				if whole > 0 || cut < earlyRounds {
					t.Errorf("%d answers reached their callers as whole, %d as cut", whole, cut)
				}
			})
		}
	}
}

// Guards against rejecting the answer of a worker that answers before it has read a long request,
// reads on and closes in order.
func TestAnswerBeforeTheUploadIsRead(t *testing.T) {
	for kind, answers := range earlyKinds() {
		want := earlyEvent
		answers.ending, answers.uploads = stricthttptest.ReadAndClose, earlyUploads
		if answers.firstRun != nil {
			// An engine is avoided after the first of its streams has broken off.
			want, answers.uploads = begunStream+earlyEvent, 1
		}
		t.Run(kind, func(t *testing.T) {
			for _, got := range answers.sendRounds(t) {
				if got.status != http.StatusOK || got.truncated || got.body != want {
					t.Errorf("status %d, truncated %v, body %q", got.status, got.truncated, got.body)
				}
			}
		})
	}
}

// slowUploadBytes is the size of an upload that a worker reads for some ten seconds.
const slowUploadBytes = 16 << 20

// slowUpload is an upload that a worker goes on to read slowly after the end of its answer, a
// stream.
type slowUpload struct {
	*testFleet
	worker *rawWorker
	caller *rawCaller
}

// startSlowUpload returns once the caller has the stream's event.
func startSlowUpload(t *testing.T, deadline string) *slowUpload {
	u := &slowUpload{testFleet: newUploadFleet(t, 1, slowUploadBytes)}
	u.worker = &rawWorker{id: "slow", early: true, answer: func(conn net.Conn, request *http.Request) {
		text := answerHeader(request) + "\r\n\r\n" + earlyEvent
		stricthttptest.EarlyResponse{Text: text, Ending: stricthttptest.HalfCloseAndReadSlowly}.Respond(conn, request)
	}}
	u.startRawWorker(u.worker, "llm")
	u.caller = u.dialHost(0)
	request := rawRequest("/patient/slow", "slow", "m1", strings.Repeat("x", slowUploadBytes))
	if _, err := u.caller.Write(bytes.Replace(request, []byte("Deadline-Ms: 3500"), []byte("Deadline-Ms: "+deadline), 1)); err != nil {
		t.Fatal(err)
	}
	text := ""
	for !strings.Contains(text, "\ndata:") {
		line, err := u.caller.reader.ReadString('\n')
		if text += line; err != nil || !strings.HasPrefix(text, "HTTP/1.1 200") {
			t.Fatalf("no event in %q, %v", text, err)
		}
	}
	return u
}

// checkCut checks that the stream ends as broken off, and the worker's work with it.
func (u *slowUpload) checkCut(within time.Duration) {
	u.t.Helper()
	began := time.Now()
	_ = u.caller.SetReadDeadline(began.Add(2 * within)) // a TCP connection supports it
	rest, err := io.ReadAll(u.caller.reader)
	if took := time.Since(began); err != nil || strings.HasSuffix(string(rest), "0\r\n\r\n") || took > within {
		u.t.Errorf("the stream ended with %q, %v after %v; want its last chunk to be missing within %v", rest, err, took, within)
	}
	u.checkNoWork(workEndTime)
}

// checkNoWork checks that the worker's connection is closed.
func (u *slowUpload) checkNoWork(within time.Duration) {
	u.t.Helper()
	for deadline := time.Now().Add(within); u.worker.atWork() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			u.t.Fatalf("the worker's connection is not closed within %v", within)
		}
	}
}

// workEndTime bounds the time in which work ends that is not wanted any more.
const workEndTime = 500 * time.Millisecond

// Guards against a wait for the end of an upload that outlasts the request's deadline.
func TestWaitForTheUploadEndsAtTheDeadline(t *testing.T) {
	startSlowUpload(t, "2500").checkCut(2500*time.Millisecond + workEndTime)
}

// Guards against a wait for the end of an upload that outlasts a stop of the host.
func TestWaitForTheUploadEndsWithTheHost(t *testing.T) {
	u := startSlowUpload(t, "9000")
	u.hosts[0].stop()
	u.checkCut(time.Duration(u.hosts[0].settings.ShutdownTimeoutS * float64(time.Second)))
}

// Guards against a wait for the end of an upload that outlasts the caller (check GONE).
func TestWaitForTheUploadEndsWithTheCaller(t *testing.T) {
	u := startSlowUpload(t, "9000")
	if err := u.caller.Close(); err != nil {
		t.Fatal(err)
	}
	u.checkNoWork(workEndTime)
}
