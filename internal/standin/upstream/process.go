// Package upstream holds what the stand-ins of model engines and plain services
// share: a process that crashes and restarts on one address, connections that
// freeze, and a record of the credentials seen.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// restartRetry is the pause between attempts to listen again after a crash.
const restartRetry = 20 * time.Millisecond

// ListenError reports that an address cannot be listened on.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Boot is one life of a process, from a start to a crash.
type Boot struct {
	ID       string
	Ctx      context.Context // ends with the boot
	cancel   context.CancelFunc
	listener *Listener
	server   *http.Server
}

// Process is a simulated server process: all of its connections and state end
// in a crash, and it starts again on the same address. It is safe for
// concurrent use.
type Process struct {
	restartTime time.Duration
	started     func(*Boot) http.Handler
	ended       func(*Boot)

	mu      sync.Mutex
	address string
	boots   int
	current *Boot // nil while the process is down
	stopped bool
}

// NewProcess returns a process that is down. started returns the handler of
// each boot; ended runs after each boot. Neither may call the process.
func NewProcess(address string, restartTime time.Duration, started func(*Boot) http.Handler, ended func(*Boot)) *Process {
	return &Process{address: address, restartTime: restartTime, started: started, ended: ended}
}

// Address returns the address listened on, also while the process is down.
func (p *Process) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Restart starts the process if it is down and was not stopped. It returns
// *ListenError when the address cannot be listened on.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.current != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return &ListenError{Address: p.address, Cause: err}
	}
	p.address = listener.Addr().String()
	p.boots++
	p.current = p.newBoot(NewListener(listener))
	go p.current.serve()
	return nil
}

// newBoot requires p.mu.
func (p *Process) newBoot(listener *Listener) *Boot {
	ctx, cancel := context.WithCancel(context.Background())
	boot := &Boot{ID: fmt.Sprintf("%s#%d", p.address, p.boots), Ctx: ctx, cancel: cancel, listener: listener}
	boot.server = &http.Server{Handler: p.started(boot)}
	return boot
}

// FreezeConnections silences all open connections for good; new ones work. It returns
// how many connections were frozen.
func (p *Process) FreezeConnections() int {
	if boot := p.running(); boot != nil {
		return boot.listener.FreezeConnections()
	}
	return 0
}

// Crash cuts everything, and restarts after the restart time.
func (p *Process) Crash() {
	if boot := p.running(); boot != nil {
		p.CrashBoot(boot)
	}
}

// CrashBoot is Crash, unless the boot has already ended.
func (p *Process) CrashBoot(boot *Boot) {
	if p.takeDown(boot) {
		time.AfterFunc(p.restartTime, p.restartUntilListening)
	}
}

// Kill is Crash without a restart.
func (p *Process) Kill() {
	if boot := p.running(); boot != nil {
		p.takeDown(boot)
	}
}

// Stop ends the process for good.
func (p *Process) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.Kill()
}

func (p *Process) running() *Boot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// takeDown ends a boot; it reports false when the boot had already ended.
func (p *Process) takeDown(boot *Boot) bool {
	p.mu.Lock()
	current := p.current == boot
	if current {
		p.current = nil
	}
	p.mu.Unlock()
	if !current {
		return false
	}
	boot.stop()
	p.ended(boot)
	return true
}

// restartUntilListening retries because the port may briefly be in use.
func (p *Process) restartUntilListening() {
	if p.Restart() != nil {
		time.AfterFunc(restartRetry, p.restartUntilListening)
	}
}

func (b *Boot) serve() {
	_ = b.server.Serve(b.listener) // ends with the boot
}

func (b *Boot) stop() {
	b.cancel()
	_ = b.listener.Listener.Close() // closing twice is harmless
	b.listener.ResetAll()
	_ = b.server.Close() // the connections are already cut
}

// WriteJSON sends a value as the response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a failed write means the client has gone
}
