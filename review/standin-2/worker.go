package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Services of the cases.
const (
	ledgerService = "drawer-ledger" // plain
	engineService = "seed-assistant"
)

// workTime is the time for which a worker works on a request.
const workTime = 30 * time.Millisecond

// workerStart is the start of the workers, in Unix milliseconds.
const workerStart = 1_700_000_000_000

// worker is a stand-in for a worker. It has no faults.
type worker struct {
	id, address string
	model       string // that an engine holds; "": a worker of the plain service
	c           *runningCase

	mu   sync.Mutex
	runs map[string]int // by request ID
}

func (c *runningCase) startWorker(id string) (*worker, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: listener.Addr().String(), c: c, runs: map[string]int{}}
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.serve)) }() // until the case ends
	return w, nil
}

// entry is the worker's entry in the store.
func (w *worker) entry() map[string]any {
	service, slots, models := ledgerService, 6, []any{}
	if w.model != "" {
		service, slots, models = engineService, 64, []any{map[string]any{"name": w.model, "version": 1, "adapters": []any{}}}
	}
	return map[string]any{
		"service": service, "address": w.address, "zone": "obihiro", "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "seq": 1, "born": workerStart, "models": models,
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/arbutusbank/") {
		w.report(rw, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the host has disconnected
	}
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Instance-Id", w.id)
	if r.Header.Get("Expect-Instance") != w.id {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.c.record("%s: runs %s", w.id, id)
	time.Sleep(workTime)
	rw.Header().Set("Response-Signature", "sig."+w.id)
	fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
}

// startPlatform starts a store with a configuration and the entries of three workers.
func (c *runningCase) startPlatform() (*store, []*worker, error) {
	s, err := startStore()
	if err != nil {
		return nil, nil, err
	}
	var workers []*worker
	for i := range 3 {
		w, err := c.startWorker(fmt.Sprintf("ledger-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		if err := s.set("servers", w.id, w.entry()); err != nil {
			return nil, nil, err
		}
		workers = append(workers, w)
	}
	return s, workers, s.set("op", "config", configuration())
}

const (
	// hostName is the Host header of the routes.
	hostName = "seed.example"
	// lookupPrefix is the path prefix of the route to the plain service, reviewPrefix and
	// summaryPrefix are those of routes to the model engines.
	lookupPrefix  = "/lookup/"
	reviewPrefix  = "/review/"
	summaryPrefix = "/summary/"
	// configuredModel is the only model of the configuration.
	configuredModel = "m1"
	// headerBytes and bodyBytes are the limits of the small deployments.
	headerBytes = 16384
	bodyBytes   = 4194304
)

// configuration has public routes with the times of the sheet, and the limits of the small
// deployments.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "drawer-lookup", "host": hostName, "prefix": lookupPrefix, "kind": "safe", "timeoutMs": 1200, "sloMs": 150,
				"priority": 2, "service": ledgerService, "attempts": 2, "public": true,
			},
			map[string]any{
				"name": "overnight-review", "host": hostName, "prefix": reviewPrefix, "kind": "streaming", "timeoutMs": 20000, "sloMs": 2500,
				"priority": 2, "service": engineService, "attempts": 2, "public": true, "resumable": true, "sticky": true, "gapTargetMs": 250,
			},
			map[string]any{
				"name": "accession-summary", "host": hostName, "prefix": summaryPrefix, "kind": "streaming", "timeoutMs": 15000, "sloMs": 500,
				"priority": 1, "service": engineService, "attempts": 1, "public": true, "sticky": true, "gapTargetMs": 250,
			},
		},
		"services": []any{
			map[string]any{"name": ledgerService, "maxConns": 110, "healthPath": "/health"},
			map[string]any{"name": engineService, "maxConns": 370, "healthPath": "/health", "engine": map[string]any{
				"slots": 64, "kvCapacity": 140491, "weightsMb": 200000, "adapterSlots": 8, "loadsPerS": 6,
				"models": []any{map[string]any{"name": configuredModel, "weightsMb": 65500, "loadS": 6, "adapters": 0, "adapterMb": 40, "warmS": 0.57, "diskS": 0.74}},
			}},
		},
		"limits": map[string]any{
			"headerBytes": headerBytes, "bodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": "curators", "apiKeys": []string{"key-of-curators"}}},
	}
}
