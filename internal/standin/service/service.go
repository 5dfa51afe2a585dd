// Package service is a stand-in for a plain service: it echoes calls over HTTP,
// records each run of a call, and fails on demand.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/engine"
	"github.com/arbutusbank/arbutusbank/internal/standin/upstream"
)

const (
	// HeaderIdempotencyKey names the caller's key of a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// CrashMarker in a body crashes the service after the run was recorded.
	CrashMarker     = "[[crash]]"
	maxRequestBytes = 16 << 20
)

// Options configure a service.
type Options struct {
	Address     string        // "IP:port"; port 0 picks a free one
	Latency     time.Duration // of each call
	RestartTime time.Duration
}

// Faults configures the misbehaviour of a service. Crash and FreezeOpen happen
// once, when they are set.
type Faults struct {
	Crash             bool `json:"crash,omitempty"`       // cut everything, restart later
	FreezeConnections bool `json:"freeze_open,omitempty"` // silence the open connections
	Draining          bool `json:"draining"`              // refuse new calls
	LatencyMS         int  `json:"latency_ms"`            // added to each call
	DropResponses     bool `json:"lose_answers"`          // calls take effect without an answer
	HangResponses     bool `json:"hang_before_first"`     // calls take effect and the answer never comes
}

// Outcomes of a RunRecord.
const (
	OutcomeResponded    = "answered"
	OutcomeResponseLost = "lost" // took effect, the answer was not sent
	OutcomeDisconnected = "disconnected"
)

// RunRecord is one run of a call. It is recorded when the call takes effect,
// before any answer.
type RunRecord struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	BootID         string    `json:"boot_id"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Body           string    `json:"body,omitempty"`
	At             time.Time `json:"at"`
	Outcome        string    `json:"outcome"`
}

// Record is what a service really saw, over all its boots.
type Record struct {
	Boots          []string                 `json:"boots"`
	Runs           []RunRecord              `json:"runs"`
	Refused        int                      `json:"refused"`
	CapturedValues []upstream.CapturedValue `json:"sightings"`
}

// Response is the body of each answer.
type Response struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Run       int    `json:"run"` // number of the run at this instance, from 1
}

// Service is a stand-in service. It is safe for concurrent use.
type Service struct {
	options   Options
	process   *upstream.Process
	sightings upstream.CapturedValues

	mu      sync.Mutex
	faults  Faults
	boots   []string
	runs    []RunRecord
	refused int
}

// Start listens and serves until Stop. It returns *upstream.ListenError when
// the address cannot be listened on.
func Start(options Options) (*Service, error) {
	s := &Service{options: options}
	s.process = upstream.NewProcess(options.Address, options.RestartTime, s.boot, func(*upstream.Boot) {})
	if err := s.process.Restart(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.process.Address() }

// FreezeConnections silences all open connections for good; new ones work. It returns
// how many connections were frozen.
func (s *Service) FreezeConnections() int { return s.process.FreezeConnections() }

// Crash cuts all connections and restarts after the restart time.
func (s *Service) Crash() { s.process.Crash() }

// Kill is Crash without a restart.
func (s *Service) Kill() { s.process.Kill() }

// Restart starts a killed service on its old address.
func (s *Service) Restart() error { return s.process.Restart() }

// Stop ends the service for good.
func (s *Service) Stop() { s.process.Stop() }

// Faults returns the current misbehaviour.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the misbehaviour.
func (s *Service) SetFaults(faults Faults) {
	crash, freeze := faults.Crash, faults.FreezeConnections
	faults.Crash, faults.FreezeConnections = false, false
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	if freeze {
		s.FreezeConnections()
	}
	if crash {
		s.Crash()
	}
}

// Record returns what the service really saw.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{
		Boots:          slices.Clone(s.boots),
		Runs:           slices.Clone(s.runs),
		Refused:        s.refused,
		CapturedValues: s.sightings.List(),
	}
}

func (s *Service) boot(process *upstream.Boot) http.Handler {
	s.mu.Lock()
	s.boots = append(s.boots, process.ID)
	s.mu.Unlock()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(process, w, r) })
}

func (s *Service) serve(process *upstream.Boot, w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/sim/record":
		upstream.WriteJSON(w, http.StatusOK, s.Record())
	case r.URL.Path == "/sim/faults" && r.Method == http.MethodPut:
		s.putFaults(w, r)
	case r.URL.Path == "/sim/faults":
		upstream.WriteJSON(w, http.StatusOK, s.Faults())
	default:
		s.call(process, w, r)
	}
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// call reads the whole request, takes effect, and then answers.
func (s *Service) call(process *upstream.Boot, w http.ResponseWriter, r *http.Request) {
	s.sightings.Record(r)
	faults := s.Faults()
	if faults.Draining {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := s.takeEffect(process, r, body)
	if bytes.Contains(body, []byte(CrashMarker)) {
		s.process.CrashBoot(process)
		panic(http.ErrAbortHandler)
	}
	s.answer(process, w, r, faults, run, string(body))
}

// takeEffect records a run and returns its index.
func (s *Service) takeEffect(process *upstream.Boot, r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, RunRecord{
		RequestID:      r.Header.Get(engine.HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		BootID:         process.ID,
		Method:         r.Method,
		Path:           r.URL.Path,
		Body:           string(body),
		At:             time.Now(),
		Outcome:        OutcomeResponseLost,
	})
	return len(s.runs) - 1
}

func (s *Service) answer(process *upstream.Boot, w http.ResponseWriter, r *http.Request, faults Faults, run int, body string) {
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	wait := s.options.Latency + time.Duration(faults.LatencyMS)*time.Millisecond
	if faults.HangResponses || !pause(r.Context(), process.Ctx, wait) {
		s.abandon(process, r, run)
	}
	s.setOutcome(run, OutcomeResponded)
	requestID := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, requestID)
	answer := Response{RequestID: requestID, Method: r.Method, Path: r.URL.Path, Body: body, Run: run + 1}
	upstream.WriteJSON(w, http.StatusOK, answer)
}

// abandon waits for the client to leave or the process to end, and aborts.
func (s *Service) abandon(process *upstream.Boot, r *http.Request, run int) {
	select {
	case <-r.Context().Done():
		s.setOutcome(run, OutcomeDisconnected)
	case <-process.Ctx.Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) setOutcome(run int, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Outcome = outcome
}

// pause reports false when the client left or the process ended meanwhile.
func pause(client, process context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-client.Done():
		return false
	case <-process.Done():
		return false
	}
}

// RunsByKey counts the runs of each idempotency key, or of each request ID for
// calls without one.
func (r *Record) RunsByKey() map[string]int {
	counts := map[string]int{}
	for _, run := range r.Runs {
		key := run.IdempotencyKey
		if key == "" {
			key = run.RequestID
		}
		counts[strings.Join([]string{run.Method, run.Path, key}, " ")]++
	}
	return counts
}
