package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	contact   = 3 * time.Second         // contactMs
	drain     = 2 * time.Second         // drainMs
	lateAfter = 5500 * time.Millisecond // how late the store performs the write, of 1 to 6 s
)

// lateEntry: the store performs a heartbeat of a worker late, after the worker has reported that it
// leaves.
func lateEntry(s *scene, trouble bool) {
	s.store.set("op", "config", config(7, []any{ledgerRoute()}, []any{ledgerService()}, tenant("hule930", "key-kept")))
	var workers []*worker
	for i := range 3 {
		workers = append(workers, newWorker(s.store, s.record, fmt.Sprintf("i-%02d", i), "xano55b", zones[i], 6, nil, nil))
	}
	s.startHosts(8)
	s.waitReady(10 * time.Second)
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, h := range s.hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				s.send(h, "POST", "/puxa403/2f", "key-kept", "", 2500*time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	leaving := workers[0]
	// The answer to this heartbeat is lost; the store performs the write later.
	unanswered := leaving.nextEntry()
	s.record.add("heartbeat %v of %s gets no answer", unanswered["seq"], leaving.id)
	time.AfterFunc(lateAfter, func() {
		if trouble {
			ver := s.store.set("servers", leaving.id, unanswered)
			s.record.add("the store performs heartbeat %v of %s at version %d", unanswered["seq"], leaving.id, ver)
		}
	})
	time.Sleep(contact + 50*time.Millisecond)
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	leaving.beat()
	acknowledged := time.Now()
	s.record.add("%s has reported draining", leaving.id)
	for range 6 { // its heartbeats go on from here, every 1.2 s
		time.Sleep(heartbeat)
		leaving.beat()
	}
	close(stop)
	group.Wait()
	var broken []string
	leaving.mu.Lock()
	for _, r := range leaving.runs {
		if after := r.At.Sub(acknowledged); after > drain {
			broken = append(broken, fmt.Sprintf("request %s reached %s %.2f s after it was acknowledged as draining", r.ID, leaving.id, after.Seconds()))
		}
	}
	leaving.mu.Unlock()
	s.verdict("DRAIN", broken)
}
