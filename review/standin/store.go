package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of one answer of the store, as in a small deployment.
const storeDelay = 4 * time.Millisecond

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: rows, transactions and the change feed.
type store struct {
	address string
	start   time.Time
	handler http.Handler

	mu sync.Mutex
	// refused are the hosts that the store turns away; lastWriter is the host whose
	// conditional write succeeded last.
	refused    map[string]bool
	lastWriter string

	version int64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore(ip string) *store {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), start: time.Now(), refused: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /arbutusbank/rows-get", s.get)
	mux.HandleFunc("GET /arbutusbank/rows-feed", s.feed)
	mux.HandleFunc("POST /arbutusbank/rows-tx", s.transaction)
	s.handler = mux
	s.address = s.listen(ip, "")
	return s
}

type callerKey struct{}

// listen opens an address of the store for one host, so that the store can tell the hosts
// apart.
func (s *store) listen(ip, host string) (address string) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isRefused(host) {
				s.reply(w, http.StatusServiceUnavailable, map[string]any{})
				return
			}
			s.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, host)))
		}))
	}()
	return listener.Addr().String()
}

func (s *store) isRefused(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[host]
}

// refuse makes the store turn a host away, or serve it again. Open watches of the host end.
func (s *store) refuse(host string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = refused
	close(s.changed)
	s.changed = make(chan struct{})
}

// writer returns the host whose conditional write succeeded last.
func (s *store) writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// put writes a row like the operator, a worker or another writer; a nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, Version: s.version, Tombstone: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	s.apply(r)
}

func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	time.Sleep(storeDelay)
	body["nowMs"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 || limit < 1 {
		limit = 500
	}
	s.mu.Lock()
	rows := []row{}
	for _, item := range s.rows {
		if item.Table == q.Get("table") && item.Part == q.Get("part") && item.Key >= q.Get("from") && (q.Get("to") == "" || item.Key < q.Get("to")) {
			rows = append(rows, item)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "hasMore": more, "ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	host, _ := r.Context().Value(callerKey{}).(string)
	for {
		if s.isRefused(host) {
			s.reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		s.mu.Lock()
		rows := []row{}
		for _, item := range s.history {
			if item.Table == q.Get("table") && item.Version > after {
				rows = append(rows, item)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected"`
		SetKeys  []row `json:"setKeys"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		s.reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, item := range append(slices.Clone(call.SetKeys), call.Remove...) {
		if item.Table == "op" || item.Table == "servers" {
			s.reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	for _, e := range call.Expected {
		if current := s.rows[e.Table+"/"+e.Key]; current.Version != e.Version {
			version := s.version
			s.mu.Unlock()
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{current}, "ver": version})
			return
		}
	}
	s.version++
	s.lastWriter, _ = r.Context().Value(callerKey{}).(string)
	for _, item := range call.SetKeys {
		item.Version = s.version
		s.apply(item)
	}
	for _, item := range call.Remove {
		s.apply(row{Table: item.Table, Part: item.Part, Key: item.Key, Version: s.version, Tombstone: true})
	}
	version := s.version
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"ver": version})
}
