package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutusbank/arbutusbank/internal/fleet"
	"github.com/arbutusbank/arbutusbank/tests/testbinary"
)

// hostBinary is the path of the host binary that TestMain builds.
var hostBinary string

func TestMain(m *testing.M) { os.Exit(testbinary.Run(m, &hostBinary)) }

// process is an entry host that runs as a separate process. It implements
// fleet.RunningHost.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error // of Wait; valid after done is closed
}

// exitError reports how a host process ended.
type exitError struct{ cause error }

func (e *exitError) Error() string { return fmt.Sprintf("host process: %v", e.cause) }

func startProcess(directory string, spec fleet.HostSpec) (*process, error) {
	data, err := json.Marshal(spec.Settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(directory, fmt.Sprintf("%s-%d.json", spec.Settings.Host, time.Now().UnixNano()))
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(directory, spec.Settings.Host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{command: exec.Command(hostBinary, "serve", file), done: make(chan struct{})}
	p.command.Stderr = log
	// The kernel kills the host when the test process exits for any reason.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Shutdown implements fleet.RunningHost.
func (p *process) Shutdown(ctx context.Context) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		if p.err != nil {
			return &exitError{cause: p.err}
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill implements fleet.RunningHost.
func (p *process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s) // fails only if the process has exited
}

// cluster starts host processes whose outgoing connections pass through links.
type cluster struct {
	t         *testing.T
	directory string
	links     *links

	mu    sync.Mutex
	hosts map[string]*process
	specs map[string]fleet.HostSpec
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, directory: t.TempDir(), links: newLinks(t),
		hosts: map[string]*process{}, specs: map[string]fleet.HostSpec{},
	}
}

// start implements fleet.StartHost.
func (c *cluster) start(_ context.Context, spec fleet.HostSpec) (fleet.RunningHost, error) {
	name := spec.Settings.Host
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.specs[name]; !known {
		c.specs[name] = c.links.addProxies(spec)
	}
	p, err := startProcess(c.directory, c.specs[name])
	if err != nil {
		return nil, err
	}
	c.hosts[name] = p
	return &hostHandle{cluster: c, name: name}, nil
}

// hostHandle refers to a host by name, so that the fleet keeps a valid handle
// when a test restarts the process.
type hostHandle struct {
	cluster *cluster
	name    string
}

// Shutdown implements fleet.RunningHost.
func (h *hostHandle) Shutdown(ctx context.Context) error { return h.cluster.host(h.name).Shutdown(ctx) }

// Kill implements fleet.RunningHost.
func (h *hostHandle) Kill() { h.cluster.host(h.name).Kill() }

func (c *cluster) host(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name]
}

// restart kills a host and starts it again after a delay.
func (c *cluster) restart(name string, pause time.Duration) error {
	c.host(name).Kill()
	time.Sleep(pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := startProcess(c.directory, c.specs[name])
	if err == nil {
		c.hosts[name] = p
	}
	return err
}

// pause suspends a host's process for a duration.
func (c *cluster) pause(name string, d time.Duration) {
	p := c.host(name)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// printLogs prints the end of every host's log after a failure.
func (c *cluster) printLogs() {
	const tail = 3000
	for name := range c.specs {
		data, err := os.ReadFile(filepath.Join(c.directory, name+".log"))
		if err != nil {
			continue
		}
		c.t.Logf("log of %s:\n%s", name, data[max(0, len(data)-tail):])
	}
}
