package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) name() string { return r.Table + "\x00" + r.Key }

// store is a stand-in for the platform's store without faults.
type store struct {
	address string

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	changed chan struct{}
	// onCommit is called with the rows that a host writes. Optional.
	onCommit func(rows []row)
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /arbutusbank/rows-get", s.get)
	mux.HandleFunc("GET /arbutusbank/rows-feed", s.feed)
	mux.HandleFunc("POST /arbutusbank/rows-tx", s.commit)
	go func() { _ = http.Serve(listener, mux) }() // until the case ends
	return s, nil
}

// set writes a row as the operator or a worker does.
func (s *store) set(table, key string, value map[string]any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
	return nil
}

func (s *store) apply(r row) {
	s.rows[r.name()] = r
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, item := range s.rows {
		before := query.Get("to") == "" || item.Key < query.Get("to")
		if item.Table == query.Get("table") && item.Key >= query.Get("from") && before {
			rows = append(rows, item)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, item := range s.history {
			if item.Table == query.Get("table") && item.Version > after {
				rows = append(rows, item)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answer(w, http.StatusOK, rows)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected"`
		SetKeys  []row `json:"setKeys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.Expected {
		if current := s.rows[expected.name()]; current.Version != expected.Version {
			s.answer(w, http.StatusPreconditionFailed, []row{current})
			return
		}
	}
	s.version++
	for _, r := range call.SetKeys {
		r.Version = s.version
		s.apply(r)
	}
	if s.onCommit != nil {
		s.onCommit(call.SetKeys)
	}
	s.answer(w, http.StatusOK, []row{})
}

// answer writes a response; s.mu is held.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{ // the host may have disconnected
		"rows": rows, "hasMore": false, "ver": s.version, "nowMs": time.Now().UnixMilli(),
	})
}
