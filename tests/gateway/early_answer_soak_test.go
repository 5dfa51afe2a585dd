package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/arbutusbank/arbutusbank/internal/stricthttp/stricthttptest"
)

const (
	cutCallers = 8
	cutUploads = 12 // of each caller
	cutWorkers = 6  // of each service
	// cutStopWithin bounds when a host is stopped and replaced.
	cutStopWithin = 2 * time.Second
	headerPlan    = "X-Plan"
)

// cutEnding is the ending of a worker's connection, as a header names it.
type cutEnding int

const (
	readAndClose cutEnding = iota
	halfCloseAndRead
	reset
	closeUnread
	halfCloseAndReset
	cutEndings // their number
)

func (e cutEnding) ending() stricthttptest.Ending {
	return [cutEndings]stricthttptest.Ending{
		readAndClose: stricthttptest.ReadAndClose, halfCloseAndRead: stricthttptest.HalfCloseAndRead,
		reset: stricthttptest.Reset, closeUnread: stricthttptest.CloseUnread, halfCloseAndReset: stricthttptest.HalfCloseAndReset,
	}[e]
}

// Sizes of uploads.
const (
	atOnceBytes   = 1 << 10 // written at once, and read with the head
	shortBytes    = 100 << 10
	bufferedBytes = 1 << 20 // more than a worker receives without reading
	longBytes     = earlyUploadBytes
)

var cutSizes = []int{atOnceBytes, shortBytes, bufferedBytes, longBytes}

// cutPlan is how a worker answers an upload.
type cutPlan struct {
	framed bool
	ending cutEnding
	delay  time.Duration
	size   int
	stream bool
	http10 bool
}

func newCutPlan(random *rand.Rand) cutPlan {
	return cutPlan{
		framed: random.IntN(4) == 0, ending: cutEnding(random.IntN(int(cutEndings))), delay: time.Duration(random.Int64N(int64(maxEarlyDelay))),
		size: cutSizes[random.IntN(len(cutSizes))], stream: random.IntN(2) == 0, http10: random.IntN(3) == 0,
	}
}

// isCut reports whether the answer must not reach the caller as whole.
func (p cutPlan) isCut() bool {
	if p.framed {
		return false
	}
	switch p.ending {
	case reset:
		return true
	case closeUnread:
		return p.size > atOnceBytes
	case halfCloseAndReset: // a worker that has received the whole upload has ended its answer in order
		return p.size >= bufferedBytes
	default:
		return false
	}
}

func (p cutPlan) String() string {
	return fmt.Sprintf("%t %d %d", p.framed, p.ending, p.delay)
}

// answerByPlan answers as the request's header says.
func answerByPlan(conn net.Conn, request *http.Request) {
	var p cutPlan
	if _, err := fmt.Sscanf(request.Header.Get(headerPlan), "%t %d %d", &p.framed, &p.ending, &p.delay); err != nil {
		return // the caller gets no answer
	}
	text := answerHeader(request)
	if p.framed {
		text += "\r\nContent-Length: " + strconv.Itoa(len(earlyEvent))
	}
	stricthttptest.EarlyResponse{Text: text + "\r\n\r\n" + earlyEvent, Delay: p.delay, Ending: p.ending.ending()}.Respond(conn, request)
}

// Guards against parts of answers that reach callers as whole, against uploads that run twice, and
// against whole answers that do not arrive, while connections are cut at random, hosts are stopped
// and replaced, and callers go on to use their connections. A long soak is started by hand:
// go test ./tests/gateway -run CutAnswersSoak -soak-seeds 50 -timeout 20m.
func TestCutAnswersSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakCutAnswers(t, seed) })
	}
}

// cutSoak is one run of the soak.
type cutSoak struct {
	*testFleet
	mu    sync.Mutex
	whole int
}

func soakCutAnswers(t *testing.T, seed uint64) {
	s := &cutSoak{testFleet: newUploadFleet(t, 2, earlyUploadBytes)}
	var workers []*rawWorker
	for i := range 2 * cutWorkers {
		service := []string{"ledger", "llm"}[i%2]
		w := &rawWorker{id: fmt.Sprintf("cut-%d", i), answer: answerByPlan, early: true}
		s.startRawWorker(w, service)
		workers = append(workers, w)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	stopAfter := time.Duration(random.Int64N(int64(cutStopWithin)))
	var group conc.WaitGroup
	group.Go(func() {
		time.Sleep(stopAfter)
		s.stopHost(0)
	})
	for caller := range cutCallers {
		callerRandom := rand.New(rand.NewPCG(seed, uint64(1+caller)))
		group.Go(func() { s.call(caller, callerRandom) })
	}
	group.Wait()
	runs := map[string]int{}
	for _, w := range workers {
		for _, run := range w.runsSoFar() {
			if runs[run.id]++; runs[run.id] > 1 {
				t.Errorf("%s ran %d times", run.id, runs[run.id])
			}
		}
	}
	t.Logf("%d of %d uploads were answered as whole", s.whole, cutCallers*cutUploads)
	if s.whole < cutCallers {
		t.Errorf("only %d answers arrived whole", s.whole)
	}
}

// call sends the uploads of one caller, over one kept connection while its host keeps it.
func (s *cutSoak) call(caller int, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := range cutUploads {
		plan := newCutPlan(random)
		id := fmt.Sprintf("cut-%d-%d", caller, i)
		got := s.upload(transport, caller%2, id, plan)
		s.mu.Lock()
		switch {
		case got.status != http.StatusOK || got.truncated:
		case got.body == earlyEvent && !plan.isCut():
			s.whole++
		default:
			s.t.Errorf("%s (%+v): status 200, whole, body %q", id, plan, got.body)
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
	}
}

// upload sends one upload to the host at a position.
func (s *cutSoak) upload(transport *http.Transport, position int, id string, plan cutPlan) response {
	path, model := "/withdraw/"+id, ""
	if plan.stream {
		path, model = "/chat/"+id, "m1"
	}
	head := fmt.Sprintf("%s: %s\r\nContent-Length:", headerPlan, plan)
	text := bytes.Replace(rawRequest(path, id, model, strings.Repeat("x", plan.size)), []byte("Content-Length:"), []byte(head), 1)
	text = bytes.Replace(text, []byte("a1:50,b2:50"), []byte(id+":50,own"+id+":50"), 1)
	if plan.http10 {
		return exchangeOverHTTP10(s.readyHost(position), bytes.Replace(text, []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1))
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
	if err != nil {
		s.t.Error(err)
		return response{}
	}
	request.URL.Scheme, request.URL.Host, request.RequestURI = "http", s.readyHost(position), ""
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return response{truncated: true}
	}
	return readAnswer(answer)
}

func readAnswer(answer *http.Response) response {
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return response{status: answer.StatusCode, body: string(body), truncated: err != nil}
}

// exchangeOverHTTP10 sends a request over a connection of its own and reads the answer.
func exchangeOverHTTP10(address string, request []byte) response {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return response{truncated: true}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * waitTimeout)) // a TCP connection supports it
	if _, err := conn.Write(request); err != nil {
		return response{truncated: true}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return response{truncated: true}
	}
	return readAnswer(answer)
}
