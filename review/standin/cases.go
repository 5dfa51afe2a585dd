package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// prepareModels starts engines and hosts; the part "bad" crashes the engines in trouble.
func (s *scene) prepareModels(hosts, engines int, unframed bool, firstEvent time.Duration) {
	s.writeConfig()
	for i := range engines {
		w := s.newWorker(fmt.Sprintf("e%d", i+1), "models", true)
		w.unframed, w.firstEvent = unframed, firstEvent
		if s.trouble {
			w.crashPart = "bad"
		}
		w.run()
	}
	s.startHosts(hosts)
	time.Sleep(contact + time.Second) // the hosts are in touch
}

func (s *scene) anyHost() *host { return s.hosts[rand.IntN(len(s.hosts))] }

// sendBad and sendSound send requests whose prompts share all parts but their own and "bad".
func (s *scene) sendBad(prompt string) func(i int) {
	return func(i int) { s.chat(s.anyHost(), fmt.Sprintf("bad-%d", i), fmt.Sprintf(prompt, i)) }
}

func (s *scene) sendSound(name, prompt string) func(i int) {
	return func(i int) { s.chat(s.anyHost(), fmt.Sprintf("%s-%d", name, i), fmt.Sprintf(prompt, i)) }
}

// fifthCrash returns the time of the fifth crash.
func (s *scene) fifthCrash() (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < 5 {
		return time.Time{}, false
	}
	return s.crashes[4], true
}

// lateArrivals counts the requests with the part that reach workers, and begin to run there,
// after a time.
func (s *scene) lateArrivals(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if a.ran && hasPart(a.parts, "bad") && a.at.After(from) {
			n++
		}
	}
	return n
}

// checkPartBudget checks the BUDGET rule of parts that crash workers.
func (s *scene) checkPartBudget() (broken bool) {
	at, ok := s.fifthCrash()
	if !ok {
		s.say("fewer than five crashes: the rule does not apply")
		return false
	}
	late := s.lateArrivals(at.Add(contact))
	s.say("%d crashes; the fifth at %.1f s; %d requests with the part reached workers later than contactMs after it (3 are allowed)",
		len(s.crashes), at.Sub(s.start).Seconds(), late)
	return late > 3
}

func (s *scene) sayAnswers(prefix string) {
	s.mu.Lock()
	counts := map[string]int{}
	for _, a := range s.answers {
		if strings.HasPrefix(a.id, prefix) {
			counts[fmt.Sprintf("status %d, complete %v", a.status, a.complete)]++
		}
	}
	s.mu.Unlock()
	s.say("%s requests: %v", prefix, counts)
}

// expiry: requests with a part that crashes workers go on to come for 80 s.
func expiry(s *scene) {
	s.prepareModels(8, 12, false, 250*time.Millisecond)
	end := time.Now().Add(80 * time.Second)
	var group sync.WaitGroup
	repeat(&group, 100*time.Millisecond, end, s.sendSound("sound", "aa:350,bb:400,c%x:250"))
	repeat(&group, 40*time.Millisecond, end, s.sendBad("aa:350,bad:400,d%x:250"))
	group.Wait()
	s.sayAnswers("sound")
	s.sayAnswers("bad")
	s.finish(s.checkPartBudget())
}

// unframed: the workers' streams have neither a length nor chunks.
func unframed(s *scene) {
	s.prepareModels(4, 12, true, 100*time.Millisecond)
	end := time.Now().Add(25 * time.Second)
	var group sync.WaitGroup
	repeat(&group, 100*time.Millisecond, end, s.sendSound("sound", "aa:350,bb:400,c%x:250"))
	repeat(&group, 700*time.Millisecond, end, s.sendBad("aa:350,bad:400,d%x:250"))
	group.Wait()
	s.sayAnswers("sound")
	s.sayAnswers("bad")
	s.finish(s.checkPartBudget())
}

// blame: the part that crashes workers stands before a part that sound requests share.
func blame(s *scene) {
	s.prepareModels(4, 12, false, 100*time.Millisecond)
	var group sync.WaitGroup
	const sound = "aa:350,bb:400,c%x:250"
	from := time.Now()
	repeat(&group, 200*time.Millisecond, from.Add(8*time.Second), s.sendSound("before", sound))
	group.Wait()
	time.Sleep(14 * time.Second) // a model that is seldom used
	end := time.Now().Add(30 * time.Second)
	repeat(&group, 100*time.Millisecond, end, s.sendBad("aa:350,bad:50,bb:400,d%x:250"))
	time.Sleep(5 * time.Second)
	repeat(&group, 200*time.Millisecond, end, s.sendSound("beside", sound))
	group.Wait()
	s.sayAnswers("before")
	s.sayAnswers("beside")
	s.sayAnswers("bad")
	after := end.Add(-25 * time.Second)
	if at, ok := s.fifthCrash(); ok {
		after = at
	} else if n := len(s.crashes); n > 0 {
		after = s.crashes[n-1]
	}
	share := func(prefix string, since time.Time) (begun, sent int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		ran := map[string]bool{}
		for _, a := range s.arrivals {
			ran[a.id] = ran[a.id] || a.ran
		}
		for _, a := range s.answers {
			if strings.HasPrefix(a.id, prefix) && a.sentAt.After(since) && a.status != http.StatusTooManyRequests {
				sent++
				if ran[a.id] {
					begun++
				}
			}
		}
		return begun, sent
	}
	begun, sent := share("before", s.start)
	begunLate, sentLate := share("beside", after.Add(2*contact))
	s.say("%d crashes; outside the disruption %d of %d sound requests began; from 2 x contactMs after the fifth or last crash %d of %d",
		len(s.crashes), begun, sent, begunLate, sentLate)
	if sent < 20 || sentLate < 20 {
		cannotRun("fewer than 20 sound requests")
	}
	s.finish(float64(begunLate)/float64(sentLate) < 0.5*float64(begun)/float64(sent))
}

// entry: an entry of another writer, with fields missing, takes the place of that of a worker
// that leaves.
func entry(s *scene) {
	s.writeConfig()
	for i := range 3 {
		s.newWorker(fmt.Sprintf("l%d", i+1), "ledger", false).run()
	}
	s.startHosts(4)
	time.Sleep(contact + time.Second)
	leaving := s.workers[0]
	end := time.Now().Add(13 * time.Second)
	var group sync.WaitGroup
	repeat(&group, 10*time.Millisecond, end, func(i int) {
		id := fmt.Sprintf("withdraw-%d", i)
		s.send(s.anyHost(), "/withdraw/"+id, id, 3*time.Second)
	})
	time.Sleep(4 * time.Second)
	leaving.leave()
	s.log("worker %s says in its answers that it leaves", leaving.id)
	time.Sleep(300 * time.Millisecond)
	leaving.drain()
	drained := time.Now()
	s.log("worker %s reports draining; the store has accepted it", leaving.id)
	time.Sleep(drainMS + time.Second)
	if s.trouble {
		leaving.beat()
		leaving.beatSoon <- struct{}{} // the worker's next entry comes one heartbeat later
		s.store.put("servers", leaving.id, map[string]any{"service": "ledger", "address": leaving.address, "state": "ready"})
		s.log("another writer writes the entry of %s, with fields missing", leaving.id)
	}
	time.Sleep(900 * time.Millisecond)
	leaving.exit()
	s.store.put("servers", leaving.id, nil)
	s.log("worker %s has left", leaving.id)
	group.Wait()
	s.sayAnswers("withdraw")
	sent, toldAt := map[string]answer{}, map[string]time.Time{}
	for _, a := range s.answers {
		sent[a.id] = a
		if told, ok := toldAt[a.host]; a.leaving && (!ok || a.endedAt.Before(told)) {
			toldAt[a.host] = a.endedAt
		}
	}
	told, late := 0, 0
	for _, a := range s.arrivals {
		client, ok := sent[a.id]
		if a.worker != leaving.id || !a.ran || !ok {
			continue
		}
		if client.sentAt.After(drained.Add(drainMS)) {
			late++
		}
		if at, ok := toldAt[client.host]; ok && client.sentAt.After(at.Add(drainMS)) {
			told++
			s.log("request %s was sent to %s %.3f s after that had passed on an answer with Server-Leaving, and ran at %s",
				a.id, client.host, client.sentAt.Sub(at).Seconds(), a.worker)
		}
	}
	s.say("%d hosts passed on an answer with Server-Leaving; %d requests reached that worker from them that were sent later than drainMs after it (0 are allowed)", len(toldAt), told)
	s.say("%d requests reached it that were sent later than drainMs after the store had accepted that it drains (0 are allowed)", late)
	s.finish(told > 0)
}

// revoke: the store turns away the host that wrote last under a condition, for 6.5 s; meanwhile
// the operator takes a key away, and clients with connections to that host go on to use it.
func revoke(s *scene) {
	const (
		cycles      = 10
		callersEach = 32
		revokeMS    = 5 * time.Second
		furtherMax  = 700 // routes: big_config, which adds 350 at most, twice
	)
	keyOf := func(cycle int) string { return fmt.Sprintf("key-%d", cycle) }
	s.configure(3, furtherMax, apiKey, keyOf(0))
	for i := range 3 {
		w := s.newWorker(fmt.Sprintf("l%d", i+1), "ledger", false)
		w.work = 5 * time.Millisecond
		w.run()
	}
	s.startHosts(3)
	time.Sleep(contact + time.Second)
	late := 0
	for cycle := range cycles {
		name := s.store.writer()
		var leader *host
		for _, h := range s.hosts {
			if h.name == name {
				leader = h
			}
		}
		if leader == nil {
			cannotRun("no host has written to the store")
		}
		var group sync.WaitGroup
		var mu sync.Mutex
		sentAt := map[string]time.Time{}
		end := time.Now().Add(8 * time.Second)
		for caller := range callersEach {
			group.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("lookup-%d-%d-%d", cycle, caller, i)
					a := s.sendAttempt(leader, attempt{path: "/lookup/" + id, id: id, key: keyOf(cycle), deadline: 3 * time.Second, quiet: true})
					mu.Lock()
					sentAt[id] = a.sentAt
					mu.Unlock()
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		if s.trouble {
			s.store.refuse(leader.name, true)
			s.log("the store turns %s away", leader.name)
		}
		time.Sleep(300 * time.Millisecond)
		s.configure(4+2*cycle, furtherMax, apiKey)
		acknowledged := time.Now()
		s.log("the operator has taken %s away; the store has acknowledged it", keyOf(cycle))
		time.Sleep(6200 * time.Millisecond)
		s.store.refuse(leader.name, false)
		s.log("the store serves %s", leader.name)
		group.Wait()
		n := 0
		s.mu.Lock()
		for _, a := range s.arrivals {
			if at, ok := sentAt[a.id]; ok && a.ran && at.After(acknowledged.Add(revokeMS)) {
				n++
				s.log("request %s was sent %.3f s after the acknowledgement, and ran", a.id, at.Sub(acknowledged).Seconds())
			}
		}
		s.arrivals = nil
		s.mu.Unlock()
		late += n
		s.say("cycle %d: %d of %d requests ran that were sent with the key later than revokeMs after it was taken away", cycle+1, n, len(sentAt))
		s.configure(5+2*cycle, furtherMax, apiKey, keyOf(cycle+1))
		time.Sleep(1200 * time.Millisecond)
	}
	s.finish(late > 0)
}
