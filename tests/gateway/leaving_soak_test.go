package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/presence/presencetest"
)

var (
	soakSeed  = flag.Uint64("soak-seed", 1, "first seed of the soaks")
	soakSeeds = flag.Int("soak-seeds", 2, "number of seeds of each soak")
)

const (
	soakDuration = 6 * time.Second
	soakCallers  = 24
	// soakCloseTime bounds the time until a worker has noticed a closed connection, in
	// addition to maxWorkAfterLeaving.
	soakCloseTime = 100 * time.Millisecond
)

// Guards against work for callers that have left (GONE) in combinations that nobody chose:
// callers leave at random times and in random ways while workers answer, refuse, stall or
// send garbage, hosts read late, and hosts are replaced one after the other.
// A long soak is started by hand: go test ./tests/gateway -run LeavingCallersSoak
// -soak-seeds 50 -timeout 20m.
func TestLeavingCallersSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakLeaving(t, seed) })
	}
}

// leavingSoak is one run of the soak.
type leavingSoak struct {
	fleet   *testFleet
	seed    uint64
	end     time.Time
	workers []*rawWorker

	mu   sync.Mutex
	left map[string]time.Time // when the caller of a request left, by the request's ID
}

func soakLeaving(t *testing.T, seed uint64) {
	f := newTestFleet(t, 2)
	s := &leavingSoak{fleet: f, seed: seed, left: map[string]time.Time{}}
	s.workers = []*rawWorker{
		f.newRawWorker("ledger", s.behaviour(1)), f.newRawWorker("llm", s.behaviour(2)),
	}
	s.end = time.Now().Add(soakDuration)
	var group sync.WaitGroup
	group.Go(s.replaceHosts)
	group.Go(s.holdBackReads)
	for caller := range soakCallers {
		group.Go(func() { s.runCaller(caller) })
	}
	group.Wait()
	time.Sleep(maxWorkAfterLeaving + soakCloseTime)
	s.check()
}

func (s *leavingSoak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// behaviour returns how a worker answers: mostly well.
func (s *leavingSoak) behaviour(stream uint64) func(net.Conn, *http.Request) {
	var mu sync.Mutex
	random := s.random(1000 + stream)
	return func(conn net.Conn, request *http.Request) {
		mu.Lock()
		kind, delay := random.IntN(10), time.Duration(random.IntN(150))*time.Millisecond
		mu.Unlock()
		time.Sleep(delay)
		switch kind {
		case 0:
			untilClosed(conn)
		case 1:
			fmt.Fprintf(conn, "%s\r\nContent-Length: 100\r\n\r\nid: 1\ndata: half", answerHeader(request))
			untilClosed(conn)
		case 2:
			fmt.Fprint(conn, "no answer\r\n\r\n")
			_ = conn.Close()
		case 3, 4:
			fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"))
		default:
			body := "id: 1\ndata: whole\n\n"
			fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", answerHeader(request), len(body), body)
		}
	}
}

// replaceHosts stops a host and starts another one, again and again. Requests in progress
// at the stopped one go on.
func (s *leavingSoak) replaceHosts() {
	for round := 0; time.Until(s.end) > time.Second; round++ {
		s.fleet.stopHost(round % 2)
		time.Sleep(1500 * time.Millisecond)
	}
}

// holdBackReads lets the hosts read nothing for up to 700 ms at a time.
func (s *leavingSoak) holdBackReads() {
	random := s.random(2000)
	for time.Now().Before(s.end) {
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		s.fleet.gate.close()
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		s.fleet.gate.open()
	}
}

// soakRequests are the paths and models of the callers' requests.
var soakRequests = [][2]string{{"/lookup/1", ""}, {"/withdraw/1", ""}, {"/chat/1", "m1"}, {"/review/1", "m1"}, {"/review/1", "m1/a1"}, {"/review/1", "m1/a2"}, {"/review/1", "m4"}}

// runCaller sends requests and leaves them.
func (s *leavingSoak) runCaller(caller int) {
	random := s.random(3000 + uint64(caller))
	names := []string{"close", "half-close", "reset", "close behind further bytes"}
	for n := 0; time.Now().Before(s.end); n++ {
		request := soakRequests[random.IntN(len(soakRequests))]
		id := fmt.Sprintf("caller-%d-%d", caller, n)
		stay := time.Duration(random.IntN(500)) * time.Millisecond
		leave := presencetest.WaysToLeave()[names[random.IntN(len(names))]]
		address := s.fleet.readyHost(random.IntN(2))
		s.sendAndLeave(address, rawRequest(request[0], id, request[1], "body"), id, stay, leave)
	}
}

func (s *leavingSoak) sendAndLeave(address string, request []byte, id string, stay time.Duration, leave func(*net.TCPConn) error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // the host's listener has just been closed
		return
	}
	defer conn.Close()
	if _, err := conn.Write(request); err != nil {
		return // the host was stopped
	}
	time.Sleep(stay)
	if err := leave(conn.(*net.TCPConn)); err != nil {
		return // the host had closed the connection
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[id] = time.Now()
}

// check compares what the workers saw with the times at which the callers left.
func (s *leavingSoak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	reached, total := 0, len(s.left)
	for _, worker := range s.workers {
		for _, run := range worker.runsSoFar() {
			left, ok := s.left[run.id]
			if !ok {
				continue
			}
			reached++
			if late := run.began.Sub(left); late > maxWorkAfterLeaving {
				s.fleet.t.Errorf("request %s reached %s %v after its caller had left", run.id, worker.id, late)
			}
			if late := run.ended.Sub(left); late > maxWorkAfterLeaving+soakCloseTime && run.ended.Sub(run.began) > soakCloseTime {
				s.fleet.t.Errorf("worker %s was at work on request %s until %v after its caller had left", worker.id, run.id, late)
			}
		}
	}
	s.fleet.t.Logf("seed %d: %d callers left, %d of their requests had reached a worker", s.seed, total, reached)
	if reached == 0 {
		s.fleet.t.Error("no request reached a worker")
	}
}
