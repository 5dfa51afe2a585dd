// Package platform is a stand-in for the platform: an in-memory transactional
// table service, an object store and a host list that lags behind changes, over
// HTTP, with configurable latency, outages and dropped responses.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/arbutusbank/arbutusbank/internal/platform"
)

const (
	maxRequestBytes   = 64 << 20
	defaultRangeLimit = 1000
)

// Faults are the faults that the stand-in injects. The zero value is a healthy
// platform. The JSON names are those of the control API and differ from some
// field names.
type Faults struct {
	LatencyMS         int     `json:"latency_ms"`
	Down              bool    `json:"down"`              // refuse every call with status 503
	Hang              bool    `json:"hang"`              // accept calls and never respond
	DropResponseRatio float64 `json:"lose_answer_ratio"` // fraction of commits whose response is dropped after they took effect, 0 to 1
	ListLagMS         int     `json:"list_lag_ms"`       // delay until a change of the host list becomes visible
}

// Stats are the calls since the start and the current number of rows.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Commits uint64 `json:"commits"`
	Rows    int    `json:"rows"`
}

type hostListVersion struct {
	at      time.Time
	entries []platform.HostEntry
}

// Copy is the content of the table service at one moment.
type Copy struct {
	rows    map[string]platform.Row
	commits uint64 // low bits of the newest revision
}

// Server is the HTTP handler of the stand-in. It is safe for concurrent use.
type Server struct {
	router *httprouter.Router

	mu        sync.Mutex
	rows      map[string]platform.Row
	backup    Copy // to which a call of the control API restores
	objects   map[string][]byte
	hostLists []hostListVersion
	revision  uint64
	faults    Faults
	stats     Stats
	random    *rand.Rand
}

// New returns a stand-in without rows, objects and hosts. The seed determines
// which responses are dropped.
func New(seed uint64) *Server {
	s := &Server{
		router:  httprouter.New(),
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		random:  rand.New(rand.NewPCG(seed, 0)),
	}
	s.router.POST("/table/read", s.platformCall(s.read))
	s.router.POST("/table/range", s.platformCall(s.rangeRows))
	s.router.POST("/table/commit", s.platformCall(s.commit))
	s.router.PUT("/objects/:name", s.platformCall(s.putObject))
	s.router.GET("/objects/:name", s.platformCall(s.getObject))
	s.router.GET("/hosts", s.platformCall(s.listHosts))
	s.router.PUT("/sim/hosts", s.putHosts)
	s.router.PUT("/sim/faults", s.putFaults)
	s.router.GET("/sim/stats", s.getStats)
	s.router.POST("/sim/backup", s.postBackup)
	s.router.POST("/sim/restore", s.postRestore)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Backup returns a copy of the table service.
func (s *Server) Backup() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backupLocked()
}

func (s *Server) backupLocked() Copy {
	return Copy{rows: maps.Clone(s.rows), commits: s.revision & (1<<platform.GenerationBits - 1)}
}

// Restore takes the table service back to a copy: what was committed since is lost, and the
// commits are counted from there, in the next generation.
func (s *Server) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreLocked(from)
}

func (s *Server) restoreLocked(from Copy) {
	generation := s.revision>>platform.GenerationBits + 1
	s.rows, s.revision = maps.Clone(from.rows), generation<<platform.GenerationBits|from.commits
	if s.rows == nil {
		s.rows = map[string]platform.Row{}
	}
}

// SetHosts replaces the host list. Readers see the new list after Faults.ListLagMS.
func (s *Server) SetHosts(entries []platform.HostEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLists = append(s.hostLists, hostListVersion{at: time.Now(), entries: slices.Clone(entries)})
}

// Stats returns the call counters and the number of rows.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Rows = len(s.rows)
	return stats
}

// Rows returns the rows whose keys start with prefix, in key order. Injected
// faults do not apply. Checkers use it.
func (s *Server) Rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.matchingRows(prefix, "", len(s.rows))
}

type callHandler func(w http.ResponseWriter, r *http.Request, p httprouter.Params)

// platformCall wraps a handler of the platform's protocol and applies the
// latency and outage faults.
func (s *Server) platformCall(next callHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		faults := s.Faults()
		if faults.LatencyMS > 0 {
			time.Sleep(time.Duration(faults.LatencyMS) * time.Millisecond)
		}
		if faults.Hang {
			// net/http detects a disconnected client only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if faults.Down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next(w, r, p)
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request platform.ReadRequest
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	row, ok := s.rows[request.Key]
	s.mu.Unlock()
	if !ok {
		row = platform.Row{Key: request.Key}
	}
	encode(w, http.StatusOK, row)
}

func (s *Server) rangeRows(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request platform.RangeRequest
	if !decode(w, r, &request) {
		return
	}
	if request.Limit <= 0 {
		request.Limit = defaultRangeLimit
	}
	s.mu.Lock()
	s.stats.Reads++
	rows := s.matchingRows(request.Prefix, request.After, request.Limit)
	s.mu.Unlock()
	encode(w, http.StatusOK, platform.RangeResponse{Rows: rows})
}

// matchingRows returns up to limit rows with a prefix and a key greater than
// after, in key order. It requires s.mu.
func (s *Server) matchingRows(prefix, after string, limit int) []platform.Row {
	var rows []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))]
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request platform.CommitRequest
	if !decode(w, r, &request) {
		return
	}
	response, drop := s.apply(request)
	if drop {
		// ErrAbortHandler closes the connection without a response. The commit
		// has taken effect.
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if len(response.Conflicts) > 0 {
		status = http.StatusConflict
	}
	encode(w, status, response)
}

// apply performs a commit and decides whether its response is dropped.
func (s *Server) apply(request platform.CommitRequest) (platform.CommitResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Commits++
	drop := s.faults.DropResponseRatio > 0 && s.random.Float64() < s.faults.DropResponseRatio
	var conflicts []string
	for _, condition := range request.Conditions {
		if s.rows[condition.Key].Revision != condition.Revision {
			conflicts = append(conflicts, condition.Key)
		}
	}
	if len(conflicts) > 0 {
		return platform.CommitResponse{Conflicts: conflicts}, drop
	}
	s.revision++
	for _, write := range request.Writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: s.revision}
	}
	return platform.CommitResponse{Revision: s.revision}, drop
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[p.ByName("name")] = data
	s.mu.Unlock()
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.mu.Lock()
	data, ok := s.objects[p.ByName("name")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data) // a failed write means that the client has disconnected
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	encode(w, http.StatusOK, s.visibleHosts(time.Now()))
}

// visibleHosts returns the newest host list that is at least as old as the lag,
// or else the oldest.
func (s *Server) visibleHosts(now time.Time) []platform.HostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hostLists) == 0 {
		return []platform.HostEntry{}
	}
	lag := time.Duration(s.faults.ListLagMS) * time.Millisecond
	visible := s.hostLists[0]
	for _, list := range s.hostLists {
		if now.Sub(list.at) >= lag {
			visible = list
		}
	}
	return visible.entries
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var entries []platform.HostEntry
	if decode(w, r, &entries) {
		s.SetHosts(entries)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) postBackup(http.ResponseWriter, *http.Request, httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = s.backupLocked()
}

func (s *Server) postRestore(http.ResponseWriter, *http.Request, httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreLocked(s.backup)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	encode(w, http.StatusOK, s.Stats())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return false
}

func encode(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a failed write means that the client has disconnected
}
