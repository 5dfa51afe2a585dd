package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/platform/platformtest"
)

const (
	// contactTime is how long after the fifth crash requests may still be on their way.
	contactTime = 3 * time.Second
	// maxLateArrivals bounds the requests that reach an engine after that.
	maxLateArrivals = 3
	// maxCountedCrashes is the number of crashes from which the time counts.
	maxCountedCrashes = 5
)

// crashingSegment is a load of requests that share the segments "first" and "doc" of their
// prompts. Those that also have the segment "bad" crash each engine that begins to answer
// them.
type crashingSegment struct {
	fleet   *testFleet
	engines []*platformtest.Worker

	mu      sync.Mutex
	crashes []time.Time
	sound   []soundResult
}

// soundResult is the outcome of a request without the segment "bad".
type soundResult struct {
	sentAt time.Time
	status int
}

func newCrashingSegment(t *testing.T, hosts, engines int) *crashingSegment {
	c := &crashingSegment{fleet: newTestFleet(t, hosts)}
	c.fleet.engine.SetFaults(platformtest.WorkerFaults{CrashSegment: "bad"})
	c.addEngine(c.fleet.engine)
	for i := 2; i <= engines; i++ {
		engine := platformtest.NewWorker(fmt.Sprintf("engine-%d", i), "llm", "m1")
		t.Cleanup(engine.Close)
		engine.SetFaults(platformtest.WorkerFaults{CrashSegment: "bad"})
		c.addEngine(engine)
	}
	c.fleet.waitFor("engines known", func() bool { return c.fleet.hosts[0].State().Upstreams == engines+2 })
	return c
}

func (c *crashingSegment) addEngine(engine *platformtest.Worker) {
	c.engines = append(c.engines, engine)
	engine.OnCrash = func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		c.fleet.store.Set("servers", engine.ID, engine.Entry("ready"))
	}
	c.fleet.store.Set("servers", engine.ID, engine.Entry("ready"))
}

// play sends requests for a time, one in each interval of the two kinds.
func (c *crashingSegment) play(d, soundInterval, badInterval time.Duration) {
	end := time.Now().Add(d)
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			group.Go(func() { c.sendSound(i) })
			time.Sleep(soundInterval)
		}
	})
	group.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			group.Go(func() {
				c.send(fmt.Sprintf("bad-%d", i), i, fmt.Sprintf("first:50,doc:20,bad:20,own%d:10", i))
			})
			time.Sleep(badInterval)
		}
	})
	group.Wait()
}

func (c *crashingSegment) sendSound(i int) {
	sentAt := time.Now()
	got := c.send(fmt.Sprintf("sound-%d", i), i, fmt.Sprintf("first:50,doc:40,own%d:10", i))
	c.mu.Lock()
	defer c.mu.Unlock()
	status := got.status
	if got.truncated {
		status = 0
	}
	c.sound = append(c.sound, soundResult{sentAt: sentAt, status: status})
}

func (c *crashingSegment) send(id string, i int, prompt string) response {
	path := fmt.Sprintf("/chat/%s", id)
	return c.fleet.sendModelRequest(i%len(c.fleet.hosts), path, id, "m1", "Prompt-Prefix", prompt, "Deadline-Ms", "4000")
}

// arrivals returns how many requests with the segment "bad" reached an engine after a
// time.
func (c *crashingSegment) arrivals(after time.Time) int {
	count := 0
	for _, engine := range c.engines {
		for _, request := range engine.ReceivedRequests() {
			if strings.HasPrefix(request.ID, "bad-") && request.At.After(after) {
				count++
			}
		}
	}
	return count
}

// Load: requests, no two alike, that share one segment of their prompts which crashes each
// engine that begins to answer them; sound requests share their other segments. Guards
// against engines that crash one after the other (check BUDGET), and against refusing the
// sound requests (check LOST).
func TestSegmentThatCrashesEnginesIsQuarantined(t *testing.T) {
	c := newCrashingSegment(t, 3, 6)
	c.play(8*time.Second, 20*time.Millisecond, 100*time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("%d crashes, %d arrivals of requests that crash engines", len(c.crashes), c.arrivals(time.Time{}))
	if len(c.crashes) < 3 {
		t.Fatalf("only %d crashes", len(c.crashes))
	}
	from := c.crashes[min(len(c.crashes), maxCountedCrashes)-1].Add(contactTime)
	if late := c.arrivals(from); late > maxLateArrivals {
		t.Errorf("%d requests that crash engines reached one later than %v after the fifth crash; %d crashes", late, contactTime, len(c.crashes))
	}
	sent, served := 0, 0
	for _, result := range c.sound {
		if result.sentAt.Before(from) {
			continue
		}
		sent++
		if result.status == 200 {
			served++
		}
	}
	if sent < 20 || 2*served < sent {
		t.Errorf("%d of %d sound requests served", served, sent)
	}
}

// Guards against the crashes of engines that hold, when a segment is quarantined, requests
// which they have not begun to answer.
func TestWaitingRunsOfAQuarantinedSegmentAreCancelled(t *testing.T) {
	c := &crashingSegment{fleet: newTestFleet(t, 2)}
	slow := c.fleet.newRawWorker("llm", func(conn net.Conn, _ *http.Request) { untilClosed(conn) })
	const held, later = 3, 20
	statuses := make(chan int, held+later)
	send := func(i int) {
		statuses <- c.send(fmt.Sprintf("bad-%d", i), i, fmt.Sprintf("first:50,bad:20,own%d:10", i)).status
	}
	for i := range held {
		go send(i)
	}
	c.fleet.waitFor("requests at the slow engine", func() bool { return slow.atWork() == held })
	for i := range 4 {
		engine := platformtest.NewWorker(fmt.Sprintf("engine-%d", 10+i), "llm", "m1")
		t.Cleanup(engine.Close)
		engine.SetFaults(platformtest.WorkerFaults{CrashSegment: "bad"})
		c.addEngine(engine)
	}
	c.fleet.waitFor("engines known", func() bool {
		return c.fleet.hosts[0].State().Upstreams == 7 && c.fleet.hosts[1].State().Upstreams == 7
	})
	for i := range later {
		go send(held + i)
		time.Sleep(50 * time.Millisecond)
	}
	for range cap(statuses) {
		if status := <-statuses; status != http.StatusBadGateway && status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want that of a crash, a cancellation or a refusal", status)
		}
	}
	if atWork := slow.atWork(); atWork != 0 {
		t.Errorf("%d requests are still at the slow engine", atWork)
	}
}
