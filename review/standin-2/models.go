package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelCallers = 250
	modelTime    = 90 * time.Second
	restTime     = 10 * time.Second // after the callers have left
	// modelHeadBytes and modelBodyBytes are the sizes of a request's head and body.
	modelHeadBytes = 15000
	modelBodyBytes = 60000
	// modelDeadline is how long such a caller waits.
	modelDeadline = time.Second
)

// runModels checks that a process stays within the memory of its machine while callers send
// whole bodies for models that the configuration does not have, no two alike.
func runModels(c *runningCase) (held bool, err error) {
	platform, _, err := c.startPlatform()
	if err != nil {
		return false, err
	}
	engine, err := c.startWorker("engine-1")
	if err != nil {
		return false, err
	}
	engine.model = configuredModel
	if err := platform.set("servers", engine.id, engine.entry()); err != nil {
		return false, err
	}
	h, err := c.startHost("front-obihiro-1", platform.address)
	if err != nil {
		return false, err
	}
	callers := c.startCallers(h.callers, 500*time.Millisecond)
	most := c.watchMemory(h, calmTime)
	disperse := func() {}
	if c.trouble {
		disperse = c.askForModels(h)
	}
	limit := int64(memoryMB) << 10
	for end := time.Now().Add(modelTime); time.Now().Before(end) && most <= limit && !h.hasEnded(); {
		most = max(most, c.watchMemory(h, time.Second))
	}
	disperse()
	most = max(most, c.watchMemory(h, restTime))
	callers.stop()
	c.record("most private memory %d KiB, %d KiB after the rest, memory of the machine %d KiB, process ended: %v; %d of %d lookups served",
		most, privateMemory(h.command.Process.Pid), limit, h.hasEnded(), callers.served.Load(), callers.sent.Load())
	return most <= limit && !h.hasEnded(), nil
}

// askForModels starts the callers. The returned function ends them.
func (c *runningCase) askForModels(h *host) (disperse func()) {
	ended := make(chan struct{})
	var gone sync.WaitGroup
	var sent, refused, other atomic.Int64
	body := strings.Repeat("p", modelBodyBytes)
	for n := range modelCallers {
		gone.Add(1)
		go func() {
			defer gone.Done()
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				default:
				}
				sent.Add(1)
				got, err := exchange(h.callers, http.MethodPost, modelRequest(fmt.Sprintf("model-%d-%d", n, i))+body, 5*time.Second)
				if err == nil && got.status == http.StatusServiceUnavailable {
					refused.Add(1)
				} else {
					other.Add(1)
				}
			}
		}()
	}
	return func() {
		close(ended)
		gone.Wait()
		c.record("requests for models that are not configured: %d sent, %d answered 503, %d ended otherwise", sent.Load(), refused.Load(), other.Load())
	}
}

// modelRequest returns the head of a request, which the name of its model fills up.
func modelRequest(id string) string {
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nToken-Count: 1460,80\r\nContent-Length: %d\r\nModel: ",
		summaryPrefix, id, hostName, id, modelDeadline.Milliseconds(), modelBodyBytes)
	return head + strings.Repeat("m", modelHeadBytes-len(head)-len(id)) + id + "\r\n\r\n"
}

// report answers as an engine that holds one model and carries out no order.
func (w *worker) report(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	rw.Header().Set("Content-Type", "application/json")
	if r.Method != http.MethodGet {
		rw.WriteHeader(http.StatusConflict)
		return
	}
	fmt.Fprintf(rw, `{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"born":%d,`+
		`"queued":0,"active":0,"kvUsed":0,"kvTotal":140491,"handles":0,"available":{"inMemory":[%q],"onDisk":[%q]}}`, w.model, workerStart, w.model, w.model)
}
