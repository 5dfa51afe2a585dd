package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Load: requests, no two alike, whose prompts have the segment "doc" behind the one that
// crashes each engine; nobody has asked for "doc" lately. Sound requests with it come once
// engines have crashed. Guards against refusing them for as long as the others come (check
// LOST), and against trials that crash engines one after the other (check BUDGET).
func TestSoundSegmentBehindTheCrashingOneIsServed(t *testing.T) {
	c := newCrashingSegment(t, 3, 6)
	end := time.Now().Add(12 * time.Second)
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			group.Go(func() {
				c.send(fmt.Sprintf("bad-%d", i), i, fmt.Sprintf("first:50,bad:20,doc:40,own%d:10", i))
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	time.Sleep(4 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		group.Go(func() { c.sendSound(i) })
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 3 {
		t.Fatalf("only %d crashes", len(c.crashes))
	}
	counted := c.crashes[min(len(c.crashes), maxCountedCrashes)-1]
	if late := c.arrivals(counted.Add(contactTime)); late > maxLateArrivals {
		t.Errorf("%d requests that crash engines reached one later than %v after the fifth crash; %d crashes", late, contactTime, len(c.crashes))
	}
	sent, served := 0, 0
	for _, result := range c.sound {
		if result.sentAt.After(counted.Add(2 * contactTime)) {
			sent++
			if result.status == 200 {
				served++
			}
		}
	}
	t.Logf("%d crashes; %d of %d sound requests served", len(c.crashes), served, sent)
	if sent < 20 || 2*served < sent {
		t.Errorf("%d of %d sound requests served", served, sent)
	}
}

// Load: as above, but the callers of sound requests that come first leave before their answers
// have begun to show anything. Guards against taking their trials for failed ones: the segment
// was refused for 16 minutes then.
func TestTrialsOfLeavingCallersProveNothing(t *testing.T) {
	const impatient, patience = 10, 6 * time.Second
	c := newCrashingSegment(t, 3, 6)
	for _, engine := range c.engines {
		engine.EventInterval, engine.Events = 300*time.Millisecond, 4
	}
	for i := range 20 {
		c.send(fmt.Sprintf("bad-%d", i), i, fmt.Sprintf("first:50,bad:20,doc:40,own%d:10", i))
	}
	c.mu.Lock()
	crashes := len(c.crashes)
	c.mu.Unlock()
	if crashes < 3 {
		t.Fatalf("only %d crashes", crashes)
	}
	sound := func(i int, deadline string) int {
		id := fmt.Sprintf("sound-%d", i)
		return c.fleet.sendModelRequest(i%3, "/chat/"+id, id, "m1", "Prompt-Prefix", fmt.Sprintf("first:50,doc:40,own%d:10", i), "Deadline-Ms", deadline).status
	}
	tried := 0
	for i := range impatient {
		if sound(i, "200") != 503 {
			tried++
		}
		time.Sleep(1200 * time.Millisecond) // until the outcome of its trial is known
	}
	begin, statuses := time.Now(), []int{}
	for i := impatient; time.Since(begin) < patience; i++ {
		status := sound(i, "4000")
		if status == 200 {
			t.Logf("%d callers left; served %v later", tried, time.Since(begin))
			return
		}
		statuses = append(statuses, status)
		time.Sleep(200 * time.Millisecond)
	}
	t.Errorf("%d callers left; no sound request was served within %v: %v", tried, patience, statuses)
}
