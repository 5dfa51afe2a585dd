package main

import (
	"fmt"
	"net/http"
	"time"
)

// optionsRequests is the number of requests without a route.
const optionsRequests = 10

// runOptions checks that a success comes only with the signature of a worker.
func runOptions(c *runningCase) (held bool, err error) {
	platform, workers, err := c.startPlatform()
	if err != nil {
		return false, err
	}
	h, err := c.startHost("front-obihiro-1", platform.address)
	if err != nil {
		return false, err
	}
	callers := c.startCallers(h.callers, 100*time.Millisecond)
	defer callers.stop()
	target := "/none/"
	if c.trouble {
		target = "*"
	}
	held = true
	for i := range optionsRequests {
		time.Sleep(200 * time.Millisecond)
		id := fmt.Sprintf("options-%d", i+1)
		text := fmt.Sprintf("OPTIONS %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n\r\n", target, hostName, id)
		got, err := exchange(h.callers, http.MethodOptions, text, callTimeout)
		runs := 0
		for _, w := range workers {
			w.mu.Lock()
			runs += w.runs[id]
			w.mu.Unlock()
		}
		c.record("%s: OPTIONS %s: status %d, signature %q, body %q, error %v, runs %d", id, target, got.status, got.signature, got.body, err, runs)
		if got.status/100 == 2 && got.signature == "" {
			held = false
		}
	}
	return held, nil
}
