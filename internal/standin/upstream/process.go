// Package upstream contains what the stand-ins for model engines and plain
// services share: a simulated process that crashes and restarts on one address,
// connections that can be frozen, and a record of the values received that could
// be credentials.
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

// restartRetryInterval is the delay between attempts to listen again after a crash.
const restartRetryInterval = 20 * time.Millisecond

// ListenError reports that listening on an address failed.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Boot is one incarnation of a process, from its start to its crash or stop.
type Boot struct {
	ID       string
	Ctx      context.Context // cancelled when the boot ends
	cancel   context.CancelFunc
	listener *Listener
	server   *http.Server
}

// Process is a simulated server process. A crash resets all of its connections
// and discards its state; a restart uses the same address. It is safe for
// concurrent use.
type Process struct {
	restartTime time.Duration
	newHandler  func(*Boot) http.Handler
	onEnd       func(*Boot)

	mu      sync.Mutex
	address string
	boots   int
	current *Boot // nil while the process is down
	stopped bool
}

// NewProcess returns a process that is down. A crashed process restarts after
// restartTime. newHandler returns the handler of each boot; onEnd runs after each
// boot. Neither may call methods of the process.
func NewProcess(address string, restartTime time.Duration, newHandler func(*Boot) http.Handler, onEnd func(*Boot)) *Process {
	return &Process{address: address, restartTime: restartTime, newHandler: newHandler, onEnd: onEnd}
}

// Address returns the "IP:port" that the process listens on, also while it is down.
func (p *Process) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Restart starts the process if it is down and was not stopped. It returns
// *ListenError when it cannot listen on its address.
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
	boot.server = &http.Server{Handler: p.newHandler(boot)}
	return boot
}

// FreezeConnections permanently stops traffic on all open connections without
// closing them. New connections are not affected. It returns how many connections
// were frozen.
func (p *Process) FreezeConnections() int {
	if boot := p.currentBoot(); boot != nil {
		return boot.listener.FreezeConnections()
	}
	return 0
}

// Crash resets all connections, ends the boot and restarts after the restart time.
func (p *Process) Crash() {
	if boot := p.currentBoot(); boot != nil {
		p.CrashBoot(boot)
	}
}

// CrashBoot is like Crash, but does nothing if the boot has already ended.
func (p *Process) CrashBoot(boot *Boot) {
	if p.endBoot(boot) {
		time.AfterFunc(p.restartTime, p.restartUntilListening)
	}
}

// Kill is like Crash, without a restart.
func (p *Process) Kill() {
	if boot := p.currentBoot(); boot != nil {
		p.endBoot(boot)
	}
}

// Stop ends the process permanently.
func (p *Process) Stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.Kill()
}

func (p *Process) currentBoot() *Boot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// endBoot ends a boot. It reports false when the boot had already ended.
func (p *Process) endBoot(boot *Boot) bool {
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
	p.onEnd(boot)
	return true
}

// restartUntilListening retries because the port may briefly be in use.
func (p *Process) restartUntilListening() {
	if p.Restart() != nil {
		time.AfterFunc(restartRetryInterval, p.restartUntilListening)
	}
}

func (b *Boot) serve() {
	_ = b.server.Serve(b.listener) // returns an error when the boot ends
}

func (b *Boot) stop() {
	b.cancel()
	_ = b.listener.Listener.Close() // a second close only returns an error
	b.listener.ResetAll()
	_ = b.server.Close() // the connections are already closed
}

// WriteJSON sends a status and a value, encoded as JSON, as the response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a failed write means that the client has disconnected
}
