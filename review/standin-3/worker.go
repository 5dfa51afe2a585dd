package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// order is an order as a worker received it.
type order struct {
	Worker     string
	At         time.Time
	Operation  string `json:"operation"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter"`
	Holder     string `json:"holder"`
	Fence      int64  `json:"fence"`
	Expected   *int64 `json:"expected"`
	Status     int
	Connection string
}

// worker is a worker of a service; with models it is an engine.
type worker struct {
	id, service, zone string
	address           string
	store             *store
	record            *recorder
	born              int64
	loadTime          time.Duration
	slots             int
	work              time.Duration

	mu     sync.Mutex
	models map[string]bool
	onDisk []string
	busy   bool
	seq    int64
	beats  int64
	state  string
	runs   []run
	orders []order
}

// run is a request that a worker began to work on.
type run struct {
	ID, Tenant, Worker string
	At                 time.Time
}

func newWorker(s *store, rec *recorder, id, service, zone string, slots int, onDisk, models []string) *worker {
	w := &worker{
		id: id, service: service, zone: zone, store: s, record: rec, born: time.Now().UnixMilli(), slots: slots, work: 20 * time.Millisecond,
		loadTime: 740 * time.Millisecond, models: map[string]bool{}, onDisk: onDisk, state: "ready",
	}
	for _, m := range models {
		w.models[m] = true
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("worker: %v", err)
	}
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /arbutusbank/report", w.handleReport)
	mux.HandleFunc("POST /arbutusbank/order", w.handleOrder)
	mux.HandleFunc("/", w.handle)
	go func() { _ = http.Serve(listener, mux) }()
	w.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			w.beat()
		}
	}()
	return w
}

func (w *worker) describe() map[string]any {
	models := []map[string]any{}
	for m := range w.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"stage": "unified", "models": models, "born": w.born,
		"available": map[string]any{"inMemory": []string{}, "onDisk": w.onDisk},
	}
}

// beat writes the worker's entry. While the store is away the next beat writes it.
func (w *worker) beat() {
	if !w.store.reachable() {
		return
	}
	w.store.set("servers", w.id, w.nextEntry())
}

// nextEntry returns the entry of the next heartbeat.
func (w *worker) nextEntry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats++
	entry := w.describe()
	entry["service"], entry["address"], entry["zone"], entry["version"] = w.service, w.address, w.zone, "v1"
	entry["slots"], entry["state"], entry["coldLeftMs"], entry["seq"] = w.slots, w.state, 0, w.beats
	return entry
}

func (w *worker) handleReport(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report := w.describe()
	report["busy"], report["seq"], report["queued"], report["active"] = w.busy, w.seq, 0, 0
	report["kvUsed"], report["kvTotal"], report["handles"] = 0, 140000, 0
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(report)
}

func (w *worker) handleOrder(rw http.ResponseWriter, r *http.Request) {
	o := order{Worker: w.id, At: time.Now(), Connection: r.RemoteAddr}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	o.Status = w.takeOrder(r, o)
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.record.add("order worker=%s operation=%s model=%s holder=%s fence=%d status=%d", w.id, o.Operation, o.Model, o.Holder, o.Fence, o.Status)
	rw.WriteHeader(o.Status)
}

// takeOrder requires w.mu.
func (w *worker) takeOrder(r *http.Request, o order) int {
	expect := r.Header.Get("Expect-Instance")
	switch {
	case expect != "" && expect != w.id:
		return http.StatusMisdirectedRequest
	case o.Operation == "load" && w.models[o.Model]:
		return http.StatusOK
	case o.Operation == "unload" && !w.models[o.Model]:
		return http.StatusOK
	case w.busy, o.Expected != nil && *o.Expected != w.seq:
		return http.StatusConflict
	}
	w.seq++
	if o.Operation == "unload" {
		delete(w.models, o.Model)
		return http.StatusAccepted
	}
	w.busy = true
	time.AfterFunc(w.loadTime, func() {
		w.mu.Lock()
		w.busy = false
		w.models[o.Model] = true
		w.mu.Unlock()
		w.beat()
	})
	return http.StatusAccepted
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	header := rw.Header()
	header.Set("Request-Id", id)
	header.Set("Instance-Id", w.id)
	model, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	w.mu.Lock()
	misdirected := r.Header.Get("Expect-Instance") != w.id || model != "" && !w.models[model]
	if !misdirected {
		w.runs = append(w.runs, run{id, r.Header.Get("Tenant"), w.id, time.Now()})
	}
	w.mu.Unlock()
	if misdirected {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.record.add("run worker=%s request=%s tenant=%s", w.id, id, r.Header.Get("Tenant"))
	header.Set("Response-Signature", "sig."+w.id+"."+id)
	time.Sleep(w.work)
	if model == "" {
		fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		fmt.Fprintf(rw, "id: %d\ndata: token\n\n", event)
		rw.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *store) reachable() bool {
	conn, err := net.DialTimeout("tcp", s.address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
