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

const (
	heartbeat = 1200 * time.Millisecond
	// crashPause is how long a worker is away after a crash.
	crashPause = 2 * time.Second
	// loadTime is the time of a load from the worker's own disk.
	loadTime = 500 * time.Millisecond
)

// arrival is a client's request that reached a worker.
type arrival struct {
	at                time.Time
	id, worker, parts string
	ran               bool
}

// worker is a stand-in of a worker at one address. It crashes as a process does: the system
// closes its sockets. Each start is a new incarnation with a new id.
type worker struct {
	scene   *scene
	name    string
	service string
	engine  bool
	address string
	// crashPart is the part of prompts that crashes it; "": none.
	crashPart string
	// unframed: streams have neither a length nor chunks and end with their connection.
	unframed bool
	// firstEvent is the time to the first event, pause that between two events; work is the
	// time of a plain answer.
	firstEvent, pause, work time.Duration
	events                  int

	mu          sync.Mutex
	server      *http.Server
	incarnation int
	id          string
	born        int64
	models      map[string]bool
	seq         int64
	beats       int64
	busy        bool
	state       string
	leaving     bool
	down        bool
	stopBeats   chan struct{}
	beatSoon    chan struct{} // the next heartbeat comes one interval from now
}

func (s *scene) newWorker(name, service string, engine bool) *worker {
	w := &worker{scene: s, name: name, service: service, engine: engine, firstEvent: 100 * time.Millisecond,
		pause: 20 * time.Millisecond, work: 60 * time.Millisecond, events: 20, models: map[string]bool{}, beatSoon: make(chan struct{})}
	s.workers = append(s.workers, w)
	return w
}

// run starts the worker, with its model if it is an engine.
func (w *worker) run() {
	if w.engine {
		w.models["m1"] = true
	}
	w.start()
}

func (w *worker) start() {
	address := w.address
	if address == "" {
		address = w.scene.ip(200) + ":0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	w.incarnation++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.incarnation)
	w.born = time.Now().UnixMilli()
	w.seq, w.beats, w.busy, w.state, w.down = 0, 0, false, "ready", false
	w.stopBeats = make(chan struct{})
	mux := http.NewServeMux()
	id, born := w.id, w.born
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", id) })
	mux.HandleFunc("GET /arbutusbank/report", w.report)
	mux.HandleFunc("POST /arbutusbank/order", func(rw http.ResponseWriter, r *http.Request) { w.order(rw, r, born) })
	mux.HandleFunc("/", func(rw http.ResponseWriter, r *http.Request) { w.request(rw, r, id) })
	w.server = &http.Server{Handler: mux}
	server, stop := w.server, w.stopBeats
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.beat()
	go func() {
		for {
			select {
			case <-w.beatSoon:
			case <-time.After(heartbeat):
				w.beat()
			case <-stop:
				return
			}
		}
	}()
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.beats++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "zone-1", "version": "v1", "slots": 64, "state": w.state,
		"coldLeftMs": 0, "seq": w.beats, "born": w.born,
	}
	if w.engine {
		entry["stage"], entry["models"] = "unified", w.modelList()
		entry["available"] = map[string]any{"inMemory": []string{}, "onDisk": []string{"m1"}}
	}
	w.scene.store.put("servers", w.id, entry)
}

func (w *worker) modelList() []map[string]any {
	list := []map[string]any{}
	for name := range w.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// leave makes the worker say in all its answers that it leaves.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// drain makes the worker report in its entry that it leaves.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.beat()
}

// exit ends the process of this incarnation: its sockets are closed.
func (w *worker) exit() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	close(w.stopBeats)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// crash ends the process; the platform removes its entry after three heartbeats of silence,
// and the worker is back, empty, after some seconds.
func (w *worker) crash(request, id string) {
	w.mu.Lock()
	current := w.id == id && !w.down
	w.mu.Unlock()
	if !current {
		return
	}
	w.exit()
	w.scene.crashed(w, id, request)
	go func() {
		time.Sleep(3 * heartbeat)
		w.scene.store.put("servers", id, nil)
	}()
	go func() {
		time.Sleep(crashPause)
		w.mu.Lock()
		w.models = map[string]bool{}
		w.mu.Unlock()
		w.start()
	}()
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "unified", "models": w.modelList(), "busy": w.busy, "seq": w.seq, "born": w.born, "queued": 0, "active": 0,
		"kvUsed": 0, "kvTotal": 140000, "handles": 0, "pending": []string{},
		"available": map[string]any{"inMemory": []string{}, "onDisk": []string{"m1"}},
	})
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request, born int64) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		Fence                             int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case w.busy || order.Expected != nil && *order.Expected != w.seq:
		rw.WriteHeader(http.StatusConflict)
	case order.Operation == "load" && w.models[order.Model]:
		rw.WriteHeader(http.StatusOK)
	default:
		w.seq++
		w.busy = true
		w.scene.log("worker %s takes the order %s %s of %s", w.id, order.Operation, order.Model, order.Holder)
		time.AfterFunc(loadTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born != born {
				return
			}
			w.busy = false
			if order.Operation == "load" {
				w.models[order.Model] = true
			} else {
				delete(w.models, order.Model)
			}
		})
		rw.WriteHeader(http.StatusAccepted)
	}
}

func hasPart(prefix, part string) bool {
	for _, item := range strings.Split(prefix, ",") {
		if id, _, _ := strings.Cut(item, ":"); part != "" && id == part {
			return true
		}
	}
	return false
}

func (w *worker) request(rw http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	header, request, parts := rw.Header(), r.Header.Get("Request-Id"), r.Header.Get("Prompt-Prefix")
	w.mu.Lock()
	loaded := !w.engine || w.models[r.Header.Get("Model")]
	leaving := w.leaving
	w.mu.Unlock()
	ran := r.Header.Get("Expect-Instance") == id && loaded
	w.scene.arrived(arrival{at: time.Now(), id: request, worker: id, parts: parts, ran: ran})
	header.Set("Request-Id", request)
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if !ran {
		header.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("Response-Signature", "sig."+id+"."+request)
	header.Set("Keep-Alive", "timeout=10")
	if !w.engine {
		time.Sleep(w.work)
		fmt.Fprintf(rw, "answer of %s to %s (%d bytes)\n", id, request, len(body))
		return
	}
	w.stream(rw, r, id, request, hasPart(parts, w.crashPart))
}

// stream writes the events of an answer. A request that crashes the worker does so when it
// begins to write the answer: with unframed streams after its first event, else before it.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, request string, crashes bool) {
	rw.Header().Set("Content-Type", "text/event-stream")
	write := func(text string) error { _, err := io.WriteString(rw, text); return err }
	flush := func() { rw.(http.Flusher).Flush() }
	select {
	case <-time.After(w.firstEvent):
	case <-r.Context().Done():
		return
	}
	if w.unframed {
		conn, _, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		for name, values := range rw.Header() {
			if name != "Keep-Alive" {
				head += name + ": " + values[0] + "\r\n"
			}
		}
		write = func(text string) error { _, err := io.WriteString(conn, text); return err }
		flush = func() {}
		if write(head+"\r\n") != nil {
			return
		}
	} else if crashes {
		w.crash(request, id)
		return
	}
	for event := 1; event <= w.events; event++ {
		if w.isGone(id) || write(fmt.Sprintf("id: %d\ndata: event %d of %d\n\n", event, event, w.events)) != nil {
			return
		}
		flush()
		if crashes {
			w.crash(request, id)
			return // the system closes the connection of the process that has ended
		}
		time.Sleep(w.pause)
	}
}

// isGone reports whether an incarnation has ended.
func (w *worker) isGone(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down || w.id != id
}
