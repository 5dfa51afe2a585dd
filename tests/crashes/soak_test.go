package crashes

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	soakSeed  = flag.Uint64("soak-seed", 1, "first seed of the soak")
	soakSeeds = flag.Uint64("soak-seeds", 3, "number of seeds of the soak")
)

const (
	soakHosts, soakEngines = 5, 12
	// clearBound is the time after which a sound segment is served again, contactTime the time
	// after a disturbance until a host is in touch again.
	clearBound  = 6 * time.Second
	contactTime = 3 * time.Second
	// countedCrashes is the crash from which contactTime counts for the requests that may still
	// reach engines, maxLate their number.
	countedCrashes, maxLate = 5, 3
	// observedTime is how long sound requests are observed at the end.
	observedTime = 5 * time.Second
	// minServed is the part of the sound requests that are served then.
	minServed = 0.9
)

// Guards against a sound segment behind one that crashes engines that is refused to the end, and
// against engines that crash one after the other, while coordinators and other hosts are killed,
// stopped, suspended and cut off from the store, in series and overlapping (checks LOST and
// BUDGET). Nobody may ever have asked for the segment. A long soak is started by hand:
// go test ./tests/crashes -soak-seeds 50 -parallel 4 -timeout 30m.
func TestSoundSegmentSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playSoak(t, seed)
		})
	}
}

// Guards against a sound segment that is refused to the end because the coordinator that is killed
// had lost all runs that crashes ended: the next one knew the quarantine and not its crashes.
func TestKilledCoordinatorKnewTheCrashes(t *testing.T) {
	t.Parallel()
	const killAfter, soundAfter = 3 * time.Second, 5 * time.Second // after the first crash
	s := &soak{random: rand.New(rand.NewPCG(1, 1)), inTouch: map[string]bool{}}
	s.fleet = newFleet(t, 4, soakEngines, "bad", s.recordCrash)
	s.repeat(2*time.Second, 100*time.Millisecond, 1, func(h *host, i int) {
		s.send(h, fmt.Sprintf("calm-%d", i), fmt.Sprintf("first:50,other:40,calm%d:10", i))
	})
	coordinator := s.coordinator()
	if coordinator == nil {
		t.Fatal("no coordinator")
	}
	killed, ended := make(chan struct{}), make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		s.repeatUntil(ended, 100*time.Millisecond, 2, func(h *host, i int) {
			select {
			case <-killed:
			default:
				h = coordinator
			}
			s.send(h, fmt.Sprintf("bad-%d", i), fmt.Sprintf("first:50,bad:20,behind:40,own%d:10", i))
		})
	})
	time.Sleep(time.Second + killAfter)
	if !coordinator.beginDisturbance() {
		t.Fatal("the coordinator is disturbed already")
	}
	coordinator.kill()
	close(killed)
	time.Sleep(soundAfter - killAfter)
	calmFrom := time.Now()
	group.Go(func() {
		s.repeatUntil(ended, 100*time.Millisecond, 3, func(h *host, i int) {
			s.sendSound(h, fmt.Sprintf("sound-%d", i), fmt.Sprintf("first:50,behind:40,own-s%d:10", i))
		})
	})
	time.Sleep(clearBound + observedTime)
	close(ended)
	group.Wait()
	if len(s.crashes) < 3 {
		t.Fatalf("only %d crashes", len(s.crashes))
	}
	s.check(calmFrom.Add(clearBound))
}

// soak is one run.
type soak struct {
	*fleet
	random *rand.Rand // of the main goroutine

	mu      sync.Mutex
	crashes []time.Time
	inTouch map[string]bool // requests that were sent to a host in touch
	results []result
}

// result is the outcome of a sound request.
type result struct {
	id      string
	sentAt  time.Time
	status  int
	text    string // of a refusal
	inTouch bool
}

func playSoak(t *testing.T, seed uint64) {
	s := &soak{random: rand.New(rand.NewPCG(seed, 44)), inTouch: map[string]bool{}}
	s.fleet = newFleet(t, soakHosts, soakEngines, "bad", s.recordCrash)
	bad := []string{"first:50,bad:20,behind:40,own%d:10", "bad:20,first:50,behind:40,own%d:10"}[s.random.IntN(2)]
	calm := []string{"", "first:50,other:40,calm%d:10", "first:50,behind:40,calm%d:10"}[s.random.IntN(3)]
	if calm != "" {
		s.repeat(3*time.Second, 100*time.Millisecond, s.random.Uint64(), func(h *host, i int) {
			s.send(h, fmt.Sprintf("calm-%d", i), fmt.Sprintf(calm, i))
		})
	}
	coordinator := s.coordinator()
	begin := time.Now()
	soundFrom := begin.Add(time.Duration(s.random.Int64N(int64(5 * time.Second))))
	atCoordinator := s.random.IntN(2) == 0
	badSeed, soundSeed := s.random.Uint64(), s.random.Uint64()
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		s.repeatUntil(ended, 100*time.Millisecond, badSeed, func(h *host, i int) {
			if coordinator != nil && atCoordinator && time.Since(begin) < time.Second {
				h = coordinator
			}
			s.send(h, fmt.Sprintf("bad-%d", i), fmt.Sprintf(bad, i))
		})
	})
	group.Go(func() {
		time.Sleep(time.Until(soundFrom))
		s.repeatUntil(ended, 100*time.Millisecond, soundSeed, func(h *host, i int) {
			s.sendSound(h, fmt.Sprintf("sound-%d", i), fmt.Sprintf("first:50,behind:40,own-s%d:10", i))
		})
	})
	time.Sleep(time.Second + time.Duration(s.random.Int64N(int64(3*time.Second))))
	s.disturb(atCoordinator)
	calmFrom := latest(time.Now(), soundFrom)
	time.Sleep(time.Until(calmFrom.Add(clearBound + observedTime)))
	close(ended)
	group.Wait()
	s.check(calmFrom.Add(clearBound))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *soak) recordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
}

// repeat calls f with a random host in each interval for a time.
func (s *soak) repeat(d, interval time.Duration, seed uint64, f func(h *host, i int)) {
	ended := make(chan struct{})
	time.AfterFunc(d, func() { close(ended) })
	s.repeatUntil(ended, interval, seed, f)
}

func (s *soak) repeatUntil(ended chan struct{}, interval time.Duration, seed uint64, f func(h *host, i int)) {
	random := rand.New(rand.NewPCG(seed, 1))
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(interval):
		}
		h := s.hosts[random.IntN(len(s.hosts))]
		group.Go(func() { f(h, i) })
	}
}

// isInTouch reports whether nothing has been done to a host for contactTime.
func (h *host) isInTouch() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.disturbing && time.Since(h.disturbedAt) >= contactTime
}

// send sends a request; it returns its status (0: no whole answer) and the text of a refusal.
func (s *soak) send(h *host, id, prompt string) (status int, text string) {
	return s.sendAs(h, apiKey, "m1", id, prompt)
}

// sendAs sends a request with a key for a model.
func (s *soak) sendAs(h *host, key, model, id, prompt string) (status int, text string) {
	s.mu.Lock()
	s.inTouch[id] = h.isInTouch()
	s.mu.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/chat/"+id, bytes.NewReader([]byte("prompt")))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	request.Host = "seed.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "5000", "Authorization": "Bearer " + key, "Model": model, "Token-Count": "100,20", "Prompt-Prefix": prompt,
	} {
		request.Header.Set(name, value)
	}
	response, err := s.callers.Do(request)
	if err != nil {
		return 0, err.Error() // the host is down or ends
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	if response.StatusCode != http.StatusOK {
		text = strings.TrimSpace(string(body))
	}
	return response.StatusCode, text
}

func (s *soak) sendSound(h *host, id, prompt string) {
	r := result{id: id, sentAt: time.Now(), inTouch: h.isInTouch()}
	r.status, r.text = s.send(h, id, prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

// disturb does a random number of things to hosts, preferably to the one that coordinates. They
// follow one another or overlap. With killFirst the first one is that the coordinator is killed.
// It returns when all have ended.
func (s *soak) disturb(killFirst bool) {
	var group sync.WaitGroup
	for n := range 1 + s.random.IntN(5) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		if c := s.coordinator(); c != nil && s.random.IntN(3) > 0 {
			h = c
		}
		lasts := time.Second + time.Duration(s.random.Int64N(int64(3*time.Second)))
		kind := s.random.IntN(4)
		if c := s.coordinator(); c != nil && killFirst && n == 0 {
			h, kind = c, 0
		}
		pause := time.Duration(s.random.Int64N(int64(4 * time.Second)))
		if !h.beginDisturbance() {
			continue
		}
		group.Go(func() {
			defer h.endDisturbance()
			s.t.Logf("%s: %s for %v", h.name, disturbances[kind], lasts)
			h.disturb(kind, lasts)
		})
		time.Sleep(pause)
	}
	group.Wait()
}

func (h *host) beginDisturbance() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.disturbing {
		return false
	}
	h.disturbing = true
	return true
}

func (h *host) endDisturbance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbing, h.disturbedAt = false, time.Now()
}

// disturbances are the kinds of disturb.
var disturbances = [...]string{"killed", "stopped", "suspended", "cut off from the store"}

func (h *host) disturb(kind int, lasts time.Duration) {
	switch kind {
	case 0:
		h.kill()
		time.Sleep(lasts)
		h.start()
	case 1:
		<-h.signal(syscall.SIGTERM)
		time.Sleep(lasts)
		h.start()
	case 2:
		h.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		h.signal(syscall.SIGCONT)
	default:
		h.store.cutFor(lasts)
	}
}

// check compares what engines and callers saw with the rules.
func (s *soak) check(clearedBy time.Time) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, served, texts := 0, 0, map[string]int{}
	for _, r := range s.results {
		if r.sentAt.Before(clearedBy) || !r.inTouch {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			served++
		} else {
			texts[fmt.Sprintf("%d %s", r.status, r.text)]++
		}
	}
	late := s.lateArrivals()
	s.t.Logf("%d crashes; %d of %d sound requests served in the end; %d crashing requests late", len(s.crashes), served, sent, late)
	if sent < 20 || float64(served) < minServed*float64(sent) {
		s.t.Errorf("%d of %d sound requests served from %v after the last disturbance on: %v", served, sent, clearBound, texts)
	}
	if late > maxLate {
		s.t.Errorf("%d crashing requests reached engines later than %v after crash %d; %d crashes", late, contactTime, countedCrashes, len(s.crashes))
	}
}

// lateArrivals counts the crashing requests of hosts in touch that reached engines too late.
func (s *soak) lateArrivals() int {
	if len(s.crashes) < countedCrashes {
		return 0
	}
	from, late := s.crashes[countedCrashes-1].Add(contactTime), 0
	for _, engine := range s.engines {
		for _, request := range engine.ReceivedRequests() {
			if strings.HasPrefix(request.ID, "bad-") && request.At.After(from) && s.inTouch[request.ID] {
				late++
			}
		}
	}
	return late
}
