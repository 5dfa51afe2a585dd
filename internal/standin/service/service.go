// Package service is a stand-in for a plain service: it echoes calls over HTTP,
// records each run of a call, and injects faults on request.
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
	// HeaderIdempotencyKey is the header with the caller's key for a
	// non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// CrashMarker is the text that, in a body, crashes the service after it
	// recorded the run.
	CrashMarker     = "[[crash]]"
	maxRequestBytes = 16 << 20
)

// Options configure a service.
type Options struct {
	Address     string        // "IP:port"; port 0 picks a free one
	Latency     time.Duration // of each response
	RestartTime time.Duration // time from a crash to the restart
}

// Faults are the faults that a service injects. Crash and FreezeConnections take
// effect once, when they are set. The JSON names are those of the control API and
// differ from some field names.
type Faults struct {
	Crash             bool `json:"crash,omitempty"`       // reset all connections, restart later
	FreezeConnections bool `json:"freeze_open,omitempty"` // stop traffic on the open connections
	Draining          bool `json:"draining"`              // refuse new calls with status 503
	LatencyMS         int  `json:"latency_ms"`            // added to Options.Latency
	DropResponses     bool `json:"lose_answers"`          // calls take effect, but their responses are dropped
	HangResponses     bool `json:"hang_before_first"`     // calls take effect, but are never responded to
}

// Outcomes of a RunRecord. The values are part of its JSON and differ from some names.
const (
	OutcomeResponded    = "answered"
	OutcomeResponseLost = "lost" // took effect, but no response was sent
	OutcomeDisconnected = "disconnected"
)

// RunRecord is one run of a call. It is recorded when the call takes effect,
// before the response.
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

// Record is what a service has received and done, over all its boots.
type Record struct {
	Boots          []string                 `json:"boots"`
	Runs           []RunRecord              `json:"runs"`
	Refused        int                      `json:"refused"`
	CapturedValues []upstream.CapturedValue `json:"sightings"` // JSON name kept for readers of the record
}

// Response is the body of each response.
type Response struct {
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	Run       int    `json:"run"` // sequence number of the run at this instance, from 1
}

// Service is a stand-in service. It is safe for concurrent use.
type Service struct {
	options        Options
	process        *upstream.Process
	capturedValues upstream.CapturedValues

	mu      sync.Mutex
	faults  Faults
	boots   []string
	runs    []RunRecord
	refused int
}

// Start listens and serves until Stop. It returns *upstream.ListenError when it
// cannot listen on the address.
func Start(options Options) (*Service, error) {
	s := &Service{options: options}
	s.process = upstream.NewProcess(options.Address, options.RestartTime, s.boot, func(*upstream.Boot) {})
	if err := s.process.Restart(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the "IP:port" that the service listens on.
func (s *Service) Address() string { return s.process.Address() }

// FreezeConnections permanently stops traffic on all open connections without
// closing them. New connections are not affected. It returns how many connections
// were frozen.
func (s *Service) FreezeConnections() int { return s.process.FreezeConnections() }

// Crash resets all connections and restarts the service after the restart time.
func (s *Service) Crash() { s.process.Crash() }

// Kill is like Crash, without a restart.
func (s *Service) Kill() { s.process.Kill() }

// Restart starts a killed service on its old address.
func (s *Service) Restart() error { return s.process.Restart() }

// Stop ends the service permanently.
func (s *Service) Stop() { s.process.Stop() }

// Faults returns the injected faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the injected faults.
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

// Record returns what the service has received and done so far.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{
		Boots:          slices.Clone(s.boots),
		Runs:           slices.Clone(s.runs),
		Refused:        s.refused,
		CapturedValues: s.capturedValues.List(),
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

// call reads the complete request, records the run, and then responds.
func (s *Service) call(process *upstream.Boot, w http.ResponseWriter, r *http.Request) {
	s.capturedValues.Record(r)
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
	run := s.recordRun(process, r, body)
	if bytes.Contains(body, []byte(CrashMarker)) {
		s.process.CrashBoot(process)
		panic(http.ErrAbortHandler)
	}
	s.respond(process, w, r, faults, run, string(body))
}

// recordRun records a run, which is the effect of a call, and returns its index.
func (s *Service) recordRun(process *upstream.Boot, r *http.Request, body []byte) int {
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

func (s *Service) respond(process *upstream.Boot, w http.ResponseWriter, r *http.Request, faults Faults, run int, body string) {
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	wait := s.options.Latency + time.Duration(faults.LatencyMS)*time.Millisecond
	if faults.HangResponses || !sleep(r.Context(), process.Ctx, wait) {
		s.abort(process, r, run)
	}
	s.setOutcome(run, OutcomeResponded)
	requestID := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set(engine.HeaderRequestID, requestID)
	response := Response{RequestID: requestID, Method: r.Method, Path: r.URL.Path, Body: body, Run: run + 1}
	upstream.WriteJSON(w, http.StatusOK, response)
}

// abort waits until the client disconnects or the boot ends, and aborts the
// connection.
func (s *Service) abort(process *upstream.Boot, r *http.Request, run int) {
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

// sleep waits for d. It reports false when the client disconnects or the boot
// ends first.
func sleep(client, process context.Context, d time.Duration) bool {
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

// RunsByKey returns the number of runs by "method path key". The key is the
// idempotency key, or the request ID for calls without one.
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
