package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as in the call bodies.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// change is one entry of the store's history.
type change struct {
	row
	at time.Time
}

// store is the platform's store with the calls that the system makes.
type store struct {
	address string

	mu      sync.Mutex
	history []change // all changes since the start, oldest first
	rows    map[[2]string]row
	ver     int64
	era     int
	changed chan struct{}
	server  *http.Server
	began   time.Time
}

// halfTime is the time of a call before and after the store looks at its rows: an answer takes
// 4 ms.
const halfTime = 2 * time.Millisecond

// timed gives each call its time.
func timed(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(halfTime)
		h(&later{w}, r)
	}
}

// later sends an answer after the second half of the call's time.
type later struct{ http.ResponseWriter }

func (l *later) WriteHeader(status int) {
	time.Sleep(halfTime)
	l.ResponseWriter.WriteHeader(status)
}

func newStore() *store {
	s := &store{rows: map[[2]string]row{}, changed: make(chan struct{}), era: 1, began: time.Now()}
	s.open("127.0.0.1:0")
	return s
}

// open begins to serve.
func (s *store) open(address string) {
	listener, err := net.Listen("tcp", address)
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		fail("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /arbutusbank/rows-get", timed(s.get))
	mux.HandleFunc("GET /arbutusbank/rows-feed", timed(s.feed))
	mux.HandleFunc("POST /arbutusbank/rows-tx", timed(s.transact))
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	server := s.server
	go func() { _ = server.Serve(listener) }()
}

// set writes a row like the operator or a worker. It reports whether the store was there.
func (s *store) set(table, key string, value any) (ver int64) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(row{Table: table, Key: key, Value: data})
}

// apply requires s.mu.
func (s *store) apply(changes ...row) int64 {
	s.ver++
	for _, r := range changes {
		r.Ver = s.ver
		s.rows[[2]string{r.Table, r.Key}] = r
		s.history = append(s.history, change{r, time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// drill takes the store away and brings it back from a copy of the given time.
func (s *store) drill(away time.Duration, copyOf time.Time) (lost, restored int64) {
	_ = s.server.Close() // connections are reset or closed; new ones are refused
	s.mu.Lock()
	lost = s.ver
	kept := s.history[:0:0]
	s.rows, s.ver = map[[2]string]row{}, 0
	for _, c := range s.history {
		if c.at.After(copyOf) {
			break
		}
		kept = append(kept, c)
		s.rows[[2]string{c.Table, c.Key}] = c.row
		s.ver = c.Ver
	}
	s.history, restored = kept, s.ver
	s.era++
	s.mu.Unlock()
	time.Sleep(away)
	s.open(s.address)
	return lost, restored
}

// value returns the value of a row.
func (s *store) value(table, key string) ([]byte, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[[2]string{table, key}]
	return r.Value, r.Ver
}

// reply sends an answer. It requires s.mu and releases it.
func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["nowMs"] = s.ver, time.Since(s.began).Milliseconds()
	data, _ := json.Marshal(body) // rows can be encoded
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "hasMore": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for late := false; ; {
		s.mu.Lock()
		if after > s.ver { // a version that the store doesn't have
			s.reply(w, http.StatusGone, map[string]any{})
			return
		}
		rows := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			if s.history[i].Table == q.Get("table") {
				rows = append(rows, s.history[i].row)
			}
		}
		if len(rows) > 0 || late {
			sort.SliceStable(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected"`
		SetKeys  []row `json:"setKeys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range call.Expected {
		if current := s.rows[[2]string{e.Table, e.Key}]; current.Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{current}})
			return
		}
	}
	s.apply(call.SetKeys...)
	s.reply(w, http.StatusOK, map[string]any{})
}
