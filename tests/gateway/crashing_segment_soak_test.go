package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const (
	// stopsDuration is the part of a run in which hosts are replaced; calmDuration the rest.
	stopsDuration = 6 * time.Second
	calmDuration  = 9 * time.Second
	// unsafeCallers is the number of callers that send requests which may not run twice, on
	// connections that they keep until the host closes them.
	unsafeCallers = 8
	// unsafePause is their pause between two requests, within the workspace's rate.
	unsafePause = 60 * time.Millisecond
)

// Guards against engines that crash one after the other, against refusing sound requests
// and against requests without an answer in combinations that nobody chose: the segment
// that crashes stands anywhere in the prompts, in requests of two kinds, engines break off
// sound answers, and hosts are replaced in series, overlapping (checks BUDGET and LOST).
// A long soak is started by hand: go test ./tests/gateway -run CrashingSegmentSoak
// -soak-seeds 50 -timeout 30m.
func TestCrashingSegmentSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakCrashingSegment(t, seed) })
	}
}

// crashSoak is one run of the soak.
type crashSoak struct {
	*crashingSegment
	seed       uint64
	badPrompt  string // of the requests that crash engines, with a %d for their own segment
	badPath    string
	stopsEnded time.Time

	unsafeMu sync.Mutex
	answered int
	cut      []string // requests that ended without an answer
}

func soakCrashingSegment(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	engines := 4 + random.IntN(5)
	s := &crashSoak{crashingSegment: newCrashingSegment(t, 2, engines), seed: seed}
	s.badPrompt = []string{"bad:20,own%d:10", "first:50,bad:20,own%d:10", "first:50,doc:20,bad:20,own%d:10", "first:50,bad:20,doc:20,own%d:10"}[random.IntN(4)]
	s.badPath = []string{"/chat/%s", "/review/%s"}[random.IntN(2)]
	badInterval := time.Duration(60+random.IntN(340)) * time.Millisecond
	end := time.Now().Add(stopsDuration + calmDuration)
	var group sync.WaitGroup
	group.Go(func() { s.replaceHosts(rand.New(rand.NewPCG(seed, 2))) })
	group.Go(func() { s.breakOffAnswers(rand.New(rand.NewPCG(seed, 3)), end) })
	for caller := range unsafeCallers {
		group.Go(func() { s.callUnsafe(caller, end) })
	}
	s.repeat(&group, end, 25*time.Millisecond, s.sendSoundRequest)
	s.repeat(&group, end, badInterval, s.sendBadRequest)
	group.Wait()
	s.check(engines, badInterval)
}

// repeat calls f in each interval until the end.
func (s *crashSoak) repeat(group *sync.WaitGroup, end time.Time, interval time.Duration, f func(i int)) {
	group.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			group.Go(func() { f(i) })
			time.Sleep(interval)
		}
	})
}

func (s *crashSoak) sendBadRequest(i int) {
	id := fmt.Sprintf("bad-%d", i)
	s.fleet.sendTo(s.fleet.readyHost(i%2), fmt.Sprintf(s.badPath, id), id, "Prompt-Prefix", fmt.Sprintf(s.badPrompt, i))
}

func (s *crashSoak) sendSoundRequest(i int) {
	id, sentAt := fmt.Sprintf("sound-%d", i), time.Now()
	got := s.fleet.sendTo(s.fleet.readyHost(i%2), "/chat/"+id, id, "Prompt-Prefix", fmt.Sprintf("first:50,doc:40,own%d:10", i))
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.truncated {
		got.status = 0
	}
	s.sound = append(s.sound, soundResult{sentAt: sentAt, status: got.status})
}

// replaceHosts stops hosts and starts others, so that the stops overlap.
func (s *crashSoak) replaceHosts(random *rand.Rand) {
	end := time.Now().Add(stopsDuration)
	for round := 0; time.Now().Before(end); round++ {
		s.fleet.stopHost(round % 2)
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
	s.stopsEnded = time.Now()
}

// breakOffAnswers lets one engine after the other break off all answers for a time.
func (s *crashSoak) breakOffAnswers(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		engine := s.engines[random.IntN(len(s.engines))]
		engine.SetFaults(platformtest.WorkerFaults{CrashSegment: "bad", CutStreamAfter: 1 + random.IntN(3)})
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
		engine.SetFaults(platformtest.WorkerFaults{CrashSegment: "bad"})
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// callUnsafe sends requests, each after the response to the one before.
func (s *crashSoak) callUnsafe(caller int, end time.Time) {
	var conn *rawCaller
	sender := &stopCaller{fleet: s.fleet}
	for i := 0; time.Now().Before(end); i++ {
		if conn == nil {
			dialed, err := net.Dial("tcp", s.fleet.readyHost((caller+i)%2))
			if err != nil {
				time.Sleep(10 * time.Millisecond) // the host's listener has just been closed
				continue
			}
			conn = newRawCaller(dialed)
		}
		id := fmt.Sprintf("unsafe-%d-%d", caller, i)
		again, err := sender.request(conn, id)
		s.unsafeMu.Lock()
		if err == nil {
			s.answered++
		} else {
			s.cut = append(s.cut, id)
		}
		s.unsafeMu.Unlock()
		if !again {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(unsafePause)
	}
}

// check compares what the engines and the callers saw with the rules.
func (s *crashSoak) check(engines int, badInterval time.Duration) {
	t := s.fleet.t
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("seed %d: %d engines, %q every %v at %s: %d crashes; %d unsafe requests answered, %d not", s.seed, engines, s.badPrompt,
		badInterval, s.badPath, len(s.crashes), s.answered, len(s.cut))
	if len(s.crashes) < 3 {
		t.Fatalf("only %d crashes", len(s.crashes))
	}
	counted := s.crashes[min(len(s.crashes), maxCountedCrashes)-1]
	from := later(counted, s.stopsEnded).Add(contactTime)
	if late := s.arrivals(from); late > maxLateArrivals {
		t.Errorf("%d requests that crash engines reached one too late; %d crashes", late, len(s.crashes))
	}
	from = later(counted.Add(contactTime), s.stopsEnded).Add(contactTime)
	sent, served, statuses := 0, 0, map[int]int{}
	for _, result := range s.sound {
		if result.sentAt.After(from) {
			sent++
			statuses[result.status]++
			if result.status == http.StatusOK {
				served++
			}
		}
	}
	t.Logf("%d of %d sound requests served in the end, statuses %v", served, sent, statuses)
	if 2*served < sent {
		t.Errorf("%d of %d sound requests served", served, sent)
	}
	for _, id := range s.cut {
		if s.fleet.runCount(id) > 0 {
			t.Errorf("request %s ran and got no answer", id)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
